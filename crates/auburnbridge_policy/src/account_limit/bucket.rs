//! Token bucket with credits for the past.
//!
//! A credit counts as if its tokens had been there since an earlier time: as much of it is added as
//! would not have overflowed the bucket since. Otherwise tokens that come back late would add to those
//! that accrued meanwhile, and a window could hold more requests than rate and capacity allow.

use auburnbridge_types::{Millis, Timestamp};

use super::tolerance::milliseconds;

/// Number of slots of [`RoomHistory`].
const SLOTS: usize = 13;
/// Number of slots per window of the limit.
const SLOTS_PER_WINDOW: u64 = 10;

/// Rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketSize {
    /// Tokens per millisecond.
    pub(super) rate: f64,
    /// Largest number of tokens.
    pub(super) capacity: f64,
}

/// A token bucket.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    size: BucketSize,
    level: f64,
    updated: Timestamp,
    created: Timestamp,
    history: RoomHistory,
}

impl TokenBucket {
    /// Creates a full bucket, whose history tells of no room.
    pub(super) fn new(now: Timestamp, capacity: f64, slot: Millis) -> Self {
        Self {
            size: BucketSize {
                rate: 0.0,
                capacity,
            },
            level: capacity,
            updated: now,
            created: now,
            history: RoomHistory::new(now, slot),
        }
    }

    /// Adds capacity that has been there since an earlier time, and holds `level` tokens now.
    pub(super) fn add_capacity(&mut self, since: Timestamp, capacity: f64, level: f64) {
        self.size.capacity += capacity;
        self.level += level;
        self.history.raise_since(since, capacity - level);
    }

    /// Adds the tokens that accrued up to `now`.
    pub(super) fn settle(&mut self, now: Timestamp) {
        if now <= self.updated {
            return;
        }
        let accrued = self.size.rate * milliseconds(now.since(self.updated));
        self.level = (self.level + accrued).min(self.size.capacity);
        self.updated = now;
        self.history.record(now, self.room());
    }

    /// Changes rate and capacity from `now` on.
    pub(super) fn resize(&mut self, now: Timestamp, size: BucketSize) {
        self.settle(now);
        self.size = size;
        self.level = self.level.min(size.capacity);
        self.history.record(self.updated, self.room());
    }

    /// Takes up to `wanted` whole tokens.
    pub(super) fn take(&mut self, now: Timestamp, wanted: u32) -> u32 {
        self.settle(now);
        let taken = whole(self.level).min(wanted);
        self.level -= f64::from(taken);
        taken
    }

    /// Gives back a token that was taken at `taken`.
    pub(super) fn give_back(&mut self, now: Timestamp, taken: Timestamp) {
        if taken >= self.created {
            self.credit(now, taken, 1.0);
        }
    }

    /// Adds up to `amount` tokens as if they had been there since an earlier time.
    pub(super) fn credit(&mut self, now: Timestamp, since: Timestamp, amount: f64) {
        self.settle(now);
        let amount = amount.min(self.history.least_since(since)).min(self.room());
        if amount > 0.0 {
            self.history.raise_since(since, -amount);
            self.level += amount;
        }
    }

    /// Time until a whole token is available; `None` if none ever is.
    pub(super) fn wait(&self) -> Option<Millis> {
        if self.level >= 1.0 {
            return Some(Millis(0));
        }
        if self.size.capacity < 1.0 || self.size.rate <= 0.0 {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a conversion of a float saturates, and the level is below one"
        )]
        let wait = ((1.0 - self.level) / self.size.rate).ceil() as u64;
        Some(Millis(wait))
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    fn room(&self) -> f64 {
        self.size.capacity - self.level
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a conversion of a float saturates"
)]
fn whole(level: f64) -> u32 {
    level.floor() as u32
}

/// Length of a slot of the history for windows of this length.
pub(super) fn slot_length(window: Millis) -> Millis {
    Millis((window.0 / SLOTS_PER_WINDOW).max(1))
}

/// Least free room of a bucket in each of the latest slots of time.
#[derive(Clone, Debug)]
struct RoomHistory {
    slot: Millis,
    /// Number of the latest slot.
    latest: u64,
    least: [f64; SLOTS],
}

impl RoomHistory {
    /// A history of a full bucket.
    fn new(now: Timestamp, slot: Millis) -> Self {
        Self {
            slot,
            latest: now.0 / slot.0,
            least: [0.0; SLOTS],
        }
    }

    /// Records the room at `now`. It has only shrunk since the previous record.
    fn record(&mut self, now: Timestamp, room: f64) {
        let slot = now.0 / self.slot.0;
        let skipped = slot.saturating_sub(self.latest).min(SLOTS as u64);
        for back in 0..skipped {
            self.least[index(slot - back)] = room;
        }
        self.latest = self.latest.max(slot);
        let least = &mut self.least[index(self.latest)];
        *least = least.min(room);
    }

    fn least_since(&self, time: Timestamp) -> f64 {
        let Some(slots) = self.slots_since(time) else {
            return 0.0;
        };
        slots
            .map(|slot| self.least[index(slot)])
            .fold(f64::INFINITY, f64::min)
    }

    fn raise_since(&mut self, time: Timestamp, amount: f64) {
        for slot in self.slots_since(time).into_iter().flatten() {
            self.least[index(slot)] += amount;
        }
    }

    /// The slots from that of `time` on; `None` if that is too long ago or in the future.
    fn slots_since(&self, time: Timestamp) -> Option<std::ops::RangeInclusive<u64>> {
        let first = time.0 / self.slot.0;
        let is_known = first <= self.latest && self.latest - first < SLOTS as u64;
        is_known.then_some(first..=self.latest)
    }
}

fn index(slot: u64) -> usize {
    usize::try_from(slot % SLOTS as u64).expect("the number of slots fits")
}
