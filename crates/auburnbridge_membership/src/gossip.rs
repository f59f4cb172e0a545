//! Rumours about new announcements and the choice of peers for them.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::seq::index;
use rand_chacha::ChaCha8Rng;

use crate::Announced;

/// Number of ids with a rumour that waits for the next round.
///
/// A rumour beyond it is dropped, and anti-entropy brings its announcement later.
pub const MAX_PENDING_RUMOURS: usize = 4_096;

/// Spreads each new announcement once, to a few peers.
///
/// The peers that a rumour reaches spread it in turn; those that it misses get the announcement
/// by anti-entropy. The choice of peers follows from the seed alone.
#[derive(Clone, Debug)]
pub struct Gossip<A: Announced> {
    fanout: usize,
    rng: ChaCha8Rng,
    pending: BTreeMap<(A::Group, A::Id), A>,
}

impl<A: Announced> Gossip<A> {
    /// Creates a spreader that sends each rumour to `fanout` peers.
    pub fn new(fanout: usize, seed: u64) -> Self {
        Self {
            fanout,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pending: BTreeMap::new(),
        }
    }

    /// Adds new announcements; of one id only the newest is kept.
    pub fn push(&mut self, announcements: Vec<A>) {
        for announcement in announcements {
            let key = (announcement.group().clone(), announcement.id().clone());
            let is_newest = self
                .pending
                .get(&key)
                .is_none_or(|pending| announcement.supersedes(pending));
            let has_room =
                self.pending.len() < MAX_PENDING_RUMOURS || self.pending.contains_key(&key);
            if is_newest && has_room {
                self.pending.insert(key, announcement);
            }
        }
    }

    /// Takes the pending announcements of one round.
    pub fn take_pending(&mut self) -> Vec<A> {
        std::mem::take(&mut self.pending).into_values().collect()
    }

    /// Picks distinct peers for one round.
    pub fn pick_peers<'a, P>(&mut self, peers: &'a [P]) -> Vec<&'a P> {
        let amount = self.fanout.min(peers.len());
        index::sample(&mut self.rng, peers.len(), amount)
            .into_iter()
            .map(|at| &peers[at])
            .collect()
    }
}
