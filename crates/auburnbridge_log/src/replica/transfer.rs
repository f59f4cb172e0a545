//! Leadership transfer before a planned stop, so that no request waits for an election timeout.
//!
//! `Input::Resign` starts the transfer. From then on, the leader rejects proposals and member
//! changes. Once a voter has the whole log, the leader sends it `Body::Campaign`. That voter starts
//! an election at once, without a pre-vote. Its `Body::Vote` has `is_transfer` set, so that the
//! other replicas don't ignore it although they have recently heard from the leader.

use super::{Replica, Role};
use crate::{Body, ReplicaId};

impl Replica {
    pub(super) fn is_transferring_leadership(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.transfer_deadline.is_some())
    }

    /// Rejects new proposals and member changes, and transfers leadership as soon as a voter has
    /// the whole log.
    pub(super) fn resign(&mut self) {
        let deadline = self.monotonic_now.after(self.config.election_timeout);
        if let Some(leader) = self.leader_state() {
            leader.transfer_deadline.get_or_insert(deadline);
        }
        self.transfer_leadership();
    }

    /// Sends `Campaign` to a voter that has the whole log, if a transfer is in progress. The
    /// message may be lost, so each later reply to an append repeats it.
    pub(super) fn transfer_leadership(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if leader.transfer_deadline.is_none() || self.commit < last {
            return;
        }
        let successor = self
            .members()
            .voters()
            .find(|member| {
                let progress = leader.progress.get(&member.replica);
                progress
                    .is_some_and(|progress| progress.counts_in_quorum && progress.matched == last)
            })
            .map(|member| (member.vm.clone(), member.replica));
        let Some((vm, replica)) = successor else {
            return;
        };
        if let Some(leader) = self.leader_state() {
            leader.transfer_requested = true;
        }
        self.send(vm, replica, Body::Campaign);
    }

    /// Cancels a transfer that missed its deadline, so that the leader accepts proposals again.
    pub(super) fn cancel_expired_transfer(&mut self) {
        let now = self.monotonic_now;
        if let Some(leader) = self.leader_state() {
            leader
                .transfer_deadline
                .take_if(|deadline| now >= *deadline);
        }
    }

    /// Starts an election if the leader sent the message.
    pub(super) fn handle_campaign(&mut self, sender: ReplicaId) {
        let is_from_leader = matches!(&self.leader, Some((leader, _)) if *leader == sender);
        if is_from_leader && !self.is_leader() && self.counts_in_quorum() && self.may_campaign() {
            self.leader = None;
            self.start_election(true);
        }
    }
}
