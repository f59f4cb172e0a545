//! Health checking, outlier ejection, load balancing, admission control and retry budgets.
//!
//! The crate holds two independent sets of policies, one for each kind of proxy process:
//!
//! - An *entry* identifies requests by idempotency keys. It uses [`Fleet`], [`AdmissionQueue`],
//!   [`RetryBudget`] and [`AccountLimiter`]. A [`Fleet`] ejects failing targets for some time and
//!   returns them to use after a trial.
//! - A *gateway* has no idempotency keys. It uses [`balance`], which ejects no targets: it ranks them
//!   by evidence that decays within seconds.
//!
//! [`poison`] and [`RequestClass`] are used by both. Similar types of the two sets, such as
//! [`Observation`] and [`balance::Finding`], [`Choice`] and [`balance::Pick`], or [`Rejected`] and
//! [`balance::Refusal`], are never converted to each other.
//!
//! A [`Fleet`] holds one entry's state about the targets of one service. It reads no clock and does
//! no I/O: time and randomness are parameters, so that tests can enumerate and replay decisions.
//! Each state change of a target is returned as a [`Decision`] with the values that caused it, for
//! the log.
//!
//! Evidence is measured in nats, the unit of natural logarithms of probability ratios.

pub mod account_limit;
mod admission;
pub mod balance;
mod decision;
mod evidence;
mod fleet;
mod health;
mod limits;
pub mod poison;
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
pub use poison::{CrashReport, PoisonTable, SuspectReport};
pub use policy::{EjectionPolicy, EjectionPolicyBuilder, Sensitivity};
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
