//! Error responses in the problem details format of RFC 9457.

use auburnbridge_http::Response;
use auburnbridge_types::{Answer, ErrorKind, Outcome};
use serde_json::json;

/// Response header that says whether a rejected request may have been executed.
pub const OUTCOME_HEADER: &str = "Auburnbridge-Outcome";

/// A rejection of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Why the request is rejected.
    pub kind: ErrorKind,
    /// Status, title, outcome and retry advice sent to the caller.
    pub answer: Answer,
    /// Explanation of this occurrence.
    pub detail: String,
}

impl Problem {
    /// Rejects a request for `kind`, with the answer defined for that kind.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            answer: kind.answer(),
            detail: detail.into(),
        }
    }

    /// Replaces the outcome by `unknown`, since an earlier attempt of a resend may have run.
    #[must_use]
    pub fn for_possible_resend(mut self) -> Self {
        self.answer = self.answer.for_possible_resend();
        self
    }

    /// Sets the value of `Retry-After`, in seconds.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.answer.retry_after = Some(seconds);
        self
    }

    /// Whether the request may have been executed.
    pub fn outcome(&self) -> Outcome {
        self.answer.outcome
    }

    /// Builds the response to the caller.
    pub fn to_response(&self) -> Response {
        let body = json!({
            "type": format!("urn:auburnbridge:problem:{}", self.kind),
            "title": self.answer.title,
            "status": self.answer.status,
            "detail": self.detail,
            "outcome": self.answer.outcome.to_string(),
        });
        let mut response = Response::new(self.answer.status);
        response
            .headers
            .append("Content-Type", "application/problem+json");
        response
            .headers
            .append(OUTCOME_HEADER, self.answer.outcome.to_string());
        if let Some(seconds) = self.answer.retry_after {
            response.headers.append("Retry-After", seconds.to_string());
        }
        response.body = body.to_string().into_bytes().into();
        response
    }
}
