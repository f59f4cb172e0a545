//! The keeper role: a replica of the log with its store, its state machines and the server for other
//! processes.

mod catalogue;
mod control;
mod core;
mod directory;
mod formation;
mod gossip;
mod group_client;
mod operator_store;
mod peers;
mod run;
mod server;
mod state;
mod view_cache;

pub use catalogue::{Catalogue, LeavingTarget};
pub use control::ControlService;
pub use core::{
    CommitCounts, CommitObserver, Core, CoreError, CoreHandle, CoreOptions, Event, KeeperStatus,
    LogTransport, MembershipPolicy, QUEUE_CAPACITY,
};
pub use directory::PeerDirectory;
pub use group_client::{GroupClient, Unavailable};
pub use peers::PeerSecurity;
pub use run::{ControlOptions, Keeper, KeeperError, KeeperOptions};
pub use server::KeeperServer;
pub use state::{KeeperState, RestoreError, StateCommand, StateReply};
pub use view_cache::{CachedView, ViewCache, read_view};
