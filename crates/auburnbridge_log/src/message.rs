//! Messages between replicas.

use std::fmt;
use std::sync::Arc;

use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::hard_state::MAX_UNCONFIRMED_BOOTS;
use crate::{LogIndex, MAX_DATA_BYTES, MAX_SNAPSHOT_BYTES, Record, ReplicaId, SnapshotMeta, Term};

/// Version of the message format.
pub const MESSAGE_VERSION: u8 = 1;

/// Maximum number of records in an append message.
pub const MAX_APPEND_RECORDS: usize = 1024;

/// Maximum size of a snapshot chunk.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Maximum size of an encoded message, which leaves room for one record of the maximum size and the
/// headers of a full batch.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_DATA_BYTES;

/// Message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Version of the message format.
    pub version: u8,
    /// The sender.
    pub from: ReplicaId,
    /// The receiver. Another replica on the same VM drops the message.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in the term after `Message::term`.
    PreVote {
        /// Index of the sender's last record.
        last_index: LogIndex,
        /// Term of that record.
        last_term: Term,
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// Term of the election that the sender would start.
        next_term: Term,
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Requests a vote in the sender's term.
    Vote {
        /// Index of the sender's last record.
        last_index: LogIndex,
        /// Term of that record.
        last_term: Term,
        /// Whether the leader requested this election to transfer leadership. The receiver may then
        /// grant the vote even if it has recently heard from the leader.
        is_transfer: bool,
    },
    /// Asks a voter that has the whole log of the leader to start an election at once.
    Campaign,
    /// Reply to `Vote`.
    VoteReply {
        /// Whether the candidate receives the vote.
        granted: bool,
    },
    /// Appends records; without records, it is a heartbeat.
    Append {
        /// Index of the record before `records`.
        prev_index: LogIndex,
        /// Term of that record.
        prev_term: Term,
        /// The records.
        records: Vec<Record>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Number and time of the leader's heartbeat round, echoed in the reply.
        round: HeartbeatRound,
    },
    /// Reply to `Append`, and to the last chunk of a snapshot.
    AppendReply {
        /// Last index up to which the sender's records are synced and match the leader's; `None`
        /// if the sender's log does not contain the record at `prev_index`.
        matched: Option<LogIndex>,
        /// Highest index at which the sender's log may match the leader's.
        hint: LogIndex,
        /// Whether the sender's boot is confirmed, so that it counts towards the quorum.
        counts: bool,
        /// Echo of the round.
        round: HeartbeatRound,
    },
    /// Transfers a part of a snapshot.
    SnapshotChunk {
        /// Position of the snapshot in the log.
        meta: SnapshotMeta,
        /// Size of the whole snapshot in bytes.
        total: u64,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Data of the chunk.
        data: Arc<[u8]>,
        /// Number and time of the leader's heartbeat round, echoed in the reply.
        round: HeartbeatRound,
    },
    /// Reply to `SnapshotChunk`.
    SnapshotReply {
        /// Index of the last record in the snapshot.
        index: LogIndex,
        /// Number of bytes that the sender of the reply has received.
        received: u64,
        /// Whether the sender's boot is confirmed, so that it counts towards the quorum.
        counts: bool,
        /// Echo of the round.
        round: HeartbeatRound,
    },
    /// Asks the receiver to confirm that this boot of the sender is new to it.
    BootCheck {
        /// Counter of the boot.
        counter: u64,
        /// Nonce of the boot.
        nonce: u64,
        /// Nonces of the earlier, unconfirmed boots with this counter.
        unconfirmed_nonces: Vec<u64>,
    },
    /// Reply to `BootCheck`.
    BootReply {
        /// Echo of the counter.
        counter: u64,
        /// Echo of the nonce.
        nonce: u64,
        /// Whether the boot was new to the receiver, which has recorded it.
        accepted: bool,
    },
    /// Accompanies an accepting `BootReply` whose sender leads the group or has recently heard from
    /// its leader. Versions that don't know this message drop it.
    LiveLeader,
}

/// Heartbeat round of a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRound {
    /// Number of the round within the term.
    pub number: u64,
    /// Time at which the message was sent, by the leader's clock.
    pub sent: Timestamp,
}

/// Error in decoding a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The message has an unsupported format version.
    Version(u8),
    /// The message is longer than [`MAX_MESSAGE_BYTES`]; holds its length in bytes.
    TooLong(usize),
    /// A field is malformed or exceeds its limit.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => write!(
                f,
                "unsupported log message version {version}, expected {MESSAGE_VERSION}"
            ),
            Self::TooLong(bytes) => write!(
                f,
                "log message of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
            ),
            Self::Malformed => f.write_str("malformed log message"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("all fields of a message can be encoded")
    }

    /// Decodes a message and checks its version and limits.
    ///
    /// # Errors
    ///
    /// Fails if the message is too long, has another version or is malformed.
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

    /// Checks version and limits of a message that was decoded as part of another one.
    ///
    /// # Errors
    ///
    /// Fails if the message has another version or a field exceeds its limit.
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
            Self::BootCheck {
                unconfirmed_nonces, ..
            } => unconfirmed_nonces.len() <= MAX_UNCONFIRMED_BOOTS,
            Self::PreVote { .. }
            | Self::PreVoteReply { .. }
            | Self::Vote { .. }
            | Self::Campaign
            | Self::VoteReply { .. }
            | Self::AppendReply { .. }
            | Self::SnapshotReply { .. }
            | Self::BootReply { .. }
            | Self::LiveLeader => true,
        }
    }

    /// Whether each replica that receives the message replies to it. A vote is not among these: the
    /// followers of another leader ignore it.
    pub(crate) fn requires_reply(&self) -> bool {
        matches!(
            self,
            Self::PreVote { .. }
                | Self::Append { .. }
                | Self::SnapshotChunk { .. }
                | Self::BootCheck { .. }
        )
    }

    pub(crate) fn is_reply(&self) -> bool {
        matches!(
            self,
            Self::PreVoteReply { .. }
                | Self::VoteReply { .. }
                | Self::AppendReply { .. }
                | Self::SnapshotReply { .. }
                | Self::BootReply { .. }
        )
    }
}
