//! Guards the evidence of one entry and its exchange between entries.

use auburnbridge_policy::{
    Action, EvidenceReport, Fleet, Member, Observation, Presence, RequestClass, Sensitivity,
    ServicePolicy, TargetKey,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: Timestamp = Timestamp(1_000_000);
const USUAL: Observation = Observation::Answered(Millis(30));

fn member(at: usize) -> Member {
    Member {
        id: format!("t{at}").parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "east".parse().unwrap(),
        incarnation: Incarnation(1),
        slots: Slots(3),
        presence: Presence::Ready,
    }
}

fn fleet(data_centre: &str) -> Fleet {
    let policy = ServicePolicy::builder()
        .sensitivity(Sensitivity::FAST)
        .build();
    let mut fleet = Fleet::new(policy).with_data_centre(data_centre.parse().unwrap());
    let members: Vec<Member> = (0..4).map(member).collect();
    fleet.reconcile(START, &members);
    fleet
}

/// Starts a request on the target; the others are given back.
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

fn work(fleet: &mut Fleet, now: Timestamp, target: &str, observation: Observation) {
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

/// Guards against a healthy target that is condemned by one entry behind a bad link, by a fault in
/// another data centre, by old or foreign reports, or by reports with impossible figures.
#[test]
fn weak_reports_eject_nothing() {
    let suspect = |centre| report("t0", 24.0, centre);
    let other_life = EvidenceReport {
        incarnation: Incarnation(2),
        ..suspect("east")
    };
    let impossible = |figure| EvidenceReport {
        suspicion: figure,
        ..suspect("east")
    };
    let cases = [
        (
            "one entry, repeatedly",
            (0..8).map(|at| (at * 250, "a", suspect("east"))).collect(),
        ),
        (
            "another data centre only",
            ["a", "b", "c", "d"]
                .map(|from| (0, from, suspect("west")))
                .to_vec(),
        ),
        (
            "reports that are too old to count together",
            vec![(0, "a", suspect("east")), (3_000, "b", suspect("east"))],
        ),
        (
            "another life of the target",
            ["a", "b", "c"]
                .map(|from| (0, from, other_life.clone()))
                .to_vec(),
        ),
        (
            "impossible figures",
            vec![
                (0, "a", impossible(f64::NAN)),
                (0, "b", impossible(f64::INFINITY)),
                (0, "c", impossible(f64::NEG_INFINITY)),
            ],
        ),
    ];
    for (name, reports) in cases {
        let mut fleet = fleet("east");
        for (after, from, report) in reports {
            let now = START.after(Millis(after));
            work(&mut fleet, now, "t0", USUAL);
            assert_eq!(merge(&mut fleet, now, from, &[report]), 0, "{name}");
            assert!(
                fleet
                    .decide(now)
                    .iter()
                    .all(|made| made.action != Action::Eject),
                "{name}"
            );
        }
    }
}

/// Guards against a target that each entry has to condemn by itself although others of its data
/// centre, or of two others, see the fault too.
#[test]
fn several_witnesses_eject_sooner_than_one() {
    for centres in [["east", "east", "east"], ["west", "north", "south"]] {
        let mut fleet = fleet("east");
        work(&mut fleet, START, "t0", Observation::AnswerBroken);
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

/// Guards against healthy observations that count for nothing against failures by chance.
#[test]
fn healthy_observations_outweigh_chance() {
    let mut fleet = fleet("east");
    for entry in 0..8 {
        let reports = [report("t0", 0.0, "east")];
        merge(&mut fleet, START, &format!("well{entry}"), &reports);
    }
    work(&mut fleet, START, "t0", Observation::AnswerBroken);
    for entry in 0..3 {
        let reports = [report("t0", 3.9, "east")];
        let from = format!("unlucky{entry}");
        assert_eq!(merge(&mut fleet, START, &from, &reports), 0);
    }
}

/// Guards against reports that echo what others said, that grow without bound, and that are never
/// taken back.
#[test]
fn entry_reports_only_what_it_saw() {
    let mut fleet = fleet("east");
    assert!(fleet.evidence(START).is_empty());
    merge(&mut fleet, START, "a", &[report("t1", 24.0, "east")]);
    work(&mut fleet, START, "t0", Observation::AnswerBroken);
    let reports = fleet.evidence(START);
    let seen: Vec<_> = reports
        .iter()
        .map(|report| (report.target.as_str(), report.suspicion > 0.0))
        .collect();
    assert_eq!(seen, [("t0", true), ("t1", false)]);
    for _ in 0..8 {
        work(&mut fleet, START, "t0", USUAL);
    }
    let later = START.after(Millis(250));
    let taken_back = fleet.evidence(later);
    assert_eq!(taken_back.len(), 1);
    assert!(taken_back[0].suspicion <= 0.0);
    assert!(fleet.evidence(START.after(Millis(10_000))).is_empty());
}

/// Guards against a silent target that gets non-idempotent work until the first deadline ends, and
/// against one that stays in use until then.
#[test]
fn requests_in_flight_are_evidence() {
    let mut fleet = fleet("east");
    for target in ["t0", "t1", "t2", "t3"] {
        work(&mut fleet, START, target, USUAL);
    }
    for _ in 0..32 {
        work(&mut fleet, START, "t1", USUAL);
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
    let decisions = fleet.decide(START.after(Millis(900)));
    assert_eq!(decisions.len(), 1, "{decisions:?}");
    assert_eq!(decisions[0].action, Action::Eject);
}

/// Guards against ejecting a target that is slow only because it has just started.
#[test]
fn cold_target_is_not_slow() {
    let mut fleet = fleet("east");
    for _ in 0..40 {
        work(&mut fleet, START, "t1", USUAL);
        work(&mut fleet, START, "t2", USUAL);
    }
    let mut members: Vec<Member> = (0..4).map(member).collect();
    members[0].incarnation = Incarnation(2);
    fleet.reconcile(START, &members);
    for _ in 0..20 {
        work(&mut fleet, START, "t0", Observation::Answered(Millis(300)));
    }
    assert!(fleet.view().iter().all(|view| view.suspicion <= 0.0));
}
