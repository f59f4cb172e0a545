//! The slowest transfer of a message that is still waited for.
//!
//! A transfer ends if no byte moved for a stated time, or if it falls behind a minimum rate after
//! the same time as a head start. Both are needed: a peer that moves a byte now and then never
//! pauses for long, and one that stops after a fast start has time left at the minimum rate.

use auburnbridge_http::ByteCounter;
use auburnbridge_types::{ByteRate, Clock, Millis, Timestamp};

/// Parts of `max_pause` after which a transfer is checked again.
const CHECKS_PER_PAUSE: u64 = 8;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Limits on the duration of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferPace {
    /// Longest time without a byte, and the time that is allowed beyond that of the minimum rate.
    pub max_pause: Millis,
    /// Rate that the transfer must reach on average.
    pub min_rate: ByteRate,
}

/// A transfer in progress.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    pace: TransferPace,
    start: Timestamp,
    last_progress: Timestamp,
    bytes: u64,
}

impl Transfer {
    /// Starts a transfer of which no byte has moved.
    pub fn new(pace: TransferPace, start: Timestamp) -> Self {
        Self {
            pace,
            start,
            last_progress: start,
            bytes: 0,
        }
    }

    /// Records that `bytes` have moved in all.
    pub fn record(&mut self, now: Timestamp, bytes: u64) {
        if bytes > self.bytes {
            self.bytes = bytes;
            self.last_progress = now;
        }
    }

    /// The instant at which the transfer ends unless further bytes move.
    pub fn expires(&self) -> Timestamp {
        let TransferPace {
            max_pause,
            min_rate,
        } = self.pace;
        let time_at_min_rate = self.bytes.saturating_mul(MILLIS_PER_SECOND) / min_rate.0.max(1);
        let behind_rate = self.start.after(max_pause).after(Millis(time_at_min_rate));
        behind_rate.min(self.last_progress.after(max_pause))
    }
}

/// Completes when a transfer that starts now expires; `moved` counts its bytes.
pub(crate) async fn wait_until_expired(
    clock: &dyn Clock,
    pace: TransferPace,
    moved: impl Fn() -> u64,
) {
    let interval = Millis((pace.max_pause.0 / CHECKS_PER_PAUSE).max(1));
    let mut transfer = Transfer::new(pace, clock.now());
    loop {
        let now = clock.now();
        transfer.record(now, moved());
        let left = transfer.expires().since(now);
        if left == Millis(0) {
            return;
        }
        clock.sleep(left.min(interval)).await;
    }
}

/// The bytes that `counter` has counted since now.
pub(crate) fn count_from_now(counter: ByteCounter) -> impl Fn() -> u64 {
    let before = counter.get();
    move || counter.get() - before
}
