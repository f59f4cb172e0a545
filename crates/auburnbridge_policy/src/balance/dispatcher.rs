//! Dispatch of one service on one gateway: starts, queues or refuses each request.

use auburnbridge_types::{Millis, Timestamp, VmId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::account_shares::AccountKey;
use super::answer_times::AnswerTimes;
use super::balancer::{Balancer, BalancerOptions, Pick, TargetSummary};
use super::cells::CellPlace;
use super::evidence::Finding;
use super::exit_bound::ExitBound;
use super::report::{LoadReport, ReportedFinding};
use super::resend_budget::{Requester, ResendBudget, ResendBudgetOptions};
use super::subset::GatewayHost;
use super::target::{BalancedKey, BalancedMember};
use super::wait_queue::{
    Capacity, EventRate, Refusal, WaitQueue, WaitRequest, WaitingKey, count_to_f64, millis_to_f64,
};
use super::work_time::WorkTime;
use crate::RequestClass;

/// Share of the resend budget reserved for requests whose send has failed. It is not available for
/// trials of suspected targets, two thirds of which need a resend, nor for hedges, the second sends
/// of requests whose first send may still be answered.
const RESERVED_SHARE: f64 = 0.25;

/// Settings of a [`Dispatcher`].
#[derive(Clone, Debug, PartialEq)]
pub struct DispatcherOptions {
    /// Target selection.
    pub balancer: BalancerOptions,
    /// Budget of resends.
    pub resend_budget: ResendBudgetOptions,
    /// Seed of the random selection.
    pub seed: u64,
}

/// A request to be placed on a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest<'a> {
    /// Whether the request may run more than once.
    pub class: RequestClass,
    /// Priority among waiting requests; 0 is the highest.
    pub priority: u32,
    /// Client account, if the request has one.
    pub account: Option<AccountKey>,
    /// Instant after which the caller no longer waits for the answer.
    pub deadline: Timestamp,
    /// Latency objective: until this instant an answer has its full value.
    pub objective: Timestamp,
    /// Targets to which the request was already sent.
    pub tried: &'a [BalancedKey],
    /// Whether the request can be sent only once more.
    pub is_last_send: bool,
}

impl PlacementRequest<'_> {
    /// The class by which a target is selected: the last send of a request must not fail either.
    pub(super) fn selection_class(&self) -> RequestClass {
        if self.is_last_send {
            RequestClass::Once
        } else {
            self.class
        }
    }

    /// Whether the request has not been sent yet.
    fn is_first_send(&self) -> bool {
        self.tried.is_empty()
    }
}

/// Result of [`Dispatcher::place`].
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The request starts on this target now.
    Start(Pick),
    /// The request waits for a free slot, at most for `max_wait`.
    Wait {
        /// Handle for [`Dispatcher::cancel`].
        key: WaitingKey,
        /// Duration after which it can no longer be answered before its deadline.
        max_wait: Millis,
    },
    /// The request can't be served in time.
    Refuse(Refusal),
}

#[derive(Clone, Debug)]
struct Waiter<T> {
    class: RequestClass,
    tried: Vec<BalancedKey>,
    /// Instant from which the request may start on a busy target, unless one of a higher priority
    /// waits.
    busy_allowed_at: Timestamp,
    item: T,
}

/// Targets, waiting requests and resend budget of one service; `T` is the handle of a waiting
/// request.
#[derive(Clone, Debug)]
pub struct Dispatcher<T> {
    pub(super) balancer: Balancer,
    waiting: WaitQueue<Waiter<T>>,
    budget: ResendBudget,
    pub(super) rng: StdRng,
    /// Rate of requests that ended on a target.
    completions: EventRate,
    /// Requests in flight.
    own_in_flight: u32,
    /// Rate of requests that started on a busy target.
    busy_starts: EventRate,
    work_time: WorkTime,
    /// End of the process, if it stops.
    exit: Option<ExitBound>,
}

impl<T> Dispatcher<T> {
    /// Creates a dispatcher without targets.
    pub fn new(options: &DispatcherOptions) -> Self {
        Self {
            balancer: Balancer::new(options.balancer.clone()),
            waiting: WaitQueue::default(),
            budget: ResendBudget::new(options.resend_budget),
            rng: StdRng::seed_from_u64(options.seed),
            completions: EventRate::default(),
            busy_starts: EventRate::default(),
            work_time: WorkTime::default(),
            exit: None,
            own_in_flight: 0,
        }
    }

    /// Replaces the set of targets that accept requests; targets that are not listed are removed.
    pub fn set_members(&mut self, now: Timestamp, members: &[BalancedMember]) {
        self.balancer.set_members(now, members);
    }

    /// Replaces the set of other gateways.
    pub fn set_gateways(&mut self, others: &[GatewayHost]) {
        self.balancer.set_gateways(others);
    }

    /// Sets the cell of this gateway; `None` if the gateways form no cells.
    pub fn set_cell(&mut self, cell: Option<CellPlace>) {
        self.balancer.set_cell(cell);
    }

    /// Number of targets in the subset of this gateway.
    pub fn subset_size(&self) -> usize {
        self.balancer.subset_size()
    }

    /// Counts a request, for the resend budget and the estimates of waits.
    pub fn record_request(&mut self, now: Timestamp, priority: u32, account: Option<AccountKey>) {
        self.budget.record_request(now);
        self.waiting.record_arrival(now, priority, account);
    }

    /// Records whether a request was served, once for each request that its caller has waited for.
    pub fn record_outcome(&mut self, now: Timestamp, is_served: bool) {
        self.balancer.record_outcome(now, is_served);
    }

    /// Takes a resend of a request of this account from the budget if any remains for it.
    pub fn try_resend(&mut self, now: Timestamp, account: Option<AccountKey>) -> bool {
        let requester = self.requester(account);
        self.budget
            .try_resend(now, self.balancer.gateway_count(), requester)
    }

    /// Whether the budget has a resend left for this account beyond the share reserved for failed sends.
    fn has_unreserved_resends(&mut self, now: Timestamp, account: Option<AccountKey>) -> bool {
        let requester = self.requester(account);
        self.budget.has_remaining(
            now,
            self.balancer.gateway_count(),
            requester,
            RESERVED_SHARE,
        )
    }

    fn requester(&self, account: Option<AccountKey>) -> Requester {
        Requester {
            account,
            request_share: self.waiting.request_share(account),
        }
    }

    /// Starts, queues or refuses a request; `item` is called only if it can't start at once.
    pub fn place(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        item: impl FnOnce() -> T,
    ) -> Placement {
        self.balancer.record_class(now, request.class);
        if !self.has_time_for_answer(now) {
            return Placement::Refuse(self.refusal(now, request.priority, request.account));
        }
        let class = request.selection_class();
        let allows_trial = class == RequestClass::Idempotent && request.is_first_send();
        if allows_trial
            && self.has_unreserved_resends(now, request.account)
            && let Some(pick) = self.balancer.pick_trial(now)
        {
            return self.start(request, pick);
        }
        let is_next = self
            .waiting
            .first_priority()
            .is_none_or(|first| first > request.priority);
        if is_next && let Some(pick) = self.balancer.pick(now, class, request.tried, &mut self.rng)
        {
            return self.start(request, pick);
        }
        let summary = self.balancer.summary(now);
        if summary.unsuspected == 0 {
            // Without an unsuspected target there is no slot worth waiting for.
            return match self
                .balancer
                .pick_any(now, class, request.tried, &mut self.rng)
            {
                Some(pick) if self.has_time_on(now, &pick) => self.start(request, pick),
                Some(pick) => {
                    self.balancer.finish(now, pick.key, None);
                    Placement::Refuse(self.refusal(now, request.priority, request.account))
                }
                None if self.returns_in_time(now, request) => {
                    self.enqueue(now, request, summary, item)
                }
                None => Placement::Refuse(self.refusal(now, request.priority, request.account)),
            };
        }
        self.enqueue(now, request, summary, item)
    }

    fn start(&mut self, request: &PlacementRequest<'_>, pick: Pick) -> Placement {
        self.waiting
            .record_start(request.priority, request.account, request.is_first_send());
        self.own_in_flight += 1;
        Placement::Start(pick)
    }

    /// Whether a paused target returns early enough to answer the request before its deadline.
    fn returns_in_time(&self, now: Timestamp, request: &PlacementRequest<'_>) -> bool {
        let min_remaining = self.capacity(now, TargetSummary::default()).min_remaining();
        self.balancer
            .pause_left(now)
            .is_some_and(|left| now.after(left).after(min_remaining) <= request.deadline)
    }

    fn enqueue(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        summary: TargetSummary,
        item: impl FnOnce() -> T,
    ) -> Placement {
        let capacity = self.capacity(now, summary);
        let wait_request = WaitRequest {
            priority: request.priority,
            account: request.account,
            deadline: request.deadline,
            objective: request.objective,
            item: Waiter {
                class: request.selection_class(),
                tried: request.tried.to_vec(),
                busy_allowed_at: now.after(busy_fallback_delay(now, request, &capacity)),
                item: item(),
            },
        };
        match self.waiting.try_enqueue(now, wait_request, &capacity) {
            Ok(key) => Placement::Wait {
                key,
                max_wait: Millis(
                    request
                        .deadline
                        .since(now)
                        .0
                        .saturating_sub(capacity.min_remaining().0),
                ),
            },
            Err(refusal) => Placement::Refuse(refusal),
        }
    }

    /// Removes a waiting request; returns `false` if it has already been started.
    pub fn cancel(&mut self, key: WaitingKey) -> bool {
        self.waiting.remove(key).is_some()
    }

    /// Bounds the starts by the end of the process, which stops.
    pub fn begin_exit(&mut self, exit: ExitBound) {
        self.exit = Some(exit);
    }

    /// Removes and returns the waiting requests that can't start before the process ends, even if
    /// nothing overtakes them and this gateway gets all slots; none unless the process stops.
    pub fn remove_unstartable(&mut self, now: Timestamp) -> Vec<T> {
        let Some(exit) = self.exit.filter(|_| !self.waiting.is_empty()) else {
            return Vec::new();
        };
        let expected = self.expected_answer_time();
        let last_start = exit.last_start(expected);
        let capacity = self.capacity(now, self.balancer.summary(now));
        let starts = capacity.most_starts(last_start.since(now), expected);
        let waiters = self.waiting.remove_beyond(starts, exit.answer_by);
        waiters.into_iter().map(|waiter| waiter.item).collect()
    }

    /// Removes and returns a waiting request that can start now, with its target. To be called
    /// after each change and, while requests wait, at short intervals, since evidence and pauses of
    /// targets also end by the passing of time. The gateway does so every 50 ms.
    ///
    /// The first request of each class is considered, since idempotent requests may use targets
    /// that at-most-once requests avoid.
    pub fn next_start(&mut self, now: Timestamp) -> Option<(T, Pick)> {
        if !self.has_time_for_answer(now) {
            return None;
        }
        for class in [RequestClass::Once, RequestClass::Idempotent] {
            let first = self.waiting.first_where(|waiter| waiter.class == class);
            let Some((key, waiter)) = first else {
                continue;
            };
            if self.yields_to_gateways(now, key) {
                continue;
            }
            let mut pick = self.balancer.pick(now, class, &waiter.tried, &mut self.rng);
            if pick.is_none() && self.allows_busy(now, key, waiter) {
                pick = self
                    .balancer
                    .pick_busy(now, class, &waiter.tried, &mut self.rng);
                if let Some(busy) = &pick {
                    if !self.has_time_on(now, busy) {
                        self.balancer.finish(now, busy.key, None);
                        continue;
                    }
                    self.busy_starts.record(now);
                }
            }
            if let Some(pick) = pick {
                let is_first_send = waiter.tried.is_empty();
                let waiter = self.waiting.start(key, is_first_send)?;
                self.own_in_flight += 1;
                return Some((waiter.item, pick));
            }
        }
        None
    }

    /// Whether the last free slots are left to other gateways: to the requests there of accounts that
    /// have not used up their shares.
    fn yields_to_gateways(&self, now: Timestamp, key: WaitingKey) -> bool {
        if !self.waiting.is_above_share(key) {
            return false;
        }
        let summary = self.balancer.summary(now);
        let slots = f64::from(summary.slots);
        let equal_share = slots / count_to_f64(self.balancer.gateway_count());
        f64::from(self.own_in_flight) >= equal_share && summary.in_flight >= summary.slots
    }

    /// Whether a waiting request may start on a busy target. A target's own queue knows no accounts, so
    /// while several accounts send requests, the gateway takes only its part of the places in these
    /// queues.
    fn allows_busy(&self, now: Timestamp, key: WaitingKey, waiter: &Waiter<T>) -> bool {
        if now < waiter.busy_allowed_at || !self.waiting.is_highest_priority(now, key.priority()) {
            return false;
        }
        self.waiting.is_alone(key) || self.has_busy_places(now)
    }

    /// Whether a request that starts at this time is answered before the process ends, if it stops.
    fn has_time_for_answer(&self, start: Timestamp) -> bool {
        self.exit
            .is_none_or(|exit| start <= exit.last_start(self.expected_answer_time()))
    }

    /// Whether a request is answered by this target before the process ends, if it stops.
    fn has_time_on(&self, now: Timestamp, pick: &Pick) -> bool {
        let queued =
            u64::from(pick.requests_per_slot.saturating_sub(1)) * self.expected_answer_time().0;
        self.has_time_for_answer(now.after(Millis(queued)))
    }

    fn has_busy_places(&self, now: Timestamp) -> bool {
        let targets = f64::from(self.balancer.summary(now).unsuspected);
        let places = targets / count_to_f64(self.balancer.gateway_count());
        let in_use =
            self.busy_starts.per_ms(now) * millis_to_f64(self.balancer.answer_times().average());
        in_use < places
    }

    /// Picks a target with a free slot for a hedge of this request, if no request waits and the
    /// budget has an unreserved resend.
    pub fn pick_hedge(&mut self, now: Timestamp, request: &PlacementRequest<'_>) -> Option<Pick> {
        if !self.waiting.is_empty() || !self.has_unreserved_resends(now, request.account) {
            return None;
        }
        self.pick_free(now, request)
    }

    /// Picks another target with a free slot for a request that can't use the one it was given, if
    /// no request waits.
    pub fn pick_free(&mut self, now: Timestamp, request: &PlacementRequest<'_>) -> Option<Pick> {
        if !self.waiting.is_empty() || !self.has_time_for_answer(now) {
            return None;
        }
        self.balancer
            .pick(now, RequestClass::Once, request.tried, &mut self.rng)
    }

    /// Records a finding about the target of a request that is still in flight.
    pub fn observe(&mut self, now: Timestamp, key: BalancedKey, finding: Finding) {
        self.balancer.observe(now, key, finding);
    }

    /// Sends no requests to a target for `pause`, as [`Balancer::pause`] describes.
    pub fn pause(&mut self, now: Timestamp, key: BalancedKey, pause: Millis) {
        self.balancer.pause(now, key, pause);
    }

    /// Ends a request on a target and records its finding, if any.
    pub fn finish(&mut self, now: Timestamp, key: BalancedKey, finding: Option<Finding>) {
        self.completions.record(now);
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.balancer.finish(now, key, finding);
    }

    /// Gives back the slot of a request that was not sent. It says nothing about the capacity, unlike
    /// the end of a request.
    pub fn give_back(&mut self, now: Timestamp, key: BalancedKey) {
        self.balancer.finish(now, key, None);
    }

    /// Adds an answer that took `time` to the average answer time and classifies it.
    pub fn record_answer(&mut self, time: Millis, was_silent: bool) -> Finding {
        self.balancer.record_answer(time, was_silent)
    }

    /// Adds an answer to a request that started in a free slot.
    pub fn record_work(&mut self, time: Millis) {
        self.work_time.record(time);
    }

    /// Expected answer time of a request that starts in a free slot.
    pub fn expected_answer_time(&self) -> Millis {
        let average = self.work_time.average();
        average.unwrap_or_else(|| self.answer_times().average())
    }

    /// Answer times of the service.
    pub fn answer_times(&self) -> AnswerTimes {
        self.balancer.answer_times()
    }

    /// The refusal of a request of this priority and account, with the delay after which it may be
    /// retried.
    ///
    /// While all targets without suspicion are paused, the delay lasts until one of them returns.
    pub fn refusal(&self, now: Timestamp, priority: u32, account: Option<AccountKey>) -> Refusal {
        let summary = self.balancer.summary(now);
        let capacity = self.capacity(now, summary);
        let mut refusal = self.waiting.refusal(now, priority, account, &capacity);
        if summary.unsuspected == 0
            && let Some(left) = self.balancer.pause_left(now)
        {
            refusal.retry_after = refusal.retry_after.max(left);
        }
        refusal
    }

    /// Records findings reported by another gateway.
    pub fn apply_findings(&mut self, now: Timestamp, findings: &[ReportedFinding]) {
        self.balancer.apply_findings(now, findings);
    }

    /// Records the requests in flight that another gateway reports.
    pub fn apply_load_report(&mut self, now: Timestamp, from: &VmId, report: LoadReport) {
        self.balancer.apply_load_report(now, from, report);
    }

    /// Removes and returns the findings to report to the other gateways.
    pub fn take_unreported(&mut self) -> Vec<ReportedFinding> {
        self.balancer.take_unreported()
    }

    /// Report of this gateway's requests in flight.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        self.balancer.load_report(now)
    }

    /// Whether the service is crowded, as defined by [`Balancer::is_crowded`].
    pub fn is_crowded(&self, now: Timestamp) -> bool {
        self.balancer.is_crowded(now)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of accounts with waiting requests.
    pub fn waiting_accounts(&self) -> usize {
        self.waiting.waiting_accounts()
    }

    fn capacity(&self, now: Timestamp, summary: TargetSummary) -> Capacity {
        let slots = match summary.unsuspected {
            0 => summary.paused_slots,
            _ => summary.slots,
        };
        Capacity {
            slots,
            in_flight: summary.in_flight,
            gateways: self.balancer.gateway_count(),
            average_answer_time: self.balancer.answer_times().average(),
            completions_per_ms: self.completions.per_ms(now),
        }
    }
}

/// Wait for a free slot after which a busy target is the better choice: half of the time that
/// remains for a timely answer.
fn busy_fallback_delay(
    now: Timestamp,
    request: &PlacementRequest<'_>,
    capacity: &Capacity,
) -> Millis {
    let left = request.objective.since(now).0;
    Millis(left.saturating_sub(capacity.min_remaining().0) / 2)
}
