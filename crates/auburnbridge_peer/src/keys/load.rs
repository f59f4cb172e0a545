//! Loads and reloads the key files of a process.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use auburnbridge_types::{Clock, Millis, Timestamp};
use log::warn;
use parking_lot::RwLock;
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, UnixTime};
use rustls::sign::CertifiedKey;
use webpki::KeyUsage;

use crate::PeerIdentity;
use crate::keys::{AUTHORITY_FILE, CERTIFICATE_FILE, KEY_FILE, KeyError};
use crate::tls;

/// Verified private key, certificate chain and trusted authorities of a process.
#[derive(Debug)]
pub struct Keys {
    identity: PeerIdentity,
    pub(crate) chain: Vec<CertificateDer<'static>>,
    pub(crate) key: PrivateKeyDer<'static>,
    pub(crate) authorities: Arc<RootCertStore>,
}

impl Keys {
    /// Loads the files in `folder` and verifies them as of `now`.
    pub fn load(folder: &Path, now: Timestamp) -> Result<Self, KeyError> {
        let read = |name: &str| {
            let path = folder.join(name);
            fs::read(&path).map_err(KeyError::read(&path))
        };
        Self::from_pem(
            folder,
            &read(AUTHORITY_FILE)?,
            &read(CERTIFICATE_FILE)?,
            &read(KEY_FILE)?,
            now,
        )
    }

    /// Parses the contents of the files in `folder` and verifies them as of `now`. The path of
    /// `folder` is only used in errors.
    pub(crate) fn from_pem(
        folder: &Path,
        authority_pem: &[u8],
        certificate_pem: &[u8],
        key_pem: &[u8],
        now: Timestamp,
    ) -> Result<Self, KeyError> {
        let authority_path = folder.join(AUTHORITY_FILE);
        let certificate_path = folder.join(CERTIFICATE_FILE);
        let key_path = folder.join(KEY_FILE);

        let mut authorities = RootCertStore::empty();
        for certificate in parse_certificates(&authority_path, authority_pem)? {
            authorities
                .add(certificate)
                .map_err(|error| KeyError::Invalid(authority_path.clone(), error.to_string()))?;
        }
        let chain = parse_certificates(&certificate_path, certificate_pem)?;
        let identity = PeerIdentity::from_certificate(&chain[0])
            .map_err(|reason| KeyError::Invalid(certificate_path.clone(), reason))?;
        let key = rustls_pemfile::private_key(&mut &*key_pem)
            .ok()
            .flatten()
            .ok_or_else(|| KeyError::NoPem(key_path.clone(), "private key"))?;

        let signing_key = tls::provider()
            .key_provider
            .load_private_key(key.clone_key())
            .map_err(|error| KeyError::Invalid(key_path.clone(), error.to_string()))?;
        CertifiedKey::new(chain.clone(), signing_key)
            .keys_match()
            .map_err(|_| KeyError::Mismatched(key_path, certificate_path.clone()))?;

        let keys = Self {
            identity,
            chain,
            key,
            authorities: Arc::new(authorities),
        };
        keys.verify(&keys.chain, now).map_err(|error| match error {
            webpki::Error::CertExpired { not_after, .. } => {
                KeyError::Expired(certificate_path, from_unix_time(not_after))
            }
            webpki::Error::CertNotValidYet { not_before, .. } => {
                KeyError::NotYetValid(certificate_path, from_unix_time(not_before))
            }
            webpki::Error::UnknownIssuer | webpki::Error::InvalidSignatureForPublicKey => {
                KeyError::WrongAuthority(certificate_path, authority_path)
            }
            other => KeyError::Invalid(certificate_path, other.to_string()),
        })?;
        Ok(keys)
    }

    /// Identity in the certificate.
    pub fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    fn has_same_content(&self, other: &Self) -> bool {
        self.chain == other.chain
            && self.key.secret_der() == other.key.secret_der()
            && self.authorities.roots == other.authorities.roots
    }

    /// Checks that a trusted authority signed `chain` and that it is valid at `now`.
    pub(crate) fn verify(
        &self,
        chain: &[CertificateDer<'_>],
        now: Timestamp,
    ) -> Result<(), webpki::Error> {
        let Some((leaf, intermediates)) = chain.split_first() else {
            return Err(webpki::Error::UnknownIssuer);
        };
        webpki::EndEntityCert::try_from(leaf)?.verify_for_usage(
            tls::provider().signature_verification_algorithms.all,
            &self.authorities.roots,
            intermediates,
            tls::unix_time(now),
            KeyUsage::client_auth(),
            None,
            None,
        )?;
        Ok(())
    }
}

/// The current keys of a process, which can be replaced while it runs.
#[derive(Debug)]
pub struct KeyRing {
    folder: PathBuf,
    current: RwLock<Arc<Keys>>,
}

impl KeyRing {
    /// Loads the keys in `folder` and verifies them as of `now`.
    pub fn load(folder: &Path, now: Timestamp) -> Result<Arc<Self>, KeyError> {
        let keys = Keys::load(folder, now)?;
        Ok(Arc::new(Self {
            folder: folder.to_owned(),
            current: RwLock::new(Arc::new(keys)),
        }))
    }

    /// Reloads the folder and returns whether the keys changed. On an error, the current keys stay
    /// in force. Unchanged files close no connection, so this can be called on a timer.
    ///
    /// New connections use the new keys at once. A client replaces its connections on the next
    /// call, and a server closes the connection of a client whose certificate was not signed by the
    /// new authorities. The identity must stay the same, because the process announced itself with
    /// it.
    pub fn reload(&self, now: Timestamp) -> Result<bool, KeyError> {
        let keys = Keys::load(&self.folder, now)?;
        let mut current = self.current.write();
        if keys.identity != current.identity {
            return Err(KeyError::Invalid(
                self.folder.join(CERTIFICATE_FILE),
                format!(
                    "issued for {}, but this process runs as {}; issue it for the latter",
                    keys.identity, current.identity
                ),
            ));
        }
        if keys.has_same_content(&current) {
            return Ok(false);
        }
        *current = Arc::new(keys);
        Ok(true)
    }

    /// Reloads the folder every `interval`, without end. If that fails, the current keys stay in
    /// force.
    pub async fn reload_every(&self, clock: &dyn Clock, interval: Millis) {
        loop {
            clock.sleep(interval).await;
            if let Err(error) = self.reload(clock.now()) {
                warn!("the keys in force stay, since the folder can't be loaded: {error}");
            }
        }
    }

    /// The current keys.
    pub fn current(&self) -> Arc<Keys> {
        Arc::clone(&self.current.read())
    }
}

fn parse_certificates(path: &Path, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let certificates: Vec<_> = rustls_pemfile::certs(&mut &*pem)
        .collect::<Result<_, _>>()
        .map_err(|error| KeyError::Invalid(path.to_owned(), error.to_string()))?;
    if certificates.is_empty() {
        return Err(KeyError::NoPem(path.to_owned(), "certificate"));
    }
    Ok(certificates)
}

fn from_unix_time(time: UnixTime) -> Timestamp {
    Timestamp(time.as_secs().saturating_mul(1_000))
}
