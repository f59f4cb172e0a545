//! Health checking, outlier ejection, load balancing, admission control and retry budgets.
//!
//! A [`Fleet`] holds one entry's state about the targets of one service. It reads no clock and does
//! no I/O: time and randomness are parameters, so that tests can enumerate and replay decisions.
//! Each state change of a target is returned as a [`Decision`] with the values that caused it, for
//! the log.

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

pub use admission::{
    AdmissionPolicy, AdmissionQueue, Completion, Dequeued, QueuedRequest, Rejected, Reservation,
};
pub use decision::{Action, Decision, Reason};
pub use evidence::EvidenceReport;
pub use fleet::{Choice, Fleet, TargetKey, TargetView};
pub use health::{Health, Observation};
pub use limits::{AccountLimit, AccountLimiter};
pub use poison::{CRASH_LIMIT, CrashReport, POISON_TIME, PoisonTable};
pub use policy::{Sensitivity, ServicePolicy, ServicePolicyBuilder};
pub use retry::RetryBudget;
pub use target::{Member, Presence, ServiceState};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestClass {
    /// The request may be delayed and retried.
    Idempotent,
    /// The request runs at most once and has priority.
    Once,
}
