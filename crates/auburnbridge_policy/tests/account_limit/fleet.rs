//! Gateways with clocks of their own that exchange messages over a faulty network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use auburnbridge_policy::account_limit::{
    AccountHash, Admission, GatewayId, LimitMessage, LimitNode, LimitNodeOptions, LimitTerms,
    LimitTolerance, Output, OwnerTerm, Permit, RefusedReason, TICK_INTERVAL, Waiter,
};
use auburnbridge_types::{ConfigVersion, Millis, RequestRate, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

pub const TOLERANCE: LimitTolerance = LimitTolerance {
    window: Millis(5_000),
    overage: 0.1,
    slack: 20.0,
};

/// Interval at which a gateway gets the list of running gateways.
const LIST_INTERVAL: u64 = 500;
/// Time after which a gateway that has ended or is cut off from the keepers disappears from the list.
const UNLIST_TIME: u64 = 3_000;

pub fn terms(version: u64, rate_per_s: f64, burst: u64) -> LimitTerms {
    LimitTerms {
        version: ConfigVersion(version),
        rate: RequestRate((rate_per_s * 1_000.0) as u64),
        burst,
    }
}

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages that are lost, in thousandths.
    pub lost: u64,
    /// Messages that arrive twice, in thousandths.
    pub doubled: u64,
    /// Messages that arrive up to six seconds late, in thousandths.
    pub late: u64,
}

struct Machine {
    id: GatewayId,
    node: Option<LimitNode>,
    started: u64,
    ended: Option<u64>,
    /// What the machine's clock adds to the true time; differs after each start.
    clock_offset: u64,
    /// Speed of the clock, in millionths above the true one.
    clock_drift: u64,
    frozen_until: u64,
    inbox: Vec<(GatewayId, LimitMessage)>,
    /// Side of a partition; gateways on different sides don't reach each other.
    side: u8,
    /// Time since when it is cut off from the keepers.
    unheard_since: Option<u64>,
}

impl Machine {
    fn clock(&self, now: u64) -> Timestamp {
        Timestamp(self.clock_offset + now + now * self.clock_drift / 1_000_000)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: u64,
    number: u64,
    from: usize,
    to: usize,
}

/// A request that was admitted.
#[derive(Clone, Copy, Debug)]
pub struct Passed {
    pub account: usize,
    pub gateway: usize,
    pub at: u64,
    pub permit: Permit,
    pub is_given_back: bool,
}

pub struct Fleet {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub faults: Faults,
    pub passed: Vec<Passed>,
    pub refused: Vec<(usize, u64, RefusedReason)>,
    pub messages: u64,
    machines: Vec<Machine>,
    deliveries: BinaryHeap<Reverse<Delivery>>,
    contents: HashMap<u64, LimitMessage>,
    /// Account and gateway of each request.
    requests: Vec<(usize, usize)>,
    tolerance: LimitTolerance,
}

pub fn account(number: usize) -> AccountHash {
    AccountHash::of(&format!("account-{number}").parse().unwrap())
}

impl Fleet {
    pub fn new(seed: u64, gateways: usize) -> Self {
        Self::with_tolerance(seed, gateways, TOLERANCE)
    }

    pub fn with_tolerance(seed: u64, gateways: usize, tolerance: LimitTolerance) -> Self {
        let mut fleet = Self {
            now: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            passed: Vec::new(),
            refused: Vec::new(),
            messages: 0,
            machines: Vec::new(),
            deliveries: BinaryHeap::new(),
            contents: HashMap::new(),
            requests: Vec::new(),
            tolerance,
        };
        for _ in 0..gateways {
            fleet.join();
        }
        fleet
    }

    /// A random number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.rng.next_u64() % end.max(1)
    }

    fn chance(&mut self, thousandths: u64) -> bool {
        thousandths > 0 && self.below(1_000) < thousandths
    }

    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Adds a gateway.
    pub fn join(&mut self) -> usize {
        let at = self.machines.len();
        let vm = format!("10.0.0.{at}").parse().unwrap();
        self.machines.push(Machine {
            id: GatewayId::of(&vm),
            node: None,
            started: 0,
            ended: None,
            clock_offset: 0,
            clock_drift: 0,
            frozen_until: 0,
            inbox: Vec::new(),
            side: 0,
            unheard_since: None,
        });
        self.start(at);
        at
    }

    /// Starts a gateway that was killed, at another time of day.
    pub fn start(&mut self, at: usize) {
        let offset = self.below(1_000_000_000);
        let drift = self.below(2_000);
        let term = OwnerTerm(self.rng.next_u64());
        let machine = &mut self.machines[at];
        machine.clock_offset = offset;
        machine.clock_drift = drift;
        machine.started = self.now;
        machine.ended = None;
        machine.frozen_until = 0;
        let mut node = LimitNode::new(LimitNodeOptions {
            own: machine.id,
            term,
            tolerance: self.tolerance,
        });
        node.set_accounts((0..64).map(account));
        machine.node = Some(node);
    }

    /// Ends a gateway at once.
    pub fn kill(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        if machine.node.take().is_some() {
            machine.ended = Some(self.now);
        }
        machine.inbox.clear();
    }

    pub fn is_running(&self, at: usize) -> bool {
        self.machines[at].node.is_some()
    }

    pub fn freeze(&mut self, at: usize, time: u64) {
        let until = self.now + time;
        self.machines[at].frozen_until = self.machines[at].frozen_until.max(until);
    }

    /// Moves a gateway to one side of a partition.
    pub fn set_side(&mut self, at: usize, side: u8) {
        self.machines[at].side = side;
    }

    pub fn set_hears_keepers(&mut self, at: usize, hears: bool) {
        let since = &mut self.machines[at].unheard_since;
        *since = (!hears).then_some(since.unwrap_or(self.now));
    }

    /// The owners of an account, best first, as a gateway sees them.
    pub fn owners(&self, gateway: usize, account_number: usize) -> Vec<usize> {
        let machine = &self.machines[gateway];
        let node = machine.node.as_ref().unwrap();
        let ids = node.owners(machine.clock(self.now), account(account_number));
        ids.iter().map(|id| self.position(*id)).collect()
    }

    fn position(&self, id: GatewayId) -> usize {
        let found = self.machines.iter().position(|machine| machine.id == id);
        found.unwrap()
    }

    /// Sends a request of an account to a gateway.
    pub fn request(&mut self, gateway: usize, account_number: usize, terms: LimitTerms) {
        let now = self.now;
        let machine = &mut self.machines[gateway];
        if machine.frozen_until > now {
            return;
        }
        let clock = machine.clock(now);
        let Some(node) = &mut machine.node else {
            return;
        };
        let waiter = Waiter(self.requests.len() as u64);
        self.requests.push((account_number, gateway));
        node.request(clock, account(account_number), terms, waiter);
        self.collect(gateway);
    }

    /// Gives back the permit of a request that was admitted.
    pub fn give_back(&mut self, number: usize) {
        let now = self.now;
        let passed = &mut self.passed[number];
        let machine = &mut self.machines[passed.gateway];
        let clock = machine.clock(now);
        if machine.frozen_until > now || passed.at < machine.started || passed.is_given_back {
            return;
        }
        if let Some(node) = &mut machine.node {
            passed.is_given_back = true;
            node.give_back(clock, &passed.permit);
            let gateway = passed.gateway;
            self.collect(gateway);
        }
    }

    /// Advances the true time by a millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        while self.deliveries.peek().is_some_and(|next| next.0.at <= now) {
            let Reverse(next) = self.deliveries.pop().unwrap();
            let message = self.contents[&next.number];
            let from = self.machines[next.from].id;
            self.machines[next.to].inbox.push((from, message));
        }
        for at in 0..self.machines.len() {
            self.run(at);
        }
    }

    pub fn run_for(&mut self, time: u64) {
        for _ in 0..time {
            self.step();
        }
    }

    fn run(&mut self, at: usize) {
        let now = self.now;
        let listed = (now + at as u64).is_multiple_of(LIST_INTERVAL);
        let others: Vec<GatewayId> = if listed { self.list(at) } else { Vec::new() };
        let machine = &mut self.machines[at];
        if machine.frozen_until > now {
            return;
        }
        let clock = machine.clock(now);
        let inbox = std::mem::take(&mut machine.inbox);
        let Some(node) = &mut machine.node else {
            return;
        };
        if listed && machine.unheard_since.is_none() {
            node.set_gateways(clock, &others, true);
        }
        for (from, message) in inbox {
            node.receive(clock, from, &message);
        }
        if (now + 7 * at as u64).is_multiple_of(TICK_INTERVAL.0) {
            node.tick(clock);
        }
        self.collect(at);
    }

    fn list(&self, own: usize) -> Vec<GatewayId> {
        let is_listed = |machine: &Machine| {
            let unheard = machine.ended.or(machine.unheard_since);
            unheard.is_none_or(|since| self.now < since + UNLIST_TIME)
        };
        let others = self.machines.iter().enumerate();
        others
            .filter(|(at, machine)| *at != own && is_listed(machine))
            .map(|(_, machine)| machine.id)
            .collect()
    }

    fn collect(&mut self, from: usize) {
        let Some(node) = &mut self.machines[from].node else {
            return;
        };
        for output in node.take_outputs() {
            match output {
                Output::Send { to, message } => self.send(from, self.position(to), message),
                Output::Decided { waiter, admission } => {
                    let (account, gateway) = self.requests[waiter.0 as usize];
                    match admission {
                        Admission::Admitted(permit) => self.passed.push(Passed {
                            account,
                            gateway,
                            at: self.now,
                            permit,
                            is_given_back: false,
                        }),
                        Admission::Refused(refused) => {
                            self.refused.push((account, self.now, refused.reason));
                        }
                    }
                }
                Output::Event(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: LimitMessage) {
        self.messages += 1;
        let is_cut = self.machines[from].side != self.machines[to].side;
        let copies = if self.chance(self.faults.doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if is_cut || self.chance(self.faults.lost) {
                continue;
            }
            let is_late = self.chance(self.faults.late);
            let delay = 1 + self.below(if is_late { 6_000 } else { 3 });
            let number = self.contents.len() as u64;
            self.contents.insert(number, message);
            self.deliveries.push(Reverse(Delivery {
                at: self.now + delay,
                number,
                from,
                to,
            }));
        }
    }

    /// Times at which requests of an account were passed on.
    pub fn passed_times(&self, account: usize) -> Vec<u64> {
        let passed = self.passed.iter();
        passed
            .filter(|passed| passed.account == account && !passed.is_given_back)
            .map(|passed| passed.at)
            .collect()
    }

    /// Number of requests of an account that were passed on in a range of time.
    pub fn passed_in(&self, account: usize, from: u64, to: u64) -> usize {
        let times = self.passed_times(account);
        times.iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Number of requests of an account that were refused in a range of time.
    pub fn refused_in(&self, account: usize, from: u64, to: u64) -> usize {
        let refused = self.refused.iter();
        refused
            .filter(|(refused, at, _)| *refused == account && (from..to).contains(at))
            .count()
    }
}

/// The window with the most requests above its bound: their number, the bound and its start.
/// `terms_at` gives the limit for windows that start at a time.
pub fn worst_window(
    times: &[u64],
    tolerance: LimitTolerance,
    terms_at: impl Fn(u64) -> LimitTerms,
) -> (f64, f64, u64) {
    let mut worst = (0.0, f64::INFINITY, 0);
    let mut end = 0;
    for (first, start) in times.iter().enumerate() {
        while end < times.len() && times[end] < start + tolerance.window.0 {
            end += 1;
        }
        let count = (end - first) as f64;
        let bound = tolerance.bound(terms_at(*start));
        if count - bound > worst.0 - worst.1 {
            worst = (count, bound, *start);
        }
    }
    worst
}

impl Fleet {
    /// The best owner of an account in the view of any running gateway.
    pub fn owners_of_any(&self, account_number: usize) -> Option<usize> {
        let running = (0..self.len()).find(|at| self.is_running(*at))?;
        self.owners(running, account_number).first().copied()
    }

    /// Sum of the shares of an account that all gateways own, whose clocks differ.
    pub fn leased_share(&self, account_number: usize) -> f64 {
        let share = |machine: &Machine| {
            let node = machine.node.as_ref()?;
            Some(node.leased_share(machine.clock(self.now), account(account_number)))
        };
        self.machines.iter().filter_map(share).sum()
    }
}
