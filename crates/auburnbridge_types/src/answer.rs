//! All error kinds and the answer that a caller receives for each.
//!
//! [`ErrorKind::answer`] assumes that the refused request is the first attempt. A keyed request
//! whose ledger entry was not read may already have run through another entry; for it,
//! [`Answer::for_possible_resend`] turns `not-run` into `unknown`.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What is known about the execution of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and will not run unless it is sent again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Reason for an error answer that the proxy itself generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ErrorKind {
    /// The request violates the HTTP/1.1 framing rules.
    MalformedRequest,
    /// The request body exceeds the size limit.
    RequestTooLarge,
    /// The request head exceeds the size limit.
    HeadTooLarge,
    /// The request body did not arrive in time.
    RequestTimeout,
    /// No route matches the method and path.
    NoRoute,
    /// The route requires an `Idempotency-Key` and the request has none.
    KeyMissing,
    /// The `Idempotency-Key` is not a UUID version 7, or an Auburnbridge header can't be parsed.
    HeaderInvalid,
    /// The key is past its retention period, or its creation time is too far in the future.
    KeyExpired,
    /// The key was already used for a different request.
    KeyReused,
    /// An earlier attempt with this key is still in progress.
    KeyInProgress,
    /// An earlier attempt with this key ended with an unknown outcome.
    KeyOutcomeUnknown,
    /// An earlier attempt ran, but its answer was too large to store.
    AnswerNotKept,
    /// The request crashed the targets that ran it.
    RequestPoisoned,
    /// The account exceeded its rate limit.
    AccountLimited,
    /// The queue of the service is full, or too slow to meet the deadline.
    Overloaded,
    /// The service has no target in use, or each target tried refused the connection.
    NoTarget,
    /// The keepers can't be reached or have no quorum.
    LedgerUnavailable,
    /// The entry has no rules yet.
    RulesUnavailable,
    /// The entry is shutting down.
    ShuttingDown,
    /// The deadline passed before the request was sent to a target.
    DeadlineBeforeDispatch,
    /// The deadline passed while a target was processing the request.
    DeadlineAfterDispatch,
    /// The target closed the connection early or its answer violated the framing rules.
    AnswerIncomplete,
    /// The target's answer exceeds the size limit.
    AnswerTooLarge,
    /// An internal invariant of the entry was violated.
    Internal,
}

/// Status, outcome and retry delay for one error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u32>,
    /// Short human-readable summary.
    pub title: &'static str,
}

impl Answer {
    const fn not_run(status: u16, retry_after: Option<u32>, title: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            retry_after,
            title,
        }
    }

    const fn unknown(status: u16, retry_after: Option<u32>, title: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            retry_after,
            title,
        }
    }

    /// Returns this answer for a keyed request that may be a resend of one that already ran.
    #[must_use]
    pub const fn for_possible_resend(self) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..self
        }
    }
}

impl ErrorKind {
    /// Returns the answer to a caller whose request failed for this reason.
    pub const fn answer(self) -> Answer {
        match self {
            Self::MalformedRequest => Answer::not_run(400, None, "The request is malformed"),
            Self::RequestTooLarge => Answer::not_run(413, None, "The request body is too large"),
            Self::HeadTooLarge => Answer::not_run(431, None, "The request head is too large"),
            Self::RequestTimeout => {
                Answer::not_run(408, None, "The request did not arrive in time")
            }
            Self::NoRoute => Answer::not_run(404, None, "No route matches the request"),
            Self::KeyMissing => Answer::not_run(400, None, "The route needs an Idempotency-Key"),
            Self::HeaderInvalid => Answer::not_run(400, None, "A request header is invalid"),
            Self::KeyExpired => Answer::not_run(422, None, "The Idempotency-Key has expired"),
            Self::KeyReused => {
                Answer::not_run(422, None, "The Idempotency-Key belongs to another request")
            }
            Self::KeyInProgress => {
                Answer::unknown(409, Some(1), "An earlier attempt is still in progress")
            }
            Self::KeyOutcomeUnknown => {
                Answer::unknown(409, None, "The outcome of an earlier attempt is unknown")
            }
            Self::AnswerNotKept => {
                Answer::unknown(409, None, "The request ran, and its answer was not kept")
            }
            Self::RequestPoisoned => {
                Answer::unknown(422, None, "The request crashed the targets that ran it")
            }
            Self::AccountLimited => Answer::not_run(429, Some(1), "The account is over its limit"),
            Self::Overloaded => Answer::not_run(503, Some(1), "The service is overloaded"),
            Self::NoTarget => Answer::not_run(503, Some(1), "No target is available"),
            Self::LedgerUnavailable => {
                Answer::not_run(503, Some(2), "The ledger has no quorum at present")
            }
            Self::RulesUnavailable => Answer::not_run(503, Some(2), "The entry has no rules yet"),
            Self::ShuttingDown => Answer::not_run(503, Some(1), "The entry is shutting down"),
            Self::DeadlineBeforeDispatch => {
                Answer::not_run(504, None, "The deadline passed before the request was sent")
            }
            Self::DeadlineAfterDispatch => {
                Answer::unknown(504, None, "The deadline passed while the request ran")
            }
            Self::AnswerIncomplete => {
                Answer::unknown(502, None, "The target did not give a whole answer")
            }
            Self::AnswerTooLarge => Answer::unknown(502, None, "The target's answer is too large"),
            Self::Internal => Answer::unknown(500, None, "Internal error"),
        }
    }
}
