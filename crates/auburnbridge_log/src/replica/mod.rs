//! State machine of a replica: its state, the dispatch of inputs and the application of committed
//! records. Each submodule implements one part of the protocol.

mod boot;
mod election;
mod follower;
mod leader;
mod membership;
mod persistence;
mod reads;
mod silence;
mod snapshots;
mod transfer;

use std::collections::BTreeSet;

use auburnbridge_types::{Millis, Timestamp, VmId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, IntoStaticStr};

use self::boot::BootState;
use self::leader::Leader;
use self::persistence::WriteTracker;
use self::silence::UnansweredRequests;
use self::snapshots::IncomingSnapshot;
use crate::record_log::RecordLog;
use crate::{
    Body, Config, HardState, Input, LogIndex, MESSAGE_VERSION, Members, Message, Output, Payload,
    RecoveredState, RejectReason, ReplicaId, Snapshot, Term, Token,
};

/// Longest pause between two requests to a silent replica, in election timeouts. A candidate repeats
/// its requests after at most two.
const REQUEST_PAUSE_ELECTION_TIMEOUTS: u64 = 3;

/// One replica of the log.
#[derive(Clone, Debug)]
pub struct Replica {
    id: ReplicaId,
    vm: VmId,
    config: Config,
    rng: ChaCha8Rng,
    /// Time for timeouts; it advances with the clock, but never goes back.
    monotonic_now: Timestamp,
    /// Latest reading of the clock that the caller passed in, used for log time.
    wall_clock: Timestamp,
    hard_state: HardState,
    log: RecordLog,
    snapshot: Option<Snapshot>,
    snapshot_requested: bool,
    incoming_snapshot: Option<IncomingSnapshot>,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    leader: Option<(ReplicaId, VmId)>,
    leader_contact: Option<Timestamp>,
    election_deadline: Timestamp,
    boot: BootState,
    unanswered: UnansweredRequests,
    writes: WriteTracker,
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

/// State of a replica for status reports and log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// `follower`, `pre-candidate`, `candidate` or `leader`.
    pub role: &'static str,
    /// Current term.
    pub term: Term,
    /// VM of the leader, if one is known.
    pub leader: Option<VmId>,
    /// Time of the last message from the leader, or `None` if no leader is known. Has no meaning
    /// while this replica leads.
    pub leader_contact: Option<Timestamp>,
    /// Index of the last record in the log.
    pub last: LogIndex,
    /// Index of the last synced record.
    pub synced: LogIndex,
    /// Index of the last record known to be committed.
    pub commit: LogIndex,
    /// Index of the last applied record.
    pub applied: LogIndex,
    /// Whether the peers have confirmed this boot.
    pub boot_confirmed: bool,
    /// Whether the data folder is known to be an outdated copy.
    pub superseded: bool,
}

impl Replica {
    /// Creates a replica from the recovered state of its data folder. The outputs restore the state
    /// machines.
    pub fn recover(
        config: Config,
        vm: VmId,
        recovered: RecoveredState,
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
            unanswered: UnansweredRequests::new(Millis(
                config.election_timeout.0 * REQUEST_PAUSE_ELECTION_TIMEOUTS,
            )),
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            monotonic_now: now,
            wall_clock: now,
            hard_state: recovered.hard_state,
            writes: WriteTracker::new(log.last_index()),
            log,
            snapshot: recovered.snapshot,
            snapshot_requested: false,
            incoming_snapshot: None,
            commit: start,
            applied: start,
            role: Role::Follower,
            leader: None,
            // Before the restart, the replica may have extended its leader's lease by a reply (see
            // `reads`), so it grants no vote for an election timeout.
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

    /// Processes one input; `now` is the reading of the clock. If the clock goes back, the time for
    /// timeouts stands still in this step and then advances with the clock again.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        let elapsed = now.since(self.wall_clock);
        self.monotonic_now = self.monotonic_now.after(elapsed);
        self.wall_clock = now;
        if elapsed >= self.config.election_timeout {
            self.unanswered.exclude(elapsed);
        }
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
        self.serve_reads();
        self.flush();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the replica id.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether the replica considers itself the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the VM of the leader, if one is known.
    pub fn leader(&self) -> Option<&VmId> {
        self.leader.as_ref().map(|(_, vm)| vm)
    }

    /// Returns the latest member list in the log, which may be uncommitted.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Returns the commands in the log that are not applied yet. They may be uncommitted.
    pub fn unapplied_commands(&self) -> impl Iterator<Item = &[u8]> {
        self.log
            .iter_from(self.applied.next())
            .filter_map(|record| match &record.payload {
                Payload::Data(data) => Some(&**data),
                Payload::Noop | Payload::Members(_) => None,
            })
    }

    /// Returns the state for status reports and log lines.
    pub fn status(&self) -> Status {
        Status {
            replica: self.id,
            role: (&self.role).into(),
            term: self.hard_state.term,
            leader: self.leader().cloned(),
            leader_contact: self.leader().and(self.leader_contact),
            last: self.log.last_index(),
            synced: self.writes.synced(),
            commit: self.commit,
            applied: self.applied,
            boot_confirmed: self.hard_state.boot.confirmed,
            superseded: self.hard_state.superseded,
        }
    }

    fn tick(&mut self) {
        self.advance_boot_check();
        if self.is_leader() {
            self.check_quorum();
            self.send_heartbeats_when_due();
            self.cancel_expired_transfer();
        } else if self.monotonic_now >= self.election_deadline {
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
        if body.is_reply() {
            self.unanswered.forget(sender);
        }
        match body {
            Body::BootCheck {
                counter,
                nonce,
                unconfirmed_nonces,
            } => return self.handle_boot_check(from, sender, counter, nonce, unconfirmed_nonces),
            Body::BootReply {
                counter,
                nonce,
                accepted,
            } => return self.handle_boot_reply(sender, counter, nonce, accepted),
            Body::LiveLeader => return self.handle_live_leader(sender),
            Body::PreVote {
                last_index,
                last_term,
            } => return self.handle_pre_vote(from, sender, term, last_index, last_term),
            // A replica that grants a pre-vote may have an older term.
            Body::PreVoteReply {
                next_term,
                granted: true,
            } => return self.handle_pre_vote_reply(sender, next_term),
            // Followers of a live leader ignore other candidates, so that they can't disrupt it.
            // Leases depend on this.
            Body::Vote {
                is_transfer: false, ..
            } if term > self.hard_state.term && self.has_live_leader() => return,
            _ => {}
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        if term < self.hard_state.term {
            return self.reply_to_stale_sender(from, sender, &body);
        }
        match body {
            Body::Vote {
                last_index,
                last_term,
                is_transfer: _,
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
                self.record_leader_contact(from, sender);
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
                self.record_leader_contact(from, sender);
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
            | Body::BootReply { .. }
            | Body::LiveLeader => {}
        }
    }

    /// Replies to a sender with an older term with the current one, so that a stale leader steps
    /// down.
    fn reply_to_stale_sender(&mut self, from: &VmId, sender: ReplicaId, body: &Body) {
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
        self.send_after_sync(from.clone(), sender, reply);
    }

    /// Becomes a follower in `term`, which is at least the current one.
    fn become_follower(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.writes.mark_hard_state_dirty();
            self.leader = None;
        }
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) {
            self.leader = None;
            self.leader_contact = None;
            for token in leader.pending_tokens() {
                self.reject(token, RejectReason::LeadershipLost);
            }
            self.outputs.push(Output::SteppedDown { term: leader.term });
        }
        self.reset_election_deadline();
    }

    fn apply_committed(&mut self) {
        let end = self.commit.min(self.writes.synced());
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
                    self.step_down_if_removed();
                    self.outputs.push(Output::MembersCommitted {
                        index,
                        members,
                        token,
                    });
                }
            }
        }
        self.request_snapshot_when_due();
    }

    fn reset_election_deadline(&mut self) {
        let shortest = self.config.election_timeout.0;
        let timeout = self.rng.random_range(shortest..=shortest * 2);
        self.election_deadline = self.monotonic_now.after(Millis(timeout));
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
            term: self.hard_state.term,
            body,
        }
    }

    fn record_request(&mut self, to: ReplicaId, body: &Body) {
        if body.requires_reply() {
            self.unanswered.record_request(to, self.monotonic_now);
        }
    }

    /// Sends a message that does not depend on unsynced state.
    fn send(&mut self, to: VmId, replica: ReplicaId, body: Body) {
        self.record_request(replica, &body);
        let message = self.message(replica, body);
        self.outputs.push(Output::Send { to, message });
    }
}
