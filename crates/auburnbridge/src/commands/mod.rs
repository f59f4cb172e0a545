//! Subcommands, one module each, and what several of them use.

mod api;
pub(crate) mod check;
pub(crate) mod control;
pub(crate) mod entry;
pub(crate) mod explain;
pub(crate) mod gateway;
pub(crate) mod keeper;
pub(crate) mod keys;
pub(crate) mod rules;
pub(crate) mod targets;

use std::path::Path;

use auburnbridge_peer::PeerAddress;
use auburnbridge_settings::{PeerLocation, Settings};
use auburnbridge_telemetry::LogOptions;
use log::warn;

use crate::failure::Failure;

/// Initializes logging as JSON lines on standard output.
fn init_json_log(lines_per_second: u64) -> Result<(), Failure> {
    let options = LogOptions {
        lines_per_second,
        ..LogOptions::default()
    };
    auburnbridge_telemetry::init(options)
        .map_err(|error| Failure::new(format!("can't start the log: {error}")))
}

/// Loads changed settings; logs a warning and returns `None` if the file is invalid, in which case the
/// current settings stay in force.
fn reload_settings<S: Settings>(path: &Path) -> Option<S> {
    S::load(path)
        .inspect_err(|error| warn!(error:% = error; "settings kept: the changed file is invalid"))
        .ok()
}

/// Converts a port number of the settings, whose range is already checked when they are loaded.
fn port(number: u32) -> Result<u16, Failure> {
    u16::try_from(number).map_err(|_| Failure::new(format!("{number} is not a valid port number")))
}

/// Converts the addresses of processes in the settings to those of the transport.
fn peer_addresses(locations: &[PeerLocation]) -> Vec<PeerAddress> {
    locations
        .iter()
        .map(|location| PeerAddress {
            vm: location.vm.clone(),
            address: location.address,
        })
        .collect()
}
