//! The entry role: assembles the request path.

mod backoff;
mod entry;
mod fleets;
mod idempotent;
mod keyed;
mod ledger_client;
mod request;
mod target_port;

pub use entry::{ATTEMPT_HEADER, CrashReporter, Entry, Ports, RulesInForce, SHED_HEADER};
pub use fleets::{Assignment, Fleets, ServiceFleet};
pub use ledger_client::{LedgerClient, LedgerUnavailable};
pub use request::{
    ACCOUNT_HEADER, CallerRequest, DEADLINE_HEADER, KEY_HEADER, PREVIOUS_ATTEMPTS_HEADER,
};
pub use target_port::TargetPort;
