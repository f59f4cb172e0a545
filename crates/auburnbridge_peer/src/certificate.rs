//! Certificate of the peer on an open connection, checked again periodically and after the keys of
//! this process were replaced.

use std::sync::Arc;

use auburnbridge_types::{Millis, Timestamp};
use parking_lot::Mutex;
use quinn::Connection;
use rustls::pki_types::CertificateDer;

use crate::PeerIdentity;
use crate::keys::{KeyRing, Keys};

/// Time after which a certificate is checked again. A check takes two signature verifications, too
/// expensive for every call.
const CHECK_INTERVAL: Millis = Millis(60_000);

/// Certificate chain of a connected peer, with the identity in its leaf.
pub(crate) struct PeerCertificate {
    identity: PeerIdentity,
    chain: Vec<CertificateDer<'static>>,
    /// Keys and time of the last successful check.
    last_check: Mutex<(Arc<Keys>, Timestamp)>,
}

impl PeerCertificate {
    /// Reads the certificate that the TLS handshake verified with `keys`.
    ///
    /// Fails if the peer sent no certificate or the certificate states no identity.
    pub(crate) fn from_connection(
        connection: &Connection,
        keys: Arc<Keys>,
        now: Timestamp,
    ) -> Result<Self, String> {
        let chain = connection
            .peer_identity()
            .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok())
            .map(|chain| *chain)
            .unwrap_or_default();
        let leaf = chain.first().ok_or_else(|| "no certificate".to_owned())?;
        let identity = PeerIdentity::from_certificate(leaf)?;
        Ok(Self {
            identity,
            chain,
            last_check: Mutex::new((keys, now)),
        })
    }

    pub(crate) fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// Verifies the certificate if the keys were replaced or [`CHECK_INTERVAL`] has passed since
    /// the last check.
    pub(crate) fn check(&self, ring: &KeyRing, now: Timestamp) -> Result<(), webpki::Error> {
        let keys = ring.current();
        let mut last_check = self.last_check.lock();
        let (last_keys, last_time) = &*last_check;
        // A clock that was set back must not delay the check.
        let is_recent = now >= *last_time && now.since(*last_time) < CHECK_INTERVAL;
        if is_recent && Arc::ptr_eq(last_keys, &keys) {
            return Ok(());
        }
        keys.verify(&self.chain, now)?;
        *last_check = (keys, now);
        Ok(())
    }
}
