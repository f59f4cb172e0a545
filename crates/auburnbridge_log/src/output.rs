//! Outputs of a replica.

use std::sync::Arc;

use auburnbridge_types::{Timestamp, VmId};
use strum::{Display, IntoStaticStr};

use crate::{HardState, LogIndex, Members, Message, Record, Snapshot, SnapshotMeta, Term, Token};

/// One output of [`Replica::step`](crate::Replica::step), to be handled in the given order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; losing it is harmless.
    Send {
        /// The receiving VM.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Write and sync, then answer with [`Input::Persisted`](crate::Input::Persisted). At most one
    /// write is open at a time.
    Persist(Persist),
    /// Apply a committed command to the state machines.
    Apply {
        /// Position of the record.
        index: LogIndex,
        /// Log time of the record.
        time: Timestamp,
        /// Encoded command.
        data: Arc<[u8]>,
        /// Handle of the proposal, if it was made here.
        token: Option<Token>,
    },
    /// A member list is committed.
    MembersCommitted {
        /// Position of the record.
        index: LogIndex,
        /// The list.
        members: Members,
        /// Handle of the change, if it was asked for here.
        token: Option<Token>,
    },
    /// A proposal, read or change of members is refused.
    Reject {
        /// Handle of the request.
        token: Token,
        /// The reason.
        reason: RejectReason,
    },
    /// Everything that was accepted before the read is applied; answer it from the state machines.
    ReadReady {
        /// Handle of the read.
        token: Token,
        /// Last applied record.
        index: LogIndex,
    },
    /// Replace the state of the state machines.
    InstallSnapshot {
        /// The point of the log.
        meta: SnapshotMeta,
        /// Encoded state.
        data: Arc<[u8]>,
    },
    /// Encode the state of the state machines, which have applied exactly the records up to
    /// `index`, and answer with [`Input::SnapshotTaken`](crate::Input::SnapshotTaken).
    SnapshotWanted {
        /// Last applied record.
        index: LogIndex,
    },
    /// The replica leads the group.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// The replica no longer leads the group.
    SteppedDown {
        /// The term it led.
        term: Term,
    },
    /// The peers have confirmed this start; the replica votes and counts from now on.
    BootConfirmed,
    /// A peer has seen a later start of this folder: it is an old copy and must be replaced by an
    /// empty one.
    FolderSuperseded,
}

/// State to write and sync, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persist {
    /// Number of the write.
    pub sequence: u64,
    /// New term, vote and boots.
    pub hard_state: Option<HardState>,
    /// New snapshot; records up to its index may be dropped.
    pub snapshot: Option<Snapshot>,
    /// Records from this index on are dropped.
    pub truncate_from: Option<LogIndex>,
    /// Records to append.
    pub records: Vec<Record>,
}

/// Reason of an [`Output::Reject`].
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// The replica doesn't lead; the request has no effect.
    NotLeader {
        /// The VM of the leader that this replica knows.
        leader: Option<VmId>,
    },
    /// The replica stopped leading; a proposal may still be committed.
    LeadershipLost,
    /// Too many records are uncommitted; the request has no effect.
    Busy,
    /// The data is too long; the request has no effect.
    TooLarge,
    /// Another change of members is uncommitted, or the term has no committed record yet.
    ChangeInProgress,
    /// The learner is unknown, lags too far, or its boot is unconfirmed.
    NotCaughtUp,
    /// The change makes no sense: a member that is already there or not there, a list that is too
    /// long or without voters.
    InvalidChange,
}
