//! Linearizable reads: under a lease, or after a round of heartbeats (read index).

use auburnbridge_types::Millis;

use super::leader::quorum_value;
use super::{Replica, Role};
use crate::{LogIndex, Output, RejectReason, Token};

/// Part of the election timeout by which a lease ends early, against clocks of unequal rate.
const LEASE_MARGIN_DIVISOR: u64 = 10;

/// A read that waits for proof that this replica still led when the read arrived.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    pub(super) token: Token,
    /// Round to be answered by a quorum; `None` until a round starts after the read's arrival.
    round: Option<u64>,
    /// Records up to here are applied before the answer.
    index: LogIndex,
}

impl Replica {
    pub(super) fn read(&mut self, token: Token) {
        let commit = self.commit;
        let limit = self.config.pending_records;
        let leased = self.holds_lease();
        let Some(leader) = self.leader_state() else {
            return self.reject_not_leader(token);
        };
        if leader.reads.len() as u64 >= limit {
            return self.reject(token, RejectReason::Busy);
        }
        // Until the first record of the term is committed, the commit index may lag behind what an
        // earlier leader has accepted.
        let index = commit.max(leader.first_index);
        let round = leased.then_some(0);
        leader.reads.push(PendingRead {
            token,
            round,
            index,
        });
    }

    fn holds_lease(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let timeout = self.config.election_timeout.0;
        let lease = Millis(timeout - timeout / LEASE_MARGIN_DIVISOR);
        self.config.lease_reads
            && !leader.has_handed_over
            && self.now.since(self.quorum_contact(leader)) < lease
    }

    /// Answers the reads whose round is confirmed, and starts a round for those without one. One
    /// round is open at a time, so that many reads share it.
    pub(super) fn answer_reads(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if leader.reads.is_empty() {
            return;
        }
        let confirmed = self.confirmed_round();
        let applied = self.applied;
        let Some(leader) = self.leader_state() else {
            return;
        };
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut leader.reads)
            .into_iter()
            .partition(|read| {
                read.round.is_some_and(|round| round <= confirmed) && read.index <= applied
            });
        leader.reads = waiting;
        let open_round = leader.round > confirmed
            && leader
                .reads
                .iter()
                .any(|read| read.round == Some(leader.round));
        let unasked = leader.reads.iter().any(|read| read.round.is_none());
        for read in ready {
            self.outputs.push(Output::ReadReady {
                token: read.token,
                index: applied,
            });
        }
        if unasked && !open_round {
            self.start_read_round();
        }
    }

    /// Latest round that a quorum has answered.
    fn confirmed_round(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        quorum_value(self.members(), |replica| {
            if replica == self.id {
                return leader.round;
            }
            leader
                .progress
                .get(&replica)
                .map_or(0, |progress| progress.answered.number)
        })
    }

    fn start_read_round(&mut self) {
        if let Some(leader) = self.leader_state() {
            let round = leader.round + 1;
            for read in &mut leader.reads {
                read.round.get_or_insert(round);
            }
        }
        self.send_heartbeats();
        // A sole voter has its quorum at once.
        let sole = self.members().quorum() == 1 && self.members().is_voter(self.id);
        if sole {
            self.answer_reads();
        }
    }
}
