//! One exchange with a target, and the classification of its result for the request and the target.

use auburnbridge_caller::{Disconnect, OUTCOME_HEADER};
use auburnbridge_http::{FramingError, Request, Response};
use auburnbridge_metrics::{Counter, Timer};
use auburnbridge_policy::{Observation, RequestClass};
use auburnbridge_rules::RouteClass;
use auburnbridge_target::{Exchange, ExchangeResult, NotSentReason, UnknownReason};
use auburnbridge_types::{AttemptId, Millis, Timestamp};
use futures_lite::FutureExt;
use log::info;

use crate::entry::Entry;
use crate::fleets::Assignment;
use crate::keyed::REPLAYED_HEADER;
use crate::request::{CallerRequest, DEADLINE_HEADER};

/// Header of a request to a target with the id of the attempt.
pub const ATTEMPT_HEADER: &str = "Auburnbridge-Attempt";
/// Header of a target's answer that states that the target did not run the request.
pub const SHED_HEADER: &str = "Auburnbridge-Shed";

/// Minimum duration for an exchange that ends at the caller's deadline to count as evidence against
/// the target; the timeout of the route, if that is shorter.
const UNRESPONSIVE_AFTER: Millis = Millis(1_000);

/// Result of one exchange with a target.
pub(crate) enum ExchangeOutcome {
    /// Complete answer of the target.
    Answered(Response),
    /// The target had no free slot and did not run the request.
    Shed,
    /// No byte was written to the target.
    NotSent(NotSentReason),
    /// The target may have run the request.
    Unknown {
        reason: UnknownReason,
        crashed: bool,
    },
    /// The caller disconnected, and the exchange was cancelled.
    Cancelled,
}

impl Entry {
    /// Runs one exchange with the assigned target and reports its result as evidence about the
    /// target.
    ///
    /// `disconnect` cancels the exchange, but not the check whether the target crashed.
    pub(crate) async fn run_exchange(
        &self,
        req: &CallerRequest,
        attempt: &AttemptId,
        assignment: Assignment,
        disconnect: Option<&Disconnect>,
    ) -> ExchangeOutcome {
        let start = self.deps.clock.now();
        info!(
            "routing service={} target={} attempt={attempt} class={} {}",
            req.route.service,
            assignment.target(),
            req.route.class,
            assignment.log_fields()
        );
        let exchange = self.exchange(req, attempt, &assignment, start);
        let exchange = match disconnect {
            Some(disconnect) => unless_disconnected(disconnect, exchange).await,
            None => Some(exchange.await),
        };
        let is_reused = exchange.as_ref().is_some_and(|exchange| exchange.reused);
        let result = match exchange {
            Some(exchange) => self.classify(exchange, &assignment).await,
            None => ExchangeOutcome::Cancelled,
        };
        let now = self.deps.clock.now();
        let time = now.since(start);
        info!(
            "exchange service={} target={} attempt={attempt} reused={is_reused} time={time} result={}",
            req.route.service,
            assignment.target(),
            result.summary()
        );
        let service = ("service", req.route.service.as_str());
        let metrics = &self.deps.metrics;
        metrics.count(Counter::Exchange, &[service, ("result", result.name())]);
        metrics.time(Timer::ExchangeTime, time, &[service]);
        assignment.finish(now, result.observation(time, req.route.timeout));
        result
    }

    async fn exchange(
        &self,
        req: &CallerRequest,
        attempt: &AttemptId,
        assignment: &Assignment,
        now: Timestamp,
    ) -> Exchange {
        let message = outgoing_request(req, attempt, now);
        let limits = self
            .answer_limits
            .clone()
            .with_body_bytes(req.route.largest_answer);
        let class = request_class(req.route.class);
        self.deps
            .targets
            .exchange(assignment.address(), &message, class, &limits, req.deadline)
            .await
    }

    /// Classifies the result of an exchange; after a lost connection, checks whether the target
    /// crashed.
    async fn classify(&self, exchange: Exchange, assignment: &Assignment) -> ExchangeOutcome {
        match exchange.result {
            ExchangeResult::Answered(response) if is_shed(&response) => ExchangeOutcome::Shed,
            ExchangeResult::Answered(mut response) => {
                // Only the entry may set these headers.
                response.headers.remove(OUTCOME_HEADER);
                response.headers.remove(REPLAYED_HEADER);
                ExchangeOutcome::Answered(response)
            }
            ExchangeResult::NotSent(reason) => ExchangeOutcome::NotSent(reason),
            ExchangeResult::Unknown {
                reason,
                answer_started,
            } => {
                let connection_lost =
                    matches!(reason, UnknownReason::Framing(error) if is_connection_loss(error));
                let targets = &self.deps.targets;
                let crashed = connection_lost
                    && !answer_started
                    && targets.refuses_connections(assignment.address()).await;
                ExchangeOutcome::Unknown { reason, crashed }
            }
        }
    }
}

/// Result of `future`, or `None` if the caller disconnects before it completes.
pub(crate) async fn unless_disconnected<T>(
    disconnect: &Disconnect,
    future: impl Future<Output = T>,
) -> Option<T> {
    let disconnected = async {
        disconnect.wait().await;
        None
    };
    // `disconnected` is polled first: the request of a disconnected caller must not reach a target.
    disconnected.or(async { Some(future.await) }).await
}

impl ExchangeOutcome {
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

    /// Evidence about the target, given the `time` of the exchange and the `timeout` of the route.
    fn observation(&self, time: Millis, timeout: Millis) -> Observation {
        match self {
            Self::Answered(response) if response.status >= 500 => Observation::ServerError,
            Self::Answered(_) => Observation::Answered(time),
            Self::Shed => Observation::Shed,
            Self::NotSent(reason) if reason.is_local() => Observation::NotAttributable,
            Self::NotSent(_) => Observation::ConnectFailed,
            // The request may have caused the crash; connections refused later count as evidence.
            Self::Cancelled | Self::Unknown { crashed: true, .. } => Observation::NotAttributable,
            Self::Unknown { reason, .. } if reason.is_local() => Observation::NotAttributable,
            // A short deadline of the caller says nothing about the health of the target.
            Self::Unknown {
                reason: UnknownReason::Deadline,
                ..
            } if time < timeout.min(UNRESPONSIVE_AFTER) => Observation::NotAttributable,
            Self::Unknown {
                reason: UnknownReason::Deadline,
                ..
            } => Observation::TimedOut,
            Self::Unknown { .. } => Observation::InvalidAnswer,
        }
    }
}

fn is_connection_loss(error: FramingError) -> bool {
    matches!(
        error,
        FramingError::ClosedBetweenMessages | FramingError::ClosedInHead | FramingError::Io(_)
    )
}

fn is_shed(response: &Response) -> bool {
    response.status == 503 && response.headers.text(SHED_HEADER) == Some("1")
}

/// Request as it is sent to a target.
fn outgoing_request(req: &CallerRequest, attempt: &AttemptId, now: Timestamp) -> Request {
    let mut message = req.message.clone();
    message.keep_alive = auburnbridge_http::KeepAlive::Reuse;
    let remaining = req.deadline.since(now);
    message
        .headers
        .set(DEADLINE_HEADER, remaining.0.to_string());
    message.headers.set(ATTEMPT_HEADER, attempt.to_string());
    message.headers.append("Via", "1.1 auburnbridge");
    message
}

/// Converts the class of a route to that of the policy crate.
pub(crate) fn request_class(class: RouteClass) -> RequestClass {
    match class {
        RouteClass::Idempotent => RequestClass::Idempotent,
        RouteClass::Once => RequestClass::Once,
    }
}
