//! Keeps the rules of an entry up to date.
//!
//! The entry polls the keepers in turn for changes since its revision, and fetches them from
//! another entry that has a newer revision in force. It applies only higher revisions, so a stale
//! keeper or entry cannot bring an older one into force.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use auburnbridge_config::{Delta, DeltaError};
use auburnbridge_types::{Clock, Millis, Revision};
use log::{debug, warn};

use crate::entry::{Entry, RulesInForce};
use crate::keeper_client::KeeperClient;
use crate::neighbours::Neighbours;

/// Interval between polls of the keepers; a change is in force about one interval after the keepers
/// accepted it.
const POLL_INTERVAL: Millis = Millis(500);

/// Fetches rules for an entry and puts them in force.
pub struct RulesFeed {
    entry: Arc<Entry>,
    keepers: Arc<KeeperClient>,
    neighbours: Arc<Neighbours>,
    clock: Arc<dyn Clock>,
    next_keeper: AtomicUsize,
}

impl RulesFeed {
    /// Creates the feed of an entry.
    pub fn new(
        entry: Arc<Entry>,
        keepers: Arc<KeeperClient>,
        neighbours: Arc<Neighbours>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            entry,
            keepers,
            neighbours,
            clock,
            next_keeper: AtomicUsize::new(0),
        }
    }

    /// Polls every keeper and every known entry once, so that a restarted entry starts with the
    /// newest revision of any reachable process. Returns the number of processes that answered.
    pub async fn catch_up(&self) -> usize {
        let mut reached = 0;
        for keeper in self.keepers.keepers() {
            let have = self.revision();
            if let Some(delta) = self.keepers.fetch_rules(keeper, have).await {
                self.apply(&delta);
                reached += 1;
            }
        }
        for peer in self.neighbours.peers() {
            let have = self.revision();
            if let Some(delta) = self.neighbours.fetch_rules(&peer, have).await {
                self.apply(&delta);
                reached += 1;
            }
        }
        reached
    }

    /// Polls for newer rules; never returns.
    pub async fn run(&self) {
        loop {
            self.poll_keeper().await;
            self.poll_newest_entry().await;
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls the next keeper. The request carries this entry's revision, which that keeper reports
    /// to operators, so polling the keepers in turn keeps the reports of all of them up to date.
    async fn poll_keeper(&self) {
        let keepers = self.keepers.keepers();
        if keepers.is_empty() {
            return;
        }
        let index = self.next_keeper.fetch_add(1, Ordering::Relaxed) % keepers.len();
        let have = self.revision();
        let Some(delta) = self.keepers.fetch_rules(&keepers[index], have).await else {
            return;
        };
        self.neighbours.record_contact();
        if !self.apply(&delta) {
            // The delta does not apply to this copy, so the complete rules are fetched.
            let nothing = Revision(0);
            if let Some(whole) = self.keepers.fetch_rules(&keepers[index], nothing).await {
                self.apply(&whole);
            }
        }
    }

    /// Fetches rules from the entry with the highest revision, if that is newer.
    async fn poll_newest_entry(&self) {
        let have = self.revision();
        let Some((newest, peer)) = self.neighbours.newest_revision() else {
            return;
        };
        if newest <= have {
            return;
        }
        if let Some(delta) = self.neighbours.fetch_rules(&peer, have).await {
            self.apply(&delta);
        }
    }

    fn revision(&self) -> Revision {
        self.neighbours.rules().lock().revision()
    }

    /// Applies a delta; returns `false` if the complete rules are needed instead.
    fn apply(&self, delta: &Delta) -> bool {
        let in_force = {
            let mut copy = self.neighbours.rules().lock();
            match copy.apply_delta(delta) {
                Ok(false) if self.entry.rules().is_some() => return true,
                Ok(_) => {}
                Err(error @ DeltaError::Lower { .. }) => {
                    debug!("refused rules: {error}");
                    return true;
                }
                Err(error) => {
                    warn!("refused rules: {error}");
                    return false;
                }
            }
            // A keeper that has just restarted serves empty rules until it learns of a leader.
            if copy.revision() == Revision(0) {
                return true;
            }
            RulesInForce {
                revision: copy.revision(),
                rules: Arc::clone(copy.rules()),
            }
        };
        self.entry.put_in_force(self.clock.now(), in_force);
        true
    }
}
