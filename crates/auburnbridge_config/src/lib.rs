//! Replicated state machines for the rules and for the published document.
//!
//! An installation uses one or the other. Where operators edit the rules, the rules configure
//! entries, the proxy processes. Where a platform publishes whole configurations, with version
//! numbers of its own, they configure gateways, the proxy processes of such an installation;
//! [`PublishedConfig`] holds them as a document of opaque format. The keepers, the processes of the
//! replicated group, store both.
//!
//! Keepers apply [`Edit`]s to a [`RulesState`] in log order, so that every keeper has the same
//! revision and text and gives the same replies. An entry maintains a [`RulesCopy`], which applies
//! [`Delta`]s and never returns to a lower revision. No code here reads a clock; it uses log time,
//! the timestamps of the log records.
//!
//! An edit is applied at most once. Its id is a UUID version 7, whose creation time limits how long
//! the id must be kept: a resend with a kept id gets the first reply again, and an id so old that
//! it may already have been dropped is refused as expired.

mod change;
mod delta;
mod edit;
mod history;
mod line_diff;
mod published;
mod rules_copy;
mod rules_state;
mod seen_edits;
mod snapshot;

pub use change::{Change, ChangeError, ChangedRules, LineSelector};
pub use delta::{Delta, MAX_DELTA_LINE_EDITS};
pub use edit::{Author, Edit, EditId, EditReply, MAX_REPLY_ERRORS};
pub use history::{HistoryEntry, MAX_HISTORY};
pub use published::{PublishReply, PublishedConfig, VersionedDocument};
pub use rules_copy::{DeltaError, RulesCopy};
pub use rules_state::RulesState;
pub use seen_edits::{EDIT_ID_RETENTION, MAX_EDIT_IDS, MAX_KEPT_ERROR_BYTES};
pub use snapshot::SnapshotError;
