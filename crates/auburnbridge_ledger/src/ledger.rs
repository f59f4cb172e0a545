//! The state machine over all keys.

use std::collections::BTreeMap;

use auburnbridge_types::{AttemptId, BodyDigest, ByteSize, Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::record::Record;
use crate::{
    Command, DEFAULT_MAX_RECORDS, DEFAULT_MAX_STORED, DEFAULT_RETENTION, LedgerKey, MAX_ANSWER,
    MAX_CLOCK_AHEAD, MAX_DROPS_PER_APPLY, Reply, StoredAnswer,
};

/// Bounds on the memory of a ledger.
///
/// They are part of the replicated state, since replicas with other bounds would reply otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Number of records.
    pub max_records: usize,
    /// Total size of the stored answers.
    pub max_stored: ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_records: DEFAULT_MAX_RECORDS,
            max_stored: DEFAULT_MAX_STORED,
        }
    }
}

/// The grants and answers of all keys within their retention.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) limits: Limits,
    pub(crate) now: Timestamp,
    pub(crate) retention: Millis,
    /// Keys created before this time are refused for good.
    pub(crate) accepted_from: Timestamp,
    /// Sorted by creation time, which is the order of expiry.
    pub(crate) records: BTreeMap<LedgerKey, Record>,
    pub(crate) stored: ByteSize,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            now: Timestamp(0),
            retention: DEFAULT_RETENTION,
            accepted_from: Timestamp(0),
            records: BTreeMap::new(),
            stored: ByteSize(0),
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the stored answers.
    pub fn stored(&self) -> ByteSize {
        self.stored
    }

    /// The retention of keys in force.
    pub fn retention(&self) -> Millis {
        self.retention
    }

    /// Lowest creation time at which a key is accepted; it never falls.
    pub fn accepted_from(&self) -> Timestamp {
        self.accepted_from
    }

    /// Applies one command of the log; a log time that lies behind an earlier one counts as that.
    pub fn apply(&mut self, log_time: Timestamp, command: Command) -> Reply {
        self.now = self.now.max(log_time);
        if let Command::SetRetention(retention) = command {
            self.retention = retention;
        }
        self.raise_accepted_from();
        self.drop_expired();
        match command {
            Command::Grant {
                key,
                body_digest,
                attempt,
                deadline,
                previous_attempts,
            } => self.grant(key, body_digest, attempt, deadline, previous_attempts),
            Command::Withdraw { key, attempt } => {
                let now = self.now;
                self.change(&key, |record| record.withdraw(now, attempt))
            }
            Command::Conclude {
                key,
                attempt,
                answer,
            } => self.conclude(&key, attempt, answer),
            Command::Abandon { key, attempt } => {
                self.change(&key, |record| record.abandon(attempt))
            }
            Command::SetRetention(_) => Reply::Done,
        }
    }

    fn raise_accepted_from(&mut self) {
        if let Some(last_expired) = self.now.0.checked_sub(self.retention.0) {
            let accepted_from = Timestamp(last_expired.saturating_add(1));
            self.accepted_from = self.accepted_from.max(accepted_from);
        }
    }

    fn drop_expired(&mut self) {
        for _ in 0..MAX_DROPS_PER_APPLY {
            let Some(oldest) = self.records.first_entry() else {
                return;
            };
            if oldest.key().idempotency_key.created() >= self.accepted_from {
                return;
            }
            let record = oldest.remove();
            self.stored.0 -= record.stored_bytes();
        }
    }

    /// Whether the key is refused: past its retention, or too far ahead of log time.
    fn is_expired(&self, key: &LedgerKey) -> bool {
        let created = key.idempotency_key.created();
        created < self.accepted_from || created > self.now.after(MAX_CLOCK_AHEAD)
    }

    fn grant(
        &mut self,
        key: LedgerKey,
        body_digest: BodyDigest,
        attempt: AttemptId,
        deadline: Timestamp,
        previous_attempts: Option<u32>,
    ) -> Reply {
        if self.is_expired(&key) {
            return Reply::Expired;
        }
        if let Some(record) = self.records.get_mut(&key) {
            return record.grant(self.now, body_digest, attempt, deadline, previous_attempts);
        }
        if self.now >= deadline {
            return Reply::NotHolder;
        }
        if self.records.len() >= self.limits.max_records || self.stored >= self.limits.max_stored {
            return Reply::Full;
        }
        self.records
            .entry(key)
            .or_insert_with(|| Record::new(body_digest))
            .grant(self.now, body_digest, attempt, deadline, previous_attempts)
    }

    /// Concludes a key; an answer over a limit is recorded as run, without the answer.
    fn conclude(&mut self, key: &LedgerKey, attempt: AttemptId, answer: StoredAnswer) -> Reply {
        let size = answer.stored_bytes();
        let fits = size <= MAX_ANSWER.0 && size <= self.limits.max_stored.0 - self.stored.0;
        let kept = if fits { answer } else { StoredAnswer::NotKept };
        self.change(key, |record| record.conclude(attempt, kept))
    }

    fn change(&mut self, key: &LedgerKey, change: impl FnOnce(&mut Record) -> Reply) -> Reply {
        if self.is_expired(key) {
            return Reply::Expired;
        }
        let Some(record) = self.records.get_mut(key) else {
            return Reply::NotHolder;
        };
        let before = record.stored_bytes();
        let reply = change(record);
        self.stored.0 = self.stored.0 - before + record.stored_bytes();
        reply
    }
}
