//! Tests of the classification of answer times and of the delay of hedged requests.

use auburnbridge_policy::balance::{AnswerTimes, Finding};
use auburnbridge_types::Millis;

/// Answer times of a service that always answers after 400 ms.
fn answer_times() -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for _ in 0..400 {
        times.record(Millis(400), false);
    }
    assert!((399..=400).contains(&times.average().0), "{times:?}");
    times
}

/// A late answer must not count against its target twice, as silent and as slow.
#[test]
fn late_answer_counts_once() {
    let mut times = answer_times();
    assert_eq!(times.record(Millis(900), false), Finding::Answered);
    assert_eq!(times.record(Millis(2_000), false), Finding::Slow);
    assert_eq!(times.record(Millis(2_000), true), Finding::Answered);
}

/// Targets of a fast service must not count as silent because of ordinary jitter.
#[test]
fn silence_has_a_minimum_time() {
    let mut fast = AnswerTimes::default();
    for _ in 0..400 {
        fast.record(Millis(10), false);
    }
    assert_eq!(fast.silent_after(), Millis(300));
    let usual = answer_times().silent_after().0;
    assert!((1_197..=1_200).contains(&usual), "{usual}");
}

/// A request must not be hedged too late for an answer within the objective, nor before most
/// answers arrive.
#[test]
fn hedge_leaves_time_for_its_answer() {
    let times = answer_times();
    // Time left until the objective, and the earliest and latest expected delay.
    for (left, earliest, latest) in [
        (1_500, 1_000, 1_002),
        (1_100, 598, 602),
        (300, 598, 600),
        (5_000, 1_197, 1_200),
    ] {
        let after = times.hedge_delay(Millis(left)).0;
        assert!((earliest..=latest).contains(&after), "{left}: {after}");
    }
}
