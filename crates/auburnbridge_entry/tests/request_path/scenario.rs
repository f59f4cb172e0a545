//! A caller that sends one request through two entries while planned faults happen.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, LazyLock};
use std::task::{Context, Poll, Waker};

use auburnbridge_caller::{Disconnect, DisconnectSignal, OUTCOME_HEADER, Service};
use auburnbridge_entry::{
    DEADLINE_HEADER, Entry, KEY_HEADER, Location, PREVIOUS_ATTEMPTS_HEADER, Ports, RulesInForce,
    TaskSpawner,
};
use auburnbridge_http::{Limits, Request, Response};
use auburnbridge_metrics::Metrics;
use auburnbridge_policy::{Member, Presence};
use auburnbridge_rules::Rules;
use auburnbridge_types::{
    BoxFuture, Clock, IdempotencyKey, Incarnation, Millis, Revision, ServiceName, Slots, Timestamp,
};
use parking_lot::Mutex;
use strum::{Display, EnumIter};

use crate::fakes::{EntryClock, Reached, SEND_HEADER, World, answer_to};
use crate::fault::{Fault, Step};

pub const START: Timestamp = Timestamp(1_700_000_000_000);
pub const TIMEOUT: Millis = Millis(2_000);
/// Beyond the request's deadline and the time for which its grant counts as in progress after it.
const PAST_DEADLINE: Millis = Millis(4_500);
const SHORT_WAIT: Millis = Millis(200);
const SLOW: Millis = Millis(1_200);
const TICK: Millis = Millis(50);
/// Clock steps after which a scenario without an answer has failed.
const TICK_LIMIT: usize = 400;
/// Polls of each future after which nothing moves without the clock.
const POLLS: usize = 4;
/// Sends of one caller.
const SENDS: usize = 3;
const SCHEDULED_SENDS: usize = 5;
pub const ENTRIES: usize = 2;
const RULES: &str = "\
service stock slots-floor 1 slots-per-target 3 ejection careful # asked by the tests
route GET /bins/* to stock idempotent timeout 2s # asked by the tests
route POST /slips to stock once timeout 2s # asked by the tests
route HEAD /slips to stock once timeout 2s # asked by the tests
account default limit 5000/s burst 5000 # asked by the tests
";

/// What the caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Caller {
    /// A keyed request, with the number of the earlier sends.
    Numbered,
    /// A keyed request.
    Unnumbered,
    /// An idempotent request.
    Idempotent,
}

/// What the caller of one send knows of its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Nothing,
    Response(Response),
}

struct SendState {
    entry: usize,
    /// `None` once the send has ended.
    future: Option<Pin<Box<dyn Future<Output = Option<Response>>>>>,
    disconnect: Option<DisconnectSignal>,
    told: Option<Told>,
}

/// TaskSpawner of one entry that outlive their request; the scenario polls them beside the sends.
#[derive(Default)]
pub struct EntryTasks {
    started: Mutex<Vec<BoxFuture<'static, ()>>>,
}

impl TaskSpawner for EntryTasks {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        self.started.lock().push(task);
    }
}

/// Runs each task to its end at once, for tests in which nothing holds it up.
pub struct ImmediateTasks;

impl TaskSpawner for ImmediateTasks {
    fn spawn(&self, mut task: BoxFuture<'static, ()>) {
        let mut cx = Context::from_waker(Waker::noop());
        assert!(task.as_mut().poll(&mut cx).is_ready(), "the task waits");
    }
}

/// A task with the send that started it.
struct RunningTask {
    send: usize,
    future: BoxFuture<'static, ()>,
}

/// The run of one request.
pub struct Scenario {
    pub world: Arc<World>,
    pub entries: Vec<Arc<Entry>>,
    tasks: Vec<Arc<EntryTasks>>,
    running_tasks: Vec<RunningTask>,
    caller: Caller,
    body: Vec<u8>,
    key: IdempotencyKey,
    sends: Vec<SendState>,
    frozen: Vec<usize>,
    most_sends: usize,
    /// How long the caller waits for each send, in turn.
    waits: Vec<Millis>,
}

pub fn rules() -> Arc<Rules> {
    static PARSED: LazyLock<Arc<Rules>> = LazyLock::new(|| Arc::new(Rules::parse(RULES).unwrap()));
    Arc::clone(&PARSED)
}

pub fn stock() -> ServiceName {
    "stock".parse().unwrap()
}

pub fn member(number: u16) -> Member {
    Member {
        id: format!("target-{number}").parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        data_centre: "north".parse().unwrap(),
        incarnation: Incarnation(1),
        slots: Slots(3),
        presence: Presence::Ready,
    }
}

pub fn start_entry(
    world: &Arc<World>,
    targets: &[Member],
    tasks: Arc<dyn TaskSpawner>,
) -> Arc<Entry> {
    let seed = {
        let mut state = world.state.lock();
        state.entries_started += 1;
        state.seed + state.entries_started
    };
    let ports = Ports {
        clock: Arc::new(EntryClock(Arc::clone(world))),
        ledger: Arc::clone(world) as _,
        targets: Arc::clone(world) as _,
        crashes: Arc::clone(world) as _,
        tasks,
        metrics: Arc::new(Metrics::new(None).unwrap()),
        seed,
    };
    let location = Location {
        vm: "entry".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
    };
    let entry = Entry::new(location, Limits::default(), ports);
    let now = world.clock.now();
    let in_force = RulesInForce {
        revision: Revision(1),
        rules: rules(),
    };
    assert!(entry.put_in_force(now, in_force));
    entry.fleets().update(now, &stock(), targets);
    Arc::new(entry)
}

/// Polls a future once, without a waker: the scenario polls until nothing moves.
pub fn poll<T>(future: &mut Pin<Box<dyn Future<Output = T>>>) -> Option<T> {
    match future
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
    {
        Poll::Ready(value) => Some(value),
        Poll::Pending => None,
    }
}

impl Scenario {
    /// A request with a resend for each send without a known outcome.
    pub fn new(caller: Caller, plan: &[(Step, Fault)]) -> Self {
        Self::over(World::new(START, plan), caller, SENDS)
    }

    /// A request whose steps and resends a schedule decides about.
    pub fn scheduled(caller: Caller, seed: u64) -> Self {
        let world = World::new(START, &[]);
        {
            let mut state = world.state.lock();
            state.is_scheduled = true;
            state.seed = seed;
        }
        let mut scenario = Self::over(world, caller, SCHEDULED_SENDS);
        // A resend that gives up first may withdraw while an earlier send can still be granted.
        scenario.waits.push(SHORT_WAIT);
        scenario
    }

    fn over(world: Arc<World>, caller: Caller, most_sends: usize) -> Self {
        let targets = [member(1), member(2)];
        let tasks: Vec<Arc<EntryTasks>> = (0..ENTRIES).map(|_| Arc::default()).collect();
        let entries: Vec<_> = tasks
            .iter()
            .map(|tasks| start_entry(&world, &targets, Arc::clone(tasks) as _))
            .collect();
        world.state.lock().entries.clone_from(&entries);
        Self {
            world,
            entries,
            tasks,
            running_tasks: Vec::new(),
            caller,
            body: b"slip 7".to_vec(),
            key: IdempotencyKey::from_parts(START, [7; 10]),
            sends: Vec::new(),
            frozen: Vec::new(),
            most_sends,
            waits: vec![TIMEOUT],
        }
    }

    fn request(&self, send: usize) -> Request {
        let mut req = match self.caller {
            Caller::Numbered | Caller::Unnumbered => Request::new("POST", "/slips"),
            Caller::Idempotent => Request::new("GET", "/bins/7"),
        };
        req.body = self.body.clone().into();
        req.headers.append(SEND_HEADER, send.to_string());
        let wait = self.waits[send % self.waits.len()];
        req.headers.append(DEADLINE_HEADER, wait.0.to_string());
        if self.caller != Caller::Idempotent {
            req.headers.append(KEY_HEADER, self.key.to_string());
        }
        if self.caller == Caller::Numbered {
            req.headers
                .append(PREVIOUS_ATTEMPTS_HEADER, send.to_string());
        }
        req
    }

    /// Sends the request through an entry, as often as the caller does at most.
    pub fn send(&mut self, entry: usize) {
        if self.sends.len() >= self.most_sends {
            return;
        }
        let req = self.request(self.sends.len());
        let (signal, disconnect) = Disconnect::new();
        let world = Arc::clone(&self.world);
        let server = Arc::clone(&self.entries[entry]);
        let caller = SocketAddr::from(([127, 0, 0, 1], 9));
        let future = async move {
            world.pass(Step::Accept).await;
            let response = server.respond(req, caller, disconnect).await;
            let cut = world.pass(Step::Reply).await;
            (cut != Some(Fault::CutOneWay)).then_some(response)
        };
        self.sends.push(SendState {
            entry,
            future: Some(Box::pin(future)),
            disconnect: Some(signal),
            told: None,
        });
    }

    /// Resends through the entry that the send did not go through.
    pub fn resend(&mut self, send: usize) {
        self.send(ENTRIES - 1 - self.sends[send].entry);
    }

    /// Runs the request and its resends to their ends.
    pub fn run(mut self) -> Self {
        self.send(0);
        self.run_until_done();
        self
    }

    pub fn run_until_done(&mut self) {
        for _ in 0..TICK_LIMIT {
            self.run_until_idle();
            let all_told = self.sends.iter().all(|send| send.future.is_none());
            if all_told && self.running_tasks.is_empty() {
                return;
            }
            self.world.clock.advance(TICK);
        }
        panic!("a send got no answer in {TICK_LIMIT} ticks of {TICK}");
    }

    /// Runs until only the clock can move anything.
    pub fn run_until_idle(&mut self) {
        loop {
            let sends = self.sends.len();
            for _ in 0..POLLS {
                self.poll_sends();
            }
            let reached = self.world.state.lock().reached.pop_front();
            match reached {
                Some(reached) => self.carry_out(reached),
                None if self.sends.len() == sends => return,
                None => {}
            }
        }
    }

    fn poll_sends(&mut self) {
        for at in 0..self.sends.len() {
            if !self.frozen.contains(&self.sends[at].entry) {
                self.poll_send(at);
            }
        }
        self.poll_tasks();
    }

    fn take_started_tasks(&mut self, send: usize) {
        let started = std::mem::take(&mut *self.tasks[self.sends[send].entry].started.lock());
        let tasks = started
            .into_iter()
            .map(|future| RunningTask { send, future });
        self.running_tasks.extend(tasks);
    }

    fn poll_tasks(&mut self) {
        let mut running = std::mem::take(&mut self.running_tasks);
        running.retain_mut(|task| {
            if self.frozen.contains(&self.sends[task.send].entry) {
                return true;
            }
            self.world.state.lock().polled_send = task.send;
            let mut cx = Context::from_waker(Waker::noop());
            task.future.as_mut().poll(&mut cx).is_pending()
        });
        self.running_tasks = running;
    }

    pub fn poll_send(&mut self, at: usize) {
        self.world.state.lock().polled_send = at;
        let Some(future) = &mut self.sends[at].future else {
            return;
        };
        if let Some(response) = poll(future) {
            self.end(at, response);
        }
        self.take_started_tasks(at);
    }

    /// Number of sends so far.
    pub fn sends(&self) -> usize {
        self.sends.len()
    }

    /// Closes the caller's connection of a send.
    pub fn disconnect(&mut self, at: usize) {
        let send = &mut self.sends[at];
        if let Some(signal) = send.disconnect.take() {
            signal.report();
        }
        send.told.get_or_insert(Told::Nothing);
    }

    fn end(&mut self, at: usize, response: Option<Response>) {
        self.world.state.lock().ledger_is_down = false;
        let send = &mut self.sends[at];
        send.future = None;
        send.told
            .get_or_insert(response.map_or(Told::Nothing, Told::Response));
        let is_known = self.sends.iter().any(|send| match &send.told {
            Some(Told::Response(response)) => {
                response.headers.text(OUTCOME_HEADER) != Some("unknown")
            }
            Some(Told::Nothing) | None => false,
        });
        let is_last = at + 1 == self.sends.len();
        if is_last && !is_known {
            self.resend(at);
        }
    }

    /// Kills an entry with all its requests; another process takes its place.
    pub fn kill(&mut self, entry: usize) {
        for send in self.sends.iter_mut().filter(|send| send.entry == entry) {
            if send.future.take().is_some() {
                send.told.get_or_insert(Told::Nothing);
            }
        }
        let sends = &self.sends;
        self.running_tasks
            .retain(|task| sends[task.send].entry != entry);
        self.tasks[entry] = Arc::default();
        let tasks = Arc::clone(&self.tasks[entry]);
        self.entries[entry] = start_entry(&self.world, &[member(1), member(2)], tasks);
        self.world.state.lock().entries.clone_from(&self.entries);
    }

    fn carry_out(&mut self, reached: Reached) {
        let send = reached.send;
        let entry = self.sends[send].entry;
        let is_ledger = matches!(reached.step, Step::LedgerGrant | Step::StoreAnswer);
        match reached.fault {
            Fault::Killed => {
                self.kill(entry);
                self.resend(send);
            }
            Fault::Frozen => {
                self.frozen.push(entry);
                self.world.clock.advance(PAST_DEADLINE);
                self.resend(send);
                self.run_until_idle();
                self.frozen.retain(|frozen| *frozen != entry);
            }
            Fault::Slow if is_ledger => {
                self.resend(send);
                self.run_until_idle();
            }
            Fault::Slow => self.world.clock.advance(SLOW),
            Fault::TargetLeaves => {
                let now = self.world.clock.now();
                for entry in &self.entries {
                    entry.fleets().update(now, &stock(), &[member(3)]);
                }
            }
            Fault::CallerDisconnects => {
                self.disconnect(send);
                self.resend(send);
            }
            Fault::ResendAtOnce => self.resend(send),
            fault => unreachable!("{fault} is carried out by the fake that reaches it"),
        }
        self.world.release(reached.ticket);
    }

    /// Checks what holds for every request whatever happens.
    pub fn check(&self) -> Result<(), String> {
        let state = self.world.state.lock();
        let runs = state.executions.len();
        if self.caller != Caller::Idempotent && runs > 1 {
            return Err(format!("a keyed request ran {runs} times"));
        }
        if state.late_exchanges > 0 {
            return Err("a request was dispatched after its deadline".to_owned());
        }
        for (at, send) in self.sends.iter().enumerate() {
            let Some(Told::Response(response)) = &send.told else {
                continue;
            };
            match response.headers.text(OUTCOME_HEADER) {
                None => {
                    let is_whole =
                        (1..=runs).any(|run| *response.body == *answer_to(&self.body, run));
                    if !is_whole {
                        return Err(format!("send {at} got another answer than its own"));
                    }
                }
                Some("not-run") => {
                    // A later send is the caller's own decision to run the request after all.
                    let ran = state.executions.iter().any(|run| match self.caller {
                        Caller::Idempotent => run.send == at,
                        Caller::Numbered | Caller::Unnumbered => run.send <= at,
                    });
                    if ran {
                        return Err(format!("send {at} was told not-run, and the request ran"));
                    }
                }
                Some(_) => {}
            }
        }
        drop(state);
        for entry in &self.entries {
            for target in entry.fleets().view(&stock()) {
                if target.in_flight != 0 {
                    let id = target.member.id;
                    return Err(format!(
                        "{} requests stay in flight on {id}",
                        target.in_flight
                    ));
                }
            }
        }
        Ok(())
    }

    /// What each send was told, and the number of runs, in one line.
    pub fn summary(&self) -> String {
        let told: Vec<String> = self
            .sends
            .iter()
            .map(|send| tell(send.told.as_ref()))
            .collect();
        let runs = self.world.state.lock().executions.len();
        format!("runs {runs}; told {}", told.join(", "))
    }
}

fn tell(told: Option<&Told>) -> String {
    let Some(Told::Response(response)) = told else {
        return "nothing".to_owned();
    };
    let Some(outcome) = response.headers.text(OUTCOME_HEADER) else {
        let is_replayed = response.headers.get("Auburnbridge-Replayed").is_some();
        let replayed = if is_replayed { " replayed" } else { "" };
        return format!("{}{replayed}", response.status);
    };
    let kind = kind_of(response);
    format!("{} {kind} {outcome}", response.status)
}

/// Name of the error kind of a rejection.
pub fn kind_of(response: &Response) -> String {
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    let kind = body["type"].as_str().unwrap();
    kind.trim_start_matches("urn:auburnbridge:problem:")
        .to_owned()
}
