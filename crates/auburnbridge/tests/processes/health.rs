//! Tests of ejection, reinstatement, the slots floor and readiness on real processes.

use std::sync::atomic::{AtomicUsize, Ordering};

use auburnbridge_standin::Fault;

use crate::fleet::{Fleet, key, request};

/// Guards against a failing target that still gets requests, and against one that gets none after it
/// has recovered.
#[test]
fn failing_target_is_ejected_and_reinstated() {
    let fleet = Fleet::ready(2);
    fleet.targets["stock-0"].set_fault(Fault::CloseAfterRun);
    fleet.wait_until("the entry ejects the target", |fleet| {
        let lookup = fleet.get(0, "/bins/sick").unwrap();
        assert!(
            lookup.status == 200 || lookup.status == 502,
            "{}",
            lookup.status
        );
        fleet.entries[0]
            .log()
            .contains("target=stock-0 action=eject")
    });
    for lookup in 0..20 {
        let path = format!("/bins/after-{lookup}");
        assert_eq!(fleet.get(0, &path).unwrap().status, 200);
    }
    fleet.targets["stock-0"].set_fault(Fault::None);
    fleet.wait_until("the entry reinstates the target", |fleet| {
        fleet.get(0, "/bins/well").unwrap();
        fleet.entries[0]
            .log()
            .contains("target=stock-0 action=reinstate")
    });
}

/// Guards against ejections below the slots floor when every target fails, which would leave no target
/// to serve once they recover.
#[test]
fn floor_keeps_targets_in_use_when_all_fail() {
    let fleet = Fleet::ready(1);
    for name in ["stock-0", "stock-1"] {
        fleet.targets[name].set_fault(Fault::CloseAfterRun);
    }
    fleet.wait_until("one target is ejected", |fleet| {
        let _ = fleet.get(0, "/bins/sick");
        fleet.entries[0].log().contains("action=eject")
    });
    for lookup in 0..30 {
        let _ = fleet.get(0, &format!("/bins/sick-{lookup}"));
    }
    for name in ["stock-0", "stock-1"] {
        fleet.targets[name].set_fault(Fault::None);
    }
    assert_eq!(fleet.get(0, "/bins/well").unwrap().status, 200);
    let log = fleet.entries[0].log();
    let lowest = log
        .lines()
        .filter(|line| line.contains("service=stock"))
        .filter_map(|line| line.split("in_use=").nth(1))
        .filter_map(|rest| rest.split(' ').next())
        .map(|slots| slots.parse::<u32>().unwrap())
        .skip(2)
        .min();
    assert!(lowest >= Some(3), "{lowest:?} slots in use, floor 3");
}

fn is_ready(fleet: &Fleet, entry: usize) -> bool {
    fleet
        .send(entry, &request("GET", "/auburnbridge/ready"))
        .is_ok_and(|response| response.status == 200)
}

/// Guards against an isolated entry that reports itself ready, and against entries that all report
/// themselves not ready because the keepers are down.
#[test]
fn only_an_isolated_entry_is_not_ready() {
    let mut fleet = Fleet::ready(2);
    for keeper in &mut fleet.keepers {
        keeper.kill();
    }
    fleet.wait_until("the entry notices that the keepers are down", |fleet| {
        fleet.post(0, "/slips", &key(), "ward", "0").unwrap().status == 503
    });
    assert!(is_ready(&fleet, 0) && is_ready(&fleet, 1));
    fleet.entries[1].freeze();
    fleet.wait_until("the isolated entry is not ready", |fleet| {
        !is_ready(fleet, 0)
    });
    assert_eq!(
        fleet.get(0, "/bins/1").unwrap().status,
        200,
        "an entry that is not ready still serves"
    );
    fleet.entries[1].thaw();
    fleet.wait_until("the entry is ready again", |fleet| is_ready(fleet, 0));
}

/// Guards against keyed requests that are refused during a planned restart of the leading keeper.
#[test]
fn rolling_restart_of_the_keepers_refuses_no_keyed_request() {
    let mut fleet = Fleet::ready(1);
    for keeper in 0..3 {
        fleet.keepers[keeper].terminate();
        let exited_with_success = fleet.keepers[keeper].wait();
        assert!(exited_with_success, "{}", fleet.keepers[keeper].log());
        for _ in 0..5 {
            let key = key();
            let slip = fleet.post(0, "/slips", &key, "ward", "0").unwrap();
            assert_eq!(slip.status, 200, "{}", String::from_utf8_lossy(&slip.body));
            assert_eq!(fleet.executions(&key), 1);
        }
        fleet.keepers[keeper].restart();
        fleet.wait_until("the keeper's restart is confirmed by its peers", |fleet| {
            fleet.keepers[keeper]
                .log()
                .matches("start confirmed by its peers")
                .count()
                >= 2
        });
    }
}

/// Guards against starvation of a keyed request while far more lookups wait than the targets have
/// slots.
#[test]
fn keyed_request_goes_before_waiting_lookups() {
    const LOOKUPS: usize = 60;
    const WORK_MS: &str = "200";
    let mut fleet = Fleet::start(1);
    // One service for both routes, so that their requests compete for the same slots.
    fleet.put_rules(
        "service stock slots-floor 3 slots-per-target 3 ejection careful # asked by the tests\n\
         route GET /bins/* to stock idempotent timeout 30s # asked by the tests\n\
         route POST /reservations to stock once timeout 30s # asked by the tests\n",
    );
    fleet.add_target("stock-0");
    fleet.wait_until("the entry serves lookups", |fleet| {
        fleet
            .get(0, "/bins/1")
            .is_ok_and(|response| response.status == 200)
    });
    let answered = AtomicUsize::new(0);
    let answered_before_reservation = std::thread::scope(|scope| {
        let (fleet, answered) = (&fleet, &answered);
        for lookup in 0..LOOKUPS {
            scope.spawn(move || {
                let mut req = request("GET", &format!("/bins/flood-{lookup}"));
                req.headers.append("Standin-Work-Ms", WORK_MS);
                let response = fleet.send(0, &req).unwrap();
                assert_eq!(response.status, 200);
                answered.fetch_add(1, Ordering::SeqCst);
            });
        }
        fleet.wait_until("the lookups wait for slots", |_| {
            answered.load(Ordering::SeqCst) >= 6
        });
        let reservation = fleet
            .post(0, "/reservations", &key(), "nails", "0")
            .unwrap();
        assert_eq!(reservation.status, 200);
        answered.load(Ordering::SeqCst)
    });
    assert!(
        answered_before_reservation < LOOKUPS / 2,
        "{answered_before_reservation} of {LOOKUPS} lookups were answered before the reservation"
    );
}
