//! Outputs of a replica.

use std::sync::Arc;

use auburnbridge_types::{Timestamp, VmId};
use strum::{Display, IntoStaticStr};

use crate::{HardState, LogIndex, Members, Message, Record, Snapshot, SnapshotMeta, Term, Token};

/// One output of [`Replica::step`](crate::Replica::step), to be handled in the given order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message. The protocol tolerates its loss.
    Send {
        /// The receiving VM.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Write and sync, then reply with [`Input::Persisted`](crate::Input::Persisted). At most one
    /// write is in flight at a time.
    Persist(Persist),
    /// Apply a committed command to the state machines.
    Apply {
        /// Index of the record.
        index: LogIndex,
        /// Log time of the record.
        time: Timestamp,
        /// Encoded command.
        data: Arc<[u8]>,
        /// Handle of the proposal, if it was made at this replica.
        token: Option<Token>,
    },
    /// A member list is committed.
    MembersCommitted {
        /// Index of the record.
        index: LogIndex,
        /// The member list.
        members: Members,
        /// Handle of the change, if it was requested at this replica.
        token: Option<Token>,
    },
    /// A proposal, read or member change is rejected, or its outcome is unknown.
    Reject {
        /// Handle of the request.
        token: Token,
        /// Reason of the rejection.
        reason: RejectReason,
    },
    /// All commands accepted before the read are applied; serve it from the state machines.
    ReadReady {
        /// Handle of the read.
        token: Token,
        /// Index of the last applied record.
        index: LogIndex,
    },
    /// Replace the state of the state machines.
    InstallSnapshot {
        /// Position of the snapshot in the log.
        meta: SnapshotMeta,
        /// Encoded state.
        data: Arc<[u8]>,
    },
    /// Encode the state of the state machines, which have applied exactly the records up to
    /// `index`, and reply with [`Input::SnapshotTaken`](crate::Input::SnapshotTaken).
    TakeSnapshot {
        /// Index of the last applied record.
        index: LogIndex,
    },
    /// The replica became the leader of the group.
    BecameLeader {
        /// The new leader's term.
        term: Term,
    },
    /// The replica is no longer the leader of the group.
    SteppedDown {
        /// The term in which it was the leader.
        term: Term,
    },
    /// The peers have confirmed this boot; the replica now votes and counts towards the quorum.
    BootConfirmed,
    /// Voters that have not accepted this boot after an election timeout. Until enough have, the
    /// replica neither votes nor counts towards the quorum.
    BootUnconfirmed {
        /// VMs of these voters; empty if all have accepted the boot.
        missing: Vec<VmId>,
    },
    /// A peer knows a later boot of this data folder. The folder is an outdated copy and must be
    /// replaced by an empty one.
    FolderSuperseded,
}

/// State to write and sync, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persist {
    /// Sequence number of the write.
    pub sequence: u64,
    /// New term, vote and boots.
    pub hard_state: Option<HardState>,
    /// New snapshot; records up to its index may be removed.
    pub snapshot: Option<Snapshot>,
    /// Index from which on existing records are removed.
    pub truncate_from: Option<LogIndex>,
    /// Records to append.
    pub records: Vec<Record>,
}

/// Reason of an [`Output::Reject`].
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// The replica is not the leader; the request has no effect.
    NotLeader {
        /// VM of the leader, if this replica knows it.
        leader: Option<VmId>,
    },
    /// The replica lost leadership; a proposal may still be committed.
    LeadershipLost,
    /// Too many records or reads are pending, or the leader is transferring leadership; the request
    /// has no effect.
    Busy,
    /// The data exceeds [`MAX_DATA_BYTES`](crate::MAX_DATA_BYTES); the request has no effect.
    TooLarge,
    /// Another member change is uncommitted, or the term has no committed record yet.
    ChangeInProgress,
    /// The learner lags too far behind, or its boot is unconfirmed.
    NotCaughtUp,
    /// The change is invalid: the member to add exists, the member to promote or remove does not,
    /// the member to promote is a voter, or the new list would be too long or without voters.
    InvalidChange,
}
