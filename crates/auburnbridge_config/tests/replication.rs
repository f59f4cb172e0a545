//! Tests that keepers agree with each other and with the entries that copy their rules.

mod common;

use auburnbridge_config::{
    Change, Delta, DeltaError, Edit, EditReply, RulesCopy, RulesState, SnapshotError,
};
use auburnbridge_rules::{LineEdit, TextDigest};
use auburnbridge_types::{Millis, Revision};
use common::{SERVICE, START, edit, remove, set};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LINES: &[&str] = &[
    SERVICE,
    "service stock slots-floor 12 # asked by Meera",
    "service dispatch slots-floor 8 # asked by Meera",
    "route GET /a/* to stock idempotent # asked by Meera",
    "route GET /a/* to dispatch idempotent # asked by Meera",
    "route POST /a to stock once # asked by Meera",
    "account default limit 50/s burst 100 # asked by Jonas",
    "# a comment",
    "nonsense",
];
const KEYS: &[&str] = &[
    "service stock",
    "service dispatch",
    "route GET /a/*",
    "keys",
];

fn change() -> impl Strategy<Value = Change> {
    let line = || prop::sample::select(LINES);
    prop_oneof![
        6 => line().prop_map(set),
        3 => prop::sample::select(KEYS).prop_map(remove),
        1 => prop::collection::vec(line(), 0..6).prop_map(|lines| Change::ReplaceAll(lines.join("\n"))),
        1 => (0..400usize).prop_map(|count| Change::ReplaceAll("# filler\n".repeat(count))),
    ]
}

/// Random edits, some with reused ids and some with stale expected revisions.
fn edits(count: usize) -> impl Strategy<Value = Vec<Edit>> {
    let one = (
        any::<bool>(),
        0..40u32,
        prop::option::weighted(0.2, 0..20u64),
        change(),
    );
    prop::collection::vec(one, count).prop_map(|drawn| {
        let numbered = drawn.into_iter().zip(1_000..);
        numbered
            .map(|((is_new, number, expected, change), next)| {
                edit(if is_new { next } else { number }, expected, change)
            })
            .collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        // The seed is fixed so that every run tests the same cases.
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a restarted keeper that continues from a different state than it had before.
    #[test]
    fn restored_state_is_identical(edits in edits(1_000), restart in 0..1_000usize) {
        let mut uninterrupted = RulesState::default();
        let mut restarted = RulesState::default();
        for (step, edit) in edits.into_iter().enumerate() {
            if step == restart {
                restarted = RulesState::restore(&restarted.snapshot()).unwrap();
            }
            let now = START.after(Millis(step as u64));
            let replies = (uninterrupted.apply(now, edit.clone()), restarted.apply(now, edit));
            prop_assert_eq!(replies.0, replies.1);
        }
        let snapshot = uninterrupted.snapshot();
        prop_assert!(uninterrupted.revision() > Revision(10));
        prop_assert_eq!(&snapshot, &restarted.snapshot());
        prop_assert_eq!(&snapshot, &RulesState::restore(&snapshot).unwrap().snapshot());
    }

    /// Guards against an entry whose rules differ from those of the keepers after it fetched them,
    /// directly or through another entry, and against an entry that returns to a lower revision.
    #[test]
    fn entries_converge_on_rules_of_keepers(
        edits in edits(60),
        fetches in prop::collection::vec((any::<bool>(), any::<bool>()), 60),
    ) {
        let mut rules_state = RulesState::default();
        let (mut direct, mut indirect) = (RulesCopy::default(), RulesCopy::default());
        for (edit, (direct_fetches, indirect_fetches)) in edits.into_iter().zip(fetches) {
            rules_state.apply(START, edit);
            if direct_fetches {
                direct.apply_delta(&rules_state.delta_since(direct.revision())).unwrap();
                prop_assert_eq!(direct.revision(), rules_state.revision());
                prop_assert_eq!(direct.rules(), rules_state.rules());
            }
            if indirect_fetches {
                indirect.apply_delta(&direct.delta_since(indirect.revision())).unwrap();
                prop_assert_eq!(indirect.rules(), direct.rules());
            }
        }
    }
}

fn state_with_copy() -> (RulesState, RulesCopy) {
    let mut rules_state = RulesState::default();
    rules_state.apply(START, edit(1, None, set(SERVICE)));
    let mut copy = RulesCopy::default();
    copy.apply_delta(&rules_state.delta_since(Revision(0)))
        .unwrap();
    (rules_state, copy)
}

/// Guards against an entry that returns to a lower revision or accepts a delta with a wrong base,
/// digest or text.
#[test]
fn invalid_deltas_are_refused() {
    let (rules_state, copy) = state_with_copy();
    let (revision, digest) = (Revision(2), TextDigest::of(""));
    let edits = vec![LineEdit::Remove { line: 1 }];
    let base_digest = rules_state.digest();
    let lines = |base, base_digest, digest, edits: &[LineEdit]| Delta::Lines {
        base,
        base_digest,
        revision,
        digest,
        line_edits: edits.to_vec(),
    };
    let whole = |revision, text: &str| Delta::Whole {
        revision,
        digest,
        text: text.into(),
    };
    let base = Revision(1);
    let refused = [
        whole(Revision(0), ""),
        whole(Revision(1), ""),
        whole(Revision(2), "# another text\n"),
        whole(Revision(2), "nonsense"),
        lines(Revision(0), base_digest, digest, &edits),
        lines(base, digest, digest, &edits),
        lines(base, base_digest, base_digest, &edits),
        lines(base, base_digest, digest, &[LineEdit::Remove { line: 2 }]),
    ];
    let mut messages = Vec::new();
    for delta in refused {
        let mut copy = copy.clone();
        messages.push(copy.apply_delta(&delta).unwrap_err().to_string());
        assert_eq!(copy.rules().text(), rules_state.rules().text());
        assert_eq!(copy.revision(), base);
    }
    insta::assert_snapshot!(messages.join("\n"));
    for accepted in [
        lines(base, base_digest, digest, &edits),
        whole(Revision(9), ""),
    ] {
        assert_eq!(copy.clone().apply_delta(&accepted), Ok(true));
    }
    assert_eq!(copy.clone().apply_delta(&rules_state.whole()), Ok(false));
    let ahead = rules_state.delta_since(Revision(5));
    assert_eq!(ahead, Delta::Current { revision: base });
    assert!(matches!(copy.clone().apply_delta(&ahead), Ok(false)));
    let lower = copy.clone().apply_delta(&whole(Revision(0), ""));
    assert!(matches!(lower, Err(DeltaError::Lower { .. })));
}

/// Guards against a one-line edit that makes every entry fetch the whole file.
#[test]
fn small_changes_are_sent_as_line_edits() {
    let (mut rules_state, _) = state_with_copy();
    let mut text = rules_state.rules().text().to_string();
    text.push_str("keys remember 48h # asked by Jonas\n");
    let reply = rules_state.apply(START, edit(2, None, Change::ReplaceAll(text)));
    assert_eq!(
        reply,
        EditReply::Accepted {
            revision: Revision(2)
        }
    );
    for (since, count) in [(0, 2), (1, 1)] {
        let Delta::Lines { line_edits, .. } = rules_state.delta_since(Revision(since)) else {
            panic!("an entry at revision {since} should get line edits");
        };
        assert_eq!(line_edits.len(), count);
    }
}

/// Guards against restoring a corrupt snapshot or one of a newer version.
#[test]
fn invalid_snapshots_are_refused() {
    let (rules_state, _) = state_with_copy();
    let snapshot = rules_state.snapshot();
    let mut newer = snapshot.clone();
    newer[0] += 1;
    assert_eq!(
        RulesState::restore(&newer).unwrap_err(),
        SnapshotError::NewerVersion(2)
    );
    for end in 0..snapshot.len() {
        assert!(
            RulesState::restore(&snapshot[..end]).is_err(),
            "the first {end} bytes were accepted"
        );
    }
    let mut longer = snapshot;
    longer.push(0);
    assert_eq!(
        RulesState::restore(&longer).unwrap_err(),
        SnapshotError::Malformed
    );
}
