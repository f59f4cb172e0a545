//! Handing over leadership before a planned stop, so that no request waits for an election timeout.

use super::{Replica, Role};
use crate::{Body, ReplicaId};

impl Replica {
    pub(super) fn is_handing_over(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.handover_until.is_some())
    }

    /// Takes no more requests, and hands over as soon as a voter has the whole log.
    pub(super) fn resign(&mut self) {
        let deadline = self.now.after(self.config.election_timeout);
        if let Some(leader) = self.leader_state() {
            leader.handover_until.get_or_insert(deadline);
        }
        self.hand_over();
    }

    /// Asks a voter that has the whole log to stand for election. The answer to each later message
    /// repeats this, since the request may get lost.
    pub(super) fn hand_over(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if leader.handover_until.is_none() || self.commit < last {
            return;
        }
        let successor = self
            .members()
            .voters()
            .find(|member| {
                let progress = leader.progress.get(&member.replica);
                progress.is_some_and(|progress| progress.counts && progress.matched == last)
            })
            .map(|member| (member.vm.clone(), member.replica));
        let Some((vm, replica)) = successor else {
            return;
        };
        if let Some(leader) = self.leader_state() {
            leader.has_handed_over = true;
        }
        self.send(vm, replica, Body::Campaign);
    }

    /// Goes on leading if nobody took over, so that the group is not left without service.
    pub(super) fn end_handover_when_due(&mut self) {
        let now = self.now;
        if let Some(leader) = self.leader_state() {
            leader.handover_until.take_if(|deadline| now >= *deadline);
        }
    }

    /// Stands for election at the request of the leader.
    pub(super) fn handle_campaign(&mut self, sender: ReplicaId) {
        let is_from_leader = matches!(&self.leader, Some((leader, _)) if *leader == sender);
        if is_from_leader && !self.is_leader() && self.counts() && self.may_stand() {
            self.leader = None;
            self.start_election(true);
        }
    }
}
