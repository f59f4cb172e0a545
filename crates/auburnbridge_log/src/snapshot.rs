//! Snapshots and the recovered state of a folder.

use std::sync::Arc;

use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::{HardState, LogIndex, Members, Record, ReplicaId, Term};

/// Bound on a snapshot, which a replica assembles in memory.
pub const MAX_SNAPSHOT_BYTES: usize = 1024 * 1024 * 1024;

/// The point of the log that a snapshot stands for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last record that the snapshot includes.
    pub index: LogIndex,
    /// Term of that record.
    pub term: Term,
    /// Log time of that record.
    pub time: Timestamp,
    /// Member list at that record.
    pub members: Members,
}

/// State of the state machines above at one point of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The point of the log.
    pub meta: SnapshotMeta,
    /// Encoded state.
    pub data: Arc<[u8]>,
}

/// What a data folder holds after a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// Id of the folder.
    pub replica: ReplicaId,
    /// Term, vote and boots; `begin_boot` has been applied and synced.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Records after the snapshot, without gaps.
    pub records: Vec<Record>,
}
