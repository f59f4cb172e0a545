//! Budget that keeps retries a small share of the traffic.
//!
//! A retry storm after the loss of a data centre would multiply the load exactly when capacity is
//! short, so retries draw from a bucket that requests fill.

use auburnbridge_types::{RatePerSecond, Timestamp};

/// Longest burst that the bucket holds, in seconds of its fixed rate.
const BURST_SECONDS: f64 = 5.0;

/// Retry budget of one service on one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    rate: f64,
    tokens: f64,
    refilled: Timestamp,
}

impl RetryBudget {
    /// Allows `percent` of the requests plus `rate` retries a second.
    pub fn new(now: Timestamp, percent: u32, rate: RatePerSecond) -> Self {
        let rate = f64::from(rate.0);
        Self {
            share: f64::from(percent) / 100.0,
            rate,
            tokens: rate,
            refilled: now,
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Timestamp) {
        self.refill(now);
        self.tokens = (self.tokens + self.share).min(self.limit());
    }

    /// Takes one retry from the budget if it has one.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn limit(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(10.0)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = u32::try_from(now.since(self.refilled).0).unwrap_or(u32::MAX);
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + self.rate * f64::from(elapsed) / 1000.0).min(self.limit());
    }
}
