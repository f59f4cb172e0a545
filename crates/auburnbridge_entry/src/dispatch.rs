//! Dispatch of a request to one target after another until one of them may have run it.

use std::sync::Arc;

use auburnbridge_caller::{Disconnect, Problem};
use auburnbridge_http::Response;
use auburnbridge_policy::{CrashReport, TargetKey};
use auburnbridge_rules::RouteClass;
use auburnbridge_types::{AttemptId, ErrorKind, RequestDigest, RunId};

use crate::admission::{NotAdmitted, Permit};
use crate::attempt::{ExchangeOutcome, request_class, unless_disconnected};
use crate::backoff::Backoff;
use crate::entry::Entry;
use crate::fleets::{Assignment, ServiceFleet};
use crate::request::CallerRequest;

/// Result of dispatching a request.
pub(crate) enum DispatchResult {
    /// Complete answer of a target.
    Answered(Response),
    /// No target ran the request during this dispatch.
    NotRun(Problem),
    /// A target may have run the request.
    Unknown(Problem),
    /// The caller disconnected.
    Cancelled,
}

/// Dispatches one request; tries a target again only after a wait.
pub(crate) struct Dispatcher<'a> {
    entry: &'a Entry,
    req: &'a CallerRequest,
    service: Arc<ServiceFleet>,
    digest: RequestDigest,
    /// Cancels the request when the caller disconnects, if given.
    disconnect: Option<&'a Disconnect>,
    /// Permit of the service's admission queue, held from the first dispatch on.
    permit: Option<Permit>,
    /// Targets tried since the last wait.
    tried: Vec<TargetKey>,
    backoff: Backoff,
    /// Reason why the last tried target gave no answer.
    failure: Option<Problem>,
}

impl<'a> Dispatcher<'a> {
    /// Creates the dispatcher of a request; fails if its service is unknown.
    pub(crate) fn new(
        entry: &'a Entry,
        req: &'a CallerRequest,
        disconnect: Option<&'a Disconnect>,
    ) -> Result<Self, Problem> {
        let service = entry.fleets.get(&req.route.service).ok_or_else(no_target)?;
        Ok(Self {
            entry,
            req,
            service,
            digest: req.digest(),
            disconnect,
            permit: None,
            tried: Vec::new(),
            backoff: Backoff::after_shed(),
            failure: None,
        })
    }

    /// Fleet of the request's service.
    pub(crate) fn service(&self) -> &ServiceFleet {
        &self.service
    }

    /// Tries targets until one may have run the request. `attempt_id` is called before each
    /// exchange and returns its attempt id, which may be the same each time.
    pub(crate) async fn dispatch(&mut self, attempt_id: impl Fn() -> AttemptId) -> DispatchResult {
        if let Some(refusal) = self.refusal() {
            return DispatchResult::NotRun(refusal);
        }
        if let Err(result) = self.wait_for_permit().await {
            return result;
        }
        loop {
            if let Some(refusal) = self.refusal() {
                return DispatchResult::NotRun(refusal);
            }
            let class = request_class(self.req.route.class);
            let now = self.entry.deps.clock.now();
            let Some(assignment) = self.service.choose(now, class, &self.tried) else {
                match self.wait_to_retry().await {
                    Some(true) => continue,
                    Some(false) => return DispatchResult::NotRun(self.last_failure()),
                    None => return DispatchResult::Cancelled,
                }
            };
            if let Some(result) = self.try_target(&attempt_id(), assignment).await {
                return result;
            }
        }
    }

    /// Waits for admission, unless the request was admitted in an earlier dispatch.
    async fn wait_for_permit(&mut self) -> Result<(), DispatchResult> {
        if self.permit.is_some() {
            return Ok(());
        }
        let class = request_class(self.req.route.class);
        let admission = self.service.admit(class, self.req.deadline);
        let admitted = match self.disconnect {
            Some(disconnect) => unless_disconnected(disconnect, admission).await,
            None => Some(admission.await),
        };
        match admitted {
            None => Err(DispatchResult::Cancelled),
            Some(Ok(permit)) => {
                self.permit = Some(permit);
                Ok(())
            }
            Some(Err(NotAdmitted { retry_after })) => {
                let seconds = u32::try_from(retry_after.0.div_ceil(1000)).unwrap_or(u32::MAX);
                let detail = "the queue of the service is full or too slow for the deadline";
                let problem = Problem::new(ErrorKind::Overloaded, detail);
                Err(DispatchResult::NotRun(
                    problem.with_retry_after(seconds.max(1)),
                ))
            }
        }
    }

    /// Reason why the request must not be sent to any target now.
    fn refusal(&self) -> Option<Problem> {
        if self.entry.is_poisoned(&self.digest) {
            let detail = "it crashed each target that ran it lately";
            return Some(Problem::new(ErrorKind::RequestPoisoned, detail));
        }
        // After a wait or a pause of this process, the caller may have stopped waiting for the
        // answer.
        if self.entry.deps.clock.now() < self.req.deadline {
            return None;
        }
        Some(self.failure.clone().unwrap_or_else(|| {
            let detail = "the deadline passed before the request was sent";
            Problem::new(ErrorKind::DeadlineBeforeDispatch, detail)
        }))
    }

    /// Waits one backoff interval, after which all targets may be tried again. Returns `Some(true)`
    /// after the wait, `Some(false)` if the request must not wait or its deadline would pass first,
    /// and `None` if the caller disconnected.
    async fn wait_to_retry(&mut self) -> Option<bool> {
        let failure = self.failure.as_ref();
        let is_shed = failure.is_some_and(|failure| failure.kind == ErrorKind::Overloaded);
        // A request that holds a grant also waits until a target becomes available.
        if !is_shed && self.req.route.class == RouteClass::Idempotent {
            return Some(false);
        }
        let wait = self.backoff.wait(self.entry, self.req.deadline);
        let has_waited = match self.disconnect {
            Some(disconnect) => unless_disconnected(disconnect, wait).await?,
            None => wait.await,
        };
        self.tried.clear();
        Some(has_waited)
    }

    /// Tries one target; returns `None` if the target did not run the request.
    async fn try_target(
        &mut self,
        attempt: &AttemptId,
        assignment: Assignment,
    ) -> Option<DispatchResult> {
        self.tried.push(assignment.key());
        let target = assignment.target().clone();
        let incarnation = assignment.incarnation();
        let start = self.entry.deps.clock.now();
        let history = self.entry.run_history(&self.digest);
        let result = self
            .entry
            .run_exchange(self.req, attempt, assignment, self.disconnect)
            .await;
        if let ExchangeOutcome::Answered(response) = &result {
            if let Some(permit) = &self.permit {
                permit.record_answer(self.entry.deps.clock.now().since(start));
            }
            if response.status < 500 {
                self.entry.record_answer(&self.digest);
            }
        }
        let failure = match result {
            ExchangeOutcome::Answered(response) => return Some(DispatchResult::Answered(response)),
            ExchangeOutcome::Cancelled => return Some(DispatchResult::Cancelled),
            ExchangeOutcome::Shed => {
                Problem::new(ErrorKind::Overloaded, "every target tried shed the request")
            }
            ExchangeOutcome::NotSent(reason) => {
                Problem::new(reason.kind(), format!("{target}: {reason:?}"))
            }
            ExchangeOutcome::Unknown { reason, crashed } => {
                let failure = Problem::new(reason.kind(), format!("{target}: {reason:?}"));
                self.failure = Some(failure.clone());
                if crashed {
                    let report = CrashReport {
                        request: self.digest,
                        target,
                        incarnation,
                        run: RunId(rand::random()),
                        history,
                        run_time: self.entry.deps.clock.now().since(start),
                    };
                    self.entry.report_crash(report).await;
                }
                return Some(DispatchResult::Unknown(failure));
            }
        };
        self.failure = Some(failure);
        None
    }

    fn last_failure(&self) -> Problem {
        self.failure.clone().unwrap_or_else(no_target)
    }
}

fn no_target() -> Problem {
    Problem::new(ErrorKind::NoTarget, "no target of the service is in use")
}
