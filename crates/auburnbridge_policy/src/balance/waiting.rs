//! Requests that wait for a free slot of their service on one gateway.
//!
//! They start by rank, then in the order of their deadlines. A request that can't be answered before
//! its deadline is refused when it arrives, so that its caller can do something else with the time.
//! For that the arrivals of each rank are counted: whoever waits also waits for requests of a better
//! rank that are yet to come.

use std::collections::BTreeMap;

use auburnbridge_types::{Millis, Timestamp};

/// Requests that may wait at a time; the estimate of the wait refuses earlier.
const MOST_WAITING: usize = 512;
/// Part of the usual answer time that must be left before a deadline. Half of the requests take
/// less than the average.
const NEEDED_SHARE: f64 = 0.9;
/// Part of an equal share of the slots that a gateway counts on at least.
const LEAST_PART: f64 = 0.5;
/// Part of the capacity that must be left by better ranks for a request to be taken in.
const LEAST_SHARE: f64 = 0.05;
/// Part by which an estimated wait is lengthened, since half of the estimates are too short.
const WAIT_MARGIN_DIVISOR: u64 = 4;
/// Time of waiting without a break from which an overload counts as lasting.
const LASTING: Millis = Millis(1_000);
/// Time over which rates are averaged.
const RATE_TIME: Millis = Millis(1_000);
/// Shortest advice when to come back; less is within the error of the estimate.
const SHORTEST_RETRY: Millis = Millis(100);
/// Longest advice when to come back.
const LONGEST_RETRY: Millis = Millis(5_000);

/// What a service can do, as one gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Slots of the targets that get work.
    pub slots: u32,
    /// Requests in flight from all gateways.
    pub in_flight: u32,
    /// Gateways, this one included.
    pub gateways: usize,
    /// Average answer time.
    pub latency: Millis,
    /// Requests of this gateway that ended lately, per millisecond.
    pub ended_per_ms: f64,
}

/// A request that asks to wait.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer<T> {
    /// Rank; 0 goes first.
    pub rank: u32,
    /// When nobody waits for the answer any more.
    pub deadline: Timestamp,
    /// Until then the answer is of full use.
    pub objective: Timestamp,
    /// The caller's handle of the request.
    pub item: T,
}

/// The request can't be served in time; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the service is expected to have room.
    pub retry_after: Millis,
}

/// Handle of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingKey {
    rank: u32,
    deadline: Timestamp,
    number: u64,
}

impl WaitingKey {
    /// Rank of the request.
    pub fn rank(self) -> u32 {
        self.rank
    }
}

/// The waiting requests of one service.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<WaitingKey, T>,
    next_number: u64,
    arrivals: BTreeMap<u32, EventRate>,
    /// When the first of the requests that wait without a break began to.
    busy_since: Timestamp,
}

/// Rate of events over the last second or so, as a count that fades.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRate {
    count: f64,
    at: Timestamp,
}

impl EventRate {
    /// Counts an event.
    pub fn record(&mut self, now: Timestamp) {
        self.fade(now);
        self.count += 1.0;
    }

    /// Events per millisecond.
    pub fn per_ms(mut self, now: Timestamp) -> f64 {
        self.fade(now);
        self.count / milliseconds(RATE_TIME)
    }

    fn fade(&mut self, now: Timestamp) {
        let age = milliseconds(now.since(self.at));
        self.count *= (-age / milliseconds(RATE_TIME)).exp();
        self.at = now;
    }
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_number: 0,
            arrivals: BTreeMap::new(),
            busy_since: Timestamp(0),
        }
    }
}

impl Capacity {
    /// Requests that this gateway can expect to end per millisecond: as many as lately, which tells
    /// its part of the slots, and at least a half of an equal part.
    fn own_rate_per_ms(&self) -> f64 {
        let equal = f64::from(self.slots.max(1)) / count(self.gateways.max(1));
        let least = equal * LEAST_PART / milliseconds(self.latency).max(1.0);
        self.ended_per_ms.max(least)
    }

    /// Whether a free slot is in sight without waiting.
    fn has_room(&self) -> bool {
        self.in_flight < self.slots
    }

    /// Wait behind so many requests while those of a better rank arrive at a rate.
    fn wait_behind(&self, ahead: usize, better_per_ms: f64) -> Millis {
        if self.has_room() && ahead == 0 {
            return Millis(0);
        }
        let rate = self.own_rate_per_ms();
        let left = rate - better_per_ms;
        if left < rate * LEAST_SHARE {
            return LONGEST_RETRY;
        }
        whole_millis(count(ahead + 1) / left)
    }

    /// Time that an answer needs from the start of the request.
    pub fn needed(&self) -> Millis {
        whole_millis(milliseconds(self.latency) * NEEDED_SHARE)
    }
}

impl<T> WaitQueue<T> {
    /// Counts a request of the rank, whether it waits or not.
    pub fn record_arrival(&mut self, now: Timestamp, rank: u32) {
        self.arrivals.entry(rank).or_default().record(now);
    }

    /// Arrivals of better ranks than `rank`.
    fn better_per_ms(&self, now: Timestamp, rank: u32) -> f64 {
        self.arrivals
            .range(..rank)
            .map(|(_, arrivals)| arrivals.per_ms(now))
            .sum()
    }

    /// Whether no request of a better rank has arrived lately or waits.
    pub fn is_best_rank(&self, now: Timestamp, rank: u32) -> bool {
        let is_first = self.first().is_none_or(|(key, _)| key.rank >= rank);
        is_first && self.better_per_ms(now, rank) * milliseconds(RATE_TIME) < 0.5
    }

    /// Takes a request in, or refuses it if it would wait in vain.
    pub fn offer(
        &mut self,
        now: Timestamp,
        offer: Offer<T>,
        capacity: &Capacity,
    ) -> Result<WaitingKey, Refusal> {
        let key = WaitingKey {
            rank: offer.rank,
            deadline: offer.deadline,
            number: self.next_number,
        };
        let ahead = self.waiting.range(..key).count();
        let better = self.better_per_ms(now, offer.rank);
        let wait = capacity.wait_behind(ahead, better);
        let wait = Millis(wait.0 + wait.0 / WAIT_MARGIN_DIVISOR);
        let until = if self.is_lasting(now) {
            offer.objective
        } else {
            offer.deadline
        };
        let is_late = wait > Millis(0) && now.after(wait).after(capacity.needed()) > until;
        if is_late || self.waiting.len() >= MOST_WAITING {
            return Err(self.refusal(now, offer.rank, capacity));
        }
        self.next_number += 1;
        if self.waiting.is_empty() {
            self.busy_since = now;
        }
        self.waiting.insert(key, offer.item);
        Ok(key)
    }

    /// Whether requests have been waiting for so long that a queue up to their deadlines would make
    /// every answer late without serving more of them.
    fn is_lasting(&self, now: Timestamp) -> bool {
        !self.waiting.is_empty() && now.since(self.busy_since) >= LASTING
    }

    /// The refusal of a request that gets no slot in time.
    pub fn refusal(&self, now: Timestamp, rank: u32, capacity: &Capacity) -> Refusal {
        let better = self.better_per_ms(now, rank);
        let wait = capacity.wait_behind(self.waiting.len(), better);
        Refusal {
            retry_after: wait.clamp(SHORTEST_RETRY, LONGEST_RETRY),
        }
    }

    /// The request that starts next.
    pub fn first(&self) -> Option<(WaitingKey, &T)> {
        self.waiting
            .first_key_value()
            .map(|(key, item)| (*key, item))
    }

    /// The waiting requests in the order in which they start.
    pub fn iter(&self) -> impl Iterator<Item = (WaitingKey, &T)> {
        self.waiting.iter().map(|(key, item)| (*key, item))
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: WaitingKey) -> Option<T> {
        self.waiting.remove(&key)
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

fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn milliseconds(time: Millis) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn whole_millis(value: f64) -> Millis {
    Millis(value.clamp(0.0, f64::from(u32::MAX)) as u64)
}
