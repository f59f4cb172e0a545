//! Guards the path from an operator's configuration and a target's announcement to a caller's
//! answer, with keepers and gateways that are killed, emptied and stopped.

use std::fs;
use std::thread;
use std::time::Duration;

use crate::platform_fleet::{PlatformFleet, SealingTarget, eventually};
use crate::wire::{CONFIG, FOREIGN_ANNOUNCEMENT, LEAVING, READY, document, target_path};

fn served(fleet: &PlatformFleet, gateway: u8, path: &str) -> bool {
    fleet.send(gateway, "POST", path) == Some(200)
}

/// Starts a fleet whose gateways serve `/a/` with one target.
fn serving_fleet(first_vm: u8, controls: u8) -> (PlatformFleet, SealingTarget) {
    let fleet = PlatformFleet::start(first_vm, controls, 2);
    let target = SealingTarget::start();
    fleet.publish(&document(1, "/a/"));
    let body = target.announcement(READY, 1);
    fleet.call_any("PUT", &target_path("i-1"), &body, 200);
    for gateway in 0..2 {
        eventually("the gateway serves nothing", || {
            served(&fleet, gateway, "/a/x")
        });
        assert!(fleet.is_ready(gateway));
    }
    (fleet, target)
}

/// Guards against a path that works only in one process, a configuration that is read back in other
/// bytes, and invalid input that is acknowledged.
#[test]
fn configuration_and_announcement_reach_callers() {
    let (fleet, _target) = serving_fleet(10, 3);
    assert_eq!(
        fleet.call_any("GET", CONFIG, "", 200),
        document(1, "/a/").into_bytes()
    );
    assert_eq!(fleet.send(0, "POST", "/b/x"), Some(404));
    let cut = &document(2, "/b/")[..200];
    assert_eq!(fleet.call(0, "PUT", CONFIG, cut).unwrap().status, 400);
    let path = target_path("i-9");
    let refused = fleet.call(1, "PUT", &path, FOREIGN_ANNOUNCEMENT).unwrap();
    assert_eq!(refused.status, 400);
    fleet.publish(&document(2, "/b/"));
    // An older version is acknowledged and changes nothing.
    fleet.publish(&document(1, "/a/"));
    eventually("version 2 is not in force", || served(&fleet, 1, "/b/x"));
    assert_eq!(
        fleet.call_any("GET", CONFIG, "", 200),
        document(2, "/b/").into_bytes()
    );
    assert!(fleet.metrics(1).contains("auburnbridge_requests_total"));
    let log = fleet.log("gateway-1");
    let request = log
        .lines()
        .find(|line| line.contains("\"message\":\"request\""));
    assert!(
        request.is_some_and(|line| line.contains("\"attempt\":\"a-1\"")),
        "{log}"
    );
}

/// Guards against a target that gets work after its departure was acknowledged.
#[test]
fn departed_target_gets_no_work() {
    let (fleet, first) = serving_fleet(50, 3);
    let second = SealingTarget::start();
    let body = second.announcement(READY, 1);
    fleet.call_any("PUT", &target_path("i-2"), &body, 200);
    eventually("the second target gets no work", || {
        served(&fleet, 0, "/a/x") && *second.runs.lock() > 0
    });
    let body = first.announcement(LEAVING, 2);
    fleet.call_any("PUT", &target_path("i-1"), &body, 200);
    thread::sleep(Duration::from_secs(1));
    let runs = *first.runs.lock();
    for _ in 0..20 {
        assert!(served(&fleet, 0, "/a/x") && served(&fleet, 1, "/a/x"));
    }
    assert_eq!(*first.runs.lock(), runs);
    fleet.call_any("DELETE", &target_path("i-2"), "", 200);
    eventually("the second target still gets work", || {
        fleet.send(0, "POST", "/a/x") == Some(503)
    });
}

/// Guards against an acknowledged configuration that is lost with all keepers, and against gateways
/// that stop serving without them.
#[test]
fn all_keepers_killed_and_back() {
    let (mut fleet, _target) = serving_fleet(90, 3);
    fleet.publish(&document(5, "/c/"));
    for gateway in 0..2 {
        eventually("version 5 is not in force", || {
            served(&fleet, gateway, "/c/x")
        });
    }
    for control in &mut fleet.controls {
        control.kill();
    }
    assert!(served(&fleet, 0, "/c/x") && served(&fleet, 1, "/c/x"));
    for control in &mut fleet.controls {
        control.start();
    }
    assert_eq!(
        fleet.call_any("GET", CONFIG, "", 200),
        document(5, "/c/").into_bytes()
    );
    fleet.publish(&document(6, "/d/"));
    eventually("version 6 is not in force", || served(&fleet, 1, "/d/x"));
}

/// Guards against a keeper that lost its disk and founds a group of its own, and against the loss of
/// a second one right after the repair.
#[test]
fn emptied_keeper_joins_again_and_counts() {
    let (mut fleet, _target) = serving_fleet(130, 3);
    fleet.publish(&document(5, "/c/"));
    fleet.controls[0].kill();
    fs::remove_dir_all(fleet.data_folder(0)).unwrap();
    fleet.write_control_settings(0, false);
    fleet.controls[0].start();
    eventually("the emptied keeper doesn't read", || {
        fleet
            .call(0, "GET", CONFIG, "")
            .is_some_and(|response| response.status == 200)
    });
    eventually("the emptied keeper is no voter", || {
        // The first line is of the start before.
        fleet.log("control-0").matches("is a voter").count() == 2
    });
    fleet.controls[1].kill();
    fleet.publish(&document(6, "/d/"));
    assert_eq!(
        fleet.call_any("GET", CONFIG, "", 200),
        document(6, "/d/").into_bytes()
    );
}

/// Guards against keepers beyond the three seeds that stay outside the group.
#[test]
fn keepers_beyond_the_seeds_join() {
    let (fleet, _target) = serving_fleet(170, 5);
    for number in 3..5 {
        eventually("a keeper beyond the seeds is no voter", || {
            fleet
                .log(&format!("control-{number}"))
                .contains("is a voter")
        });
        let response = fleet.call(number, "GET", CONFIG, "").unwrap();
        assert_eq!(response.status, 200);
    }
}

/// Guards against a stop that cuts a request off, and against one that takes new work for long.
#[test]
fn stopped_gateway_finishes_its_requests() {
    let (mut fleet, target) = serving_fleet(210, 3);
    let runs = *target.runs.lock();
    let status = thread::scope(|scope| {
        let slow = scope.spawn(|| fleet.send(0, "POST", "/a/slow"));
        eventually("the slow request was not sent", || {
            *target.runs.lock() > runs
        });
        fleet.gateways[0].terminate();
        eventually("the gateway is still ready", || !fleet.is_ready(0));
        slow.join().unwrap()
    });
    assert_eq!(status, Some(200));
    assert!(fleet.gateways[0].wait());
}
