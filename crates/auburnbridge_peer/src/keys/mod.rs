//! Certificates and private keys of the fleet.
//!
//! The fleet has its own certificate authority. Each process has a folder with three PEM files:
//! `authority.pem` (certificates of the trusted authorities; two while one authority replaces
//! another), `certificate.pem` and `key.pem`. A [`KeyRing`] loads the folder, and reloads it after
//! the files were replaced; if that fails, the loaded keys stay in force.

mod create;
mod load;

use std::path::{Path, PathBuf};

use auburnbridge_types::Timestamp;

pub use create::{Validity, create_authority, issue};
pub use load::{KeyRing, Keys};

/// File with the certificates of the trusted authorities.
pub const AUTHORITY_FILE: &str = "authority.pem";
/// File with the private key of the authority. Operators keep it; it is not on the VMs.
pub const AUTHORITY_KEY_FILE: &str = "authority-key.pem";
/// File with the certificate of the process.
pub const CERTIFICATE_FILE: &str = "certificate.pem";
/// File with the private key of the process.
pub const KEY_FILE: &str = "key.pem";

/// DNS name in every certificate of the fleet, which TLS checks instead of a host name.
pub(crate) const FLEET_NAME: &str = "peer.auburnbridge.internal";

/// Error of creating or loading keys, with the path of the file.
#[derive(Debug)]
pub enum KeyError {
    /// The file can't be read.
    Read(PathBuf, std::io::Error),
    /// The file can't be written.
    Write(PathBuf, std::io::Error),
    /// The folder already has an authority, which would be overwritten.
    AuthorityExists(PathBuf),
    /// The file has no certificate or private key in PEM format.
    NoPem(PathBuf, &'static str),
    /// The content of the file can't be used.
    Invalid(PathBuf, String),
    /// The certificate has expired.
    Expired(PathBuf, Timestamp),
    /// The certificate is not valid yet.
    NotYetValid(PathBuf, Timestamp),
    /// The certificate was not signed by an authority in the authority file.
    WrongAuthority(PathBuf, PathBuf),
    /// The private key does not belong to the certificate.
    Mismatched(PathBuf, PathBuf),
}

impl KeyError {
    fn read(path: &Path) -> impl FnOnce(std::io::Error) -> Self {
        move |error| Self::Read(path.to_owned(), error)
    }

    fn write(path: &Path) -> impl FnOnce(std::io::Error) -> Self {
        move |error| Self::Write(path.to_owned(), error)
    }
}

impl std::fmt::Display for KeyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Read(path, error) => {
                write!(f, "{}: can't be read: {error}", path.display())
            }
            Self::Write(path, error) => {
                write!(f, "{}: can't be written: {error}", path.display())
            }
            Self::AuthorityExists(path) => write!(
                f,
                "{}: an authority is already there; choose another folder",
                path.display()
            ),
            Self::NoPem(path, kind) => write!(
                f,
                "{}: holds no {kind} in PEM; issue the files again with `auburnbridge keys issue`",
                path.display()
            ),
            Self::Invalid(path, reason) => write!(f, "{}: {reason}", path.display()),
            Self::Expired(path, time) => write!(
                f,
                "{}: the certificate expired at {}; issue a new one with `auburnbridge keys issue`",
                path.display(),
                seconds(*time)
            ),
            Self::NotYetValid(path, time) => write!(
                f,
                "{}: the certificate is valid from {} only; check the clock of this VM",
                path.display(),
                seconds(*time)
            ),
            Self::WrongAuthority(certificate, authority) => write!(
                f,
                "{}: not signed by an authority in {}; issue it with the fleet's authority",
                certificate.display(),
                authority.display()
            ),
            Self::Mismatched(key, certificate) => write!(
                f,
                "{}: does not belong to {}; copy both from the same issue",
                key.display(),
                certificate.display()
            ),
        }
    }
}

impl std::error::Error for KeyError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read(_, error) | Self::Write(_, error) => Some(error),
            Self::AuthorityExists(_)
            | Self::NoPem(..)
            | Self::Invalid(..)
            | Self::Expired(..)
            | Self::NotYetValid(..)
            | Self::WrongAuthority(..)
            | Self::Mismatched(..) => None,
        }
    }
}

fn seconds(time: Timestamp) -> String {
    format!("second {} of the Unix epoch", time.0 / 1_000)
}
