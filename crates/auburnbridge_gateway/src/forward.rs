//! One request on its way to targets.

use std::sync::Arc;

use auburnbridge_caller::Disconnect;
use auburnbridge_http::Response;
use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{BalancedKey, Need, Refusal};
use auburnbridge_telemetry::RequestLabels;
use auburnbridge_types::Millis;
use futures_lite::FutureExt;
use log::info;

use crate::answer::Failure;
use crate::exchange::{Exchanger, Outcome, Sent};
use crate::gate::{Assignment, ServiceGate};
use crate::gateway::{Gateway, Incoming};

/// Connections that failed before the request was sent; more are not tried.
const MOST_UNSENT: u32 = 8;

/// The state of one request.
pub(crate) struct Forward<'a> {
    exchanger: Exchanger<'a>,
    disconnect: &'a Disconnect,
    tried: Vec<BalancedKey>,
    /// Sends that reached a target.
    sends: u32,
    unsent: u32,
    may_have_run: bool,
    failure: Failure,
}

impl<'a> Forward<'a> {
    pub(crate) fn new(
        gateway: &'a Arc<Gateway>,
        incoming: &'a Incoming,
        gate: &'a Arc<ServiceGate>,
        disconnect: &'a Disconnect,
    ) -> Self {
        Self {
            exchanger: Exchanger {
                gateway,
                incoming,
                gate,
            },
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
        let (exchanger, disconnect) = (self.exchanger, self.disconnect);
        let rank = exchanger.incoming.route.priority.0;
        exchanger.gate.record_request(rank);
        let gone = async {
            disconnect.wait().await;
            None
        };
        let served = gone.or(async { Some(self.serve().await) }).await;
        served.unwrap_or_else(|| {
            info!(attempt = exchanger.attempt_id(); "request cancelled: the caller disconnected");
            Failure::Broken.to_response(None)
        })
    }

    async fn serve(&mut self) -> Response {
        let gate = self.exchanger.gate;
        let mut last_error = None;
        loop {
            let assignment = match gate.acquire(self.need()).await {
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

    /// Sends the request to a target. An idempotent request that gets no answer in usual time goes to
    /// a second target as well, and the first useful answer is taken.
    async fn send(&mut self, assignment: Assignment) -> Outcome {
        let exchanger = self.exchanger;
        if exchanger.incoming.route.class == RequestClass::Once {
            return self.count(exchanger.send(assignment).await);
        }
        let left = exchanger
            .incoming
            .objective
            .since(exchanger.gateway.clock.now());
        let patience = exchanger.gate.answer_times().second_send_after(left);
        let mut first = Box::pin(exchanger.send(assignment));
        let silent = exchanger.gateway.clock.sleep(patience);
        let answered = async { Some((&mut first).await) };
        let waited = async {
            silent.await;
            None
        };
        if let Some(sent) = answered.or(waited).await {
            return self.count(sent);
        }
        let Some(second) = self.second_target() else {
            return self.count(first.await);
        };
        self.tried.push(second.key());
        // The first one counts whether it is waited for or not.
        self.sends += 1;
        let mut second = Box::pin(exchanger.send(second));
        let either = async { (true, (&mut first).await) }
            .or(async { (false, (&mut second).await) })
            .await;
        let sent = match either {
            (_, sent) if matches!(sent.outcome, Outcome::Answered(_)) => sent,
            (true, _) => second.await,
            (false, _) => first.await,
        };
        self.count(sent)
    }

    /// A second target for a request that has been sent already, if there is one with a free slot.
    fn second_target(&mut self) -> Option<Assignment> {
        let is_allowed = self.sends + 1 < self.exchanger.incoming.route.attempts;
        let gate = self.exchanger.gate;
        if !is_allowed {
            return None;
        }
        let second = gate.try_acquire(&self.need())?;
        gate.try_send_again().then_some(second)
    }

    fn count(&mut self, sent: Sent) -> Outcome {
        if sent.has_arrived {
            self.sends += 1;
        } else {
            self.unsent += 1;
        }
        sent.outcome
    }

    fn need(&self) -> Need<'_> {
        let incoming = self.exchanger.incoming;
        Need {
            class: incoming.route.class,
            rank: incoming.route.priority.0,
            deadline: incoming.deadline,
            objective: incoming.objective,
            tried: &self.tried,
        }
    }

    /// Whether the request may go to another target.
    fn may_go_on(&self) -> bool {
        let Exchanger {
            gateway,
            incoming,
            gate,
        } = self.exchanger;
        let is_repeatable = incoming.route.class == RequestClass::Idempotent;
        if self.may_have_run && !is_repeatable {
            return false;
        }
        if gateway.clock.now() >= incoming.deadline || gateway.is_poisoned(&incoming.digest) {
            return false;
        }
        if self.unsent > MOST_UNSENT {
            return false;
        }
        self.sends == 0 || (self.sends < incoming.route.attempts && gate.try_send_again())
    }

    fn deliver(&self, response: Response) -> Response {
        self.log_end(response.status, "answered", None);
        response
    }

    /// The answer to a request that goes to no further target.
    fn give_up(&self, last_error: Option<Response>, refusal: Option<Refusal>) -> Response {
        let exchanger = self.exchanger;
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
        let failure = if exchanger.gateway.is_poisoned(&exchanger.incoming.digest) {
            Failure::Poisoned
        } else {
            Failure::NoRoom
        };
        let refusal =
            refusal.unwrap_or_else(|| exchanger.gate.refusal(exchanger.incoming.route.priority.0));
        let response = failure.to_response(Some(refusal.retry_after));
        self.log_end(response.status, failure.into(), Some(refusal.retry_after));
        response
    }

    fn log_end(&self, status: u16, result: &str, retry_after: Option<Millis>) {
        let Exchanger {
            gateway,
            incoming,
            gate,
        } = self.exchanger;
        let now = gateway.clock.now();
        let time = now.since(incoming.arrived);
        info!(
            attempt = self.exchanger.attempt_id(), version = incoming.version.0, route = incoming.route.name,
            service = gate.name().as_str(), class:% = incoming.route.class,
            status = status, result = result, not_run = retry_after.is_some(), sends = self.sends,
            unsent = self.unsent, time_ms = time.0,
            left_ms = incoming.deadline.since(now).0,
            retry_after_ms = retry_after.unwrap_or_default().0;
            "request"
        );
        let labels = RequestLabels {
            service: gate.name().to_string(),
            class: incoming.route.class.to_string(),
            result: result.to_owned(),
        };
        gateway.metrics.record_request(&labels, time);
    }
}
