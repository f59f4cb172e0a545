//! The history of accepted edits.

use auburnbridge_types::{Revision, Timestamp};
use serde::{Deserialize, Serialize};

use crate::edit::Author;

/// Maximum number of accepted edits in the history; about a day at 11,000 edits a day.
pub const MAX_HISTORY: usize = 10_000;

/// One accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision that the edit produced.
    pub revision: Revision,
    /// Log time of the edit.
    pub time: Timestamp,
    /// Operator who sent the edit.
    pub author: Author,
    /// Summary of the change.
    pub summary: String,
}
