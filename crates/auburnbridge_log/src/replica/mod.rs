//! The state machine of one replica: its state, the dispatch of inputs, and the application of
//! committed records. Each sibling module holds one part of the protocol.

mod boot;
mod changes;
mod election;
mod follower;
mod handover;
mod leader;
mod persistence;
mod reads;
mod snapshots;

use std::collections::BTreeSet;

use auburnbridge_types::{Millis, Timestamp, VmId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, IntoStaticStr};

use self::boot::BootState;
use self::leader::Leader;
use self::persistence::Writer;
use self::snapshots::IncomingSnapshot;
use crate::record_log::RecordLog;
use crate::{
    Body, Config, HardState, Input, LogIndex, MESSAGE_VERSION, Members, Message, Output, Payload,
    Recovered, RejectReason, ReplicaId, Snapshot, Term, Token,
};

/// One replica of the log.
#[derive(Clone, Debug)]
pub struct Replica {
    id: ReplicaId,
    vm: VmId,
    config: Config,
    rng: ChaCha8Rng,
    /// Time for timeouts, which stands still when the clock goes back.
    now: Timestamp,
    /// The clock's latest reading, for the log time.
    clock: Timestamp,
    hard: HardState,
    log: RecordLog,
    snapshot: Option<Snapshot>,
    snapshot_asked: bool,
    incoming: Option<IncomingSnapshot>,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    leader: Option<(ReplicaId, VmId)>,
    leader_contact: Option<Timestamp>,
    election_deadline: Timestamp,
    boot: BootState,
    writer: Writer,
    outputs: Vec<Output>,
}

#[derive(Clone, Debug, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Role {
    Follower,
    PreCandidate(BTreeSet<ReplicaId>),
    Candidate(BTreeSet<ReplicaId>),
    Leader(Box<Leader>),
}

/// State of a replica for status pages and log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The replica.
    pub replica: ReplicaId,
    /// `follower`, `pre-candidate`, `candidate` or `leader`.
    pub role: &'static str,
    /// Current term.
    pub term: Term,
    /// VM of the leader, if one is known.
    pub leader: Option<VmId>,
    /// When the leader was last heard; `None` before that and while this replica leads.
    pub leader_contact: Option<Timestamp>,
    /// Last record in memory.
    pub last: LogIndex,
    /// Last synced record.
    pub synced: LogIndex,
    /// Last record known to be committed.
    pub commit: LogIndex,
    /// Last applied record.
    pub applied: LogIndex,
    /// Whether the peers have confirmed this start.
    pub boot_confirmed: bool,
    /// Whether the folder is known to be an old copy.
    pub superseded: bool,
}

impl Replica {
    /// Starts a replica from the state of its folder. The outputs restore the state machines.
    pub fn recover(
        config: Config,
        vm: VmId,
        recovered: Recovered,
        seed: u64,
        now: Timestamp,
    ) -> (Self, Vec<Output>) {
        let mut log = RecordLog::new(recovered.snapshot.as_ref().map(|snapshot| &snapshot.meta));
        let start = log.base_index();
        for record in recovered.records {
            log.push(record);
        }
        let mut replica = Self {
            id: recovered.replica,
            vm,
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            clock: now,
            hard: recovered.hard_state,
            writer: Writer::new(log.last_index()),
            log,
            snapshot: recovered.snapshot,
            snapshot_asked: false,
            incoming: None,
            commit: start,
            applied: start,
            role: Role::Follower,
            leader: None,
            // A restarted replica may have promised its leader not to vote, so it waits.
            leader_contact: Some(now),
            election_deadline: now,
            boot: BootState::new(now),
            outputs: Vec::new(),
        };
        replica.reset_election_deadline();
        if let Some(snapshot) = &replica.snapshot {
            replica.outputs.push(Output::InstallSnapshot {
                meta: snapshot.meta.clone(),
                data: snapshot.data.clone(),
            });
        }
        let outputs = std::mem::take(&mut replica.outputs);
        (replica, outputs)
    }

    /// Takes one input at time `now`. A clock that goes back doesn't stop the timeouts, which go on
    /// from its new reading.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        self.now = self.now.after(now.since(self.clock));
        self.clock = now;
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.receive(&from, message),
            Input::Propose { token, data } => self.propose(token, data),
            Input::Read { token } => self.read(token),
            Input::Persisted { sequence } => self.persisted(sequence),
            Input::ChangeMembers { token, change } => self.change_members(token, change),
            Input::SnapshotTaken { index, data } => self.snapshot_taken(index, data),
            Input::Resign => self.resign(),
            Input::Bootstrap { members } => self.bootstrap(members),
        }
        self.advance_commit();
        self.apply_committed();
        self.answer_reads();
        self.flush();
        std::mem::take(&mut self.outputs)
    }

    /// Id of the data folder.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether the replica leads the group, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// VM of the leader, if one is known.
    pub fn leader(&self) -> Option<&VmId> {
        self.leader.as_ref().map(|(_, vm)| vm)
    }

    /// The latest member list in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// State for status pages and log lines.
    pub fn status(&self) -> Status {
        Status {
            replica: self.id,
            role: (&self.role).into(),
            term: self.hard.term,
            leader: self.leader().cloned(),
            leader_contact: self.leader().and(self.leader_contact),
            last: self.log.last_index(),
            synced: self.writer.synced(),
            commit: self.commit,
            applied: self.applied,
            boot_confirmed: self.hard.boot.confirmed,
            superseded: self.hard.superseded,
        }
    }

    fn tick(&mut self) {
        self.check_boot();
        if self.is_leader() {
            self.check_quorum();
            self.send_heartbeats_when_due();
            self.end_handover_when_due();
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    fn receive(&mut self, from: &VmId, message: Message) {
        if message.to != self.id || message.from == self.id || message.validate().is_err() {
            return;
        }
        let Message {
            from: sender,
            term,
            body,
            ..
        } = message;
        match body {
            Body::BootCheck {
                counter,
                nonce,
                attempts,
            } => return self.handle_boot_check(from, sender, counter, nonce, attempts),
            Body::BootReply {
                counter,
                nonce,
                accepted,
            } => return self.handle_boot_reply(sender, counter, nonce, accepted),
            Body::PreVote {
                last_index,
                last_term,
            } => return self.handle_pre_vote(from, sender, term, last_index, last_term),
            // A granted pre-vote comes from a replica whose term may be older.
            Body::PreVoteReply {
                next_term,
                granted: true,
            } => return self.handle_pre_vote_reply(sender, next_term),
            // A leader in contact with its followers is not to be disturbed, and its lease stands
            // on the followers ignoring other candidates.
            Body::Vote {
                handover: false, ..
            } if term > self.hard.term && self.follows_live_leader() => return,
            _ => {}
        }
        if term > self.hard.term {
            self.become_follower(term);
        }
        if term < self.hard.term {
            return self.answer_stale(from, sender, &body);
        }
        match body {
            Body::Vote {
                last_index,
                last_term,
                handover: _,
            } => self.handle_vote(from, sender, last_index, last_term),
            Body::Campaign => self.handle_campaign(sender),
            Body::VoteReply { granted } => self.handle_vote_reply(sender, granted),
            Body::Append {
                prev_index,
                prev_term,
                records,
                commit,
                round,
            } => {
                self.hear_leader(from, sender);
                self.handle_append(
                    from,
                    sender,
                    (prev_index, prev_term),
                    records,
                    commit,
                    round,
                );
            }
            Body::SnapshotChunk {
                meta,
                total,
                offset,
                data,
                round,
            } => {
                self.hear_leader(from, sender);
                self.handle_snapshot_chunk(from, sender, &meta, (total, offset), &data, round);
            }
            Body::AppendReply {
                matched,
                hint,
                counts,
                round,
            } => self.handle_append_reply(sender, matched, hint, counts, round),
            Body::SnapshotReply {
                index,
                received,
                counts,
                round,
            } => self.handle_snapshot_reply(sender, index, received, counts, round),
            Body::PreVote { .. }
            | Body::PreVoteReply { .. }
            | Body::BootCheck { .. }
            | Body::BootReply { .. } => {}
        }
    }

    /// Tells a sender with an older term about the current one, so that a stale leader steps down.
    fn answer_stale(&mut self, from: &VmId, sender: ReplicaId, body: &Body) {
        let reply = match body {
            Body::Vote { .. } => Body::VoteReply { granted: false },
            Body::Append { round, .. } | Body::SnapshotChunk { round, .. } => Body::AppendReply {
                matched: None,
                hint: self.commit,
                counts: false,
                round: *round,
            },
            _ => return,
        };
        self.send_synced(from.clone(), sender, reply);
    }

    /// Follows in `term`, which is at least the current one.
    fn become_follower(&mut self, term: Term) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.writer.mark_hard_state();
            self.leader = None;
        }
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) {
            self.leader = None;
            self.leader_contact = None;
            for token in leader.open_tokens() {
                self.reject(token, RejectReason::LeadershipLost);
            }
            self.outputs.push(Output::SteppedDown { term: leader.term });
        }
        self.reset_election_deadline();
    }

    fn apply_committed(&mut self) {
        let end = self.commit.min(self.writer.synced());
        while self.applied < end {
            let index = self.applied.next();
            let record = self
                .log
                .get(index)
                .expect("records after the last applied one are in memory")
                .clone();
            self.applied = index;
            let token = self.take_token(index);
            match record.payload {
                Payload::Noop => {}
                Payload::Data(data) => self.outputs.push(Output::Apply {
                    index,
                    time: record.time,
                    data,
                    token,
                }),
                Payload::Members(members) => {
                    self.step_down_if_removed(&members);
                    self.outputs.push(Output::MembersCommitted {
                        index,
                        members,
                        token,
                    });
                }
            }
        }
        self.ask_for_snapshot();
    }

    fn reset_election_deadline(&mut self) {
        let shortest = self.config.election_timeout.0;
        let timeout = self.rng.random_range(shortest..=shortest * 2);
        self.election_deadline = self.now.after(Millis(timeout));
    }

    fn reject(&mut self, token: Token, reason: RejectReason) {
        self.outputs.push(Output::Reject { token, reason });
    }

    fn reject_not_leader(&mut self, token: Token) {
        let leader = self.leader().cloned();
        self.reject(token, RejectReason::NotLeader { leader });
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            version: MESSAGE_VERSION,
            from: self.id,
            to,
            term: self.hard.term,
            body,
        }
    }

    /// Sends a message that depends on no unsynced state.
    fn send(&mut self, to: VmId, replica: ReplicaId, body: Body) {
        let message = self.message(replica, body);
        self.outputs.push(Output::Send { to, message });
    }
}
