//! Elections: pre-votes and votes.

use std::collections::BTreeSet;

use auburnbridge_types::VmId;

use super::persistence::DeferredAction;
use super::{Replica, Role};
use crate::{Body, LogIndex, ReplicaId, Term};

impl Replica {
    /// Whether this replica leads or has heard from a leader within the minimum election timeout.
    pub(super) fn has_live_leader(&self) -> bool {
        self.is_leader()
            || self.leader_contact.is_some_and(|contact| {
                self.monotonic_now.since(contact) < self.config.election_timeout
            })
    }

    /// Whether there is a live leader. Unlike [`Replica::has_live_leader`], this excludes the time
    /// after a start in which the replica assumes one.
    pub(super) fn knows_live_leader(&self) -> bool {
        self.leader.is_some() && self.has_live_leader()
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

    /// Checks whether an election could be won, without disrupting the group with a new term.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if !self.counts_in_quorum() || !self.may_campaign() {
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
            self.send_after_sync(vm, replica, body);
        }
    }

    /// Whether the replica is a voter, or was one before an uncommitted change. A leader that removes
    /// itself may be the only replica with the record of that change. No other replica could then be
    /// elected to commit it.
    pub(super) fn may_campaign(&self) -> bool {
        self.log
            .members_from(self.commit)
            .any(|members| members.is_voter(self.id))
    }

    pub(super) fn start_election(&mut self, is_transfer: bool) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.id);
        self.writes.mark_hard_state_dirty();
        self.role = Role::Candidate(BTreeSet::new());
        self.reset_election_deadline();
        for (vm, replica) in self.other_voters() {
            let body = Body::Vote {
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                is_transfer,
            };
            self.send_after_sync(vm, replica, body);
        }
        self.run_after_sync(DeferredAction::CountOwnVote(self.hard_state.term));
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
        let granted = self.counts_in_quorum()
            && next_term > self.hard_state.term
            && !self.has_live_leader()
            && self.is_up_to_date(last_index, last_term);
        self.send_after_sync(
            from.clone(),
            sender,
            Body::PreVoteReply { next_term, granted },
        );
    }

    pub(super) fn handle_pre_vote_reply(&mut self, sender: ReplicaId, next_term: Term) {
        let expected = self.hard_state.term.next();
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
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == sender);
        let granted =
            self.counts_in_quorum() && vote_available && self.is_up_to_date(last_index, last_term);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(sender);
            self.writes.mark_hard_state_dirty();
        }
        if granted {
            self.reset_election_deadline();
        }
        self.send_after_sync(from.clone(), sender, Body::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, sender: ReplicaId, granted: bool) {
        if granted {
            self.count_vote(sender);
        }
    }

    pub(super) fn count_own_vote(&mut self, term: Term) {
        if term == self.hard_state.term {
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
