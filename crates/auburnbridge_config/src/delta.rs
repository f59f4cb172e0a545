//! Differences between revisions, for entries that follow.

use std::collections::VecDeque;
use std::sync::Arc;

use auburnbridge_rules::{LineEdit, TextDigest};
use auburnbridge_types::Revision;
use serde::{Deserialize, Serialize};

/// Largest number of line edits in one delta; a longer one costs more to apply than a whole file.
pub const MAX_DELTA_EDITS: usize = 256;

/// Largest size of the edits that are kept for deltas, in bytes.
const MAX_KEPT_BYTES: usize = 1 << 20;

/// Sizes of a kept step and of a kept edit beside its text, in bytes. They are constants, since
/// every keeper must drop the same steps whatever its compiler's layout of the types.
const STEP_BYTES: usize = 64;
const EDIT_BYTES: usize = 40;

/// What an entry at some revision needs to reach the one in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// The entry has the revision in force, or a higher one.
    Current {
        /// The revision in force at the sender.
        revision: Revision,
    },
    /// Edits to the entry's text.
    Lines {
        /// The entry's revision.
        base: Revision,
        /// Digest of the entry's text.
        base_digest: TextDigest,
        /// The revision after the edits.
        revision: Revision,
        /// Digest of the text after the edits.
        digest: TextDigest,
        /// The edits, one after the other.
        edits: Vec<LineEdit>,
    },
    /// The whole text.
    Whole {
        /// The revision of the text.
        revision: Revision,
        /// Digest of the text.
        digest: TextDigest,
        /// The text.
        text: Arc<str>,
    },
}

impl Delta {
    /// The revision to which the delta leads.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Current { revision }
            | Self::Lines { revision, .. }
            | Self::Whole { revision, .. } => *revision,
        }
    }
}

/// Recent steps between revisions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DeltaLog {
    steps: VecDeque<Step>,
    bytes: usize,
}

/// One step; the base of each step is the revision of the one before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Step {
    base: Revision,
    base_digest: TextDigest,
    edits: Vec<LineEdit>,
}

impl Step {
    fn bytes(&self) -> usize {
        let edits = self.edits.iter().map(|edit| match edit {
            LineEdit::Replace { text, .. } | LineEdit::Insert { text, .. } => {
                text.len() + EDIT_BYTES
            }
            LineEdit::Remove { .. } => EDIT_BYTES,
        });
        edits.sum::<usize>() + STEP_BYTES
    }
}

impl DeltaLog {
    /// Keeps a step; a step without edits can't be sent as lines and ends the chain before it.
    pub(crate) fn push(
        &mut self,
        base: Revision,
        base_digest: TextDigest,
        edits: Option<Vec<LineEdit>>,
    ) {
        let Some(edits) = edits else {
            self.clear();
            return;
        };
        let step = Step {
            base,
            base_digest,
            edits,
        };
        self.bytes += step.bytes();
        self.steps.push_back(step);
        while self.bytes > MAX_KEPT_BYTES {
            let dropped = self.steps.pop_front();
            self.bytes -= dropped.as_ref().map_or(0, Step::bytes);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.steps.clear();
        self.bytes = 0;
    }

    /// Digest and edits that lead from `base` to the newest revision.
    pub(crate) fn since(&self, base: Revision) -> Option<(TextDigest, Vec<LineEdit>)> {
        let first = self
            .steps
            .binary_search_by_key(&base, |step| step.base)
            .ok()?;
        let steps = || self.steps.range(first..);
        let count: usize = steps().map(|step| step.edits.len()).sum();
        if count > MAX_DELTA_EDITS {
            return None;
        }
        let edits = steps().flat_map(|step| step.edits.iter().cloned());
        Some((self.steps[first].base_digest, edits.collect()))
    }
}
