//! The thread that owns a keeper's replica, its store and its state machines.
//!
//! The thread handles one event at a time, so the state needs no lock. Writes block the thread:
//! proposals that arrive during a write wait in the queue and share the next sync (group commit).

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

use async_channel::Sender;
use auburnbridge_config::{Delta, HistoryEntry, PublishReply, VersionedDocument};
use auburnbridge_log::{
    Input, LogIndex, Member, MemberChange, Members, Message, Output, Persist, RejectReason,
    Replica, ReplicaId, Status, Token,
};
use auburnbridge_membership::Announcement;
use auburnbridge_metrics::{Counter, Metrics};
use auburnbridge_rules::Rules;
use auburnbridge_store::{Store, StoreError};
use auburnbridge_types::{Clock, Revision, Timestamp, VmId};
use log::{debug, info, warn};

use crate::membership_policy::{JoinStep, MembershipPolicy};
use crate::state::{KeeperState, StateCommand, StateReply};

/// Queued events that are handled in one batch before the resulting writes.
const MAX_BATCH_EVENTS: usize = 512;
/// Capacity of the event queue. When it is full, senders are told that the keeper is busy.
pub const QUEUE_CAPACITY: usize = 8_192;

/// An event for the thread of a [`Core`].
#[derive(Debug)]
pub enum Event {
    /// A message of the log from another replica.
    Message {
        /// The sending VM, as named by its certificate.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// A command to propose for the state machines.
    Propose {
        /// The command.
        command: StateCommand,
        /// Receives the result.
        reply: Sender<Result<StateReply, RejectReason>>,
    },
    /// A linearizable read of the published document: it reflects every publication that was
    /// acknowledged before the request.
    ReadPublished {
        /// Receives the document with its version, if one has been published.
        reply: Sender<Result<Option<VersionedDocument>, RejectReason>>,
    },
    /// A request for the changes of the rules since a revision.
    RulesDelta {
        /// The revision that the requester has.
        have: Revision,
        /// Receives the changes.
        reply: Sender<Delta>,
    },
    /// A request for the applied rules.
    AppliedRules {
        /// Receives the revision and the rules.
        reply: Sender<(Revision, Arc<Rules>)>,
    },
    /// A request for the most recent accepted edits.
    History {
        /// Receives the edits, oldest first.
        reply: Sender<Vec<HistoryEntry>>,
    },
    /// A request for the status of the keeper.
    Status {
        /// Receives the status.
        reply: Sender<KeeperStatus>,
    },
    /// Starts this replica with the initial member list of the group.
    Bootstrap(Members),
    /// A keeper without a group asks to join and to replace the previous member on its VM.
    Join {
        /// VM of the joining keeper.
        vm: VmId,
        /// Its replica id.
        replica: ReplicaId,
        /// Receives the result of the next membership change.
        reply: Sender<Result<(), RejectReason>>,
    },
    /// Transfers the leadership because the process is about to stop.
    Resign,
    /// Ends the thread.
    Stop,
}

/// Receives notifications of committed changes on the [`Core`] thread. Its methods must not block.
pub trait CommitObserver: Send + Sync {
    /// Called when a published document takes effect.
    fn published(&self, published: &VersionedDocument);

    /// Called when the departure of a target is committed.
    fn departed(&self, announcement: &Announcement);

    /// Called for a departure that was in the log at the start and may be uncommitted.
    fn may_have_departed(&self, announcement: &Announcement);

    /// Called when this keeper, having applied all records that it knows to be committed, leads the
    /// group at `time` or last heard from its leader then. A leader that has lost its quorum steps
    /// down only within an election timeout, so the state may lack what another leader has
    /// committed in that time.
    fn current_as_of(&self, time: Timestamp);
}

/// Status of a keeper, as reported to other threads.
#[derive(Clone, Debug)]
pub struct KeeperStatus {
    /// Status of the replica.
    pub replica_status: Status,
    /// Members of its group.
    pub members: Vec<Member>,
    /// Revision of the applied rules.
    pub revision: Revision,
}

/// Sends messages of the replicated log to other keepers.
pub trait LogTransport: Send {
    /// Queues a message without waiting; it may be lost.
    fn send(&self, to: &VmId, message: Message);
}

/// Reply channel of a request that waits for the log.
enum PendingReply {
    Proposal(Sender<Result<StateReply, RejectReason>>),
    Change(Sender<Result<(), RejectReason>>),
    Read(Sender<Result<Option<VersionedDocument>, RejectReason>>),
}

/// Error that ends the thread.
#[derive(Debug)]
pub enum CoreError {
    /// Reading or writing the data folder failed. The replica may have promised votes or records
    /// that it has not stored.
    Store(StoreError),
    /// A peer has seen a later start from this data folder, so this one is an old copy.
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
    /// Who may join, and when commands are accepted.
    pub membership_policy: MembershipPolicy,
    /// Receives notifications of committed changes.
    pub observer: Option<Arc<dyn CommitObserver>>,
    /// Interval of the replica's ticks while no events arrive.
    pub tick: Duration,
}

/// A keeper's replica with its store, state machines and transport.
pub struct Core {
    replica: Replica,
    store: Store,
    state: KeeperState,
    transport: Box<dyn LogTransport>,
    clock: Arc<dyn Clock>,
    pending: HashMap<Token, PendingReply>,
    next_token: u64,
    commits: CommitCounts,
    metrics: Metrics,
    membership_policy: MembershipPolicy,
    observer: Option<Arc<dyn CommitObserver>>,
    tick: Duration,
}

/// Number of syncs and of the records written by them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommitCounts {
    /// Synced writes.
    pub syncs: u64,
    /// Records in these writes.
    pub records: u64,
}

impl Core {
    /// Creates a core from a recovered replica and the outputs of its recovery.
    ///
    /// Fails if the data folder is superseded or can't be written.
    pub fn new(
        (replica, outputs): (Replica, Vec<Output>),
        store: Store,
        transport: Box<dyn LogTransport>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        CoreOptions {
            membership_policy,
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
            pending: HashMap::new(),
            next_token: 0,
            commits: CommitCounts::default(),
            metrics,
            membership_policy,
            observer,
            tick,
        };
        if core.replica.status().superseded {
            return Err(CoreError::FolderSuperseded);
        }
        core.handle_outputs(outputs)?;
        core.notify_unapplied_departures();
        Ok(core)
    }

    /// Passes the observer the departures that the log holds beyond the applied state. After a restart
    /// it takes an election to learn which records are committed, and until then no target may be
    /// used again whose departure was acknowledged.
    fn notify_unapplied_departures(&self) {
        let Some(observer) = &self.observer else {
            return;
        };
        for data in self.replica.unapplied_commands() {
            if let Ok(StateCommand::Depart(announcement)) = postcard::from_bytes(data) {
                observer.may_have_departed(&announcement);
            }
        }
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
            for event in first
                .into_iter()
                .chain(events.try_iter().take(MAX_BATCH_EVENTS))
            {
                if matches!(event, Event::Stop) {
                    return Ok(self.commits);
                }
                outputs.extend(self.handle_event(event));
            }
            outputs.extend(self.step(Input::Tick));
            outputs.extend(self.remove_lost_member());
            self.handle_outputs(outputs)?;
            self.notify_current();
        }
    }

    /// Proposes the removal of a member that has stopped to reply. Without it, members that are
    /// replaced at other addresses would remain voters until those that run are no majority.
    fn remove_lost_member(&mut self) -> Vec<Output> {
        let Some(lost) = self.membership_policy.lost_member(&self.replica) else {
            return Vec::new();
        };
        let replica = lost.replica;
        let limit = self.membership_policy.reply_limit.unwrap_or_default();
        warn!(
            vm = lost.vm.as_str(), replica:% = replica, limit_ms = limit.0;
            "removing a keeper that does not reply"
        );
        self.next_token += 1;
        self.step(Input::ChangeMembers {
            token: Token(self.next_token),
            change: MemberChange::Remove(replica),
        })
    }

    /// Tells the observer the time for [`CommitObserver::current_as_of`].
    fn notify_current(&self) {
        let Some(observer) = &self.observer else {
            return;
        };
        let status = self.replica.status();
        let current_as_of = match status.role {
            // A leader that loses its quorum steps down within an election timeout.
            "leader" if status.applied == status.commit => Some(self.clock.now()),
            "follower" if status.applied == status.commit => status.leader_contact,
            _ => None,
        };
        if let Some(time) = current_as_of {
            observer.current_as_of(time);
        }
    }

    fn accepts_proposals(&self) -> bool {
        self.membership_policy
            .accepts_proposals(self.replica.members())
    }

    fn handle_event(&mut self, event: Event) -> Vec<Output> {
        match event {
            Event::Message { from, message } => self.step(Input::Message { from, message }),
            Event::Propose { command, reply } => {
                if !self.accepts_proposals() {
                    let _ = reply.try_send(Err(RejectReason::Busy));
                    return Vec::new();
                }
                let data = postcard::to_stdvec(&command).expect("a command can be encoded");
                let token = self.register_pending(PendingReply::Proposal(reply));
                self.step(Input::Propose {
                    token,
                    data: data.into(),
                })
            }
            Event::ReadPublished { reply } => {
                let token = self.register_pending(PendingReply::Read(reply));
                self.step(Input::Read { token })
            }
            Event::RulesDelta { have, reply } => {
                let _ = reply.try_send(self.state.config.delta_since(have));
                Vec::new()
            }
            Event::AppliedRules { reply } => {
                let config = &self.state.config;
                let _ = reply.try_send((config.revision(), Arc::clone(config.rules())));
                Vec::new()
            }
            Event::History { reply } => {
                let _ = reply.try_send(self.state.config.history().cloned().collect());
                Vec::new()
            }
            Event::Status { reply } => {
                let _ = reply.try_send(self.status());
                Vec::new()
            }
            Event::Bootstrap(members) => {
                info!("keeper group formed members={}", members.iter().count());
                self.step(Input::Bootstrap { members })
            }
            Event::Join { vm, replica, reply } => self.join(&vm, replica, reply),
            Event::Resign => self.step(Input::Resign),
            Event::Stop => Vec::new(),
        }
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        self.replica.step(self.clock.now(), input)
    }

    fn register_pending(&mut self, reply: PendingReply) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.pending.insert(token, reply);
        token
    }

    /// Proposes the next membership change that makes a keeper a voter.
    fn join(
        &mut self,
        vm: &VmId,
        replica: ReplicaId,
        reply: Sender<Result<(), RejectReason>>,
    ) -> Vec<Output> {
        let members = self.replica.members();
        let change = match self.membership_policy.join_step(members, vm, replica) {
            JoinStep::Change(change) => change,
            JoinStep::Complete => {
                let _ = reply.try_send(Ok(()));
                return Vec::new();
            }
            JoinStep::Refused => {
                warn!("keeper join refused vm={vm}: no member of the group is on this VM");
                let _ = reply.try_send(Err(RejectReason::InvalidChange));
                return Vec::new();
            }
        };
        debug!("keeper membership change={change:?}");
        let token = self.register_pending(PendingReply::Change(reply));
        self.step(Input::ChangeMembers { token, change })
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>) -> Result<(), CoreError> {
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            queue.extend(self.handle_output(output)?);
        }
        Ok(())
    }

    fn handle_output(&mut self, output: Output) -> Result<Vec<Output>, CoreError> {
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
                if let Some(PendingReply::Change(reply)) = self.take_pending(token) {
                    let _ = reply.try_send(Ok(()));
                }
            }
            Output::Reject { token, reason } => self.reject(token, reason),
            // Only reads of the published document get here. Reads of the rules are answered at
            // once from the applied state: revisions only increase, and an entry refuses a lower
            // one.
            Output::ReadReady { token, .. } => {
                if let Some(PendingReply::Read(reply)) = self.take_pending(Some(token)) {
                    let _ = reply.try_send(Ok(self.state.published.current().cloned()));
                }
            }
            Output::InstallSnapshot { meta, data } => {
                match KeeperState::restore(&data) {
                    Ok(state) => {
                        self.state = state;
                        self.notify_restored();
                    }
                    // The store has verified the bytes, so another program version wrote them.
                    Err(error) => panic!("snapshot at index {}: {error}", meta.index),
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
            Output::BootUnconfirmed { missing } => {
                let missing: Vec<&str> = missing.iter().map(VmId::as_str).collect();
                info!(missing:? = missing; "keeper start not confirmed yet");
            }
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
            // Skipping a record that other replicas apply would make their states diverge.
            Err(error) => panic!("record {index} can't be decoded; upgrade this keeper: {error}"),
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
        if let Some(PendingReply::Proposal(sender)) = self.take_pending(token) {
            let _ = sender.try_send(Ok(reply));
        }
    }

    /// Passes the whole state to the observer after a snapshot has replaced it.
    fn notify_restored(&self) {
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
        match self.take_pending(Some(token)) {
            Some(PendingReply::Proposal(reply)) => {
                let _ = reply.try_send(Err(reason));
            }
            Some(PendingReply::Change(reply)) => {
                let _ = reply.try_send(Err(reason));
            }
            Some(PendingReply::Read(reply)) => {
                let _ = reply.try_send(Err(reason));
            }
            None => {}
        }
    }

    fn take_pending(&mut self, token: Option<Token>) -> Option<PendingReply> {
        self.pending.remove(&token?)
    }

    fn status(&self) -> KeeperStatus {
        KeeperStatus {
            replica_status: self.replica.status(),
            members: self.replica.members().iter().cloned().collect(),
            revision: self.state.config.revision(),
        }
    }
}

/// Sends events to a [`Core`].
#[derive(Clone, Debug)]
pub struct CoreHandle(SyncSender<Event>);

impl CoreHandle {
    /// Creates a handle and the receiving end of its queue, for [`Core::run`].
    pub fn new() -> (Self, Receiver<Event>) {
        let (tx, rx) = std::sync::mpsc::sync_channel(QUEUE_CAPACITY);
        (Self(tx), rx)
    }

    /// Queues an event without waiting. Returns `false` if the queue is full or the thread has ended.
    pub fn send(&self, event: Event) -> bool {
        self.0.try_send(event).is_ok()
    }

    /// Queues an event and waits for its reply. Returns `None` if the event was not queued or the
    /// thread ended without a reply.
    pub async fn ask<T>(&self, event: impl FnOnce(Sender<T>) -> Event) -> Option<T> {
        let (tx, rx) = async_channel::bounded(1);
        if !self.send(event(tx)) {
            return None;
        }
        rx.recv().await.ok()
    }
}
