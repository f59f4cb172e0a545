//! Entry role: accepts requests of callers and dispatches them to targets.
//!
//! An entry is a proxy process that operators configure by a rules file. It fetches the rules from
//! the keepers, the processes that also replicate the ledger of idempotency keys, and learns of
//! targets and other entries by gossip.
//!
//! Three terms describe how a request is run:
//!
//! - A *send* is one transmission of a request by its caller. A *resend* is a later send with the
//!   same idempotency key.
//! - An *attempt* is what an [`AttemptId`](auburnbridge_types::AttemptId) names. For the class
//!   `Once`, the attempt requests one grant from the ledger and keeps its id while it tries several
//!   targets. For the class `Idempotent`, each exchange is an attempt of its own.
//! - An *exchange* is one request to one target, with its answer.

mod admission;
mod attempt;
mod backoff;
mod dispatch;
mod entry;
mod fleets;
mod idempotent;
mod keeper_client;
mod keyed;
mod ledger_client;
mod neighbours;
mod request;
mod rules_feed;
mod run;
mod server;
mod target_client;
mod targets_api;

pub use attempt::{ATTEMPT_HEADER, SHED_HEADER};
pub use entry::{
    CrashReporter, Dependencies, Entry, Location, RulesInForce, RuntimeTaskSpawner, TaskSpawner,
};
pub use fleets::{Assignment, Fleets, ServiceFleet};
pub use keeper_client::KeeperClient;
pub use ledger_client::{KeepersUnavailable, LedgerClient};
pub use request::{
    ACCOUNT_HEADER, CallerRequest, DEADLINE_HEADER, KEY_HEADER, PREVIOUS_ATTEMPTS_HEADER,
};
pub use run::{EntryError, EntryOptions, RunningEntry};
pub use target_client::TargetClient;
