//! The closed list of error kinds and the answer that a caller gets for each.
//!
//! The table gives the outcome that holds when the refused request was the first attempt. A keyed
//! request whose ledger entry was not read may have run in an earlier attempt, through another
//! entry; for it, [`Answer::for_possible_resend`] turns `not-run` into `unknown`.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What is known about the execution of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and will not run without a resend.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Every reason for an answer that is not the target's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ErrorKind {
    /// The request breaks a framing rule of HTTP/1.1.
    MalformedRequest,
    /// The request's body is longer than the limit.
    RequestTooLarge,
    /// The request's head is longer than the limit.
    HeadTooLarge,
    /// The request's body did not arrive in time.
    RequestTimeout,
    /// No rule matches the method and path.
    NoRoute,
    /// The route needs an `Idempotency-Key` and the request has none.
    KeyMissing,
    /// The `Idempotency-Key` is not a UUID version 7, or a header of ours can't be parsed.
    HeaderInvalid,
    /// The key is past its retention or lies too far ahead.
    KeyExpired,
    /// The key was used with another request.
    KeyReused,
    /// An earlier attempt with this key is still in progress.
    KeyInProgress,
    /// An earlier attempt with this key ended without a known outcome.
    KeyOutcomeUnknown,
    /// The earlier attempt ran, and its answer was too large to keep.
    AnswerNotKept,
    /// The request crashed the targets that ran it.
    RequestPoisoned,
    /// The account is over its limit.
    AccountLimited,
    /// The queue of the service is full or too slow for the deadline.
    Overloaded,
    /// No target of the service is in use, or each one tried refused the connection.
    NoTarget,
    /// The keepers can't be reached or have no quorum.
    LedgerUnavailable,
    /// The entry has no rules yet.
    RulesUnavailable,
    /// The entry is stopping.
    ShuttingDown,
    /// The deadline passed before the request went to a target.
    DeadlineBeforeDispatch,
    /// The deadline passed while a target had the request.
    DeadlineAfterDispatch,
    /// The target closed the connection or broke the framing of its answer.
    AnswerIncomplete,
    /// The target's answer is longer than the limit.
    AnswerTooLarge,
    /// An invariant of the entry failed.
    Internal,
}

/// Status, outcome and advice for one error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// What is known about the execution.
    pub outcome: Outcome,
    /// Value of `Retry-After` in seconds.
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

    /// The same answer for a keyed request that may be a resend of one that ran.
    #[must_use]
    pub const fn for_possible_resend(self) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..self
        }
    }
}

impl ErrorKind {
    /// The answer to a caller whose request failed for this reason.
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
