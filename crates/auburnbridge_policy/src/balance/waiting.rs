//! Requests that wait for a free slot of their service on one gateway.
//!
//! They start by rank, then in the order of their deadlines. A request that can't be answered before
//! its deadline is refused when it arrives, so that its caller can do something else with the time.

use std::collections::BTreeMap;

use auburnbridge_types::{Millis, Timestamp};

/// Requests that may wait at a time; the estimate of the wait refuses earlier.
const MOST_WAITING: usize = 512;
/// Part of the usual answer time that must be left before a deadline. Half of the requests take
/// less than the average.
const NEEDED_SHARE: f64 = 0.9;
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
    /// Requests in flight from this gateway.
    pub own: u32,
    /// Gateways, this one included.
    pub gateways: usize,
    /// Average answer time.
    pub latency: Millis,
}

/// A request that asks to wait.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer<T> {
    /// Rank; 0 goes first.
    pub rank: u32,
    /// When nobody waits for the answer any more.
    pub deadline: Timestamp,
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
pub struct WaitingRoom<T> {
    waiting: BTreeMap<WaitingKey, T>,
    next_number: u64,
}

impl<T> Default for WaitingRoom<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_number: 0,
        }
    }
}

impl Capacity {
    /// Answers a second that this gateway can expect: its part of the slots in use, and at least an
    /// equal part of all slots.
    fn own_rate_per_ms(&self) -> f64 {
        let equal = f64::from(self.slots.max(1)) / count(self.gateways.max(1));
        let slots = equal.max(f64::from(self.own.min(self.slots)));
        slots / milliseconds(self.latency).max(1.0)
    }

    /// Whether a free slot is in sight without waiting.
    fn has_room(&self) -> bool {
        self.in_flight < self.slots
    }

    fn wait_behind(&self, ahead: usize) -> Millis {
        let turns = if self.has_room() {
            count(ahead)
        } else {
            count(ahead + 1)
        };
        whole_millis(turns / self.own_rate_per_ms())
    }

    /// Time that an answer needs from the start of the request.
    pub fn needed(&self) -> Millis {
        whole_millis(milliseconds(self.latency) * NEEDED_SHARE)
    }
}

impl<T> WaitingRoom<T> {
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
        let wait = capacity.wait_behind(ahead);
        let is_late = now.after(wait).after(capacity.needed()) > offer.deadline;
        if is_late || self.waiting.len() >= MOST_WAITING {
            return Err(self.refusal(capacity));
        }
        self.next_number += 1;
        self.waiting.insert(key, offer.item);
        Ok(key)
    }

    /// The refusal of a request that gets no slot in time.
    pub fn refusal(&self, capacity: &Capacity) -> Refusal {
        let wait = capacity.wait_behind(self.waiting.len());
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
