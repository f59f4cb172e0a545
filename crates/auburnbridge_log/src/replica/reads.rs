//! Linearizable reads, under the leader's lease or after a heartbeat round (read index).
//!
//! In a heartbeat round, the leader sends a heartbeat to each member. If a quorum
//! acknowledges a round that started after a read arrived, this replica was still the leader when
//! the read arrived.
//!
//! The lease saves this round. A replica that has heard from a leader votes for no other for an
//! election timeout, except in a leadership transfer. The leader therefore has no successor until
//! an election timeout after it sent the latest round that a quorum has acknowledged.

use auburnbridge_types::Millis;

use super::leader::quorum_value;
use super::{Replica, Role};
use crate::{LogIndex, Output, RejectReason, Token};

/// A lease ends early by the election timeout divided by this number, to tolerate clocks that run at
/// different rates.
const LEASE_MARGIN_DIVISOR: u64 = 10;

/// Read that waits for confirmation that this replica was still the leader when it arrived.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    pub(super) token: Token,
    /// Number of the round that a quorum must acknowledge; `None` until a round starts after the
    /// read's arrival.
    round_number: Option<u64>,
    /// Index up to which records must be applied before the read is served.
    index: LogIndex,
}

impl Replica {
    pub(super) fn read(&mut self, token: Token) {
        let commit = self.commit;
        let limit = self.config.max_pending_records;
        let leased = self.holds_lease();
        let Some(leader) = self.leader_state() else {
            return self.reject_not_leader(token);
        };
        if leader.reads.len() as u64 >= limit {
            return self.reject(token, RejectReason::Busy);
        }
        // Until the first record of the term is committed, the commit index may be lower than that
        // of an earlier leader.
        let index = commit.max(leader.first_index);
        // Round 0 counts as acknowledged, so a read under the lease waits for no round.
        let round_number = leased.then_some(0);
        leader.reads.push(PendingRead {
            token,
            round_number,
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
            && !leader.transfer_requested
            && self.monotonic_now.since(self.quorum_contact(leader)) < lease
    }

    /// Serves the reads whose round a quorum has acknowledged, and starts a round for those without
    /// one. At most one round for reads is in flight, so that many reads share it.
    pub(super) fn serve_reads(&mut self) {
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
                read.round_number.is_some_and(|number| number <= confirmed) && read.index <= applied
            });
        leader.reads = waiting;
        let round_in_flight = leader.round_number > confirmed
            && leader
                .reads
                .iter()
                .any(|read| read.round_number == Some(leader.round_number));
        let has_unassigned = leader.reads.iter().any(|read| read.round_number.is_none());
        for read in ready {
            self.outputs.push(Output::ReadReady {
                token: read.token,
                index: applied,
            });
        }
        if has_unassigned && !round_in_flight {
            self.start_read_round();
        }
    }

    /// Returns the latest round that a quorum has acknowledged.
    fn confirmed_round(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        quorum_value(self.members(), |replica| {
            if replica == self.id {
                return leader.round_number;
            }
            leader
                .progress
                .get(&replica)
                .map_or(0, |progress| progress.acked_round.number)
        })
    }

    fn start_read_round(&mut self) {
        if let Some(leader) = self.leader_state() {
            let round_number = leader.round_number + 1;
            for read in &mut leader.reads {
                read.round_number.get_or_insert(round_number);
            }
        }
        self.send_heartbeats();
        // A sole voter is its own quorum, so the round is acknowledged at once.
        let is_sole_voter = self.members().quorum() == 1 && self.members().is_voter(self.id);
        if is_sole_voter {
            self.serve_reads();
        }
    }
}
