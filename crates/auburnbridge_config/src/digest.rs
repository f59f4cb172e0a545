//! Digests of rules texts.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest of a rules text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TextDigest(pub [u8; 32]);

impl TextDigest {
    /// Computes the digest of `text`.
    pub fn of(text: &str) -> Self {
        Self::of_bytes(text.as_bytes())
    }

    pub(crate) fn of_bytes(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for TextDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
