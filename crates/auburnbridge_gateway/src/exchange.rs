//! One exchange with one target: what it came to, and what it says about the target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task;
use auburnbridge_http::{FramingError, Request, Response, Verdict};
use auburnbridge_policy::balance::Finding;
use auburnbridge_policy::{CrashReport, RequestClass};
use auburnbridge_target::{Exchange, ExchangeResult, NotSent, Unknown, refuses_connections};
use auburnbridge_telemetry::ExchangeLabels;
use auburnbridge_types::{Millis, Timestamp};
use futures_lite::FutureExt;
use log::info;

use crate::answer::Failure;
use crate::gate::{Assignment, ServiceGate};
use crate::gateway::{Gateway, Incoming};

/// Status of a target that is not the expected one.
const MISDIRECTED: u16 = 421;
/// Statuses that promise callers that their request has not run.
const PROMISES: [u16; 3] = [408, 429, 503];

/// Sends one request to targets.
#[derive(Clone, Copy)]
pub(crate) struct Exchanger<'a> {
    pub(crate) gateway: &'a Arc<Gateway>,
    pub(crate) incoming: &'a Incoming,
    pub(crate) gate: &'a Arc<ServiceGate>,
}

/// What a send to one target came to.
pub(crate) enum Outcome {
    /// The target's answer is the caller's.
    Answered(Response),
    /// The target certainly didn't run the request.
    NotRun,
    /// The target may have run it and gave no usable answer.
    MayHaveRun(Failure),
    /// The target answered with an error of its own.
    ServerError(Response),
}

/// What a send to one target came to, and whether the request reached it.
pub(crate) struct Sent {
    pub(crate) outcome: Outcome,
    pub(crate) has_arrived: bool,
}

impl Exchanger<'_> {
    /// Sends the request to a target and waits for what it comes to. Dropping the future ends the
    /// request at the target.
    pub(crate) async fn send(self, assignment: Assignment) -> Sent {
        let start = self.gateway.clock.now();
        let message = self.outgoing(&assignment, start);
        let was_silent = AtomicBool::new(false);
        let silence = self.observe_silence(&assignment, &was_silent);
        let exchange = self.exchange(&assignment, &message).or(silence).await;
        let time = self.gateway.clock.now().since(start);
        let reused = exchange.reused;
        let was_silent = was_silent.load(Ordering::Relaxed);
        let (outcome, finding) = self.judge(exchange, time, was_silent, &assignment).await;
        self.log_exchange(&assignment, &outcome, finding, time, reused);
        let is_unsent = matches!(outcome, Outcome::NotRun) && finding != Some(Finding::Shed);
        assignment.finish(finding);
        if finding.is_some_and(Finding::is_reported) {
            self.gateway.news.notify(usize::MAX);
        }
        Sent {
            outcome,
            has_arrived: !is_unsent,
        }
    }

    async fn exchange(self, assignment: &Assignment, message: &Request) -> Exchange {
        let limits = self.gateway.answer_limits();
        let until = self.incoming.deadline;
        let (pool, address) = (&self.gateway.pool, assignment.address());
        match self.incoming.route.class {
            RequestClass::Idempotent => pool.exchange(address, message, &limits, until).await,
            RequestClass::Once => pool.exchange_fresh(address, message, &limits, until).await,
        }
    }

    /// Takes the lack of an answer in several times the usual time as evidence while the request goes
    /// on; otherwise the target would get more work up to the deadline. Never ends.
    async fn observe_silence<T>(self, assignment: &Assignment, was_silent: &AtomicBool) -> T {
        let patience = self.gate.answer_times().silent_after();
        self.gateway.clock.sleep(patience).await;
        info!(
            attempt = self.attempt_id(), service = self.gate.name().as_str(),
            target_id = assignment.target().as_str(), after_ms = patience.0;
            "target silent"
        );
        was_silent.store(true, Ordering::Relaxed);
        self.gate.observe(assignment.key(), Finding::Silent);
        self.gateway.news.notify(usize::MAX);
        std::future::pending().await
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
        was_silent: bool,
        assignment: &Assignment,
    ) -> (Outcome, Option<Finding>) {
        match exchange.result {
            ExchangeResult::Answered(response) => self.judge_answer(response, time, was_silent),
            ExchangeResult::NotSent(reason) => (Outcome::NotRun, finding_of_unsent(reason)),
            ExchangeResult::Unknown {
                reason: Unknown::Deadline,
                ..
            } => {
                // A long silence has been observed already, and a short time left must not make a
                // healthy target look sick.
                (Outcome::MayHaveRun(Failure::TimedOut), None)
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
                let finding = (!reason.is_local()).then(|| Finding::of_break(time));
                (Outcome::MayHaveRun(Failure::Broken), finding)
            }
        }
    }

    fn judge_answer(
        &self,
        response: Response,
        time: Millis,
        was_silent: bool,
    ) -> (Outcome, Option<Finding>) {
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
                return (Outcome::MayHaveRun(Failure::Broken), Some(Finding::Broken));
            }
            return (
                Outcome::Answered(response),
                Some(self.gate.judge_answer(time, was_silent)),
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
            Some(self.gate.judge_answer(time, was_silent)),
        )
    }

    fn crash_of(&self, assignment: &Assignment) -> CrashReport {
        CrashReport {
            request: self.incoming.digest,
            target: assignment.target().clone(),
            incarnation: assignment.pick().incarnation,
        }
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
        self.gateway.metrics.record_exchange(&labels, time);
    }

    /// The id that the caller gave this send of its request.
    pub(crate) fn attempt_id(&self) -> &str {
        self.incoming_attempt()
            .and_then(|id| std::str::from_utf8(id).ok())
            .unwrap_or("-")
    }

    fn incoming_attempt(&self) -> Option<&[u8]> {
        let name = self.gateway.headers.attempt;
        self.incoming.message.headers.get(name)
    }
}

/// Reports a crash if the target refuses connections after it broke off.
async fn check_crash(gateway: Arc<Gateway>, address: SocketAddr, crash: CrashReport) {
    if refuses_connections(address).await {
        gateway.report_crash(crash);
    }
}

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
