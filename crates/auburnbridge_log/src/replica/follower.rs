//! Follower: handling of records from the leader.

use auburnbridge_types::VmId;

use super::{Replica, Role};
use crate::message::HeartbeatRound;
use crate::{Body, LogIndex, Payload, Record, ReplicaId, Term};

impl Replica {
    /// Records a message from the leader of the current term and resets the election timeout.
    pub(super) fn record_leader_contact(&mut self, from: &VmId, sender: ReplicaId) {
        debug_assert!(!self.is_leader(), "a term has at most one leader");
        self.role = Role::Follower;
        self.leader = Some((sender, from.clone()));
        self.leader_contact = Some(self.monotonic_now);
        self.reset_election_deadline();
    }

    pub(super) fn handle_append(
        &mut self,
        from: &VmId,
        sender: ReplicaId,
        (prev_index, prev_term): (LogIndex, Term),
        records: Vec<Record>,
        commit: LogIndex,
        round: HeartbeatRound,
    ) {
        let end = LogIndex(prev_index.0 + records.len() as u64);
        let is_heartbeat = records.is_empty();
        let mismatch = self.find_mismatch(prev_index, prev_term);
        let matched = if mismatch.is_none() {
            self.store_records(records);
            self.commit = self.commit.max(commit.min(end));
            let shared = end.max(self.commit);
            Some(if is_heartbeat {
                shared.min(self.writes.synced())
            } else {
                shared
            })
        } else {
            None
        };
        let reply = Body::AppendReply {
            matched,
            hint: mismatch.unwrap_or(end),
            counts: self.counts_in_quorum(),
            round,
        };
        if is_heartbeat {
            return self.send_after_hard_state_sync(from.clone(), sender, reply);
        }
        self.send_after_sync(from.clone(), sender, reply);
    }

    /// If the log does not match the leader's at `prev_index`, returns the highest index at which
    /// it may match; `None` if it matches.
    fn find_mismatch(&self, prev_index: LogIndex, prev_term: Term) -> Option<LogIndex> {
        // Committed records are the same on all replicas, and those before the base are no longer
        // in memory.
        if prev_index <= self.commit || self.log.term(prev_index) == Some(prev_term) {
            return None;
        }
        if prev_index > self.log.last_index() {
            return Some(self.log.last_index());
        }
        let conflict = self.log.first_of_term(prev_index);
        Some(conflict.previous().max(self.commit))
    }

    /// Appends missing records and replaces conflicting ones.
    fn store_records(&mut self, records: Vec<Record>) {
        for record in records {
            let index = record.index;
            if index <= self.commit || self.log.term(index) == Some(record.term) {
                continue;
            }
            if index <= self.log.last_index() {
                self.truncate_from(index);
            }
            self.log.push(record);
        }
    }

    fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.writes.mark_truncated(index);
    }

    /// Appends a record after the last one and returns its index.
    pub(super) fn push_record(&mut self, term: Term, payload: Payload) -> LogIndex {
        let index = self.log.last_index().next();
        let time = self.log.last_time().max(self.wall_clock);
        self.log.push(Record {
            index,
            term,
            time,
            payload,
        });
        index
    }
}
