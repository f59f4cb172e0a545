//! Tests of the decisions about requests that crash targets, one at a time. `poison_model.rs` has them in
//! fleets.

use std::hash::{DefaultHasher, Hash, Hasher};

use auburnbridge_policy::poison::{
    Admission, CRASHES_ALONE, CRASHES_AMID_OTHERS, CrashReport, FIRST_REFUSAL_TIME, LATE_AFTER,
    LATE_CRASHES, REFUSAL_TIME, RunHistory, SAME_REQUEST_TRIAL_TIME, SETTLING_TIME, SuspectReport,
    Suspects, TRIAL_TIME, Verdict,
};
use auburnbridge_types::{Incarnation, Millis, RequestDigest, RunId, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn digest(request: u32) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&request.to_be_bytes());
    RequestDigest(bytes)
}

/// Id of the only run on a target.
fn run_id(target: &str) -> RunId {
    let mut hasher = DefaultHasher::new();
    target.hash(&mut hasher);
    RunId(hasher.finish())
}

fn crash(request: u32, target: &str, history: RunHistory) -> SuspectReport {
    SuspectReport::Crashed(CrashReport {
        request: digest(request),
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        run: run_id(target),
        history,
        run_time: Millis(0),
    })
}

/// Records crashes of targets that ran the request one after another.
fn crash_in_a_row(suspects: &mut Suspects, now: Timestamp, request: u32, crashes: u32) {
    for number in 0..crashes {
        let history = suspects.table.history(now, &digest(request));
        let target = format!("t-{request}-{}-{number}", now.0);
        suspects.record(now, &crash(request, &target, history));
    }
}

fn verdict(suspects: &Suspects, now: Timestamp, request: u32) -> Verdict {
    suspects.table.verdict(now, &digest(request))
}

/// Guards against a poison request that goes on crashing targets, and against the refusal of other
/// requests.
#[test]
fn crashes_in_a_row_poison_only_that_request() {
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, 1);
    assert_eq!(verdict(&suspects, START, 1), Verdict::Sound);
    crash_in_a_row(&mut suspects, START.after(Millis(1)), 1, CRASHES_ALONE - 2);
    let now = START.after(Millis(2));
    assert_eq!(verdict(&suspects, now, 1), Verdict::OnTrial);
    crash_in_a_row(&mut suspects, now, 1, 1);
    assert_eq!(
        verdict(&suspects, now, 1),
        Verdict::Poisoned(FIRST_REFUSAL_TIME)
    );
    assert_eq!(verdict(&suspects, now, 2), Verdict::Sound);
    let later = now.after(FIRST_REFUSAL_TIME);
    assert_eq!(verdict(&suspects, later, 1), Verdict::OnTrial);
}

/// Guards against a report that counts twice, since each is sent several times.
#[test]
fn repeated_report_has_no_effect() {
    let mut suspects = Suspects::default();
    let report = crash(1, "a", RunHistory::default());
    for time in 0..10 {
        suspects.record(START.after(Millis(time)), &report);
    }
    assert_eq!(suspects.table.history(START, &digest(1)).crashes, 1);
    assert_eq!(verdict(&suspects, START, 1), Verdict::Sound);
}

/// Guards against a request that is refused because several targets that ran it went down together.
#[test]
fn crashes_of_runs_at_the_same_time_count_once() {
    let mut suspects = Suspects::default();
    for target in 0..20 {
        suspects.record(
            START,
            &crash(1, &format!("t-{target}"), RunHistory::default()),
        );
    }
    assert_eq!(suspects.table.history(START, &digest(1)).crashes, 1);
    assert_eq!(verdict(&suspects, START, 1), Verdict::OnTrial);
}

/// Guards against a request that is refused although targets answer it, at the gateway that got the
/// answer and at the others.
#[test]
fn answer_refutes_the_crashes_before_it() {
    let mut suspects = Suspects::default();
    let mut other = Suspects::default();
    let before = RunHistory::default();
    crash_in_a_row(&mut suspects, START, 1, CRASHES_ALONE);
    crash_in_a_row(&mut other, START, 1, CRASHES_ALONE);
    let report = suspects.record_answer(&digest(1)).unwrap();
    other.record(START, &report);
    for suspects in [&mut suspects, &mut other] {
        assert_eq!(verdict(suspects, START, 1), Verdict::Sound);
        // A run that had been sent before the answer.
        suspects.record(START, &crash(1, "late", before));
        assert_eq!(suspects.table.history(START, &digest(1)).crashes, 0);
        assert_eq!(
            suspects.record_answer(&digest(1)),
            None,
            "nothing to refute"
        );
    }
}

/// Guards against a gateway that missed an answer and counts the crashes before and after it together.
#[test]
fn crash_report_tells_of_answers_before_it() {
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, CRASHES_ALONE - 1);
    let history = RunHistory {
        answers: 1,
        ..RunHistory::default()
    };
    suspects.record(START, &crash(1, "after-answer", history));
    assert_eq!(suspects.table.history(START, &digest(1)).crashes, 1);
}

/// Guards against a sound request that is refused while targets go down by themselves, and against a
/// poison request that is never refused then.
#[test]
fn more_crashes_are_needed_while_other_targets_crash() {
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 2, 1);
    crash_in_a_row(&mut suspects, START, 1, CRASHES_AMID_OTHERS - 1);
    assert_eq!(verdict(&suspects, START, 1), Verdict::OnTrial);
    crash_in_a_row(&mut suspects, START.after(Millis(1)), 1, 1);
    let now = START.after(Millis(1));
    assert!(matches!(verdict(&suspects, now, 1), Verdict::Poisoned(_)));
}

/// Guards against a poison request whose first copies crash many targets at once, so that later ones
/// seldom follow each other.
#[test]
fn late_runs_that_crash_are_refused_in_any_case() {
    let mut suspects = Suspects::default();
    for target in 0..3 {
        suspects.record(
            START,
            &crash(1, &format!("t-{target}"), RunHistory::default()),
        );
    }
    // Another target goes down, so that crashes in a row alone would allow more.
    let late = START.after(LATE_AFTER);
    crash_in_a_row(&mut suspects, late, 2, 1);
    crash_in_a_row(&mut suspects, late, 1, LATE_CRASHES);
    assert_eq!(verdict(&suspects, late, 1), Verdict::Poisoned(REFUSAL_TIME));
    let trial = late.after(REFUSAL_TIME);
    assert_eq!(verdict(&suspects, trial, 1), Verdict::OnTrial);
}

/// Guards against a table that grows with the number of requests, and against a poison request that is
/// forgotten when many targets crash.
#[test]
fn table_is_bounded_and_keeps_poison_requests() {
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 0, CRASHES_AMID_OTHERS);
    for request in 1..10_000 {
        crash_in_a_row(&mut suspects, START.after(Millis(1)), request, 1);
    }
    assert_eq!(suspects.table.len(), 4_096);
    let now = START.after(Millis(2));
    assert!(matches!(verdict(&suspects, now, 0), Verdict::Poisoned(_)));
}

fn claims(low: u64, high: u64) -> (RunId, RunId) {
    (RunId(low), RunId(high))
}

/// Guards against two gateways that both take the trial, and against one that takes none because each
/// yields to the other.
#[test]
fn lowest_of_simultaneous_claims_wins() {
    let (low, high) = claims(1, 2);
    let mut gateways = [Suspects::default(), Suspects::default()];
    for (gateway, claim) in gateways.iter_mut().zip([low, high]) {
        crash_in_a_row(gateway, START, 1, 2);
        assert_eq!(gateway.admit(START, &digest(1)), Admission::Trial);
        gateway.claim(START, digest(1), claim);
    }
    let request = digest(1);
    gateways[0].record(START, &SuspectReport::Trial { request, run: high });
    gateways[1].record(START, &SuspectReport::Trial { request, run: low });
    let now = START.after(SETTLING_TIME);
    assert!(gateways[0].has_won(now, &request, low));
    assert!(!gateways[1].has_won(now, &request, high));
    assert!(matches!(
        gateways[1].admit(now, &request),
        Admission::Wait(_)
    ));
}

/// Guards against a claim that calls back a request that has been sent.
#[test]
fn claim_after_the_start_of_a_trial_loses() {
    let (low, high) = claims(1, 2);
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, 2);
    suspects.claim(START, digest(1), high);
    let started = START.after(SETTLING_TIME);
    let request = digest(2);
    suspects.record(started, &SuspectReport::Trial { request, run: low });
    assert!(suspects.has_won(started, &digest(1), high));
}

/// Guards against a gateway that starts a trial beside the next one of another gateway, since it missed the
/// end of the trial before (model, seed 20).
#[test]
fn later_claim_of_another_gateway_replaces_its_trial() {
    let (low, high) = claims(1, 2);
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, 2);
    let request = digest(1);
    for (claim, time) in [(low, 10), (high, 500)] {
        let now = START.after(Millis(time));
        suspects.record(
            now,
            &SuspectReport::Trial {
                request,
                run: claim,
            },
        );
    }
    let now = START.after(Millis(600));
    let end = START.after(Millis(500 + SAME_REQUEST_TRIAL_TIME.0));
    let late_report = crash(1, "c", RunHistory::default()).after(Millis(550));
    suspects.record(now, &late_report);
    assert_eq!(suspects.admit(now, &request), Admission::Wait(end));
}

/// Guards against a second trial of a request because that of another one began meanwhile (model, seed 295).
#[test]
fn trial_of_another_request_ends_no_trial() {
    let (low, high) = claims(1, 2);
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, 2);
    let trial = |request, run| SuspectReport::Trial {
        request: digest(request),
        run,
    };
    suspects.record(START, &trial(1, high));
    // The gateway of the other request knows of the first trial a millisecond longer.
    let now = START.after(Millis(TRIAL_TIME.0 - 1));
    suspects.record(now, &trial(2, low));
    let end = START.after(SAME_REQUEST_TRIAL_TIME);
    let later = now.after(TRIAL_TIME);
    assert_eq!(suspects.admit(later, &digest(1)), Admission::Wait(end));
}

/// Guards against a trial that begins again because its claim arrives a second time after its end (model,
/// seed 421).
#[test]
fn repeated_claim_begins_no_trial_after_its_end() {
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, 2);
    crash_in_a_row(&mut suspects, START, 2, 2);
    let (request, claim) = (digest(2), RunId(1));
    let trial = SuspectReport::Trial {
        request,
        run: claim,
    };
    suspects.record(START, &trial);
    suspects.record_answer(&request).unwrap();
    let now = START.after(Millis(10));
    suspects.record(now, &trial);
    assert_eq!(suspects.admit(now, &digest(1)), Admission::Trial);
}

/// Guards against a trial that blocks the others for good because its gateway was lost.
#[test]
fn trial_of_a_lost_gateway_ends() {
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, 2);
    crash_in_a_row(&mut suspects, START, 2, 2);
    let claim = RunId(1);
    let request = digest(2);
    suspects.record(
        START,
        &SuspectReport::Trial {
            request,
            run: claim,
        },
    );
    for (request, time) in [(1, TRIAL_TIME), (2, SAME_REQUEST_TRIAL_TIME)] {
        let end = START.after(time);
        let request = digest(request);
        assert_eq!(suspects.admit(START, &request), Admission::Wait(end));
        assert_eq!(suspects.admit(end, &request), Admission::Trial);
    }
}

/// Guards against two trials at once because an old report is sent again (model, seed 123), or arrives only
/// then (seed 15).
#[test]
fn report_of_an_older_run_ends_no_trial() {
    let mut suspects = Suspects::default();
    let first = crash(1, "a", RunHistory::default());
    let second = crash(1, "b", RunHistory::default()).after(Millis(600));
    suspects.record(START, &first);
    crash_in_a_row(&mut suspects, START, 1, 1);
    let started = START.after(Millis(100));
    let claim = RunId(1);
    suspects.claim(started, digest(1), claim);
    let now = started.after(Millis(200));
    suspects.record(now, &first);
    suspects.record(now, &second);
    assert!(suspects.has_won(now, &digest(1), claim));
    // The run on trial.
    let history = suspects.table.history(now, &digest(1));
    let SuspectReport::Crashed(mut third) = crash(1, "c", history) else {
        unreachable!("the report of a crash");
    };
    third.run = claim;
    suspects.record(now, &SuspectReport::Crashed(third));
    assert_eq!(suspects.admit(now, &digest(1)), Admission::Trial);
}

/// Guards against crashes in a row that aren't counted since each gateway that reports one has just started
/// and knows of none.
#[test]
fn crash_of_a_run_after_known_ones_counts_whatever_its_gateway_knew() {
    let mut suspects = Suspects::default();
    for number in 0..CRASHES_ALONE {
        let now = START.after(Millis(u64::from(number) * 1_000));
        let target = format!("t-{number}");
        suspects.record(now, &crash(1, &target, RunHistory::default()));
    }
    let history = suspects.table.history(START, &digest(1));
    assert_eq!(history.crashes, CRASHES_ALONE);
    // A run that was under way all the time, and whose report was sent a second time.
    let run_time = Millis(u64::from(CRASHES_ALONE) * 1_000);
    let now = START.after(run_time);
    let overlapping = crash(2, "t-0", RunHistory::default()).after(run_time);
    suspects.record(now, &crash(2, "t-1", RunHistory::default()));
    suspects.record(now, &overlapping);
    assert_eq!(suspects.table.history(now, &digest(2)).crashes, 1);
}

/// Guards against a gateway that has just started and crashes as many targets again until it refuses the
/// request.
#[test]
fn gateway_that_knows_too_little_is_told_after_one_crash() {
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, CRASHES_ALONE);
    let now = START.after(Millis(1_000));
    let report = crash(1, "t-9", RunHistory::default());
    let mut started = Suspects::default();
    assert_eq!(started.record(now, &report), None);
    let answer = suspects.record(now, &report).unwrap();
    started.record(now, &answer);
    assert!(matches!(verdict(&started, now, 1), Verdict::Poisoned(_)));
    assert_eq!(suspects.record(now, &report), None, "a repeated report");
}

/// Guards against a request that is refused once the crashes of other targets beside its own lie some time
/// back.
#[test]
fn crashes_of_other_targets_count_as_long_as_those_of_the_request() {
    let mut suspects = Suspects::default();
    crash_in_a_row(&mut suspects, START, 1, 3);
    crash_in_a_row(&mut suspects, START, 2, 1);
    let late = START.after(LATE_AFTER);
    crash_in_a_row(&mut suspects, late, 1, LATE_CRASHES - 1);
    for wait in [0, 20_000, 200_000] {
        let now = late.after(Millis(wait));
        assert_eq!(verdict(&suspects, now, 1), Verdict::OnTrial, "{wait} ms");
    }
}

/// Guards against a second late run on a target that counts as a repeated report, so that one more is
/// allowed (model, seed 27).
#[test]
fn late_runs_on_one_target_count_one_by_one() {
    let mut suspects = Suspects::default();
    for target in 0..3 {
        let target = format!("t-{target}");
        suspects.record(START, &crash(1, &target, RunHistory::default()));
    }
    crash_in_a_row(&mut suspects, START, 2, 1);
    let late = START.after(LATE_AFTER);
    let history = suspects.table.history(late, &digest(1));
    for run in 0..u64::from(LATE_CRASHES) {
        assert_eq!(verdict(&suspects, late, 1), Verdict::OnTrial, "{run} late");
        let SuspectReport::Crashed(mut report) = crash(1, "t-9", history) else {
            unreachable!("the report of a crash");
        };
        report.run = RunId(run);
        for _ in 0..4 {
            suspects.record(late, &SuspectReport::Crashed(report.clone()));
        }
    }
    assert_eq!(verdict(&suspects, late, 1), Verdict::Poisoned(REFUSAL_TIME));
}

/// Guards against a gateway that allows a late run too many because it missed a report (model, seed 1).
#[test]
fn late_run_tells_of_those_before_it() {
    let mut suspects = Suspects::default();
    for target in 0..3 {
        let target = format!("t-{target}");
        suspects.record(START, &crash(1, &target, RunHistory::default()));
    }
    let history = RunHistory {
        crashes: 3,
        late_crashes: LATE_CRASHES - 1,
        is_late: true,
        ..RunHistory::default()
    };
    let late = START.after(LATE_AFTER);
    suspects.record(late, &crash(1, "t-9", history));
    assert_eq!(verdict(&suspects, late, 1), Verdict::Poisoned(REFUSAL_TIME));
}

/// Guards against a sound request that is refused because it met a poison request on each of its targets
/// (model, seed 94), and against two requests that protect each other for good.
#[test]
fn request_that_shared_all_crashed_targets_with_another_one_stays_on_trial() {
    let mut suspects = Suspects::default();
    for number in 0..CRASHES_AMID_OTHERS {
        for request in [1, 2] {
            let history = suspects.table.history(START, &digest(request));
            suspects.record(START, &crash(request, &format!("t-{number}"), history));
        }
    }
    assert_eq!(verdict(&suspects, START, 1), Verdict::OnTrial);
    assert_eq!(verdict(&suspects, START, 2), Verdict::OnTrial);
    crash_in_a_row(&mut suspects, START.after(Millis(1)), 1, 2);
    let now = START.after(Millis(1));
    assert!(matches!(verdict(&suspects, now, 1), Verdict::Poisoned(_)));
    assert_eq!(verdict(&suspects, now, 2), Verdict::OnTrial);
}
