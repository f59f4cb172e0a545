//! Scenario of a caller that sends one request through two entries while planned faults occur.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, LazyLock};
use std::task::{Context, Poll, Waker};

use auburnbridge_caller::{Disconnect, DisconnectSignal, OUTCOME_HEADER, Service};
use auburnbridge_entry::{
    DEADLINE_HEADER, Dependencies, Entry, KEY_HEADER, Location, PREVIOUS_ATTEMPTS_HEADER,
    RulesInForce, TaskSpawner,
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

use crate::fakes::{EntryClock, FakeCluster, SEND_HEADER, WaitingStep, answer_to};
use crate::fault::{Fault, Step};

pub const START: Timestamp = Timestamp(1_700_000_000_000);
pub const TIMEOUT: Millis = Millis(2_000);
/// Longer than the timeout of the request plus the grace period in which its grant still counts as
/// in progress.
const FREEZE_TIME: Millis = Millis(4_500);
const SHORT_TIMEOUT: Millis = Millis(200);
const SLOW_DELAY: Millis = Millis(1_200);
const TICK: Millis = Millis(50);
/// Number of clock ticks after which a scenario without an answer fails.
const TICK_LIMIT: usize = 400;
/// Number of polls after which a future makes no progress unless the clock advances.
const POLLS_UNTIL_IDLE: usize = 4;
/// Maximum number of sends of one caller.
const MAX_SENDS: usize = 3;
const MAX_SCHEDULED_SENDS: usize = 5;
pub const ENTRIES: usize = 2;
const RULES: &str = "\
service stock slots-floor 1 slots-per-target 3 ejection careful # asked by the tests
route GET /bins/* to stock idempotent timeout 2s # asked by the tests
route POST /slips to stock once timeout 2s # asked by the tests
route HEAD /slips to stock once timeout 2s # asked by the tests
account default limit 5000/s burst 5000 # asked by the tests
";

/// Kind of request that the caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Caller {
    /// Keyed request with the number of earlier sends.
    Numbered,
    /// Keyed request without that number.
    Unnumbered,
    /// Idempotent request.
    Idempotent,
}

/// Result of a send as its caller observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    NoResponse,
    Response(Response),
}

struct SendState {
    entry: usize,
    /// `None` once the send has ended.
    future: Option<Pin<Box<dyn Future<Output = Option<Response>>>>>,
    disconnect: Option<DisconnectSignal>,
    result: Option<SendResult>,
}

/// Spawner that queues tasks of an entry; the scenario polls them together with the sends.
#[derive(Default)]
pub struct QueueingSpawner {
    started: Mutex<Vec<BoxFuture<'static, ()>>>,
}

impl TaskSpawner for QueueingSpawner {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        self.started.lock().push(task);
    }
}

/// Spawner that runs each task to completion at once, for tests in which no task has to wait.
pub struct ImmediateSpawner;

impl TaskSpawner for ImmediateSpawner {
    fn spawn(&self, mut task: BoxFuture<'static, ()>) {
        let mut cx = Context::from_waker(Waker::noop());
        assert!(
            task.as_mut().poll(&mut cx).is_ready(),
            "the task is pending"
        );
    }
}

/// Task with the send that started it.
struct RunningTask {
    send: usize,
    future: BoxFuture<'static, ()>,
}

/// Run of one request and its resends.
pub struct Scenario {
    pub cluster: Arc<FakeCluster>,
    pub entries: Vec<Arc<Entry>>,
    tasks: Vec<Arc<QueueingSpawner>>,
    running_tasks: Vec<RunningTask>,
    caller: Caller,
    body: Vec<u8>,
    key: IdempotencyKey,
    sends: Vec<SendState>,
    frozen: Vec<usize>,
    max_sends: usize,
    /// Times that the caller waits for its sends, used in rotation.
    timeouts: Vec<Millis>,
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
        presence: Presence::Fresh,
    }
}

pub fn start_entry(
    cluster: &Arc<FakeCluster>,
    targets: &[Member],
    tasks: Arc<dyn TaskSpawner>,
) -> Arc<Entry> {
    let seed = {
        let mut state = cluster.state.lock();
        state.entries_started += 1;
        state.seed + state.entries_started
    };
    let deps = Dependencies {
        clock: Arc::new(EntryClock(Arc::clone(cluster))),
        ledger: Arc::clone(cluster) as _,
        targets: Arc::clone(cluster) as _,
        crashes: Arc::clone(cluster) as _,
        tasks,
        metrics: Arc::new(Metrics::new(None).unwrap()),
        seed,
    };
    let location = Location {
        vm: "entry".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
    };
    let entry = Entry::new(location, Limits::default(), deps);
    let now = cluster.clock.now();
    let in_force = RulesInForce {
        revision: Revision(1),
        rules: rules(),
    };
    assert!(entry.put_in_force(now, in_force));
    entry.fleets().update(now, &stock(), targets);
    Arc::new(entry)
}

/// Polls a future once with a no-op waker; the scenario polls until no future makes progress.
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
    /// Creates a scenario in which the caller resends after each send without a known outcome.
    pub fn new(caller: Caller, plan: &[(Step, Fault)]) -> Self {
        Self::with_cluster(FakeCluster::new(START, plan), caller, MAX_SENDS)
    }

    /// Creates a scenario in which a schedule controls the steps and resends of the request.
    pub fn scheduled(caller: Caller, seed: u64) -> Self {
        let cluster = FakeCluster::new(START, &[]);
        {
            let mut state = cluster.state.lock();
            state.is_scheduled = true;
            state.seed = seed;
        }
        let mut scenario = Self::with_cluster(cluster, caller, MAX_SCHEDULED_SENDS);
        // A resend that times out first may withdraw while an earlier send can still get a grant.
        scenario.timeouts.push(SHORT_TIMEOUT);
        scenario
    }

    fn with_cluster(cluster: Arc<FakeCluster>, caller: Caller, max_sends: usize) -> Self {
        let targets = [member(1), member(2)];
        let tasks: Vec<Arc<QueueingSpawner>> = (0..ENTRIES).map(|_| Arc::default()).collect();
        let entries: Vec<_> = tasks
            .iter()
            .map(|tasks| start_entry(&cluster, &targets, Arc::clone(tasks) as _))
            .collect();
        cluster.state.lock().entries.clone_from(&entries);
        Self {
            cluster,
            entries,
            tasks,
            running_tasks: Vec::new(),
            caller,
            body: b"slip 7".to_vec(),
            key: IdempotencyKey::from_parts(START, [7; 10]),
            sends: Vec::new(),
            frozen: Vec::new(),
            max_sends,
            timeouts: vec![TIMEOUT],
        }
    }

    fn request(&self, send: usize) -> Request {
        let mut req = match self.caller {
            Caller::Numbered | Caller::Unnumbered => Request::new("POST", "/slips"),
            Caller::Idempotent => Request::new("GET", "/bins/7"),
        };
        req.body = self.body.clone().into();
        req.headers.append(SEND_HEADER, send.to_string());
        let wait = self.timeouts[send % self.timeouts.len()];
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

    /// Sends the request through an entry, unless the maximum number of sends is reached.
    pub fn send(&mut self, entry: usize) {
        if self.sends.len() >= self.max_sends {
            return;
        }
        let req = self.request(self.sends.len());
        let (signal, disconnect) = Disconnect::new();
        let cluster = Arc::clone(&self.cluster);
        let server = Arc::clone(&self.entries[entry]);
        let caller = SocketAddr::from(([127, 0, 0, 1], 9));
        let future = async move {
            cluster.reach(Step::Accept).await;
            let response = server.respond(req, caller, disconnect).await;
            let cut = cluster.reach(Step::Reply).await;
            (cut != Some(Fault::CutOneWay)).then_some(response)
        };
        self.sends.push(SendState {
            entry,
            future: Some(Box::pin(future)),
            disconnect: Some(signal),
            result: None,
        });
    }

    /// Resends through the entry that the given send did not use.
    pub fn resend(&mut self, send: usize) {
        self.send(ENTRIES - 1 - self.sends[send].entry);
    }

    /// Sends the request and runs it and its resends to completion.
    pub fn run(mut self) -> Self {
        self.send(0);
        self.run_until_done();
        self
    }

    pub fn run_until_done(&mut self) {
        for _ in 0..TICK_LIMIT {
            self.run_until_idle();
            let all_completed = self.sends.iter().all(|send| send.future.is_none());
            if all_completed && self.running_tasks.is_empty() {
                return;
            }
            self.cluster.clock.advance(TICK);
        }
        panic!("a send got no answer in {TICK_LIMIT} ticks of {TICK}");
    }

    /// Polls until no future makes progress unless the clock advances.
    pub fn run_until_idle(&mut self) {
        loop {
            let sends = self.sends.len();
            for _ in 0..POLLS_UNTIL_IDLE {
                self.poll_sends();
            }
            let waiting = self.cluster.state.lock().waiting_steps.pop_front();
            match waiting {
                Some(waiting) => self.inject(waiting),
                None if self.sends.len() == sends => return,
                None => {}
            }
        }
    }

    fn poll_sends(&mut self) {
        for index in 0..self.sends.len() {
            if !self.frozen.contains(&self.sends[index].entry) {
                self.poll_send(index);
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
            self.cluster.state.lock().polled_send = task.send;
            let mut cx = Context::from_waker(Waker::noop());
            task.future.as_mut().poll(&mut cx).is_pending()
        });
        self.running_tasks = running;
    }

    pub fn poll_send(&mut self, index: usize) {
        self.cluster.state.lock().polled_send = index;
        let Some(future) = &mut self.sends[index].future else {
            return;
        };
        if let Some(response) = poll(future) {
            self.finish_send(index, response);
        }
        self.take_started_tasks(index);
    }

    /// Number of sends so far.
    pub fn sends(&self) -> usize {
        self.sends.len()
    }

    /// Closes the caller's connection of a send.
    pub fn disconnect(&mut self, index: usize) {
        let send = &mut self.sends[index];
        if let Some(signal) = send.disconnect.take() {
            signal.report();
        }
        send.result.get_or_insert(SendResult::NoResponse);
    }

    fn finish_send(&mut self, index: usize, response: Option<Response>) {
        self.cluster.state.lock().ledger_is_down = false;
        let send = &mut self.sends[index];
        send.future = None;
        send.result
            .get_or_insert(response.map_or(SendResult::NoResponse, SendResult::Response));
        let is_known = self.sends.iter().any(|send| match &send.result {
            Some(SendResult::Response(response)) => {
                response.headers.text(OUTCOME_HEADER) != Some("unknown")
            }
            Some(SendResult::NoResponse) | None => false,
        });
        let is_last = index + 1 == self.sends.len();
        if is_last && !is_known {
            self.resend(index);
        }
    }

    /// Kills an entry with all its requests and starts a new process in its place.
    pub fn kill(&mut self, entry: usize) {
        for send in self.sends.iter_mut().filter(|send| send.entry == entry) {
            if send.future.take().is_some() {
                send.result.get_or_insert(SendResult::NoResponse);
            }
        }
        let sends = &self.sends;
        self.running_tasks
            .retain(|task| sends[task.send].entry != entry);
        self.tasks[entry] = Arc::default();
        let tasks = Arc::clone(&self.tasks[entry]);
        self.entries[entry] = start_entry(&self.cluster, &[member(1), member(2)], tasks);
        self.cluster.state.lock().entries.clone_from(&self.entries);
    }

    fn inject(&mut self, waiting: WaitingStep) {
        let send = waiting.send;
        let entry = self.sends[send].entry;
        let is_ledger = matches!(waiting.step, Step::LedgerGrant | Step::StoreAnswer);
        match waiting.fault {
            Fault::Killed => {
                self.kill(entry);
                self.resend(send);
            }
            Fault::Frozen => {
                self.frozen.push(entry);
                self.cluster.clock.advance(FREEZE_TIME);
                self.resend(send);
                self.run_until_idle();
                self.frozen.retain(|frozen| *frozen != entry);
            }
            Fault::Slow if is_ledger => {
                self.resend(send);
                self.run_until_idle();
            }
            Fault::Slow => self.cluster.clock.advance(SLOW_DELAY),
            Fault::TargetLeaves => {
                let now = self.cluster.clock.now();
                for entry in &self.entries {
                    entry.fleets().update(now, &stock(), &[member(3)]);
                }
            }
            Fault::CallerDisconnects => {
                self.disconnect(send);
                self.resend(send);
            }
            Fault::ResendAtOnce => self.resend(send),
            fault => unreachable!("{fault} is injected by the fake that reaches it"),
        }
        self.cluster.release(waiting.ticket);
    }

    /// Checks the guarantees that hold for every request under all faults.
    pub fn check(&self) -> Result<(), String> {
        let state = self.cluster.state.lock();
        let runs = state.executions.len();
        if self.caller != Caller::Idempotent && runs > 1 {
            return Err(format!("a keyed request ran {runs} times"));
        }
        if state.late_exchanges > 0 {
            return Err("a request was dispatched after its deadline".to_owned());
        }
        for (index, send) in self.sends.iter().enumerate() {
            let Some(SendResult::Response(response)) = &send.result else {
                continue;
            };
            match response.headers.text(OUTCOME_HEADER) {
                None => {
                    let is_whole =
                        (1..=runs).any(|run| *response.body == *answer_to(&self.body, run));
                    if !is_whole {
                        return Err(format!("send {index} got another answer than its own"));
                    }
                }
                Some("not-run") => {
                    // A later send may run: the caller then decided to run the request after all.
                    let ran = state.executions.iter().any(|run| match self.caller {
                        Caller::Idempotent => run.send == index,
                        Caller::Numbered | Caller::Unnumbered => run.send <= index,
                    });
                    if ran {
                        return Err(format!(
                            "send {index} was told not-run, and the request ran"
                        ));
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

    /// Number of runs and the result of each send, in one line.
    pub fn summary(&self) -> String {
        let results: Vec<String> = self
            .sends
            .iter()
            .map(|send| describe(send.result.as_ref()))
            .collect();
        let runs = self.cluster.state.lock().executions.len();
        format!("runs {runs}; told {}", results.join(", "))
    }
}

fn describe(result: Option<&SendResult>) -> String {
    let Some(SendResult::Response(response)) = result else {
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

/// Error kind of a rejection.
pub fn kind_of(response: &Response) -> String {
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    let kind = body["type"].as_str().unwrap();
    kind.trim_start_matches("urn:auburnbridge:problem:")
        .to_owned()
}
