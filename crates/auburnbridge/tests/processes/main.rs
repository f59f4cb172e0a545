//! Tests of whole fleets of real processes.

mod control;
mod fleet;
mod request_path;
