//! Cost of the limits per account on one entry.

use auburnbridge_policy::{AccountLimit, AccountLimiter};
use auburnbridge_types::{AccountId, RatePerSecond};

use crate::fixtures::START;
use crate::measure::{Metric, Report, heap_bytes, nanos_each};

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
        of: "accounts",
        unit,
    }
}

pub fn measure(report: &mut Report) {
    for accounts in SIZES {
        let (mut limiter, bytes) = heap_bytes(|| fill(accounts));
        report.record(MEMORY, accounts, bytes);
        let names: Vec<AccountId> = (0..1_000)
            .map(|number| name(number * 7_919 % accounts))
            .collect();
        let mut at = 0;
        let admit = nanos_each(|| {
            at = (at + 1) % names.len();
            limiter.admit(START, &names[at], LIMIT).is_ok()
        });
        report.record(ADMIT, accounts, admit / 1e3);
        let sweep = nanos_each(|| limiter.sweep(START));
        report.record(SWEEP, accounts, sweep / 1e3);
    }
}

fn fill(accounts: u32) -> AccountLimiter {
    let mut limiter = AccountLimiter::default();
    for number in 0..accounts {
        limiter
            .admit(START, &name(number), LIMIT)
            .expect("the burst allows it");
    }
    limiter
}

fn name(number: u32) -> AccountId {
    format!("account-{number:06}").parse().expect("a name")
}
