//! Addresses of the keepers.
//!
//! Where the settings name each keeper, the list is fixed. Where keepers find each other, a VM is
//! named by its IP address and all keepers use one port, so that a name tells the address.

use std::collections::HashMap;

use auburnbridge_peer::PeerAddress;
use auburnbridge_types::VmId;

/// Finds the addresses of keepers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    listed: HashMap<VmId, PeerAddress>,
    shared_port: Option<u16>,
}

impl Directory {
    /// Lists the keepers of the settings.
    pub fn listed(keepers: &[PeerAddress]) -> Self {
        Self {
            listed: keepers
                .iter()
                .map(|keeper| (keeper.vm.clone(), keeper.clone()))
                .collect(),
            shared_port: None,
        }
    }

    /// Derives the addresses of other keepers from their names, which are IP addresses.
    #[must_use]
    pub fn with_shared_port(mut self, port: u16) -> Self {
        self.shared_port = Some(port);
        self
    }

    /// The address of the keeper on `vm`.
    pub fn find(&self, vm: &VmId) -> Option<PeerAddress> {
        if let Some(listed) = self.listed.get(vm) {
            return Some(listed.clone());
        }
        Some(PeerAddress::at(vm.ip()?, self.shared_port?))
    }
}
