//! The targets of one service with the requests that wait for them.
//!
//! The decisions are those of a [`Dispatcher`]; this module lets requests wait for them. Its lock is
//! never held over an await.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use auburnbridge_policy::balance::{
    AnswerTimes, BalancedKey, BalancedMember, Dispatcher, DispatcherOptions, Finding, GatewayPlace,
    LoadReport, Need, Pick, Placement, Refusal, ReportedFinding, WaitingKey,
};
use auburnbridge_types::{Clock, Millis, ServiceName, TargetId, VmId};
use futures_lite::FutureExt;
use parking_lot::Mutex;

/// The targets of one service on one gateway.
pub struct ServiceGate {
    name: ServiceName,
    clock: Arc<dyn Clock>,
    dispatcher: Mutex<Dispatcher<Sender<Assignment>>>,
}

/// A target picked for one request; dropping it without a finding ends the request there.
pub struct Assignment {
    gate: Arc<ServiceGate>,
    pick: Pick,
    is_finished: bool,
}

impl Assignment {
    /// Handle of the target.
    pub fn key(&self) -> BalancedKey {
        self.pick.key
    }

    /// The target's name.
    pub fn target(&self) -> &TargetId {
        &self.pick.target
    }

    /// Where the target accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.pick.address
    }

    /// The choice with its figures, for the log.
    pub fn pick(&self) -> &Pick {
        &self.pick
    }

    /// Ends the request on the target with what it says about the target, if anything.
    pub fn finish(mut self, finding: Option<Finding>) {
        self.is_finished = true;
        self.gate.finish(self.pick.key, finding);
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if !self.is_finished {
            self.gate.finish(self.pick.key, None);
        }
    }
}

/// Gives the place of a waiting request up when its future is dropped.
struct Place<'a> {
    gate: &'a ServiceGate,
    key: WaitingKey,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.gate.dispatcher.lock().leave(self.key);
    }
}

impl ServiceGate {
    /// Creates the gate of a service without targets.
    pub fn new(name: ServiceName, options: &DispatcherOptions, clock: Arc<dyn Clock>) -> Self {
        Self {
            name,
            clock,
            dispatcher: Mutex::new(Dispatcher::new(options)),
        }
    }

    /// The service.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Takes over the targets that take work.
    pub fn set_members(self: &Arc<Self>, members: &[BalancedMember]) {
        let now = self.clock.now();
        self.dispatcher.lock().set_members(now, members);
        self.start_waiting();
    }

    /// Takes over the other gateways.
    pub fn set_gateways(&self, others: &[GatewayPlace]) {
        self.dispatcher.lock().set_gateways(others);
    }

    /// Counts a request of a rank.
    pub(crate) fn record_request(&self, rank: u32) {
        let now = self.clock.now();
        self.dispatcher.lock().record_request(now, rank);
    }

    /// Takes one further send from the budget if it has one.
    pub(crate) fn try_send_again(&self) -> bool {
        let now = self.clock.now();
        self.dispatcher.lock().try_send_again(now)
    }

    /// The finding that an answer after `time` is.
    pub(crate) fn judge_answer(&self, time: Millis, was_silent: bool) -> Finding {
        self.dispatcher.lock().judge_answer(time, was_silent)
    }

    /// Answer times of the service.
    pub(crate) fn answer_times(&self) -> AnswerTimes {
        self.dispatcher.lock().answer_times()
    }

    /// When a request of the rank that is refused may come back.
    pub(crate) fn refusal(&self, rank: u32) -> Refusal {
        let now = self.clock.now();
        self.dispatcher.lock().refusal(now, rank)
    }

    /// Waits for a target; dropping the future gives the place up.
    pub(crate) async fn acquire(self: &Arc<Self>, need: Need<'_>) -> Result<Assignment, Refusal> {
        let (tx, rx) = async_channel::bounded(1);
        let now = self.clock.now();
        let placement = self.dispatcher.lock().place(now, &need, || tx);
        let (key, longest) = match placement {
            Placement::Start(pick) => return Ok(self.assignment(pick)),
            Placement::Refuse(refusal) => return Err(refusal),
            Placement::Wait { key, longest } => (key, longest),
        };
        let place = Place { gate: self, key };
        let started = async { rx.recv().await.ok() };
        let over = async {
            self.clock.sleep(longest).await;
            None
        };
        if let Some(assignment) = started.or(over).await {
            return Ok(assignment);
        }
        drop(place);
        // It may have been started between the end of the wait and the removal.
        rx.try_recv().map_err(|_| self.refusal(need.rank))
    }

    /// A target with a free slot, if there is one now.
    pub(crate) fn try_acquire(self: &Arc<Self>, need: &Need<'_>) -> Option<Assignment> {
        let now = self.clock.now();
        let pick = self.dispatcher.lock().pick_free(now, need)?;
        Some(self.assignment(pick))
    }

    /// Takes what a request that is still in flight says about its target as evidence.
    pub(crate) fn observe(&self, key: BalancedKey, finding: Finding) {
        let now = self.clock.now();
        self.dispatcher.lock().observe(now, key, finding);
    }

    fn assignment(self: &Arc<Self>, pick: Pick) -> Assignment {
        Assignment {
            gate: Arc::clone(self),
            pick,
            is_finished: false,
        }
    }

    fn finish(self: &Arc<Self>, key: BalancedKey, finding: Option<Finding>) {
        let now = self.clock.now();
        self.dispatcher.lock().finish(now, key, finding);
        self.start_waiting();
    }

    /// Starts the waiting requests for which there is a free slot now.
    pub fn start_waiting(self: &Arc<Self>) {
        loop {
            let now = self.clock.now();
            let next = self.dispatcher.lock().next_start(now);
            let Some((start, pick)) = next else {
                return;
            };
            // The assignment of a request that is gone is dropped here, without the lock.
            drop(start.try_send(self.assignment(pick)));
        }
    }

    /// Takes over what another gateway found.
    pub fn hear_findings(&self, findings: &[ReportedFinding]) {
        let now = self.clock.now();
        self.dispatcher.lock().hear_findings(now, findings);
    }

    /// Takes over what another gateway has in flight.
    pub fn hear_load(self: &Arc<Self>, from: &VmId, report: LoadReport) {
        let now = self.clock.now();
        self.dispatcher.lock().hear_load(now, from, report);
        self.start_waiting();
    }

    /// The findings that the other gateways have not been told yet.
    pub fn take_unreported(&self) -> Vec<ReportedFinding> {
        self.dispatcher.lock().take_unreported()
    }

    /// What this gateway has in flight.
    pub fn load_report(&self) -> LoadReport {
        let now = self.clock.now();
        self.dispatcher.lock().load_report(now)
    }

    /// Whether most slots are taken.
    pub fn is_crowded(&self) -> bool {
        let now = self.clock.now();
        self.dispatcher.lock().is_crowded(now)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.dispatcher.lock().waiting()
    }
}
