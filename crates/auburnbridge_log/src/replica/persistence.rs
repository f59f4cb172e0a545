//! Writes, and the messages that wait for them.
//!
//! At most one write is open. Everything that changes meanwhile forms the next one (group commit).

use auburnbridge_types::VmId;

use super::Replica;
use crate::{Body, LogIndex, Message, Output, Persist, ReplicaId, Term};

/// What is written, being written and still to be written.
#[derive(Clone, Debug)]
pub(super) struct Writer {
    next_sequence: u64,
    open: Option<OpenWrite>,
    synced: LogIndex,
    next_record: LogIndex,
    truncate_from: Option<LogIndex>,
    hard_state: bool,
    /// Number of the last write with a hard state.
    hard_state_sequence: u64,
    snapshot: bool,
    held: Vec<(u64, Held)>,
}

#[derive(Clone, Copy, Debug)]
struct OpenWrite {
    sequence: u64,
    /// Last record of the write that is still in the log.
    last: LogIndex,
}

/// An action that waits for a write.
#[derive(Clone, Debug)]
pub(super) enum Held {
    Send { to: VmId, message: Box<Message> },
    OwnVote(Term),
}

impl Writer {
    pub(super) fn new(last: LogIndex) -> Self {
        Self {
            next_sequence: 1,
            open: None,
            synced: last,
            next_record: last.next(),
            truncate_from: None,
            hard_state: false,
            hard_state_sequence: 0,
            snapshot: false,
            held: Vec::new(),
        }
    }

    /// Last synced record.
    pub(super) fn synced(&self) -> LogIndex {
        self.synced
    }

    /// First record that no write includes yet.
    pub(super) fn next_record(&self) -> LogIndex {
        self.next_record
    }

    pub(super) fn mark_hard_state(&mut self) {
        self.hard_state = true;
    }

    pub(super) fn mark_snapshot(&mut self) {
        self.snapshot = true;
    }

    /// Notes that the records from `from` on left the log.
    pub(super) fn mark_truncated(&mut self, from: LogIndex) {
        self.limit_synced(from.previous());
        if from < self.next_record {
            self.next_record = from;
            self.truncate_from = Some(self.truncate_from.map_or(from, |other| other.min(from)));
        }
    }

    /// Notes that a snapshot up to `index` replaces the whole log.
    pub(super) fn mark_replaced(&mut self, index: LogIndex) {
        self.limit_synced(LogIndex(0));
        self.snapshot = true;
        self.next_record = index.next();
        self.truncate_from = Some(index.next());
    }

    fn limit_synced(&mut self, last: LogIndex) {
        self.synced = self.synced.min(last);
        if let Some(open) = &mut self.open {
            open.last = open.last.min(last);
        }
    }
}

impl Replica {
    fn has_unwritten_state(&self) -> bool {
        self.writer.hard_state
            || self.writer.snapshot
            || self.writer.truncate_from.is_some()
            || self.writer.next_record <= self.log.last_index()
    }

    /// Performs `action` once all present state is synced.
    pub(super) fn hold(&mut self, action: Held) {
        let open = self.writer.open.map(|open| open.sequence);
        let needed = if self.has_unwritten_state() {
            Some(self.writer.next_sequence)
        } else {
            open
        };
        match needed {
            Some(sequence) => self.writer.held.push((sequence, action)),
            None => self.perform(action),
        }
    }

    /// Sends a message that states something about term, vote, records or boots.
    pub(super) fn send_synced(&mut self, to: VmId, replica: ReplicaId, body: Body) {
        let message = Box::new(self.message(replica, body));
        self.hold(Held::Send { to, message });
    }

    /// Sends a message that states something about term, vote or boots, and about synced records
    /// only. The answer to a heartbeat is one: it must not wait for a slow disk, or the leader would
    /// step down while its followers write.
    pub(super) fn send_with_hard_state(&mut self, to: VmId, replica: ReplicaId, body: Body) {
        let message = Box::new(self.message(replica, body));
        let action = Held::Send { to, message };
        let open = self.writer.open.map(|open| open.sequence);
        if self.writer.hard_state {
            self.writer.held.push((self.writer.next_sequence, action));
        } else if open == Some(self.writer.hard_state_sequence) {
            let sequence = self.writer.hard_state_sequence;
            self.writer.held.push((sequence, action));
        } else {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Held) {
        match action {
            Held::Send { to, message } => self.outputs.push(Output::Send {
                to,
                message: *message,
            }),
            Held::OwnVote(term) => self.count_own_vote(term),
        }
    }

    /// Starts the next write unless one is open.
    pub(super) fn flush(&mut self) {
        if self.writer.open.is_some() || !self.has_unwritten_state() {
            return;
        }
        let records: Vec<_> = self
            .log
            .iter_from(self.writer.next_record)
            .cloned()
            .collect();
        let sequence = self.writer.next_sequence;
        self.writer.next_sequence += 1;
        self.writer.next_record = self.log.last_index().next();
        self.writer.open = Some(OpenWrite {
            sequence,
            last: self.log.last_index(),
        });
        if self.writer.hard_state {
            self.writer.hard_state_sequence = sequence;
        }
        let persist = Persist {
            sequence,
            hard_state: std::mem::take(&mut self.writer.hard_state).then(|| self.hard.clone()),
            snapshot: std::mem::take(&mut self.writer.snapshot)
                .then(|| self.snapshot.clone())
                .flatten(),
            truncate_from: self.writer.truncate_from.take(),
            records,
        };
        // Followers write while this replica does.
        self.replicate();
        self.outputs.push(Output::Persist(persist));
    }

    pub(super) fn persisted(&mut self, sequence: u64) {
        let Some(open) = self.writer.open.take_if(|open| open.sequence == sequence) else {
            return;
        };
        self.writer.synced = self.writer.synced.max(open.last);
        let held = std::mem::take(&mut self.writer.held);
        let (released, kept) = held
            .into_iter()
            .partition(|(needed, _)| *needed <= sequence);
        self.writer.held = kept;
        let released: Vec<(u64, Held)> = released;
        for (_, action) in released {
            self.perform(action);
        }
        self.compact_log();
    }
}
