//! Identifiers, quantities, error kinds and clocks that the other crates share.
//!
//! Identifiers and quantities are newtypes with `Display` and `FromStr`. A slot count can't be
//! passed where a revision is expected, and settings, rules and log lines format values alike.

mod answer;
mod attempt;
mod clock;
mod idempotency;
mod names;
mod quantities;

pub use answer::{Answer, ErrorKind, Outcome};
pub use attempt::AttemptId;
pub use clock::{BootClock, BoxFuture, Clock, PausedClock, RuntimeClock};
pub use idempotency::{IdempotencyKey, RequestDigest, parse_digest};
pub use names::{AccountId, DataCentre, ServiceName, TargetId, VmId};
pub use quantities::{
    ByteRate, ByteSize, ConfigVersion, Incarnation, LinkRate, Millis, Priority, RatePerSecond,
    RequestRate, Revision, RunId, Sequence, Slots, Timestamp, Weight,
};

/// Error for a text that can't be parsed as one of this crate's types.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Description of the expected value, such as "a name of 1 to 64 characters".
    pub expected: &'static str,
    /// The text that can't be parsed.
    pub text: String,
}

impl ParseError {
    /// Creates an error for `text`, where `expected` describes a valid value.
    pub fn new(expected: &'static str, text: &str) -> Self {
        Self {
            expected,
            text: text.to_owned(),
        }
    }
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "expected {}, found `{}`", self.expected, self.text)
    }
}

impl std::error::Error for ParseError {}
