//! Checks the grant protocol by exhaustive search, and checks the search by injecting faults.

use auburnbridge_spec::ledger::{Bounds, Fault, Report, Specification, Violation};

const NO_FAILURES: Bounds = Bounds {
    sends: 2,
    entry_crashes: 0,
    keeper_crashes: 0,
    disk_losses: 0,
    elections: 0,
    expiries: 0,
};

const KEEPER_CRASH: Bounds = Bounds {
    keeper_crashes: 1,
    elections: 1,
    ..NO_FAILURES
};

const DISK_LOSS: Bounds = Bounds {
    disk_losses: 1,
    elections: 1,
    ..NO_FAILURES
};

/// Asserts that no state violates an invariant. The exact number of states detects a search that
/// covers something else than before, for example because a step can no longer happen.
fn assert_holds(bounds: Bounds, states: usize) {
    let specification = Specification {
        bounds,
        fault: None,
    };
    let violation = None;
    assert_eq!(
        specification.explore(),
        Report { states, violation },
        "{bounds:?}"
    );
}

/// Guards against a second execution or an incorrect `not-run` when the caller resends twice,
/// entries crash or freeze, and deadlines pass.
#[test]
fn holds_when_entries_fail() {
    let bounds = Bounds {
        sends: 3,
        entry_crashes: 2,
        expiries: 3,
        ..NO_FAILURES
    };
    assert_holds(bounds, 95_532);
}

/// Guards against losing a grant when a keeper crashes.
#[test]
fn holds_when_a_keeper_crashes() {
    assert_holds(KEEPER_CRASH, 77_994);
}

/// Guards against losing a grant when a keeper's disk is lost.
#[test]
fn holds_when_a_disk_is_lost() {
    assert_holds(DISK_LOSS, 97_651);
}

/// Guards against losing a grant when a second disk is lost right after the first was repaired.
#[test]
fn holds_when_a_second_disk_is_lost_after_a_repair() {
    let bounds = Bounds {
        disk_losses: 2,
        ..DISK_LOSS
    };
    assert_holds(bounds, 189_013);
}

fn assert_found(fault: Fault, bounds: Bounds, violation: Violation) {
    let specification = Specification {
        bounds,
        fault: Some(fault),
    };
    let found = specification.explore_for(violation).violation;
    assert_eq!(found, Some(violation), "{fault:?}");
}

/// Guards against a search that misses a keeper that acknowledges a command before syncing it.
#[test]
fn finds_a_grant_before_its_sync() {
    assert_found(Fault::GrantBeforeSync, KEEPER_CRASH, Violation::RanTwice);
}

/// Guards against a search that misses a keeper that votes with an empty disk.
#[test]
fn finds_a_vote_with_an_empty_disk() {
    assert_found(Fault::EmptyDiskVotes, DISK_LOSS, Violation::RanTwice);
}

/// Guards against a search that misses a broken rule of the ledger or of an entry, and against
/// bounds within which the invariants fail even without a fault.
#[test]
fn finds_each_broken_rule_of_ledger_and_entries() {
    let resent_twice = Bounds {
        sends: 3,
        ..NO_FAILURES
    };
    let one_expiry = Bounds {
        expiries: 1,
        ..NO_FAILURES
    };
    let ran_twice = Violation::RanTwice;
    let despite_not_run = Violation::RanDespiteNotRun;
    for (fault, bounds, violations) in [
        (
            Fault::WithdrawByNonHolder,
            resent_twice,
            &[ran_twice, despite_not_run][..],
        ),
        (
            Fault::LostConnectionNotRun,
            NO_FAILURES,
            &[ran_twice, despite_not_run],
        ),
        (
            Fault::RegrantAfterDeadline,
            one_expiry,
            &[ran_twice, despite_not_run],
        ),
        (Fault::UnaskedResendNotRun, NO_FAILURES, &[despite_not_run]),
        (Fault::EarlierSendGranted, NO_FAILURES, &[despite_not_run]),
    ] {
        let without_fault = Specification {
            bounds,
            fault: None,
        };
        assert_eq!(without_fault.explore().violation, None, "{bounds:?}");
        for violation in violations {
            assert_found(fault, bounds, *violation);
        }
    }
}
