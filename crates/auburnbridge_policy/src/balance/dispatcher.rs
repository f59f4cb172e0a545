//! One service on one gateway: which request starts next, on which target, and which is refused.

use auburnbridge_types::{Millis, Timestamp, VmId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::answer_times::AnswerTimes;
use super::balancer::{Balancer, BalancerOptions, Pick, TargetSummary};
use super::evidence::Finding;
use super::report::{LoadReport, ReportedFinding};
use super::send_budget::{SendBudget, SendBudgetOptions};
use super::subset::GatewayPlace;
use super::target::{BalancedKey, BalancedMember};
use super::waiting::{Capacity, EventRate, Offer, Refusal, WaitQueue, WaitingKey};
use crate::RequestClass;

/// Share of the budget of further sends that is kept for requests whose send has failed: tests of
/// suspected targets, two of three of which need a second send, and second sends beside one that may
/// still be answered leave it.
const KEPT_SHARE: f64 = 0.25;

/// Settings of a [`Dispatcher`].
#[derive(Clone, Debug, PartialEq)]
pub struct DispatcherOptions {
    /// Choice of targets.
    pub balancer: BalancerOptions,
    /// Sends beyond the first one of each request.
    pub sends: SendBudgetOptions,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need<'a> {
    /// Whether it may run more than once.
    pub class: RequestClass,
    /// Rank among the waiting requests; 0 goes first.
    pub rank: u32,
    /// When nobody waits for the answer any more.
    pub deadline: Timestamp,
    /// Until then the answer is of full use.
    pub objective: Timestamp,
    /// Targets that had the request already.
    pub tried: &'a [BalancedKey],
}

/// What becomes of a request that asks for a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// It goes to this target now.
    Start(Pick),
    /// It waits for a free slot, at most for `longest`.
    Wait {
        /// Its place.
        key: WaitingKey,
        /// Time after which it can't be answered any more.
        longest: Millis,
    },
    /// It can't be served in time.
    Refuse(Refusal),
}

#[derive(Clone, Debug)]
struct Waiter<T> {
    class: RequestClass,
    tried: Vec<BalancedKey>,
    /// From then on it takes a busy target, unless a better rank waits.
    impatient_at: Timestamp,
    item: T,
}

/// The targets and the waiting requests of one service; `T` is the handle of a waiting request.
#[derive(Clone, Debug)]
pub struct Dispatcher<T> {
    balancer: Balancer,
    waiting: WaitQueue<Waiter<T>>,
    budget: SendBudget,
    rng: StdRng,
    /// Requests that ended on a target.
    ended: EventRate,
}

impl<T> Dispatcher<T> {
    /// Creates a dispatcher without targets.
    pub fn new(options: &DispatcherOptions) -> Self {
        Self {
            balancer: Balancer::new(options.balancer.clone()),
            waiting: WaitQueue::default(),
            budget: SendBudget::new(options.sends),
            rng: StdRng::seed_from_u64(options.seed),
            ended: EventRate::default(),
        }
    }

    /// Takes over the targets that take work.
    pub fn set_members(&mut self, now: Timestamp, members: &[BalancedMember]) {
        self.balancer.set_members(now, members);
    }

    /// Takes over the other gateways.
    pub fn set_gateways(&mut self, others: &[GatewayPlace]) {
        self.balancer.set_gateways(others);
    }

    /// Counts a request, for the budget of further sends and the estimates of waits.
    pub fn record_request(&mut self, now: Timestamp, rank: u32) {
        self.budget.record_request(now);
        self.waiting.record_arrival(now, rank);
    }

    /// Takes one further send from the budget if it has one.
    pub fn try_send_again(&mut self, now: Timestamp) -> bool {
        self.budget
            .try_send_again(now, self.balancer.gateway_count())
    }

    /// Whether the budget has more than what is kept for requests whose send has failed.
    fn has_spare_sends(&mut self, now: Timestamp) -> bool {
        self.budget
            .has_left(now, self.balancer.gateway_count(), KEPT_SHARE)
    }

    /// Places a request; `item` is made only if it waits.
    pub fn place(
        &mut self,
        now: Timestamp,
        need: &Need<'_>,
        item: impl FnOnce() -> T,
    ) -> Placement {
        let may_test = need.class == RequestClass::Idempotent && need.tried.is_empty();
        if may_test
            && self.has_spare_sends(now)
            && let Some(pick) = self.balancer.pick_trial(now)
        {
            return Placement::Start(pick);
        }
        let is_next = self
            .waiting
            .first()
            .is_none_or(|(first, _)| first.rank() > need.rank);
        if is_next
            && let Some(pick) = self
                .balancer
                .pick(now, need.class, need.tried, &mut self.rng)
        {
            return Placement::Start(pick);
        }
        let summary = self.balancer.summary(now);
        if summary.trusted == 0 {
            // Waiting for a trusted target would be waiting for luck.
            return match self
                .balancer
                .pick_any(now, need.class, need.tried, &mut self.rng)
            {
                Some(pick) => Placement::Start(pick),
                None => Placement::Refuse(self.refusal(now, need.rank)),
            };
        }
        let capacity = self.capacity(now, summary);
        let offer = Offer {
            rank: need.rank,
            deadline: need.deadline,
            objective: need.objective,
            item: Waiter {
                class: need.class,
                tried: need.tried.to_vec(),
                impatient_at: now.after(patience(now, need, &capacity)),
                item: item(),
            },
        };
        match self.waiting.offer(now, offer, &capacity) {
            Ok(key) => Placement::Wait {
                key,
                longest: Millis(
                    need.deadline
                        .since(now)
                        .0
                        .saturating_sub(capacity.needed().0),
                ),
            },
            Err(refusal) => Placement::Refuse(refusal),
        }
    }

    /// Gives up the place of a waiting request; `false` if it was started already.
    pub fn leave(&mut self, key: WaitingKey) -> bool {
        self.waiting.remove(key).is_some()
    }

    /// Takes out the waiting request that starts now, with its target. To be called after each change
    /// and, while requests wait, at intervals of some ten milliseconds.
    ///
    /// The first one of each class is looked at, since idempotent ones may use targets that others
    /// avoid.
    pub fn next_start(&mut self, now: Timestamp) -> Option<(T, Pick)> {
        for class in [RequestClass::Once, RequestClass::Idempotent] {
            let first = self
                .waiting
                .iter()
                .find(|(_, waiter)| waiter.class == class);
            let Some((key, waiter)) = first else {
                continue;
            };
            let mut pick = self.balancer.pick(now, class, &waiter.tried, &mut self.rng);
            let is_impatient = now >= waiter.impatient_at;
            if pick.is_none() && is_impatient && self.waiting.is_best_rank(now, key.rank()) {
                pick = self
                    .balancer
                    .pick_busy(now, class, &waiter.tried, &mut self.rng);
            }
            if let Some(pick) = pick {
                let waiter = self.waiting.remove(key)?;
                return Some((waiter.item, pick));
            }
        }
        None
    }

    /// Picks a target with a free slot, if there is one now and no request waits for it.
    pub fn pick_free(&mut self, now: Timestamp, need: &Need<'_>) -> Option<Pick> {
        if !self.waiting.is_empty() || !self.has_spare_sends(now) {
            return None;
        }
        self.balancer
            .pick(now, need.class, need.tried, &mut self.rng)
    }

    /// Takes what a request that is still in flight says about its target as evidence.
    pub fn observe(&mut self, now: Timestamp, key: BalancedKey, finding: Finding) {
        self.balancer.observe(now, key, finding);
    }

    /// Ends a request on a target with what it says about the target, if anything.
    pub fn finish(&mut self, now: Timestamp, key: BalancedKey, finding: Option<Finding>) {
        self.ended.record(now);
        self.balancer.finish(now, key, finding);
    }

    /// The finding that an answer after `time` is.
    pub fn judge_answer(&mut self, time: Millis, was_silent: bool) -> Finding {
        self.balancer.record_answer(time, was_silent)
    }

    /// Answer times of the service.
    pub fn answer_times(&self) -> AnswerTimes {
        self.balancer.answer_times()
    }

    /// When a request of the rank that is refused may come back.
    pub fn refusal(&self, now: Timestamp, rank: u32) -> Refusal {
        let summary = self.balancer.summary(now);
        self.waiting
            .refusal(now, rank, &self.capacity(now, summary))
    }

    /// Takes over what another gateway found.
    pub fn hear_findings(&mut self, now: Timestamp, findings: &[ReportedFinding]) {
        self.balancer.apply_findings(now, findings);
    }

    /// Takes over what another gateway has in flight.
    pub fn hear_load(&mut self, now: Timestamp, from: &VmId, report: LoadReport) {
        self.balancer.apply_load_report(now, from, report);
    }

    /// The findings that the other gateways have not been told yet.
    pub fn take_unreported(&mut self) -> Vec<ReportedFinding> {
        self.balancer.take_unreported()
    }

    /// What this gateway has in flight.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        self.balancer.load_report(now)
    }

    /// Whether most slots are taken.
    pub fn is_crowded(&self, now: Timestamp) -> bool {
        self.balancer.is_crowded(now)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn capacity(&self, now: Timestamp, summary: TargetSummary) -> Capacity {
        Capacity {
            slots: summary.slots,
            in_flight: summary.in_flight,
            gateways: self.balancer.gateway_count(),
            latency: self.balancer.answer_times().average(),
            ended_per_ms: self.ended.per_ms(now),
        }
    }
}

/// Wait for a free slot after which a busy target is the better choice: half of what the objective
/// leaves.
fn patience(now: Timestamp, need: &Need<'_>, capacity: &Capacity) -> Millis {
    let left = need.objective.since(now).0;
    Millis(left.saturating_sub(capacity.needed().0) / 2)
}
