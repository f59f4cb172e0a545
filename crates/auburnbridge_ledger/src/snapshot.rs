//! Snapshots of a ledger, with a format version.

use std::collections::BTreeMap;
use std::fmt;

use auburnbridge_types::{ByteSize, Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::record::Record;
use crate::{Ledger, LedgerKey, Limits};

/// Version of the snapshot format, which stands first in a snapshot.
pub const SNAPSHOT_VERSION: u16 = 1;

/// Reason why a snapshot can't be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreError {
    /// The format version is not [`SNAPSHOT_VERSION`].
    Version {
        /// The version that the snapshot names.
        found: u16,
    },
    /// The bytes are not a snapshot.
    Malformed,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version { found } => write!(
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
struct StateRef<'a> {
    limits: &'a Limits,
    now: Timestamp,
    retention: Millis,
    accepted_from: Timestamp,
    records: &'a BTreeMap<LedgerKey, Record>,
}

#[derive(Deserialize)]
struct State {
    limits: Limits,
    now: Timestamp,
    retention: Millis,
    accepted_from: Timestamp,
    records: BTreeMap<LedgerKey, Record>,
}

impl Ledger {
    /// Encodes the whole state; equal ledgers have equal snapshots.
    pub fn snapshot(&self) -> Vec<u8> {
        let state = StateRef {
            limits: &self.limits,
            now: self.now,
            retention: self.retention,
            accepted_from: self.accepted_from,
            records: &self.records,
        };
        // Encoding into a growing buffer fails only for types without a known length, and the
        // state has none.
        postcard::to_stdvec(&(SNAPSHOT_VERSION, state)).expect("the state has an encoding")
    }

    /// Decodes a snapshot.
    pub fn restore(snapshot: &[u8]) -> Result<Self, RestoreError> {
        let malformed = |_| RestoreError::Malformed;
        let (found, rest) = postcard::take_from_bytes::<u16>(snapshot).map_err(malformed)?;
        if found != SNAPSHOT_VERSION {
            return Err(RestoreError::Version { found });
        }
        let (state, rest) = postcard::take_from_bytes::<State>(rest).map_err(malformed)?;
        if !rest.is_empty() {
            return Err(RestoreError::Malformed);
        }
        let stored = state.records.values().map(Record::stored_bytes).sum();
        if stored > state.limits.max_stored.0 {
            return Err(RestoreError::Malformed);
        }
        Ok(Self {
            limits: state.limits,
            now: state.now,
            retention: state.retention,
            accepted_from: state.accepted_from,
            records: state.records,
            stored: ByteSize(stored),
        })
    }
}
