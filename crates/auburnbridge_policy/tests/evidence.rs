//! Tests of the evidence of one entry and its exchange between entries.

use auburnbridge_policy::{
    Action, EjectionPolicy, EvidenceReport, Fleet, Member, Observation, Presence, RequestClass,
    Sensitivity, TargetKey,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: Timestamp = Timestamp(1_000_000);
const NORMAL_ANSWER: Observation = Observation::Answered(Millis(30));

fn member(at: usize) -> Member {
    Member {
        id: format!("t{at}").parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "east".parse().unwrap(),
        incarnation: Incarnation(1),
        slots: Slots(3),
        presence: Presence::Fresh,
    }
}

fn fleet(data_centre: &str) -> Fleet {
    let policy = EjectionPolicy::builder()
        .sensitivity(Sensitivity::FAST)
        .build();
    let mut fleet = Fleet::new(policy).with_data_centre(data_centre.parse().unwrap());
    let members: Vec<Member> = (0..4).map(member).collect();
    fleet.reconcile(START, &members);
    fleet
}

/// Starts a request on `target`; requests that were placed on other targets are ended without evidence.
fn start(fleet: &mut Fleet, now: Timestamp, target: &str) -> TargetKey {
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let mut others = Vec::new();
    let found = loop {
        let choice = fleet
            .choose(now, RequestClass::Idempotent, &others, &mut rng)
            .expect("the target is in use");
        if choice.target.as_str() == target {
            break choice.key;
        }
        others.push(choice.key);
    };
    for key in others {
        fleet.finish(now, key, Observation::NotAttributable);
    }
    found
}

fn run_request(fleet: &mut Fleet, now: Timestamp, target: &str, observation: Observation) {
    let key = start(fleet, now, target);
    fleet.finish(now, key, observation);
}

fn report(target: &str, suspicion: f64, data_centre: &str) -> EvidenceReport {
    EvidenceReport {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        suspicion,
        observations: 8,
        data_centre: data_centre.parse().unwrap(),
    }
}

fn merge(fleet: &mut Fleet, now: Timestamp, from: &str, reports: &[EvidenceReport]) -> usize {
    let decisions = fleet.merge_evidence(now, &from.parse().unwrap(), reports);
    decisions
        .iter()
        .filter(|decision| decision.action == Action::Eject)
        .count()
}

/// Guards against the ejection of a healthy target because of one entry behind a bad link, a failure
/// in another data centre, expired reports, reports about another incarnation or reports with
/// invalid values.
#[test]
fn insufficient_reports_eject_nothing() {
    let suspicion_report = |centre| report("t0", 24.0, centre);
    let other_incarnation = EvidenceReport {
        incarnation: Incarnation(2),
        ..suspicion_report("east")
    };
    let invalid = |value| EvidenceReport {
        suspicion: value,
        ..suspicion_report("east")
    };
    let cases = [
        (
            "repeated reports of one entry",
            (0..8)
                .map(|at| (at * 250, "a", suspicion_report("east")))
                .collect(),
        ),
        (
            "reports of another data centre only",
            ["a", "b", "c", "d"]
                .map(|from| (0, from, suspicion_report("west")))
                .to_vec(),
        ),
        (
            "reports that don't overlap in time",
            vec![
                (0, "a", suspicion_report("east")),
                (3_000, "b", suspicion_report("east")),
            ],
        ),
        (
            "another incarnation of the target",
            ["a", "b", "c"]
                .map(|from| (0, from, other_incarnation.clone()))
                .to_vec(),
        ),
        (
            "invalid suspicion values",
            vec![
                (0, "a", invalid(f64::NAN)),
                (0, "b", invalid(f64::INFINITY)),
                (0, "c", invalid(f64::NEG_INFINITY)),
            ],
        ),
    ];
    for (name, reports) in cases {
        let mut fleet = fleet("east");
        for (after, from, report) in reports {
            let now = START.after(Millis(after));
            run_request(&mut fleet, now, "t0", NORMAL_ANSWER);
            assert_eq!(merge(&mut fleet, now, from, &[report]), 0, "{name}");
            assert!(
                fleet
                    .tick(now)
                    .iter()
                    .all(|decision| decision.action != Action::Eject),
                "{name}"
            );
        }
    }
}

/// Guards against a failing target that each entry ejects only on its own evidence, although entries of
/// its own data centre, or of two other ones, report the failures too.
#[test]
fn several_suspecting_entries_eject_together() {
    for centres in [["east", "east", "east"], ["west", "north", "south"]] {
        let mut fleet = fleet("east");
        run_request(&mut fleet, START, "t0", Observation::InvalidAnswer);
        let ejections: usize = centres
            .iter()
            .enumerate()
            .map(|(at, centre)| {
                let reports = [report("t0", 24.0, centre)];
                merge(&mut fleet, START, &format!("entry{at}"), &reports)
            })
            .sum();
        assert_eq!(ejections, 1, "{centres:?}");
    }
}

/// Guards against an ejection after random failures that ignores the healthy observations of others.
#[test]
fn healthy_observations_outweigh_random_failures() {
    let mut fleet = fleet("east");
    for entry in 0..8 {
        let reports = [report("t0", 0.0, "east")];
        merge(&mut fleet, START, &format!("healthy{entry}"), &reports);
    }
    run_request(&mut fleet, START, "t0", Observation::InvalidAnswer);
    for entry in 0..3 {
        let reports = [report("t0", 3.9, "east")];
        let from = format!("suspecting{entry}");
        assert_eq!(merge(&mut fleet, START, &from, &reports), 0);
    }
}

/// Guards against reports that repeat the suspicion of other entries, that grow without bound, and
/// that are not withdrawn once the target works again.
#[test]
fn entry_reports_only_its_own_observations() {
    let mut fleet = fleet("east");
    assert!(fleet.due_reports(START).is_empty());
    merge(&mut fleet, START, "a", &[report("t1", 24.0, "east")]);
    run_request(&mut fleet, START, "t0", Observation::InvalidAnswer);
    let reports = fleet.due_reports(START);
    let seen: Vec<_> = reports
        .iter()
        .map(|report| (report.target.as_str(), report.suspicion > 0.0))
        .collect();
    assert_eq!(seen, [("t0", true), ("t1", false)]);
    for _ in 0..8 {
        run_request(&mut fleet, START, "t0", NORMAL_ANSWER);
    }
    let later = START.after(Millis(250));
    let withdrawn = fleet.due_reports(later);
    assert_eq!(withdrawn.len(), 1);
    assert!(withdrawn[0].suspicion <= 0.0);
    assert!(fleet.due_reports(START.after(Millis(10_000))).is_empty());
}

/// Guards against a silent target that gets non-idempotent requests, or stays in use, until the first
/// deadline passes because only finished requests count as evidence.
#[test]
fn requests_in_flight_are_evidence() {
    let mut fleet = fleet("east");
    for target in ["t0", "t1", "t2", "t3"] {
        run_request(&mut fleet, START, target, NORMAL_ANSWER);
    }
    for _ in 0..32 {
        run_request(&mut fleet, START, "t1", NORMAL_ANSWER);
    }
    start(&mut fleet, START, "t0");
    let overdue = START.after(Millis(200));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let choice = fleet
            .choose(overdue, RequestClass::Once, &[], &mut rng)
            .unwrap();
        assert_ne!(choice.target.as_str(), "t0");
        fleet.finish(overdue, choice.key, Observation::NotAttributable);
    }
    start(&mut fleet, START, "t0");
    start(&mut fleet, START, "t0");
    let decisions = fleet.tick(START.after(Millis(900)));
    assert_eq!(decisions.len(), 1, "{decisions:?}");
    assert_eq!(decisions[0].action, Action::Eject);
}

/// Guards against suspicion of a target that is slow only because it has just restarted.
#[test]
fn cold_target_is_not_slow() {
    let mut fleet = fleet("east");
    for _ in 0..40 {
        run_request(&mut fleet, START, "t1", NORMAL_ANSWER);
        run_request(&mut fleet, START, "t2", NORMAL_ANSWER);
    }
    let mut members: Vec<Member> = (0..4).map(member).collect();
    members[0].incarnation = Incarnation(2);
    fleet.reconcile(START, &members);
    for _ in 0..20 {
        run_request(&mut fleet, START, "t0", Observation::Answered(Millis(300)));
    }
    assert!(fleet.view().iter().all(|view| view.suspicion <= 0.0));
}
