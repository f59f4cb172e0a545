//! Border towards the ledger on the keepers.

use auburnbridge_ledger::{Command, Reply};
use auburnbridge_types::BoxFuture;

/// Reason why a command has no reply; whether the ledger applied it is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerUnavailable {
    /// What the keepers answered or why they can't be reached.
    pub reason: String,
}

impl std::fmt::Display for LedgerUnavailable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for LedgerUnavailable {}

/// Applies commands to the replicated ledger.
pub trait LedgerClient: Send + Sync {
    /// Applies one command once a quorum has synced it.
    fn apply(&self, command: Command) -> BoxFuture<'_, Result<Reply, LedgerUnavailable>>;
}
