//! Records of the log.

use std::sync::Arc;

use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{LogIndex, Members, Term};

/// Maximum size of the data of a record. The whole rules text is one record; 86,000 routes of about
/// 100 bytes each take half of this size.
pub const MAX_DATA_BYTES: usize = 16 * 1024 * 1024;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Index in the log.
    pub index: LogIndex,
    /// Term of the leader that appended the record.
    pub term: Term,
    /// Log time: the leader's clock, but never earlier than the previous record's time.
    pub time: Timestamp,
    /// Content of the record.
    pub payload: Payload,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First record of a term, which lets the leader commit the records of earlier terms.
    Noop,
    /// Encoded command of the state machines.
    Data(Arc<[u8]>),
    /// Member list, which takes effect as soon as the record is in the log.
    Members(Members),
}

impl Payload {
    /// Size in bytes that counts towards the limit on an append message.
    pub fn size(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            Self::Noop | Self::Members(_) => 0,
        }
    }

    /// Whether the content is within its limits.
    pub fn is_valid(&self) -> bool {
        match self {
            Self::Noop => true,
            Self::Data(data) => data.len() <= MAX_DATA_BYTES,
            Self::Members(members) => members.is_valid(),
        }
    }
}
