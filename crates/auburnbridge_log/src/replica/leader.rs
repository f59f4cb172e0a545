//! Leader: proposals, replication, commit, and the check that a quorum still replies.

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnbridge_types::{Millis, Timestamp};

use super::reads::PendingRead;
use super::{Replica, Role};
use crate::message::HeartbeatRound;
use crate::{
    Body, LogIndex, MAX_APPEND_RECORDS, MAX_DATA_BYTES, Member, Members, Output, Payload,
    RejectReason, ReplicaId, Term, Token,
};

/// Maximum number of records sent to a follower that it has not acknowledged.
const MAX_IN_FLIGHT_RECORDS: u64 = 4 * MAX_APPEND_RECORDS as u64;

/// State of a leader in one term.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    pub(super) term: Term,
    /// Index of the first record of the term.
    pub(super) first_index: LogIndex,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    pub(super) reads: Vec<PendingRead>,
    /// Number of the latest heartbeat round. Rounds are counted from 1 in each term; in a round,
    /// the leader sends a heartbeat to each member.
    pub(super) round_number: u64,
    /// Deadline of a leadership transfer, until which proposals and member changes are rejected;
    /// `Some` while a transfer is in progress.
    pub(super) transfer_deadline: Option<Timestamp>,
    /// Whether `Campaign` was sent to a voter. The message may arrive late, so this leader holds no
    /// lease for the rest of its term.
    pub(super) transfer_requested: bool,
    tokens: BTreeMap<LogIndex, Token>,
    elected_at: Timestamp,
    next_heartbeat: Timestamp,
}

/// Replication progress of another member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the last record that the member has synced and that matches the leader's.
    pub(super) matched: LogIndex,
    /// Index of the next record to send.
    pub(super) next: LogIndex,
    pub(super) mode: ReplicationMode,
    /// Latest heartbeat round that the member acknowledged.
    pub(super) acked_round: HeartbeatRound,
    /// Whether the member counted towards the quorum according to its latest reply.
    pub(super) counts_in_quorum: bool,
}

/// How records are sent to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplicationMode {
    /// Sends one message per heartbeat until the matching prefix is found.
    Probe,
    /// Sends records without waiting for replies, up to [`MAX_IN_FLIGHT_RECORDS`].
    Stream,
    /// Sends chunks of the snapshot at `index`, of which the member has received `received` bytes.
    Snapshot { index: LogIndex, received: u64 },
}

impl Progress {
    fn new(next: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            mode: ReplicationMode::Probe,
            acked_round: HeartbeatRound::default(),
            counts_in_quorum: false,
        }
    }

    /// Records a reply. One from a replica that doesn't count towards the quorum acknowledges
    /// nothing.
    pub(super) fn record_reply(&mut self, counts_in_quorum: bool, round: HeartbeatRound) {
        self.counts_in_quorum = counts_in_quorum;
        if counts_in_quorum && round.number > self.acked_round.number {
            self.acked_round = round;
        }
    }
}

impl Leader {
    /// Returns the handles of all pending requests.
    pub(super) fn pending_tokens(&self) -> impl Iterator<Item = Token> {
        let reads = self.reads.iter().map(|read| read.token);
        self.tokens.values().copied().chain(reads)
    }
}

impl Replica {
    pub(super) fn leader_state(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => None,
        }
    }

    pub(super) fn become_leader(&mut self) {
        let term = self.hard_state.term;
        let first_index = self.push_record(term, Payload::Noop);
        self.role = Role::Leader(Box::new(Leader {
            term,
            first_index,
            progress: BTreeMap::new(),
            reads: Vec::new(),
            round_number: 0,
            transfer_deadline: None,
            transfer_requested: false,
            tokens: BTreeMap::new(),
            elected_at: self.monotonic_now,
            next_heartbeat: self.monotonic_now,
        }));
        self.leader = Some((self.id, self.vm.clone()));
        self.update_progress(first_index);
        self.outputs.push(Output::BecameLeader { term });
        self.send_heartbeats_when_due();
    }

    /// Updates the progress table to the member list; new members are sent records from `next` on.
    pub(super) fn update_progress(&mut self, next: LogIndex) {
        let id = self.id;
        let members = self.members().clone();
        self.unanswered.retain_members(&members);
        let Some(leader) = self.leader_state() else {
            return;
        };
        leader
            .progress
            .retain(|replica, _| members.get(*replica).is_some());
        for member in members.iter().filter(|member| member.replica != id) {
            leader
                .progress
                .entry(member.replica)
                .or_insert_with(|| Progress::new(next));
        }
    }

    pub(super) fn propose(&mut self, token: Token, data: Arc<[u8]>) {
        if data.len() > MAX_DATA_BYTES {
            return self.reject(token, RejectReason::TooLarge);
        }
        self.append_request(token, Payload::Data(data));
    }

    /// Appends a record for a request, or rejects it.
    pub(super) fn append_request(&mut self, token: Token, payload: Payload) {
        if !self.is_leader() {
            return self.reject_not_leader(token);
        }
        if self.is_transferring_leadership() {
            return self.reject(token, RejectReason::Busy);
        }
        let uncommitted = self.log.last_index().0 - self.commit.0;
        if uncommitted >= self.config.max_pending_records {
            return self.reject(token, RejectReason::Busy);
        }
        let index = self.push_record(self.hard_state.term, payload);
        if let Some(leader) = self.leader_state() {
            leader.tokens.insert(index, token);
        }
    }

    pub(super) fn take_token(&mut self, index: LogIndex) -> Option<Token> {
        self.leader_state()?.tokens.remove(&index)
    }

    /// Starts a round: sends a heartbeat to each member and schedules the next one.
    pub(super) fn send_heartbeats(&mut self) {
        let next_heartbeat = self.monotonic_now.after(self.config.heartbeat_interval);
        let Some(leader) = self.leader_state() else {
            return;
        };
        leader.round_number += 1;
        leader.next_heartbeat = next_heartbeat;
        let replicas: Vec<_> = leader.progress.keys().copied().collect();
        for replica in replicas {
            self.send_records(replica, true);
        }
    }

    pub(super) fn send_heartbeats_when_due(&mut self) {
        let now = self.monotonic_now;
        if self
            .leader_state()
            .is_some_and(|leader| now >= leader.next_heartbeat)
        {
            self.send_heartbeats();
        }
    }

    /// Sends new records to the members in stream mode.
    pub(super) fn replicate(&mut self) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let streaming: Vec<_> = leader
            .progress
            .iter()
            .filter(|(_, progress)| progress.mode == ReplicationMode::Stream)
            .map(|(replica, _)| *replica)
            .collect();
        for replica in streaming {
            self.send_records(replica, false);
        }
    }

    /// Sends a member the records or the snapshot that it lacks. With `heartbeat`, sends a message
    /// even without records.
    pub(super) fn send_records(&mut self, replica: ReplicaId, heartbeat: bool) {
        let Some(vm) = self.members().get(replica).map(|member| member.vm.clone()) else {
            return;
        };
        let sent = self.monotonic_now;
        let (base, last_written) = (
            self.log.base_index(),
            self.writes.first_unwritten().previous(),
        );
        let Some(leader) = self.leader_state() else {
            return;
        };
        let round = HeartbeatRound {
            number: leader.round_number,
            sent,
        };
        let Some(progress) = leader.progress.get(&replica) else {
            return;
        };
        let (next, matched, mode) = (progress.next, progress.matched, progress.mode);
        if matches!(mode, ReplicationMode::Snapshot { .. }) || next <= base {
            return self.send_snapshot_chunk(vm, replica, round);
        }
        let prev_index = next.previous();
        let window_end = LogIndex(matched.0.max(base.0) + MAX_IN_FLIGHT_RECORDS);
        let end = match mode {
            ReplicationMode::Stream => last_written.min(window_end),
            ReplicationMode::Probe | ReplicationMode::Snapshot { .. } => last_written,
        };
        let records = self.batch(next, end);
        if records.is_empty() && !heartbeat {
            return;
        }
        if mode == ReplicationMode::Stream {
            let sent_end = LogIndex(prev_index.0 + records.len() as u64).next();
            if let Some(progress) = self.progress_mut(replica) {
                progress.next = sent_end;
            }
        }
        let body = Body::Append {
            prev_index,
            prev_term: self
                .log
                .term(prev_index)
                .expect("the terms of the base and of later records are in memory"),
            records,
            commit: self.commit,
            round,
        };
        self.send(vm, replica, body);
    }

    pub(super) fn progress_mut(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        self.leader_state()?.progress.get_mut(&replica)
    }

    /// Returns the records from `next` through `end`, up to the limits of one message.
    fn batch(&self, next: LogIndex, end: LogIndex) -> Vec<crate::Record> {
        let mut bytes = 0;
        self.log
            .iter_from(next)
            .take(MAX_APPEND_RECORDS)
            .take_while(|record| {
                let first = bytes == 0;
                bytes += record.payload.size();
                record.index <= end && (first || bytes <= self.config.max_append_bytes)
            })
            .cloned()
            .collect()
    }

    pub(super) fn handle_append_reply(
        &mut self,
        sender: ReplicaId,
        matched: Option<LogIndex>,
        hint: LogIndex,
        counts_in_quorum: bool,
        round: HeartbeatRound,
    ) {
        let base = self.log.base_index();
        let Some(progress) = self.progress_mut(sender) else {
            return;
        };
        progress.record_reply(counts_in_quorum, round);
        let Some(matched) = matched else {
            if !matches!(progress.mode, ReplicationMode::Snapshot { .. }) {
                progress.mode = ReplicationMode::Probe;
                progress.next = progress.next.min(hint.next());
                self.send_records(sender, true);
            }
            return;
        };
        if counts_in_quorum {
            progress.matched = progress.matched.max(matched);
        }
        let can_stream = match progress.mode {
            ReplicationMode::Probe | ReplicationMode::Stream => true,
            ReplicationMode::Snapshot { .. } => matched >= base,
        };
        if can_stream {
            progress.mode = ReplicationMode::Stream;
            progress.next = progress.next.max(matched.next());
            self.send_records(sender, false);
        }
        self.transfer_leadership();
    }

    /// Advances the commit index to the last record that a quorum has synced, if it is of this term.
    /// A record of an earlier term is never committed by counting replicas alone, since a later
    /// leader could still replace it.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members = self.members();
        let quorum_synced = quorum_value(members, |replica| {
            if replica == self.id {
                return self.writes.synced();
            }
            leader
                .progress
                .get(&replica)
                .map_or(LogIndex(0), |progress| progress.matched)
        });
        if quorum_synced > self.commit && quorum_synced >= leader.first_index {
            self.commit = quorum_synced;
            self.transfer_leadership();
        }
    }

    /// Returns the latest time at which a quorum is known to have accepted this leader.
    pub(super) fn quorum_contact(&self, leader: &Leader) -> Timestamp {
        quorum_value(self.members(), |replica| {
            if replica == self.id {
                return self.monotonic_now;
            }
            leader
                .progress
                .get(&replica)
                .map_or(Timestamp(0), |progress| progress.acked_round.sent)
        })
    }

    /// Returns the members that have left requests unanswered for `limit`; none unless this replica
    /// has led for an election timeout, so that each member had time to reply to it as the leader.
    pub fn silent_members(&self, limit: Millis) -> impl Iterator<Item = &Member> {
        let now = self.monotonic_now;
        let is_established = match &self.role {
            Role::Leader(leader) => now.since(leader.elected_at) >= self.config.election_timeout,
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => false,
        };
        self.members()
            .iter()
            .filter(move |member| member.replica != self.id)
            .filter(move |member| {
                is_established && self.unanswered.silence(member.replica, now) >= limit
            })
    }

    /// Steps down if a quorum has not replied within an election timeout. Links may fail in one
    /// direction only, in which case followers still receive heartbeats from a leader that can't
    /// commit anything.
    pub(super) fn check_quorum(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let contact = self.quorum_contact(leader).max(leader.elected_at);
        if self.monotonic_now.since(contact) >= self.config.election_timeout {
            self.become_follower(self.hard_state.term);
        }
    }

    /// Steps down once a list without this leader is committed. Lists that a later one has replaced
    /// don't count: after a restart, a leader applies old ones from before it became a voter.
    pub(super) fn step_down_if_removed(&mut self) {
        let (index, members) = self.log.members();
        if self.is_leader() && index <= self.commit && !members.is_voter(self.id) {
            self.become_follower(self.hard_state.term);
        }
    }
}

/// Returns the highest value that a quorum of voters has reached.
pub(super) fn quorum_value<T: Ord + Default>(
    members: &Members,
    value: impl Fn(ReplicaId) -> T,
) -> T {
    let mut values: Vec<_> = members
        .voters()
        .map(|member| value(member.replica))
        .collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values
        .into_iter()
        .nth(members.quorum() - 1)
        .unwrap_or_default()
}
