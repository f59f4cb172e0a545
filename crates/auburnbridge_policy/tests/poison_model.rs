//! Model of gateways, targets and callers, for the detection of poison requests.
//!
//! The decisions are those of [`Suspects`]; the model adds targets that go down by themselves, callers that
//! send failed requests again, and messages between gateways that are late or lost. Two properties are
//! checked for each seed: no sound request is refused, and a poison request reaches targets at most
//! [`LATE_RUNS`] times later than [`CONTACT_WINDOW_MS`] after it crashed the third one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use auburnbridge_policy::poison::{
    Admission, CLAIM_SENDS, CRASHES_ALONE, CrashReport, FIRST_REFUSAL_TIME, RunHistory,
    SETTLING_TIME, SuspectReport, Suspects,
};
use auburnbridge_types::{Incarnation, Millis, RequestDigest, RunId, Timestamp};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CONTACT_WINDOW_MS: u64 = 3_000;
/// Runs of a poison request that the platform's rules allow after the contact window.
const LATE_RUNS: usize = 3;
/// Longest time until a gateway has noticed a crash.
const DETECTION_MS: u64 = 4;
/// Longest time until a report of a gateway has reached another one.
const MESSAGE_MS: u64 = 6;
/// Time of the first outage.
const FIRST_OUTAGE_MS: u64 = 500;
/// Resends of a report, as gateways do.
const RESENDS: u32 = 3;
const FIRST_RESEND_MS: u64 = 100;
const RESEND_INTERVAL_MS: u64 = 600;
/// Interval at which a request that waits for the trial tries again.
const RETRY_MS: u64 = 5;

/// A request that its caller sends again and again.
#[derive(Clone, Copy, Debug)]
struct Load {
    is_poison: bool,
    /// Copies that are sent at the same time.
    copies: usize,
    /// Targets to which one copy may be sent.
    max_attempts: u32,
    /// Duration of a run until its answer, or until it crashes its target.
    work_ms: u64,
    /// Time between the end of a copy and the next one.
    pause_ms: u64,
    /// Whether the caller sends another request after an answer.
    is_new_each_time: bool,
}

impl Load {
    /// A page that several callers behind one address poll.
    const PAGE: Self = Self {
        is_poison: false,
        copies: 6,
        max_attempts: 2,
        work_ms: 200,
        pause_ms: 20,
        is_new_each_time: false,
    };
    /// Requests of which each is sent until it is answered.
    const LOOKUP: Self = Self {
        copies: 1,
        is_new_each_time: true,
        ..Self::PAGE
    };
    /// A request that crashes what runs it.
    const POISON: Self = Self {
        is_poison: true,
        copies: 1,
        work_ms: 2,
        pause_ms: 400,
        ..Self::PAGE
    };
}

/// How targets go down by themselves.
#[derive(Clone, Copy, Debug)]
enum Outages {
    None,
    /// A part of the targets goes down and up, each once a period.
    Flapping {
        percent: usize,
        period_ms: u64,
    },
    /// A part of the targets goes down at one moment, again and again.
    Together {
        percent: usize,
        period_ms: u64,
    },
    /// A target that runs the first load's request goes down, one after another.
    Following {
        crashes: usize,
        period_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    gateways: usize,
    targets: usize,
    outages: Outages,
    /// Share of the messages between gateways that is lost.
    loss: f64,
    duration_ms: u64,
}

impl Scenario {
    const SMALL: Self = Self {
        gateways: 4,
        targets: 8,
        outages: Outages::None,
        loss: 0.01,
        duration_ms: 20_000,
    };
}

#[derive(Clone, Debug)]
enum Event {
    /// A copy of a load's request reaches a gateway.
    Arrive(Copy),
    /// A copy tries to be sent to a target.
    Try(Copy),
    /// The time for other claims has passed.
    Settled(Copy, RunId),
    /// The run ends, by an answer or the crash of its target.
    End(usize),
    /// A gateway has noticed that the target of a run crashed.
    Noticed(Run),
    Deliver {
        from: usize,
        to: usize,
        report: SuspectReport,
    },
    Send {
        from: usize,
        report: SuspectReport,
        resends: u32,
    },
    Outage,
    Up(usize),
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
struct Copy {
    load: usize,
    request: u32,
    gateway: usize,
    attempts_left: u32,
}

#[derive(Clone, Debug)]
struct Run {
    copy: Copy,
    target: usize,
    incarnation: Incarnation,
    history: RunHistory,
    claim: Option<RunId>,
    id: RunId,
    sent: u64,
}

struct Target {
    incarnation: Incarnation,
    is_up: bool,
}

struct Model {
    scenario: Scenario,
    loads: Vec<Load>,
    rng: StdRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    by_number: BTreeMap<usize, Event>,
    next_event: usize,
    gateways: Vec<Suspects>,
    targets: Vec<Target>,
    /// Runs under way, by number.
    runs: BTreeMap<usize, Run>,
    next_run: usize,
    next_request: u32,
    outages: usize,
    /// Times of the runs and crashes by request of poison loads.
    poison_runs: BTreeMap<u32, Vec<u64>>,
    poison_crashes: BTreeMap<u32, Vec<u64>>,
    refusals_of_sound: Vec<(u64, usize)>,
    refusals_of_poison: usize,
    answers: usize,
}

fn digest(request: u32) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&request.to_be_bytes());
    RequestDigest(bytes)
}

impl Model {
    fn run(scenario: Scenario, loads: &[Load], seed: u64) -> Self {
        let mut model = Self {
            scenario,
            loads: loads.to_vec(),
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            by_number: BTreeMap::new(),
            next_event: 0,
            gateways: vec![Suspects::default(); scenario.gateways],
            targets: Vec::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            next_request: 0,
            outages: 0,
            poison_runs: BTreeMap::new(),
            poison_crashes: BTreeMap::new(),
            refusals_of_sound: Vec::new(),
            refusals_of_poison: 0,
            answers: 0,
        };
        for _ in 0..scenario.targets {
            model.targets.push(Target {
                incarnation: Incarnation(1),
                is_up: true,
            });
        }
        for (load, shape) in loads.iter().enumerate() {
            model.next_request += 1;
            for _ in 0..shape.copies {
                model.send_copy(load, model.next_request, shape.pause_ms / 8);
            }
        }
        model.schedule(FIRST_OUTAGE_MS, Event::Outage);
        while let Some(Reverse((at, number))) = model.events.pop() {
            if at > scenario.duration_ms {
                break;
            }
            model.now = at;
            let event = model.by_number.remove(&number).unwrap();
            model.handle(event);
        }
        model
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.by_number.insert(self.next_event, event);
        self.events
            .push(Reverse((self.now + delay, self.next_event)));
    }

    fn time(&self) -> Timestamp {
        Timestamp(1_000_000 + self.now)
    }

    fn send_copy(&mut self, load: usize, request: u32, spread_ms: u64) {
        let copy = Copy {
            load,
            request,
            gateway: self.rng.random_range(0..self.gateways.len()),
            attempts_left: self.loads[load].max_attempts,
        };
        let delay = self.rng.random_range(0..=spread_ms);
        self.schedule(delay, Event::Arrive(copy));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(copy) | Event::Try(copy) => self.admit(copy),
            Event::Settled(copy, claim) => {
                let (now, request) = (self.time(), digest(copy.request));
                if self.gateways[copy.gateway].has_won(now, &request, claim) {
                    self.start(copy, Some(claim));
                } else {
                    self.gateways[copy.gateway].trial.end_run(claim);
                    self.admit(copy);
                }
            }
            Event::End(run) => self.end(run),
            Event::Noticed(run) => self.notice_crash(run),
            Event::Deliver { from, to, report } => {
                let now = self.time();
                if let Some(answer) = self.gateways[to].record(now, &report) {
                    self.send(to, from, answer);
                }
            }
            Event::Send {
                from,
                report,
                resends,
            } => self.broadcast(from, report, resends),
            Event::Outage => self.outage(),
            Event::Up(target) => self.targets[target].is_up = true,
        }
    }

    fn admit(&mut self, copy: Copy) {
        let (now, request) = (self.time(), digest(copy.request));
        match self.gateways[copy.gateway].admit(now, &request) {
            Admission::Refuse(_) => {
                if self.loads[copy.load].is_poison {
                    self.refusals_of_poison += 1;
                } else {
                    self.refusals_of_sound.push((self.now, copy.load));
                }
                self.finish(&copy, false);
            }
            Admission::Wait(_) => self.schedule(RETRY_MS, Event::Try(copy)),
            Admission::Run | Admission::Trial
                if !self.targets.iter().any(|target| target.is_up) =>
            {
                self.schedule(RETRY_MS, Event::Try(copy));
            }
            Admission::Run => self.start(copy, None),
            Admission::Trial => {
                let claim = RunId(self.rng.random());
                self.gateways[copy.gateway].claim(now, request, claim);
                let report = SuspectReport::Trial {
                    request,
                    run: claim,
                };
                self.broadcast(copy.gateway, report.clone(), 0);
                for send in 1..CLAIM_SENDS {
                    let again = Event::Send {
                        from: copy.gateway,
                        report: report.clone(),
                        resends: 0,
                    };
                    self.schedule(SETTLING_TIME.0 / CLAIM_SENDS * send, again);
                }
                self.schedule(SETTLING_TIME.0, Event::Settled(copy, claim));
            }
        }
    }

    fn start(&mut self, copy: Copy, claim: Option<RunId>) {
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].is_up)
            .collect();
        if up.is_empty() {
            self.release(copy.gateway, claim);
            self.schedule(RETRY_MS, Event::Try(copy));
            return;
        }
        let target = up[self.rng.random_range(0..up.len())];
        let load = self.loads[copy.load];
        if load.is_poison {
            self.poison_runs
                .entry(copy.request)
                .or_default()
                .push(self.now);
        }
        let now = self.time();
        let history = self.gateways[copy.gateway]
            .table
            .history(now, &digest(copy.request));
        let run = Run {
            copy,
            target,
            incarnation: self.targets[target].incarnation,
            history,
            claim,
            id: claim.unwrap_or_else(|| RunId(self.rng.random())),
            sent: self.now,
        };
        self.next_run += 1;
        self.runs.insert(self.next_run, run);
        let work = load.work_ms;
        let time = self.rng.random_range(work / 2..=work * 3 / 2);
        self.schedule(time, Event::End(self.next_run));
    }

    fn end(&mut self, number: usize) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let (target, request) = (run.target, run.copy.request);
        if self.loads[run.copy.load].is_poison {
            let crashes = self.poison_crashes.entry(request).or_default();
            crashes.push(self.now);
            self.take_down(target);
            return;
        }
        let Run { copy, claim, .. } = self.runs.remove(&number).unwrap();
        self.answers += 1;
        let report = self.gateways[copy.gateway].record_answer(&digest(request));
        if let Some(report) = report {
            self.broadcast(copy.gateway, report, RESENDS);
        }
        self.release(copy.gateway, claim);
        self.finish(&copy, true);
    }

    /// Ends a target with all its runs.
    fn take_down(&mut self, target: usize) {
        if !self.targets[target].is_up {
            return;
        }
        self.targets[target].is_up = false;
        self.targets[target].incarnation.0 += 1;
        let down_ms = self.rng.random_range(200..2_000);
        self.schedule(down_ms, Event::Up(target));
        let ended: Vec<Run> = self
            .runs
            .extract_if(.., |_, run| run.target == target)
            .map(|(_, run)| run)
            .collect();
        for run in ended {
            let delay = self.rng.random_range(0..=DETECTION_MS);
            self.schedule(delay, Event::Noticed(run));
        }
    }

    fn notice_crash(&mut self, run: Run) {
        let Run {
            mut copy,
            claim,
            target,
            ..
        } = run;
        let report = SuspectReport::Crashed(CrashReport {
            request: digest(copy.request),
            target: format!("t-{target}").parse().unwrap(),
            incarnation: run.incarnation,
            run: run.id,
            history: run.history,
            run_time: Millis(self.now - run.sent),
        });
        let now = self.time();
        self.gateways[copy.gateway].record(now, &report);
        self.broadcast(copy.gateway, report, RESENDS);
        self.release(copy.gateway, claim);
        copy.attempts_left -= 1;
        if copy.attempts_left > 0 {
            self.admit(copy);
        } else {
            self.finish(&copy, false);
        }
    }

    fn release(&mut self, gateway: usize, claim: Option<RunId>) {
        if let Some(claim) = claim {
            self.gateways[gateway].trial.end_run(claim);
        }
    }

    /// The caller sends the next request, or the same one again.
    fn finish(&mut self, copy: &Copy, is_answered: bool) {
        let load = self.loads[copy.load];
        let mut request = copy.request;
        if is_answered && load.is_new_each_time {
            self.next_request += 1;
            request = self.next_request;
        }
        let next = Copy {
            request,
            gateway: self.rng.random_range(0..self.gateways.len()),
            attempts_left: load.max_attempts,
            ..*copy
        };
        self.schedule(load.pause_ms, Event::Arrive(next));
    }

    fn send(&mut self, from: usize, to: usize, report: SuspectReport) {
        if self.rng.random_bool(1.0 - self.scenario.loss) {
            let delay = self.rng.random_range(1..=MESSAGE_MS);
            self.schedule(delay, Event::Deliver { from, to, report });
        }
    }

    fn broadcast(&mut self, from: usize, report: SuspectReport, resends: u32) {
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            self.send(from, to, report.clone());
        }
        if resends > 0 {
            let delay = if resends == RESENDS {
                FIRST_RESEND_MS
            } else {
                RESEND_INTERVAL_MS
            };
            let resends = resends - 1;
            let report = report.after(Millis(delay));
            self.schedule(
                delay,
                Event::Send {
                    from,
                    report,
                    resends,
                },
            );
        }
    }

    fn outage(&mut self) {
        let count = |percent: usize| (self.targets.len() * percent).div_ceil(100);
        let period = match self.scenario.outages {
            Outages::None => return,
            Outages::Flapping { percent, period_ms } => {
                let flapping = count(percent);
                self.take_down(self.outages % flapping);
                period_ms / flapping as u64
            }
            Outages::Together { percent, period_ms } => {
                let first = self.rng.random_range(0..self.targets.len());
                for offset in 0..count(percent) {
                    self.take_down((first + offset) % self.targets.len());
                }
                period_ms
            }
            Outages::Following { crashes, period_ms } => {
                let followed = self.runs.values().find(|run| run.copy.load == 0);
                if let Some(target) = followed.map(|run| run.target) {
                    self.take_down(target);
                }
                if self.outages + 1 >= crashes {
                    return;
                }
                period_ms
            }
        };
        self.outages += 1;
        self.schedule(period.max(1), Event::Outage);
    }

    /// Runs of a poison request later than the contact window after its third crash.
    fn late_runs(&self) -> usize {
        let late = self.poison_runs.iter().map(|(request, runs)| {
            let crashes = self.poison_crashes.get(request);
            let third = crashes.and_then(|crashes| crashes.get(2));
            third.map_or(0, |third| {
                let window = third + CONTACT_WINDOW_MS;
                runs.iter().filter(|at| **at > window).count()
            })
        });
        late.max().unwrap_or(0)
    }
}

/// Runs a scenario with several seeds; fails on the first one that breaks a property.
fn check(scenario: Scenario, loads: &[Load], seeds: u64) {
    let mut answers = 0;
    let mut poison_crashes = 0;
    for seed in 0..seeds {
        let model = Model::run(scenario, loads, seed);
        let case = format!("seed {seed}, {scenario:?}, {loads:?}");
        assert_eq!(
            model.refusals_of_sound,
            [],
            "sound requests refused: {case}"
        );
        let late = model.late_runs();
        assert!(late <= LATE_RUNS, "{late} late runs: {case}");
        let crashes = model.poison_crashes.values().map(Vec::len);
        poison_crashes += crashes.sum::<usize>();
        answers += model.answers;
        if loads.iter().any(|load| load.is_poison) {
            assert!(model.refusals_of_poison > 0, "nothing refused: {case}");
        }
    }
    println!(
        "{seeds} seeds: {answers} answers, {poison_crashes} crashes by poison requests, {scenario:?}"
    );
}

/// The parts and times of the platform's outages.
const OUTAGES: [Outages; 2] = [
    Outages::Flapping {
        percent: 17,
        period_ms: 1_000,
    },
    Outages::Together {
        percent: 17,
        period_ms: 700,
    },
];

/// Outages that are several times as heavy.
const HEAVY_OUTAGES: [Outages; 2] = [
    Outages::Flapping {
        percent: 50,
        period_ms: 1_000,
    },
    Outages::Together {
        percent: 60,
        period_ms: 3_000,
    },
];

const SOUND_LOADS: [Load; 3] = [Load::PAGE, Load::LOOKUP, Load::LOOKUP];

fn outage_scenarios(outages: &[Outages]) -> Vec<Scenario> {
    let scenarios = outages.iter().flat_map(|outages| {
        [6, 26].map(|targets| Scenario {
            targets,
            outages: *outages,
            ..Scenario::SMALL
        })
    });
    scenarios.collect()
}

fn check_sound_requests(outages: &[Outages], seeds: u64) {
    for scenario in outage_scenarios(outages) {
        check(scenario, &SOUND_LOADS, seeds);
    }
}

/// Guards against sound requests that are refused because targets that ran them went down by chance, one
/// at a time or together.
#[test]
fn sound_requests_are_served_while_targets_go_down_by_chance() {
    check_sound_requests(&OUTAGES, 150);
    check_sound_requests(&HEAVY_OUTAGES, 150);
}

/// Guards against a page that is refused because targets go down one after another while they run it.
#[test]
fn page_is_served_while_targets_that_run_it_go_down_one_after_another() {
    for period_ms in [300, 1_000] {
        let outages = Outages::Following {
            crashes: 12,
            period_ms,
        };
        let scenario = Scenario {
            targets: 26,
            outages,
            ..Scenario::SMALL
        };
        check(scenario, &[Load::PAGE], 300);
    }
}

/// Guards against a sound request that stays refused. Here each run of a page ends with its target before
/// an answer could come, which nothing tells from a poison request while it lasts.
#[test]
fn page_that_was_refused_by_mistake_is_served_again_after_seconds() {
    const CRASHES: usize = 12;
    const PERIOD_MS: u64 = 50;
    let outages = Outages::Following {
        crashes: CRASHES,
        period_ms: PERIOD_MS,
    };
    let scenario = Scenario {
        targets: 26,
        outages,
        ..Scenario::SMALL
    };
    let end = FIRST_OUTAGE_MS + CRASHES as u64 * PERIOD_MS + FIRST_REFUSAL_TIME.0;
    let mut refused = 0;
    for seed in 0..300 {
        let model = Model::run(scenario, &[Load::PAGE], seed);
        let last = model.refusals_of_sound.last();
        assert!(
            last.is_none_or(|(at, _)| *at <= end),
            "seed {seed}: {last:?}"
        );
        refused += usize::from(last.is_some());
    }
    println!("refused for some seconds in {refused} of 300 seeds");
}

/// Guards against a request that is refused since the targets of a few of its runs in a row went down.
#[test]
fn lookup_is_served_after_four_crashes_in_a_row() {
    for period_ms in [150, 500, 2_000] {
        let outages = Outages::Following {
            crashes: CRASHES_ALONE as usize - 1,
            period_ms,
        };
        let scenario = Scenario {
            outages,
            ..Scenario::SMALL
        };
        check(scenario, &[Load::LOOKUP], 300);
    }
}

fn check_poison_requests(seeds: u64) {
    let outages = [Outages::None, OUTAGES[0], OUTAGES[1]];
    for (gateways, targets) in [(2, 6), (16, 26)] {
        for outages in outages {
            for (copies, pause_ms, max_attempts, work_ms) in [
                (1, 400, 2, 2),
                (1, 5_000, 1, 2),
                (4, 50, 2, 2),
                (8, 4_000, 1, 2),
                (3, 6_000, 3, 2),
                (1, 400, 2, 400),
                (4, 50, 2, 400),
                (8, 4_000, 1, 400),
                (8, 6_000, 1, 1_000),
            ] {
                let scenario = Scenario {
                    gateways,
                    targets,
                    outages,
                    duration_ms: 40_000,
                    ..Scenario::SMALL
                };
                let poison = Load {
                    copies,
                    max_attempts,
                    work_ms,
                    pause_ms,
                    ..Load::POISON
                };
                // Sound requests show the gateways the targets that go down by themselves.
                let loads = [poison, Load::PAGE, Load::LOOKUP, Load::LOOKUP];
                check(scenario, &loads, seeds);
            }
        }
    }
}

/// Guards against a poison request that reaches targets more often than the platform's rules allow,
/// from one caller or several at once, at a quick or a slow pace, at any gateway.
#[test]
fn poison_request_is_stopped_at_all_gateways() {
    check_poison_requests(40);
}

/// Guards against two poison requests that hide behind each other's crashes.
#[test]
fn two_poison_requests_at_once_are_both_stopped() {
    for pause_ms in [50, 4_000] {
        let poison = Load {
            pause_ms,
            ..Load::POISON
        };
        let scenario = Scenario {
            targets: 26,
            duration_ms: 60_000,
            ..Scenario::SMALL
        };
        check(scenario, &[poison, poison], 200);
    }
}

fn check_sound_beside_poison(seeds: u64) {
    for targets in [3, 6, 26] {
        for pause_ms in [20, 400] {
            let scenario = Scenario {
                targets,
                ..Scenario::SMALL
            };
            let poison = Load {
                pause_ms,
                copies: 2,
                ..Load::POISON
            };
            let loads = [poison, Load::PAGE, Load::LOOKUP, Load::LOOKUP, Load::LOOKUP];
            check(scenario, &loads, seeds);
        }
    }
}

/// Guards against sound requests that are refused because they ran beside one that crashed their targets.
#[test]
fn sound_requests_beside_a_poison_request_are_served() {
    check_sound_beside_poison(150);
}

/// The properties with many seeds, by hand: `cargo test --release ... -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn many_seeds_of_sound_requests() {
    check_sound_requests(&OUTAGES, 5_000);
}

#[test]
#[ignore = "takes minutes"]
fn many_seeds_of_poison_requests() {
    check_poison_requests(500);
}

#[test]
#[ignore = "takes minutes"]
fn many_seeds_beside_a_poison_request() {
    check_sound_beside_poison(3_000);
}

/// Prints how often a sound request is refused in outages that are heavier than the platform's.
#[test]
#[ignore = "prints figures"]
fn print_refusals_in_heavy_outages() {
    for scenario in outage_scenarios(&HEAVY_OUTAGES) {
        let models = (0..5_000).map(|seed| Model::run(scenario, &SOUND_LOADS, seed));
        let refused = models.filter(|model| !model.refusals_of_sound.is_empty());
        println!("{} of 5000 seeds, {scenario:?}", refused.count());
    }
}
