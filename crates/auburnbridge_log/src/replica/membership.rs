//! Membership changes, one member at a time.

use super::{Replica, Role};
use crate::{
    LogIndex, Member, MemberChange, MemberRole, Members, Payload, Record, RejectReason, ReplicaId,
    Term, Token,
};

/// Maximum lag at which a learner may become a voter, in records.
const MAX_PROMOTION_LAG_RECORDS: u64 = 64;

impl Replica {
    /// Writes the first member list of a new group, which is the same first record on each voter.
    pub(super) fn bootstrap(&mut self, members: Members) {
        let is_new_group = self.log.last_index() == LogIndex(0) && self.hard_state.term == Term(0);
        if !is_new_group || !members.is_valid() || !members.is_voter(self.id) {
            return;
        }
        self.log.push(Record {
            index: LogIndex(1),
            term: Term(0),
            time: auburnbridge_types::Timestamp(0),
            payload: Payload::Members(members),
        });
    }

    /// Whether this replica leads and neither a membership change nor a transfer of the leadership is
    /// in progress.
    pub fn accepts_member_changes(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        // Without a committed record of this term, two leaders could each have an uncommitted list
        // whose quorums don't overlap.
        let term_committed = self.commit >= leader.first_index;
        let (last_change, _) = self.log.members();
        term_committed && last_change <= self.commit && !self.is_transferring_leadership()
    }

    pub(super) fn change_members(&mut self, token: Token, change: MemberChange) {
        if !self.is_leader() {
            return self.reject_not_leader(token);
        }
        if !self.accepts_member_changes() {
            return self.reject(token, RejectReason::ChangeInProgress);
        }
        match self.changed_members(change) {
            Ok(members) => {
                self.append_request(token, Payload::Members(members));
                self.update_progress(self.log.last_index());
                self.send_heartbeats();
            }
            Err(reason) => self.reject(token, reason),
        }
    }

    fn changed_members(&self, change: MemberChange) -> Result<Members, RejectReason> {
        let members = self.members();
        match change {
            MemberChange::AddLearner(member) => {
                if members.get(member.replica).is_some() {
                    return Err(RejectReason::InvalidChange);
                }
                let learner = Member {
                    role: MemberRole::Learner,
                    ..member
                };
                members.with(learner).ok_or(RejectReason::InvalidChange)
            }
            MemberChange::Promote(replica) => {
                let member = members.get(replica).ok_or(RejectReason::InvalidChange)?;
                if member.role == MemberRole::Voter {
                    return Err(RejectReason::InvalidChange);
                }
                if !self.is_caught_up(replica) {
                    return Err(RejectReason::NotCaughtUp);
                }
                let voter = Member {
                    role: MemberRole::Voter,
                    ..member.clone()
                };
                members.with(voter).ok_or(RejectReason::InvalidChange)
            }
            MemberChange::Remove(replica) => {
                let remaining = members.without(replica);
                let known = members.get(replica).is_some();
                if !known || remaining.voters().next().is_none() {
                    return Err(RejectReason::InvalidChange);
                }
                Ok(remaining)
            }
        }
    }

    fn is_caught_up(&self, replica: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let required_index = self
            .log
            .last_index()
            .0
            .saturating_sub(MAX_PROMOTION_LAG_RECORDS);
        leader.progress.get(&replica).is_some_and(|progress| {
            progress.counts_in_quorum
                && progress.matched.0 >= required_index
                && progress.matched >= leader.first_index
        })
    }
}
