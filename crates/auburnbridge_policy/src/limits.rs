//! Rate limits per client account in bounded memory.
//!
//! The limiter is the generic cell rate algorithm (GCRA). It stores one timestamp per account, the
//! theoretical arrival time of its next request. An account whose timestamp has passed is
//! equivalent to one that is not in the table, so idle accounts are removed and use no memory.

use std::collections::HashMap;

use auburnbridge_types::{AccountId, Millis, RatePerSecond, Timestamp};

/// Maximum number of accounts in the table; the design scale is 400,000.
const MAX_ACCOUNTS: usize = 500_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Rate and burst of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimit {
    /// Sustained requests per second.
    pub rate: RatePerSecond,
    /// Requests that may arrive at once.
    pub burst: u32,
}

/// Rate limiter for the accounts of one entry.
#[derive(Clone, Debug, Default)]
pub struct AccountLimiter {
    theoretical_arrivals_micros: HashMap<AccountId, u64>,
}

impl AccountLimiter {
    /// Counts a request against the limit.
    ///
    /// # Errors
    ///
    /// Returns the time after which the account may send again if the request exceeds the limit.
    pub fn admit(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        limit: AccountLimit,
    ) -> Result<(), Millis> {
        let now_micros = now.0.saturating_mul(1000);
        let interval = MICROS_PER_SECOND / u64::from(limit.rate.0.max(1));
        let allowance = interval * u64::from(limit.burst.max(1));
        let theoretical_arrival = self
            .theoretical_arrivals_micros
            .get(account)
            .map_or(now_micros, |arrival| (*arrival).max(now_micros));
        let next = theoretical_arrival + interval;
        if next > now_micros + allowance {
            let wait_micros = next - now_micros - allowance;
            return Err(Millis(wait_micros.div_ceil(1000)));
        }
        if self.theoretical_arrivals_micros.len() >= MAX_ACCOUNTS {
            self.sweep(now);
        }
        // A full table admits an unlisted account without counting the request, since a refusal would
        // penalize a caller for the traffic of others.
        if self.theoretical_arrivals_micros.len() < MAX_ACCOUNTS
            || self.theoretical_arrivals_micros.contains_key(account)
        {
            self.theoretical_arrivals_micros
                .insert(account.clone(), next);
        }
        Ok(())
    }

    /// Removes the accounts that have their full burst available again.
    pub fn sweep(&mut self, now: Timestamp) {
        let now_micros = now.0.saturating_mul(1000);
        self.theoretical_arrivals_micros
            .retain(|_, arrival| *arrival > now_micros);
    }

    /// Number of accounts in the table.
    pub fn len(&self) -> usize {
        self.theoretical_arrivals_micros.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.theoretical_arrivals_micros.is_empty()
    }
}
