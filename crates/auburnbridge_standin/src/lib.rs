//! Stand-in targets and callers for tests, the quickstart and measurements.
//!
//! This crate is not part of the shipped binary. The stand-in target counts executions by
//! idempotency key and simulates faults on command; the stand-in caller sends single requests or
//! generates an open-loop load.

mod announcer;
mod fault;
pub mod load;
mod send;
mod target;

pub use fault::Fault;
pub use send::{SendError, send};
pub use target::{Target, TargetOptions, TargetOptionsBuilder};
