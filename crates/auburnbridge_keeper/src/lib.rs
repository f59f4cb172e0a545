//! The keeper role: the replicated log with its store, state machines and server.

mod core;
mod formation;
mod operator_store;
mod run;
mod server;
mod state;

pub use core::{CommitCounts, Core, CoreError, CoreHandle, Event, LogTransport, QUEUE, Report};
pub use run::{Keeper, KeeperError, KeeperOptions};
pub use server::KeeperServer;
pub use state::{KeeperState, RestoreError, StateCommand, StateReply};
