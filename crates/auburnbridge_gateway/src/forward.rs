//! Forwarding of one request, with retries and hedging.

use std::sync::Arc;

use auburnbridge_caller::Disconnect;
use auburnbridge_http::Response;
use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{AccountKey, BalancedKey, PlacementRequest, Refusal};
use auburnbridge_policy::poison::Verdict;
use auburnbridge_telemetry::RequestLabels;
use auburnbridge_types::RunId;
use futures_lite::FutureExt;
use log::info;

use crate::bodies::BodyInFlight;
use crate::exchange::{Exchanger, Outcome, SendResult};
use crate::failure::Failure;
use crate::gateway::{Gateway, Incoming};
use crate::service_dispatcher::{Assignment, ServiceDispatcher};
use crate::suspects::RunPermit;

/// A request is given up after more than this many sends that don't count (see
/// [`SendResult::counts_as_send`]).
const MAX_UNSENT: u32 = 8;

/// Forwards one request, to several targets if needed.
pub(crate) struct Forwarder<'a> {
    exchanger: Exchanger<'a>,
    disconnect: &'a Disconnect,
    /// Client account of the request, for its fair share.
    account: Option<AccountKey>,
    tried: Vec<BalancedKey>,
    /// Number of sends that count, hedges included.
    sends: u32,
    /// Number of sends that don't count.
    unsent: u32,
    may_have_run: bool,
    /// Failure of the latest send with [`Outcome::MayHaveRun`]; `NoRoom` before the first one.
    failure: Failure,
}

/// A target and the permission to send it the request.
struct PreparedSend<'a> {
    assignment: Assignment,
    permit: RunPermit<'a>,
    _body_in_flight: Option<BodyInFlight>,
}

impl<'a> Forwarder<'a> {
    pub(crate) fn new(
        gateway: &'a Arc<Gateway>,
        incoming: &'a Incoming,
        dispatcher: &'a Arc<ServiceDispatcher>,
        disconnect: &'a Disconnect,
    ) -> Self {
        Self {
            exchanger: Exchanger {
                gateway,
                incoming,
                dispatcher,
            },
            disconnect,
            account: incoming
                .account
                .as_ref()
                .map(|account| AccountKey::of(&account.id)),
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            may_have_run: false,
            failure: Failure::NoRoom,
        }
    }

    /// Serves the request. If the caller disconnects, the request is cancelled at the target as well.
    pub(crate) async fn run(mut self) -> Response {
        let (exchanger, disconnect) = (self.exchanger, self.disconnect);
        let priority = exchanger.incoming.priority.0;
        exchanger.dispatcher.record_request(priority, self.account);
        let disconnected = async {
            disconnect.wait().await;
            None
        };
        let served = disconnected.or(async { Some(self.serve().await) }).await;
        served.unwrap_or_else(|| {
            if self.tried.is_empty() {
                self.give_permit_back();
            }
            info!(attempt = exchanger.attempt_id(); "request cancelled: the caller disconnected");
            Failure::Broken.to_response(None)
        })
    }

    async fn serve(&mut self) -> Response {
        let mut last_error = None;
        loop {
            let Exchanger {
                gateway,
                dispatcher,
                ..
            } = self.exchanger;
            let expected = || dispatcher.expected_answer_time();
            let clock = gateway.clock.as_ref();
            let prepared = gateway
                .exit
                .bound_wait(clock, expected, self.prepare_send());
            let prepared = match prepared.await {
                Some(Ok(prepared)) => prepared,
                Some(Err(refusal)) => return self.give_up(last_error, refusal),
                None => return self.give_up(last_error, None),
            };
            self.tried.push(prepared.assignment.key());
            match self.send(prepared.assignment, &prepared.permit).await {
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
            if !self.may_retry() {
                return self.give_up(last_error, None);
            }
        }
    }

    /// Waits until the request may be sent and a target has room for it. An error without a refusal
    /// means that it may not be sent to any target.
    async fn prepare_send(&self) -> Result<PreparedSend<'a>, Option<Refusal>> {
        loop {
            if !self.wait_for_admission().await {
                return Err(None);
            }
            let placed = self.exchanger.acquire(self.placement_request()).await;
            let (assignment, body_in_flight) = placed.map_err(Some)?;
            let Some(permit) = self.begin_run().await else {
                assignment.give_back();
                continue;
            };
            return Ok(PreparedSend {
                assignment,
                permit,
                _body_in_flight: body_in_flight,
            });
        }
    }

    /// Sends the request to a target. An idempotent request that gets no response in the usual time is
    /// hedged: it is also sent to a second target, and the first usable response is taken. One that is
    /// on trial isn't, since it must run on one target at a time.
    async fn send(&mut self, assignment: Assignment, permit: &RunPermit<'_>) -> Outcome {
        let exchanger = self.exchanger;
        if exchanger.incoming.route.class == RequestClass::Once || permit.is_on_trial() {
            return self.record_send(exchanger.send(assignment, permit.run).await);
        }
        let left = exchanger
            .incoming
            .objective
            .since(exchanger.gateway.clock.now());
        let hedge_delay = exchanger.dispatcher.answer_times().hedge_delay(left);
        let mut first = Box::pin(exchanger.send(assignment, permit.run));
        let delay = exchanger.gateway.clock.sleep(hedge_delay);
        let responded = async { Some((&mut first).await) };
        let timed_out = async {
            delay.await;
            None
        };
        if let Some(result) = responded.or(timed_out).await {
            return self.record_send(result);
        }
        let Some((hedge, _body_in_flight)) = self.acquire_hedge() else {
            return self.record_send(first.await);
        };
        self.tried.push(hedge.key());
        // Two sends are counted: one here, whether or not its outcome is awaited, and the one whose
        // result is returned in `record_send`.
        self.sends += 1;
        let mut hedge = Box::pin(exchanger.send(hedge, RunId(rand::random())));
        // The flag tells whether the first send completed before the hedge.
        let either = async { (true, (&mut first).await) }
            .or(async { (false, (&mut hedge).await) })
            .await;
        let result = match either {
            (_, result) if matches!(result.outcome, Outcome::Answered(_)) => result,
            (true, result) => result.or_better(hedge.await),
            (false, result) => result.or_better(first.await),
        };
        self.record_send(result)
    }

    /// A second target for a request that is still in flight on the first one, if a target has a free
    /// slot and the resend budget allows it.
    fn acquire_hedge(&self) -> Option<(Assignment, Option<BodyInFlight>)> {
        let is_allowed = self.sends + 1 < self.exchanger.incoming.route.max_attempts
            && self.verdict() == Verdict::Sound;
        if !is_allowed {
            return None;
        }
        let hedge = self.exchanger.acquire_hedge(self.placement_request())?;
        let has_resend = self.exchanger.dispatcher.try_resend(self.account);
        has_resend.then_some(hedge)
    }

    async fn wait_for_admission(&self) -> bool {
        let Exchanger {
            gateway, incoming, ..
        } = self.exchanger;
        let admitted = gateway.suspects.wait_for_admission(
            gateway.clock.as_ref(),
            &incoming.digest,
            incoming.deadline,
        );
        admitted.await
    }

    /// Begins a run on the target that was found; `None` if the request may not be sent now.
    async fn begin_run(&self) -> Option<RunPermit<'a>> {
        let Exchanger {
            gateway, incoming, ..
        } = self.exchanger;
        let clock = gateway.clock.as_ref();
        gateway.suspects.begin_run(clock, &incoming.digest).await
    }

    fn verdict(&self) -> Verdict {
        let Exchanger {
            gateway, incoming, ..
        } = self.exchanger;
        gateway.verdict(&incoming.digest)
    }

    fn record_send(&mut self, result: SendResult) -> Outcome {
        if result.counts_as_send {
            self.sends += 1;
        } else {
            self.unsent += 1;
        }
        result.outcome
    }

    fn placement_request(&self) -> PlacementRequest<'_> {
        let incoming = self.exchanger.incoming;
        PlacementRequest {
            class: incoming.route.class,
            priority: incoming.priority.0,
            account: self.account,
            deadline: incoming.deadline,
            objective: incoming.objective,
            tried: &self.tried,
            is_last_send: self.sends + 1 >= incoming.route.max_attempts,
        }
    }

    /// Whether the request may be sent to another target.
    fn may_retry(&self) -> bool {
        let Exchanger {
            gateway,
            incoming,
            dispatcher,
        } = self.exchanger;
        let is_idempotent = incoming.route.class == RequestClass::Idempotent;
        if self.may_have_run && !is_idempotent {
            return false;
        }
        if gateway.clock.now() >= incoming.deadline
            || matches!(self.verdict(), Verdict::Poisoned(_))
        {
            return false;
        }
        if self.unsent > MAX_UNSENT {
            return false;
        }
        self.sends == 0
            || (self.sends < incoming.route.max_attempts && dispatcher.try_resend(self.account))
    }

    fn deliver(&self, response: Response) -> Response {
        self.exchanger.dispatcher.record_outcome(true);
        self.log_request(response.status, "answered", None);
        response
    }

    /// The response to a request that is sent to no further target.
    fn give_up(&self, last_error: Option<Response>, refusal: Option<Refusal>) -> Response {
        let exchanger = self.exchanger;
        exchanger.dispatcher.record_outcome(false);
        if self.may_have_run {
            if let Some(response) = last_error {
                self.log_request(response.status, "target-error", None);
                return response;
            }
            // Guards against telling the caller that the request did not run.
            let failure = if self.failure == Failure::NoRoom {
                Failure::Broken
            } else {
                self.failure
            };
            let response = failure.to_response(None);
            self.log_request(response.status, failure.into(), None);
            return response;
        }
        self.give_permit_back();
        let mut refusal = refusal.unwrap_or_else(|| {
            let priority = exchanger.incoming.priority.0;
            exchanger.dispatcher.refusal(priority, self.account)
        });
        let failure = if let Verdict::Poisoned(left) = self.verdict() {
            refusal.retry_after = left;
            Failure::Poisoned
        } else if exchanger.gateway.exit.bound().is_some() {
            Failure::Stopping
        } else {
            Failure::NoRoom
        };
        if refusal.is_own_backlog {
            let metrics = &exchanger.gateway.metrics;
            metrics.record_backlog_refusal(exchanger.dispatcher.name().as_str());
        }
        let response = failure.to_response(Some(refusal.retry_after));
        self.log_request(response.status, failure.into(), Some(refusal));
        response
    }

    /// Gives back the permit of a request that no target ran.
    fn give_permit_back(&self) {
        if let Some(permit) = &self.exchanger.incoming.permit {
            permit.give_back();
        }
    }

    fn log_request(&self, status: u16, result: &str, refusal: Option<Refusal>) {
        let Exchanger {
            gateway,
            incoming,
            dispatcher,
        } = self.exchanger;
        let now = gateway.clock.now();
        let time = now.since(incoming.arrived);
        let account = incoming.account.as_ref();
        info!(
            attempt = self.exchanger.attempt_id(), version = incoming.version.0, route = incoming.route.name,
            service = dispatcher.name().as_str(), class:% = incoming.route.class,
            account = account.map_or("-", |account| account.id.as_str()),
            backlog = refusal.map_or(0, |refusal| refusal.backlog),
            own_backlog = refusal.is_some_and(|refusal| refusal.is_own_backlog),
            status = status, result = result, not_run = refusal.is_some(), sends = self.sends,
            unsent = self.unsent, time_ms = time.0,
            left_ms = incoming.deadline.since(now).0,
            retry_after_ms = refusal.map_or(0, |refusal| refusal.retry_after.0);
            "request"
        );
        let labels = RequestLabels {
            service: dispatcher.name().to_string(),
            class: incoming.route.class.to_string(),
            result: result.to_owned(),
        };
        gateway.metrics.record_request(&labels, time);
        gateway
            .metrics
            .set_waiting_accounts(dispatcher.name().as_str(), dispatcher.waiting_accounts());
    }
}
