//! Entry role: accepts requests of callers and dispatches them to targets.

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
    CrashReporter, Entry, Location, Ports, RulesInForce, RuntimeTaskSpawner, TaskSpawner,
};
pub use fleets::{Assignment, Fleets, ServiceFleet};
pub use keeper_client::KeeperClient;
pub use ledger_client::{LedgerClient, LedgerUnavailable};
pub use request::{
    ACCOUNT_HEADER, CallerRequest, DEADLINE_HEADER, KEY_HEADER, PREVIOUS_ATTEMPTS_HEADER,
};
pub use run::{EntryError, EntryOptions, RunningEntry};
pub use target_client::TargetClient;
