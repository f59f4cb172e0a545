//! Fakes of the ledger, the targets and the other entries, which inject the planned faults.

use std::collections::{HashSet, VecDeque};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;

use auburnbridge_entry::{CrashReporter, Entry, KeepersUnavailable, LedgerClient, TargetClient};
use auburnbridge_http::{FramingError, Limits, Request, Response};
use auburnbridge_ledger::{Command, Ledger, Reply};
use auburnbridge_policy::{RequestClass, SuspectReport};
use auburnbridge_target::{Exchange, ExchangeResult, NotSentReason, UnknownReason};
use auburnbridge_types::{BoxFuture, Clock, Millis, PausedClock, Timestamp};
use futures_lite::FutureExt;
use parking_lot::Mutex;

use crate::fault::{Fault, Step};

/// Header with the index of a send among those of its caller.
pub const SEND_HEADER: &str = "X-Send";

/// Fake cluster shared by all entries of a test: one ledger, one set of targets and the planned
/// faults.
pub struct FakeCluster {
    pub clock: PausedClock,
    pub state: Mutex<FakeClusterState>,
}

#[derive(Default)]
pub struct FakeClusterState {
    pub ledger: Ledger,
    pub ledger_is_down: bool,
    /// Planned faults that are still to come; each becomes active after the previous one occurred.
    pub plan: VecDeque<(Step, Fault)>,
    /// Index of the send whose future is being polled.
    pub polled_send: usize,
    /// Steps that wait for [`FakeCluster::release`].
    pub waiting_steps: VecDeque<WaitingStep>,
    /// Continuation of each step that waited, indexed by its ticket.
    released: Vec<Option<Release>>,
    /// Whether every step waits until the schedule releases it.
    pub is_scheduled: bool,
    /// Ledger commands sent in a scheduled run.
    pub commands: Vec<SentCommand>,
    /// All executions on targets.
    pub executions: Vec<Execution>,
    /// Time until which all targets shed requests.
    pub shed_until: Timestamp,
    /// Targets that refuse connections.
    pub crashed: HashSet<SocketAddr>,
    /// Bodies of requests whose execution crashes the target.
    pub crashing_bodies: HashSet<Vec<u8>>,
    /// Framing error of every answer of a target, if set.
    pub answer_fault: Option<FramingError>,
    /// Additional header of every complete answer, if set.
    pub answer_header: Option<(&'static str, &'static str)>,
    /// Whether the check if a target refuses connections stays pending.
    pub crash_check_is_blocked: bool,
    /// Number of exchanges started.
    pub exchanges: usize,
    /// Number of exchanges started at or after their deadline.
    pub late_exchanges: usize,
    /// Base of the seeds of all entries.
    pub seed: u64,
    pub entries_started: u64,
    /// Entries that receive crash reports.
    pub entries: Vec<Arc<Entry>>,
}

/// Continuation of a step: without a fault, or with one that the fake injects.
type Release = Option<Fault>;

/// Ledger command in transit, which may outlive the request that sent it.
pub struct SentCommand {
    command: Command,
    /// Reply to the first application of the command.
    reply: Option<Reply>,
    delivered: Option<Result<Reply, KeepersUnavailable>>,
}

/// Clock of an entry; a backoff counts as reaching the step `ChooseTarget` again.
pub struct EntryClock(pub Arc<FakeCluster>);

/// Maximum sleep of a backoff; longer sleeps wait for a deadline.
const MAX_BACKOFF: Millis = Millis(640);

impl Clock for EntryClock {
    fn now(&self) -> Timestamp {
        self.0.clock.now()
    }

    fn sleep(&self, duration: Millis) -> BoxFuture<'static, ()> {
        let sleep = self.0.clock.sleep(duration);
        let cluster = Arc::clone(&self.0);
        Box::pin(async move {
            if duration <= MAX_BACKOFF {
                cluster.reach(Step::ChooseTarget).await;
            }
            sleep.await;
        })
    }
}

/// Execution of a request on a target.
pub struct Execution {
    pub body: Vec<u8>,
    /// Index of the send among those of its caller.
    pub send: usize,
}

/// Step that waits for [`FakeCluster::release`], with the external fault to inject meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    pub send: usize,
    pub step: Step,
    pub fault: Fault,
    pub ticket: usize,
}

impl FakeCluster {
    pub fn new(now: Timestamp, plan: &[(Step, Fault)]) -> Arc<Self> {
        let state = FakeClusterState {
            plan: plan.iter().copied().collect(),
            ..FakeClusterState::default()
        };
        Arc::new(Self {
            clock: PausedClock::new(now),
            state: Mutex::new(state),
        })
    }

    fn take_fault(&self, step: Step) -> Option<Fault> {
        let mut state = self.state.lock();
        let (_, fault) = state.plan.pop_front_if(|(planned, _)| *planned == step)?;
        Some(fault)
    }

    /// Marks a step as reached. Waits while the scenario injects an external fault, and returns a
    /// fault that the fake must inject.
    pub async fn reach(&self, step: Step) -> Option<Fault> {
        if self.state.lock().is_scheduled {
            return self.wait_for_release(step, Fault::Slow).await;
        }
        let fault = self.take_fault(step)?;
        if fault.is_external() {
            return self.wait_for_release(step, fault).await;
        }
        Some(fault)
    }

    async fn wait_for_release(&self, step: Step, fault: Fault) -> Release {
        let ticket = {
            let mut state = self.state.lock();
            let ticket = state.released.len();
            let send = state.polled_send;
            state.released.push(None);
            state.waiting_steps.push_back(WaitingStep {
                send,
                step,
                fault,
                ticket,
            });
            ticket
        };
        poll_fn(|_| match self.state.lock().released[ticket] {
            Some(release) => Poll::Ready(release),
            None => Poll::Pending,
        })
        .await
    }

    pub fn release(&self, ticket: usize) {
        self.release_with(ticket, None);
    }

    pub fn release_with(&self, ticket: usize, fault: Option<Fault>) {
        self.state.lock().released[ticket] = Some(fault);
    }

    async fn send_command(&self, command: Command) -> Result<Reply, KeepersUnavailable> {
        let index = {
            let mut state = self.state.lock();
            state.commands.push(SentCommand {
                command,
                reply: None,
                delivered: None,
            });
            state.commands.len() - 1
        };
        poll_fn(|_| match &self.state.lock().commands[index].delivered {
            Some(reply) => Poll::Ready(reply.clone()),
            None => Poll::Pending,
        })
        .await
    }

    /// Applies a command. Repeated calls apply it again, as happens when a command without a reply
    /// is sent again.
    pub fn apply_command(&self, index: usize) {
        let now = self.clock.now();
        let state = &mut *self.state.lock();
        let sent = &mut state.commands[index];
        let reply = state.ledger.apply(now, sent.command.clone());
        sent.reply.get_or_insert(reply);
    }

    /// Delivers the reply to a command that was applied.
    pub fn deliver_reply(&self, index: usize) {
        let sent = &mut self.state.lock().commands[index];
        if let (Some(reply), None) = (&sent.reply, &sent.delivered) {
            sent.delivered = Some(Ok(reply.clone()));
        }
    }

    /// Reports to the entry that there is no reply; the command may be applied before or
    /// afterwards.
    pub fn lose_reply(&self, index: usize) {
        let sent = &mut self.state.lock().commands[index];
        sent.delivered.get_or_insert_with(no_reply);
    }
}

fn no_reply() -> Result<Reply, KeepersUnavailable> {
    Err(KeepersUnavailable {
        reason: "the keepers gave no reply".to_owned(),
    })
}

impl LedgerClient for FakeCluster {
    fn apply(&self, command: Command) -> BoxFuture<'_, Result<Reply, KeepersUnavailable>> {
        Box::pin(async move {
            if self.state.lock().is_scheduled {
                return self.send_command(command).await;
            }
            if self.state.lock().ledger_is_down {
                return no_reply();
            }
            let step = match command {
                Command::Grant { .. } => Step::LedgerGrant,
                _ => Step::StoreAnswer,
            };
            let fault = self.take_fault(step);
            match fault {
                Some(Fault::NoQuorumBefore) => {
                    self.state.lock().ledger_is_down = true;
                    return no_reply();
                }
                Some(Fault::Slow) => {
                    self.wait_for_release(step, Fault::Slow).await;
                }
                _ => {}
            }
            let now = self.clock.now();
            let reply = self.state.lock().ledger.apply(now, command);
            match fault {
                Some(Fault::NoQuorumAfter) => {
                    self.state.lock().ledger_is_down = true;
                    no_reply()
                }
                Some(Fault::LedgerReplyLost) => no_reply(),
                Some(fault) if fault != Fault::Slow => {
                    self.wait_for_release(step, fault).await;
                    Ok(reply)
                }
                _ => Ok(reply),
            }
        })
    }
}

impl FakeCluster {
    /// Exchange without its deadline. The request counts as run as soon as its first byte is sent,
    /// which is the worst case for a request that must run at most once.
    async fn run_exchange(
        &self,
        address: SocketAddr,
        req: &Request,
        deadline: Timestamp,
    ) -> ExchangeResult {
        match self.reach(Step::Connect).await {
            Some(Fault::TargetCrashes) => {
                self.state.lock().crashed.insert(address);
            }
            Some(Fault::CutOneWay) => {
                return ExchangeResult::NotSent(NotSentReason::ConnectTimeout);
            }
            Some(Fault::Shed) => return ExchangeResult::Answered(shed_response()),
            _ => {}
        }
        if self.state.lock().crashed.contains(&address) {
            return ExchangeResult::NotSent(NotSentReason::Refused);
        }
        if self.clock.now() >= deadline {
            return ExchangeResult::NotSent(NotSentReason::Deadline);
        }
        match self.next_fault() {
            Some((Step::Write, Fault::Shed)) => {
                self.take_fault(Step::Write);
                return ExchangeResult::Answered(shed_response());
            }
            // An entry reaches `ChooseTarget` again only if every target sheds the request.
            Some((Step::ChooseTarget, _)) => return ExchangeResult::Answered(shed_response()),
            _ => {}
        }
        if self.clock.now() < self.state.lock().shed_until {
            return ExchangeResult::Answered(shed_response());
        }
        let run = self.execute(req);
        let is_poison = self.state.lock().crashing_bodies.contains(&*req.body);
        for step in [Step::Write, Step::Wait, Step::ReadAnswer] {
            let answer_started = step == Step::ReadAnswer;
            let error = match self.reach(step).await {
                Some(Fault::TargetCrashes) => {
                    self.state.lock().crashed.insert(address);
                    FramingError::ClosedInHead
                }
                Some(Fault::CutOneWay) => std::future::pending().await,
                Some(Fault::HalfAnswer) => FramingError::ClosedInBody,
                _ if is_poison => {
                    self.state.lock().crashed.insert(address);
                    FramingError::ClosedBetweenMessages
                }
                _ => match self.state.lock().answer_fault {
                    Some(error) => error,
                    None => continue,
                },
            };
            return ExchangeResult::Unknown {
                reason: UnknownReason::Framing(error),
                answer_started: answer_started || error == FramingError::ClosedInBody,
            };
        }
        let mut response = Response::new(200);
        if let Some((name, value)) = self.state.lock().answer_header {
            response.headers.append(name, value);
        }
        if req.method == "HEAD" {
            response.announced_length = Some(answer_to(&req.body, run).len() as u64);
        } else {
            response.body = answer_to(&req.body, run).into();
        }
        ExchangeResult::Answered(response)
    }

    fn next_fault(&self) -> Option<(Step, Fault)> {
        self.state.lock().plan.front().copied()
    }

    /// Runs the request; returns the number of runs so far.
    fn execute(&self, req: &Request) -> usize {
        let send = req.headers.text(SEND_HEADER).unwrap().parse().unwrap();
        let body = req.body.to_vec();
        let mut state = self.state.lock();
        state.executions.push(Execution { body, send });
        state.executions.len()
    }
}

/// Body of the answer of run number `run` to a request with `body`.
pub fn answer_to(body: &[u8], run: usize) -> Vec<u8> {
    format!("answer to {} of run {run}", body.escape_ascii()).into_bytes()
}

fn shed_response() -> Response {
    let mut response = Response::new(503);
    response
        .headers
        .append(auburnbridge_entry::SHED_HEADER, "1");
    response
}

impl TargetClient for FakeCluster {
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        req: &'a Request,
        _class: RequestClass,
        _limits: &'a Limits,
        deadline: Timestamp,
    ) -> BoxFuture<'a, Exchange> {
        Box::pin(async move {
            let now = self.clock.now();
            let executions_before = {
                let mut state = self.state.lock();
                state.exchanges += 1;
                state.late_exchanges += usize::from(now >= deadline);
                state.executions.len()
            };
            let timeout = async {
                self.clock.sleep(deadline.since(now)).await;
                if self.state.lock().executions.len() == executions_before {
                    return ExchangeResult::NotSent(NotSentReason::Deadline);
                }
                ExchangeResult::Unknown {
                    reason: UnknownReason::Deadline,
                    answer_started: false,
                }
            };
            let result = self.run_exchange(address, req, deadline).or(timeout).await;
            Exchange {
                result,
                reused: false,
            }
        })
    }

    fn refuses_connections(&self, address: SocketAddr) -> BoxFuture<'_, bool> {
        Box::pin(poll_fn(move |_| {
            let state = self.state.lock();
            if state.crash_check_is_blocked {
                return Poll::Pending;
            }
            Poll::Ready(state.crashed.contains(&address))
        }))
    }
}

impl CrashReporter for FakeCluster {
    fn report(&self, report: SuspectReport) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let entries = self.state.lock().entries.clone();
            for entry in entries {
                entry.record_suspect(&report);
            }
        })
    }
}
