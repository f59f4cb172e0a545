//! Who changed what and when.

use auburnbridge_types::{Revision, Timestamp};
use serde::{Deserialize, Serialize};

use crate::edit::Author;

/// Largest number of entries; about a day at 11,000 edits a day.
pub const MAX_HISTORY: usize = 10_000;

/// One accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision that the edit made.
    pub revision: Revision,
    /// Log time of the edit.
    pub time: Timestamp,
    /// Operator who sent it.
    pub author: Author,
    /// What it changed.
    pub summary: String,
}
