//! Guards the grant protocol by exhaustive search, and the search by seeded faults.

use auburnbridge_spec::ledger::{Bounds, Exploration, Fault, Specification, Violation};

const CALM: Bounds = Bounds {
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
    ..CALM
};

const DISK_LOSS: Bounds = Bounds {
    disk_losses: 1,
    elections: 1,
    ..CALM
};

/// Explores and compares with the number of states; a changed number means that the search covers
/// something else, such as a step that can no longer happen.
fn assert_holds(bounds: Bounds, states: usize) {
    let specification = Specification {
        bounds,
        fault: None,
    };
    let violation = None;
    assert_eq!(
        specification.explore(),
        Exploration { states, violation },
        "{bounds:?}"
    );
}

/// Guards against a second execution or a false `not-run` when entries crash or freeze and
/// deadlines pass, with two resends.
#[test]
fn holds_when_entries_fail() {
    let bounds = Bounds {
        sends: 3,
        entry_crashes: 2,
        expiries: 3,
        ..CALM
    };
    assert_holds(bounds, 95_532);
}

/// Guards against a grant that a crashed keeper forgets.
#[test]
fn holds_when_a_keeper_crashes() {
    assert_holds(KEEPER_CRASH, 77_994);
}

/// Guards against a grant that is lost with a disk.
#[test]
fn holds_when_a_disk_is_lost() {
    assert_holds(DISK_LOSS, 97_651);
}

/// Guards against a grant that is lost with a second disk, right after the repair of the first.
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

/// Guards against a search that can't see a keeper that confirms what it has not synced.
#[test]
fn finds_a_grant_before_the_sync() {
    assert_found(Fault::GrantBeforeSync, KEEPER_CRASH, Violation::RanTwice);
}

/// Guards against a search that can't see a keeper that votes with an empty disk.
#[test]
fn finds_an_amnesiac_voter() {
    assert_found(Fault::AmnesiacVoter, DISK_LOSS, Violation::RanTwice);
}

/// Guards against a search that can't see a broken rule of the ledger or of an entry, and against
/// bounds within which the unbroken rules fail too.
#[test]
fn finds_each_broken_rule_of_ledger_and_entries() {
    let resent_twice = Bounds { sends: 3, ..CALM };
    let expiry = Bounds {
        expiries: 1,
        ..CALM
    };
    let twice = Violation::RanTwice;
    let despite = Violation::RanDespiteNotRun;
    for (fault, bounds, violations) in [
        (Fault::ForeignWithdraw, resent_twice, &[twice, despite][..]),
        (Fault::DeadConnectionNotRun, CALM, &[twice, despite]),
        (Fault::FreedAfterDeadline, expiry, &[twice, despite]),
        (Fault::RefusedResendNotRun, CALM, &[despite]),
        (Fault::EarlierSendGranted, CALM, &[despite]),
    ] {
        let sound = Specification {
            bounds,
            fault: None,
        };
        assert_eq!(sound.explore().violation, None, "{bounds:?}");
        for violation in violations {
            assert_found(fault, bounds, *violation);
        }
    }
}
