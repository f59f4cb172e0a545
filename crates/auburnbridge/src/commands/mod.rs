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

use auburnbridge_peer::PeerAddress;
use auburnbridge_settings::PeerLocation;

use crate::failure::Failure;

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
