//! Ids of edits that were seen, with their first replies.
//!
//! An id is refused as expired once log time is past its creation time and the retention. It is
//! dropped only after that moment, so a late resend can't apply an edit again. At most
//! [`MAX_EDIT_IDS`] ids are remembered; when all of them are younger than that, further edits are
//! refused until the oldest has expired.

use std::collections::{HashMap, VecDeque};

use auburnbridge_rules::RuleError;
use auburnbridge_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::edit::{EditId, EditReply};

/// How long after its creation an id is accepted.
pub const EDIT_ID_RETENTION: Millis = Millis(24 * 3_600_000);

/// Largest number of ids that are remembered; nine days at 11,000 edits a day.
pub const MAX_EDIT_IDS: usize = 100_000;

/// Largest size of the errors that are kept for resends, in bytes. Beyond it, the lists of the
/// oldest refused edits are dropped, and a resend gets only their number.
pub const MAX_KEPT_ERROR_BYTES: usize = 4 << 20;

/// Size of a kept error beside its texts, in bytes; a constant, since every keeper must drop the
/// same lists whatever its compiler's layout of the type.
const ERROR_BYTES: usize = 80;

/// How far an operator's clock may run ahead of log time.
const MAX_CLOCK_LEAD: Millis = Millis(5 * 60_000);

/// Ids in the order in which they were seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct EditIds {
    seen: HashMap<EditId, SeenEdit>,
    order: VecDeque<EditId>,
    /// Refused edits whose errors are kept, oldest first.
    with_errors: VecDeque<EditId>,
    error_bytes: usize,
}

/// First reply to an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SeenEdit {
    pub(crate) time: Timestamp,
    /// SHA-256 digest of the edit.
    pub(crate) digest: [u8; 32],
    pub(crate) reply: EditReply,
}

impl EditIds {
    pub(crate) fn get(&self, id: EditId) -> Option<&SeenEdit> {
        self.seen.get(&id)
    }

    /// Whether an id that is not remembered can't have been forgotten.
    pub(crate) fn is_new(now: Timestamp, id: EditId) -> bool {
        now < id.created().after(EDIT_ID_RETENTION) && id.created() <= now.after(MAX_CLOCK_LEAD)
    }

    /// Makes room for one id; returns `false` when every remembered id is still needed.
    pub(crate) fn make_room(&mut self, now: Timestamp) -> bool {
        while self.order.len() >= MAX_EDIT_IDS {
            let oldest = self.order[0];
            // No id was created later than this long after it was seen.
            let needed_for = Millis(EDIT_ID_RETENTION.0 + MAX_CLOCK_LEAD.0);
            if now < self.seen[&oldest].time.after(needed_for) {
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

    /// Every id with its first reply, in the order in which they were seen.
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
            self.error_bytes -= bytes_of(&dropped);
        }
    }
}

fn error_bytes(reply: &EditReply) -> usize {
    match reply {
        EditReply::Invalid { errors, .. } => bytes_of(errors),
        _ => 0,
    }
}

fn bytes_of(errors: &[RuleError]) -> usize {
    errors
        .iter()
        .map(|error| ERROR_BYTES + error.text.len() + error.problem.len() + error.fix.len())
        .sum()
}
