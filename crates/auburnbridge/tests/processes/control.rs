//! Tests of the rules, the group of keepers, departures of targets and the stored state on real
//! processes.

use crate::fleet::{Fleet, RULES, key, outcome};

const EXTRA_ROUTE: &str =
    "route GET /catalogue to stock idempotent timeout 3s # asked by the tests\n";

fn serves_catalogue(fleet: &Fleet, entry: usize) -> bool {
    fleet
        .get(entry, "/catalogue")
        .is_ok_and(|response| response.status == 200)
}

/// Guards against an accepted line that never comes into force on some entry: one that was frozen when
/// the line was accepted, or one that restarts while the keepers are down.
#[test]
fn accepted_rules_reach_every_entry_and_survive_restarts() {
    let mut fleet = Fleet::ready(3);
    fleet.entries[2].freeze();
    fleet.put_rules(&format!("{RULES}{EXTRA_ROUTE}"));
    for entry in 0..2 {
        fleet.wait_until("the line is in force", |fleet| {
            serves_catalogue(fleet, entry)
        });
    }
    fleet.entries[2].thaw();
    fleet.wait_until("the line is in force on the thawed entry", |fleet| {
        serves_catalogue(fleet, 2)
    });

    for keeper in &mut fleet.keepers {
        keeper.kill();
    }
    fleet.entries[0].kill();
    fleet.entries[0].restart();
    fleet.wait_until(
        "the restarted entry gets the rules from the other entries",
        |fleet| serves_catalogue(fleet, 0),
    );
    for keeper in &mut fleet.keepers {
        keeper.restart();
    }
    fleet.wait_until("a restarted keeper returns the rules", |fleet| {
        (0..3).any(|keeper| {
            fleet
                .rules_command(keeper, &["get"])
                .is_ok_and(|text| text.contains("/catalogue"))
        })
    });
    assert!(serves_catalogue(&fleet, 1), "the line must not revert");
}

/// Guards against a lost or repeated edit: a resend of an edit whose answer was lost gets the first
/// answer, a stale edit is refused, and of concurrent edits to one revision at most one is accepted.
#[test]
fn edits_are_applied_once_and_stale_ones_are_refused() {
    let fleet = Fleet::start(0);
    fleet.put_rules(RULES);
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), format!("{RULES}{EXTRA_ROUTE}")).unwrap();
    let path = file.path().to_str().unwrap();
    let edit_id = key();
    let put = |keeper| {
        let arguments = [
            "put",
            "--file",
            path,
            "--revision",
            "1",
            "--edit-id",
            &edit_id,
        ];
        fleet.rules_command(keeper, &arguments)
    };
    let mut first = None;
    fleet.wait_until("the edit is accepted", |_| {
        first = put(0).ok();
        first.is_some()
    });
    let mut again = None;
    fleet.wait_until("the resend through another keeper is answered", |_| {
        again = put(1).ok();
        again.is_some()
    });
    assert!(first.unwrap().contains("\"revision\":2"));
    assert!(
        again.unwrap().contains("\"revision\":2"),
        "the resend gets the first answer"
    );

    let stale = ["put", "--file", path, "--revision", "1"];
    let error = fleet.rules_command(2, &stale).unwrap_err();
    assert!(error.contains("412"), "{error}");

    let accepted: Vec<bool> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..3)
            .map(|keeper| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let arguments = ["put", "--file", path, "--revision", "2"];
                    fleet.rules_command(keeper, &arguments).is_ok()
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let accepted_count = accepted.iter().filter(|accepted| **accepted).count();
    assert!(
        accepted_count <= 1,
        "{accepted_count} of three concurrent edits were accepted"
    );
}

/// Guards against lost state when a keeper loses its disk, is replaced, and then a second keeper loses
/// its disk: accepted rules must still be there, and no key may run again.
#[test]
fn repair_followed_by_a_second_loss_loses_nothing() {
    let mut fleet = Fleet::ready(1);
    let ran = key();
    assert_eq!(
        fleet.post(0, "/slips", &ran, "ward 3", "0").unwrap().status,
        200
    );
    fleet.put_rules(&format!("{RULES}{EXTRA_ROUTE}"));

    fleet.keepers[2].kill();
    fleet.remove_data_folder(2);
    fleet.keepers[2].restart();
    fleet.wait_until("the replaced keeper is a voter", |fleet| {
        fleet.keepers[2].log().matches("is a voter").count() == 2
    });
    fleet.keepers[1].kill();
    fleet.remove_data_folder(1);

    let mut resend = None;
    fleet.wait_until("the remaining keepers answer", |fleet| {
        let response = fleet.post(0, "/slips", &ran, "ward 3", "1").unwrap();
        let is_answered = response.status == 200;
        resend = Some(response);
        is_answered
    });
    assert_eq!(
        resend.unwrap().headers.text("Auburnbridge-Replayed"),
        Some("true")
    );
    assert_eq!(fleet.executions(&ran), 1);
    fleet.wait_until("the accepted line is in force", |fleet| {
        serves_catalogue(fleet, 0)
    });
    let new = key();
    assert_eq!(
        fleet.post(0, "/slips", &new, "ward 4", "0").unwrap().status,
        200
    );
}

/// Guards against new requests to a leaving target, from any entry and whichever entry it notified.
#[test]
fn leaving_target_gets_no_new_work() {
    let fleet = Fleet::ready(3);
    async_std::task::block_on(fleet.targets["stock-0"].leave());
    for entry in 0..3 {
        fleet.wait_until("the entry knows of the departure", |fleet| {
            fleet.entries[entry]
                .log()
                .contains("target=stock-0 action=remove")
        });
    }
    for lookup in 0..30 {
        let path = format!("/bins/after-{lookup}");
        assert_eq!(fleet.get(lookup % 3, &path).unwrap().status, 200);
        let executions = fleet.targets["stock-0"].executions();
        assert!(
            !executions.contains_key(&path),
            "{path} ran on the leaving target"
        );
    }
}

/// Guards against lost rules and lost ledger entries when all keepers and entries are killed after
/// many changes and started again.
#[test]
fn everything_restarts_as_it_was() {
    let mut fleet = Fleet::ready(1);
    for change in 0..20 {
        let line = format!(
            "route GET /extra/{change} to stock idempotent timeout 1s # asked by the tests\n"
        );
        fleet.put_rules(&format!("{RULES}{EXTRA_ROUTE}{line}"));
    }
    let ran = key();
    assert_eq!(
        fleet.post(0, "/slips", &ran, "ward 3", "0").unwrap().status,
        200
    );
    let before = fleet.rules_command(0, &["get"]).unwrap();
    for process in fleet.keepers.iter_mut().chain(&mut fleet.entries) {
        process.kill();
    }
    for process in fleet.keepers.iter_mut().chain(&mut fleet.entries) {
        process.restart();
    }
    fleet.wait_until("the rules are as they were", |fleet| {
        fleet
            .rules_command(0, &["get"])
            .is_ok_and(|after| after == before)
    });
    fleet.wait_until("the entry serves the key's stored answer", |fleet| {
        fleet
            .post(0, "/slips", &ran, "ward 3", "1")
            .is_ok_and(|response| {
                assert_ne!(outcome(&response), Some("not-run"));
                response.status == 200
            })
    });
    assert_eq!(fleet.executions(&ran), 1);
}

/// Guards against a second run of a keyed request that is sent again after its route was moved to
/// another service.
#[test]
fn resend_after_its_route_moved_does_not_run_again() {
    let fleet = Fleet::ready(1);
    let ran = key();
    let first = fleet.post(0, "/slips", &ran, "ward 3", "0").unwrap();
    assert_eq!(first.status, 200);
    fleet.put_rules(&RULES.replace("/slips to dispatch", "/slips to stock"));
    fleet.wait_until("the route has moved", |fleet| {
        fleet
            .post(0, "/slips", &key(), "ward 4", "0")
            .is_ok_and(|response| String::from_utf8_lossy(&response.body).contains("stock-"))
    });
    let resend = fleet.post(0, "/slips", &ran, "ward 3", "1").unwrap();
    assert_eq!(*resend.body, *first.body);
    assert_eq!(fleet.executions(&ran), 1);
}

/// Guards against a keeper that starts from an old copy of its data folder and votes, or keeps running
/// without an error.
#[test]
fn old_copy_of_a_folder_ends_with_an_error() {
    let mut fleet = Fleet::ready(1);
    fleet.keepers[2].kill();
    fleet.copy_data_folder(2, "old-copy");
    fleet.keepers[2].restart();
    fleet.wait_until("the second start is confirmed by the peers", |fleet| {
        fleet.keepers[2]
            .log()
            .matches("start confirmed by its peers")
            .count()
            >= 2
    });
    let ran = key();
    assert_eq!(
        fleet.post(0, "/slips", &ran, "ward 3", "0").unwrap().status,
        200
    );
    fleet.keepers[2].kill();
    fleet.restore_data_folder(2, "old-copy");
    for _ in 0..2 {
        fleet.keepers[2].restart();
        assert!(
            !fleet.keepers[2].wait(),
            "the keeper must exit with a failure"
        );
        assert!(
            fleet.keepers[2]
                .log()
                .contains("error: the keeper can't run: the data folder is an old copy")
        );
    }
    let resend = fleet.post(0, "/slips", &ran, "ward 3", "1").unwrap();
    assert_eq!(resend.headers.text("Auburnbridge-Replayed"), Some("true"));
}
