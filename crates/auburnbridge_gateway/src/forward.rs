//! One request on its way to targets.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use auburnbridge_caller::Disconnect;
use auburnbridge_http::{FramingError, Request, Response, Verdict};
use auburnbridge_policy::balance::{BalancedKey, Finding, Need, Refusal};
use auburnbridge_policy::{CrashReport, RequestClass};
use auburnbridge_target::{Exchange, ExchangeResult, NotSent, Unknown, refuses_connections};
use auburnbridge_telemetry::{ExchangeLabels, RequestLabels};
use auburnbridge_types::{Millis, Timestamp};
use futures_lite::FutureExt;
use log::info;

use crate::answer::Failure;
use crate::gate::{Assignment, ServiceGate};
use crate::gateway::{Gateway, Incoming};

/// Multiple of the average answer time after which an idempotent request is tried elsewhere. Two in
/// a hundred requests take longer on a healthy target.
const TRY_FACTOR: u64 = 3;
/// Shortest time that a target gets for an answer.
const LEAST_TRY: Millis = Millis(300);
/// Connections that failed before the request was sent; more are not tried.
const MOST_UNSENT: u32 = 8;

/// The state of one request.
pub(crate) struct Forward<'a> {
    gateway: &'a Arc<Gateway>,
    incoming: &'a Incoming,
    gate: &'a Arc<ServiceGate>,
    disconnect: &'a Disconnect,
    tried: Vec<BalancedKey>,
    /// Sends that reached a target.
    sends: u32,
    unsent: u32,
    may_have_run: bool,
    failure: Failure,
}

/// What a send to one target came to.
enum Outcome {
    /// The target's answer is the caller's.
    Answered(Response),
    /// The target certainly didn't run the request.
    NotRun,
    /// The target may have run it and gave no usable answer.
    MayHaveRun(Failure),
    /// The target answered with an error of its own.
    ServerError(Response),
}

impl<'a> Forward<'a> {
    pub(crate) fn new(
        gateway: &'a Arc<Gateway>,
        incoming: &'a Incoming,
        gate: &'a Arc<ServiceGate>,
        disconnect: &'a Disconnect,
    ) -> Self {
        Self {
            gateway,
            incoming,
            gate,
            disconnect,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            may_have_run: false,
            failure: Failure::NoRoom,
        }
    }

    /// Serves the request unless its caller goes away, which also ends it at the target.
    pub(crate) async fn run(mut self) -> Response {
        self.gate.record_request(self.incoming.route.priority.0);
        let disconnect = self.disconnect;
        let gone = async {
            disconnect.wait().await;
            None
        };
        let attempt = self.attempt_id().to_owned();
        let served = gone.or(async { Some(self.serve().await) }).await;
        served.unwrap_or_else(|| {
            info!(attempt = attempt; "request cancelled: the caller disconnected");
            Failure::Broken.to_response(None)
        })
    }

    async fn serve(&mut self) -> Response {
        let mut last_error = None;
        loop {
            let assignment = match self.gate.acquire(self.need()).await {
                Ok(assignment) => assignment,
                Err(refusal) => return self.give_up(last_error, Some(refusal)),
            };
            self.tried.push(assignment.key());
            match self.send(assignment).await {
                Outcome::Answered(response) => return self.deliver(response),
                Outcome::ServerError(response) => {
                    self.may_have_run = true;
                    last_error = Some(response);
                }
                Outcome::NotRun => {}
                Outcome::MayHaveRun(failure) => {
                    self.may_have_run = true;
                    self.failure = failure;
                }
            }
            if !self.may_go_on() {
                return self.give_up(last_error, None);
            }
        }
    }

    fn need(&self) -> Need<'_> {
        Need {
            class: self.incoming.route.class,
            rank: self.incoming.route.priority.0,
            deadline: self.incoming.deadline,
            objective: self.incoming.objective,
            tried: &self.tried,
        }
    }

    /// Whether the request may go to another target.
    fn may_go_on(&self) -> bool {
        let is_repeatable = self.incoming.route.class == RequestClass::Idempotent;
        if self.may_have_run && !is_repeatable {
            return false;
        }
        if self.gateway.clock.now() >= self.incoming.deadline {
            return false;
        }
        if self.gateway.is_poisoned(&self.incoming.digest) {
            return false;
        }
        if self.unsent > MOST_UNSENT {
            return false;
        }
        self.sends == 0
            || (self.sends < self.incoming.route.attempts && self.gate.try_send_again())
    }

    async fn send(&mut self, assignment: Assignment) -> Outcome {
        let start = self.gateway.clock.now();
        let message = self.outgoing(&assignment, start);
        let limits = self.gateway.answer_limits();
        let until = self.try_until(start);
        let (pool, address) = (&self.gateway.pool, assignment.address());
        let exchange = match self.incoming.route.class {
            RequestClass::Idempotent => pool.exchange(address, &message, &limits, until).await,
            RequestClass::Once => pool.exchange_fresh(address, &message, &limits, until).await,
        };
        let time = self.gateway.clock.now().since(start);
        let reused = exchange.reused;
        let (outcome, finding) = self.judge(exchange, time, &assignment).await;
        match &outcome {
            Outcome::NotRun if finding != Some(Finding::Shed) => self.unsent += 1,
            Outcome::NotRun
            | Outcome::Answered(_)
            | Outcome::MayHaveRun(_)
            | Outcome::ServerError(_) => self.sends += 1,
        }
        self.log_exchange(&assignment, &outcome, finding, time, reused);
        let is_news = finding.is_some_and(Finding::is_told);
        assignment.finish(finding);
        if is_news {
            self.gateway.news.notify(usize::MAX);
        }
        outcome
    }

    /// Until when one target may take. An idempotent request leaves time for another one.
    fn try_until(&self, now: Timestamp) -> Timestamp {
        let deadline = self.incoming.deadline;
        let is_repeatable = self.incoming.route.class == RequestClass::Idempotent;
        if !is_repeatable || self.sends + 1 >= self.incoming.route.attempts {
            return deadline;
        }
        let latency = self.gate.latency();
        let limit = Millis(latency.0 * TRY_FACTOR).max(LEAST_TRY);
        let until = now.after(limit);
        if until.after(latency) > deadline {
            return deadline;
        }
        until
    }

    /// The request as it goes to a target.
    fn outgoing(&self, assignment: &Assignment, now: Timestamp) -> Request {
        let mut message = self.incoming.message.clone();
        message.verdict = Verdict::Reuse;
        let left = self.incoming.deadline.since(now);
        let headers = self.gateway.headers;
        message.headers.set(headers.deadline, left.0.to_string());
        message
            .headers
            .set(headers.expected_target, assignment.target().as_str());
        message
    }

    /// What an exchange came to, and what it says about the target.
    async fn judge(
        &self,
        exchange: Exchange,
        time: Millis,
        assignment: &Assignment,
    ) -> (Outcome, Option<Finding>) {
        match exchange.result {
            ExchangeResult::Answered(response) => self.judge_answer(response, time),
            ExchangeResult::NotSent(reason) => (Outcome::NotRun, finding_of_unsent(reason)),
            ExchangeResult::Unknown {
                reason: Unknown::Deadline,
                ..
            } => {
                let limit = Millis(self.gate.latency().0 * TRY_FACTOR).max(LEAST_TRY);
                // A short time left must not make a healthy target look sick.
                let finding = (time >= limit).then_some(Finding::Silent);
                (Outcome::MayHaveRun(Failure::TimedOut), finding)
            }
            ExchangeResult::Unknown {
                reason,
                answer_started,
            } => {
                if !answer_started && is_disconnect(reason) {
                    let check = check_crash(
                        Arc::clone(self.gateway),
                        assignment.address(),
                        self.crash_of(assignment),
                    );
                    if self.incoming.route.class == RequestClass::Idempotent {
                        // It must be known before the request goes to another target.
                        check.await;
                    } else {
                        task::spawn(check);
                    }
                }
                let finding = (!reason.is_local()).then_some(Finding::Broken);
                (Outcome::MayHaveRun(Failure::Broken), finding)
            }
        }
    }

    fn judge_answer(&self, response: Response, time: Millis) -> (Outcome, Option<Finding>) {
        let names = self.gateway.headers;
        if response.status == MISDIRECTED {
            return (Outcome::NotRun, Some(Finding::Replaced));
        }
        if response.headers.get(names.not_run).is_some() {
            return (Outcome::NotRun, Some(Finding::Shed));
        }
        if response.status < 400 {
            let is_genuine = response.headers.get(names.seal).is_some()
                && response.headers.get(names.attempt) == self.incoming_attempt()
                && response.headers.get("Content-Encoding").is_none();
            if !is_genuine {
                return (
                    Outcome::MayHaveRun(Failure::Broken),
                    Some(Finding::Broken),
                );
            }
            return (
                Outcome::Answered(response),
                Some(self.gate.judge_answer(time)),
            );
        }
        if PROMISES.contains(&response.status) {
            // To the caller these mean "not run", which the target doesn't say.
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
            Some(self.gate.judge_answer(time)),
        )
    }

    fn crash_of(&self, assignment: &Assignment) -> CrashReport {
        CrashReport {
            request: self.incoming.digest,
            target: assignment.target().clone(),
            incarnation: assignment.pick().incarnation,
        }
    }

    fn deliver(&self, response: Response) -> Response {
        self.log_end(response.status, "answered", None);
        response
    }

    /// The answer to a request that goes to no further target.
    fn give_up(&self, last_error: Option<Response>, refusal: Option<Refusal>) -> Response {
        if self.may_have_run {
            if let Some(response) = last_error {
                self.log_end(response.status, "target-error", None);
                return response;
            }
            let failure = if self.failure == Failure::NoRoom {
                Failure::Broken
            } else {
                self.failure
            };
            let response = failure.to_response(None);
            self.log_end(response.status, failure.into(), None);
            return response;
        }
        let failure = if self.gateway.is_poisoned(&self.incoming.digest) {
            Failure::Poisoned
        } else {
            Failure::NoRoom
        };
        let refusal = refusal.unwrap_or_else(|| self.gate.refusal(self.incoming.route.priority.0));
        let response = failure.to_response(Some(refusal.retry_after));
        self.log_end(response.status, failure.into(), Some(refusal.retry_after));
        response
    }

    fn attempt_id(&self) -> &str {
        let header = self.incoming.message.headers.text(self.gateway.headers.attempt);
        header.unwrap_or("-")
    }

    fn incoming_attempt(&self) -> Option<&[u8]> {
        self.incoming.message.headers.get(self.gateway.headers.attempt)
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
        info!(
            attempt = self.attempt_id(), service = self.gate.name().as_str(),
            target_id = pick.target.as_str(), incarnation = pick.incarnation.0,
            in_flight = pick.in_flight, suspicion = pick.suspicion, reused = reused,
            time_ms = time.0, result = result, finding = finding;
            "exchange"
        );
        let labels = ExchangeLabels {
            service: self.gate.name().to_string(),
            finding: finding.to_owned(),
        };
        self.gateway.metrics.record_exchange(labels, time);
    }

    fn log_end(&self, status: u16, result: &str, retry_after: Option<Millis>) {
        let now = self.gateway.clock.now();
        let time = now.since(self.incoming.arrived);
        info!(
            attempt = self.attempt_id(), route = self.incoming.route.name,
            service = self.gate.name().as_str(), class:% = self.incoming.route.class,
            status = status, result = result, not_run = retry_after.is_some(), sends = self.sends,
            unsent = self.unsent, time_ms = time.0,
            left_ms = self.incoming.deadline.since(now).0,
            retry_after_ms = retry_after.unwrap_or_default().0;
            "request"
        );
        let labels = RequestLabels {
            service: self.gate.name().to_string(),
            class: self.incoming.route.class.to_string(),
            result: result.to_owned(),
        };
        self.gateway.metrics.record_request(labels, time);
    }
}

/// Reports a crash if the target refuses connections after it broke off.
async fn check_crash(gateway: Arc<Gateway>, address: SocketAddr, crash: CrashReport) {
    if refuses_connections(address).await {
        gateway.report_crash(crash);
    }
}

/// Status of a target that is not the expected one.
const MISDIRECTED: u16 = 421;
/// Statuses that promise callers that their request has not run.
const PROMISES: [u16; 3] = [408, 429, 503];

fn finding_of_unsent(reason: NotSent) -> Option<Finding> {
    match reason {
        NotSent::Refused => Some(Finding::Refused),
        NotSent::ConnectTimeout | NotSent::Closed => Some(Finding::Unreachable),
        NotSent::ConnectFailed(_) => (!reason.is_local()).then_some(Finding::Unreachable),
        NotSent::AllInUse | NotSent::Deadline => None,
    }
}

/// Whether the target closed the connection or went away.
fn is_disconnect(reason: Unknown) -> bool {
    matches!(
        reason,
        Unknown::Framing(
            FramingError::ClosedBetweenMessages | FramingError::ClosedInHead | FramingError::Io(_)
        )
    )
}
