//! Identity of a process, as stated in its certificate.
//!
//! A certificate of the fleet has two URI names: `auburnbridge:vm:NAME` and
//! `auburnbridge:role:ROLE`. They are URIs because a VM name may have characters that are not
//! allowed in a DNS name.

use std::net::{IpAddr, SocketAddr};

use auburnbridge_types::VmId;
use rustls::pki_types::CertificateDer;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

const VM_PREFIX: &str = "auburnbridge:vm:";
const ROLE_PREFIX: &str = "auburnbridge:role:";

/// Role of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Accepts the requests of callers.
    Entry,
    /// Stores the replicated state.
    Keeper,
    /// Distributes rules.
    Relay,
}

/// Identity of the process on the other side of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerIdentity {
    /// Its VM.
    pub vm: VmId,
    /// Its role.
    pub role: Role,
}

impl std::fmt::Display for PeerIdentity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({})", self.vm, self.role)
    }
}

/// Address of a peer and the VM that it must prove to be.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// The VM that the peer's certificate must state.
    pub vm: VmId,
    /// Address on which the peer's server listens.
    pub address: SocketAddr,
}

impl std::fmt::Display for PeerAddress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} at {}", self.vm, self.address)
    }
}

impl PeerAddress {
    /// Address of the process at `ip` in a fleet whose VMs are named after their IP addresses.
    pub fn from_ip(ip: IpAddr, port: u16) -> Self {
        Self {
            vm: ip.into(),
            address: SocketAddr::new(ip, port),
        }
    }
}

impl PeerIdentity {
    /// URI names of a certificate for this identity.
    pub(crate) fn uri_names(&self) -> [String; 2] {
        [
            format!("{VM_PREFIX}{}", self.vm),
            format!("{ROLE_PREFIX}{}", self.role),
        ]
    }

    /// Reads the identity from a certificate, which must have exactly one VM and one role name.
    pub(crate) fn from_certificate(certificate: &CertificateDer<'_>) -> Result<Self, String> {
        let certificate = webpki::EndEntityCert::try_from(certificate)
            .map_err(|error| format!("the certificate can't be parsed: {error}"))?;
        let names: Vec<&str> = certificate.valid_uri_names().collect();
        let vm = single_name(&names, VM_PREFIX)?
            .parse()
            .map_err(|error| format!("the certificate's VM is invalid: {error}"))?;
        let role_name = single_name(&names, ROLE_PREFIX)?;
        let role = role_name
            .parse()
            .map_err(|_| format!("the certificate's role `{role_name}` is unknown"))?;
        Ok(Self { vm, role })
    }
}

fn single_name<'a>(names: &[&'a str], prefix: &str) -> Result<&'a str, String> {
    let mut found = names.iter().filter_map(|name| name.strip_prefix(prefix));
    match (found.next(), found.next()) {
        (Some(name), None) => Ok(name),
        (None, _) => Err(format!("the certificate has no `{prefix}` name")),
        (Some(_), Some(_)) => Err(format!("the certificate has several `{prefix}` names")),
    }
}
