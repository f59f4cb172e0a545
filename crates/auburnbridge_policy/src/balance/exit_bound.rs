//! Bound on all waits of a process that stops.
//!
//! A request is started on a target only if the answer is expected before the process ends. One that
//! can't start by then has not run, and its caller is told so while it can still use the time.

use auburnbridge_types::{Millis, Timestamp};

use super::answer_times::most_answers;

/// When a process that stops has to have answered all its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExitBound {
    /// Instant by which each request is answered.
    pub answer_by: Timestamp,
    /// Longest time that is kept beyond the expected answer time, since half of the requests take
    /// longer.
    pub max_reserve: Millis,
}

impl ExitBound {
    /// Returns the last instant at which a request with this expected answer time may start.
    pub fn last_start(&self, expected: Millis) -> Timestamp {
        let time = most_answers(expected).min(Millis(expected.0 + self.max_reserve.0));
        Timestamp(self.answer_by.0.saturating_sub(time.0))
    }

    /// Returns the instant until which a request with this deadline is in flight.
    #[must_use]
    pub fn limit(&self, deadline: Timestamp) -> Timestamp {
        deadline.min(self.answer_by)
    }
}
