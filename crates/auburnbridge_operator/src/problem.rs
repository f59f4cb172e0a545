//! Refusals of calls as `application/problem+json` (RFC 9457).

use auburnbridge_config::EditReply;
use auburnbridge_rules::RuleError;
use auburnbridge_types::{Outcome, Revision};
use serde::Serialize;
use strum::{Display, EnumIter};
use tide::http::headers::{ETAG, RETRY_AFTER, WWW_AUTHENTICATE};
use tide::{Response, StatusCode};

use crate::store::StoreError;

const OUTCOME_HEADER: &str = "Auburnbridge-Outcome";
const CONTENT_TYPE: &str = "application/problem+json";
const TYPE_PREFIX: &str = "urn:auburnbridge:operator:";
const RETRY_AFTER_SECONDS: &str = "2";

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum ProblemKind {
    /// The call has no valid operator key.
    Unauthorized,
    /// The key may not change these lines.
    Forbidden,
    /// No resource has this path.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// A header is missing or can't be parsed.
    HeaderInvalid,
    /// An edit has no `If-Match` header.
    RevisionMissing,
    /// The body can't be read or decoded.
    BodyInvalid,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The rules have changed since the expected revision.
    Stale,
    /// The edit would make the rules invalid.
    RulesInvalid,
    /// No line matches the line to be changed.
    NoSuchLine,
    /// The edit id belongs to another edit.
    EditIdReused,
    /// The edit id is too old, or its creation time is in the future.
    EditIdExpired,
    /// There were too many edits in the last 24 h.
    TooManyEdits,
    /// The process can't reach a quorum, or its rules are older than the expected revision.
    Unavailable,
    /// The edit was proposed, but whether it was accepted is unknown.
    OutcomeUnknown,
}

impl ProblemKind {
    /// Returns the status code, the title, and the known outcome of the edit, which may have been sent
    /// before.
    ///
    /// The outcome is `not-run` only where no earlier attempt with the same edit id can have been
    /// accepted.
    pub fn response_fields(self) -> (u16, &'static str, Option<Outcome>) {
        let not_run = |status, title| (status, title, Some(Outcome::NotRun));
        let unknown = |status, title| (status, title, Some(Outcome::Unknown));
        let without_outcome = |status, title| (status, title, None);
        match self {
            Self::Unauthorized => without_outcome(401, "The operator key is missing or unknown"),
            Self::Forbidden => without_outcome(403, "The operator key may not change these lines"),
            Self::NotFound => without_outcome(404, "There is nothing at this path"),
            Self::MethodNotAllowed => without_outcome(405, "The path does not support the method"),
            Self::HeaderInvalid => not_run(400, "A header is missing or invalid"),
            Self::RevisionMissing => not_run(428, "The edit has no If-Match header"),
            Self::BodyInvalid => not_run(400, "The body is invalid"),
            Self::BodyTooLarge => not_run(413, "The body is too large"),
            Self::Stale => not_run(412, "The rules have changed since that revision"),
            Self::RulesInvalid => not_run(422, "The rules would not be valid"),
            Self::NoSuchLine => not_run(422, "No line matches the line to be changed"),
            Self::EditIdReused => not_run(422, "The edit id belongs to another edit"),
            // An edit with an expired id may have been accepted long ago.
            Self::EditIdExpired => unknown(422, "The edit id has expired"),
            Self::TooManyEdits => not_run(429, "Too many edits in the last 24 hours"),
            Self::Unavailable => unknown(503, "The rules can't be changed or read at present"),
            Self::OutcomeUnknown => unknown(
                504,
                "The outcome of the edit is unknown; send it again with the same edit id",
            ),
        }
    }

    fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::TooManyEdits | Self::Unavailable | Self::OutcomeUnknown
        )
    }
}

/// Refusal of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    kind: ProblemKind,
    detail: Option<String>,
    current_revision: Option<Revision>,
    errors: Vec<RuleError>,
    omitted_errors: u32,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    current_revision: Option<Revision>,
    #[serde(skip_serializing_if = "<[RuleError]>::is_empty")]
    errors: &'a [RuleError],
    #[serde(skip_serializing_if = "is_zero")]
    omitted_errors: u32,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl Problem {
    /// Creates a refusal without a detail.
    pub fn new(kind: ProblemKind) -> Self {
        Self {
            kind,
            detail: None,
            current_revision: None,
            errors: Vec::new(),
            omitted_errors: 0,
        }
    }

    /// Adds a text that states what is wrong with this call and how to fix it.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Returns the reason for the refusal.
    pub fn kind(&self) -> ProblemKind {
        self.kind
    }

    pub(crate) fn stale(current: Revision) -> Self {
        Self {
            current_revision: Some(current),
            ..Self::new(ProblemKind::Stale)
        }
    }

    pub(crate) fn invalid(errors: Vec<RuleError>, omitted_errors: u32) -> Self {
        Self {
            errors,
            omitted_errors,
            ..Self::new(ProblemKind::RulesInvalid)
        }
    }
}

impl From<StoreError> for Problem {
    fn from(error: StoreError) -> Self {
        Self::new(match error {
            StoreError::Unavailable => ProblemKind::Unavailable,
            StoreError::OutcomeUnknown => ProblemKind::OutcomeUnknown,
        })
    }
}

/// Returns the revision that an accepted edit created, or the problem that the reply states.
pub(crate) fn accepted_revision(reply: EditReply) -> Result<Revision, Problem> {
    Err(match reply {
        EditReply::Accepted { revision } => return Ok(revision),
        EditReply::Repeated(first) => return accepted_revision(*first),
        EditReply::Stale { current } => Problem::stale(current),
        EditReply::Invalid { errors, omitted } => Problem::invalid(errors, omitted),
        EditReply::NoSuchLine => Problem::new(ProblemKind::NoSuchLine),
        EditReply::IdReused => Problem::new(ProblemKind::EditIdReused),
        EditReply::IdExpired => Problem::new(ProblemKind::EditIdExpired),
        EditReply::TooManyEdits => Problem::new(ProblemKind::TooManyEdits),
    })
}

impl From<Problem> for Response {
    fn from(problem: Problem) -> Self {
        let (status, title, outcome) = problem.kind.response_fields();
        let body = ProblemBody {
            kind: format!("{TYPE_PREFIX}{}", problem.kind),
            title,
            status,
            detail: problem.detail.as_deref(),
            current_revision: problem.current_revision,
            errors: &problem.errors,
            omitted_errors: problem.omitted_errors,
        };
        let body = serde_json::to_vec(&body).expect("a problem can be encoded");
        let status =
            StatusCode::try_from(status).expect("response_fields returns valid status codes");
        let mut response = Response::builder(status)
            .body(body)
            .content_type(CONTENT_TYPE);
        if let Some(outcome) = outcome {
            response = response.header(OUTCOME_HEADER, outcome.to_string());
        }
        if problem.kind == ProblemKind::Unauthorized {
            response = response.header(WWW_AUTHENTICATE, "Bearer");
        }
        if let Some(current) = problem.current_revision {
            response = response.header(ETAG, format!("\"{current}\""));
        }
        if problem.kind.is_retryable() {
            response = response.header(RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        response.build()
    }
}
