//! Membership of the group: who may join, how many voters it needs, and who is removed.

use auburnbridge_log::{Member, MemberChange, MemberRole, Members, Replica, ReplicaId};
use auburnbridge_types::{Millis, VmId};

/// Who may join the group, how many voters it needs to accept commands, and who is removed from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Whether keepers on VMs without a member may join.
    pub admits_new_vms: bool,
    /// Minimum number of voters for the group to accept commands; `2 * n + 1` voters tolerate the
    /// loss of `n`.
    pub min_voters: usize,
    /// Time without a reply after which the leader removes a member; `None` if only an operator
    /// removes members.
    pub reply_limit: Option<Millis>,
}

impl MembershipPolicy {
    /// Picks the member to remove among the `silent` members of a group with `voters` voters.
    ///
    /// A removed keeper may join again. Learners are removed first, since they count for nothing,
    /// and no voter is removed without which fewer than `min_voters` would remain.
    pub fn pick_lost<'a>(
        &self,
        voters: usize,
        silent: impl Iterator<Item = &'a Member>,
    ) -> Option<&'a Member> {
        silent
            .filter(|member| member.role == MemberRole::Learner || voters > self.min_voters)
            .min_by_key(|member| member.role == MemberRole::Voter)
    }

    /// Returns the member that the leader should remove now; `None` unless `replica` leads and accepts
    /// a membership change.
    pub fn lost_member<'a>(&self, replica: &'a Replica) -> Option<&'a Member> {
        let limit = self.reply_limit?;
        if !replica.accepts_member_changes() {
            return None;
        }
        let voters = replica.members().voters().count();
        self.pick_lost(voters, replica.silent_members(limit))
    }

    /// Whether the group has the minimum number of voters, with which a command survives the
    /// tolerated number of losses.
    pub fn accepts_proposals(&self, members: &Members) -> bool {
        members.voters().count() >= self.min_voters
    }

    /// Returns the next membership change by which `replica` replaces the member on `vm`, if there is
    /// one: adds `replica` as a learner, removes the lost member, and promotes the learner once it has
    /// caught up.
    ///
    /// The lost member is removed before the promotion: if both were voters, a quorum would need
    /// every remaining member, and the loss of a second VM would stop the group.
    pub fn join_step(&self, members: &Members, vm: &VmId, replica: ReplicaId) -> JoinStep {
        let lost = members
            .iter()
            .find(|member| member.vm == *vm && member.replica != replica)
            .map(|member| member.replica);
        match (members.get(replica).map(|member| member.role), lost) {
            (Some(MemberRole::Voter), None) => JoinStep::Complete,
            (None, None) if !self.admits_new_vms => JoinStep::Refused,
            (None, _) => JoinStep::Change(MemberChange::AddLearner(Member {
                replica,
                vm: vm.clone(),
                role: MemberRole::Learner,
            })),
            (Some(_), Some(lost)) => JoinStep::Change(MemberChange::Remove(lost)),
            (Some(MemberRole::Learner), None) => JoinStep::Change(MemberChange::Promote(replica)),
        }
    }
}

/// What the leader does when a keeper asks to join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// The keeper is a voter.
    Complete,
    /// The group proposes this change.
    Change(MemberChange),
    /// No member of the group is on the keeper's VM, and the group admits no others.
    Refused,
}
