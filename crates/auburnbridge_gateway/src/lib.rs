//! The gateway: forwards requests along published routes, without keys of callers.
//!
//! Where callers give no idempotency key, at most once is a promise of the one gateway that a
//! request reaches: it sends the request to another target only if the earlier one certainly didn't
//! run it. The gateway follows the keepers for its routes and targets, and tells the other gateways
//! what it finds out about targets.

mod answer;
mod exchange;
mod feed;
mod forward;
mod gate;
mod gateway;
mod neighbours;
mod run;
mod service_table;

pub use feed::Feed;
pub use gate::{Assignment, ServiceGate};
pub use gateway::{CallerService, Gateway, GatewayPorts, digest_of};
pub use neighbours::{GatewayReport, Neighbours};
pub use run::{GatewayError, GatewayOptions, RunningGateway};
pub use service_table::ServiceTable;
