//! Budget of resends, that is, of the sends of a request beyond its first one.
//!
//! The bound holds over all gateways together and for any window of the configured length. Each
//! gateway applies the ratio to its own requests and takes an equal part of the fixed allowance.

use std::collections::VecDeque;

use auburnbridge_types::{Millis, Timestamp};

/// Number of buckets in which a window is counted.
const BUCKETS_PER_WINDOW: u64 = 20;
/// Share of the budget that is used. The rest covers windows that start within a bucket, and
/// gateways that don't know each other yet.
const USABLE_SHARE: f64 = 0.8;

/// Bounds of a [`ResendBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendBudgetOptions {
    /// Resends as a share of the requests in a window.
    pub ratio: f64,
    /// Additional resends allowed in a window, over all gateways.
    pub allowance: f64,
    /// Length of a window.
    pub window: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    requests: u32,
    resends: u32,
}

/// Resend budget of one service on one gateway.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    options: ResendBudgetOptions,
    buckets: VecDeque<Bucket>,
}

impl ResendBudget {
    /// Creates the budget of a service.
    pub fn new(options: ResendBudgetOptions) -> Self {
        Self {
            options,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a resend from the budget if any remains; `gateways` is the number of gateways that
    /// share the allowance.
    pub fn try_resend(&mut self, now: Timestamp, gateways: usize) -> bool {
        if !self.has_remaining(now, gateways, 0.0) {
            return false;
        }
        self.current_bucket(now).resends += 1;
        true
    }

    /// Whether the budget has a resend left without using its reserved share.
    pub fn has_remaining(&mut self, now: Timestamp, gateways: usize, reserved_share: f64) -> bool {
        self.expire(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let resends: u32 = self.buckets.iter().map(|bucket| bucket.resends).sum();
        let gateways = f64::from(u32::try_from(gateways.max(1)).unwrap_or(u32::MAX));
        let limit = USABLE_SHARE
            * (self.options.ratio * f64::from(requests) + self.options.allowance / gateways);
        f64::from(resends) + 1.0 <= limit * (1.0 - reserved_share)
    }

    fn current_bucket(&mut self, now: Timestamp) -> &mut Bucket {
        self.expire(now);
        let number = self.bucket_number(now);
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                resends: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was added if none was current")
    }

    fn expire(&mut self, now: Timestamp) {
        let oldest = self.bucket_number(now).saturating_sub(BUCKETS_PER_WINDOW);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number < oldest)
        {
            self.buckets.pop_front();
        }
    }

    fn bucket_number(&self, now: Timestamp) -> u64 {
        now.0 / (self.options.window.0 / BUCKETS_PER_WINDOW).max(1)
    }
}
