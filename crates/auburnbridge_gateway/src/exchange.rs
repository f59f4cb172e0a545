//! One exchange with one target: its outcome, and what it reveals about the target's health.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task;
use auburnbridge_http::{FramingError, KeepAlive, Request, Response};
use auburnbridge_policy::balance::{ExitBound, Finding};
use auburnbridge_policy::poison::RunHistory;
use auburnbridge_policy::{CrashReport, RequestClass};
use auburnbridge_target::{
    Exchange, ExchangeResult, NotSentReason, UnknownReason, refuses_connections,
};
use auburnbridge_telemetry::ExchangeLabels;
use auburnbridge_types::{Millis, RunId, Timestamp};
use futures_lite::FutureExt;
use log::info;

use crate::authentication::set_account;
use crate::failure::Failure;
use crate::gateway::{Gateway, Incoming};
use crate::retry_after::parse_retry_after;
use crate::service_dispatcher::{Assignment, ServiceDispatcher};

/// Status with which a process responds if it is not the target that the request expects.
const MISDIRECTED: u16 = 421;
/// Statuses that tell a caller that its request was not run.
const NOT_RUN_STATUSES: [u16; 3] = [408, 429, 503];
/// Statuses with which a target that sheds requests may state when it wants requests again.
const SHED_STATUSES: [u16; 2] = [429, 503];
/// Value of the header by which a target states that it is leaving.
const IS_LEAVING: &str = "1";

/// Performs the exchanges of one request with targets.
#[derive(Clone, Copy)]
pub(crate) struct Exchanger<'a> {
    pub(crate) gateway: &'a Arc<Gateway>,
    pub(crate) incoming: &'a Incoming,
    pub(crate) dispatcher: &'a Arc<ServiceDispatcher>,
}

/// A run of the request on a target, as far as the report of a crash needs it.
#[derive(Clone, Copy)]
struct StartedRun {
    id: RunId,
    start: Timestamp,
    history: RunHistory,
}

/// Outcome of sending a request to one target.
pub(crate) enum Outcome {
    /// The target's response is passed on to the caller.
    Answered(Response),
    /// The target certainly did not run the request.
    NotRun,
    /// The target may have run the request and sent no usable response.
    MayHaveRun(Failure),
    /// The target responded with a server error of its own.
    ServerError(Response),
}

/// Outcome of a send, and whether it counts as one of the sends that the route allows.
pub(crate) struct SendResult {
    pub(crate) outcome: Outcome,
    /// False if the request certainly wasn't run for another reason than a shed: it was not sent,
    /// or the process at the address is another target (status 421).
    pub(crate) counts_as_send: bool,
}

impl Outcome {
    /// How much of the outcome counts for the caller, if a request was sent to two targets: a response
    /// that is passed on, then the knowledge that the request may have run.
    fn rank(&self) -> u8 {
        match self {
            Self::Answered(_) => 3,
            Self::ServerError(_) => 2,
            Self::MayHaveRun(_) => 1,
            Self::NotRun => 0,
        }
    }
}

impl SendResult {
    /// The result of a request that was sent to two targets: it has not run only if neither ran it.
    pub(crate) fn or_better(self, other: Self) -> Self {
        let counts_as_send = self.counts_as_send || other.counts_as_send;
        let outcome = if other.outcome.rank() > self.outcome.rank() {
            other.outcome
        } else {
            self.outcome
        };
        Self {
            outcome,
            counts_as_send,
        }
    }
}

impl Exchanger<'_> {
    /// Sends the request to a target and waits for the outcome. Dropping the future cancels the
    /// request at the target.
    pub(crate) async fn send(self, assignment: Assignment, run: RunId) -> SendResult {
        let start = self.gateway.clock.now();
        let exit = self.gateway.exit.bound();
        let deadline = self.incoming.deadline;
        let deadline = exit.map_or(deadline, |exit| exit.limit(deadline));
        let request = self.outgoing_request(&assignment, deadline.since(start));
        let started = StartedRun {
            id: run,
            start,
            history: self.gateway.suspects.history(start, &self.incoming.digest),
        };
        let was_silent = AtomicBool::new(false);
        let silence = self.watch_for_silence(&assignment, &was_silent);
        let exchange = self.exchange(&assignment, &request, deadline);
        let exchange = exchange.or(silence).or(self.wait_for_exit(exit)).await;
        let time = self.gateway.clock.now().since(start);
        let reused = exchange.reused;
        let was_silent = was_silent.load(Ordering::Relaxed);
        if let ExchangeResult::Answered(response) = &exchange.result {
            self.heed_notices(response, &assignment);
        }
        let (outcome, finding) = match exchange.result {
            ExchangeResult::Answered(response) => {
                self.classify_response(response, time, was_silent)
            }
            ExchangeResult::NotSent(reason) => (Outcome::NotRun, finding_for_not_sent(reason)),
            ExchangeResult::Unknown {
                reason,
                answer_started,
            } => {
                if !answer_started && is_disconnect(reason) {
                    self.check_crash(&assignment, started).await;
                }
                classify_unknown(reason, time)
            }
        };
        if let Outcome::Answered(response) = &outcome
            && self.is_sealed(response)
        {
            self.record_run(response, &assignment, time);
        }
        self.log_exchange(&assignment, &outcome, finding, time, reused);
        let is_unsent = matches!(outcome, Outcome::NotRun) && finding != Some(Finding::Shed);
        assignment.finish(finding);
        if finding.is_some_and(Finding::is_reported) {
            self.gateway.urgent_report.notify(usize::MAX);
        }
        SendResult {
            outcome,
            counts_as_send: !is_unsent,
        }
    }

    async fn exchange(
        self,
        assignment: &Assignment,
        request: &Request,
        deadline: Timestamp,
    ) -> Exchange {
        let limits = self.gateway.response_limits();
        let (pool, address) = (&self.gateway.pool, assignment.address());
        match self.incoming.route.class {
            RequestClass::Idempotent => pool.exchange(address, request, &limits, deadline).await,
            RequestClass::Once => {
                pool.exchange_on_recent(address, request, &limits, deadline)
                    .await
            }
        }
    }

    /// Records that a target ran the request and answered it.
    fn record_run(&self, response: &Response, assignment: &Assignment, time: Millis) {
        self.gateway.suspects.record_answer(&self.incoming.digest);
        // A client error says little about the time that other requests take.
        if response.status < 400 && assignment.pick().has_free_slot() {
            self.dispatcher.record_work(time);
        }
    }

    /// Ends a send that began before the gateway was told to stop, so that the caller gets an answer
    /// before the exit. One that began later, with this bound, ends with its deadline.
    async fn wait_for_exit(self, bound: Option<&ExitBound>) -> Exchange {
        if bound.is_some() {
            return std::future::pending().await;
        }
        let clock = self.gateway.clock.as_ref();
        self.gateway.exit.wait_until_answers_are_due(clock).await;
        Exchange {
            result: ExchangeResult::Unknown {
                reason: UnknownReason::Deadline,
                answer_started: false,
            },
            reused: false,
        }
    }

    /// Records a finding if the target has not responded after several times the average answer
    /// time, while the request continues; otherwise the target would get more requests until the
    /// deadline. The future never completes.
    async fn watch_for_silence<T>(self, assignment: &Assignment, was_silent: &AtomicBool) -> T {
        let silent_after = self.dispatcher.answer_times().silent_after();
        self.gateway.clock.sleep(silent_after).await;
        info!(
            attempt = self.attempt_id(), service = self.dispatcher.name().as_str(),
            target_id = assignment.target().as_str(), after_ms = silent_after.0;
            "target silent"
        );
        was_silent.store(true, Ordering::Relaxed);
        self.dispatcher.observe(assignment.key(), Finding::Silent);
        self.gateway.urgent_report.notify(usize::MAX);
        std::future::pending().await
    }

    /// The request as sent to a target, with the remaining time and the expected target.
    fn outgoing_request(&self, assignment: &Assignment, left: Millis) -> Request {
        let mut request = self.incoming.request.clone();
        request.keep_alive = KeepAlive::Reuse;
        let headers = self.gateway.headers;
        request.headers.set(headers.deadline, left.0.to_string());
        request
            .headers
            .set(headers.expected_target, assignment.target().as_str());
        if self.incoming.has_accounts {
            set_account(&mut request, headers, self.incoming.account.as_deref());
        }
        request
    }

    /// Applies what the response states about its target apart from the request: that the target is
    /// leaving, or for how long it wants no further request from this gateway.
    fn heed_notices(self, response: &Response, assignment: &Assignment) {
        if response.status == MISDIRECTED {
            // The response is that of another target.
            return;
        }
        if response.headers.text(self.gateway.headers.leaving) == Some(IS_LEAVING) {
            self.gateway
                .record_departure(self.dispatcher.name(), assignment.pick());
        }
        let pause = response
            .headers
            .text("Retry-After")
            .filter(|_| SHED_STATUSES.contains(&response.status))
            .and_then(parse_retry_after);
        if let Some(pause) = pause {
            info!(
                attempt = self.attempt_id(), service = self.dispatcher.name().as_str(),
                target_id = assignment.target().as_str(), pause_ms = pause.0;
                "target paused"
            );
            self.dispatcher.pause(assignment.key(), pause);
        }
    }

    /// Reports a crash if the target refuses connections after the connection broke.
    async fn check_crash(self, assignment: &Assignment, run: StartedRun) {
        let crash = CrashReport {
            request: self.incoming.digest,
            target: assignment.target().clone(),
            incarnation: assignment.pick().incarnation,
            run: run.id,
            history: run.history,
            run_time: self.gateway.clock.now().since(run.start),
        };
        let check = report_if_crashed(Arc::clone(self.gateway), assignment.address(), crash);
        // A crash must be known before the request is retried on another target, and before the next
        // request is on trial.
        let check = task::spawn(check);
        if self.incoming.route.class == RequestClass::Idempotent || run.history.crashes > 0 {
            check.await;
        }
    }

    fn classify_response(
        &self,
        response: Response,
        time: Millis,
        was_silent: bool,
    ) -> (Outcome, Option<Finding>) {
        let headers = self.gateway.headers;
        if response.status == MISDIRECTED {
            return (Outcome::NotRun, Some(Finding::Replaced));
        }
        if response.headers.get(headers.not_run).is_some() {
            return (Outcome::NotRun, Some(Finding::Shed));
        }
        if response.status < 400 {
            let is_valid =
                self.is_sealed(&response) && response.headers.get("Content-Encoding").is_none();
            if !is_valid {
                return (Outcome::MayHaveRun(Failure::Broken), Some(Finding::Broken));
            }
            return (
                Outcome::Answered(response),
                Some(self.dispatcher.record_answer(time, was_silent)),
            );
        }
        if NOT_RUN_STATUSES.contains(&response.status) {
            // The caller would take this status for "not run", which the target doesn't state.
            return (
                Outcome::MayHaveRun(Failure::Broken),
                Some(Finding::ServerError),
            );
        }
        if response.status >= 500 {
            return (Outcome::ServerError(response), Some(Finding::ServerError));
        }
        (
            Outcome::Answered(response),
            Some(self.dispatcher.record_answer(time, was_silent)),
        )
    }

    /// Whether the response states that its target ran this request.
    fn is_sealed(&self, response: &Response) -> bool {
        let headers = self.gateway.headers;
        response.headers.get(headers.seal).is_some()
            && response.headers.get(headers.attempt) == self.attempt_header()
    }

    fn log_exchange(
        &self,
        assignment: &Assignment,
        outcome: &Outcome,
        finding: Option<Finding>,
        time: Millis,
        reused: bool,
    ) {
        let pick = assignment.pick();
        let result = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun => "not-run",
            Outcome::MayHaveRun(failure) => (*failure).into(),
            Outcome::ServerError(_) => "server-error",
        };
        let finding: &'static str = finding.map_or("none", Into::into);
        let estimate = pick.estimate;
        info!(
            attempt = self.attempt_id(), service = self.dispatcher.name().as_str(),
            target_id = pick.target.as_str(), incarnation = pick.incarnation.0,
            body_bytes = self.incoming.request.body.len(),
            in_flight = pick.in_flight, expected_in_flight = estimate.map(|load| load.in_flight),
            report_age_ms = estimate.and_then(|load| load.report_age).map(|age| age.0),
            own_slot = estimate.map(|load| load.own_slot), suspicion = pick.suspicion, reused = reused,
            time_ms = time.0, result = result, finding = finding;
            "exchange"
        );
        let labels = ExchangeLabels {
            service: self.dispatcher.name().to_string(),
            finding: finding.to_owned(),
        };
        self.gateway.metrics.record_exchange(&labels, time);
    }

    /// Id that the caller gave this attempt of its request.
    pub(crate) fn attempt_id(&self) -> &str {
        self.attempt_header()
            .and_then(|id| std::str::from_utf8(id).ok())
            .unwrap_or("-")
    }

    fn attempt_header(&self) -> Option<&[u8]> {
        let name = self.gateway.headers.attempt;
        self.incoming.request.headers.get(name)
    }
}

/// Reports a crash if the target refuses connections after the connection broke.
async fn report_if_crashed(gateway: Arc<Gateway>, address: SocketAddr, crash: CrashReport) {
    if refuses_connections(address).await {
        gateway.suspects.report_crash(gateway.clock.now(), crash);
    }
}

/// The outcome of a request that a target may have run, and the finding about the target.
fn classify_unknown(reason: UnknownReason, time: Millis) -> (Outcome, Option<Finding>) {
    if matches!(reason, UnknownReason::Deadline) {
        // A long silence has been recorded already, and a short remaining time must not count against a
        // healthy target.
        return (Outcome::MayHaveRun(Failure::TimedOut), None);
    }
    let finding = (!reason.is_local()).then(|| Finding::from_closed_connection(time));
    (Outcome::MayHaveRun(Failure::Broken), finding)
}

fn finding_for_not_sent(reason: NotSentReason) -> Option<Finding> {
    match reason {
        NotSentReason::Refused => Some(Finding::Refused),
        NotSentReason::ConnectTimeout | NotSentReason::Closed => Some(Finding::Unreachable),
        NotSentReason::ConnectFailed(_) => (!reason.is_local()).then_some(Finding::Unreachable),
        NotSentReason::AllInUse | NotSentReason::Deadline => None,
    }
}

/// Whether the target closed the connection or the connection failed.
fn is_disconnect(reason: UnknownReason) -> bool {
    matches!(
        reason,
        UnknownReason::Framing(
            FramingError::ClosedBetweenMessages | FramingError::ClosedInHead | FramingError::Io(_)
        )
    )
}
