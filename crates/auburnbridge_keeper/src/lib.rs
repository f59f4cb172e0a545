//! The keeper role: the replicated log with its store, state machines and server.

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
    Admission, CommitCounts, CommitObserver, Core, CoreError, CoreHandle, CoreOptions, Event,
    LogTransport, QUEUE, Report,
};
pub use directory::Directory;
pub use group_client::{GroupClient, Unavailable};
pub use peers::PeerSecurity;
pub use run::{ControlOptions, Keeper, KeeperError, KeeperOptions};
pub use server::KeeperServer;
pub use state::{KeeperState, RestoreError, StateCommand, StateReply};
pub use view_cache::{CachedView, ViewCache, read_view};
