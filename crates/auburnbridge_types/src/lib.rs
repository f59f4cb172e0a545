//! Identifiers, sizes, rates, error kinds and the clock that all other crates share.
//!
//! Each identifier and quantity is a newtype with `Display` and `FromStr`, so that a slot count
//! can't be passed where a revision is expected, and so that settings, rules and log lines spell a
//! value in the same way.

mod answer;
mod attempt;
mod clock;
mod idempotency;
mod names;
mod quantities;

pub use answer::{Answer, ErrorKind, Outcome};
pub use attempt::AttemptId;
pub use clock::{BootClock, BoxFuture, Clock, PausedClock, RuntimeClock};
pub use idempotency::{BodyDigest, IdempotencyKey, parse_digest};
pub use names::{AccountId, DataCentre, ServiceName, TargetId, VmId};
pub use quantities::{
    ByteSize, ConfigVersion, Incarnation, Millis, Priority, RatePerSecond, Revision, Sequence,
    Slots, Timestamp, Weight,
};

/// Reason why a text is not a value of one of this crate's types.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// What was expected, such as "a name of 1 to 64 characters".
    pub expected: &'static str,
    /// The offending text.
    pub text: String,
}

impl ParseError {
    /// Describes `text` as not being what was `expected`.
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
