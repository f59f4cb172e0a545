//! Records of the log.

use std::sync::Arc;

use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{LogIndex, Members, Term};

/// Bound on the data of one record. The whole rules text is one record; 86,000 routes at about 100
/// bytes are half of this.
pub const MAX_DATA_BYTES: usize = 16 * 1024 * 1024;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that appended the record.
    pub term: Term,
    /// Log time: the leader's clock, never earlier than that of the record before.
    pub time: Timestamp,
    /// Content.
    pub payload: Payload,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Opens a term, so that the leader can commit the records of earlier terms.
    Noop,
    /// Command of the state machines above.
    Data(Arc<[u8]>),
    /// Member list, in force as soon as the record is in the log.
    Members(Members),
}

impl Payload {
    /// Number of bytes that count towards the limits on batches.
    pub fn size(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            Self::Noop | Self::Members(_) => 0,
        }
    }

    /// Whether the content is within its bounds.
    pub fn is_valid(&self) -> bool {
        match self {
            Self::Noop => true,
            Self::Data(data) => data.len() <= MAX_DATA_BYTES,
            Self::Members(members) => members.is_valid(),
        }
    }
}
