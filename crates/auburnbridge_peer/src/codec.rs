//! Encoding of messages: a format version in one byte, then the postcard encoding of the value.
//!
//! One version covers the layout of all messages. A process decodes only its own version; the error
//! for any other version tells an operator which process to upgrade.

use auburnbridge_types::ByteSize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the message layout that this build writes and reads.
pub const FORMAT_VERSION: u8 = 1;

/// Error of encoding or decoding a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The message is longer than the limit.
    TooLarge {
        /// Size of the message, or of its encoded part.
        size: ByteSize,
        /// The limit.
        limit: ByteSize,
    },
    /// The message is empty, without a format version.
    Empty,
    /// The message has another format version than [`FORMAT_VERSION`].
    Version {
        /// Format version of the message.
        found: u8,
    },
    /// The message is not a valid encoding of the expected type.
    Malformed(String),
    /// The message has more bytes after the value.
    TrailingBytes {
        /// Number of bytes after the value.
        count: usize,
    },
}

impl std::fmt::Display for CodecError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge { size, limit } => {
                write!(f, "the message has {size}, more than the limit of {limit}")
            }
            Self::Empty => f.write_str("the message is empty"),
            Self::Version { found } if *found > FORMAT_VERSION => write!(
                f,
                "the message has format version {found}, newer than {FORMAT_VERSION}; upgrade this process"
            ),
            Self::Version { found } => write!(
                f,
                "the message has format version {found}, expected {FORMAT_VERSION}; upgrade the sender"
            ),
            Self::Malformed(reason) => write!(f, "the message is malformed: {reason}"),
            Self::TrailingBytes { count } => {
                write!(f, "the message has {count} bytes after its value")
            }
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes `value`; fails if the message is longer than `limit`.
pub fn encode<T: Serialize>(value: &T, limit: ByteSize) -> Result<Vec<u8>, CodecError> {
    let buf = postcard::to_extend(value, vec![FORMAT_VERSION])
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    check_size(&buf, limit)?;
    Ok(buf)
}

/// Decodes a message, which must be a single value. A message over `limit` is refused before it is
/// decoded.
pub fn decode<T: DeserializeOwned>(message: &[u8], limit: ByteSize) -> Result<T, CodecError> {
    check_size(message, limit)?;
    let (&version, encoded) = message.split_first().ok_or(CodecError::Empty)?;
    if version != FORMAT_VERSION {
        return Err(CodecError::Version { found: version });
    }
    let (value, rest) = postcard::take_from_bytes(encoded)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if !rest.is_empty() {
        return Err(CodecError::TrailingBytes { count: rest.len() });
    }
    Ok(value)
}

fn check_size(message: &[u8], limit: ByteSize) -> Result<(), CodecError> {
    let size = ByteSize(message.len() as u64);
    if size > limit {
        return Err(CodecError::TooLarge { size, limit });
    }
    Ok(())
}
