//! The state machine over all keys.

use std::collections::BTreeMap;

use auburnbridge_types::{AttemptId, ByteSize, Millis, RequestDigest, Timestamp};
use serde::{Deserialize, Serialize};

use crate::record::Record;
use crate::{
    Command, DEFAULT_MAX_RECORDS, DEFAULT_MAX_STORED_SIZE, DEFAULT_RETENTION, LedgerKey,
    MAX_ANSWER_SIZE, MAX_CLOCK_SKEW, MAX_DROPS_PER_APPLY, Reply, StoredAnswer,
};

/// Limits on the memory of a ledger.
///
/// They are part of the replicated state: replicas with different limits would reply differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum total size of the stored answers.
    pub max_stored_size: ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_records: DEFAULT_MAX_RECORDS,
            max_stored_size: DEFAULT_MAX_STORED_SIZE,
        }
    }
}

/// The grants and answers of all keys within their retention.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) limits: Limits,
    pub(crate) now: Timestamp,
    pub(crate) retention: Millis,
    /// Keys created before this time are permanently refused.
    pub(crate) expiry_cutoff: Timestamp,
    /// Sorted by creation time, which is the order of expiry.
    pub(crate) records: BTreeMap<LedgerKey, Record>,
    pub(crate) stored_size: ByteSize,
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
            expiry_cutoff: Timestamp(0),
            records: BTreeMap::new(),
            stored_size: ByteSize(0),
        }
    }

    /// Number of keys with a record, including expired ones that have not been dropped yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the stored answers, which [`Limits::max_stored_size`] bounds.
    pub fn stored_size(&self) -> ByteSize {
        self.stored_size
    }

    /// Time from the creation of a key until it expires.
    pub fn retention(&self) -> Millis {
        self.retention
    }

    /// Lowest creation time at which a key is accepted; never decreases.
    pub fn expiry_cutoff(&self) -> Timestamp {
        self.expiry_cutoff
    }

    /// Applies one command; log time never goes back, even if `log_time` is below an earlier one.
    pub fn apply(&mut self, log_time: Timestamp, command: Command) -> Reply {
        self.now = self.now.max(log_time);
        if let Command::SetRetention(retention) = command {
            self.retention = retention;
        }
        self.advance_expiry_cutoff();
        self.drop_expired();
        match command {
            Command::Grant {
                key,
                request_digest,
                attempt,
                grant_deadline,
                previous_sends,
            } => self.grant(key, request_digest, attempt, grant_deadline, previous_sends),
            Command::Withdraw { key, attempt } => {
                let now = self.now;
                self.update_record(&key, |record| record.withdraw(now, attempt))
            }
            Command::Conclude {
                key,
                attempt,
                answer,
            } => self.conclude(&key, attempt, answer),
            Command::Abandon { key, attempt } => {
                self.update_record(&key, |record| record.abandon(attempt))
            }
            Command::SetRetention(_) => Reply::Done,
        }
    }

    fn advance_expiry_cutoff(&mut self) {
        if let Some(last_expired) = self.now.0.checked_sub(self.retention.0) {
            let cutoff = Timestamp(last_expired.saturating_add(1));
            self.expiry_cutoff = self.expiry_cutoff.max(cutoff);
        }
    }

    fn drop_expired(&mut self) {
        for _ in 0..MAX_DROPS_PER_APPLY {
            let Some(oldest) = self.records.first_entry() else {
                return;
            };
            if oldest.key().idempotency_key.created() >= self.expiry_cutoff {
                return;
            }
            let record = oldest.remove();
            self.stored_size.0 -= record.stored_bytes();
        }
    }

    /// Whether the key is past its retention or too far ahead of log time.
    fn is_expired(&self, key: &LedgerKey) -> bool {
        let created = key.idempotency_key.created();
        created < self.expiry_cutoff || created > self.now.after(MAX_CLOCK_SKEW)
    }

    fn grant(
        &mut self,
        key: LedgerKey,
        request_digest: RequestDigest,
        attempt: AttemptId,
        grant_deadline: Timestamp,
        previous_sends: Option<u32>,
    ) -> Reply {
        if self.is_expired(&key) {
            return Reply::Expired;
        }
        if let Some(record) = self.records.get_mut(&key) {
            return record.grant(
                self.now,
                request_digest,
                attempt,
                grant_deadline,
                previous_sends,
            );
        }
        if self.now >= grant_deadline {
            return Reply::NotHolder;
        }
        if self.records.len() >= self.limits.max_records
            || self.stored_size >= self.limits.max_stored_size
        {
            return Reply::Full;
        }
        self.records
            .entry(key)
            .or_insert_with(|| Record::new(request_digest))
            .grant(
                self.now,
                request_digest,
                attempt,
                grant_deadline,
                previous_sends,
            )
    }

    /// Concludes a key; an answer over a limit is not stored, only the fact that the request ran.
    fn conclude(&mut self, key: &LedgerKey, attempt: AttemptId, answer: StoredAnswer) -> Reply {
        let size = answer.stored_bytes();
        let fits =
            size <= MAX_ANSWER_SIZE.0 && size <= self.limits.max_stored_size.0 - self.stored_size.0;
        let kept = if fits { answer } else { StoredAnswer::NotKept };
        self.update_record(key, |record| record.conclude(attempt, kept))
    }

    fn update_record(
        &mut self,
        key: &LedgerKey,
        update: impl FnOnce(&mut Record) -> Reply,
    ) -> Reply {
        if self.is_expired(key) {
            return Reply::Expired;
        }
        let Some(record) = self.records.get_mut(key) else {
            return Reply::NotHolder;
        };
        let before = record.stored_bytes();
        let reply = update(record);
        self.stored_size.0 = self.stored_size.0 - before + record.stored_bytes();
        reply
    }
}
