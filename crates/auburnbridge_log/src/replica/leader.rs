//! The leader: proposals, replication, commit, and the check that a quorum still answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnbridge_types::Timestamp;

use super::reads::PendingRead;
use super::{Replica, Role};
use crate::message::Round;
use crate::{
    Body, LogIndex, MAX_APPEND_RECORDS, MAX_DATA_BYTES, Members, Output, Payload, RejectReason,
    ReplicaId, Term, Token,
};

/// Records that a follower may lag behind what was sent to it.
const WINDOW_RECORDS: u64 = 4 * MAX_APPEND_RECORDS as u64;

/// State of a leader in one term.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    pub(super) term: Term,
    /// First record of the term.
    pub(super) first_index: LogIndex,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    pub(super) reads: Vec<PendingRead>,
    pub(super) round: u64,
    /// End of the attempt to hand over; requests are refused until then.
    pub(super) handover_until: Option<Timestamp>,
    /// A voter was asked to take over. That request may arrive late, so no lease holds any more.
    pub(super) has_handed_over: bool,
    tokens: BTreeMap<LogIndex, Token>,
    since: Timestamp,
    next_heartbeat: Timestamp,
}

/// What the leader knows about another member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The member has synced the records up to here.
    pub(super) matched: LogIndex,
    /// First record to send.
    pub(super) next: LogIndex,
    pub(super) flow: Flow,
    /// Latest round that the member answered.
    pub(super) answered: Round,
    /// Whether the member's boot was confirmed in its latest answer.
    pub(super) counts: bool,
}

/// How records are sent to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// One message per heartbeat until the shared prefix is found.
    Probe,
    /// A stream of messages.
    Stream,
    /// Chunks of the snapshot up to `index`, of which the member holds `received` bytes.
    Snapshot { index: LogIndex, received: u64 },
}

impl Progress {
    fn new(next: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            flow: Flow::Probe,
            answered: Round::default(),
            counts: false,
        }
    }

    /// Notes an answer; one from a replica that doesn't count proves nothing.
    pub(super) fn note_answer(&mut self, counts: bool, round: Round) {
        self.counts = counts;
        if counts && round.number > self.answered.number {
            self.answered = round;
        }
    }
}

impl Leader {
    /// Handles of all requests without an answer.
    pub(super) fn open_tokens(&self) -> impl Iterator<Item = Token> {
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
        let term = self.hard.term;
        let first_index = self.push_record(term, Payload::Noop);
        self.role = Role::Leader(Box::new(Leader {
            term,
            first_index,
            progress: BTreeMap::new(),
            reads: Vec::new(),
            round: 0,
            handover_until: None,
            has_handed_over: false,
            tokens: BTreeMap::new(),
            since: self.now,
            next_heartbeat: self.now,
        }));
        self.leader = Some((self.id, self.vm.clone()));
        self.update_progress(first_index);
        self.outputs.push(Output::BecameLeader { term });
        self.send_heartbeats_when_due();
    }

    /// Makes the progress table fit the member list; new members are sent records from `next` on.
    pub(super) fn update_progress(&mut self, next: LogIndex) {
        let id = self.id;
        let members = self.members().clone();
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
        if self.is_handing_over() {
            return self.reject(token, RejectReason::Busy);
        }
        let uncommitted = self.log.last_index().0 - self.commit.0;
        if uncommitted >= self.config.pending_records {
            return self.reject(token, RejectReason::Busy);
        }
        let index = self.push_record(self.hard.term, payload);
        if let Some(leader) = self.leader_state() {
            leader.tokens.insert(index, token);
        }
    }

    pub(super) fn take_token(&mut self, index: LogIndex) -> Option<Token> {
        self.leader_state()?.tokens.remove(&index)
    }

    /// Sends a heartbeat to each member and starts the next one's interval.
    pub(super) fn send_heartbeats(&mut self) {
        let next_heartbeat = self.now.after(self.config.heartbeat_interval);
        let Some(leader) = self.leader_state() else {
            return;
        };
        leader.round += 1;
        leader.next_heartbeat = next_heartbeat;
        let replicas: Vec<_> = leader.progress.keys().copied().collect();
        for replica in replicas {
            self.send_records(replica, true);
        }
    }

    pub(super) fn send_heartbeats_when_due(&mut self) {
        let now = self.now;
        if self
            .leader_state()
            .is_some_and(|leader| now >= leader.next_heartbeat)
        {
            self.send_heartbeats();
        }
    }

    /// Sends new records to the members that follow the stream.
    pub(super) fn replicate(&mut self) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let streaming: Vec<_> = leader
            .progress
            .iter()
            .filter(|(_, progress)| progress.flow == Flow::Stream)
            .map(|(replica, _)| *replica)
            .collect();
        for replica in streaming {
            self.send_records(replica, false);
        }
    }

    /// Sends a member what it lacks; `heartbeat` sends even nothing.
    pub(super) fn send_records(&mut self, replica: ReplicaId, heartbeat: bool) {
        let Some(vm) = self.members().get(replica).map(|member| member.vm.clone()) else {
            return;
        };
        let sent = self.now;
        let (base, last_written) = (self.log.base_index(), self.writer.next_record().previous());
        let Some(leader) = self.leader_state() else {
            return;
        };
        let round = Round {
            number: leader.round,
            sent,
        };
        let Some(progress) = leader.progress.get(&replica) else {
            return;
        };
        let (next, matched, flow) = (progress.next, progress.matched, progress.flow);
        if matches!(flow, Flow::Snapshot { .. }) || next <= base {
            return self.send_snapshot_chunk(vm, replica, round);
        }
        let prev_index = next.previous();
        let window_end = LogIndex(matched.0.max(base.0) + WINDOW_RECORDS);
        let end = match flow {
            Flow::Stream => last_written.min(window_end),
            Flow::Probe | Flow::Snapshot { .. } => last_written,
        };
        let records = self.batch(next, end);
        if records.is_empty() && !heartbeat {
            return;
        }
        if flow == Flow::Stream {
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
                .expect("records from the base on are in memory"),
            records,
            commit: self.commit,
            round,
        };
        self.send(vm, replica, body);
    }

    pub(super) fn progress_mut(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        self.leader_state()?.progress.get_mut(&replica)
    }

    /// Records from `next` through `end`, up to the limits of one message.
    fn batch(&self, next: LogIndex, end: LogIndex) -> Vec<crate::Record> {
        let mut bytes = 0;
        self.log
            .iter_from(next)
            .take(MAX_APPEND_RECORDS)
            .take_while(|record| {
                let first = bytes == 0;
                bytes += record.payload.size();
                record.index <= end && (first || bytes <= self.config.append_bytes)
            })
            .cloned()
            .collect()
    }

    pub(super) fn handle_append_reply(
        &mut self,
        sender: ReplicaId,
        matched: Option<LogIndex>,
        hint: LogIndex,
        counts: bool,
        round: Round,
    ) {
        let base = self.log.base_index();
        let Some(progress) = self.progress_mut(sender) else {
            return;
        };
        progress.note_answer(counts, round);
        let Some(matched) = matched else {
            if !matches!(progress.flow, Flow::Snapshot { .. }) {
                progress.flow = Flow::Probe;
                progress.next = progress.next.min(hint.next());
                self.send_records(sender, true);
            }
            return;
        };
        if counts {
            progress.matched = progress.matched.max(matched);
        }
        let resumes = match progress.flow {
            Flow::Probe | Flow::Stream => true,
            Flow::Snapshot { .. } => matched >= base,
        };
        if resumes {
            progress.flow = Flow::Stream;
            progress.next = progress.next.max(matched.next());
            self.send_records(sender, false);
        }
        self.hand_over();
    }

    /// Commits what a quorum has synced, if it includes a record of this term. Counting a record of
    /// an earlier term alone would not be safe: a later leader could still replace it.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members = self.members();
        let agreed = quorum_value(members, |replica| {
            if replica == self.id {
                return self.writer.synced();
            }
            leader
                .progress
                .get(&replica)
                .map_or(LogIndex(0), |progress| progress.matched)
        });
        if agreed > self.commit && agreed >= leader.first_index {
            self.commit = agreed;
            self.hand_over();
        }
    }

    /// Time at which a quorum is known to have accepted this leader.
    pub(super) fn quorum_contact(&self, leader: &Leader) -> Timestamp {
        quorum_value(self.members(), |replica| {
            if replica == self.id {
                return self.now;
            }
            leader
                .progress
                .get(&replica)
                .map_or(Timestamp(0), |progress| progress.answered.sent)
        })
    }

    /// Steps down without a quorum: links fail in one direction only, so followers may still hear
    /// this leader while it can't commit anything.
    pub(super) fn check_quorum(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let contact = self.quorum_contact(leader).max(leader.since);
        if self.now.since(contact) >= self.config.election_timeout {
            self.become_follower(self.hard.term);
        }
    }

    pub(super) fn step_down_if_removed(&mut self, committed: &Members) {
        if self.is_leader() && !committed.is_voter(self.id) {
            self.become_follower(self.hard.term);
        }
    }
}

/// The highest value that a quorum of voters has reached.
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
