//! The part of the log that a replica keeps in memory, and the member lists in it.

use std::collections::VecDeque;

use auburnbridge_types::Timestamp;

use crate::{LogIndex, Members, Payload, Record, SnapshotMeta, Term};

/// Contiguous records after the base, which is the last record that was compacted.
#[derive(Clone, Debug)]
pub(crate) struct RecordLog {
    base_index: LogIndex,
    base_term: Term,
    base_time: Timestamp,
    records: VecDeque<Record>,
    /// Member lists in the log, ordered by index; the first one is in effect at the base.
    members: Vec<(LogIndex, Members)>,
}

impl RecordLog {
    /// Creates an empty log whose base is the snapshot, or index zero without one.
    pub(crate) fn new(meta: Option<&SnapshotMeta>) -> Self {
        let (index, term, time, members) = meta.map_or_else(Default::default, |meta| {
            (meta.index, meta.term, meta.time, meta.members.clone())
        });
        Self {
            base_index: index,
            base_term: term,
            base_time: time,
            records: VecDeque::new(),
            members: vec![(index, members)],
        }
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.records.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.records
            .back()
            .map_or(self.base_term, |record| record.term)
    }

    pub(crate) fn last_time(&self) -> Timestamp {
        self.records
            .back()
            .map_or(self.base_time, |record| record.time)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base_index.0)?.checked_sub(1)?;
        usize::try_from(offset).ok()
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Record> {
        self.records.get(self.position(index)?)
    }

    /// Returns the term of the record at `index`, which may be the base; `None` outside of the log.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|record| record.term)
    }

    pub(crate) fn time(&self, index: LogIndex) -> Option<Timestamp> {
        if index == self.base_index {
            return Some(self.base_time);
        }
        self.get(index).map(|record| record.time)
    }

    /// Returns the records from `from` on.
    pub(crate) fn iter_from(&self, from: LogIndex) -> impl Iterator<Item = &Record> {
        let start = self.position(from).unwrap_or(0).min(self.records.len());
        self.records.range(start..)
    }

    /// Appends a record, whose index must follow the last one.
    pub(crate) fn push(&mut self, record: Record) {
        debug_assert_eq!(record.index, self.last_index().next());
        if let Payload::Members(members) = &record.payload {
            self.members.push((record.index, members.clone()));
        }
        self.records.push_back(record);
    }

    /// Removes the records from `from` on.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        let Some(position) = self.position(from) else {
            return;
        };
        self.records.truncate(position);
        self.members.retain(|(index, _)| *index < from);
    }

    /// Removes the records up to `through`, which a snapshot covers, and makes it the new base.
    pub(crate) fn compact(&mut self, through: LogIndex) {
        let (Some(position), Some(term), Some(time)) = (
            self.position(through),
            self.term(through),
            self.time(through),
        ) else {
            return;
        };
        self.records.drain(..=position);
        self.base_index = through;
        self.base_term = term;
        self.base_time = time;
        let first_kept = self
            .members
            .partition_point(|(index, _)| *index <= through)
            .saturating_sub(1);
        self.members.drain(..first_kept);
    }

    /// Returns the latest member list and its index.
    pub(crate) fn members(&self) -> (LogIndex, &Members) {
        let (index, members) = self
            .members
            .last()
            .expect("a log always has a member list, which may be empty");
        (*index, members)
    }

    /// Returns the member list in effect at `index`.
    pub(crate) fn members_at(&self, index: LogIndex) -> &Members {
        let after = self.members.partition_point(|(at, _)| *at <= index);
        &self.members[after.saturating_sub(1)].1
    }

    /// Returns the member list in effect at `index` and all later ones.
    pub(crate) fn members_from(&self, index: LogIndex) -> impl Iterator<Item = &Members> {
        let after = self.members.partition_point(|(at, _)| *at <= index);
        self.members[after.saturating_sub(1)..]
            .iter()
            .map(|(_, members)| members)
    }

    /// Returns the first index of the contiguous records that have the same term as the one at
    /// `index`.
    pub(crate) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term(index);
        let mut first = index;
        while first > self.base_index && self.term(first.previous()) == term {
            first = first.previous();
        }
        first
    }
}
