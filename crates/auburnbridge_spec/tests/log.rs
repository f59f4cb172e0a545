//! Checks the model of the replicated log by exhaustive search, and the search by injecting faults.

use auburnbridge_spec::log::{Bounds, Fault, Report, Violation, explore};

const VOTES_AND_CRASHES: Bounds = Bounds {
    terms: 2,
    records: 1,
    edits: 1,
    copies: 1,
    crashes: 1,
    replaces_disk: false,
};
const RESENT_EDITS: Bounds = Bounds {
    records: 2,
    copies: 2,
    crashes: 0,
    ..VOTES_AND_CRASHES
};
const CONCURRENT_EDITS: Bounds = Bounds {
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
const REPAIR_AND_RESENDS: Bounds = Bounds {
    records: 4,
    copies: 2,
    ..REPAIR
};
const REPAIR_AND_TERMS: Bounds = Bounds { terms: 3, ..REPAIR };

/// Asserts that no order of steps violates an invariant. The exact number of states detects a
/// search that a changed rule has silently cut short.
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
fn resent_edits_are_applied_once() {
    check_all_states(RESENT_EDITS, 20_508, 0);
}

#[test]
fn concurrent_edits_keep_one_order() {
    check_all_states(CONCURRENT_EDITS, 76_036, 0);
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
fn an_empty_disk_is_repaired_despite_resent_edits() {
    check_all_states(REPAIR_AND_RESENDS, 298_959, 44_004);
}

#[test]
fn an_empty_disk_is_repaired_across_terms() {
    check_all_states(REPAIR_AND_TERMS, 380_497, 36_570);
}

/// Guards against a search that misses a broken rule: each injected fault must be detected.
#[test]
fn finds_injected_faults() {
    let cases = [
        (
            VOTES_AND_CRASHES,
            Fault::VoteBeforeSync,
            Violation::TwoLeaders,
        ),
        (REPAIR, Fault::EmptyDiskVotes, Violation::TwoLeaders),
        (
            MANY_TERMS,
            Fault::CommitOlderTerm,
            Violation::CommittedChanged,
        ),
        (
            RESENT_EDITS,
            Fault::ReapplyResentEdit,
            Violation::AppliedTwice,
        ),
    ];
    for (bounds, fault, violation) in cases {
        let report = explore(bounds, Some(fault));
        assert_eq!(report.violation, Some(violation), "{fault:?}: {report:?}");
    }
}
