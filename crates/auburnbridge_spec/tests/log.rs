//! Exhaustive search of the specification of the replicated log.

use auburnbridge_spec::log::{Bounds, Fault, Report, Violation, explore};

const VOTES_AND_CRASHES: Bounds = Bounds {
    terms: 2,
    records: 1,
    edits: 1,
    copies: 1,
    crashes: 1,
    replaces_disk: false,
};
const REPEATED_EDITS: Bounds = Bounds {
    records: 2,
    copies: 2,
    crashes: 0,
    ..VOTES_AND_CRASHES
};
const RACING_EDITS: Bounds = Bounds {
    terms: 3,
    edits: 2,
    crashes: 0,
    ..VOTES_AND_CRASHES
};
const MANY_TERMS: Bounds = Bounds {
    terms: 4,
    crashes: 0,
    ..VOTES_AND_CRASHES
};
const REPAIR: Bounds = Bounds {
    records: 3,
    crashes: 0,
    replaces_disk: true,
    ..VOTES_AND_CRASHES
};
const REPAIR_AND_REPEATS: Bounds = Bounds {
    records: 4,
    copies: 2,
    ..REPAIR
};
const REPAIR_AND_TERMS: Bounds = Bounds { terms: 3, ..REPAIR };

/// Guards against a protocol that breaks an invariant in some order of steps. The number of states
/// guards against a search that a changed rule has silently cut short.
fn check_all_states(bounds: Bounds, states: usize, repaired_states: usize) {
    let expected = Report {
        states,
        repaired_states,
        violation: None,
    };
    assert_eq!(explore(bounds, None), expected);
}

#[test]
fn votes_survive_crashes() {
    check_all_states(VOTES_AND_CRASHES, 42_819, 0);
}

#[test]
fn repeated_edits_take_effect_once() {
    check_all_states(REPEATED_EDITS, 20_508, 0);
}

#[test]
fn racing_edits_keep_one_order() {
    check_all_states(RACING_EDITS, 76_036, 0);
}

#[test]
fn committed_records_survive_many_terms() {
    check_all_states(MANY_TERMS, 265_802, 0);
}

#[test]
fn an_empty_disk_is_repaired() {
    check_all_states(REPAIR, 42_180, 4_290);
}

#[test]
fn an_empty_disk_is_repaired_despite_repeated_edits() {
    check_all_states(REPAIR_AND_REPEATS, 298_959, 44_004);
}

#[test]
fn an_empty_disk_is_repaired_across_terms() {
    check_all_states(REPAIR_AND_TERMS, 380_497, 36_570);
}

/// Guards against a search that can't see a broken rule: each seeded fault must be found.
#[test]
fn finds_seeded_faults() {
    let cases = [
        (
            VOTES_AND_CRASHES,
            Fault::VoteBeforeSync,
            Violation::TwoLeaders,
        ),
        (REPAIR, Fault::AmnesiacVote, Violation::TwoLeaders),
        (
            MANY_TERMS,
            Fault::CommitOlderTerm,
            Violation::CommittedChanged,
        ),
        (REPEATED_EDITS, Fault::EffectPerCopy, Violation::EffectTwice),
    ];
    for (bounds, fault, violation) in cases {
        let report = explore(bounds, Some(fault));
        assert_eq!(report.violation, Some(violation), "{fault:?}: {report:?}");
    }
}
