//! A replicated log, implemented as a deterministic state machine.
//!
//! [`Replica::step`] takes one input (a tick, a message, a proposal, the completion of a write) and
//! returns outputs (messages to send, state to write, records to apply). It performs no I/O, reads
//! no clock and draws randomness from a seed, so the same sequence of inputs always produces the
//! same outputs.
//!
//! The protocol is Raft with pre-vote, check-quorum, group commit, snapshots, learners, leadership
//! transfer and single-server membership changes. Two rules protect against disks that lose data.
//! Each data folder has a random [`ReplicaId`], so an empty folder is not a member. A restarted
//! replica votes and counts towards the quorum only after its peers have confirmed that its boot is
//! new to them (see [`Boot`]).

mod config;
mod hard_state;
mod ids;
mod input;
mod member;
mod message;
mod output;
mod record;
mod record_log;
mod replica;
mod snapshot;

pub use config::{Config, ConfigBuilder};
pub use hard_state::{Boot, HardState, PeerBoot};
pub use ids::{LogIndex, ReplicaId, Term, Token};
pub use input::{Input, MemberChange};
pub use member::{MAX_MEMBERS, Member, MemberRole, Members};
pub use message::{
    Body, DecodeError, HeartbeatRound, MAX_APPEND_RECORDS, MAX_MESSAGE_BYTES, MESSAGE_VERSION,
    Message, SNAPSHOT_CHUNK_BYTES,
};
pub use output::{Output, Persist, RejectReason};
pub use record::{MAX_DATA_BYTES, Payload, Record};
pub use replica::{Replica, Status};
pub use snapshot::{MAX_SNAPSHOT_BYTES, RecoveredState, Snapshot, SnapshotMeta};
