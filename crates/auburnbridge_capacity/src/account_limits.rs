//! Measures the account limiter of one entry.

use auburnbridge_policy::{AccountLimit, AccountLimiter};
use auburnbridge_types::{AccountId, RatePerSecond};

use crate::fixtures::START;
use crate::measure::{Metric, Report, heap_bytes, nanos_per_call};

const SIZES: [u32; 3] = [1_000, 100_000, 400_000];
const LIMIT: AccountLimit = AccountLimit {
    rate: RatePerSecond(1),
    burst: 1_000_000,
};

pub const MEMORY: Metric = metric("A1", "heap of the limiter, names included", "B");
pub const ADMIT: Metric = metric("A2", "admit one request", "µs");
pub const SWEEP: Metric = metric("A3", "sweep all accounts", "µs");

const fn metric(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "accounts",
        unit,
    }
}

pub fn measure(report: &mut Report) {
    for accounts in SIZES {
        let (mut limiter, bytes) = heap_bytes(|| fill(accounts));
        report.record(MEMORY, accounts, bytes);
        let accounts_used: Vec<AccountId> = (0..1_000)
            .map(|number| account_id(number * 7_919 % accounts))
            .collect();
        let mut index = 0;
        let admit = nanos_per_call(|| {
            index = (index + 1) % accounts_used.len();
            limiter.admit(START, &accounts_used[index], LIMIT).is_ok()
        });
        report.record(ADMIT, accounts, admit / 1e3);
        let sweep = nanos_per_call(|| limiter.sweep(START));
        report.record(SWEEP, accounts, sweep / 1e3);
    }
}

fn fill(accounts: u32) -> AccountLimiter {
    let mut limiter = AccountLimiter::default();
    for number in 0..accounts {
        limiter
            .admit(START, &account_id(number), LIMIT)
            .expect("the burst allows the request");
    }
    limiter
}

fn account_id(number: u32) -> AccountId {
    format!("account-{number:06}")
        .parse()
        .expect("the account id is valid")
}
