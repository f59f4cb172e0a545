//! Limits per caller account in bounded memory.
//!
//! Each account costs one time stamp (the generic cell rate algorithm): the time at which its bucket
//! would be empty again. An account whose time lies in the past equals one that is not listed, so
//! idle accounts are swept and cost nothing.

use std::collections::HashMap;

use auburnbridge_types::{AccountId, Millis, RatePerSecond, Timestamp};

/// Accounts that are listed at the same time; design scale has 400,000.
const ACCOUNT_LIMIT: usize = 500_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Rate and burst of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimit {
    /// Requests a second.
    pub rate: RatePerSecond,
    /// Requests that may come at once.
    pub burst: u32,
}

/// The accounts of one entry.
#[derive(Clone, Debug, Default)]
pub struct AccountLimiter {
    busy_until_micros: HashMap<AccountId, u64>,
}

impl AccountLimiter {
    /// Counts a request, or gives the time after which the account may send again.
    pub fn admit(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        limit: AccountLimit,
    ) -> Result<(), Millis> {
        let now_micros = now.0.saturating_mul(1000);
        let interval = MICROS_PER_SECOND / u64::from(limit.rate.0.max(1));
        let allowance = interval * u64::from(limit.burst.max(1));
        let busy_until = self
            .busy_until_micros
            .get(account)
            .map_or(now_micros, |until| (*until).max(now_micros));
        let next = busy_until + interval;
        if next > now_micros + allowance {
            let wait_micros = next - now_micros - allowance;
            return Err(Millis(wait_micros.div_ceil(1000)));
        }
        if self.busy_until_micros.len() >= ACCOUNT_LIMIT {
            self.sweep(now);
        }
        // A full table admits an unlisted account without a count: refusing would punish a caller
        // for the traffic of others.
        if self.busy_until_micros.len() < ACCOUNT_LIMIT
            || self.busy_until_micros.contains_key(account)
        {
            self.busy_until_micros.insert(account.clone(), next);
        }
        Ok(())
    }

    /// Drops the accounts whose buckets are full again.
    pub fn sweep(&mut self, now: Timestamp) {
        let now_micros = now.0.saturating_mul(1000);
        self.busy_until_micros
            .retain(|_, until| *until > now_micros);
    }

    /// Number of accounts listed.
    pub fn len(&self) -> usize {
        self.busy_until_micros.len()
    }

    /// Whether no account is listed.
    pub fn is_empty(&self) -> bool {
        self.busy_until_micros.is_empty()
    }
}
