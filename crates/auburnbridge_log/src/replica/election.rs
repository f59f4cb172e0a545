//! Pre-votes and votes.

use std::collections::BTreeSet;

use auburnbridge_types::VmId;

use super::persistence::Held;
use super::{Replica, Role};
use crate::{Body, LogIndex, ReplicaId, Term};

impl Replica {
    /// Whether a leader was heard within the shortest election timeout.
    pub(super) fn follows_live_leader(&self) -> bool {
        self.is_leader()
            || self
                .leader_contact
                .is_some_and(|contact| self.now.since(contact) < self.config.election_timeout)
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn has_majority(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        let members = self.members();
        let granted = members
            .voters()
            .filter(|member| votes.contains(&member.replica))
            .count();
        granted >= members.quorum()
    }

    /// Asks whether an election could be won, without disturbing the group with a new term.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if !self.counts() || !self.may_stand() {
            return;
        }
        self.leader = None;
        let votes = BTreeSet::from([self.id]);
        if self.has_majority(&votes) {
            return self.start_election(false);
        }
        self.role = Role::PreCandidate(votes);
        for (vm, replica) in self.other_voters() {
            let body = Body::PreVote {
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            };
            self.send_synced(vm, replica, body);
        }
    }

    /// Whether the replica is a voter, or was one before an uncommitted change. A leader that
    /// removes itself may be the only one with the record of that change, which then no other
    /// replica could be elected to commit.
    pub(super) fn may_stand(&self) -> bool {
        self.log
            .members_from(self.commit)
            .any(|members| members.is_voter(self.id))
    }

    pub(super) fn start_election(&mut self, handover: bool) {
        self.hard.term = self.hard.term.next();
        self.hard.vote = Some(self.id);
        self.writer.mark_hard_state();
        self.role = Role::Candidate(BTreeSet::new());
        self.reset_election_deadline();
        for (vm, replica) in self.other_voters() {
            let body = Body::Vote {
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                handover,
            };
            self.send_synced(vm, replica, body);
        }
        self.hold(Held::OwnVote(self.hard.term));
    }

    fn other_voters(&self) -> Vec<(VmId, ReplicaId)> {
        self.members()
            .voters()
            .filter(|member| member.replica != self.id)
            .map(|member| (member.vm.clone(), member.replica))
            .collect()
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: &VmId,
        sender: ReplicaId,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let next_term = term.next();
        let granted = self.counts()
            && next_term > self.hard.term
            && !self.follows_live_leader()
            && self.is_up_to_date(last_index, last_term);
        self.send_synced(
            from.clone(),
            sender,
            Body::PreVoteReply { next_term, granted },
        );
    }

    pub(super) fn handle_pre_vote_reply(&mut self, sender: ReplicaId, next_term: Term) {
        let expected = self.hard.term.next();
        let Role::PreCandidate(votes) = &mut self.role else {
            return;
        };
        if next_term != expected {
            return;
        }
        votes.insert(sender);
        let votes = votes.clone();
        if self.has_majority(&votes) {
            self.start_election(false);
        }
    }

    pub(super) fn handle_vote(
        &mut self,
        from: &VmId,
        sender: ReplicaId,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let free = self.hard.vote.is_none_or(|vote| vote == sender);
        let granted = self.counts() && free && self.is_up_to_date(last_index, last_term);
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(sender);
            self.writer.mark_hard_state();
        }
        if granted {
            self.reset_election_deadline();
        }
        self.send_synced(from.clone(), sender, Body::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, sender: ReplicaId, granted: bool) {
        if granted {
            self.count_vote(sender);
        }
    }

    pub(super) fn count_own_vote(&mut self, term: Term) {
        if term == self.hard.term {
            self.count_vote(self.id);
        }
    }

    fn count_vote(&mut self, member: ReplicaId) {
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        votes.insert(member);
        let votes = votes.clone();
        if self.has_majority(&votes) {
            self.become_leader();
        }
    }
}
