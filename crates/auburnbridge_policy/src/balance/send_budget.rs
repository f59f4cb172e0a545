//! Budget of the sends beyond the first one of each request.
//!
//! The bound holds for all gateways together and for any window of its length. A share of the
//! requests can be kept by each gateway for itself; of the fixed allowance each takes its part.

use std::collections::VecDeque;

use auburnbridge_types::{Millis, Timestamp};

/// Parts into which the window is divided.
const BUCKETS: u64 = 20;
/// Part of the budget that is used. The rest covers windows that lie across buckets, and gateways
/// that don't know of each other yet.
const USED_SHARE: f64 = 0.8;

/// Bounds of a [`SendBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendBudgetOptions {
    /// Further sends as a share of the requests of a window.
    pub ratio: f64,
    /// Further sends that are allowed on top in a window, over all gateways.
    pub allowance: f64,
    /// Length of a window.
    pub window: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    requests: u32,
    further: u32,
}

/// Budget of one service on one gateway.
#[derive(Clone, Debug)]
pub struct SendBudget {
    options: SendBudgetOptions,
    buckets: VecDeque<Bucket>,
}

impl SendBudget {
    /// Creates the budget of a service.
    pub fn new(options: SendBudgetOptions) -> Self {
        Self {
            options,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.bucket(now).requests += 1;
    }

    /// Takes a further send from the budget if it has one; `gateways` share the allowance.
    pub fn try_send_again(&mut self, now: Timestamp, gateways: usize) -> bool {
        if !self.has_left(now, gateways, 0.0) {
            return false;
        }
        self.bucket(now).further += 1;
        true
    }

    /// Whether a send is left beside a share of the budget that is kept for others.
    pub fn has_left(&mut self, now: Timestamp, gateways: usize, kept: f64) -> bool {
        self.expire(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let further: u32 = self.buckets.iter().map(|bucket| bucket.further).sum();
        let gateways = f64::from(u32::try_from(gateways.max(1)).unwrap_or(u32::MAX));
        let limit = USED_SHARE
            * (self.options.ratio * f64::from(requests) + self.options.allowance / gateways);
        f64::from(further) + 1.0 <= limit * (1.0 - kept)
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        self.expire(now);
        let number = self.number(now);
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                further: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was added if there was none")
    }

    fn expire(&mut self, now: Timestamp) {
        let oldest = self.number(now).saturating_sub(BUCKETS);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number < oldest)
        {
            self.buckets.pop_front();
        }
    }

    fn number(&self, now: Timestamp) -> u64 {
        now.0 / (self.options.window.0 / BUCKETS).max(1)
    }
}
