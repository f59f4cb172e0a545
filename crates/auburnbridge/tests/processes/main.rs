//! Tests that run whole fleets as real processes on loopback addresses.

mod broken_answers;
mod control;
mod fleet;
mod health;
mod platform;
mod platform_fleet;
mod request_path;
mod soak;
#[path = "../../../../platform/tests/wire/mod.rs"]
mod wire;
