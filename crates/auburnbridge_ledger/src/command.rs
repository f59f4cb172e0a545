//! Ledger commands and replies.

use std::sync::Arc;

use auburnbridge_types::{AccountId, AttemptId, IdempotencyKey, Millis, RequestDigest, Timestamp};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::MAX_ANSWER_SIZE;

/// Identity of a request with an idempotency key.
///
/// The idempotency key comes first, so that keys sort by creation time. The service is not part of
/// the identity: a rule change between a send and its resend may move the route to another service,
/// and the resend must still find the record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerKey {
    /// The idempotency key that the caller chose.
    pub idempotency_key: IdempotencyKey,
    /// The client account of the caller.
    pub account: AccountId,
}

/// The answer to a concluded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The complete answer, as encoded by the entry.
    Whole(Arc<[u8]>),
    /// The request ran, but its answer exceeded a size limit and was not stored.
    NotKept,
}

impl StoredAnswer {
    /// Stores `bytes` unless they exceed [`MAX_ANSWER_SIZE`].
    pub fn new(bytes: &[u8]) -> Self {
        if bytes.len() as u64 <= MAX_ANSWER_SIZE.0 {
            Self::Whole(bytes.into())
        } else {
            Self::NotKept
        }
    }

    /// Number of bytes that count towards
    /// [`Limits::max_stored_size`](crate::Limits::max_stored_size).
    pub(crate) fn stored_bytes(&self) -> u64 {
        match self {
            Self::Whole(bytes) => bytes.len() as u64,
            Self::NotKept => 0,
        }
    }
}

/// A command to the ledger, as stored in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Command {
    /// Requests permission to dispatch the request once.
    Grant {
        /// The request.
        key: LedgerKey,
        /// Digest of account, method, path and body, which distinguishes a resend from a reused
        /// key.
        request_digest: RequestDigest,
        /// The attempt that will dispatch the request.
        attempt: AttemptId,
        /// Log time at which the grant ends: from then on, a resend gets `Unknown` if the attempt
        /// has not ended. It is the caller's deadline plus a grace period.
        grant_deadline: Timestamp,
        /// How often the caller has sent the request before, if stated.
        ///
        /// The grant is refused if an attempt of a later send has withdrawn: the caller may since
        /// have been told `not-run`, which must stay true.
        previous_sends: Option<u32>,
    },
    /// Returns the permission; the holder is certain that the request did not run.
    Withdraw {
        /// The request.
        key: LedgerKey,
        /// The attempt that withdraws.
        attempt: AttemptId,
    },
    /// Records that the request ran, together with its answer.
    Conclude {
        /// The request.
        key: LedgerKey,
        /// The attempt that ran the request.
        attempt: AttemptId,
        /// The answer to return to resends.
        answer: StoredAnswer,
    },
    /// Records that the outcome will never be known.
    Abandon {
        /// The request.
        key: LedgerKey,
        /// The attempt that lost track of the outcome.
        attempt: AttemptId,
    },
    /// Sets the retention of keys.
    SetRetention(Millis),
}

/// Reply to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The attempt holds the key and may dispatch the request once, before the caller's deadline.
    Granted,
    /// Another attempt holds the key.
    InProgress,
    /// The request ran and got this answer.
    Answered(StoredAnswer),
    /// The request may have run; no further attempt is granted the key.
    Unknown,
    /// The key was first used with a different request.
    BodyMismatch,
    /// The key is past its retention, or its creation time is too far ahead of log time.
    Expired,
    /// The attempt does not hold the key.
    ///
    /// In reply to a Grant, no attempt holds the key or has run the request so far. The Grant was
    /// refused for one of three reasons:
    ///
    /// - The attempt, or a later one of the same process, has withdrawn.
    /// - An attempt of a later send has withdrawn.
    /// - The deadline of the Grant has passed.
    ///
    /// The entry may tell the caller `not-run` only for a first send. For a later send, the outcome
    /// is `unknown`, since an attempt of another send may still be granted and run.
    NotHolder,
    /// A limit of the ledger refuses the key; the same guarantees as for `NotHolder` apply.
    Full,
    /// The command has taken effect, either now or through an earlier duplicate.
    Done,
}
