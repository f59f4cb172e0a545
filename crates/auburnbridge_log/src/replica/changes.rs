//! Changes of the member list, one member at a time.

use super::{Replica, Role};
use crate::{
    LogIndex, Member, MemberChange, MemberRole, Members, Payload, Record, RejectReason, ReplicaId,
    Term, Token,
};

/// Records that a learner may lag behind when it becomes a voter.
const CAUGHT_UP_RECORDS: u64 = 64;

impl Replica {
    /// Writes the first member list of a new group, as the same first record on each replica.
    pub(super) fn bootstrap(&mut self, members: Members) {
        let fresh = self.log.last_index() == LogIndex(0) && self.hard.term == Term(0);
        if !fresh || !members.is_valid() || !members.is_voter(self.id) {
            return;
        }
        self.log.push(Record {
            index: LogIndex(1),
            term: Term(0),
            time: auburnbridge_types::Timestamp(0),
            payload: Payload::Members(members),
        });
    }

    pub(super) fn change_members(&mut self, token: Token, change: MemberChange) {
        let Role::Leader(leader) = &self.role else {
            return self.reject_not_leader(token);
        };
        // Without a committed record of the term, two leaders could hold uncommitted lists whose
        // quorums don't overlap.
        let term_committed = self.commit >= leader.first_index;
        let (last_change, _) = self.log.members();
        if !term_committed || last_change > self.commit {
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
                let rest = members.without(replica);
                let known = members.get(replica).is_some();
                if !known || rest.voters().next().is_none() {
                    return Err(RejectReason::InvalidChange);
                }
                Ok(rest)
            }
        }
    }

    fn is_caught_up(&self, replica: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let lag_limit = self.log.last_index().0.saturating_sub(CAUGHT_UP_RECORDS);
        leader.progress.get(&replica).is_some_and(|progress| {
            progress.counts
                && progress.matched.0 >= lag_limit
                && progress.matched >= leader.first_index
        })
    }
}
