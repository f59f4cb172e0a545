//! One simulated run: entries, targets with slots, a fault, and arrivals drawn from a seed.
//!
//! A target runs as many requests as it has slots and sheds the others. The platform's load balancer
//! sends each request to a random entry. Requests are not retried.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use auburnbridge_policy::{
    EjectionPolicy, Member, Observation, Presence, RequestClass, Sensitivity, TargetKey,
};
use auburnbridge_types::{DataCentre, Incarnation, Slots, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault::{ExchangeEnd, Fault, apply_cold_start, apply_fault, draw_healthy};
use crate::selector::{Algorithm, Ejection, Selector, target_id};

/// Number of entries that send to the targets.
pub const ENTRIES: usize = 14;
/// Time before the fault.
const WARM_UP_US: u64 = 10_000_000;
/// Interval of the time-dependent decisions, the same as on a real entry.
const DECIDE_INTERVAL_US: u64 = 100_000;
/// Mean service time, including the Pareto tail.
const MEAN_SERVICE_US: f64 = 34_500.0;
const IDEMPOTENT_SHARE: f64 = 0.7;
const IDEMPOTENT_DEADLINE_US: u64 = 2_000_000;
const ONCE_DEADLINE_US: u64 = 5_000_000;
const SHED_ROUND_TRIP_US: u64 = 500;
const EPOCH_MS: u64 = 1_000_000;

/// One service of a user.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name in the report.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Minimum slots in use, as configured.
    pub floor: u32,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub delay_us: u64,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The service.
    pub service: Service,
    /// The fault.
    pub fault: Fault,
    /// Algorithm of the entries.
    pub algorithm: Algorithm,
    /// Sensitivity of the policy.
    pub sensitivity: Sensitivity,
    /// Arrivals, as a share of capacity.
    pub load: f64,
    /// Time from the fault to the end of the run.
    pub window_us: u64,
    /// Interval at which entries exchange evidence; `None` means never.
    pub share_interval_us: Option<u64>,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Time from the fault to the last non-idempotent dispatch that the fault affected.
    pub detection_us: u64,
    /// Time from the fault to the first ejection by the last entry that made one.
    pub ejection_us: u64,
    /// Non-idempotent requests that the fault affected.
    pub once_affected: u32,
    /// Ejections by entries for which the target was not faulty.
    pub false_ejections: u32,
    /// Ejections by entries for which the target was faulty.
    pub true_ejections: u32,
    /// Minimum slots in use on any entry.
    pub least_in_use: u32,
    /// Number of evidence reports sent.
    pub reports: u64,
    /// Number of requests.
    pub requests: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish(usize),
    Decide(usize),
    Share(usize),
    Fault,
}

#[derive(Clone, Copy)]
struct Exchange {
    entry: usize,
    target: usize,
    key: TargetKey,
    observation: Observation,
    holds_slot: bool,
}

struct Run {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    entries: Vec<Selector>,
    members: Vec<Member>,
    running: Vec<u32>,
    exchanges: Vec<Exchange>,
    free_indices: Vec<usize>,
    has_ejected: [bool; ENTRIES],
    outcome: Outcome,
}

/// Runs a scenario with one seed.
pub fn run(scenario: Scenario, seed: u64) -> Outcome {
    let service = scenario.service;
    let members: Vec<Member> = (0..service.targets).map(|at| member(service, at)).collect();
    let policy = EjectionPolicy::builder()
        .floor(Slots(service.floor))
        .sensitivity(scenario.sensitivity)
        .build();
    let entries = (0..ENTRIES)
        .map(|entry| {
            let data_centre = data_centre(entry % service.data_centres);
            let now = Timestamp(EPOCH_MS);
            Selector::new(scenario.algorithm, &policy, data_centre, now, &members)
        })
        .collect();
    let mut run = Run {
        scenario,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now_us: 0,
        events: BinaryHeap::new(),
        event_count: 0,
        entries,
        running: vec![0; members.len()],
        members,
        exchanges: Vec::new(),
        free_indices: Vec::new(),
        has_ejected: [false; ENTRIES],
        outcome: Outcome {
            least_in_use: u32::MAX,
            ..Outcome::default()
        },
    };
    run.start();
    while let Some(Reverse((time, _, event))) = run.events.pop() {
        if time > WARM_UP_US + scenario.window_us {
            break;
        }
        run.now_us = time;
        run.handle(event);
    }
    run.outcome
}

fn member(service: Service, at: usize) -> Member {
    Member {
        id: target_id(at),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        data_centre: data_centre(at % service.data_centres),
        incarnation: Incarnation(1),
        slots: Slots(service.slots),
        presence: Presence::Fresh,
    }
}

fn data_centre(at: usize) -> DataCentre {
    format!("dc{at}").parse().expect("the name is valid")
}

impl Run {
    fn start(&mut self) {
        self.schedule(0, Event::Arrival);
        self.schedule(WARM_UP_US, Event::Fault);
        for entry in 0..ENTRIES {
            let phase = self.rng.random_range(0..DECIDE_INTERVAL_US);
            self.schedule(phase, Event::Decide(entry));
            if self.scenario.share_interval_us.is_some() {
                self.schedule(phase, Event::Share(entry));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Finish(exchange) => self.finish(exchange),
            Event::Decide(entry) => {
                let now = self.now();
                let ejections = self.entries[entry].tick(now);
                self.record_ejections(entry, &ejections);
                self.schedule(DECIDE_INTERVAL_US, event);
            }
            Event::Share(entry) => self.share_evidence(entry),
            Event::Fault => self.restart_cold_target(),
        }
    }

    fn handle_arrival(&mut self) {
        let capacity = f64::from(self.scenario.service.slots) * self.members.len() as f64;
        let load = match self.scenario.fault {
            Fault::Overload => 1.3,
            _ => self.scenario.load,
        };
        let mean_us = MEAN_SERVICE_US / (capacity * load);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * mean_us;
        self.schedule(gap as u64, Event::Arrival);
        self.outcome.requests += 1;
        let entry = self.rng.random_range(0..ENTRIES);
        let class = if self.rng.random_bool(IDEMPOTENT_SHARE) {
            RequestClass::Idempotent
        } else {
            RequestClass::Once
        };
        let now = self.now();
        if let Some((target, key)) = self.entries[entry].choose(now, class, &mut self.rng) {
            self.dispatch(entry, target, key, class);
        }
    }

    fn dispatch(&mut self, entry: usize, target: usize, key: TargetKey, class: RequestClass) {
        let service = self.scenario.service;
        let deadline = match class {
            RequestClass::Idempotent => IDEMPOTENT_DEADLINE_US,
            RequestClass::Once => ONCE_DEADLINE_US,
        };
        let mut end = draw_healthy(&mut self.rng);
        if self.is_affected(entry, target) {
            let age = self.now_us - WARM_UP_US;
            end = apply_fault(self.scenario.fault, age, end, &mut self.rng);
            if class == RequestClass::Once {
                self.outcome.once_affected += 1;
                self.outcome.detection_us = age;
            }
        }
        if self.scenario.fault == Fault::ColdStart && target == 0 && self.now_us >= WARM_UP_US {
            end = apply_cold_start(self.now_us - WARM_UP_US, end);
        }
        if end.holds_slot && self.running[target] >= service.slots {
            end = ExchangeEnd {
                after_us: Some(SHED_ROUND_TRIP_US),
                observation: Observation::Shed,
                holds_slot: false,
            };
        }
        let is_remote = entry % service.data_centres != target % service.data_centres;
        let network = if is_remote { 2 * service.delay_us } else { 0 };
        let (after, observation) = match end.after_us {
            Some(time) if time + network < deadline => (time + network, end.observation),
            _ => (deadline, Observation::TimedOut),
        };
        self.running[target] += u32::from(end.holds_slot);
        let exchange = Exchange {
            entry,
            target,
            key,
            observation,
            holds_slot: end.holds_slot,
        };
        let index = self.free_indices.pop().unwrap_or(self.exchanges.len());
        if index == self.exchanges.len() {
            self.exchanges.push(exchange);
        } else {
            self.exchanges[index] = exchange;
        }
        self.schedule(after, Event::Finish(index));
    }

    fn finish(&mut self, index: usize) {
        let exchange = self.exchanges[index];
        self.free_indices.push(index);
        self.running[exchange.target] -= u32::from(exchange.holds_slot);
        let now = self.now();
        let entry = &mut self.entries[exchange.entry];
        let ejections = entry.finish(now, exchange.target, exchange.key, exchange.observation);
        self.record_ejections(exchange.entry, &ejections);
    }

    fn record_ejections(&mut self, entry: usize, ejections: &[Ejection]) {
        for ejection in ejections {
            if self.is_affected(entry, ejection.target) {
                self.outcome.true_ejections += 1;
                if !std::mem::replace(&mut self.has_ejected[entry], true) {
                    self.outcome.ejection_us = self.now_us - WARM_UP_US;
                }
            } else {
                self.outcome.false_ejections += 1;
            }
        }
        if !ejections.is_empty() || self.outcome.least_in_use == u32::MAX {
            let in_use = self.entries[entry].slots_in_use(self.now()).0;
            self.outcome.least_in_use = self.outcome.least_in_use.min(in_use);
        }
    }

    fn is_affected(&self, entry: usize, target: usize) -> bool {
        let service = self.scenario.service;
        let data_centre = entry % service.data_centres;
        self.now_us >= WARM_UP_US
            && (self.scenario.fault).affects(target, service.targets, entry, data_centre)
    }

    /// Merges an entry's evidence into all others, without the real delay of a few milliseconds.
    fn share_evidence(&mut self, entry: usize) {
        let now = self.now();
        let from = format!("entry{entry}").parse().expect("the name is valid");
        let reports = self.entries[entry].due_reports(now);
        self.outcome.reports += reports.len() as u64;
        for other in (0..ENTRIES).filter(|other| *other != entry && !reports.is_empty()) {
            let ejections = self.entries[other].merge_evidence(now, &from, &reports);
            self.record_ejections(other, &ejections);
        }
        if let Some(interval_us) = self.scenario.share_interval_us {
            self.schedule(interval_us, Event::Share(entry));
        }
    }

    fn restart_cold_target(&mut self) {
        if self.scenario.fault != Fault::ColdStart {
            return;
        }
        self.members[0].incarnation = Incarnation(2);
        let now = self.now();
        for entry in &mut self.entries {
            entry.reconcile(now, &self.members);
        }
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.event_count += 1;
        let time = self.now_us + after_us;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    fn now(&self) -> Timestamp {
        Timestamp(EPOCH_MS + self.now_us / 1_000)
    }
}
