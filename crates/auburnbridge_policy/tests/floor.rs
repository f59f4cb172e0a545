//! Exhaustive tests of the floor: all event sequences on small fleets, with one or two entries.

use auburnbridge_policy::{
    EjectionPolicy, EvidenceReport, Fleet, Member, Observation, Presence, RequestClass,
    Sensitivity, ServiceState,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: Timestamp = Timestamp(1_000_000);
/// Consecutive failures that exceed every threshold.
const FAILURES: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Failures(usize),
    Success(usize),
    LeaseLost(usize),
    LeaseRenewed(usize),
    Restart(usize),
    Leave(usize),
    PeerReports(usize),
    Wait(u64),
}

fn events(targets: usize) -> Vec<Event> {
    let mut events = vec![Event::Wait(3_000), Event::Wait(130_000)];
    for target in 0..targets {
        events.extend([
            Event::Failures(target),
            Event::Success(target),
            Event::LeaseLost(target),
            Event::LeaseRenewed(target),
            Event::Restart(target),
            Event::Leave(target),
            Event::PeerReports(target),
        ]);
    }
    events
}

/// State of one entry: the members announced to it and its fleet.
#[derive(Clone)]
struct Entry {
    fleet: Fleet,
    members: Vec<Option<Member>>,
}

impl Entry {
    fn new(slots: &[u32], floor: u32) -> Self {
        let policy = EjectionPolicy::builder()
            .floor(Slots(floor))
            .sensitivity(Sensitivity::FAST)
            .build();
        let members = slots.iter().enumerate().map(|(at, slots)| {
            Some(Member {
                id: format!("target-{at}").parse().unwrap(),
                address: "127.0.0.1:9".parse().unwrap(),
                data_centre: "east".parse().unwrap(),
                incarnation: Incarnation(1),
                slots: Slots(*slots),
                presence: Presence::Fresh,
            })
        });
        let mut entry = Self {
            fleet: Fleet::new(policy).with_data_centre("east".parse().unwrap()),
            members: members.collect(),
        };
        entry.reconcile(START);
        entry
    }

    fn reconcile(&mut self, now: Timestamp) {
        let members: Vec<Member> = self.members.iter().flatten().cloned().collect();
        self.fleet.reconcile(now, &members);
    }

    /// Runs one request on the target with the given result; an ejected target gets none.
    fn send(&mut self, now: Timestamp, target: usize, observation: Observation) {
        let id = format!("target-{target}").parse().unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        let mut others = Vec::new();
        while let Some(choice) = self
            .fleet
            .choose(now, RequestClass::Idempotent, &others, &mut rng)
        {
            let found = choice.target == id;
            let result = if found {
                observation
            } else {
                Observation::NotAttributable
            };
            self.fleet.finish(now, choice.key, result);
            if found {
                return;
            }
            others.push(choice.key);
        }
    }

    fn apply(&mut self, now: &mut Timestamp, event: Event) {
        match event {
            Event::Failures(target) => {
                for _ in 0..FAILURES {
                    self.send(*now, target, Observation::TimedOut);
                }
            }
            Event::Success(target) => self.send(*now, target, Observation::Answered(Millis(5))),
            Event::LeaseLost(target) => self.set_presence(target, Presence::Stale(*now)),
            Event::LeaseRenewed(target) => self.set_presence(target, Presence::Fresh),
            Event::Restart(target) => {
                if let Some(member) = &mut self.members[target] {
                    member.incarnation = Incarnation(member.incarnation.0 + 1);
                }
            }
            Event::Leave(target) => self.members[target] = None,
            Event::PeerReports(target) => self.merge_reports(*now, target),
            Event::Wait(time) => *now = now.after(Millis(time)),
        }
        self.reconcile(*now);
        self.fleet.tick(*now);
    }

    /// Merges reports of three other entries that suspect the target at the maximum.
    fn merge_reports(&mut self, now: Timestamp, target: usize) {
        let Some(member) = &self.members[target] else {
            return;
        };
        let report = EvidenceReport {
            target: member.id.clone(),
            incarnation: member.incarnation,
            suspicion: 24.0,
            observations: 0,
            data_centre: member.data_centre.clone(),
        };
        for from in ["a", "b", "c"] {
            let from = from.parse().unwrap();
            let reports = [report.clone()];
            self.fleet.merge_evidence(now, &from, &reports);
        }
    }

    fn set_presence(&mut self, target: usize, presence: Presence) {
        if let Some(member) = &mut self.members[target] {
            member.presence = presence;
        }
    }

    fn in_use(&self) -> Vec<(String, u32)> {
        self.fleet
            .view()
            .into_iter()
            .filter(|view| view.state == ServiceState::InUse)
            .map(|view| (view.member.id.to_string(), view.member.slots.0))
            .collect()
    }

    /// Effective floor, computed from the announcements independently of the code under test.
    fn effective_floor(&self, floor: u32) -> u32 {
        let announced: u32 = self.members.iter().flatten().map(|m| m.slots.0).sum();
        floor.min(announced)
    }
}

fn explore(
    entry: &Entry,
    now: Timestamp,
    depth: usize,
    check: &mut impl FnMut(&Entry, &[Event]),
    trace: &mut Vec<Event>,
) {
    check(entry, trace);
    if depth == 0 {
        return;
    }
    for event in events(entry.members.len()) {
        let mut next = entry.clone();
        let mut next_now = now;
        next.apply(&mut next_now, event);
        trace.push(event);
        explore(&next, next_now, depth - 1, check, trace);
        trace.pop();
    }
}

/// Guards against ejections below the floor on one entry: no sequence of failures, expired leases,
/// restarts, reports, departures and waits brings the slots in use below the floor, or below all
/// announced slots if those are fewer.
#[test]
fn every_short_sequence_of_events_keeps_the_floor() {
    let mut states = 0_u32;
    let mut ejections = 0_u32;
    for (slots, floors) in [
        (vec![1, 1, 1], 0..=3),
        (vec![3, 3], 3..=6),
        (vec![2, 1], 1..=3),
    ] {
        for floor in floors {
            let entry = Entry::new(&slots, floor);
            let mut check = |entry: &Entry, trace: &[Event]| {
                states += 1;
                let in_use: u32 = entry.in_use().iter().map(|(_, slots)| slots).sum();
                let effective_floor = entry.effective_floor(floor);
                assert!(
                    in_use >= effective_floor,
                    "{in_use} slots in use, effective floor {effective_floor}, {slots:?} floor {floor}: {trace:?}"
                );
                let announced = entry.members.iter().flatten().count();
                ejections += u32::from(entry.in_use().len() < announced);
            };
            let depth = if slots.len() == 3 { 3 } else { 4 };
            explore(&entry, START, depth, &mut check, &mut Vec::new());
        }
    }
    println!("{states} states, {ejections} of them with a target out of service");
    assert!(
        ejections > states / 20,
        "the search reached too few ejections"
    );
}

/// Guards against ejections below the floor across entries: two entries that decide independently, each
/// after its own event sequence, together use at least the floor of the targets that both know.
#[test]
fn independent_entries_together_keep_the_floor() {
    let floor = 3;
    let mut pairs = 0_u32;
    let mut views: Vec<Vec<(String, u32)>> = Vec::new();
    let entry = Entry::new(&[2, 2, 1], floor);
    let mut collect = |entry: &Entry, trace: &[Event]| {
        if !trace.iter().any(|event| matches!(event, Event::Leave(_))) {
            let mut view = entry.in_use();
            view.sort();
            if !views.contains(&view) {
                views.push(view);
            }
        }
    };
    explore(&entry, START, 3, &mut collect, &mut Vec::new());
    for first in &views {
        for second in &views {
            pairs += 1;
            let mut union: Vec<_> = first.iter().chain(second).collect();
            union.sort();
            union.dedup();
            let in_use: u32 = union.iter().map(|(_, slots)| slots).sum();
            assert!(in_use >= floor, "{first:?} and {second:?}");
        }
    }
    assert!(pairs >= 9, "only {pairs} pairs of views reached");
}

/// Guards against a fleet that refuses requests when all targets appear unhealthy.
#[test]
fn floor_stays_in_use_when_all_targets_fail() {
    let mut entry = Entry::new(&[3, 3, 3, 3], 6);
    let mut now = START;
    for target in 0..4 {
        entry.apply(&mut now, Event::Failures(target));
    }
    let in_use: u32 = entry.in_use().iter().map(|(_, slots)| slots).sum();
    assert_eq!(in_use, 6);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let choice = entry
        .fleet
        .choose(now, RequestClass::Once, &[], &mut rng)
        .expect("the floor keeps targets in use");
    assert_eq!(choice.candidates, 2);
}
