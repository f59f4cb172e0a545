//! One module for each subcommand.

mod api;
pub(crate) mod check;
pub(crate) mod control;
pub(crate) mod entry;
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

/// Makes JSON lines on standard output the log of the process.
fn init_json_log(lines_per_second: u64) -> Result<(), Failure> {
    let options = LogOptions {
        lines_per_second,
        ..LogOptions::default()
    };
    auburnbridge_telemetry::init(options)
        .map_err(|error| Failure::new(format!("can't start the log: {error}")))
}

/// Loads settings that may have changed; `None` if the file is invalid, so that the former ones stay.
fn reload<S: Settings>(path: &Path) -> Option<S> {
    S::load(path)
        .inspect_err(|error| warn!(error:% = error; "settings kept: the changed file is invalid"))
        .ok()
}

/// A port of the settings, whose range is checked when they are loaded.
fn port(number: u32) -> Result<u16, Failure> {
    u16::try_from(number).map_err(|_| Failure::new(format!("{number} is no port")))
}

/// Addresses of processes as the transport takes them.
fn peer_addresses(locations: &[PeerLocation]) -> Vec<PeerAddress> {
    locations
        .iter()
        .map(|location| PeerAddress {
            vm: location.vm.clone(),
            address: location.address,
        })
        .collect()
}
