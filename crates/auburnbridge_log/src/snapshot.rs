//! Snapshots, and the state recovered from a data folder.

use std::sync::Arc;

use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{HardState, LogIndex, Members, Record, ReplicaId, Term};

/// Maximum size of a snapshot, which a replica assembles in memory.
pub const MAX_SNAPSHOT_BYTES: usize = 1024 * 1024 * 1024;

/// Position in the log at which a snapshot was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last record that the snapshot includes.
    pub index: LogIndex,
    /// Term of that record.
    pub term: Term,
    /// Log time of that record.
    pub time: Timestamp,
    /// Member list at that record.
    pub members: Members,
}

/// State of the state machines at one index of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the snapshot in the log.
    pub meta: SnapshotMeta,
    /// Encoded state.
    pub data: Arc<[u8]>,
}

/// State recovered from a data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredState {
    /// Id of the data folder.
    pub replica: ReplicaId,
    /// Term, vote and boots, after [`HardState::begin_boot`] was applied and synced.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Records after the snapshot, without gaps.
    pub records: Vec<Record>,
}
