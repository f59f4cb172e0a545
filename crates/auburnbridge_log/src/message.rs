//! Messages between replicas.

use std::fmt;
use std::sync::Arc;

use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::hard_state::MAX_ATTEMPTS;
use crate::{LogIndex, MAX_DATA_BYTES, MAX_SNAPSHOT_BYTES, Record, ReplicaId, SnapshotMeta, Term};

/// Version of the message format.
pub const MESSAGE_VERSION: u8 = 1;

/// Bound on the records of one append message.
pub const MAX_APPEND_RECORDS: usize = 1024;

/// Bytes of one chunk of a snapshot.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Bound on an encoded message: one record of the largest size and a full batch of headers.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_DATA_BYTES;

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Version of the format.
    pub version: u8,
    /// The sender.
    pub from: ReplicaId,
    /// The receiver; another replica on the same VM drops the message.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Body {
    /// Would the receiver vote for the sender in the term after the sender's?
    PreVote {
        /// Last record of the sender.
        last_index: LogIndex,
        /// Term of that record.
        last_term: Term,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// The term that was asked about.
        next_term: Term,
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// The sender asks for a vote in its term.
    Vote {
        /// Last record of the sender.
        last_index: LogIndex,
        /// Term of that record.
        last_term: Term,
        /// The leader has asked the sender to take over, so that contact with it is no reason to
        /// refuse.
        handover: bool,
    },
    /// The leader asks the receiver, which has its whole log, to take over.
    Campaign,
    /// Answer to `Vote`.
    VoteReply {
        /// Whether the sender got the vote.
        granted: bool,
    },
    /// Records, or none as a heartbeat.
    Append {
        /// Record before the first one sent.
        prev_index: LogIndex,
        /// Term of that record.
        prev_term: Term,
        /// The records.
        records: Vec<Record>,
        /// Last record that the leader knows to be committed.
        commit: LogIndex,
        /// Number and time of the leader's heartbeat round, echoed in the reply.
        round: Round,
    },
    /// Answer to `Append`, and to the last chunk of a snapshot.
    AppendReply {
        /// The records up to here are synced and equal the leader's; `None` if the receiver lacks
        /// the record before the first one sent.
        matched: Option<LogIndex>,
        /// Last record that the receiver may share with the leader.
        hint: LogIndex,
        /// Whether the sender's boot is confirmed, so that it counts towards the quorum.
        counts: bool,
        /// Echo of the round.
        round: Round,
    },
    /// Part of a snapshot.
    SnapshotChunk {
        /// The point of the log.
        meta: SnapshotMeta,
        /// Bytes in the whole snapshot.
        total: u64,
        /// Position of the chunk.
        offset: u64,
        /// The bytes.
        data: Arc<[u8]>,
        /// Number and time of the leader's heartbeat round, echoed in the reply.
        round: Round,
    },
    /// Answer to `SnapshotChunk`.
    SnapshotReply {
        /// Last record of the snapshot.
        index: LogIndex,
        /// Bytes that the receiver holds.
        received: u64,
        /// Whether the sender's boot is confirmed.
        counts: bool,
        /// Echo of the round.
        round: Round,
    },
    /// Is this start of the sender new to the receiver?
    BootCheck {
        /// Counter of the start.
        counter: u64,
        /// Random number of the start.
        nonce: u64,
        /// Random numbers of the unconfirmed starts with this counter.
        attempts: Vec<u64>,
    },
    /// Answer to `BootCheck`.
    BootReply {
        /// Echo of the counter.
        counter: u64,
        /// Echo of the random number.
        nonce: u64,
        /// Whether the start was new, and is now recorded.
        accepted: bool,
    },
}

/// Heartbeat round of a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// Number of the round in the term.
    pub number: u64,
    /// Leader's time at which the message was sent.
    pub sent: Timestamp,
}

/// Reason why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The message has a newer format.
    Version(u8),
    /// The bytes are longer than [`MAX_MESSAGE_BYTES`].
    TooLong(usize),
    /// A field is malformed or exceeds its bound.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => write!(
                f,
                "log message has format version {version}, this program reads {MESSAGE_VERSION}"
            ),
            Self::TooLong(bytes) => write!(
                f,
                "log message of {bytes} bytes is over the limit of {MAX_MESSAGE_BYTES}"
            ),
            Self::Malformed => f.write_str("log message is malformed"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("all fields of a message can be encoded")
    }

    /// Decodes a message and checks its version and bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        match bytes.first() {
            Some(&version) if version > MESSAGE_VERSION => Err(DecodeError::Version(version)),
            Some(_) => {
                let message: Self =
                    postcard::from_bytes(bytes).map_err(|_| DecodeError::Malformed)?;
                message.validate()?;
                Ok(message)
            }
            None => Err(DecodeError::Malformed),
        }
    }

    /// Checks version and bounds, for a message that was decoded as part of another one.
    pub fn validate(&self) -> Result<(), DecodeError> {
        if self.version != MESSAGE_VERSION {
            return Err(DecodeError::Version(self.version));
        }
        if self.body.is_valid() {
            Ok(())
        } else {
            Err(DecodeError::Malformed)
        }
    }
}

impl Body {
    fn is_valid(&self) -> bool {
        match self {
            Self::Append {
                prev_index,
                records,
                ..
            } => {
                records.len() <= MAX_APPEND_RECORDS
                    && records.iter().all(|record| record.payload.is_valid())
                    && records
                        .iter()
                        .zip(prev_index.0.saturating_add(1)..)
                        .all(|(record, index)| record.index.0 == index)
            }
            Self::SnapshotChunk {
                meta,
                total,
                offset,
                data,
                ..
            } => {
                let end = offset.saturating_add(data.len() as u64);
                meta.members.is_valid()
                    && data.len() <= SNAPSHOT_CHUNK_BYTES
                    && *total <= MAX_SNAPSHOT_BYTES as u64
                    && end <= *total
            }
            Self::BootCheck { attempts, .. } => attempts.len() <= MAX_ATTEMPTS,
            Self::PreVote { .. }
            | Self::PreVoteReply { .. }
            | Self::Vote { .. }
            | Self::Campaign
            | Self::VoteReply { .. }
            | Self::AppendReply { .. }
            | Self::SnapshotReply { .. }
            | Self::BootReply { .. } => true,
        }
    }
}
