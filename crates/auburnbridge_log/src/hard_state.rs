//! Persistent state of a replica other than its records: term, vote and boots.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ReplicaId, Term};

/// Maximum number of unconfirmed boots that a replica lists. Beyond that, the oldest is dropped; in
/// the worst case, peers then reject a valid data folder.
pub(crate) const MAX_UNCONFIRMED_BOOTS: usize = 64;

/// Maximum number of peers in the boot table; members take precedence over other replicas.
pub(crate) const MAX_PEERS: usize = 64;

/// Identity of one boot, that is, one start of a replica from its data folder.
///
/// The counter is incremented only after a boot that the peers confirmed, so an outdated copy of the
/// data folder can't reach a counter that is new to them by restarting repeatedly. The nonce
/// distinguishes two boots with the same counter. `unconfirmed_nonces` lists the earlier boots that
/// were not confirmed, since a peer may have recorded one of them before the replica stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    /// Number of confirmed boots before this one, plus one.
    pub counter: u64,
    /// Random number that identifies this boot.
    pub nonce: u64,
    /// Nonces of the earlier, unconfirmed boots with this counter.
    pub unconfirmed_nonces: Vec<u64>,
    /// Whether enough peers have confirmed this boot.
    pub confirmed: bool,
}

/// The latest known boot of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerBoot {
    /// Counter of the boot.
    pub counter: u64,
    /// Nonce of the boot.
    pub nonce: u64,
}

/// Term, vote and boots of a replica, which must be synced before it acts on them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest known term.
    pub term: Term,
    /// Candidate that received this replica's vote in `term`.
    pub vote: Option<ReplicaId>,
    /// The current boot.
    pub boot: Boot,
    /// Whether a peer knows a later boot of this data folder. The folder is then an outdated copy,
    /// and the replica never counts towards the quorum.
    pub superseded: bool,
    /// Latest known boot of each peer.
    pub peers: BTreeMap<ReplicaId, PeerBoot>,
}

impl HardState {
    /// Returns the state for a new boot, to be synced before the replica runs.
    #[must_use]
    pub fn begin_boot(mut self, nonce: u64) -> Self {
        if self.boot.confirmed || self.boot.counter == 0 {
            self.boot = Boot {
                counter: self.boot.counter + 1,
                nonce,
                unconfirmed_nonces: Vec::new(),
                confirmed: false,
            };
            return self;
        }
        self.boot.unconfirmed_nonces.push(self.boot.nonce);
        if self.boot.unconfirmed_nonces.len() > MAX_UNCONFIRMED_BOOTS {
            self.boot.unconfirmed_nonces.remove(0);
        }
        self.boot.nonce = nonce;
        self
    }
}

impl Boot {
    /// Whether a peer whose latest record of this replica is `known` can accept this boot as new.
    pub fn is_new_to(&self, known: Option<PeerBoot>) -> bool {
        let Some(known) = known else { return true };
        if self.counter != known.counter {
            return self.counter > known.counter;
        }
        self.nonce == known.nonce || self.unconfirmed_nonces.contains(&known.nonce)
    }
}
