//! Pure decisions about target health, ejection, selection, admission and retries.
//!
//! A [`Fleet`] holds what one entry knows about the targets of one service. It reads no clock and
//! does no I/O: time and randomness are passed in, so that decisions can be enumerated and replayed.
//! Each change of a target's state is returned as a [`Decision`] with the figures that led to it,
//! for the log.

mod admission;
pub mod balance;
mod decision;
mod evidence;
mod fleet;
mod health;
mod limits;
mod poison;
mod policy;
mod retry;
mod target;

pub use admission::{AdmissionPolicy, AdmissionQueue, Ended, Next, Rejected, Reservation, Waiting};
pub use decision::{Action, Decision, Reason};
pub use evidence::EvidenceReport;
pub use fleet::{Choice, Fleet, TargetKey, TargetView};
pub use health::{Health, Observation};
pub use limits::{AccountLimit, AccountLimiter};
pub use poison::{CRASH_LIMIT, CrashReport, POISON_TIME, PoisonTable};
pub use policy::{Sensitivity, ServicePolicy, ServicePolicyBuilder};
pub use retry::RetryBudget;
pub use target::{Member, Presence, ServiceState};

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestClass {
    /// May be delayed and retried.
    Idempotent,
    /// Runs at most once and goes first.
    Once,
}
