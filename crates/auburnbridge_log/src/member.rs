//! Members of the replication group.

use auburnbridge_types::VmId;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::ReplicaId;

/// Maximum length of a member list in records, messages and snapshots.
pub const MAX_MEMBERS: usize = 16;

/// Whether a member counts towards the quorum.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberRole {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log, but neither votes nor counts towards the quorum.
    Learner,
}

/// A replica in the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Id of the data folder.
    pub replica: ReplicaId,
    /// VM that holds the data folder.
    pub vm: VmId,
    /// Whether the member votes.
    pub role: MemberRole,
}

/// Member list at some index of the log, ordered by replica id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members(Vec<Member>);

impl Members {
    /// Creates a list ordered by replica id. Returns `None` if a replica appears twice or the list
    /// is longer than [`MAX_MEMBERS`].
    pub fn new(mut members: Vec<Member>) -> Option<Self> {
        members.sort_by_key(|member| member.replica);
        let members = Self(members);
        members.is_valid().then_some(members)
    }

    /// Whether the list is at most [`MAX_MEMBERS`] long, ordered and free of duplicates.
    pub fn is_valid(&self) -> bool {
        self.0.len() <= MAX_MEMBERS
            && self
                .0
                .windows(2)
                .all(|pair| pair[0].replica < pair[1].replica)
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.iter()
    }

    /// Returns the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.0
            .iter()
            .filter(|member| member.role == MemberRole::Voter)
    }

    /// Returns the member with this replica id.
    pub fn get(&self, replica: ReplicaId) -> Option<&Member> {
        self.0.iter().find(|member| member.replica == replica)
    }

    /// Whether `replica` is a voter.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.get(replica)
            .is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// Whether the list is empty, as for a replica that has not joined a group.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Number of voters that form a majority of all voters other than `replica`.
    pub(crate) fn majority_of_others(&self, replica: ReplicaId) -> usize {
        let others = self
            .voters()
            .filter(|member| member.replica != replica)
            .count();
        if others == 0 { 0 } else { others / 2 + 1 }
    }

    /// Returns the list with `member` added or replaced, or `None` if it would be too long.
    pub(crate) fn with(&self, member: Member) -> Option<Self> {
        let mut members = self.0.clone();
        members.retain(|other| other.replica != member.replica);
        members.push(member);
        Self::new(members)
    }

    pub(crate) fn without(&self, replica: ReplicaId) -> Self {
        let mut members = self.0.clone();
        members.retain(|member| member.replica != replica);
        Self(members)
    }
}
