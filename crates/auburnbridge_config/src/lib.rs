//! The replicated state machine that holds the rules and their revisions.
//!
//! Keepers apply [`Edit`]s in the order of the log, so that every keeper holds the same revision,
//! text and replies. An entry follows with a [`RulesCopy`], which takes [`Delta`]s and never goes
//! back to a lower revision. Nothing here reads a clock: time is the log's.
//!
//! An edit runs at most once. Its id is a UUID version 7, whose creation time bounds how long the
//! id must be remembered: an id that is remembered gets its first reply again, and one that is too
//! old to be remembered with certainty is refused as expired.
//!
//! Beside the rules stands a [`Published`] document of opaque format, for platforms whose operators
//! send whole configurations with versions of their own.

mod change;
mod config;
mod delta;
mod edit;
mod edit_ids;
mod history;
mod line_difference;
mod published;
mod rules_copy;
mod snapshot;

pub use change::{Change, ChangeRefusal, ChangedRules, LineSelector};
pub use config::Config;
pub use delta::{Delta, MAX_DELTA_EDITS};
pub use edit::{Author, Edit, EditId, EditReply, MAX_REPLY_ERRORS};
pub use edit_ids::{EDIT_ID_RETENTION, MAX_EDIT_IDS, MAX_KEPT_ERROR_BYTES};
pub use history::{HistoryEntry, MAX_HISTORY};
pub use published::{Publish, PublishReply, Published};
pub use rules_copy::{DeltaError, RulesCopy};
pub use snapshot::SnapshotError;
