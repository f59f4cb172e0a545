//! The thread that owns a keeper's replica, its store and its state machines.
//!
//! All work on them happens here, one event after the other, so they need no lock. Writes block this
//! thread: proposals that arrive meanwhile wait in the queue and share the next sync (group commit).

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

use async_channel::Sender;
use auburnbridge_config::{Delta, HistoryEntry, PublishReply, VersionedDocument};
use auburnbridge_log::{
    Input, LogIndex, Member, MemberChange, MemberRole, Members, Message, Output, Persist,
    RejectReason, Replica, ReplicaId, Status, Token,
};
use auburnbridge_membership::Announcement;
use auburnbridge_metrics::{Counter, Metrics};
use auburnbridge_rules::Rules;
use auburnbridge_store::{Store, StoreError};
use auburnbridge_types::{Clock, Revision, Timestamp, VmId};
use log::{debug, info, warn};

use crate::state::{KeeperState, StateCommand, StateReply};

/// Events that are handled before the writes that they caused.
const BATCH: usize = 512;
/// Events that may wait; senders beyond it are told that the keeper is busy.
pub const QUEUE: usize = 8_192;

/// Work for the thread.
#[derive(Debug)]
pub enum Event {
    /// A message of the log.
    Message {
        /// The VM that sent it, from its certificate.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// A command for the state machines.
    Propose {
        /// The command.
        command: StateCommand,
        /// Receives the result.
        reply: Sender<Result<StateReply, RejectReason>>,
    },
    /// A request for the published document, newer than any acknowledgement before the request.
    ReadPublished {
        /// Receives the version and the document, if one is in force.
        reply: Sender<Result<Option<VersionedDocument>, RejectReason>>,
    },
    /// A request for the rules after a revision.
    Rules {
        /// The revision that the asker has.
        have: Revision,
        /// Receives the rules.
        reply: Sender<Delta>,
    },
    /// A request for the rules themselves.
    RulesInForce {
        /// Receives the revision and the rules.
        reply: Sender<(Revision, Arc<Rules>)>,
    },
    /// A request for the last accepted edits.
    History {
        /// Receives the edits, oldest first.
        reply: Sender<Vec<HistoryEntry>>,
    },
    /// A request for the state of the keeper.
    Report {
        /// Receives the state.
        reply: Sender<Report>,
    },
    /// The group's first list of members.
    Bootstrap(Members),
    /// A keeper without a group asks to replace the one of its VM.
    Join {
        /// Its VM.
        vm: VmId,
        /// Its data folder.
        replica: ReplicaId,
        /// Receives the result of the next step.
        reply: Sender<Result<(), RejectReason>>,
    },
    /// The process is about to stop: hand the leadership over.
    Resign,
    /// End of the thread.
    Stop,
}

/// Hears what is committed, on the thread of the log; it must not block.
pub trait CommitObserver: Send + Sync {
    /// A document is in force.
    fn published(&self, published: &VersionedDocument);

    /// A target has left.
    fn departed(&self, announcement: &Announcement);

    /// The state is as new as that of a leader which was in contact with a quorum at `time`.
    fn confirmed(&self, time: Timestamp);
}

/// Which folders may become members, and how many voters an order needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Whether folders on VMs without a member may join.
    pub admits_new_vms: bool,
    /// Voters that the group must have before it takes orders.
    pub least_voters: usize,
}

/// State of a keeper for other threads.
#[derive(Clone, Debug)]
pub struct Report {
    /// State of the replica.
    pub status: Status,
    /// The members of its group.
    pub members: Vec<Member>,
    /// Revision of the rules.
    pub revision: Revision,
}

/// Sends messages of the log to other keepers.
pub trait LogTransport: Send {
    /// Queues a message without waiting; it may be lost.
    fn send(&self, to: &VmId, message: Message);
}

/// What a request that is waiting for the log wants to hear.
enum Waiter {
    Proposal(Sender<Result<StateReply, RejectReason>>),
    Change(Sender<Result<(), RejectReason>>),
    Read(Sender<Result<Option<VersionedDocument>, RejectReason>>),
}

/// Reason why the thread ends before it is told to.
#[derive(Debug)]
pub enum CoreError {
    /// A read or write of the data folder failed; the replica may have promised what it doesn't hold.
    Store(StoreError),
    /// A peer has seen a later start of the data folder.
    FolderSuperseded,
}

impl std::fmt::Display for CoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::FolderSuperseded => f.write_str(
                "the data folder is an old copy; move it away and start with an empty folder",
            ),
        }
    }
}

impl std::error::Error for CoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Store(error) => Some(error),
            Self::FolderSuperseded => None,
        }
    }
}

impl From<StoreError> for CoreError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// Settings of a [`Core`].
pub struct CoreOptions {
    /// Who may join, and when orders are taken.
    pub admission: Admission,
    /// Hears what is committed.
    pub observer: Option<Arc<dyn CommitObserver>>,
    /// Interval of the replica's ticks while nothing else happens.
    pub tick: Duration,
}

/// A keeper's replica with everything that it needs.
pub struct Core {
    replica: Replica,
    store: Store,
    state: KeeperState,
    transport: Box<dyn LogTransport>,
    clock: Arc<dyn Clock>,
    waiters: HashMap<Token, Waiter>,
    next_token: u64,
    commits: CommitCounts,
    metrics: Metrics,
    admission: Admission,
    observer: Option<Arc<dyn CommitObserver>>,
    tick: Duration,
}

/// Counts of syncs and of the records that they carried, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommitCounts {
    /// Writes that were synced.
    pub syncs: u64,
    /// Records that they carried.
    pub records: u64,
}

impl Core {
    /// Starts from a recovered replica; `outputs` are those of its recovery.
    pub fn new(
        (replica, outputs): (Replica, Vec<Output>),
        store: Store,
        transport: Box<dyn LogTransport>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        CoreOptions {
            admission,
            observer,
            tick,
        }: CoreOptions,
    ) -> Result<Self, CoreError> {
        let mut core = Self {
            replica,
            store,
            state: KeeperState::default(),
            transport,
            clock,
            waiters: HashMap::new(),
            next_token: 0,
            commits: CommitCounts::default(),
            metrics,
            admission,
            observer,
            tick,
        };
        if core.replica.status().superseded {
            return Err(CoreError::FolderSuperseded);
        }
        core.handle(outputs)?;
        Ok(core)
    }

    /// Handles events until [`Event::Stop`], the end of the queue or an error.
    pub fn run(mut self, events: &Receiver<Event>) -> Result<CommitCounts, CoreError> {
        loop {
            let first = match events.recv_timeout(self.tick) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return Ok(self.commits),
            };
            let mut outputs = Vec::new();
            for event in first.into_iter().chain(events.try_iter().take(BATCH)) {
                if matches!(event, Event::Stop) {
                    return Ok(self.commits);
                }
                outputs.extend(self.take(event));
            }
            outputs.extend(self.step(Input::Tick));
            self.handle(outputs)?;
            self.report_contact();
        }
    }

    /// Tells the observer up to when the applied state is known to be complete.
    fn report_contact(&self) {
        let Some(observer) = &self.observer else {
            return;
        };
        let status = self.replica.status();
        let confirmed = match status.role {
            // A leader without a quorum steps down within an election timeout.
            "leader" if status.applied == status.commit => Some(self.clock.now()),
            "follower" if status.applied == status.commit => status.leader_contact,
            _ => None,
        };
        if let Some(time) = confirmed {
            observer.confirmed(time);
        }
    }

    /// Whether the group is large enough that an order survives the losses it must survive.
    fn takes_orders(&self) -> bool {
        self.replica.members().voters().count() >= self.admission.least_voters
    }

    fn take(&mut self, event: Event) -> Vec<Output> {
        match event {
            Event::Message { from, message } => self.step(Input::Message { from, message }),
            Event::Propose { command, reply } => {
                if !self.takes_orders() {
                    let _ = reply.try_send(Err(RejectReason::Busy));
                    return Vec::new();
                }
                let data = postcard::to_stdvec(&command).expect("commands can be encoded");
                let token = self.wait_for(Waiter::Proposal(reply));
                self.step(Input::Propose {
                    token,
                    data: data.into(),
                })
            }
            Event::ReadPublished { reply } => {
                let token = self.wait_for(Waiter::Read(reply));
                self.step(Input::Read { token })
            }
            Event::Rules { have, reply } => {
                let _ = reply.try_send(self.state.config.delta_since(have));
                Vec::new()
            }
            Event::RulesInForce { reply } => {
                let config = &self.state.config;
                let _ = reply.try_send((config.revision(), Arc::clone(config.rules())));
                Vec::new()
            }
            Event::History { reply } => {
                let _ = reply.try_send(self.state.config.history().cloned().collect());
                Vec::new()
            }
            Event::Report { reply } => {
                let _ = reply.try_send(self.report());
                Vec::new()
            }
            Event::Bootstrap(members) => {
                info!("keeper group formed members={}", members.iter().count());
                self.step(Input::Bootstrap { members })
            }
            Event::Join { vm, replica, reply } => self.join(vm, replica, reply),
            Event::Resign => self.step(Input::Resign),
            Event::Stop => Vec::new(),
        }
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        self.replica.step(self.clock.now(), input)
    }

    fn wait_for(&mut self, waiter: Waiter) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.waiters.insert(token, waiter);
        token
    }

    /// Takes the next step of replacing the member of `vm` by the new folder `replica`: add it as a
    /// learner, remove the lost folder, and promote the learner once it has caught up.
    ///
    /// The lost folder goes before the promotion: with both in the list, a quorum would need every
    /// member that is left, and the loss of a second VM would stop the group.
    fn join(
        &mut self,
        vm: VmId,
        replica: ReplicaId,
        reply: Sender<Result<(), RejectReason>>,
    ) -> Vec<Output> {
        let members = self.replica.members();
        let lost = members
            .iter()
            .find(|member| member.vm == vm && member.replica != replica)
            .map(|member| member.replica);
        let change = match (members.get(replica).map(|member| member.role), lost) {
            (Some(MemberRole::Voter), None) => {
                let _ = reply.try_send(Ok(()));
                return Vec::new();
            }
            (None, None) if self.admission.admits_new_vms => MemberChange::AddLearner(Member {
                replica,
                vm,
                role: MemberRole::Learner,
            }),
            (None, None) => {
                warn!("keeper join refused vm={vm}: no member of the group is on this VM");
                let _ = reply.try_send(Err(RejectReason::InvalidChange));
                return Vec::new();
            }
            (None, Some(_)) => MemberChange::AddLearner(Member {
                replica,
                vm,
                role: MemberRole::Learner,
            }),
            (Some(_), Some(lost)) => MemberChange::Remove(lost),
            (Some(MemberRole::Learner), None) => MemberChange::Promote(replica),
        };
        debug!("keeper membership change={change:?}");
        let token = self.wait_for(Waiter::Change(reply));
        self.step(Input::ChangeMembers { token, change })
    }

    fn handle(&mut self, outputs: Vec<Output>) -> Result<(), CoreError> {
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            queue.extend(self.handle_one(output)?);
        }
        Ok(())
    }

    fn handle_one(&mut self, output: Output) -> Result<Vec<Output>, CoreError> {
        match output {
            Output::Send { to, message } => self.transport.send(&to, message),
            Output::Persist(persist) => return self.persist(&persist),
            Output::Apply {
                index,
                time,
                data,
                token,
            } => self.apply(index, time, &data, token),
            Output::MembersCommitted { members, token, .. } => {
                let names: Vec<String> = members
                    .iter()
                    .map(|member| format!("{}:{}", member.vm, member.role))
                    .collect();
                info!("keeper members={}", names.join(","));
                if let Some(Waiter::Change(reply)) = self.take_waiter(token) {
                    let _ = reply.try_send(Ok(()));
                }
            }
            Output::Reject { token, reason } => self.reject(token, reason),
            // Reads of the rules don't come here: a revision only rises, and an entry refuses a lower
            // one, so they are answered from the applied state.
            Output::ReadReady { token, .. } => {
                if let Some(Waiter::Read(reply)) = self.take_waiter(Some(token)) {
                    let _ = reply.try_send(Ok(self.state.published.current().cloned()));
                }
            }
            Output::InstallSnapshot { meta, data } => {
                match KeeperState::restore(&data) {
                    Ok(state) => {
                        self.state = state;
                        self.report_state();
                    }
                    // The store has checked the bytes, so another program version wrote them.
                    Err(error) => panic!("snapshot at {}: {error}", meta.index),
                }
                info!("keeper snapshot installed index={}", meta.index);
            }
            Output::TakeSnapshot { index } => {
                let data = self.state.snapshot().into();
                return Ok(self.step(Input::SnapshotTaken { index, data }));
            }
            Output::BecameLeader { term } => info!("keeper role=leader term={term}"),
            Output::SteppedDown { term } => info!("keeper role=follower left_term={term}"),
            Output::BootConfirmed => info!("keeper start confirmed by its peers"),
            Output::FolderSuperseded => return Err(CoreError::FolderSuperseded),
        }
        Ok(Vec::new())
    }

    fn persist(&mut self, persist: &Persist) -> Result<Vec<Output>, CoreError> {
        self.store.persist(persist)?;
        self.commits.syncs += 1;
        let records = persist.records.len() as u64;
        self.commits.records += records;
        self.metrics.count(Counter::Sync, &[]);
        self.metrics.count_many(Counter::Record, records, &[]);
        Ok(self.step(Input::Persisted {
            sequence: persist.sequence,
        }))
    }

    fn apply(&mut self, index: LogIndex, time: Timestamp, data: &[u8], token: Option<Token>) {
        let command = match postcard::from_bytes(data) {
            Ok(command) => command,
            // Skipping a record that other replicas apply would make the states differ.
            Err(error) => panic!("record {index} can't be decoded, upgrade this keeper: {error}"),
        };
        let departed = match &command {
            StateCommand::Depart(announcement) => Some(announcement.clone()),
            _ => None,
        };
        let reply = self.state.apply(time, command);
        if let Some(observer) = &self.observer {
            if let Some(announcement) = departed {
                observer.departed(&announcement);
            }
            if let (StateReply::Published(PublishReply::Accepted), Some(published)) =
                (&reply, self.state.published.current())
            {
                observer.published(published);
            }
        }
        if let Some(Waiter::Proposal(waiter)) = self.take_waiter(token) {
            let _ = waiter.try_send(Ok(reply));
        }
    }

    /// Reports the whole state after a snapshot has replaced it.
    fn report_state(&self) {
        let Some(observer) = &self.observer else {
            return;
        };
        if let Some(published) = self.state.published.current() {
            observer.published(published);
        }
        for announcement in &self.state.departures {
            observer.departed(announcement);
        }
    }

    fn reject(&mut self, token: Token, reason: RejectReason) {
        match self.take_waiter(Some(token)) {
            Some(Waiter::Proposal(reply)) => {
                let _ = reply.try_send(Err(reason));
            }
            Some(Waiter::Change(reply)) => {
                let _ = reply.try_send(Err(reason));
            }
            Some(Waiter::Read(reply)) => {
                let _ = reply.try_send(Err(reason));
            }
            None => {}
        }
    }

    fn take_waiter(&mut self, token: Option<Token>) -> Option<Waiter> {
        self.waiters.remove(&token?)
    }

    fn report(&self) -> Report {
        Report {
            status: self.replica.status(),
            members: self.replica.members().iter().cloned().collect(),
            revision: self.state.config.revision(),
        }
    }
}

/// Sends events to a [`Core`].
#[derive(Clone, Debug)]
pub struct CoreHandle(SyncSender<Event>);

impl CoreHandle {
    /// Creates a handle and the queue that [`Core::run`] reads.
    pub fn new() -> (Self, Receiver<Event>) {
        let (tx, rx) = std::sync::mpsc::sync_channel(QUEUE);
        (Self(tx), rx)
    }

    /// Queues an event; `false` if the queue is full or the thread has ended.
    pub fn send(&self, event: Event) -> bool {
        self.0.try_send(event).is_ok()
    }

    /// Queues an event that has a reply and waits for it; `None` if it was not taken.
    pub async fn ask<T>(&self, event: impl FnOnce(Sender<T>) -> Event) -> Option<T> {
        let (tx, rx) = async_channel::bounded(1);
        if !self.send(event(tx)) {
            return None;
        }
        rx.recv().await.ok()
    }
}
