//! The targets of one service with the requests that wait for them.
//!
//! One lock covers both, and is never held over an await.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    BalancedKey, BalancedMember, Balancer, BalancerOptions, Capacity, Finding, LoadReport, Offer,
    Pick, Refusal, SendBudget, SendBudgetOptions, ToldFinding, WaitingKey, WaitingRoom,
};
use auburnbridge_types::{Clock, Millis, ServiceName, TargetId, Timestamp, VmId};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Settings of a [`ServiceGate`].
#[derive(Clone, Debug, PartialEq)]
pub struct GateOptions {
    /// Choice of targets.
    pub balancer: BalancerOptions,
    /// Sends beyond the first one of each request.
    pub sends: SendBudgetOptions,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What a request needs from a gate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need<'a> {
    pub(crate) class: RequestClass,
    /// Rank among the waiting requests; 0 goes first.
    pub(crate) rank: u32,
    /// When nobody waits for the answer any more.
    pub(crate) deadline: Timestamp,
    /// Until then the answer is of full use.
    pub(crate) objective: Timestamp,
    /// Targets that had the request already.
    pub(crate) tried: &'a [BalancedKey],
}

/// The targets of one service on one gateway.
pub struct ServiceGate {
    name: ServiceName,
    clock: Arc<dyn Clock>,
    state: Mutex<GateState>,
}

struct GateState {
    balancer: Balancer,
    waiting: WaitingRoom<Waiter>,
    budget: SendBudget,
    rng: StdRng,
    gateways: usize,
}

struct Waiter {
    class: RequestClass,
    tried: Vec<BalancedKey>,
    start: Sender<Assignment>,
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

/// Takes a request out of the waiting room when its future is dropped.
struct Place<'a> {
    gate: &'a ServiceGate,
    key: WaitingKey,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.gate.state.lock().waiting.remove(self.key);
    }
}

impl ServiceGate {
    /// Creates the gate of a service without targets.
    pub fn new(name: ServiceName, options: &GateOptions, clock: Arc<dyn Clock>) -> Self {
        Self {
            name,
            clock,
            state: Mutex::new(GateState {
                balancer: Balancer::new(options.balancer.clone()),
                waiting: WaitingRoom::default(),
                budget: SendBudget::new(options.sends),
                rng: StdRng::seed_from_u64(options.seed),
                gateways: 1,
            }),
        }
    }

    /// The service.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Takes over the targets that take work.
    pub fn set_members(self: &Arc<Self>, members: &[BalancedMember]) {
        let now = self.clock.now();
        self.state.lock().balancer.set_members(now, members);
        self.start_waiting();
    }

    /// Takes over the number of gateways, this one included.
    pub fn set_gateways(&self, count: usize) {
        self.state.lock().gateways = count.max(1);
    }

    /// Counts a request of a rank, for the budget of further sends and the estimates of waits.
    pub(crate) fn record_request(&self, rank: u32) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.budget.record_request(now);
        state.waiting.record_arrival(now, rank);
    }

    /// Takes one further send from the budget if it has one.
    pub(crate) fn try_send_again(&self) -> bool {
        let now = self.clock.now();
        let state = &mut *self.state.lock();
        state.budget.try_send_again(now, state.gateways)
    }

    /// The finding that an answer after `time` is.
    pub(crate) fn judge_answer(&self, time: Millis) -> Finding {
        self.state.lock().balancer.judge_answer(time)
    }

    /// Average answer time of the service.
    pub(crate) fn latency(&self) -> Millis {
        self.state.lock().balancer.latency()
    }

    /// When a request that was refused may come back.
    pub(crate) fn refusal(&self, rank: u32) -> Refusal {
        let now = self.clock.now();
        let state = self.state.lock();
        state.waiting.refusal(now, rank, &state.capacity(now))
    }

    /// Waits for a target; dropping the future gives the place up.
    pub(crate) async fn acquire(self: &Arc<Self>, need: Need<'_>) -> Result<Assignment, Refusal> {
        let now = self.clock.now();
        let (tx, rx) = async_channel::bounded(1);
        let key = {
            let state = &mut *self.state.lock();
            let is_next = state
                .waiting
                .first()
                .is_none_or(|(first, _)| first.rank() > need.rank);
            if is_next
                && let Some(pick) =
                    state
                        .balancer
                        .pick(now, need.class, need.tried, &mut state.rng)
            {
                return Ok(self.assignment(pick));
            }
            let capacity = state.capacity(now);
            let offer = Offer {
                rank: need.rank,
                deadline: need.deadline,
                item: Waiter {
                    class: need.class,
                    tried: need.tried.to_vec(),
                    start: tx,
                },
            };
            state.waiting.offer(now, offer, &capacity)?
        };
        let place = Place { gate: self, key };
        let started = async { rx.recv().await.ok() };
        let patience = async {
            self.clock.sleep(self.patience(now, &need)).await;
            None
        };
        if let Some(assignment) = started.or(patience).await {
            return Ok(assignment);
        }
        drop(place);
        // It may have been started between the end of the wait and the removal.
        if let Ok(assignment) = rx.try_recv() {
            return Ok(assignment);
        }
        self.pick_any(&need)
    }

    /// Time after which a request no longer waits for a free slot. One of the best rank then takes a
    /// busy target; the others leave those to it and wait for as long as they can be answered.
    fn patience(&self, now: Timestamp, need: &Need<'_>) -> Millis {
        let state = self.state.lock();
        let needed = state.capacity(now).needed();
        let objective = need.objective.since(now).0.saturating_sub(needed.0);
        let deadline = need.deadline.since(now).0.saturating_sub(needed.0);
        if state.waiting.is_best_rank(now, need.rank) {
            Millis((objective / 2).min(deadline))
        } else {
            Millis(deadline)
        }
    }

    /// The least bad target for a request that can't wait any longer, if it can answer in time.
    fn pick_any(self: &Arc<Self>, need: &Need<'_>) -> Result<Assignment, Refusal> {
        let now = self.clock.now();
        let state = &mut *self.state.lock();
        let capacity = state.capacity(now);
        let refusal = state.waiting.refusal(now, need.rank, &capacity);
        if now.after(capacity.needed()) > need.deadline {
            return Err(refusal);
        }
        state
            .balancer
            .pick_any(now, need.class, need.tried, &mut state.rng)
            .map(|pick| self.assignment(pick))
            .ok_or(refusal)
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
        self.state.lock().balancer.finish(now, key, finding);
        self.start_waiting();
    }

    /// Starts the waiting requests for which there is a free slot now.
    pub fn start_waiting(self: &Arc<Self>) {
        loop {
            let started = {
                let now = self.clock.now();
                let state = &mut *self.state.lock();
                state.next_start(now).and_then(|(key, pick)| {
                    let waiter = state.waiting.remove(key)?;
                    Some((waiter, pick))
                })
            };
            let Some((waiter, pick)) = started else {
                return;
            };
            // The assignment of a request that is gone is dropped here, without the lock.
            drop(waiter.start.try_send(self.assignment(pick)));
        }
    }

    /// Takes over what another gateway found.
    pub fn hear_findings(self: &Arc<Self>, findings: &[ToldFinding]) {
        let now = self.clock.now();
        self.state.lock().balancer.hear_findings(now, findings);
    }

    /// Takes over what another gateway has in flight.
    pub fn hear_load(self: &Arc<Self>, from: &VmId, report: LoadReport) {
        let now = self.clock.now();
        self.state.lock().balancer.hear_load(now, from, report);
        self.start_waiting();
    }

    /// The findings that the other gateways have not been told yet.
    pub fn take_untold(&self) -> Vec<ToldFinding> {
        self.state.lock().balancer.take_untold()
    }

    /// What this gateway has in flight.
    pub fn load_report(&self) -> LoadReport {
        self.state.lock().balancer.load_report()
    }

    /// Whether most slots are taken.
    pub fn is_crowded(&self) -> bool {
        let now = self.clock.now();
        self.state.lock().balancer.is_crowded(now)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.state.lock().waiting.len()
    }
}

impl GateState {
    fn capacity(&self, now: Timestamp) -> Capacity {
        let summary = self.balancer.summary(now);
        Capacity {
            slots: summary.slots,
            in_flight: summary.in_flight,
            own: summary.own,
            gateways: self.gateways,
            latency: self.balancer.latency(),
        }
    }

    /// The first waiting request of each class is tried: idempotent ones may use targets that
    /// others avoid.
    fn next_start(&mut self, now: Timestamp) -> Option<(WaitingKey, Pick)> {
        for class in [RequestClass::Once, RequestClass::Idempotent] {
            let first = self
                .waiting
                .iter()
                .find(|(_, waiter)| waiter.class == class);
            let Some((key, waiter)) = first else {
                continue;
            };
            let pick = self
                .balancer
                .pick(now, class, &waiter.tried, &mut self.rng);
            if let Some(pick) = pick {
                return Some((key, pick));
            }
        }
        None
    }
}
