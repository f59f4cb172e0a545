//! Writes, and the actions that wait for them.
//!
//! At most one write is in flight. All changes made in the meantime form the next write (group
//! commit).

use auburnbridge_types::VmId;

use super::Replica;
use crate::{Body, LogIndex, Message, Output, Persist, ReplicaId, Term};

/// Tracks which state is synced, being written and not yet written.
#[derive(Clone, Debug)]
pub(super) struct WriteTracker {
    next_sequence: u64,
    in_flight: Option<InFlightWrite>,
    synced: LogIndex,
    first_unwritten: LogIndex,
    truncate_from: Option<LogIndex>,
    hard_state_dirty: bool,
    /// Sequence number of the last write that included the hard state.
    hard_state_sequence: u64,
    snapshot_dirty: bool,
    deferred: Vec<(u64, DeferredAction)>,
}

#[derive(Clone, Copy, Debug)]
struct InFlightWrite {
    sequence: u64,
    /// Index of the last record of the write; lowered if the log is truncated before the write is
    /// synced, so that no truncated record counts as synced.
    last: LogIndex,
}

/// Action that waits for a write to be synced.
#[derive(Clone, Debug)]
pub(super) enum DeferredAction {
    Send { to: VmId, message: Box<Message> },
    CountOwnVote(Term),
}

impl WriteTracker {
    pub(super) fn new(last: LogIndex) -> Self {
        Self {
            next_sequence: 1,
            in_flight: None,
            synced: last,
            first_unwritten: last.next(),
            truncate_from: None,
            hard_state_dirty: false,
            hard_state_sequence: 0,
            snapshot_dirty: false,
            deferred: Vec::new(),
        }
    }

    /// Returns the index of the last synced record.
    pub(super) fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Returns the first index that no write includes yet.
    pub(super) fn first_unwritten(&self) -> LogIndex {
        self.first_unwritten
    }

    pub(super) fn mark_hard_state_dirty(&mut self) {
        self.hard_state_dirty = true;
    }

    pub(super) fn mark_snapshot_dirty(&mut self) {
        self.snapshot_dirty = true;
    }

    /// Records a truncation of the log from `from` on.
    pub(super) fn mark_truncated(&mut self, from: LogIndex) {
        self.lower_synced(from.previous());
        if from < self.first_unwritten {
            self.first_unwritten = from;
            self.truncate_from = Some(self.truncate_from.map_or(from, |other| other.min(from)));
        }
    }

    /// Records the replacement of the whole log by a snapshot at `index`.
    pub(super) fn mark_log_replaced(&mut self, index: LogIndex) {
        self.lower_synced(LogIndex(0));
        self.snapshot_dirty = true;
        self.first_unwritten = index.next();
        self.truncate_from = Some(index.next());
    }

    fn lower_synced(&mut self, last: LogIndex) {
        self.synced = self.synced.min(last);
        if let Some(write) = &mut self.in_flight {
            write.last = write.last.min(last);
        }
    }
}

impl Replica {
    fn has_unwritten_state(&self) -> bool {
        self.writes.hard_state_dirty
            || self.writes.snapshot_dirty
            || self.writes.truncate_from.is_some()
            || self.writes.first_unwritten <= self.log.last_index()
    }

    /// Performs `action` once all current state is synced.
    pub(super) fn run_after_sync(&mut self, action: DeferredAction) {
        let in_flight = self.writes.in_flight.map(|write| write.sequence);
        let needed = if self.has_unwritten_state() {
            Some(self.writes.next_sequence)
        } else {
            in_flight
        };
        match needed {
            Some(sequence) => self.writes.deferred.push((sequence, action)),
            None => self.perform(action),
        }
    }

    /// Sends a message that depends on the term, vote, records or boots, once they are synced.
    pub(super) fn send_after_sync(&mut self, to: VmId, replica: ReplicaId, body: Body) {
        self.record_request(replica, &body);
        let message = Box::new(self.message(replica, body));
        self.run_after_sync(DeferredAction::Send { to, message });
    }

    /// Sends a message that depends on the term, vote or boots, and on no unsynced records, once the
    /// hard state is synced. A reply to a heartbeat must not wait for records on a slow disk, or the
    /// leader would step down while its followers write.
    pub(super) fn send_after_hard_state_sync(&mut self, to: VmId, replica: ReplicaId, body: Body) {
        let message = Box::new(self.message(replica, body));
        let action = DeferredAction::Send { to, message };
        let in_flight = self.writes.in_flight.map(|write| write.sequence);
        if self.writes.hard_state_dirty {
            self.writes
                .deferred
                .push((self.writes.next_sequence, action));
        } else if in_flight == Some(self.writes.hard_state_sequence) {
            let sequence = self.writes.hard_state_sequence;
            self.writes.deferred.push((sequence, action));
        } else {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: DeferredAction) {
        match action {
            DeferredAction::Send { to, message } => self.outputs.push(Output::Send {
                to,
                message: *message,
            }),
            DeferredAction::CountOwnVote(term) => self.count_own_vote(term),
        }
    }

    /// Starts the next write unless one is in flight.
    pub(super) fn flush(&mut self) {
        if self.writes.in_flight.is_some() || !self.has_unwritten_state() {
            return;
        }
        let records: Vec<_> = self
            .log
            .iter_from(self.writes.first_unwritten)
            .cloned()
            .collect();
        let sequence = self.writes.next_sequence;
        self.writes.next_sequence += 1;
        self.writes.first_unwritten = self.log.last_index().next();
        self.writes.in_flight = Some(InFlightWrite {
            sequence,
            last: self.log.last_index(),
        });
        if self.writes.hard_state_dirty {
            self.writes.hard_state_sequence = sequence;
        }
        let persist = Persist {
            sequence,
            hard_state: std::mem::take(&mut self.writes.hard_state_dirty)
                .then(|| self.hard_state.clone()),
            snapshot: std::mem::take(&mut self.writes.snapshot_dirty)
                .then(|| self.snapshot.clone())
                .flatten(),
            truncate_from: self.writes.truncate_from.take(),
            records,
        };
        // Sends first, so that followers write in parallel with this replica.
        self.replicate();
        self.outputs.push(Output::Persist(persist));
    }

    pub(super) fn persisted(&mut self, sequence: u64) {
        let Some(write) = self
            .writes
            .in_flight
            .take_if(|write| write.sequence == sequence)
        else {
            return;
        };
        self.writes.synced = self.writes.synced.max(write.last);
        let deferred = std::mem::take(&mut self.writes.deferred);
        let (ready, waiting) = deferred
            .into_iter()
            .partition(|(needed, _)| *needed <= sequence);
        self.writes.deferred = waiting;
        let ready: Vec<(u64, DeferredAction)> = ready;
        for (_, action) in ready {
            self.perform(action);
        }
        self.compact_log();
    }
}
