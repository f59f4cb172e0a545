//! Border towards the ledger on the keepers.

use std::sync::Arc;

use auburnbridge_ledger::{Command, Reply};
use auburnbridge_metrics::{Counter, Metrics, Timer};
use auburnbridge_types::{BoxFuture, Clock, Millis};
use log::warn;

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

/// Attempts to tell the ledger how a request ended.
const SETTLE_ATTEMPTS: u32 = 3;
const SETTLE_WAIT: Millis = Millis(1_000);

/// A ledger client whose commands are timed and counted.
#[derive(Clone)]
pub(crate) struct MeasuredLedger {
    pub(crate) client: Arc<dyn LedgerClient>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Arc<Metrics>,
}

impl MeasuredLedger {
    /// Applies one command.
    pub(crate) async fn apply(&self, command: Command) -> Result<Reply, LedgerUnavailable> {
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

    /// Tells the ledger how an attempt ended. If the keepers stay away, the key stays in progress
    /// and reads `unknown` after its deadline, which is safe.
    pub(crate) async fn settle(&self, command: Command) {
        let name = command.to_string();
        for attempt in 1..=SETTLE_ATTEMPTS {
            if attempt > 1 {
                self.clock.sleep(SETTLE_WAIT).await;
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
