//! Snapshots of the state machine.
//!
//! The encoding is a function of the state alone, so that keepers with the same state write the
//! same bytes.

use std::collections::VecDeque;
use std::fmt;

use auburnbridge_rules::{RuleError, Rules};
use auburnbridge_types::Revision;
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::delta::DeltaLog;
use crate::edit::EditId;
use crate::edit_ids::{EditIds, SeenEdit};
use crate::history::HistoryEntry;
use crate::rules_copy::RulesCopy;

/// Version of the encoding; a snapshot with a higher one is refused.
const VERSION: u16 = 1;

/// Reason why a snapshot can't be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The snapshot was written by a newer program.
    NewerVersion(u16),
    /// The bytes are not a snapshot.
    Malformed,
    /// The rules in the snapshot are not valid for this program.
    Invalid(Vec<RuleError>),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NewerVersion(version) => write!(
                f,
                "the snapshot of the rules has version {version}, this program reads up to {VERSION}"
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
struct WrittenState<'a> {
    revision: Revision,
    text: &'a str,
    deltas: &'a DeltaLog,
    ids: Vec<(EditId, &'a SeenEdit)>,
    history: &'a VecDeque<HistoryEntry>,
}

#[derive(Deserialize)]
struct ReadState<'a> {
    revision: Revision,
    text: &'a str,
    deltas: DeltaLog,
    ids: Vec<(EditId, SeenEdit)>,
    history: VecDeque<HistoryEntry>,
}

impl Config {
    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        let state = WrittenState {
            revision: self.revision(),
            text: self.rules().text(),
            deltas: self.copy.deltas(),
            ids: self.ids.iter().collect(),
            history: &self.history,
        };
        let version = VERSION.to_le_bytes().to_vec();
        postcard::to_extend(&state, version).expect("the state can be encoded")
    }

    /// Decodes a state that [`Self::snapshot`] encoded.
    pub fn restore(snapshot: &[u8]) -> Result<Self, SnapshotError> {
        let (version, state) = snapshot
            .split_first_chunk()
            .ok_or(SnapshotError::Malformed)?;
        let version = u16::from_le_bytes(*version);
        if version > VERSION {
            return Err(SnapshotError::NewerVersion(version));
        }
        let (state, rest): (ReadState<'_>, _) =
            postcard::take_from_bytes(state).map_err(|_| SnapshotError::Malformed)?;
        if version != VERSION || !rest.is_empty() {
            return Err(SnapshotError::Malformed);
        }
        let rules = Rules::parse(state.text).map_err(SnapshotError::Invalid)?;
        let mut ids = EditIds::default();
        for (id, seen) in state.ids {
            ids.insert(id, seen);
        }
        Ok(Self {
            copy: RulesCopy::from_parts(state.revision, rules, state.deltas),
            ids,
            history: state.history,
        })
    }
}
