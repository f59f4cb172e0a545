//! The administration API for operators.
//!
//! [`server`] builds a [`tide::Server`] on top of a [`ConfigStore`], which connects it to the
//! replicated log. HTTP framing is done elsewhere: the server receives parsed requests.
//!
//! An edit states the revision on which it is based. It is authorized against the rules of that
//! revision and then submitted with the same expected revision, so no other edit can take effect
//! between the check and the change.

mod authorization;
mod body;
mod edits;
mod keys;
mod problem;
mod reads;
mod server;
mod store;

pub use body::{MAX_LINE_EDIT_BYTES, MAX_RULES_BYTES};
pub use keys::{KeyDigest, OperatorKey, OperatorKeys};
pub use problem::{Problem, ProblemKind};
pub use server::{OperatorServer, State, server};
pub use store::{ConfigStore, CurrentRules, FleetStatus, StoreError, TargetStatus, VmStatus};
