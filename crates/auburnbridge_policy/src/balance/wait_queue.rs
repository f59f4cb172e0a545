//! Queue of requests that wait on one gateway for a free slot of their service.
//!
//! Requests start by priority, then by the fair share of their client account, then by deadline. A
//! request that can't be answered before its deadline is refused on arrival, so that its caller can
//! use the time otherwise. The estimate of the wait counts the arrivals of each priority, since a
//! waiting request is also overtaken by requests of a higher priority that arrive later, and by those
//! of accounts that have less waiting.

use std::collections::BTreeMap;

use auburnbridge_types::{Millis, Timestamp};

use super::account_shares::{AccountKey, AccountShares, FlowKey, Rank, whole};

/// Capacity of the queue; usually the estimate of the wait refuses requests before it is reached.
const MAX_WAITING: usize = 512;
/// Share of the average answer time that must remain before a deadline when a request starts. Half
/// of the requests take less than the average.
const MIN_REMAINING_SHARE: f64 = 0.9;
/// Fraction of an equal share of the slots (slots divided by gateways) that a gateway counts on at
/// least.
const MIN_FAIR_SHARE: f64 = 0.5;
/// Fraction of the throughput that requests of higher priorities must leave over; with less, the
/// estimated wait is [`MAX_RETRY_AFTER`].
const MIN_SPARE_SHARE: f64 = 0.05;
/// Estimated waits are raised by a quarter, their value divided by this, since half of the
/// estimates are too short.
const WAIT_MARGIN_DIVISOR: u64 = 4;
/// Time without an empty queue after which an overload counts as sustained.
const SUSTAINED_OVERLOAD: Millis = Millis(1_000);
/// Time constant of the exponential decay of event rates.
const RATE_TIME_CONSTANT: Millis = Millis(1_000);
/// Lower bound of [`Refusal::retry_after`]; less is within the error of the estimate.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// Rounds in which the estimate of a wait takes account of the requests that overtake during it.
const OVERTAKING_ROUNDS: usize = 2;
/// Upper bound of [`Refusal::retry_after`].
const MAX_RETRY_AFTER: Millis = Millis(5_000);

/// Capacity of a service, as seen by one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Slots of the targets that are neither suspected nor down.
    pub slots: u32,
    /// Requests in flight on all targets, suspected ones included, from all gateways.
    pub in_flight: u32,
    /// Number of gateways, this one included.
    pub gateways: usize,
    /// Average answer time.
    pub average_answer_time: Millis,
    /// Recent rate of requests of this gateway that ended on a target, per millisecond.
    pub completions_per_ms: f64,
}

/// A request to be queued.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitRequest<T> {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Client account, if it has one.
    pub account: Option<AccountKey>,
    /// Instant after which the caller no longer waits for the answer.
    pub deadline: Timestamp,
    /// Latency objective: until this instant an answer has its full value.
    pub objective: Timestamp,
    /// Handle of the request.
    pub item: T,
}

/// Refusal of a request that can't be answered in time. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Delay after which the service is expected to have capacity for the account.
    pub retry_after: Millis,
    /// Requests of the account with the same priority that wait on this gateway.
    pub backlog: usize,
    /// Whether a request of an account without a backlog would have been queued.
    pub is_own_backlog: bool,
}

impl Refusal {
    fn new(wait: Millis, backlog: usize, is_own_backlog: bool) -> Self {
        Self {
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            backlog,
            is_own_backlog,
        }
    }
}

/// Handle of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingKey {
    priority: u32,
    flow: FlowKey,
    deadline: Timestamp,
    number: u64,
}

impl WaitingKey {
    /// Priority of the request.
    pub fn priority(self) -> u32 {
        self.priority
    }
}

/// Place of a request among the waiting ones.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Waiting requests of the same flow that start earlier.
    own_ahead: usize,
    rank: Rank,
    /// Waiting requests of higher priorities.
    higher_priority: usize,
    /// All waiting requests that start earlier.
    ahead: usize,
}

/// Wait of a request that is to be queued, and what it depends on.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    position: Position,
    wait: Millis,
}

/// The waiting requests of one service.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<WaitingKey, T>,
    next_number: u64,
    arrivals: BTreeMap<u32, EventRate>,
    shares: AccountShares,
    /// When the queue last became non-empty.
    nonempty_since: Timestamp,
}

/// Rate of recent events, as an exponentially decaying count.
#[derive(Clone, Copy, Debug)]
pub struct EventRate {
    count: f64,
    at: Timestamp,
    time_constant: Millis,
}

impl Default for EventRate {
    fn default() -> Self {
        Self::with_time_constant(RATE_TIME_CONSTANT)
    }
}

impl EventRate {
    /// Creates a rate without events; an event counts for about `time_constant`.
    pub fn with_time_constant(time_constant: Millis) -> Self {
        Self {
            count: 0.0,
            at: Timestamp(0),
            time_constant,
        }
    }

    /// Number of recent events, each weighted by its age.
    pub fn count(mut self, now: Timestamp) -> f64 {
        self.decay(now);
        self.count
    }

    /// Counts an event.
    pub fn record(&mut self, now: Timestamp) {
        self.decay(now);
        self.count += 1.0;
    }

    /// Events per millisecond.
    pub fn per_ms(mut self, now: Timestamp) -> f64 {
        self.decay(now);
        self.count / millis_to_f64(self.time_constant)
    }

    fn decay(&mut self, now: Timestamp) {
        let age = millis_to_f64(now.since(self.at));
        self.count *= (-age / millis_to_f64(self.time_constant)).exp();
        self.at = now;
    }
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_number: 0,
            arrivals: BTreeMap::new(),
            shares: AccountShares::default(),
            nonempty_since: Timestamp(0),
        }
    }
}

impl Capacity {
    /// Requests that this gateway can expect to complete per millisecond: as many as recently,
    /// which reflects its share of the slots, and at least half of an equal share.
    fn throughput_per_ms(&self) -> f64 {
        let fair_share = f64::from(self.slots.max(1)) / count_to_f64(self.gateways.max(1));
        let min_rate =
            fair_share * MIN_FAIR_SHARE / millis_to_f64(self.average_answer_time).max(1.0);
        self.completions_per_ms.max(min_rate)
    }

    /// Whether the requests in flight leave a slot free; those on suspected targets count as well.
    fn has_free_slot(&self) -> bool {
        self.in_flight < self.slots
    }

    /// Wait behind `ahead` queued requests and `overtaking` later ones of the same priority, while
    /// requests of higher priorities arrive at the given rate. If these leave almost no throughput, the
    /// wait has no useful estimate and [`MAX_RETRY_AFTER`] stands for it; a request with a deadline far
    /// enough off is queued nevertheless.
    fn estimated_wait(&self, ahead: usize, overtaking: f64, higher_priority_per_ms: f64) -> Millis {
        if self.has_free_slot() && ahead == 0 {
            return Millis(0);
        }
        let rate = self.throughput_per_ms();
        let spare = rate - higher_priority_per_ms;
        if spare < rate * MIN_SPARE_SHARE {
            return MAX_RETRY_AFTER;
        }
        f64_to_millis((count_to_f64(ahead + 1) + overtaking) / spare)
    }

    /// Most waiting requests that can start within `time`, with this expected answer time, if this
    /// gateway gets all slots.
    pub(super) fn most_starts(&self, time: Millis, expected: Millis) -> usize {
        let time = millis_to_f64(time);
        let slots = f64::from(self.slots.max(1));
        let rate = slots / millis_to_f64(expected).max(1.0);
        whole((slots + time * rate.max(self.completions_per_ms)).ceil())
    }

    /// Duration before its deadline by which a request has to start.
    pub fn min_remaining(&self) -> Millis {
        f64_to_millis(millis_to_f64(self.average_answer_time) * MIN_REMAINING_SHARE)
    }
}

impl<T> WaitQueue<T> {
    /// Counts the arrival of a request, whether it waits or not.
    pub fn record_arrival(&mut self, now: Timestamp, priority: u32, account: Option<AccountKey>) {
        self.arrivals.entry(priority).or_default().record(now);
        let is_short_of_room = !self.waiting.is_empty();
        self.shares
            .record_arrival(now, priority, account, is_short_of_room);
    }

    /// Counts the start of a request that has not waited; `is_first` tells it from a resend.
    pub fn record_start(&mut self, priority: u32, account: Option<AccountKey>, is_first: bool) {
        if let Some(flow) = self.shares.flow(priority, account) {
            self.shares.record_start(flow, is_first);
        }
    }

    /// Rate of arrivals with a higher priority than `priority`.
    fn higher_priority_per_ms(&self, now: Timestamp, priority: u32) -> f64 {
        self.arrivals
            .range(..priority)
            .map(|(_, arrivals)| arrivals.per_ms(now))
            .sum()
    }

    /// Whether no request of a higher priority waits or has arrived recently.
    pub fn is_highest_priority(&self, now: Timestamp, priority: u32) -> bool {
        let is_first = self.first_priority().is_none_or(|first| first >= priority);
        is_first
            && self.higher_priority_per_ms(now, priority) * millis_to_f64(RATE_TIME_CONSTANT) < 0.5
    }

    /// Queues a request, or refuses it if the estimated wait is too long for an answer in time: by
    /// its deadline, or by its objective under sustained overload.
    pub fn try_enqueue(
        &mut self,
        now: Timestamp,
        request: WaitRequest<T>,
        capacity: &Capacity,
    ) -> Result<WaitingKey, Refusal> {
        let (priority, account) = (request.priority, request.account);
        let Some(flow) = self.shares.flow(priority, account) else {
            return Err(self.refusal(now, priority, account, capacity));
        };
        let key = WaitingKey {
            priority,
            flow,
            deadline: request.deadline,
            number: self.next_number,
        };
        let until = if self.is_overload_sustained(now) {
            request.objective
        } else {
            request.deadline
        };
        let is_too_late = |wait: Millis| {
            let wait = Millis(wait.0 + wait.0 / WAIT_MARGIN_DIVISOR);
            wait > Millis(0) && now.after(wait).after(capacity.min_remaining()) > until
        };
        let estimate = self.estimate(now, key, capacity);
        if is_too_late(estimate.wait) || self.is_full_for(flow) {
            let is_own_backlog = account.is_some()
                && self.waiting.len() < MAX_WAITING
                && !is_too_late(self.wait_without_backlog(now, key, &estimate, capacity));
            return Err(Refusal {
                is_own_backlog,
                ..self.refusal_after(now, key, &estimate, account, capacity)
            });
        }
        self.next_number += 1;
        if self.waiting.is_empty() {
            self.nonempty_since = now;
        }
        self.waiting.insert(key, request.item);
        self.shares.add_waiting(flow);
        Ok(key)
    }

    fn position(&self, key: WaitingKey) -> Position {
        let own_ahead = self.waiting.range(key.first_of_flow()..key).count();
        let rank = self.shares.rank(key.flow, own_ahead);
        let higher_priority = self.higher_priority_waiting(key.priority);
        Position {
            own_ahead,
            rank,
            higher_priority,
            ahead: higher_priority + own_ahead + rank.ahead,
        }
    }

    fn estimate(&self, now: Timestamp, key: WaitingKey, capacity: &Capacity) -> Estimate {
        let position = self.position(key);
        let Position {
            own_ahead, ahead, ..
        } = position;
        Estimate {
            position,
            wait: self.wait_behind(now, key, own_ahead, ahead, capacity),
        }
    }

    /// Wait that the request would have if its account had nothing waiting and nothing beyond its share.
    fn wait_without_backlog(
        &self,
        now: Timestamp,
        key: WaitingKey,
        estimate: &Estimate,
        capacity: &Capacity,
    ) -> Millis {
        let position = estimate.position;
        let ahead = position.higher_priority + position.rank.ahead_of_unused;
        capacity.estimated_wait(ahead, 0.0, self.higher_priority_per_ms(now, key.priority))
    }

    /// The refusal of a request with this estimate.
    fn refusal_after(
        &self,
        now: Timestamp,
        key: WaitingKey,
        estimate: &Estimate,
        account: Option<AccountKey>,
        capacity: &Capacity,
    ) -> Refusal {
        let backlog = self.shares.waiting(key.flow);
        let position = estimate.position;
        if backlog > position.own_ahead {
            return self.refusal(now, key.priority, account, capacity);
        }
        let ahead = self.waiting.len() - position.rank.behind;
        let wait = if ahead == position.ahead {
            estimate.wait
        } else {
            self.wait_behind(now, key, backlog, ahead, capacity)
        };
        Refusal::new(wait, backlog, false)
    }

    /// Whether a flow may have no further waiting requests. Unless it is alone, it may have as many as
    /// there is room left, so that a few accounts can't fill the queue.
    fn is_full_for(&self, flow: FlowKey) -> bool {
        let room = MAX_WAITING.saturating_sub(self.waiting.len());
        room == 0 || (self.shares.waiting(flow) >= room && !self.shares.is_alone(flow))
    }

    fn higher_priority_waiting(&self, priority: u32) -> usize {
        let higher = self
            .waiting
            .keys()
            .take_while(|key| key.priority < priority);
        higher.count()
    }

    /// Wait behind `ahead` requests, `own_ahead` of which are of the flow, and the requests that
    /// overtake meanwhile.
    fn wait_behind(
        &self,
        now: Timestamp,
        key: WaitingKey,
        own_ahead: usize,
        ahead: usize,
        capacity: &Capacity,
    ) -> Millis {
        let higher_priority_per_ms = self.higher_priority_per_ms(now, key.priority);
        let mut wait = capacity.estimated_wait(ahead, 0.0, higher_priority_per_ms);
        for _ in 0..OVERTAKING_ROUNDS {
            if wait == Millis(0) || wait >= MAX_RETRY_AFTER {
                break;
            }
            let overtaking = self.shares.overtaking(key.flow, own_ahead, wait);
            if overtaking == 0.0 {
                break;
            }
            wait = capacity.estimated_wait(ahead, overtaking, higher_priority_per_ms);
        }
        wait
    }

    /// Whether the overload is sustained. Queueing up to the deadlines would then make every answer
    /// late without serving more requests.
    fn is_overload_sustained(&self, now: Timestamp) -> bool {
        !self.waiting.is_empty() && now.since(self.nonempty_since) >= SUSTAINED_OVERLOAD
    }

    /// The refusal of a request that can't get a slot in time. Its account is told the wait behind its
    /// own waiting requests, and behind those of others only as far as they start earlier.
    pub fn refusal(
        &self,
        now: Timestamp,
        priority: u32,
        account: Option<AccountKey>,
        capacity: &Capacity,
    ) -> Refusal {
        let flow = self.shares.find(priority, account);
        let backlog = flow.map_or(0, |flow| self.shares.waiting(flow));
        let wait = if let Some(flow) = flow {
            let key = WaitingKey {
                priority,
                flow,
                deadline: Timestamp(0),
                number: 0,
            };
            let ahead = self.waiting.len() - self.shares.rank(flow, backlog).behind;
            self.wait_behind(now, key, backlog, ahead, capacity)
        } else {
            let higher_priority_per_ms = self.higher_priority_per_ms(now, priority);
            capacity.estimated_wait(self.waiting.len(), 0.0, higher_priority_per_ms)
        };
        Refusal::new(wait, backlog, false)
    }

    /// Priority of the request to start next.
    pub fn first_priority(&self) -> Option<u32> {
        self.waiting.first_key_value().map(|(key, _)| key.priority)
    }

    /// The first request in the order of starts for which `accepts` holds.
    pub fn first_where(&self, accepts: impl Fn(&T) -> bool) -> Option<(WaitingKey, &T)> {
        let mut first: Option<(f64, WaitingKey, &T)> = None;
        let mut lag = 0.0;
        let mut flow = None;
        for (key, item) in &self.waiting {
            if first.is_some_and(|(_, first, _)| first.priority < key.priority) {
                break;
            }
            if !accepts(item) {
                continue;
            }
            if flow != Some(key.flow) {
                flow = Some(key.flow);
                lag = self.shares.lag(key.flow);
            }
            let is_earlier = first.is_none_or(|(first_lag, first, _)| {
                lag < first_lag || (lag <= first_lag && key.is_due_before(&first))
            });
            if is_earlier {
                first = Some((lag, *key, item));
            }
        }
        first.map(|(_, key, item)| (key, item))
    }

    /// Whether the account of a waiting request is the only one that sends requests of its priority.
    pub fn is_alone(&self, key: WaitingKey) -> bool {
        self.shares.is_alone(key.flow)
    }

    /// Whether the account of a waiting request has used up its share, and others send requests.
    pub fn is_above_share(&self, key: WaitingKey) -> bool {
        self.shares.is_above_share(key.flow)
    }

    /// Removes and returns the requests that can't be among the next `count` starts, even if all that
    /// are due before `until` leave the queue.
    pub fn remove_beyond(&mut self, count: usize, until: Timestamp) -> Vec<T> {
        let is_leaving = |key: &&WaitingKey| key.deadline < until;
        let leaving = self.waiting.keys().filter(is_leaving).count();
        let keys = self.waiting.keys().copied();
        let beyond: Vec<_> = keys
            .filter(|key| self.position(*key).ahead >= count + leaving)
            .collect();
        beyond
            .into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Removes a request that starts; `is_first` tells it from a resend.
    pub fn start(&mut self, key: WaitingKey, is_first: bool) -> Option<T> {
        let item = self.remove(key)?;
        self.shares.record_start(key.flow, is_first);
        Some(item)
    }

    /// Removes a request that does not start.
    pub fn remove(&mut self, key: WaitingKey) -> Option<T> {
        let item = self.waiting.remove(&key)?;
        self.shares.remove_waiting(key.flow);
        Some(item)
    }

    /// Share of the recent requests that are of this account.
    pub fn request_share(&self, account: Option<AccountKey>) -> f64 {
        self.shares.request_share(account)
    }

    /// Number of accounts with waiting requests.
    pub fn waiting_accounts(&self) -> usize {
        self.shares.waiting_accounts()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl WaitingKey {
    /// Lower bound of the keys of the same flow.
    fn first_of_flow(self) -> Self {
        Self {
            deadline: Timestamp(0),
            number: 0,
            ..self
        }
    }

    fn is_due_before(&self, other: &Self) -> bool {
        (self.deadline, self.number) < (other.deadline, other.number)
    }
}

pub(super) fn count_to_f64(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

pub(super) fn millis_to_f64(time: Millis) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn f64_to_millis(value: f64) -> Millis {
    Millis(value.clamp(0.0, f64::from(u32::MAX)) as u64)
}
