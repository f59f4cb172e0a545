//! Tests of the grant rules, with fixed command sequences and with random ones.

use std::collections::{BTreeMap, BTreeSet};

use auburnbridge_ledger::{
    Command, Ledger, LedgerKey, Limits, MAX_CLOCK_SKEW, MAX_WITHDRAWING_PROCESSES, Reply,
    RestoreError, SNAPSHOT_VERSION, StoredAnswer,
};
use auburnbridge_types::{AttemptId, ByteSize, IdempotencyKey, Millis, RequestDigest, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: Timestamp = Timestamp(1_000_000);

fn key(created: Timestamp, tag: u8) -> LedgerKey {
    LedgerKey {
        idempotency_key: IdempotencyKey::from_parts(created, [tag; 10]),
        account: "shop".parse().unwrap(),
    }
}

fn attempt(boot: u64, sequence: u64) -> AttemptId {
    AttemptId {
        vm: "entry-1".parse().unwrap(),
        boot,
        sequence,
    }
}

fn grant(key: &LedgerKey, attempt: &AttemptId, deadline: u64) -> Command {
    Command::Grant {
        key: key.clone(),
        request_digest: RequestDigest([1; 32]),
        attempt: attempt.clone(),
        grant_deadline: START.after(Millis(deadline)),
        previous_sends: None,
    }
}

fn resend(key: &LedgerKey, attempt: &AttemptId, previous_sends: u32) -> Command {
    Command::Grant {
        key: key.clone(),
        request_digest: RequestDigest([1; 32]),
        attempt: attempt.clone(),
        grant_deadline: START.after(Millis(100)),
        previous_sends: Some(previous_sends),
    }
}

fn withdraw(key: &LedgerKey, attempt: &AttemptId) -> Command {
    Command::Withdraw {
        key: key.clone(),
        attempt: attempt.clone(),
    }
}

fn conclude(key: &LedgerKey, attempt: &AttemptId, answer: &[u8]) -> Command {
    Command::Conclude {
        key: key.clone(),
        attempt: attempt.clone(),
        answer: StoredAnswer::new(answer),
    }
}

fn abandon(key: &LedgerKey, attempt: &AttemptId) -> Command {
    Command::Abandon {
        key: key.clone(),
        attempt: attempt.clone(),
    }
}

/// Guards against a key that is granted twice, is freed by the wrong attempt or loses its answer.
#[test]
fn commands_get_expected_replies() {
    let (k, a, b) = (key(START, 1), attempt(1, 1), attempt(2, 1));
    let other_body = Command::Grant {
        key: k.clone(),
        request_digest: RequestDigest([2; 32]),
        attempt: b.clone(),
        grant_deadline: START.after(Millis(100)),
        previous_sends: None,
    };
    let whole = Reply::Answered(StoredAnswer::new(b"ok"));
    let large = vec![0; 64 * 1024 + 1];
    let oversized = Command::Conclude {
        key: k.clone(),
        attempt: a.clone(),
        answer: StoredAnswer::Whole(large.into()),
    };
    // Each step holds the time since the start in ms, the command and the expected reply.
    let cases = [
        (
            "repeated and competing grants",
            vec![
                (0, grant(&k, &a, 100), Reply::Granted),
                (1, grant(&k, &a, 100), Reply::Granted),
                (2, grant(&k, &b, 100), Reply::InProgress),
                (3, other_body, Reply::BodyMismatch),
            ],
        ),
        (
            "withdrawals by another attempt, duplicated or late",
            vec![
                (0, withdraw(&k, &a), Reply::NotHolder),
                (0, grant(&k, &a, 100), Reply::Granted),
                (1, withdraw(&k, &b), Reply::NotHolder),
                (2, withdraw(&k, &a), Reply::Done),
                (3, grant(&k, &a, 100), Reply::NotHolder),
                (4, grant(&k, &b, 100), Reply::Granted),
                (5, withdraw(&k, &a), Reply::Done),
                (6, grant(&k, &a, 100), Reply::InProgress),
                (100, withdraw(&k, &b), Reply::Unknown),
                (101, grant(&k, &a, 200), Reply::Unknown),
            ],
        ),
        (
            "conclusions that are duplicated or late",
            vec![
                (0, grant(&k, &a, 100), Reply::Granted),
                (1, conclude(&k, &b, b"no"), Reply::NotHolder),
                (100, grant(&k, &b, 300), Reply::Unknown),
                (200, conclude(&k, &a, b"ok"), Reply::Done),
                (201, conclude(&k, &a, b"again"), Reply::Done),
                (202, grant(&k, &b, 300), whole.clone()),
                (203, withdraw(&k, &a), whole.clone()),
                (204, abandon(&k, &a), whole),
            ],
        ),
        (
            "an abandoned key stays blocked",
            vec![
                (0, grant(&k, &a, 100), Reply::Granted),
                (1, abandon(&k, &b), Reply::NotHolder),
                (2, abandon(&k, &a), Reply::Done),
                (3, conclude(&k, &a, b"ok"), Reply::Unknown),
                (4, withdraw(&k, &a), Reply::Unknown),
                (5, grant(&k, &b, 100), Reply::Unknown),
            ],
        ),
        (
            "an answer over the limit",
            vec![
                (0, grant(&k, &a, 100), Reply::Granted),
                (1, oversized, Reply::Done),
                (
                    2,
                    grant(&k, &b, 100),
                    Reply::Answered(StoredAnswer::NotKept),
                ),
            ],
        ),
        (
            "a grant that arrives after its own deadline",
            vec![
                (100, grant(&k, &a, 100), Reply::NotHolder),
                (101, grant(&k, &b, 200), Reply::Granted),
            ],
        ),
    ];
    for (name, steps) in cases {
        let mut ledger = Ledger::default();
        for (at, command, expected) in steps {
            let reply = ledger.apply(START.after(Millis(at)), command.clone());
            assert_eq!(reply, expected, "{name}: {command:?}");
        }
    }
}

/// Guards against granting an earlier send that arrives after a later send has withdrawn and the
/// caller has been told `not-run`.
#[test]
fn withdrawn_later_send_fences_earlier_send() {
    let k = key(START, 1);
    let (first, second, third) = (attempt(1, 1), attempt(2, 1), attempt(3, 1));
    let mut ledger = Ledger::default();
    let mut apply = |command| ledger.apply(START, command);
    assert_eq!(apply(resend(&k, &second, 1)), Reply::Granted);
    assert_eq!(apply(resend(&k, &first, 0)), Reply::InProgress);
    assert_eq!(apply(withdraw(&k, &second)), Reply::Done);
    assert_eq!(apply(resend(&k, &first, 0)), Reply::NotHolder);
    assert_eq!(apply(resend(&k, &third, 2)), Reply::Granted);
}

/// Guards against granting a key again after its record was dropped, when the retention is raised
/// or lowered.
#[test]
fn dropped_key_stays_refused_after_retention_changes() {
    let (older, newer) = (key(START, 1), key(START.after(Millis(40)), 2));
    let mut ledger = Ledger::default();
    let mut apply = |at, command| ledger.apply(START.after(Millis(at)), command);
    apply(0, Command::SetRetention(Millis(100)));
    assert_eq!(
        apply(50, grant(&older, &attempt(1, 1), 500)),
        Reply::Granted
    );
    assert_eq!(
        apply(50, grant(&newer, &attempt(1, 2), 500)),
        Reply::Granted
    );
    assert_eq!(
        apply(100, grant(&older, &attempt(1, 3), 500)),
        Reply::Expired
    );
    apply(101, Command::SetRetention(Millis(1_000)));
    assert_eq!(
        apply(102, grant(&older, &attempt(1, 4), 500)),
        Reply::Expired
    );
    assert_eq!(
        apply(103, grant(&newer, &attempt(1, 5), 500)),
        Reply::InProgress
    );
    apply(104, Command::SetRetention(Millis(10)));
    apply(105, Command::SetRetention(Millis(1_000)));
    assert_eq!(
        apply(106, grant(&newer, &attempt(1, 6), 500)),
        Reply::Expired
    );
    let ahead = |by| key(START.after(Millis(107 + MAX_CLOCK_SKEW.0 + by)), 3);
    assert_eq!(
        apply(107, grant(&ahead(1), &attempt(1, 7), 500)),
        Reply::Expired
    );
    assert_eq!(
        apply(107, grant(&ahead(0), &attempt(1, 8), 500)),
        Reply::Granted
    );
    assert_eq!(ledger.len(), 1);
}

/// Guards against unbounded memory, and against a full ledger that does not record that a request
/// ran.
#[test]
fn limits_refuse_new_keys() {
    let mut ledger = Ledger::new(Limits {
        max_records: 2,
        max_stored_size: ByteSize(4),
    });
    let (a, b) = (key(START, 1), key(START, 2));
    let holder = attempt(1, 1);
    let mut apply = |command| ledger.apply(START, command);
    assert_eq!(apply(grant(&a, &holder, 9)), Reply::Granted);
    assert_eq!(apply(grant(&b, &holder, 9)), Reply::Granted);
    assert_eq!(apply(grant(&key(START, 3), &holder, 9)), Reply::Full);
    assert_eq!(apply(conclude(&a, &holder, b"four")), Reply::Done);
    assert_eq!(apply(conclude(&b, &holder, b"x")), Reply::Done);
    let not_kept = Reply::Answered(StoredAnswer::NotKept);
    assert_eq!(apply(grant(&b, &attempt(1, 2), 9)), not_kept);
    assert_eq!(ledger.stored_size(), ByteSize(4));
}

/// Guards against granting a withdrawn attempt again because its entry was evicted in favour of the
/// withdrawals of other processes.
#[test]
fn full_withdrawal_record_refuses_further_processes() {
    let mut ledger = Ledger::default();
    let k = key(START, 1);
    for boot in 0..MAX_WITHDRAWING_PROCESSES as u64 {
        for sequence in 1..4 {
            let attempt = attempt(boot, sequence);
            assert_eq!(ledger.apply(START, grant(&k, &attempt, 9)), Reply::Granted);
            assert_eq!(ledger.apply(START, withdraw(&k, &attempt)), Reply::Done);
        }
    }
    assert_eq!(
        ledger.apply(START, grant(&k, &attempt(0, 3), 9)),
        Reply::NotHolder
    );
    assert_eq!(
        ledger.apply(START, grant(&k, &attempt(99, 1), 9)),
        Reply::Full
    );
}

/// Guards against restoring a corrupt snapshot or one of another format version.
#[test]
fn invalid_snapshots_are_refused() {
    let mut snapshot = Ledger::default().snapshot();
    assert_eq!(Ledger::restore(&snapshot), Ok(Ledger::default()));
    let malformed = Err(RestoreError::Malformed);
    assert_eq!(Ledger::restore(&snapshot[..snapshot.len() - 1]), malformed);
    snapshot.push(0);
    assert_eq!(Ledger::restore(&snapshot), malformed);
    snapshot[0] += 1;
    let found = SNAPSHOT_VERSION + 1;
    assert_eq!(
        Ledger::restore(&snapshot),
        Err(RestoreError::UnsupportedVersion { found })
    );
}

fn command() -> impl Strategy<Value = Command> {
    let k = (0..3u64).prop_map(|at| key(START.after(Millis(at * 40)), 1));
    // Distinct boot numbers represent distinct entry processes.
    let a = (0..3u64, 0..3u64).prop_map(|(boot, sequence)| attempt(boot, sequence));
    (k, a, 0..52u8, 0..1_000u64).prop_map(|(k, a, kind, number)| match kind {
        0..12 => grant(&k, &a, number),
        12..24 => resend(&k, &a, u32::try_from(a.sequence).unwrap()),
        24..40 => withdraw(&k, &a),
        40..48 => conclude(&k, &a, &a.sequence.to_be_bytes()[6..]),
        48..51 => abandon(&k, &a),
        _ => Command::SetRetention(Millis(number)),
    })
}

/// What the replies so far imply about one key.
#[derive(Default)]
struct Observed {
    holder: Option<AttemptId>,
    withdrawn: BTreeSet<AttemptId>,
    /// The send of the holder.
    held_send: Option<u32>,
    /// The latest send that withdrew.
    latest_withdrawn_send: Option<u32>,
    concluded: bool,
}

/// The seed is fixed so that every run tests the same cases.
fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards against two holders of a key without a withdrawal between them, against granting a
    /// withdrawn or concluded attempt, and against replies that differ after a restart from a
    /// snapshot. Repeated commands model duplicates, and their random order models reordering.
    #[test]
    fn key_has_at_most_one_holder(
        commands in prop::collection::vec((command(), 0..6u64, any::<bool>()), 1..200),
    ) {
        let limits = Limits { max_records: 2, max_stored_size: ByteSize(3) };
        let (mut ledger, mut restarted) = (Ledger::new(limits), Ledger::new(limits));
        let mut observed: BTreeMap<LedgerKey, Observed> = BTreeMap::new();
        let mut now = START;
        for (command, advance, restart) in commands {
            now = now.after(Millis(advance));
            if restart {
                restarted = Ledger::restore(&restarted.snapshot()).unwrap();
            }
            let reply = ledger.apply(now, command.clone());
            prop_assert_eq!(&reply, &restarted.apply(now, command.clone()));
            prop_assert!(ledger.len() <= limits.max_records);
            prop_assert!(ledger.stored_size() <= limits.max_stored_size);
            match (command, reply) {
                (Command::Grant { key, attempt, grant_deadline, previous_sends, .. }, Reply::Granted) => {
                    let seen = observed.entry(key).or_default();
                    prop_assert!(now < grant_deadline || seen.holder.is_some());
                    prop_assert!(!seen.concluded);
                    prop_assert!(!seen.withdrawn.contains(&attempt));
                    if seen.holder.is_none() {
                        seen.held_send = previous_sends;
                        let send = previous_sends.unwrap_or(u32::MAX);
                        prop_assert!(Some(send) >= seen.latest_withdrawn_send);
                    }
                    let holder = seen.holder.get_or_insert_with(|| attempt.clone());
                    prop_assert_eq!(&*holder, &attempt);
                }
                (Command::Withdraw { key, attempt }, Reply::Done) => {
                    let seen = observed.entry(key).or_default();
                    if seen.holder.as_ref() == Some(&attempt) {
                        prop_assert!(!seen.concluded);
                        seen.holder = None;
                        seen.latest_withdrawn_send = seen.latest_withdrawn_send.max(seen.held_send);
                    }
                    seen.withdrawn.insert(attempt);
                }
                (
                    Command::Conclude { key, attempt, .. } | Command::Abandon { key, attempt },
                    Reply::Done,
                ) => {
                    let seen = observed.entry(key).or_default();
                    prop_assert_eq!(seen.holder.as_ref(), Some(&attempt));
                    seen.concluded = true;
                }
                _ => {}
            }
        }
        prop_assert_eq!(ledger.snapshot(), restarted.snapshot());
    }
}
