//! Digests of rules texts.
//!
//! A digest is the sum, modulo 2^256, of the SHA-256 digests of the lines, so that an edit of one
//! line costs two hashes regardless of the file's length. It detects corrupted and diverged texts.
//! The order of the lines has no meaning and doesn't affect the digest. The digest doesn't resist
//! deliberate forgery; peers authenticate each other.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::line::file_lines;

const LIMBS: usize = 4;
const LIMB_BYTES: usize = 8;

/// Digest of a rules text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TextDigest([u64; LIMBS]);

impl TextDigest {
    /// Computes the digest of `text`.
    pub fn of(text: &str) -> Self {
        file_lines(text).fold(Self::default(), Self::with_line)
    }

    /// Digest of the text with `line` added.
    #[must_use]
    pub(crate) fn with_line(self, line: &str) -> Self {
        let mut carry = false;
        let mut sum = self.0;
        for (limb, added) in sum.iter_mut().zip(line_digest(line)) {
            let (partial, first) = limb.overflowing_add(added);
            let (total, second) = partial.overflowing_add(u64::from(carry));
            *limb = total;
            carry = first || second;
        }
        Self(sum)
    }

    /// Digest of the text with `line` removed.
    #[must_use]
    pub(crate) fn without_line(self, line: &str) -> Self {
        let mut borrow = false;
        let mut difference = self.0;
        for (limb, removed) in difference.iter_mut().zip(line_digest(line)) {
            let (partial, first) = limb.overflowing_sub(removed);
            let (total, second) = partial.overflowing_sub(u64::from(borrow));
            *limb = total;
            borrow = first || second;
        }
        Self(difference)
    }
}

/// SHA-256 digest of a line, least significant limb first.
fn line_digest(line: &str) -> [u64; LIMBS] {
    let digest = Sha256::digest(line.as_bytes());
    let mut limbs = [0; LIMBS];
    for (limb, bytes) in limbs.iter_mut().zip(digest.chunks_exact(LIMB_BYTES)) {
        let bytes = bytes.try_into().expect("a chunk has the size of a limb");
        *limb = u64::from_le_bytes(bytes);
    }
    limbs
}

impl fmt::Display for TextDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limbs = self.0.iter().rev();
        limbs
            .into_iter()
            .try_for_each(|limb| write!(f, "{limb:016x}"))
    }
}
