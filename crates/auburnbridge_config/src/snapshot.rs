//! Snapshots of the rules state machine.
//!
//! The encoding depends only on the state, so that keepers with equal state write equal bytes.

use std::collections::VecDeque;
use std::fmt;

use auburnbridge_rules::{RuleError, Rules};
use auburnbridge_types::Revision;
use serde::{Deserialize, Serialize};

use crate::delta::DeltaLog;
use crate::edit::EditId;
use crate::history::HistoryEntry;
use crate::rules_copy::RulesCopy;
use crate::rules_state::RulesState;
use crate::seen_edits::{SeenEdit, SeenEdits};

/// Version of the encoding; snapshots with a higher version are refused.
const SNAPSHOT_VERSION: u16 = 1;

/// Reason why a snapshot can't be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The snapshot was written by a newer version of the program.
    NewerVersion(u16),
    /// The bytes are not a valid snapshot.
    Malformed,
    /// The rules in the snapshot are invalid for this version of the program.
    Invalid(Vec<RuleError>),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NewerVersion(version) => write!(
                f,
                "the snapshot of the rules has version {version}, this program reads up to {SNAPSHOT_VERSION}"
            ),
            Self::Malformed => write!(f, "the snapshot of the rules can't be decoded"),
            Self::Invalid(errors) => {
                write!(f, "the snapshot holds rules that are not valid")?;
                errors
                    .first()
                    .map_or(Ok(()), |error| write!(f, ": {error}"))
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

#[derive(Serialize)]
struct SnapshotRef<'a> {
    revision: Revision,
    text: &'a str,
    deltas: &'a DeltaLog,
    seen_edits: Vec<(EditId, &'a SeenEdit)>,
    history: &'a VecDeque<HistoryEntry>,
}

#[derive(Deserialize)]
struct Snapshot<'a> {
    revision: Revision,
    text: &'a str,
    deltas: DeltaLog,
    seen_edits: Vec<(EditId, SeenEdit)>,
    history: VecDeque<HistoryEntry>,
}

impl RulesState {
    /// Encodes the complete state.
    pub fn snapshot(&self) -> Vec<u8> {
        let state = SnapshotRef {
            revision: self.revision(),
            text: self.rules().text(),
            deltas: self.copy.deltas(),
            seen_edits: self.seen_edits.iter().collect(),
            history: &self.history,
        };
        let version = SNAPSHOT_VERSION.to_le_bytes().to_vec();
        postcard::to_extend(&state, version).expect("the rules state should be encodable")
    }

    /// Decodes the output of [`Self::snapshot`].
    pub fn restore(snapshot: &[u8]) -> Result<Self, SnapshotError> {
        let (version, state) = snapshot
            .split_first_chunk()
            .ok_or(SnapshotError::Malformed)?;
        let version = u16::from_le_bytes(*version);
        if version > SNAPSHOT_VERSION {
            return Err(SnapshotError::NewerVersion(version));
        }
        let (state, rest): (Snapshot<'_>, _) =
            postcard::take_from_bytes(state).map_err(|_| SnapshotError::Malformed)?;
        if version != SNAPSHOT_VERSION || !rest.is_empty() {
            return Err(SnapshotError::Malformed);
        }
        let rules = Rules::parse(state.text).map_err(SnapshotError::Invalid)?;
        let mut seen_edits = SeenEdits::default();
        for (id, seen) in state.seen_edits {
            seen_edits.insert(id, seen);
        }
        Ok(Self {
            copy: RulesCopy::from_parts(state.revision, rules, state.deltas),
            seen_edits,
            history: state.history,
        })
    }
}
