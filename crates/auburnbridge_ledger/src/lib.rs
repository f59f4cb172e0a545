//! The ledger of permissions to dispatch non-idempotent requests.
//!
//! The ledger is a pure state machine over the replicated log: every replica applies the same
//! commands with the same log times and reaches the same state and replies. It reads no clock, and
//! the work of one command is bounded.
//!
//! A key is granted to at most one attempt at a time. An attempt that withdraws is remembered for
//! as long as its key, as the highest withdrawn sequence of its process, so that a delayed
//! duplicate of its Grant is refused. At most [`MAX_WITHDRAWN_PROCESSES`] processes are remembered
//! per key; a key that reaches the bound is refused with [`Reply::Full`].
//!
//! A caller may send a request again while an attempt of its earlier send is still on its way. Once
//! an attempt of the later send withdrew, and the caller may have been told `not-run`, the earlier
//! one is refused.
//!
//! A key is refused once log time reaches its creation plus the retention. The lowest accepted
//! creation time never falls, also when the retention is raised, and a record is dropped only once
//! its key lies below it. A dropped key is therefore never granted again.

mod command;
mod ledger;
mod record;
mod snapshot;

pub use command::{Command, LedgerKey, Reply, StoredAnswer};
pub use ledger::{Ledger, Limits};
pub use snapshot::{RestoreError, SNAPSHOT_VERSION};

use auburnbridge_types::{ByteSize, Millis};

/// Time from the creation of a key until it is refused, unless a rule changes it.
pub const DEFAULT_RETENTION: Millis = Millis(24 * 60 * 60 * 1000);

/// How far a key's creation may lie ahead of log time; allows for a caller's fast clock.
pub const MAX_CLOCK_AHEAD: Millis = Millis(5 * 60 * 1000);

/// Largest answer that is stored whole.
pub const MAX_ANSWER: ByteSize = ByteSize(64 * 1024);

/// Number of records that a ledger holds by default.
pub const DEFAULT_MAX_RECORDS: usize = 1_000_000;

/// Total size of the answers that a ledger holds by default.
pub const DEFAULT_MAX_STORED: ByteSize = ByteSize(256 * 1024 * 1024);

/// Number of entry processes whose withdrawals are remembered per key.
pub const MAX_WITHDRAWN_PROCESSES: usize = 16;

/// Number of records that one command drops at most.
///
/// A command adds at most one record, so any number above one drains a backlog.
pub const MAX_DROPS_PER_APPLY: usize = 8;
