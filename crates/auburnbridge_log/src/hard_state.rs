//! State that a replica must not forget, besides its records.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ReplicaId, Term};

/// Bound on the unconfirmed starts that a replica lists; an older one is dropped, which at worst
/// makes its peers refuse a good folder.
pub(crate) const MAX_ATTEMPTS: usize = 64;

/// Bound on the table of peers; members come first.
pub(crate) const MAX_PEERS: usize = 64;

/// Start of a replica.
///
/// The counter moves on only after a start that the peers confirmed. A copy of an older folder thus
/// can't reach a counter that is new to them by starting often, and the random number tells two
/// starts with the same counter apart. `attempts` holds the numbers of the earlier starts that were
/// not confirmed: a peer may have recorded one of them before the replica stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    /// Number of confirmed starts, plus one.
    pub counter: u64,
    /// Random number of this start.
    pub nonce: u64,
    /// Random numbers of the unconfirmed starts with this counter.
    pub attempts: Vec<u64>,
    /// Whether a quorum has confirmed this start.
    pub confirmed: bool,
}

/// The latest start of a peer that this replica knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerBoot {
    /// Counter of the start.
    pub counter: u64,
    /// Random number of the start.
    pub nonce: u64,
}

/// Term, vote and boots of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in the term.
    pub vote: Option<ReplicaId>,
    /// This start.
    pub boot: Boot,
    /// A peer has seen a later start of this folder: the folder is an old copy and never counts.
    pub superseded: bool,
    /// Latest start of each peer.
    pub peers: BTreeMap<ReplicaId, PeerBoot>,
}

impl HardState {
    /// The state for a new start, to be synced before the replica runs.
    #[must_use]
    pub fn begin_boot(mut self, nonce: u64) -> Self {
        if self.boot.confirmed || self.boot.counter == 0 {
            self.boot = Boot {
                counter: self.boot.counter + 1,
                nonce,
                attempts: Vec::new(),
                confirmed: false,
            };
            return self;
        }
        self.boot.attempts.push(self.boot.nonce);
        if self.boot.attempts.len() > MAX_ATTEMPTS {
            self.boot.attempts.remove(0);
        }
        self.boot.nonce = nonce;
        self
    }
}

impl Boot {
    /// Whether a peer that has `known` on record can accept this start as new.
    pub fn is_new_to(&self, known: Option<PeerBoot>) -> bool {
        let Some(known) = known else { return true };
        if self.counter != known.counter {
            return self.counter > known.counter;
        }
        self.nonce == known.nonce || self.attempts.contains(&known.nonce)
    }
}
