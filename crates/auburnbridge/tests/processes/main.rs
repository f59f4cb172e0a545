//! Tests of whole fleets of real processes.

mod control;
mod fleet;
mod health;
mod request_path;
