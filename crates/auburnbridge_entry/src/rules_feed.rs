//! Keeps the rules of an entry up to date.
//!
//! The entry asks one keeper after the other for what follows its revision, and another entry when
//! that entry has a newer revision in force. A copy takes only higher revisions, so no stale keeper
//! or entry can bring an older one into force.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use auburnbridge_config::{Delta, DeltaError};
use auburnbridge_types::{Clock, Millis, Revision};
use log::{debug, warn};

use crate::entry::{Entry, RulesInForce};
use crate::keeper_client::KeeperClient;
use crate::neighbours::Neighbours;

/// Interval of the questions to the keepers; a change is in force about one interval after it was
/// accepted.
const POLL: Millis = Millis(500);

/// Fetches rules for one entry.
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

    /// Asks every keeper and every known entry once, so that a restarted entry begins with the
    /// newest revision that any reachable process knows. Gives the number of processes reached.
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

    /// Asks for newer rules until the process ends.
    pub async fn run(&self) {
        loop {
            self.poll_keeper().await;
            self.poll_newest_entry().await;
            self.clock.sleep(POLL).await;
        }
    }

    /// Asks the next keeper; its list of entries then shows this entry's revision.
    async fn poll_keeper(&self) {
        let keepers = self.keepers.keepers();
        if keepers.is_empty() {
            return;
        }
        let at = self.next_keeper.fetch_add(1, Ordering::Relaxed) % keepers.len();
        let have = self.revision();
        let Some(delta) = self.keepers.fetch_rules(&keepers[at], have).await else {
            return;
        };
        self.neighbours.note_contact();
        if !self.apply(&delta) {
            // The delta does not fit this copy, so the whole text is fetched from the start.
            let nothing = Revision(0);
            if let Some(whole) = self.keepers.fetch_rules(&keepers[at], nothing).await {
                self.apply(&whole);
            }
        }
    }

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

    /// Takes a delta over; `false` if the whole text is needed instead.
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
            // A keeper that has just restarted offers the empty rules until it hears of a leader.
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
