//! Deltas between revisions, which keep the rules of entries up to date.

use std::collections::VecDeque;
use std::sync::Arc;

use auburnbridge_rules::{LineEdit, TextDigest};
use auburnbridge_types::Revision;
use serde::{Deserialize, Serialize};

/// Maximum number of line edits in one delta; more would cost more to apply than a whole file.
pub const MAX_DELTA_LINE_EDITS: usize = 256;

/// Maximum total size of the line edits that are kept for deltas.
const MAX_KEPT_BYTES: usize = 1 << 20;

/// Assumed sizes of a kept step and of a kept line edit without its text. They are fixed because
/// all keepers must drop the same steps, whatever memory layout the compiler gives the types.
const STEP_OVERHEAD_BYTES: usize = 64;
const LINE_EDIT_OVERHEAD_BYTES: usize = 40;

/// Update from the revision of an entry to that of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// The entry already has the sender's revision, or a higher one.
    Current {
        /// The sender's revision.
        revision: Revision,
    },
    /// Line edits to the entry's text.
    Lines {
        /// The entry's revision.
        base: Revision,
        /// Digest of the entry's text.
        base_digest: TextDigest,
        /// The revision after the line edits.
        revision: Revision,
        /// Digest of the text after the line edits.
        digest: TextDigest,
        /// The line edits, each relative to the text after the previous one.
        line_edits: Vec<LineEdit>,
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
    /// The revision after applying the delta.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Current { revision }
            | Self::Lines { revision, .. }
            | Self::Whole { revision, .. } => *revision,
        }
    }
}

/// Recent steps between successive revisions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DeltaLog {
    steps: VecDeque<Step>,
    bytes: usize,
}

/// Line edits from one revision to the next; `base` is the revision that the previous step
/// produced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Step {
    base: Revision,
    base_digest: TextDigest,
    line_edits: Vec<LineEdit>,
}

impl Step {
    fn bytes(&self) -> usize {
        let line_edits = self.line_edits.iter().map(|edit| match edit {
            LineEdit::Replace { text, .. } | LineEdit::Insert { text, .. } => {
                text.len() + LINE_EDIT_OVERHEAD_BYTES
            }
            LineEdit::Remove { .. } => LINE_EDIT_OVERHEAD_BYTES,
        });
        line_edits.sum::<usize>() + STEP_OVERHEAD_BYTES
    }
}

impl DeltaLog {
    /// Appends a step. A step without line edits can't be part of a [`Delta::Lines`], so it drops
    /// all earlier steps, too.
    pub(crate) fn push(
        &mut self,
        base: Revision,
        base_digest: TextDigest,
        line_edits: Option<Vec<LineEdit>>,
    ) {
        let Some(line_edits) = line_edits else {
            self.clear();
            return;
        };
        let step = Step {
            base,
            base_digest,
            line_edits,
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

    /// Digest of `base` and the line edits from `base` to the latest revision, if kept and few
    /// enough.
    pub(crate) fn since(&self, base: Revision) -> Option<(TextDigest, Vec<LineEdit>)> {
        let first = self
            .steps
            .binary_search_by_key(&base, |step| step.base)
            .ok()?;
        let steps = || self.steps.range(first..);
        let count: usize = steps().map(|step| step.line_edits.len()).sum();
        if count > MAX_DELTA_LINE_EDITS {
            return None;
        }
        let line_edits = steps().flat_map(|step| step.line_edits.iter().cloned());
        Some((self.steps[first].base_digest, line_edits.collect()))
    }
}
