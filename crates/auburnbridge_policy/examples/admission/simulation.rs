//! One simulated run: arrivals, admission and choice of targets on the entries, and targets that run
//! or shed requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use auburnbridge_policy::{
    AdmissionPolicy, AdmissionQueue, Completion, Dequeued, EjectionPolicy, Fleet, Member,
    Observation, Presence, QueuedRequest, RequestClass, Reservation, TargetKey,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 14;
const TARGETS: usize = 25;
const SLOTS: u32 = 3;
const SERVICE_MEDIAN_US: f64 = 30_000.0;
const SERVICE_SIGMA: f64 = 0.5;
const MEAN_SERVICE_US: f64 = 34_000.0;
const RUN_US: u64 = 12_000_000;
/// Time before results count.
const WARM_UP_US: u64 = 2_000_000;
/// Round trip of a request that a target sheds.
const SHED_ROUND_TRIP_US: u64 = 3_000;
const ONCE_DEADLINE_US: u64 = 5_000_000;
const LOOKUP_DEADLINE_US: u64 = 2_000_000;
const MAX_ATTEMPTS: u32 = 3;
/// Share of the requests that arrive at one half of the entries when the load is unequal.
const BUSY_HALF_SHARE: f64 = 0.9;
const EPOCH_MS: u64 = 1_000_000;

/// How entries share the targets' slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sharing {
    /// Power of two random choices by local load, without a queue.
    TwoChoices,
    /// As [`Sharing::TwoChoices`], with a backoff for targets that shed.
    ShedFeedback,
    /// Each slot is leased to one entry; requests wait for a slot of their entry.
    Leases,
    /// The admission queue of this crate.
    Queue(Reservation),
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// How entries share slots.
    pub sharing: Sharing,
    /// Whether one half of the entries gets most of the requests.
    pub is_unequal: bool,
    /// Non-idempotent arrivals, as a share of capacity.
    pub once_load: f64,
    /// Lookups, as a share of capacity.
    pub lookup_load: f64,
}

/// Results of a run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Median latency of non-idempotent requests.
    pub once_p50_ms: u64,
    /// 99th percentile of the latency of non-idempotent requests.
    pub once_p99_ms: u64,
    /// Non-idempotent requests without an answer, per mille.
    pub once_unserved: u64,
    /// 99th percentile of the latency of lookups.
    pub lookup_p99_ms: u64,
    /// Lookups without an answer, per mille.
    pub lookup_unserved: u64,
    /// Utilization of the slots, per mille.
    pub busy_slots: u64,
    /// Sheds per 1,000 answers.
    pub sheds: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Request {
    class: RequestClass,
    arrived_us: u64,
    attempts: u32,
}

struct Exchange {
    entry: usize,
    target: usize,
    key: TargetKey,
    request: Request,
    /// Service time; `None` if the target shed.
    service_us: Option<u64>,
}

#[derive(Default)]
struct ClassStats {
    times_ms: Vec<u64>,
    unserved: u64,
}

struct Entry {
    fleet: Fleet,
    queue: AdmissionQueue<Request>,
    /// Target of each free slot that is leased to this entry.
    leased: Vec<usize>,
}

struct Run {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    entries: Vec<Entry>,
    running: Vec<u32>,
    exchanges: Vec<Option<Exchange>>,
    free_indices: Vec<usize>,
    once: ClassStats,
    lookups: ClassStats,
    busy_us: u64,
    sheds: u64,
}

/// Runs a scenario with one seed.
pub fn run(scenario: Scenario, seed: u64) -> Outcome {
    let mut run = Run {
        scenario,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now_us: 0,
        events: BinaryHeap::new(),
        event_count: 0,
        entries: (0..ENTRIES).map(|at| entry(scenario, at)).collect(),
        running: vec![0; TARGETS],
        exchanges: Vec::new(),
        free_indices: Vec::new(),
        once: ClassStats::default(),
        lookups: ClassStats::default(),
        busy_us: 0,
        sheds: 0,
    };
    run.schedule(0, Event::Arrival);
    while let Some(Reverse((time, _, event))) = run.events.pop() {
        if time > RUN_US {
            break;
        }
        run.now_us = time;
        match event {
            Event::Arrival => run.handle_arrival(),
            Event::Finish(index) => run.finish(index),
        }
    }
    run.outcome()
}

fn entry(scenario: Scenario, at: usize) -> Entry {
    let members: Vec<Member> = (0..TARGETS).map(member).collect();
    let mut fleet = Fleet::new(EjectionPolicy::builder().build());
    fleet.reconcile(Timestamp(EPOCH_MS), &members);
    let slots = TARGETS * SLOTS as usize;
    let leased: Vec<usize> = (0..slots)
        .filter(|slot| slot % ENTRIES == at)
        .map(|slot| slot / SLOTS as usize)
        .collect();
    let reservation = match scenario.sharing {
        Sharing::Queue(reservation) => reservation,
        Sharing::TwoChoices | Sharing::ShedFeedback | Sharing::Leases => Reservation::None,
    };
    let policy = AdmissionPolicy {
        reservation,
        ..AdmissionPolicy::default()
    };
    Entry {
        fleet,
        queue: AdmissionQueue::new(policy, Slots(TARGETS as u32 * SLOTS)),
        leased,
    }
}

fn member(at: usize) -> Member {
    Member {
        id: format!("t{at}").parse().expect("the name is valid"),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        data_centre: "dc0".parse().expect("the name is valid"),
        incarnation: Incarnation(1),
        slots: Slots(SLOTS),
        presence: Presence::Fresh,
    }
}

impl Run {
    fn handle_arrival(&mut self) {
        let load = self.scenario.once_load + self.scenario.lookup_load;
        let mean_us = MEAN_SERVICE_US / (TARGETS as f64 * f64::from(SLOTS) * load);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * mean_us;
        self.schedule(gap as u64, Event::Arrival);
        let is_once = self.rng.random_bool(self.scenario.once_load / load);
        let request = Request {
            class: if is_once {
                RequestClass::Once
            } else {
                RequestClass::Idempotent
            },
            arrived_us: self.now_us,
            attempts: 0,
        };
        let entry = self.pick_entry();
        if self.scenario.sharing == Sharing::TwoChoices
            || self.scenario.sharing == Sharing::ShedFeedback
        {
            self.send(entry, request);
            return;
        }
        let queued = QueuedRequest {
            class: request.class,
            deadline: timestamp(deadline_us(request)),
            item: request,
        };
        let now = self.now();
        if let Err(rejected) = self.entries[entry].queue.try_enqueue(now, queued) {
            self.record_unserved(rejected.request.item);
        }
        self.start_queued(entry);
    }

    fn pick_entry(&mut self) -> usize {
        let half = ENTRIES / 2;
        if !self.scenario.is_unequal {
            return self.rng.random_range(0..ENTRIES);
        }
        let at = self.rng.random_range(0..half);
        if self.rng.random_bool(BUSY_HALF_SHARE) {
            at
        } else {
            at + half
        }
    }

    fn start_queued(&mut self, entry: usize) {
        let now = self.now();
        loop {
            if self.scenario.sharing == Sharing::Leases && self.entries[entry].leased.is_empty() {
                return;
            }
            match self.entries[entry].queue.next(now) {
                Some(Dequeued::Start(queued)) => self.send(entry, queued.item),
                Some(Dequeued::Expired(queued)) => self.record_unserved(queued.item),
                None => return,
            }
        }
    }

    fn send(&mut self, entry: usize, mut request: Request) {
        request.attempts += 1;
        let now = self.now();
        let chosen = if self.scenario.sharing == Sharing::Leases {
            let target = self.entries[entry].leased.pop();
            target.map(|target| (target, TargetKey::default()))
        } else {
            let fleet = &mut self.entries[entry].fleet;
            let choice = fleet.choose(now, request.class, &[], &mut self.rng);
            choice.map(|choice| {
                let index = choice.target.as_str()[1..].parse();
                (index.expect("target names end in their index"), choice.key)
            })
        };
        let (target, key) = chosen.expect("no target is ejected in this simulation");
        let is_free = self.running[target] < SLOTS;
        let service_us = is_free.then(|| service_time_us(&mut self.rng));
        self.running[target] += u32::from(is_free);
        let exchange = Exchange {
            entry,
            target,
            key,
            request,
            service_us,
        };
        let index = self.free_indices.pop().unwrap_or(self.exchanges.len());
        if index == self.exchanges.len() {
            self.exchanges.push(None);
        }
        self.exchanges[index] = Some(exchange);
        self.schedule(
            service_us.unwrap_or(SHED_ROUND_TRIP_US),
            Event::Finish(index),
        );
    }

    fn finish(&mut self, index: usize) {
        let exchange = self.exchanges[index]
            .take()
            .expect("each exchange ends once");
        self.free_indices.push(index);
        let now = self.now();
        let request = exchange.request;
        let entry = &mut self.entries[exchange.entry];
        let (observation, completion) = match exchange.service_us {
            Some(time) => {
                let time = Millis(time / 1_000);
                (Observation::Answered(time), Completion::Answered(time))
            }
            None if self.scenario.sharing == Sharing::TwoChoices => {
                (Observation::NotAttributable, Completion::Shed)
            }
            None => (Observation::Shed, Completion::Shed),
        };
        if self.scenario.sharing == Sharing::Leases {
            entry.leased.push(exchange.target);
        } else {
            entry.fleet.finish(now, exchange.key, observation);
        }
        entry.queue.finish(request.class, completion);
        if let Some(time) = exchange.service_us {
            self.running[exchange.target] -= 1;
            self.record_answer(request, time);
        } else {
            self.sheds += 1;
            self.retry_shed(exchange.entry, request);
        }
        self.start_queued(exchange.entry);
    }

    fn retry_shed(&mut self, entry: usize, request: Request) {
        if let Sharing::Queue(_) = self.scenario.sharing {
            self.entries[entry].queue.requeue(QueuedRequest {
                class: request.class,
                deadline: timestamp(deadline_us(request)),
                item: request,
            });
        } else if request.attempts < MAX_ATTEMPTS {
            self.send(entry, request);
        } else {
            self.record_unserved(request);
        }
    }

    fn record_answer(&mut self, request: Request, service_us: u64) {
        if request.arrived_us < WARM_UP_US {
            return;
        }
        self.busy_us += service_us;
        if self.now_us >= deadline_us(request) {
            self.record_unserved(request);
            return;
        }
        let time_ms = (self.now_us - request.arrived_us) / 1_000;
        self.stats(request.class).times_ms.push(time_ms);
    }

    fn record_unserved(&mut self, request: Request) {
        if request.arrived_us >= WARM_UP_US {
            self.stats(request.class).unserved += 1;
        }
    }

    fn stats(&mut self, class: RequestClass) -> &mut ClassStats {
        match class {
            RequestClass::Once => &mut self.once,
            RequestClass::Idempotent => &mut self.lookups,
        }
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.event_count += 1;
        let time = self.now_us + after_us;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    fn now(&self) -> Timestamp {
        timestamp(self.now_us)
    }

    fn outcome(mut self) -> Outcome {
        let answers = self.once.times_ms.len() + self.lookups.times_ms.len();
        let slots_us = (RUN_US - WARM_UP_US) * TARGETS as u64 * u64::from(SLOTS);
        Outcome {
            once_p50_ms: self.once.percentile(50),
            once_p99_ms: self.once.percentile(99),
            once_unserved: self.once.unserved_per_mille(),
            lookup_p99_ms: self.lookups.percentile(99),
            lookup_unserved: self.lookups.unserved_per_mille(),
            busy_slots: self.busy_us * 1_000 / slots_us,
            sheds: self.sheds * 1_000 / answers.max(1) as u64,
        }
    }
}

impl ClassStats {
    fn percentile(&mut self, percent: usize) -> u64 {
        self.times_ms.sort_unstable();
        let at = self.times_ms.len() * percent / 100;
        self.times_ms.get(at).copied().unwrap_or(0)
    }

    fn unserved_per_mille(&self) -> u64 {
        let all = self.unserved + self.times_ms.len() as u64;
        self.unserved * 1_000 / all.max(1)
    }
}

fn deadline_us(request: Request) -> u64 {
    request.arrived_us
        + match request.class {
            RequestClass::Once => ONCE_DEADLINE_US,
            RequestClass::Idempotent => LOOKUP_DEADLINE_US,
        }
}

fn timestamp(time_us: u64) -> Timestamp {
    Timestamp(EPOCH_MS + time_us / 1_000)
}

fn service_time_us(rng: &mut ChaCha8Rng) -> u64 {
    let (first, second): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    (SERVICE_MEDIAN_US * (normal * SERVICE_SIGMA).exp()) as u64
}
