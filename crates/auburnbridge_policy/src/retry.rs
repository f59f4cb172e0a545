//! Retry budget that limits retries to a small share of the traffic.
//!
//! After the loss of a data centre, a retry storm would multiply the load while capacity is short.
//! Retries therefore take tokens from a bucket that first attempts fill.

use auburnbridge_types::{RatePerSecond, Timestamp};

/// Capacity of the bucket in seconds of its fixed rate.
const BURST_SECONDS: f64 = 5.0;

/// Retry budget of one service on one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Tokens that a first attempt adds.
    share: f64,
    /// Tokens that are added per second.
    rate: f64,
    /// Retries available now.
    tokens: f64,
    last_refill: Timestamp,
}

impl RetryBudget {
    /// Creates a budget of `percent` of the requests plus `rate` retries per second. It starts with
    /// the tokens of one second.
    pub fn new(now: Timestamp, percent: u32, rate: RatePerSecond) -> Self {
        let rate = f64::from(rate.0);
        Self {
            share: f64::from(percent) / 100.0,
            rate,
            tokens: rate,
            last_refill: now,
        }
    }

    /// Adds the tokens of a first attempt.
    pub fn record_request(&mut self, now: Timestamp) {
        self.refill(now);
        self.tokens = (self.tokens + self.share).min(self.capacity());
    }

    /// Takes one token; returns `false` if there is none and the retry is not allowed.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn capacity(&self) -> f64 {
        // At least ten retries: with a rate of zero the bucket could otherwise hold no tokens.
        (self.rate * BURST_SECONDS).max(10.0)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = u32::try_from(now.since(self.last_refill).0).unwrap_or(u32::MAX);
        self.last_refill = self.last_refill.max(now);
        self.tokens = (self.tokens + self.rate * f64::from(elapsed) / 1000.0).min(self.capacity());
    }
}
