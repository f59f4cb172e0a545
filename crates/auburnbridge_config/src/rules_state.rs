//! The state machine of the rules.

use std::collections::VecDeque;
use std::sync::Arc;

use auburnbridge_rules::{Rules, TextDigest};
use auburnbridge_types::{Revision, Timestamp};
use sha2::{Digest, Sha256};

use crate::delta::Delta;
use crate::edit::{Edit, EditReply};
use crate::history::{HistoryEntry, MAX_HISTORY};
use crate::rules_copy::RulesCopy;
use crate::seen_edits::{SeenEdit, SeenEdits};

/// Rules, revision, seen edits and history; identical on all keepers after the same log records.
///
/// Whether an edit is accepted depends on the grammar of the rules, so keepers that run programs with
/// different grammars could reply differently to the same log record.
#[derive(Clone, Debug, Default)]
pub struct RulesState {
    pub(crate) copy: RulesCopy,
    pub(crate) seen_edits: SeenEdits,
    pub(crate) history: VecDeque<HistoryEntry>,
}

impl RulesState {
    /// Applies an edit at `now`, the timestamp of its log record.
    pub fn apply(&mut self, now: Timestamp, edit: Edit) -> EditReply {
        let digest = edit_digest(&edit);
        if let Some(seen) = self.seen_edits.get(edit.id) {
            return if seen.digest == digest {
                EditReply::Repeated(Box::new(seen.reply.clone()))
            } else {
                EditReply::IdReused
            };
        }
        if !SeenEdits::is_in_window(now, edit.id) {
            return EditReply::IdExpired;
        }
        if !self.seen_edits.make_room(now) {
            return EditReply::TooManyEdits;
        }
        let id = edit.id;
        let reply = self.apply_new(now, edit);
        let seen = SeenEdit {
            seen_at: now,
            digest,
            reply: reply.clone(),
        };
        self.seen_edits.insert(id, seen);
        reply
    }

    /// The current revision.
    pub fn revision(&self) -> Revision {
        self.copy.revision()
    }

    /// Digest of the current text.
    pub fn digest(&self) -> TextDigest {
        self.copy.digest()
    }

    /// The current rules.
    pub fn rules(&self) -> &Arc<Rules> {
        self.copy.rules()
    }

    /// The accepted edits, oldest first.
    pub fn history(&self) -> impl ExactSizeIterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// The delta that brings an entry at `revision` up to date.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        self.copy.delta_since(revision)
    }

    /// A delta with the whole text, for an entry that refused a delta due to a digest mismatch.
    pub fn whole(&self) -> Delta {
        self.copy.whole()
    }

    fn apply_new(&mut self, now: Timestamp, edit: Edit) -> EditReply {
        let current = self.revision();
        if edit.expected.is_some_and(|expected| expected != current) {
            return EditReply::Stale { current };
        }
        let changed = match edit.change.apply_to(self.rules()) {
            Ok(changed) => changed,
            Err(error) => return error.into(),
        };
        let summary = edit.change.summary(&changed);
        let revision = self.copy.accept(changed.rules, changed.line_edits);
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(HistoryEntry {
            revision,
            time: now,
            author: edit.author,
            summary,
        });
        EditReply::Accepted { revision }
    }
}

/// Digest that detects an id that is reused for a different edit.
fn edit_digest(edit: &Edit) -> [u8; 32] {
    let bytes = postcard::to_stdvec(edit).expect("an edit should be encodable");
    Sha256::digest(bytes).into()
}
