//! Budget of resends, that is, of the sends of a request beyond its first one.
//!
//! The bound holds over all gateways together and for any window of the configured length. Each
//! gateway applies the ratio to its own requests and takes an equal part of the fixed allowance.
//!
//! One client account can't use up the budget: the last quarter is left to accounts that have had no
//! more than their part of the resends, by their part of the requests.

use std::collections::VecDeque;

use auburnbridge_types::{Millis, Timestamp};

use super::account_shares::AccountKey;
use super::wait_queue::count_to_f64;

/// Number of buckets in which a window is counted.
const BUCKETS_PER_WINDOW: u64 = 20;
/// Share of the budget that is used. The rest covers windows that start within a bucket, and
/// gateways that don't know each other yet.
const USABLE_SHARE: f64 = 0.8;

/// Share of the budget that is left to accounts within their part of it.
const OTHERS_SHARE: f64 = 0.25;

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

/// Whose request is to be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requester {
    /// Client account of the request, if it has one.
    pub account: Option<AccountKey>,
    /// Share of the recent requests that are of this account.
    pub request_share: f64,
}

impl Requester {
    /// The requester of all requests of a deployment without accounts.
    pub const ANYONE: Self = Self {
        account: None,
        request_share: 1.0,
    };
}

#[derive(Clone, Debug)]
struct Bucket {
    number: u64,
    requests: u32,
    /// The account of each resend; the budget bounds their number.
    resends: Vec<Option<AccountKey>>,
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

    /// Takes a resend from the budget if any remains for the requester; `gateways` is the number of
    /// gateways that share the allowance.
    pub fn try_resend(&mut self, now: Timestamp, gateways: usize, requester: Requester) -> bool {
        if !self.has_remaining(now, gateways, requester, 0.0) {
            return false;
        }
        self.current_bucket(now).resends.push(requester.account);
        true
    }

    /// Whether the budget has a resend left for the requester without using its reserved share.
    pub fn has_remaining(
        &mut self,
        now: Timestamp,
        gateways: usize,
        requester: Requester,
        reserved_share: f64,
    ) -> bool {
        self.expire(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let gateways = f64::from(u32::try_from(gateways.max(1)).unwrap_or(u32::MAX));
        let limit = USABLE_SHARE
            * (self.options.ratio * f64::from(requests) + self.options.allowance / gateways)
            * (1.0 - reserved_share);
        let resends = || self.buckets.iter().flat_map(|bucket| &bucket.resends);
        let next = count_to_f64(resends().count() + 1);
        if next <= limit * (1.0 - OTHERS_SHARE) {
            return true;
        }
        let own = resends()
            .filter(|account| **account == requester.account)
            .count();
        let is_within_part = own == 0 || count_to_f64(own + 1) <= limit * requester.request_share;
        next <= limit && is_within_part
    }

    fn current_bucket(&mut self, now: Timestamp) -> &mut Bucket {
        self.expire(now);
        let number = self.bucket_number(now);
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                resends: Vec::new(),
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
