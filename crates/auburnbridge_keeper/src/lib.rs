//! The keeper role: a replica of the log with its store, its state machines and the server for other
//! processes.
//!
//! Keepers are the processes of the replicated group, which serves two kinds of proxy process:
//!
//! - An *entry* is configured by the rules. It fetches them from any keeper and sends its ledger
//!   commands to the leader. Operators edit the rules through the administration API. Targets
//!   announce themselves to the entries.
//! - A *gateway* has the same role where a platform, the system that manages the targets and their
//!   configuration, publishes whole configurations as documents. Keepers with a [`ControlService`]
//!   accept the calls of the platform and the announcements of the targets, and gateways watch the
//!   [`Catalogue`] of a keeper. A gateway connects to keepers under the role `entry`.

mod catalogue;
mod control;
mod core;
mod directory;
mod formation;
mod gossip;
mod group_client;
mod membership_policy;
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
    LogTransport, QUEUE_CAPACITY,
};
pub use directory::PeerDirectory;
pub use group_client::{GroupClient, Unavailable};
pub use membership_policy::{JoinStep, MembershipPolicy};
pub use peers::PeerSecurity;
pub use run::{ControlOptions, Keeper, KeeperError, KeeperOptions};
pub use server::KeeperServer;
pub use state::{KeeperState, RestoreError, StateCommand, StateReply};
pub use view_cache::{CachedView, ViewCache, read_view};
