//! Stand-in targets and callers for tests, the quickstart and measurements.
//!
//! Nothing here is part of the shipped binary. The stand-in target counts each execution by its
//! idempotency key and fails on command; the caller sends single requests or an open-loop load.

mod announcer;
mod fault;
pub mod load;
mod send;
mod target;

pub use fault::Fault;
pub use send::{SendError, send};
pub use target::{Target, TargetOptions, TargetOptionsBuilder};
