//! The replicated log in chosen situations.

mod network;

use std::sync::Arc;

use auburnbridge_log::{
    Body, Boot, Config, DecodeError, HardState, HeartbeatRound, Input, LogIndex, MAX_MEMBERS,
    MESSAGE_VERSION, Member, MemberChange, MemberRole, Members, Message, Output, Payload, PeerBoot,
    Record, Recovered, RejectReason, Replica, ReplicaId, SnapshotMeta, Status, Term, Token,
};
use auburnbridge_types::Timestamp;
use network::{Network, config};

fn group(nodes: usize, voters: usize) -> Network {
    let mut network = Network::new(nodes, voters, 1, config());
    assert!(
        network.run_until_accepted(20),
        "a new group elects a leader"
    );
    network
}

fn term(network: &Network, node: usize) -> Term {
    status(network, node).term
}

/// Guards against a group that a single dead VM stops.
#[test]
fn survives_the_loss_of_any_replica() {
    for lost in 0..3 {
        let mut network = group(3, 3);
        network.crash(lost);
        assert!(network.run_until_accepted(40), "without replica {lost}");
    }
}

/// Guards against a disk that comes back empty and votes in its predecessor's place: after the loss
/// of a second replica, the third one alone must not form a group with it.
#[test]
fn an_empty_disk_does_not_count() {
    for (replaced, lost) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let mut network = group(3, 3);
        let before = network.applied.len();
        network.replace_disk(replaced);
        network.crash(lost);
        assert!(
            !network.run_until_accepted(40),
            "an empty disk {replaced} and a single replica accepted a command"
        );
        network.start(lost);
        assert!(
            network.run_until_accepted(40),
            "two whole replicas continue"
        );
        assert!(network.applied.len() > before);
    }
}

/// Guards against an old copy of a folder that votes or counts, also after many starts and after
/// the loss of a second replica.
#[test]
fn an_old_copy_does_not_count() {
    for (restored, lost) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let mut network = group(3, 3);
        network.save_copy(restored);
        network.crash(restored);
        network.start(restored);
        assert!(network.run_until_accepted(40));
        network.run(60);
        network.crash(lost);
        assert!(network.detects_copy_of(restored));
        network.restore_copy(restored);
        assert_eq!(network.restored, 1, "the copy is in place");
        // The leader, if it is the third replica, has yet to notice that it has no quorum.
        let accepts = network.run_until_accepted(2);
        assert!(!accepts, "the answer of a copy on {restored} counted");
        for _ in 0..12 {
            network.crash(restored);
            network.start(restored);
            network.run(20);
        }
        assert!(
            !network.run_until_accepted(20),
            "a copy on {restored} counted"
        );
        let process = network.nodes[restored].process.as_ref().unwrap();
        assert!(process.replica.status().superseded);
        network.start(lost);
        assert!(
            network.run_until_accepted(40),
            "two whole replicas continue"
        );
    }
}

/// Guards against an old copy that counts because the first peer to answer has missed its later
/// boot: the other peer, which knows it, is waited for.
#[test]
fn an_old_copy_waits_for_the_other_peer() {
    let mut network = group(3, 3);
    network.save_copy(0);
    network.crash(0);
    network.crash(2);
    network.start(0);
    assert!(
        network.run_until_accepted(40),
        "replica 1 confirms the boot"
    );
    network.start(2);
    network.cuts.extend([(0, 2), (1, 0)]);
    network.restore_copy(0);
    network.cuts.remove(&(0, 2));
    network.run(60);
    network.cuts.clear();
    network.run(60);
    let process = network.nodes[0].process.as_ref().unwrap();
    assert!(process.replica.status().superseded);
    assert!(
        network.run_until_accepted(40),
        "two whole replicas continue"
    );
}

/// Guards against a replaced VM that can't be brought back into the group.
#[test]
fn replaces_a_lost_voter() {
    let mut network = group(4, 3);
    let leader = network.leader().unwrap();
    let lost = (leader + 1) % 3;
    let lost_id = network.nodes[lost].id;
    network.crash(lost);
    let leader = network.leader().unwrap();
    network.add_learner(leader, 3);
    let learner = network.nodes[3].id;
    network.change(leader, MemberChange::Promote(learner));
    assert_eq!(
        network.rejected, 1,
        "a learner without the log is not promoted"
    );
    network.run(30);
    network.change(leader, MemberChange::Promote(learner));
    network.run(30);
    network.change(leader, MemberChange::Remove(lost_id));
    network.run(30);
    assert_eq!(network.rejected, 1);
    let members = network.nodes[3].process.as_ref().unwrap().replica.members();
    assert!(members.is_voter(learner) && members.get(lost_id).is_none());
    // The new voter counts: the group survives the loss of another old one.
    let other = (0..3).find(|node| ![leader, lost].contains(node)).unwrap();
    network.crash(other);
    assert!(network.run_until_accepted(40));
}

fn status(network: &Network, node: usize) -> Status {
    let process = network.nodes[node].process.as_ref().unwrap();
    process.replica.status()
}

/// Lets time pass one message at a time until `is_done`.
fn run_until(network: &mut Network, is_done: impl Fn(&Network) -> bool) {
    for _ in 0..1_000 {
        network.now += 20;
        for node in 0..network.nodes.len() {
            network.step(node, Input::Tick);
            network.sync(node);
        }
        while !network.queue.is_empty() {
            if is_done(network) {
                return;
            }
            network.deliver(0);
            for node in 0..network.nodes.len() {
                network.sync(node);
            }
        }
    }
    panic!("the expected state was not reached");
}

/// Guards against a record of an earlier term that is committed by counting its copies: a replica
/// with a record of a term in between can still be elected and replace it.
#[test]
fn counting_copies_commits_no_older_term() {
    let mut network = group(3, 3);
    let first = network.leader().unwrap();
    network.isolate(first);
    let start = status(&network, first).last;
    for _ in 0..3 {
        network.propose(first);
        network.sync(first);
    }
    assert_eq!(status(&network, first).synced.0, start.0 + 3);
    network.crash(first);
    network.queue.clear();
    network.cuts.clear();
    // Another replica is elected and stops with only its own first record.
    run_until(&mut network, |network| network.leader().is_some());
    let second = network.leader().unwrap();
    network.queue.clear();
    network.sync(second);
    network.crash(second);
    // The first leader returns, and its oldest command alone reaches the third replica.
    let third = 3 - first - second;
    network.start(first);
    run_until(&mut network, |network| status(network, third).last > start);
    network.cuts.insert((first, third));
    network.run(5);
    assert_eq!(status(&network, first).role, "leader");
    assert_eq!(status(&network, third).last, start.next());
    network.crash(first);
    network.cuts.clear();
    network.start(second);
    assert!(network.run_until_accepted(60));
    network.start(first);
    network.run(60);
}

/// Guards against two member lists whose quorums don't overlap: one change at a time, and none
/// before a record of the leader's term is committed.
#[test]
fn changes_one_member_at_a_time() {
    let mut network = group(5, 3);
    network.run(10);
    network.crash(network.leader().unwrap());
    run_until(&mut network, |network| network.leader().is_some());
    let leader = network.leader().unwrap();
    network.add_learner(leader, 3);
    assert_eq!(network.rejected, 1, "the term has no committed record");
    assert!(network.run_until_accepted(20));
    network.isolate(leader);
    network.add_learner(leader, 3);
    assert_eq!(network.rejected, 1);
    network.add_learner(leader, 4);
    assert_eq!(network.rejected, 2, "another change is uncommitted");
}

/// Guards against a removed leader that keeps leading or blocks the rest.
#[test]
fn a_removed_leader_steps_down() {
    let mut network = group(3, 3);
    let leader = network.leader().unwrap();
    let id = network.nodes[leader].id;
    network.change(leader, MemberChange::Remove(id));
    network.run(60);
    let next = network.leader().expect("the rest elects a leader");
    assert_ne!(next, leader);
    assert!(network.run_until_accepted(40));
}

/// Guards against a group that stops for good when only the leader that removes itself has the
/// record of it (found by a random schedule).
#[test]
fn recovers_from_a_removal_that_only_the_removed_has() {
    let mut network = group(2, 2);
    let leader = network.leader().unwrap();
    let id = network.nodes[leader].id;
    network.cuts.insert((leader, 1 - leader));
    network.change(leader, MemberChange::Remove(id));
    network.sync(leader);
    network.queue.clear();
    for node in 0..2 {
        network.crash(node);
        network.start(node);
    }
    network.cuts.clear();
    assert!(network.run_until_accepted(60));
}

/// Guards against links that fail in one direction: a leader that can't hear steps down, and a
/// replica that can't hear doesn't disturb the group.
#[test]
fn tolerates_one_way_links() {
    let mut network = group(3, 3);
    let deaf = network.leader().unwrap();
    for other in (0..3).filter(|other| *other != deaf) {
        network.cuts.insert((other, deaf));
    }
    network.run(100);
    let next = network.leader().expect("another replica leads");
    assert_ne!(next, deaf, "a leader that hears nobody must step down");
    assert!(network.run_until_accepted(40));
    let before = term(&network, network.leader().unwrap());
    network.run(300);
    assert_eq!(
        term(&network, network.leader().unwrap()),
        before,
        "a replica that hears nobody must not force elections"
    );
    network.cuts.clear();
    network.run(30);
    assert_eq!(term(&network, deaf), before, "the healed replica follows");
}

/// Guards against a planned stop that leaves the group without a leader for an election timeout, or
/// cuts off a request that the leader has taken.
#[test]
fn a_resigning_leader_hands_over() {
    let mut network = group(3, 3);
    network.run(10);
    let leader = network.leader().unwrap();
    network.propose(leader);
    let applied = network.applied.len();
    network.step(leader, Input::Resign);
    network.propose(leader);
    assert_eq!(network.rejected, 1, "a resigning leader takes no request");
    // Half of the shortest election timeout.
    network.run(7);
    let next = network.leader().expect("another replica leads");
    assert_ne!(next, leader);
    assert_eq!(network.applied.len(), applied + 1);
    assert_eq!(network.rejected, 1, "the request taken before was answered");
    network.crash(leader);
    assert!(network.run_until_accepted(1));
}

/// Guards against a group that takes no more requests because its leader resigned in vain.
#[test]
fn a_leader_without_successor_goes_on() {
    let mut network = group(1, 1);
    network.step(0, Input::Resign);
    network.run(20);
    assert!(network.run_until_accepted(1));
}

/// Guards against a replica that stops working when its clock is set back, by an hour here.
#[test]
fn a_clock_may_go_back() {
    let mut network = group(3, 3);
    for node in &mut network.nodes {
        node.clock_offset += 3_600_000;
    }
    assert!(network.run_until_accepted(20));
    for node in &mut network.nodes {
        node.clock_offset -= 3_600_000;
    }
    assert!(network.run_until_accepted(20));
    network.crash(network.leader().unwrap());
    assert!(network.run_until_accepted(40), "the others elect a leader");
}

/// Guards against a replica that forces elections because it alone misses the leader's messages.
#[test]
fn a_replica_that_misses_the_leader_starts_no_term() {
    let mut network = group(3, 3);
    let leader = network.leader().unwrap();
    let before = term(&network, leader);
    let missing = (leader + 1) % 3;
    network.cuts.insert((leader, missing));
    network.run(200);
    assert_eq!(term(&network, missing), before);
    network.cuts.clear();
    network.run(30);
    assert_eq!(network.leader(), Some(leader));
    assert_eq!(term(&network, leader), before);
}

/// Guards against a stale read: a leader that is cut off answers none from its old state, unless its
/// lease still keeps the others from electing a new leader.
#[test]
fn an_isolated_leader_answers_reads_only_under_a_lease() {
    for has_lease in [false, true] {
        let config = Config::builder().lease_reads(has_lease).build();
        let mut network = Network::new(3, 3, 1, config);
        assert!(network.run_until_accepted(20));
        let old = network.leader().unwrap();
        network.read(old);
        network.run(5);
        assert_eq!(network.answered_reads, 1, "a leader with a quorum answers");
        network.isolate(old);
        network.read(old);
        let answered = if has_lease { 2 } else { 1 };
        assert_eq!(network.answered_reads, answered, "lease: {has_lease}");
        assert_eq!(status(&network, old).role, "leader");
        network.run(20);
        network.read(old);
        network.run(100);
        assert_eq!(network.answered_reads, answered, "lease: {has_lease}");
        assert!(network.run_until_accepted(40));
    }
}

/// Guards against a lagging replica that the records in memory no longer reach, with a snapshot of
/// several chunks.
#[test]
fn sends_a_snapshot_in_chunks() {
    let mut network = group(3, 3);
    let leader = network.leader().unwrap();
    let lagging = (leader + 1) % 3;
    network.crash(lagging);
    for _ in 0..30 {
        let token = network.token();
        let data: Arc<[u8]> = vec![5; 40_000].into();
        network.step(leader, Input::Propose { token, data });
        network.run(1);
    }
    network.start(lagging);
    network.run(60);
    assert_eq!(
        status(&network, lagging).applied,
        status(&network, leader).applied
    );
    assert!(status(&network, lagging).boot_confirmed);
}

fn record(index: u64, term: u64) -> Record {
    Record {
        index: LogIndex(index),
        term: Term(term),
        time: Timestamp(0),
        payload: Payload::Noop,
    }
}

/// A follower in term 2 with 20 synced records of term 1.
fn follower_with_old_records() -> Replica {
    let recovered = Recovered {
        replica: ReplicaId(1),
        hard_state: HardState {
            term: Term(2),
            ..HardState::default()
        },
        snapshot: None,
        records: (1..=20).map(|index| record(index, 1)).collect(),
    };
    let vm = "vm-1".parse().unwrap();
    Replica::recover(config(), vm, recovered, 1, Timestamp(1_000)).0
}

/// Passes on a message of the leader of term 2.
fn receive(replica: &mut Replica, body: Body) -> Vec<Output> {
    let message = Message {
        version: MESSAGE_VERSION,
        from: ReplicaId(2),
        to: ReplicaId(1),
        term: Term(2),
        body,
    };
    let from = "vm-2".parse().unwrap();
    replica.step(Timestamp(1_000), Input::Message { from, message })
}

/// Sends two records after the tenth, which has `prev_term`, and then a heartbeat. Returns what the
/// follower states in its answer to be synced.
fn synced_after_append(replica: &mut Replica, prev_term: u64) -> Option<LogIndex> {
    let append = |prev_index, prev_term, records| Body::Append {
        prev_index: LogIndex(prev_index),
        prev_term: Term(prev_term),
        records,
        commit: LogIndex(0),
        round: HeartbeatRound::default(),
    };
    let records = vec![record(11, 2), record(12, 2)];
    let outputs = receive(replica, append(10, prev_term, records));
    let sends = |output: &Output| matches!(output, Output::Send { .. });
    assert!(!outputs.iter().any(sends), "sent before the sync");
    let outputs = receive(replica, append(12, 2, Vec::new()));
    outputs.iter().find_map(|output| match output {
        Output::Send { message, .. } => match message.body {
            Body::AppendReply { matched, .. } => matched,
            _ => None,
        },
        _ => None,
    })
}

/// Guards against an answer that counts records as synced because those that they replace were.
#[test]
fn replaced_records_are_not_synced() {
    let mut replica = follower_with_old_records();
    let synced = synced_after_append(&mut replica, 1);
    assert_eq!(synced, Some(LogIndex(10)));
}

/// Guards against an answer that counts records as synced because a longer log, which a snapshot
/// has replaced, was.
#[test]
fn records_after_a_received_snapshot_are_not_synced() {
    let mut replica = follower_with_old_records();
    let chunk = Body::SnapshotChunk {
        meta: SnapshotMeta {
            index: LogIndex(10),
            term: Term(2),
            time: Timestamp(0),
            members: Members::default(),
        },
        total: 1,
        offset: 0,
        data: Arc::from([0].as_slice()),
        round: HeartbeatRound::default(),
    };
    receive(&mut replica, chunk);
    let synced = synced_after_append(&mut replica, 2);
    assert_eq!(synced, Some(LogIndex(0)));
}

/// Guards against a restart that loses state once the log is long and has snapshots.
#[test]
fn recovers_exactly_after_a_thousand_changes() {
    let mut network = group(3, 3);
    for _ in 0..1_000 {
        let leader = network.leader().unwrap();
        network.propose(leader);
        network.run(1);
    }
    let before = network.applied.clone();
    assert!(before.len() > 1_000);
    for node in 0..3 {
        network.crash(node);
    }
    for node in 0..3 {
        network.start(node);
    }
    assert!(network.run_until_accepted(40));
    assert_eq!(network.applied[..before.len()], before);
}

/// Guards against one sync per proposal: what arrives during a write forms the next one.
#[test]
fn groups_proposals_into_one_write() {
    let mut network = group(1, 1);
    let process = network.nodes[0].process.as_mut().unwrap();
    let now = Timestamp(network.now);
    let mut writes = Vec::new();
    let mut propose = |token: u64| {
        let data: Arc<[u8]> = Arc::from([1_u8].as_slice());
        let token = Token(token);
        let outputs = process.replica.step(now, Input::Propose { token, data });
        writes.extend(outputs.into_iter().filter_map(|output| match output {
            Output::Persist(persist) => Some(persist),
            _ => None,
        }));
    };
    (100..150).for_each(&mut propose);
    assert_eq!(writes.len(), 1, "one write is open at a time");
    assert_eq!(writes[0].records.len(), 1);
    let sequence = writes[0].sequence;
    let outputs = process.replica.step(now, Input::Persisted { sequence });
    let batch = outputs.iter().find_map(|output| match output {
        Output::Persist(persist) => Some(persist.records.len()),
        _ => None,
    });
    assert_eq!(batch, Some(49));
}

/// Guards against a caller that is left without an answer or sent to the wrong VM.
#[test]
fn a_follower_names_the_leader() {
    let mut network = group(3, 3);
    network.run(10);
    let leader = network.leader().unwrap();
    let follower = (leader + 1) % 3;
    let now = Timestamp(network.now + network.nodes[follower].clock_offset);
    let expected = RejectReason::NotLeader {
        leader: Some(network.nodes[leader].vm.clone()),
    };
    let process = network.nodes[follower].process.as_mut().unwrap();
    let token = Token(9_000);
    let data: Arc<[u8]> = Arc::from([1_u8].as_slice());
    let inputs = [
        Input::Propose { token, data },
        Input::Read { token },
        Input::ChangeMembers {
            token,
            change: MemberChange::Promote(ReplicaId(1)),
        },
    ];
    for input in inputs {
        let outputs = process.replica.step(now, input);
        let reason = expected.clone();
        assert_eq!(outputs, vec![Output::Reject { token, reason }]);
    }
}

/// Guards against a copy that passes for the folder, and a folder that its own crash condemns.
#[test]
fn tells_new_boots_from_old_ones() {
    let boot = |counter, nonce, attempts: &[u64]| Boot {
        counter,
        nonce,
        attempts: attempts.to_vec(),
        confirmed: false,
    };
    let known = |counter, nonce| Some(PeerBoot { counter, nonce });
    let cases = [
        ("unknown peer", boot(1, 10, &[]), None, true),
        ("next boot", boot(3, 30, &[]), known(2, 20), true),
        ("repeated check", boot(3, 30, &[]), known(3, 30), true),
        (
            "crash before the confirmation",
            boot(3, 31, &[30]),
            known(3, 30),
            true,
        ),
        ("older copy", boot(2, 21, &[]), known(3, 30), false),
        (
            "copy from the boot before",
            boot(3, 31, &[]),
            known(3, 30),
            false,
        ),
        (
            "copy started often",
            boot(3, 34, &[31, 32, 33]),
            known(3, 30),
            false,
        ),
    ];
    for (name, boot, known, expected) in cases {
        assert_eq!(boot.is_new_to(known), expected, "{name}");
    }
}

/// Guards against messages that take memory beyond their bounds or come from a newer program.
#[test]
fn refuses_messages_out_of_bounds() {
    let message = |body| Message {
        version: MESSAGE_VERSION,
        from: ReplicaId(1),
        to: ReplicaId(2),
        term: Term(3),
        body,
    };
    let check = |attempts: usize| {
        message(Body::BootCheck {
            counter: 1,
            nonce: 2,
            attempts: vec![7; attempts],
        })
    };
    let append = |index: u64| {
        message(Body::Append {
            prev_index: LogIndex(4),
            prev_term: Term(1),
            records: vec![Record {
                index: LogIndex(index),
                term: Term(1),
                time: Timestamp(0),
                payload: Payload::Noop,
            }],
            commit: LogIndex(0),
            round: HeartbeatRound::default(),
        })
    };
    let newer = Message {
        version: MESSAGE_VERSION + 1,
        ..check(1)
    };
    let cases = [
        ("a good check", check(64), None),
        ("too many attempts", check(65), Some(DecodeError::Malformed)),
        ("a good append", append(5), None),
        (
            "a gap before the records",
            append(6),
            Some(DecodeError::Malformed),
        ),
        (
            "a newer version",
            newer,
            Some(DecodeError::Version(MESSAGE_VERSION + 1)),
        ),
    ];
    for (name, message, error) in cases {
        assert_eq!(Message::decode(&message.encode()).err(), error, "{name}");
    }
    let bytes = check(3).encode();
    for length in 0..bytes.len() {
        assert!(
            Message::decode(&bytes[..length]).is_err(),
            "cut at {length}"
        );
    }
}

/// Guards against member lists that grow without bound or list a replica twice.
#[test]
fn bounds_the_member_list() {
    let member = |replica: usize| Member {
        replica: ReplicaId(replica as u128),
        vm: "vm".parse().unwrap(),
        role: MemberRole::Voter,
    };
    assert!(Members::new((0..MAX_MEMBERS).map(member).collect()).is_some());
    assert!(Members::new((0..=MAX_MEMBERS).map(member).collect()).is_none());
    assert!(Members::new(vec![member(1), member(1)]).is_none());
}
