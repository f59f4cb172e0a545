//! One module for each subcommand.

mod api;
pub(crate) mod check;
pub(crate) mod entry;
pub(crate) mod keeper;
pub(crate) mod keys;
pub(crate) mod rules;
pub(crate) mod targets;

use auburnbridge_peer::PeerAddress;
use auburnbridge_settings::PeerLocation;

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
