//! Rumour gossip: pending announcements and the selection of the peers that receive them.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::seq::index;
use rand_chacha::ChaCha8Rng;

use crate::Announced;

/// Maximum number of ids with a rumour pending for the next round.
///
/// Rumours above the limit are dropped; anti-entropy delivers their announcements later.
pub const MAX_PENDING_RUMOURS: usize = 4_096;

/// Forwards each new announcement once to a few random peers.
///
/// Peers that receive a rumour forward it in turn; peers that miss it get the announcement by
/// anti-entropy. The selection of peers depends only on the seed.
#[derive(Clone, Debug)]
pub struct Gossip<A: Announced> {
    fanout: usize,
    rng: ChaCha8Rng,
    pending: BTreeMap<(A::Group, A::Id), A>,
}

impl<A: Announced> Gossip<A> {
    /// Creates a gossip state that sends each rumour to `fanout` peers.
    pub fn new(fanout: usize, seed: u64) -> Self {
        Self {
            fanout,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pending: BTreeMap::new(),
        }
    }

    /// Queues new announcements; only the newest one of each id is kept.
    pub fn push(&mut self, announcements: Vec<A>) {
        for announcement in announcements {
            let key = (announcement.group().clone(), announcement.id().clone());
            let is_newest = self
                .pending
                .get(&key)
                .is_none_or(|pending| announcement.supersedes(pending));
            let has_capacity =
                self.pending.len() < MAX_PENDING_RUMOURS || self.pending.contains_key(&key);
            if is_newest && has_capacity {
                self.pending.insert(key, announcement);
            }
        }
    }

    /// Removes and returns the announcements pending for this round.
    pub fn take_pending(&mut self) -> Vec<A> {
        std::mem::take(&mut self.pending).into_values().collect()
    }

    /// Picks up to `fanout` distinct peers for one round.
    pub fn pick_peers<'a, P>(&mut self, peers: &'a [P]) -> Vec<&'a P> {
        let count = self.fanout.min(peers.len());
        index::sample(&mut self.rng, peers.len(), count)
            .into_iter()
            .map(|i| &peers[i])
            .collect()
    }
}
