//! The certificate of the other side of an open connection, which is checked again as time passes
//! and as keys are replaced.

use std::sync::Arc;

use auburnbridge_types::{Millis, Timestamp};
use parking_lot::Mutex;
use quinn::Connection;
use rustls::pki_types::CertificateDer;

use crate::PeerIdentity;
use crate::keys::{KeyRing, Keys};

/// Interval between the checks of a certificate that was valid at the last one. A check costs two
/// signature verifications, which is too much for every call.
const CHECK_INTERVAL: Millis = Millis(60_000);

/// Certificate of a connected peer.
pub(crate) struct PeerCertificate {
    identity: PeerIdentity,
    chain: Vec<CertificateDer<'static>>,
    /// The keys and the time of the last check.
    checked: Mutex<(Arc<Keys>, Timestamp)>,
}

impl PeerCertificate {
    /// Reads the certificate that the handshake has checked with `keys`.
    pub(crate) fn of(
        connection: &Connection,
        keys: Arc<Keys>,
        now: Timestamp,
    ) -> Result<Self, String> {
        let chain = connection
            .peer_identity()
            .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok())
            .map(|chain| *chain)
            .unwrap_or_default();
        let first = chain.first().ok_or_else(|| "no certificate".to_owned())?;
        let identity = PeerIdentity::from_certificate(first)?;
        Ok(Self {
            identity,
            chain,
            checked: Mutex::new((keys, now)),
        })
    }

    pub(crate) fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// Checks the certificate when the keys were replaced or the last check is long ago.
    pub(crate) fn check(&self, ring: &KeyRing, now: Timestamp) -> Result<(), webpki::Error> {
        let keys = ring.current();
        let mut checked = self.checked.lock();
        let (checked_with, checked_at) = &*checked;
        // A clock that was set back must not postpone the check.
        let is_recent = now >= *checked_at && now.since(*checked_at) < CHECK_INTERVAL;
        if is_recent && Arc::ptr_eq(checked_with, &keys) {
            return Ok(());
        }
        keys.verify(&self.chain, now)?;
        *checked = (keys, now);
        Ok(())
    }
}
