//! Interface to the ledger that the keepers replicate.

use std::sync::Arc;

use auburnbridge_ledger::{Command, Reply};
use auburnbridge_metrics::{Counter, Metrics, Timer};
use auburnbridge_types::{BoxFuture, Clock, Millis};
use log::warn;

/// Error of a command to the keepers, for the ledger or the rules, that got no usable reply. The
/// keepers may or may not have applied it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeepersUnavailable {
    /// Answer of the keepers, or the reason why they are unreachable.
    pub reason: String,
}

impl std::fmt::Display for KeepersUnavailable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for KeepersUnavailable {}

/// Applies commands to the replicated ledger.
pub trait LedgerClient: Send + Sync {
    /// Applies one command; completes after a quorum of keepers has synced it to disk.
    fn apply(&self, command: Command) -> BoxFuture<'_, Result<Reply, KeepersUnavailable>>;
}

/// Maximum number of times that the command that ends an attempt is sent.
const SETTLE_ATTEMPTS: u32 = 3;
const SETTLE_RETRY_INTERVAL: Millis = Millis(1_000);

/// Ledger client that records the duration and the reply of each command in the metrics.
#[derive(Clone)]
pub(crate) struct InstrumentedLedger {
    pub(crate) client: Arc<dyn LedgerClient>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Arc<Metrics>,
}

impl InstrumentedLedger {
    /// Applies one command and records its metrics.
    pub(crate) async fn apply(&self, command: Command) -> Result<Reply, KeepersUnavailable> {
        let name: &'static str = (&command).into();
        let start = self.clock.now();
        let reply = self.client.apply(command).await;
        let time = self.clock.now().since(start);
        let reply_name = reply.as_ref().map_or("unavailable", <&'static str>::from);
        let tags = [("command", name), ("reply", reply_name)];
        self.metrics.time(Timer::LedgerTime, time, &tags[..1]);
        self.metrics.count(Counter::Ledger, &tags);
        reply
    }

    /// Sends the command that ends an attempt (`Withdraw`, `Conclude` or `Abandon`), with retries.
    /// If the keepers remain unavailable, the key stays in progress and its outcome becomes
    /// `unknown` after the grant's deadline, which is safe.
    pub(crate) async fn settle(&self, command: Command) {
        let name = command.to_string();
        for attempt in 1..=SETTLE_ATTEMPTS {
            if attempt > 1 {
                self.clock.sleep(SETTLE_RETRY_INTERVAL).await;
            }
            match self.apply(command.clone()).await {
                Ok(Reply::Done) => return,
                Ok(reply) => {
                    warn!("ledger command={name} reply={reply}");
                    return;
                }
                Err(error) => warn!("ledger command={name} attempt={attempt} failed: {error}"),
            }
        }
    }
}
