//! The listener for callers and the handling of each request.
//!
//! The listener accepts TCP connections, reads each request whole with `auburnbridge_http`, passes
//! it to a [`Service`] and writes the response, a small one in one write. On pipelined connections, the
//! service decides from the head whether a body is read. It is independent of routes and
//! targets. [`Lifecycle`] coordinates the graceful shutdown of all connections.

mod disconnect;
mod held_bytes;
mod lifecycle;
mod listener;
mod pipeline;
mod problem;
mod tide_service;
mod tracker;
mod transfer;

pub use disconnect::{Disconnect, DisconnectSignal};
pub use held_bytes::{ConnectionMemory, HeldBody};
pub use lifecycle::{Lifecycle, Phase};
pub use listener::{Listener, ListenerOptions, ListenerOptionsBuilder, Service};
pub use pipeline::LimitSource;
pub use problem::{OUTCOME_HEADER, Problem};
pub use tide_service::TideService;
pub use tracker::{TaskGuard, TaskTracker};
pub use transfer::{Transfer, TransferPace};
