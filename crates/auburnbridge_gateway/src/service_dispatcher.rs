//! Assignment of the requests of one service to its targets.
//!
//! A [`Dispatcher`] makes the decisions; this module adds asynchronous waiting. The lock of the
//! dispatcher is never held across an await.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use auburnbridge_policy::balance::{
    AccountKey, AnswerTimes, BalancedKey, BalancedMember, CellPlace, Dispatcher, DispatcherOptions,
    ExitBound, Finding, GatewayHost, LoadReport, Pick, Placement, PlacementForecast,
    PlacementRequest, Refusal, ReportedFinding, WaitingKey,
};
use auburnbridge_types::{Clock, Millis, ServiceName, TargetId, VmId};
use futures_lite::FutureExt;
use parking_lot::Mutex;

/// Assigns requests to the targets of one service.
pub struct ServiceDispatcher {
    name: ServiceName,
    clock: Arc<dyn Clock>,
    inner: Mutex<Dispatcher<Sender<Assignment>>>,
}

/// A target picked for one request. Dropping it ends the request on the target without a finding.
pub struct Assignment {
    dispatcher: Arc<ServiceDispatcher>,
    pick: Pick,
    is_finished: bool,
}

impl Assignment {
    /// Handle of the target in the dispatcher.
    pub fn key(&self) -> BalancedKey {
        self.pick.key
    }

    /// Id of the target.
    pub fn target(&self) -> &TargetId {
        &self.pick.target
    }

    /// Address on which the target accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.pick.address
    }

    /// The pick with its load and suspicion, for the log.
    pub fn pick(&self) -> &Pick {
        &self.pick
    }

    /// Ends the request on the target, with what it revealed about the target's health, if anything.
    pub fn finish(mut self, finding: Option<Finding>) {
        self.is_finished = true;
        self.dispatcher.finish(self.pick.key, finding);
    }

    /// Gives back the slot for a request that is not sent to this target.
    pub fn give_back(mut self) {
        self.is_finished = true;
        self.dispatcher.give_back(self.pick.key);
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if !self.is_finished {
            self.dispatcher.finish(self.pick.key, None);
        }
    }
}

/// Removes a waiting request from the queue when its future is dropped.
struct QueueGuard<'a> {
    dispatcher: &'a ServiceDispatcher,
    key: WaitingKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.inner.lock().cancel(self.key);
    }
}

impl ServiceDispatcher {
    /// Creates the dispatcher of a service without targets.
    pub fn new(name: ServiceName, options: &DispatcherOptions, clock: Arc<dyn Clock>) -> Self {
        Self {
            name,
            clock,
            inner: Mutex::new(Dispatcher::new(options)),
        }
    }

    /// Name of the service.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Replaces the set of targets that accept requests.
    pub fn set_members(self: &Arc<Self>, members: &[BalancedMember]) {
        let now = self.clock.now();
        self.inner.lock().set_members(now, members);
        self.start_waiting();
    }

    /// Replaces the set of other gateways.
    pub fn set_gateways(&self, others: &[GatewayHost]) {
        self.inner.lock().set_gateways(others);
    }

    /// Sets the cell of this gateway, and returns the number of targets in its subset.
    pub fn set_cell(&self, cell: Option<CellPlace>) -> usize {
        let mut inner = self.inner.lock();
        inner.set_cell(cell);
        inner.subset_size()
    }

    /// Counts the arrival of a request with this priority and account.
    pub(crate) fn record_request(&self, priority: u32, account: Option<AccountKey>) {
        let now = self.clock.now();
        self.inner.lock().record_request(now, priority, account);
    }

    /// Records whether a request was served.
    pub(crate) fn record_outcome(&self, is_served: bool) {
        let now = self.clock.now();
        self.inner.lock().record_outcome(now, is_served);
    }

    /// Takes a resend, for a retry or a hedge, from the budget; `false` if none remains for the account.
    pub(crate) fn try_resend(&self, account: Option<AccountKey>) -> bool {
        let now = self.clock.now();
        self.inner.lock().try_resend(now, account)
    }

    /// Adds an answer that took `time` to the average answer time and classifies it.
    pub(crate) fn record_answer(&self, time: Millis, was_silent: bool) -> Finding {
        self.inner.lock().record_answer(time, was_silent)
    }

    /// Adds an answer to a request that started in a free slot.
    pub(crate) fn record_work(&self, time: Millis) {
        self.inner.lock().record_work(time);
    }

    /// Expected answer time of a request that starts in a free slot.
    pub(crate) fn expected_answer_time(&self) -> Millis {
        self.inner.lock().expected_answer_time()
    }

    /// Average answer time of the service, from which the times for silence and hedging follow.
    pub(crate) fn answer_times(&self) -> AnswerTimes {
        self.inner.lock().answer_times()
    }

    /// What would happen to a request now. Nothing changes.
    pub(crate) fn forecast(&self, request: &PlacementRequest<'_>) -> PlacementForecast {
        let (tx, _rx) = async_channel::bounded(1);
        let now = self.clock.now();
        // The copy is made under the lock, and the draws after its release.
        let copy = self.inner.lock().clone();
        copy.forecast(now, request, &tx)
    }

    /// The refusal for a request of this priority and account, which states when to retry.
    pub(crate) fn refusal(&self, priority: u32, account: Option<AccountKey>) -> Refusal {
        let now = self.clock.now();
        self.inner.lock().refusal(now, priority, account)
    }

    /// Waits for a target. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no target can serve the request in time.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: PlacementRequest<'_>,
    ) -> Result<Assignment, Refusal> {
        let (tx, rx) = async_channel::bounded(1);
        let now = self.clock.now();
        let placement = self.inner.lock().place(now, &request, || tx);
        let (key, max_wait) = match placement {
            Placement::Start(pick) => return Ok(self.assignment(pick)),
            Placement::Refuse(refusal) => return Err(refusal),
            Placement::Wait { key, max_wait } => (key, max_wait),
        };
        let guard = QueueGuard {
            dispatcher: self,
            key,
        };
        let assigned = async { rx.recv().await.ok() };
        let timed_out = async {
            self.clock.sleep(max_wait).await;
            None
        };
        if let Some(assignment) = assigned.or(timed_out).await {
            return Ok(assignment);
        }
        drop(guard);
        // A target may have been assigned between the timeout and the removal from the queue.
        rx.try_recv()
            .map_err(|_| self.refusal(request.priority, request.account))
    }

    /// Picks a target with a free slot for a hedge of this request, without waiting.
    pub(crate) fn pick_hedge(
        self: &Arc<Self>,
        request: &PlacementRequest<'_>,
    ) -> Option<Assignment> {
        let now = self.clock.now();
        let pick = self.inner.lock().pick_hedge(now, request)?;
        Some(self.assignment(pick))
    }

    /// Picks another target with a free slot for a request that can't use the one it was given,
    /// without waiting.
    pub(crate) fn pick_free(
        self: &Arc<Self>,
        request: &PlacementRequest<'_>,
    ) -> Option<Assignment> {
        let now = self.clock.now();
        let pick = self.inner.lock().pick_free(now, request)?;
        Some(self.assignment(pick))
    }

    /// Records a finding about the target of a request that is still in flight.
    pub(crate) fn observe(&self, key: BalancedKey, finding: Finding) {
        let now = self.clock.now();
        self.inner.lock().observe(now, key, finding);
    }

    /// Sends no further requests to a target for `pause`.
    pub(crate) fn pause(&self, key: BalancedKey, pause: Millis) {
        let now = self.clock.now();
        self.inner.lock().pause(now, key, pause);
    }

    fn assignment(self: &Arc<Self>, pick: Pick) -> Assignment {
        Assignment {
            dispatcher: Arc::clone(self),
            pick,
            is_finished: false,
        }
    }

    fn finish(self: &Arc<Self>, key: BalancedKey, finding: Option<Finding>) {
        let now = self.clock.now();
        self.inner.lock().finish(now, key, finding);
        self.start_waiting();
    }

    fn give_back(self: &Arc<Self>, key: BalancedKey) {
        let now = self.clock.now();
        self.inner.lock().give_back(now, key);
        self.start_waiting();
    }

    /// Starts the waiting requests for which there is a free slot.
    pub fn start_waiting(self: &Arc<Self>) {
        loop {
            let now = self.clock.now();
            let next = self.inner.lock().next_start(now);
            let Some((start, pick)) = next else {
                return;
            };
            // If the request was cancelled, its assignment is dropped here, after the lock's release.
            drop(start.try_send(self.assignment(pick)));
        }
    }

    /// Bounds the starts by the end of the process, and ends the waits of the requests that certainly
    /// can't start before it.
    pub(crate) fn refuse_unstartable(&self, exit: ExitBound) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.begin_exit(exit);
        let refused = inner.remove_unstartable(now);
        drop(inner);
        // A request whose sender is dropped gets a refusal.
        drop(refused);
    }

    /// Applies findings of another gateway.
    pub fn apply_findings(&self, findings: &[ReportedFinding]) {
        let now = self.clock.now();
        self.inner.lock().apply_findings(now, findings);
    }

    /// Applies another gateway's report of its in-flight requests.
    pub fn apply_load_report(self: &Arc<Self>, from: &VmId, report: LoadReport) {
        let now = self.clock.now();
        self.inner.lock().apply_load_report(now, from, report);
        self.start_waiting();
    }

    /// Takes the findings that have not been reported to the other gateways yet.
    pub fn take_unreported(&self) -> Vec<ReportedFinding> {
        self.inner.lock().take_unreported()
    }

    /// In-flight requests of this gateway, by target.
    pub fn load_report(&self) -> LoadReport {
        let now = self.clock.now();
        self.inner.lock().load_report(now)
    }

    /// Whether the service is crowded, as its dispatcher defines it.
    pub fn is_crowded(&self) -> bool {
        let now = self.clock.now();
        self.inner.lock().is_crowded(now)
    }

    /// Number of client accounts with waiting requests.
    pub fn waiting_accounts(&self) -> usize {
        self.inner.lock().waiting_accounts()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.inner.lock().waiting()
    }
}
