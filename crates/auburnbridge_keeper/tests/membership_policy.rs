//! Tests which members a leader removes.

use auburnbridge_keeper::MembershipPolicy;
use auburnbridge_log::{Member, MemberRole, ReplicaId};
use auburnbridge_types::Millis;

fn member(replica: u128, role: MemberRole) -> Member {
    Member {
        replica: ReplicaId(replica),
        vm: format!("10.0.0.{replica}").parse().unwrap(),
        role,
    }
}

/// Voters of the group, its silent members, and the member to remove.
type Case = (usize, &'static [(u128, MemberRole)], Option<u128>);

/// Guards against a group that keeps lost members, and against one that shrinks until it can't bear
/// the tolerated losses.
#[test]
fn lost_members_are_removed_down_to_the_minimum_of_voters() {
    use MemberRole::{Learner, Voter};
    let policy = MembershipPolicy {
        admits_new_vms: true,
        min_voters: 3,
        reply_limit: Some(Millis(3_000)),
    };
    let cases: [Case; 7] = [
        (5, &[], None),
        (5, &[(2, Voter)], Some(2)),
        (4, &[(2, Voter), (3, Voter)], Some(2)),
        (3, &[(2, Voter)], None),
        (3, &[(2, Voter), (4, Learner)], Some(4)),
        (5, &[(2, Voter), (4, Learner)], Some(4)),
        (2, &[(2, Voter)], None),
    ];
    for (voters, silent, expected) in cases {
        let silent: Vec<Member> = silent
            .iter()
            .map(|(replica, role)| member(*replica, *role))
            .collect();
        let lost = policy.pick_lost(voters, silent.iter());
        assert_eq!(
            lost.map(|member| member.replica.0),
            expected,
            "{voters} voters, silent: {silent:?}"
        );
    }
}
