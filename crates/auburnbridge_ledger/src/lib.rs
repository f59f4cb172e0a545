//! The ledger of idempotency keys, which grants permission to dispatch non-idempotent requests.
//!
//! The ledger is a deterministic state machine over the replicated log: every replica applies the
//! same commands with the same log times and reaches the same state and replies. Log time is the
//! timestamp of a log record; the ledger reads no clock. The work per command is bounded.
//!
//! The commands come from entries, the proxy processes between callers and targets. A *send* is one
//! transmission of a request by its caller; resends carry the same key. An *attempt* belongs to one
//! send: the entry process that received the send requests a grant under a new
//! [`AttemptId`](auburnbridge_types::AttemptId). The attempt that gets the grant holds the key, may
//! dispatch the request, and ends with a Withdraw, Conclude or Abandon.
//!
//! At most one attempt holds a key at a time. For each key, the ledger keeps the highest sequence
//! of a withdrawn attempt per entry process. It refuses a Grant of that process with that or a
//! lower sequence, which may be a delayed duplicate. At most [`MAX_WITHDRAWING_PROCESSES`]
//! processes are recorded per key; once a key reaches that bound, a Grant from another process gets
//! [`Reply::Full`].
//!
//! A caller may resend a request while an attempt of an earlier send is still pending. Once an
//! attempt of the later send has withdrawn, the caller may have been told `not-run`, so the earlier
//! attempt is refused.
//!
//! A key expires once log time reaches its creation time plus the retention. The lowest accepted
//! creation time never decreases, even when the retention is raised, and a record is dropped only
//! when its key was created before that time. A dropped key is therefore never granted again.

mod command;
mod ledger;
mod record;
mod snapshot;

pub use command::{Command, LedgerKey, Reply, StoredAnswer};
pub use ledger::{Ledger, Limits};
pub use snapshot::{RestoreError, SNAPSHOT_VERSION};

use auburnbridge_types::{ByteSize, Millis};

/// Time from the creation of a key until it expires, unless a rule overrides it.
pub const DEFAULT_RETENTION: Millis = Millis(24 * 60 * 60 * 1000);

/// How far a key's creation time may be ahead of log time; allows for callers with fast clocks.
pub const MAX_CLOCK_SKEW: Millis = Millis(5 * 60 * 1000);

/// Largest answer that is stored.
pub const MAX_ANSWER_SIZE: ByteSize = ByteSize(64 * 1024);

/// Default limit on the number of records.
pub const DEFAULT_MAX_RECORDS: usize = 1_000_000;

/// Default limit on the total size of the stored answers.
pub const DEFAULT_MAX_STORED_SIZE: ByteSize = ByteSize(256 * 1024 * 1024);

/// Number of entry processes whose withdrawals are recorded per key.
pub const MAX_WITHDRAWING_PROCESSES: usize = 16;

/// Maximum number of expired records that one command drops.
///
/// A command adds at most one record, so any limit above one works off a backlog.
pub const MAX_DROPS_PER_APPLY: usize = 8;
