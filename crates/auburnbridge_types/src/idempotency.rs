//! Idempotency keys and digests that identify a caller's request across resends.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{ParseError, Timestamp};

/// A caller's key for one request: a UUID version 7, which contains its creation time.
///
/// The creation time lets the ledger refuse keys that are older than the retention period. It can
/// therefore drop a key without the risk that a later resend runs the request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Returns the time at which the caller created the key.
    pub fn created(&self) -> Timestamp {
        let millis = self.0.as_u128() >> 80;
        Timestamp(u64::try_from(millis).expect("the shift leaves 48 bits"))
    }

    /// Builds a key from its creation time and 10 random bytes.
    pub fn from_parts(created: Timestamp, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(created.0, &random).into_uuid())
    }
}

impl TryFrom<Uuid> for IdempotencyKey {
    type Error = ParseError;

    fn try_from(uuid: Uuid) -> Result<Self, ParseError> {
        if uuid.get_version_num() == 7 && uuid.get_variant() == uuid::Variant::RFC4122 {
            Ok(Self(uuid))
        } else {
            Err(ParseError::new("a UUID version 7", &uuid.to_string()))
        }
    }
}

impl From<IdempotencyKey> for Uuid {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseError;

    /// Parses the value of an `Idempotency-Key` header, with or without the quotes of a
    /// structured-field string.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let unquoted = text
            .strip_prefix('"')
            .and_then(|rest| rest.strip_suffix('"'))
            .unwrap_or(text);
        Uuid::parse_str(unquoted)
            .map_err(|_| ParseError::new("a UUID version 7", text))?
            .try_into()
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// SHA-256 digest of the method, path and body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for RequestDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        parse_digest(text).map(Self)
    }
}

/// Parses a SHA-256 digest of 64 hexadecimal digits.
///
/// # Errors
///
/// Fails if `text` is not exactly 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Result<[u8; 32], ParseError> {
    let invalid = || ParseError::new("64 hexadecimal digits", text);
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(invalid());
    }
    let mut digest = [0; 32];
    for (byte, start) in digest.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&text[start..start + 2], 16).map_err(|_| invalid())?;
    }
    Ok(digest)
}
