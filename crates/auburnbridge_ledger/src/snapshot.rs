//! Versioned snapshots of a ledger.

use std::collections::BTreeMap;
use std::fmt;

use auburnbridge_types::{ByteSize, Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::record::Record;
use crate::{Ledger, LedgerKey, Limits};

/// Version of the snapshot format, which is the first field of a snapshot.
pub const SNAPSHOT_VERSION: u16 = 1;

/// Reason why a snapshot can't be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreError {
    /// The format version is not [`SNAPSHOT_VERSION`].
    UnsupportedVersion {
        /// The version of the snapshot.
        found: u16,
    },
    /// The bytes are not a valid snapshot.
    Malformed,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnsupportedVersion { found } => write!(
                f,
                "the ledger snapshot has format version {found}, this build reads version \
                 {SNAPSHOT_VERSION}; start a build that reads version {found}"
            ),
            Self::Malformed => f.write_str("the ledger snapshot is malformed"),
        }
    }
}

impl std::error::Error for RestoreError {}

#[derive(Serialize)]
struct SnapshotRef<'a> {
    limits: &'a Limits,
    now: Timestamp,
    retention: Millis,
    expiry_cutoff: Timestamp,
    records: &'a BTreeMap<LedgerKey, Record>,
}

#[derive(Deserialize)]
struct Snapshot {
    limits: Limits,
    now: Timestamp,
    retention: Millis,
    expiry_cutoff: Timestamp,
    records: BTreeMap<LedgerKey, Record>,
}

impl Ledger {
    /// Encodes the complete state; equal ledgers have equal snapshots.
    pub fn snapshot(&self) -> Vec<u8> {
        let state = SnapshotRef {
            limits: &self.limits,
            now: self.now,
            retention: self.retention,
            expiry_cutoff: self.expiry_cutoff,
            records: &self.records,
        };
        // Encoding into a growing buffer fails only for sequences of unknown length, and the state
        // has none.
        postcard::to_stdvec(&(SNAPSHOT_VERSION, state))
            .expect("the ledger state should be encodable")
    }

    /// Decodes a snapshot.
    pub fn restore(snapshot: &[u8]) -> Result<Self, RestoreError> {
        let malformed = |_| RestoreError::Malformed;
        let (found, rest) = postcard::take_from_bytes::<u16>(snapshot).map_err(malformed)?;
        if found != SNAPSHOT_VERSION {
            return Err(RestoreError::UnsupportedVersion { found });
        }
        let (state, rest) = postcard::take_from_bytes::<Snapshot>(rest).map_err(malformed)?;
        if !rest.is_empty() {
            return Err(RestoreError::Malformed);
        }
        let stored_bytes = state.records.values().map(Record::stored_bytes).sum();
        if stored_bytes > state.limits.max_stored_size.0 {
            return Err(RestoreError::Malformed);
        }
        Ok(Self {
            limits: state.limits,
            now: state.now,
            retention: state.retention,
            expiry_cutoff: state.expiry_cutoff,
            records: state.records,
            stored_size: ByteSize(stored_bytes),
        })
    }
}
