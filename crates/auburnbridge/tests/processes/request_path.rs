//! Tests of the request path on real processes: complete answers, at most one execution of keyed
//! requests, correct outcomes in rejections, and graceful stops.

use std::sync::atomic::{AtomicU32, Ordering};

use crate::fleet::{Fleet, key, outcome, request};
use auburnbridge_policy::poison::CRASHES_ALONE;
use auburnbridge_standin::Fault;

/// Guards against a second run of a keyed request that is sent again through another entry; it must
/// get the stored answer.
#[test]
fn resend_through_another_entry_gets_the_stored_answer() {
    let fleet = Fleet::ready(2);
    let key = key();
    let first = fleet.post(0, "/slips", &key, "ward 3", "0").unwrap();
    let second = fleet.post(1, "/slips", &key, "ward 3", "1").unwrap();
    assert_eq!(first.status, 200);
    assert_eq!(*first.body, *second.body);
    assert_eq!(second.headers.text("Auburnbridge-Replayed"), Some("true"));
    assert_eq!(fleet.executions(&key), 1);

    let reused = fleet.post(1, "/slips", &key, "ward 4", "1").unwrap();
    assert_eq!((reused.status, outcome(&reused)), (422, Some("not-run")));
    assert_eq!(fleet.executions(&key), 1);
}

/// Guards against a second run when the entry that holds the grant is killed while the target runs the
/// request.
#[test]
fn killed_entry_leaves_an_unknown_outcome_and_no_second_run() {
    let fleet = Fleet::ready(2);
    for name in ["dispatch-0", "dispatch-1"] {
        fleet.targets[name].set_fault(Fault::Silent);
    }
    let key = key();
    std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet.post(0, "/slips", &key, "ward 3", "0"));
        fleet.wait_until("the target runs the slip", |fleet| {
            fleet.executions(&key) == 1
        });
        fleet.entries[0].crash();
        assert!(first.join().unwrap().is_err(), "the entry was killed");
    });
    for name in ["dispatch-0", "dispatch-1"] {
        fleet.targets[name].set_fault(Fault::None);
    }
    fleet.wait_until("the grant's deadline has passed", |fleet| {
        let resend = fleet.post(1, "/slips", &key, "ward 3", "1").unwrap();
        assert_eq!((resend.status, outcome(&resend)), (409, Some("unknown")));
        String::from_utf8_lossy(&resend.body).contains("key-outcome-unknown")
    });
    assert_eq!(fleet.executions(&key), 1);
}

/// Guards against a late dispatch and a false outcome when the entry is suspended while it holds the
/// grant and resumes after the grant's deadline.
#[test]
fn frozen_entry_dispatches_nothing_late() {
    let fleet = Fleet::ready(2);
    for name in ["dispatch-0", "dispatch-1"] {
        fleet.targets[name].set_fault(Fault::Shed);
    }
    let key = key();
    std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet.post(0, "/slips", &key, "ward 3", "0"));
        fleet.wait_until("the entry holds the grant and finds no slot", |fleet| {
            fleet.entries[0].log().contains(&format!("key={key} "))
                && fleet.entries[0].log().contains("result=shed")
        });
        fleet.entries[0].freeze();
        fleet.wait_until("the grant's deadline has passed", |fleet| {
            let resend = fleet.post(1, "/slips", &key, "ward 3", "1").unwrap();
            assert_eq!(outcome(&resend), Some("unknown"));
            String::from_utf8_lossy(&resend.body).contains("key-outcome-unknown")
        });
        // The targets shed until here, so a request that the entry sent before it froze did not run.
        for name in ["dispatch-0", "dispatch-1"] {
            fleet.targets[name].set_fault(Fault::None);
        }
        fleet.entries[0].thaw();
        let first = first.join().unwrap().unwrap();
        assert_eq!(outcome(&first), Some("not-run"), "status {}", first.status);
    });
    assert_eq!(fleet.executions(&key), 0);
}

/// Guards against keyed requests that run without a quorum of keepers, and against `not-run` for a
/// resend, whose earlier attempt may have run. Lookups must still be served.
#[test]
fn without_a_quorum_keyed_requests_are_rejected_and_lookups_are_served() {
    let mut fleet = Fleet::ready(1);
    fleet.keepers[1].kill();
    fleet.keepers[2].kill();
    let first = fleet.post(0, "/slips", &key(), "ward 3", "0").unwrap();
    assert_eq!((first.status, outcome(&first)), (503, Some("not-run")));
    let resent_key = key();
    let resend = fleet.post(0, "/slips", &resent_key, "ward 3", "1").unwrap();
    assert_eq!((resend.status, outcome(&resend)), (503, Some("unknown")));
    assert_eq!(fleet.executions(&resent_key), 0);
    assert_eq!(fleet.get(0, "/bins/1").unwrap().status, 200);

    fleet.keepers[1].restart();
    fleet.wait_until("keyed requests run again", |fleet| {
        fleet
            .post(0, "/slips", &key(), "ward 3", "0")
            .is_ok_and(|response| response.status == 200)
    });
}

/// Guards against a truncated answer that reaches a caller as a success.
#[test]
fn truncated_answers_become_rejections_or_retries() {
    let fleet = Fleet::ready(1);
    for name in ["dispatch-0", "dispatch-1"] {
        fleet.targets[name].set_fault(Fault::HalfAnswer);
    }
    let key = key();
    let slip = fleet.post(0, "/slips", &key, "ward 3", "0").unwrap();
    assert_eq!((slip.status, outcome(&slip)), (502, Some("unknown")));
    assert_eq!(fleet.executions(&key), 1);

    fleet.targets["stock-0"].set_fault(Fault::HalfAnswer);
    for _ in 0..20 {
        let lookup = fleet.get(0, "/bins/1").unwrap();
        assert_eq!(lookup.status, 200);
        let body = String::from_utf8(lookup.body.to_vec()).unwrap();
        assert!(body.contains("stock-1"), "{body}");
    }
}

/// Guards against a keyed request that is lost when a target sheds it: the request did not run, so
/// another target may run it, or a resend after its key was withdrawn.
#[test]
fn shed_requests_are_retried_and_withdrawn_keys_are_reusable() {
    let fleet = Fleet::ready(2);
    fleet.targets["dispatch-0"].set_fault(Fault::Shed);
    let moved = key();
    assert_eq!(
        fleet
            .post(0, "/slips", &moved, "ward 3", "0")
            .unwrap()
            .status,
        200
    );
    assert_eq!(fleet.executions(&moved), 1);

    fleet.targets["dispatch-1"].set_fault(Fault::Shed);
    let refused = key();
    let shed = fleet.post(0, "/slips", &refused, "ward 3", "0").unwrap();
    assert_eq!((shed.status, outcome(&shed)), (503, Some("not-run")));
    assert_eq!(fleet.executions(&refused), 0);
    fleet.targets["dispatch-1"].set_fault(Fault::None);
    let resend = fleet.post(1, "/slips", &refused, "ward 3", "1").unwrap();
    assert_eq!(resend.status, 200);
    assert_eq!(fleet.executions(&refused), 1);
}

/// Guards against a request that crashes all targets of a service because each entry and resend tries
/// further targets.
#[test]
fn crashing_request_is_refused_after_crashes_in_a_row() {
    let mut fleet = Fleet::ready(2);
    for name in ["stock-2", "stock-3", "stock-4", "stock-5"] {
        fleet.add_target(name);
    }
    fleet.wait_until("all targets get work", |fleet| {
        let _ = fleet.get(0, "/bins/spread");
        fleet
            .targets
            .iter()
            .filter(|(name, _)| name.starts_with("stock"))
            .all(|(_, target)| target.executions().contains_key("/bins/spread"))
    });
    for (name, target) in &fleet.targets {
        if name.starts_with("stock") {
            target.set_fault(Fault::CrashOn {
                path: "poison".to_owned(),
            });
        }
    }
    let first = fleet.get(0, "/bins/poison").unwrap();
    assert_eq!(outcome(&first), Some("unknown"));
    let resend = fleet.get(1, "/bins/poison").unwrap();
    assert_eq!((resend.status, outcome(&resend)), (422, Some("unknown")));
    assert_eq!(
        fleet.executions("/bins/poison"),
        CRASHES_ALONE,
        "targets that ran the request"
    );
    assert_eq!(fleet.get(1, "/bins/1").unwrap().status, 200);
}

/// Guards against `not-run` for a request that ran, when a retry after that attempt sends no bytes.
#[test]
fn lookup_that_ran_is_never_reported_as_not_run() {
    let mut fleet = Fleet::ready(1);
    fleet.targets["stock-0"].set_fault(Fault::CloseAfterRun);
    let stopped = fleet.targets.get_mut("stock-1").unwrap();
    async_std::task::block_on(stopped.crash());
    for lookup in 0..30 {
        let path = format!("/bins/{lookup}");
        let response = fleet.get(0, &path).unwrap();
        match outcome(&response) {
            Some("not-run") => assert_eq!(fleet.executions(&path), 0, "{path}"),
            outcome => assert_eq!(outcome, Some("unknown"), "{path}"),
        }
    }
}

/// Guards against `not-run` for an unreadable resend of a request that ran.
#[test]
fn unreadable_resend_of_a_request_that_ran_is_unknown() {
    let fleet = Fleet::ready(1);
    let key = key();
    let first = fleet.post(0, "/slips", &key, "ward 3", "0").unwrap();
    assert_eq!(first.status, 200);
    let mut req = request("POST", "/slips");
    req.headers.append("Idempotency-Key", &key);
    req.headers.append("Padding", "x".repeat(40_000));
    let resend = fleet.send(0, &req).unwrap();
    assert_eq!((resend.status, outcome(&resend)), (431, Some("unknown")));
}

/// Guards against requests that are cut off by a planned stop under load.
#[test]
fn rolling_restart_loses_no_request() {
    const MIN_ANSWERED: u32 = 20;
    let mut fleet = Fleet::ready(2);
    for entry in 0..2 {
        let lookups = AtomicU32::new(0);
        let slips = AtomicU32::new(0);
        std::thread::scope(|scope| {
            let (fleet, lookups, slips) = (&fleet, &lookups, &slips);
            // As behind a load balancer, callers send to the entry until it is no longer ready.
            let is_ready = move || {
                fleet
                    .send(entry, &request("GET", "/auburnbridge/ready"))
                    .is_ok_and(|response| response.status == 200)
            };
            scope.spawn(move || {
                while is_ready() {
                    let response = fleet.get(entry, "/bins/1").unwrap();
                    assert_eq!(response.status, 200);
                    lookups.fetch_add(1, Ordering::SeqCst);
                }
            });
            scope.spawn(move || {
                while is_ready() {
                    let key = key();
                    let response = fleet.post(entry, "/slips", &key, "ward", "0").unwrap();
                    assert_eq!(response.status, 200);
                    assert_eq!(fleet.executions(&key), 1);
                    slips.fetch_add(1, Ordering::SeqCst);
                }
            });
            fleet.wait_until("the entry is under load", |_| {
                lookups.load(Ordering::SeqCst) > MIN_ANSWERED
                    && slips.load(Ordering::SeqCst) > MIN_ANSWERED
            });
            fleet.entries[entry].terminate();
        });
        let exited_with_success = fleet.entries[entry].wait();
        assert!(exited_with_success, "{}", fleet.entries[entry].log());
        fleet.entries[entry].restart();
        fleet.wait_until("the entry is ready again", |fleet| {
            fleet
                .get(entry, "/bins/1")
                .is_ok_and(|response| response.status == 200)
        });
    }
}
