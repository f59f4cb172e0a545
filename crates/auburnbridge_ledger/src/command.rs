//! Commands to the ledger and its replies.

use std::sync::Arc;

use auburnbridge_types::{AccountId, AttemptId, BodyDigest, IdempotencyKey, Millis, Timestamp};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::MAX_ANSWER;

/// Identity of a keyed request.
///
/// The idempotency key comes first, so that keys sort by their time of creation. The service is no
/// part of it: a change of the rules between a send and its resend may move the route to another
/// service, and the resend must still find the record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerKey {
    /// The caller's key for the request.
    pub idempotency_key: IdempotencyKey,
    /// The caller's account.
    pub account: AccountId,
}

/// The answer of a concluded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The whole answer, as the entry encoded it.
    Whole(Arc<[u8]>),
    /// The request ran; its answer was too large to keep.
    NotKept,
}

impl StoredAnswer {
    /// Keeps `bytes` when they fit into [`MAX_ANSWER`].
    pub fn new(bytes: &[u8]) -> Self {
        if bytes.len() as u64 <= MAX_ANSWER.0 {
            Self::Whole(bytes.into())
        } else {
            Self::NotKept
        }
    }

    /// Number of bytes that count towards the limit on stored answers.
    pub(crate) fn stored_bytes(&self) -> u64 {
        match self {
            Self::Whole(bytes) => bytes.len() as u64,
            Self::NotKept => 0,
        }
    }
}

/// A change to the ledger, as the replicated log carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Command {
    /// Asks for permission to dispatch the request once.
    Grant {
        /// The request.
        key: LedgerKey,
        /// Digest of the request, which tells a reused key from a resend.
        body_digest: BodyDigest,
        /// The attempt that will dispatch.
        attempt: AttemptId,
        /// Log time from which the outcome of an unfinished attempt is unknown.
        deadline: Timestamp,
        /// How often the caller sent the request before, when it states that.
        ///
        /// A grant is refused when an attempt of a later send withdrew: the caller may have been
        /// told `not-run` since, which must stay true.
        previous_attempts: Option<u32>,
    },
    /// Gives the permission back; the holder is certain that the request did not run.
    Withdraw {
        /// The request.
        key: LedgerKey,
        /// The attempt that gives up.
        attempt: AttemptId,
    },
    /// Records that the request ran, and its answer.
    Conclude {
        /// The request.
        key: LedgerKey,
        /// The attempt that ran it.
        attempt: AttemptId,
        /// The answer for resends.
        answer: StoredAnswer,
    },
    /// Records that the outcome will never be known.
    Abandon {
        /// The request.
        key: LedgerKey,
        /// The attempt that lost track of the outcome.
        attempt: AttemptId,
    },
    /// Changes the retention of keys.
    SetRetention(Millis),
}

/// Reply to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The attempt holds the key and may dispatch once, before its deadline.
    Granted,
    /// Another attempt holds the key.
    InProgress,
    /// The request ran, with this answer.
    Answered(StoredAnswer),
    /// The request may have run, and the key stays blocked.
    Unknown,
    /// The key was first used with another request.
    BodyMismatch,
    /// The key is past its retention or lies too far ahead of log time.
    Expired,
    /// The attempt does not hold the key, and this command can't give it the key.
    ///
    /// In reply to a Grant, nothing has run under the key so far: the attempt or one of a later
    /// send withdrew, or its deadline has passed. An attempt of another send may still run, so
    /// `not-run` is certain only for a first send.
    NotHolder,
    /// A limit of the ledger refuses the key; what holds for `NotHolder` holds here too.
    Full,
    /// The command is in effect, now or by an earlier duplicate.
    Done,
}
