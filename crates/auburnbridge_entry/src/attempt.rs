//! One exchange with a target, and what its result says about the request and the target.

use auburnbridge_caller::{Disconnect, OUTCOME_HEADER};
use auburnbridge_http::{FramingError, Request, Response};
use auburnbridge_metrics::{Counter, Timer};
use auburnbridge_policy::{Observation, RequestClass};
use auburnbridge_rules::Class;
use auburnbridge_target::{Exchange, ExchangeResult, NotSent, Unknown};
use auburnbridge_types::{AttemptId, Millis, Timestamp};
use futures_lite::FutureExt;
use log::info;

use crate::entry::Entry;
use crate::fleets::Assignment;
use crate::keyed::REPLAYED_HEADER;
use crate::request::{CallerRequest, DEADLINE_HEADER};

/// Header that tells a target which attempt it runs.
pub const ATTEMPT_HEADER: &str = "Auburnbridge-Attempt";
/// Header of a target's answer that says that it did not run the request.
pub const SHED_HEADER: &str = "Auburnbridge-Shed";

/// Time without an answer that counts against a target even if the route allows more.
const SILENCE: Millis = Millis(1_000);

/// Result of one exchange with a target.
pub(crate) enum Attempted {
    /// The target's whole answer.
    Answered(Response),
    /// The target did not run the request, because no slot was free.
    Shed,
    /// No byte was written.
    NotSent(NotSent),
    /// The request may have run.
    Unknown { reason: Unknown, crashed: bool },
    /// The caller disconnected, and the exchange was cancelled.
    Cancelled,
}

impl Entry {
    /// Runs one exchange on the assigned target and takes its result as evidence.
    ///
    /// `disconnect` cancels the exchange, but not the check whether its target crashed.
    pub(crate) async fn attempt(
        &self,
        req: &CallerRequest,
        attempt: &AttemptId,
        assignment: Assignment,
        disconnect: Option<&Disconnect>,
    ) -> Attempted {
        let start = self.ports.clock.now();
        info!(
            "routing service={} target={} attempt={attempt} class={} {}",
            req.route.service,
            assignment.target(),
            req.route.class,
            assignment.figures()
        );
        let exchange = self.exchange(req, attempt, &assignment, start);
        let exchange = match disconnect {
            Some(disconnect) => unless_disconnected(disconnect, exchange).await,
            None => Some(exchange.await),
        };
        let is_reused = exchange.as_ref().is_some_and(|exchange| exchange.reused);
        let attempted = match exchange {
            Some(exchange) => self.judge(exchange, &assignment).await,
            None => Attempted::Cancelled,
        };
        let now = self.ports.clock.now();
        let time = now.since(start);
        info!(
            "exchange service={} target={} attempt={attempt} reused={is_reused} time={time} result={}",
            req.route.service,
            assignment.target(),
            attempted.summary()
        );
        let service = ("service", req.route.service.as_str());
        let metrics = &self.ports.metrics;
        metrics.count(Counter::Exchange, &[service, ("result", attempted.name())]);
        metrics.time(Timer::ExchangeTime, time, &[service]);
        assignment.finish(now, attempted.observation(time, req.route.timeout));
        attempted
    }

    async fn exchange(
        &self,
        req: &CallerRequest,
        attempt: &AttemptId,
        assignment: &Assignment,
        now: Timestamp,
    ) -> Exchange {
        let message = outgoing(req, attempt, now);
        let limits = self
            .answer_limits
            .clone()
            .with_body_bytes(req.route.largest_answer);
        let class = request_class(req.route.class);
        self.ports
            .targets
            .exchange(assignment.address(), &message, class, &limits, req.deadline)
            .await
    }

    /// Sorts the result of an exchange; after a broken connection, asks whether the target crashed.
    async fn judge(&self, exchange: Exchange, assignment: &Assignment) -> Attempted {
        match exchange.result {
            ExchangeResult::Answered(response) if is_shed(&response) => Attempted::Shed,
            ExchangeResult::Answered(mut response) => {
                // These headers are the entry's own statements about the request.
                response.headers.remove(OUTCOME_HEADER);
                response.headers.remove(REPLAYED_HEADER);
                Attempted::Answered(response)
            }
            ExchangeResult::NotSent(reason) => Attempted::NotSent(reason),
            ExchangeResult::Unknown {
                reason,
                answer_started,
            } => {
                let broke = matches!(reason, Unknown::Framing(error) if is_disconnect(error));
                let targets = &self.ports.targets;
                let crashed = broke
                    && !answer_started
                    && targets.refuses_connections(assignment.address()).await;
                Attempted::Unknown { reason, crashed }
            }
        }
    }
}

/// The result of `future`, unless the caller disconnects before it is there.
pub(crate) async fn unless_disconnected<T>(
    disconnect: &Disconnect,
    future: impl Future<Output = T>,
) -> Option<T> {
    let gone = async {
        disconnect.wait().await;
        None
    };
    // A request whose caller is gone already must not reach the target.
    gone.or(async { Some(future.await) }).await
}

impl Attempted {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Shed => "shed",
            Self::NotSent(_) => "not-sent",
            Self::Unknown { .. } => "unknown",
            Self::Cancelled => "cancelled",
        }
    }

    fn summary(&self) -> String {
        match self {
            Self::Answered(response) => format!("answered status={}", response.status),
            Self::Shed => "shed".to_owned(),
            Self::NotSent(reason) => format!("not-sent reason={reason:?}"),
            Self::Unknown { reason, crashed } => {
                format!("unknown reason={reason:?} crashed={crashed}")
            }
            Self::Cancelled => "cancelled".to_owned(),
        }
    }

    /// What the result says about the target after `time`; the route allows `timeout`.
    fn observation(&self, time: Millis, timeout: Millis) -> Observation {
        match self {
            Self::Answered(response) if response.status >= 500 => Observation::ServerError,
            Self::Answered(_) => Observation::Answered(time),
            Self::Shed => Observation::Shed,
            Self::NotSent(reason) if reason.is_local() => Observation::NotAttributable,
            Self::NotSent(_) => Observation::ConnectFailed,
            // A request that crashes targets is no evidence; later refused connections are.
            Self::Cancelled | Self::Unknown { crashed: true, .. } => Observation::NotAttributable,
            Self::Unknown { reason, .. } if reason.is_local() => Observation::NotAttributable,
            // A caller with a short deadline must not make a healthy target look sick.
            Self::Unknown {
                reason: Unknown::Deadline,
                ..
            } if time < timeout.min(SILENCE) => Observation::NotAttributable,
            Self::Unknown {
                reason: Unknown::Deadline,
                ..
            } => Observation::TimedOut,
            Self::Unknown { .. } => Observation::AnswerBroken,
        }
    }
}

fn is_disconnect(error: FramingError) -> bool {
    matches!(
        error,
        FramingError::ClosedBetweenMessages | FramingError::ClosedInHead | FramingError::Io(_)
    )
}

fn is_shed(response: &Response) -> bool {
    response.status == 503 && response.headers.text(SHED_HEADER) == Some("1")
}

/// The request as it goes to a target.
fn outgoing(req: &CallerRequest, attempt: &AttemptId, now: Timestamp) -> Request {
    let mut message = req.message.clone();
    message.verdict = auburnbridge_http::Verdict::Reuse;
    let left = req.deadline.since(now);
    message.headers.set(DEADLINE_HEADER, left.0.to_string());
    message.headers.set(ATTEMPT_HEADER, attempt.to_string());
    message.headers.append("Via", "1.1 auburnbridge");
    message
}

/// The class as decisions about targets know it.
pub(crate) fn request_class(class: Class) -> RequestClass {
    match class {
        Class::Idempotent => RequestClass::Idempotent,
        Class::Once => RequestClass::Once,
    }
}
