//! Inputs of a replica.

use std::sync::Arc;

use auburnbridge_types::VmId;

use crate::{LogIndex, Member, Members, Message, ReplicaId, Token};

/// One input of [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Expected at least once per heartbeat interval, preferably every 10 ms to
    /// 25 ms.
    Tick,
    /// A message arrived from a VM whose name the transport has authenticated.
    Message {
        /// The sending VM.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// Proposes a command for the state machines.
    Propose {
        /// Handle for the reply.
        token: Token,
        /// Encoded command.
        data: Arc<[u8]>,
    },
    /// Requests a linearizable read.
    Read {
        /// Handle for the reply.
        token: Token,
    },
    /// A write requested by [`Output::Persist`](crate::Output::Persist) is synced.
    Persisted {
        /// Sequence number of the write.
        sequence: u64,
    },
    /// Requests a change of one member.
    ChangeMembers {
        /// Handle for the reply.
        token: Token,
        /// The change.
        change: MemberChange,
    },
    /// Encoded state of the state machines at `index`, in reply to
    /// [`Output::TakeSnapshot`](crate::Output::TakeSnapshot).
    SnapshotTaken {
        /// Index of the last applied record that the state includes.
        index: LogIndex,
        /// Encoded state.
        data: Arc<[u8]>,
    },
    /// The process is about to stop. A leader rejects proposals and member changes, and transfers
    /// leadership to a voter that has the whole log. If that fails within an election timeout, it
    /// accepts them again.
    Resign,
    /// Sets the first member list of a new group; every listed replica must get the same list.
    /// Ignored by a replica that already belongs to a group or is not a voter in the list.
    Bootstrap {
        /// The member list.
        members: Members,
    },
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a learner; the `role` of the member is ignored.
    AddLearner(Member),
    /// Promotes a learner that has caught up to a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}
