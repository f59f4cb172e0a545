//! Inputs of a replica.

use std::sync::Arc;

use auburnbridge_types::VmId;

use crate::{LogIndex, Member, Members, Message, ReplicaId, Token};

/// One input of [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; expected at least once per heartbeat interval, better every 10 ms to 25 ms.
    Tick,
    /// A message arrived from a VM, whose name the transport has verified.
    Message {
        /// The sending VM.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// A command for the state machines.
    Propose {
        /// Handle for the reply.
        token: Token,
        /// Encoded command.
        data: Arc<[u8]>,
    },
    /// A linearizable read.
    Read {
        /// Handle for the reply.
        token: Token,
    },
    /// A write that was asked for by [`Output::Persist`](crate::Output::Persist) is synced.
    Persisted {
        /// Number of the write.
        sequence: u64,
    },
    /// A change of one member.
    ChangeMembers {
        /// Handle for the reply.
        token: Token,
        /// The change.
        change: MemberChange,
    },
    /// The state machines' state at `index`, in reply to
    /// [`Output::SnapshotWanted`](crate::Output::SnapshotWanted).
    SnapshotTaken {
        /// Last applied record that the state includes.
        index: LogIndex,
        /// Encoded state.
        data: Arc<[u8]>,
    },
    /// The process is about to stop. A leader takes no more requests, and once a voter has its whole
    /// log, asks it to stand for election; without success within an election timeout it goes on.
    Resign,
    /// First member list of a new group; ignored by a replica that is already in a group or not in
    /// the list. Each listed replica gets the same list.
    Bootstrap {
        /// The list.
        members: Members,
    },
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a learner; the role in `Member` is ignored.
    AddLearner(Member),
    /// Makes a caught-up learner a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}
