//! A model of callers, gateways and targets on which the real decisions run.
//!
//! It has no network and no processes: time is a number, events lie in a queue, and all randomness
//! comes from one seed. Targets run as many requests as they have slots, queue some more and shed
//! the rest; a failing one breaks requests off at once. Gateways tell each other of findings at once
//! and of requests in flight at intervals, both after a delay.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    BalancedKey, BalancedMember, BalancerOptions, Dispatcher, DispatcherOptions, Finding,
    GatewayPlace, Need, Pick, Placement, SendBudgetOptions, WaitingKey,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp, VmId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One way between a gateway and a target or another gateway, in milliseconds.
const HOP_MS: u64 = 1;
/// Time after which a failing target has broken a request off.
const BREAK_MS: u64 = 2;
/// Time after which a connection that doesn't come about is given up.
const CONNECT_MS: u64 = 120;
/// Requests that wait in a target's own queue before it sheds.
const TARGET_QUEUE: usize = 16;

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    pub class: RequestClass,
    pub rank: u32,
    pub work_ms: u64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// Requests a second, from all callers together, at a time in milliseconds.
    pub per_second: fn(u64) -> f64,
}

/// A load pattern.
pub struct Pattern {
    pub seed: u64,
    pub gateways: usize,
    pub targets: usize,
    pub slots: u32,
    pub data_centres: usize,
    pub length_ms: u64,
    /// Requests that arrive earlier are served, but not counted.
    pub counted_from_ms: u64,
    pub kinds: Vec<Kind>,
    /// Share of the requests that a target breaks off, by its number and the time.
    pub fails: fn(usize, u64) -> f64,
    /// Share of the requests that a target runs and whose answer is lost with its connection.
    pub loses_answers: fn(usize, u64) -> f64,
    /// Factor of the work time of a target.
    pub slowness: fn(usize, u64) -> f64,
    /// Whether a gateway can't reach a target.
    pub is_cut: fn(usize, usize) -> bool,
    /// Interval of the reports of requests in flight.
    pub report_ms: u64,
    /// Reports within a data centre for each one to the others.
    pub reports_per_far: u64,
}

/// What became of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub offered: u32,
    pub in_objective: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    /// Times from arrival to the answer of a target.
    pub answer_ms: Vec<u64>,
    /// Times from arrival to the refusal.
    pub refusal_ms: Vec<u64>,
    /// Advice of the refusals.
    pub retry_after_ms: Vec<u64>,
}

impl Tally {
    pub fn served_share(&self) -> f64 {
        f64::from(self.in_objective + self.late) / f64::from(self.offered.max(1))
    }

    pub fn objective_share(&self) -> f64 {
        f64::from(self.in_objective) / f64::from(self.offered.max(1))
    }

    pub fn mean_answer_ms(&self) -> f64 {
        self.answer_ms.iter().sum::<u64>() as f64 / self.answer_ms.len().max(1) as f64
    }
}

/// One send to a target.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    pub at_ms: u64,
    pub gateway: usize,
    pub target: usize,
    pub class: RequestClass,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub tallies: Vec<Tally>,
    pub sends: Vec<Send>,
    /// Arrivals of all requests, with the counted ones and the others.
    pub arrivals_ms: Vec<u64>,
    /// Arrivals of those that were refused or failed.
    pub lost_ms: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { kind: usize },
    Reach { request: usize, target: usize },
    Complete { request: usize, target: usize },
    Return { request: usize, ending: Ending },
    Expire { request: usize, place: u64 },
    Report { gateway: usize, turn: u64 },
}

/// How a send ended at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    Answer,
    Broken,
    Interrupted,
    Shed,
    Unreachable,
}

struct Request {
    kind: usize,
    gateway: usize,
    arrived: u64,
    sent: u64,
    pick: Option<Pick>,
    tried: Vec<BalancedKey>,
    place: Option<WaitingKey>,
    places: u64,
    sends: u32,
}

#[derive(Default)]
struct Target {
    running: u32,
    queue: VecDeque<usize>,
}

/// Runs a pattern.
pub fn run(pattern: &Pattern) -> Outcome {
    let mut model = Model::new(pattern);
    model.start();
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        if at > pattern.length_ms + 10_000 {
            break;
        }
        model.handle(event);
    }
    model.outcome
}

struct Model<'a> {
    pattern: &'a Pattern,
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: ChaCha8Rng,
    gateways: Vec<Dispatcher<usize>>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    outcome: Outcome,
}

fn data_centre(number: usize) -> auburnbridge_types::DataCentre {
    format!("dc-{number}").parse().unwrap()
}

fn gateway_place(number: usize, data_centres: usize) -> GatewayPlace {
    GatewayPlace {
        vm: format!("gateway-{number}").parse().unwrap(),
        data_centre: data_centre(number % data_centres),
    }
}

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

fn address(target: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([10, 0, (target / 200) as u8, (target % 200) as u8], 8080))
}

impl<'a> Model<'a> {
    fn new(pattern: &'a Pattern) -> Self {
        let members: Vec<BalancedMember> = (0..pattern.targets)
            .map(|number| BalancedMember {
                id: format!("t-{number}").parse().unwrap(),
                address: address(number),
                data_centre: data_centre(number % pattern.data_centres),
                incarnation: Incarnation(1),
                slots: Slots(pattern.slots),
            })
            .collect();
        let others = |number: usize| -> Vec<GatewayPlace> {
            (0..pattern.gateways)
                .filter(|other| *other != number)
                .map(|other| gateway_place(other, pattern.data_centres))
                .collect()
        };
        let gateways = (0..pattern.gateways)
            .map(|number| {
                let mut dispatcher = Dispatcher::new(&DispatcherOptions {
                    balancer: BalancerOptions {
                        own: gateway_place(number, pattern.data_centres),
                        floor_share: 0.7,
                        seed: pattern.seed + number as u64,
                    },
                    sends: SendBudgetOptions {
                        ratio: 0.2,
                        allowance: 60.0,
                        window: Millis(10_000),
                    },
                    seed: pattern.seed * 1_000 + number as u64,
                });
                dispatcher.set_gateways(&others(number));
                dispatcher.set_members(time(0), &members);
                dispatcher
            })
            .collect();
        Self {
            pattern,
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(pattern.seed),
            gateways,
            targets: (0..pattern.targets).map(|_| Target::default()).collect(),
            requests: Vec::new(),
            outcome: Outcome {
                tallies: vec![Tally::default(); pattern.kinds.len()],
                sends: Vec::new(),
                arrivals_ms: Vec::new(),
                lost_ms: Vec::new(),
            },
        }
    }

    fn start(&mut self) {
        for kind in 0..self.pattern.kinds.len() {
            self.schedule_arrival(kind);
        }
        for gateway in 0..self.pattern.gateways {
            let offset = self.rng.random_range(0..self.pattern.report_ms);
            self.schedule(offset, Event::Report { gateway, turn: 0 });
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + after, self.order, event)));
    }

    fn schedule_arrival(&mut self, kind: usize) {
        let rate = (self.pattern.kinds[kind].per_second)(self.now).max(0.01);
        let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / rate;
        if self.now + (gap as u64) < self.pattern.length_ms {
            self.schedule(gap as u64, Event::Arrive { kind });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { kind } => self.arrive(kind),
            Event::Reach { request, target } => self.reach(request, target),
            Event::Complete { request, target } => self.complete(request, target),
            Event::Return { request, ending } => self.give_back(request, ending),
            Event::Expire { request, place } => self.expire(request, place),
            Event::Report { gateway, turn } => self.report(gateway, turn),
        }
    }

    fn arrive(&mut self, kind: usize) {
        self.schedule_arrival(kind);
        let gateway = self.rng.random_range(0..self.pattern.gateways);
        self.outcome.arrivals_ms.push(self.now);
        if self.is_counted(self.now) {
            self.outcome.tallies[kind].offered += 1;
        }
        let rank = self.pattern.kinds[kind].rank;
        self.gateways[gateway].record_request(time(self.now), rank);
        self.requests.push(Request {
            kind,
            gateway,
            arrived: self.now,
            sent: 0,
            pick: None,
            tried: Vec::new(),
            place: None,
            places: 0,
            sends: 0,
        });
        self.place(self.requests.len() - 1);
    }

    fn place(&mut self, request: usize) {
        let req = &self.requests[request];
        let kind = &self.pattern.kinds[req.kind];
        let tried = req.tried.clone();
        let need = Need {
            class: kind.class,
            rank: kind.rank,
            deadline: time(req.arrived + kind.deadline_ms),
            objective: time(req.arrived + kind.objective_ms),
            tried: &tried,
        };
        let gateway = &mut self.gateways[req.gateway];
        match gateway.place(time(self.now), &need, || request) {
            Placement::Start(pick) => self.send(request, pick),
            Placement::Wait { key, longest } => {
                let req = &mut self.requests[request];
                req.place = Some(key);
                req.places += 1;
                let place = req.places;
                self.schedule(longest.0, Event::Expire { request, place });
            }
            Placement::Refuse(refusal) => self.refuse(request, refusal.retry_after),
        }
    }

    fn expire(&mut self, request: usize, place: u64) {
        let req = &mut self.requests[request];
        if req.places != place {
            return;
        }
        let Some(key) = req.place.take() else {
            return;
        };
        let (gateway, rank) = (req.gateway, self.pattern.kinds[req.kind].rank);
        if self.gateways[gateway].leave(key) {
            let refusal = self.gateways[gateway].refusal(time(self.now), rank);
            self.refuse(request, refusal.retry_after);
        }
    }

    fn is_counted(&self, arrived: u64) -> bool {
        arrived >= self.pattern.counted_from_ms
    }

    fn refuse(&mut self, request: usize, retry_after: Millis) {
        let req = &self.requests[request];
        self.outcome.lost_ms.push(req.arrived);
        if !self.is_counted(req.arrived) {
            return;
        }
        let tally = &mut self.outcome.tallies[req.kind];
        tally.refused += 1;
        tally.refusal_ms.push(self.now - req.arrived);
        tally.retry_after_ms.push(retry_after.0);
    }

    fn send(&mut self, request: usize, pick: Pick) {
        let target = pick.target.as_str()[2..].parse().unwrap();
        let now = self.now;
        let req = &mut self.requests[request];
        req.place = None;
        req.sent = now;
        req.tried.push(pick.key);
        req.pick = Some(pick);
        let (gateway, kind) = (req.gateway, req.kind);
        if (self.pattern.is_cut)(gateway, target) {
            let ending = Ending::Unreachable;
            self.schedule(CONNECT_MS, Event::Return { request, ending });
            return;
        }
        self.requests[request].sends += 1;
        self.outcome.sends.push(Send {
            at_ms: now,
            gateway,
            target,
            class: self.pattern.kinds[kind].class,
        });
        self.schedule(HOP_MS, Event::Reach { request, target });
    }

    fn reach(&mut self, request: usize, target: usize) {
        let fails = (self.pattern.fails)(target, self.now);
        if self.rng.random::<f64>() < fails {
            let ending = Ending::Broken;
            self.schedule(BREAK_MS, Event::Return { request, ending });
        } else if self.targets[target].running < self.pattern.slots {
            self.begin(request, target);
        } else if self.targets[target].queue.len() < TARGET_QUEUE {
            self.targets[target].queue.push_back(request);
        } else {
            let ending = Ending::Shed;
            self.schedule(HOP_MS, Event::Return { request, ending });
        }
    }

    fn begin(&mut self, request: usize, target: usize) {
        self.targets[target].running += 1;
        let kind = &self.pattern.kinds[self.requests[request].kind];
        let spread = self.rng.random_range(0.5..1.5);
        let slowness = (self.pattern.slowness)(target, self.now);
        let work = (kind.work_ms as f64 * spread * slowness) as u64;
        self.schedule(work, Event::Complete { request, target });
    }

    fn complete(&mut self, request: usize, target: usize) {
        self.targets[target].running -= 1;
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.begin(next, target);
        }
        let lost = (self.pattern.loses_answers)(target, self.now);
        let ending = if self.rng.random::<f64>() < lost {
            Ending::Interrupted
        } else {
            Ending::Answer
        };
        self.schedule(HOP_MS, Event::Return { request, ending });
    }

    fn give_back(&mut self, request: usize, ending: Ending) {
        let req = &self.requests[request];
        let gateway = req.gateway;
        let time_taken = Millis(self.now - req.sent);
        let key = req.pick.as_ref().unwrap().key;
        let dispatcher = &mut self.gateways[gateway];
        let told = match ending {
            Ending::Answer => dispatcher.judge_answer(time_taken, false),
            Ending::Broken | Ending::Interrupted => Finding::of_break(time_taken),
            Ending::Shed => Finding::Shed,
            Ending::Unreachable => Finding::Unreachable,
        };
        dispatcher.finish(time(self.now), key, Some(told));
        self.spread_findings(gateway);
        self.start_waiting(gateway);
        if ending == Ending::Answer {
            self.answer(request);
        } else {
            self.retry(request, ending);
        }
    }

    fn answer(&mut self, request: usize) {
        let req = &self.requests[request];
        if !self.is_counted(req.arrived) {
            return;
        }
        let kind = &self.pattern.kinds[req.kind];
        let tally = &mut self.outcome.tallies[req.kind];
        let taken = self.now - req.arrived;
        tally.answer_ms.push(taken);
        if taken <= kind.objective_ms {
            tally.in_objective += 1;
        } else if taken <= kind.deadline_ms {
            tally.late += 1;
        } else {
            tally.failed += 1;
        }
    }

    fn retry(&mut self, request: usize, ending: Ending) {
        let req = &self.requests[request];
        let kind = &self.pattern.kinds[req.kind];
        let is_lost = matches!(ending, Ending::Broken | Ending::Interrupted)
            && kind.class == RequestClass::Once;
        let is_over = self.now >= req.arrived + kind.deadline_ms;
        let may_resend = req.sends == 0
            || (req.sends < 2 && self.gateways[req.gateway].try_send_again(time(self.now)));
        if is_lost || is_over || !may_resend {
            self.outcome.lost_ms.push(req.arrived);
            if self.is_counted(req.arrived) {
                self.outcome.tallies[req.kind].failed += 1;
            }
            return;
        }
        self.place(request);
    }

    fn spread_findings(&mut self, from: usize) {
        let findings = self.gateways[from].take_unreported();
        if findings.is_empty() {
            return;
        }
        let now = time(self.now + HOP_MS);
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            if number != from {
                gateway.hear_findings(now, &findings);
            }
        }
    }

    fn report(&mut self, from: usize, turn: u64) {
        let report = self.gateways[from].load_report(time(self.now));
        let name: VmId = format!("gateway-{from}").parse().unwrap();
        let now = time(self.now);
        let is_far_turn = turn.is_multiple_of(self.pattern.reports_per_far);
        let data_centres = self.pattern.data_centres;
        for number in 0..self.gateways.len() {
            let is_near = number % data_centres == from % data_centres;
            if number != from && (is_near || is_far_turn) {
                self.gateways[number].hear_load(now, &name, report.clone());
                self.start_waiting(number);
            }
        }
        if self.now < self.pattern.length_ms + 5_000 {
            let (gateway, turn) = (from, turn + 1);
            self.schedule(self.pattern.report_ms, Event::Report { gateway, turn });
        }
    }

    fn start_waiting(&mut self, gateway: usize) {
        while let Some((request, pick)) = self.gateways[gateway].next_start(time(self.now)) {
            self.send(request, pick);
        }
    }
}
