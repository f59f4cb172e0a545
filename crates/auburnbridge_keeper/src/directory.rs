//! Lookup of keeper addresses.
//!
//! Where the settings name every keeper, the list is fixed. Where keepers discover each other, each
//! VM is named by its IP address and all keepers use the same port, so the address follows from the
//! name.

use std::collections::HashMap;

use auburnbridge_peer::PeerAddress;
use auburnbridge_types::VmId;

/// Maps VMs to the addresses of their keepers.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    configured: HashMap<VmId, PeerAddress>,
    shared_port: Option<u16>,
}

impl PeerDirectory {
    /// Creates a directory of the keepers named in the settings.
    pub fn new(keepers: &[PeerAddress]) -> Self {
        Self {
            configured: keepers
                .iter()
                .map(|keeper| (keeper.vm.clone(), keeper.clone()))
                .collect(),
            shared_port: None,
        }
    }

    /// Derives the addresses of keepers that are not in the settings from the names of their VMs,
    /// which are IP addresses, and a common port.
    #[must_use]
    pub fn with_shared_port(mut self, port: u16) -> Self {
        self.shared_port = Some(port);
        self
    }

    /// Returns the address of the keeper on `vm`.
    pub fn find(&self, vm: &VmId) -> Option<PeerAddress> {
        if let Some(configured) = self.configured.get(vm) {
            return Some(configured.clone());
        }
        Some(PeerAddress::from_ip(vm.ip()?, self.shared_port?))
    }
}
