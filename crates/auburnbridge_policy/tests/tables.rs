//! Tests of the bounded tables: rate limits per account and retry budgets.

use auburnbridge_policy::{AccountLimit, AccountLimiter, RetryBudget};
use auburnbridge_types::{Millis, RatePerSecond, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

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
