//! Deduplication of edits: the ids of edits that were seen, with their first replies.
//!
//! An id expires once log time reaches its creation time plus the retention, and is refused from
//! then on. It is dropped only after that, so a late resend can't apply an edit again. At most
//! [`MAX_EDIT_IDS`] ids are kept; if all of them are still needed, further edits are refused until
//! the oldest has expired.

use std::collections::{HashMap, VecDeque};

use auburnbridge_rules::RuleError;
use auburnbridge_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::edit::{EditId, EditReply};

/// Time from the creation of an id until it expires.
pub const EDIT_ID_RETENTION: Millis = Millis(24 * 3_600_000);

/// Maximum number of ids that are kept; enough for nine days at 11,000 edits a day.
pub const MAX_EDIT_IDS: usize = 100_000;

/// Maximum total size of the errors that are kept for resends. Beyond it, the error lists of the
/// oldest refused edits are dropped, and a resend gets only the number of errors.
pub const MAX_KEPT_ERROR_BYTES: usize = 4 << 20;

/// Assumed size of a kept error without its texts. It is fixed because all keepers must drop the
/// same lists, whatever memory layout the compiler gives the type.
const ERROR_OVERHEAD_BYTES: usize = 80;

/// How far an operator's clock may be ahead of log time.
const MAX_CLOCK_SKEW: Millis = Millis(5 * 60_000);

/// Seen edits by id, with a limit on their number and on the size of their errors.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeenEdits {
    seen: HashMap<EditId, SeenEdit>,
    /// All ids, in the order in which they were seen.
    order: VecDeque<EditId>,
    /// Refused edits whose errors are kept, oldest first.
    with_errors: VecDeque<EditId>,
    error_bytes: usize,
}

/// An edit that was seen, with its first reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SeenEdit {
    pub(crate) seen_at: Timestamp,
    /// SHA-256 digest of the edit.
    pub(crate) digest: [u8; 32],
    pub(crate) reply: EditReply,
}

impl SeenEdits {
    pub(crate) fn get(&self, id: EditId) -> Option<&SeenEdit> {
        self.seen.get(&id)
    }

    /// Whether the creation time of the id is accepted. An id in the window can't have been dropped
    /// before, so an unknown one is new.
    pub(crate) fn is_in_window(now: Timestamp, id: EditId) -> bool {
        now < id.created().after(EDIT_ID_RETENTION) && id.created() <= now.after(MAX_CLOCK_SKEW)
    }

    /// Makes room for one id by dropping expired ones; returns `false` if every id is still needed.
    pub(crate) fn make_room(&mut self, now: Timestamp) -> bool {
        while self.order.len() >= MAX_EDIT_IDS {
            let oldest = self.order[0];
            // The id may have been created by a clock that was ahead of log time, so it expires
            // at most this long after it was seen.
            let needed_for = Millis(EDIT_ID_RETENTION.0 + MAX_CLOCK_SKEW.0);
            if now < self.seen[&oldest].seen_at.after(needed_for) {
                return false;
            }
            self.order.pop_front();
            if self.with_errors.front() == Some(&oldest) {
                self.drop_oldest_errors();
            }
            self.seen.remove(&oldest);
        }
        true
    }

    pub(crate) fn insert(&mut self, id: EditId, edit: SeenEdit) {
        let bytes = error_bytes(&edit.reply);
        self.seen.insert(id, edit);
        self.order.push_back(id);
        if bytes > 0 {
            self.with_errors.push_back(id);
            self.error_bytes += bytes;
        }
        while self.error_bytes > MAX_KEPT_ERROR_BYTES {
            self.drop_oldest_errors();
        }
    }

    /// All seen edits, in the order in which they were seen.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EditId, &SeenEdit)> {
        self.order.iter().map(|id| (*id, &self.seen[id]))
    }

    fn drop_oldest_errors(&mut self) {
        let oldest = self.with_errors.pop_front();
        let edit = oldest.and_then(|id| self.seen.get_mut(&id));
        if let Some(SeenEdit {
            reply: EditReply::Invalid { errors, omitted },
            ..
        }) = edit
        {
            let dropped = std::mem::take(errors);
            *omitted += u32::try_from(dropped.len()).unwrap_or(u32::MAX);
            self.error_bytes -= total_error_bytes(&dropped);
        }
    }
}

fn error_bytes(reply: &EditReply) -> usize {
    match reply {
        EditReply::Invalid { errors, .. } => total_error_bytes(errors),
        _ => 0,
    }
}

fn total_error_bytes(errors: &[RuleError]) -> usize {
    errors
        .iter()
        .map(|error| {
            ERROR_OVERHEAD_BYTES + error.text.len() + error.problem.len() + error.fix.len()
        })
        .sum()
}
