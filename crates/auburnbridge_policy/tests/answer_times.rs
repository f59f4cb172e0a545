//! Guards what the time of an answer, or the lack of one, leads to.

use auburnbridge_policy::balance::{AnswerTimes, Finding};
use auburnbridge_types::Millis;

/// Times of a service that answers after 400 ms.
fn answer_times() -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for _ in 0..400 {
        times.judge(Millis(400), false);
    }
    assert!((399..=400).contains(&times.average().0), "{times:?}");
    times
}

/// Guards against a late answer that counts against its target twice.
#[test]
fn late_answer_counts_once() {
    let mut times = answer_times();
    assert_eq!(times.judge(Millis(900), false), Finding::Answered);
    assert_eq!(times.judge(Millis(2_000), false), Finding::Slow);
    assert_eq!(times.judge(Millis(2_000), true), Finding::Answered);
}

/// Guards against a target that is silent within the noise of a fast service.
#[test]
fn silence_has_a_shortest_time() {
    let mut fast = AnswerTimes::default();
    for _ in 0..400 {
        fast.judge(Millis(10), false);
    }
    assert_eq!(fast.silent_after(), Millis(300));
    let usual = answer_times().silent_after().0;
    assert!((1_197..=1_200).contains(&usual), "{usual}");
}

/// Guards against a second send that comes too late for the objective, and against one that comes
/// before most answers.
#[test]
fn second_send_leaves_time_for_its_answer() {
    let times = answer_times();
    // The objective, the earliest and the latest time of the second send.
    for (left, earliest, latest) in [
        (1_500, 1_000, 1_002),
        (1_100, 598, 602),
        (300, 598, 600),
        (5_000, 1_197, 1_200),
    ] {
        let after = times.second_send_after(Millis(left)).0;
        assert!((earliest..=latest).contains(&after), "{left}: {after}");
    }
}
