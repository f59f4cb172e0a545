//! Tests of the bounded tables: poison requests, rate limits per account and retry budgets.

use auburnbridge_policy::{
    AccountLimit, AccountLimiter, CrashReport, POISON_TIME, PoisonTable, RetryBudget,
};
use auburnbridge_types::{Incarnation, Millis, RatePerSecond, RequestDigest, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn report(request: u32, target: &str) -> CrashReport {
    CrashReport {
        request: digest(request),
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn digest(request: u32) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&request.to_be_bytes());
    RequestDigest(bytes)
}

/// Guards against a request that may crash a third target, and against the refusal of other requests.
#[test]
fn second_crashed_target_poisons_only_that_request() {
    let mut table = PoisonTable::default();
    table.record(START, report(1, "a"));
    table.record(START, report(1, "a"));
    assert!(
        !table.is_poisoned(START, &digest(1)),
        "one crash that was reported twice"
    );
    table.record(START, report(1, "b"));
    assert!(table.is_poisoned(START, &digest(1)));
    assert!(!table.is_poisoned(START, &digest(2)));
    let later = START.after(POISON_TIME);
    assert!(!table.is_poisoned(later, &digest(1)));
}

/// Guards against a table that grows with the number of poison requests.
#[test]
fn poison_table_is_bounded_and_drops_the_oldest() {
    let mut table = PoisonTable::default();
    for request in 0..10_000 {
        table.record(START, report(request, "a"));
        table.record(START, report(request, "b"));
    }
    assert_eq!(table.len(), 4_096);
    assert!(table.is_poisoned(START, &digest(9_999)));
    assert!(!table.is_poisoned(START, &digest(0)));
}

/// Guards against an account that exceeds its burst or its rate, and against one that stays blocked
/// after the retry time.
#[test]
fn account_gets_its_burst_and_then_its_rate() {
    let mut limiter = AccountLimiter::default();
    let account = "kiosk".parse().unwrap();
    let limit = AccountLimit {
        rate: RatePerSecond(10),
        burst: 3,
    };
    let admitted = (0..10)
        .filter(|_| limiter.admit(START, &account, limit).is_ok())
        .count();
    assert_eq!(admitted, 3);
    assert_eq!(limiter.admit(START, &account, limit), Err(Millis(100)));
    let later = START.after(Millis(100));
    assert_eq!(limiter.admit(later, &account, limit), Ok(()));
    limiter.sweep(later.after(Millis(1_000)));
    assert!(limiter.is_empty());
}

/// Guards against a retry storm: when all requests fail, the retries stay within the budget.
#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::new(START, 10, RatePerSecond(3));
    let mut retries = 0;
    for request in 0..10_000_u64 {
        let now = START.after(Millis(request));
        budget.record_request(now);
        retries += u32::from(budget.try_retry(now));
    }
    // 10% of 10,000 requests, 3 per second for 10 s, and the 3 initial tokens.
    assert!((1_000..=1_033).contains(&retries), "{retries} retries");
}
