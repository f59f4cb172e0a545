//! Guards what a caller hears for each way in which a target can treat its request, and how often
//! targets get it.

mod neighbours;
mod targets;

use std::time::{Duration, Instant};

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use auburnbridge_policy::balance::Finding;
use targets::{Act, OK, OTHER_TARGET, OWN_ERROR, SHED, listen, send, start_gateway, start_target};

/// The status that the caller hears, and the number of requests that the targets got, when every
/// target does `act`.
fn outcome(path: &str, act: Act) -> (u16, usize) {
    block_on(async {
        let first = start_target("t-1", act).await;
        let second = start_target("t-2", act).await;
        let address = listen(&start_gateway(&[&first, &second])).await;
        let response = send(address, path, 1_000).await;
        let count = first.requests.lock().len() + second.requests.lock().len();
        (response.status, count)
    })
}

/// Guards against at-most-once requests that are sent again after they may have run, against "not
/// run" where they may have, and against answers that no target sealed.
#[test]
fn every_treatment_of_an_order() {
    const BARE: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: 2\r\n\r\nok";
    const CODED: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok";
    const CUT: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nContent-Length: 9\r\n\r\nok";
    const BUSY_WHILE_RUNNING: &str =
        "HTTP/1.1 503 Service Unavailable\r\nAttempt: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n";
    const OPEN_END: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\n\r\nok";
    for (act, status, sends) in [
        (Act::Answer(OK), 200, 1),
        (Act::AnswerAndClose(OPEN_END), 200, 1),
        (Act::Answer(OWN_ERROR), 500, 1),
        (Act::Answer(SHED), 503, 2),
        (Act::Answer(OTHER_TARGET), 503, 2),
        (Act::Break, 502, 1),
        (Act::AnswerAndClose(CUT), 502, 1),
        (Act::Answer(BARE), 502, 1),
        (Act::Answer(CODED), 502, 1),
        (Act::Answer(BUSY_WHILE_RUNNING), 502, 1),
        (Act::Hang, 504, 1),
    ] {
        assert_eq!(outcome("/order/1", act), (status, sends), "{act:?}");
    }
}

/// Guards against idempotent requests that are given up after one failure, and against more sends
/// than the route allows.
#[test]
fn every_treatment_of_a_lookup() {
    for (act, status, sends) in [
        (Act::Answer(OK), 200, 1),
        (Act::Answer(SHED), 503, 2),
        (Act::Answer(OWN_ERROR), 500, 2),
        (Act::Break, 502, 2),
    ] {
        assert_eq!(outcome("/lookup/1", act), (status, sends), "{act:?}");
    }
}

/// Guards against a request that stays with a bad target while a good one is there.
#[test]
fn other_target_serves_what_the_first_did_not_run() {
    for (path, act) in [
        ("/order/1", Act::Answer(SHED)),
        ("/order/1", Act::Answer(OTHER_TARGET)),
        ("/lookup/1", Act::Break),
        ("/lookup/1", Act::Answer(OWN_ERROR)),
    ] {
        block_on(async {
            let bad = start_target("t-bad", act).await;
            let good = start_target("t-good", Act::Answer(OK)).await;
            let address = listen(&start_gateway(&[&bad, &good])).await;
            for _ in 0..6 {
                assert_eq!(
                    send(address, path, 1_000).await.status,
                    200,
                    "{path} {act:?}"
                );
            }
        });
    }
}

/// Guards against a lookup that waits for a silent target up to its deadline.
#[test]
fn lookup_leaves_a_silent_target() {
    block_on(async {
        let silent = start_target("t-silent", Act::Hang).await;
        let good = start_target("t-good", Act::Answer(OK)).await;
        let address = listen(&start_gateway(&[&silent, &good])).await;
        for _ in 0..4 {
            assert_eq!(send(address, "/lookup/1", 1_200).await.status, 200);
        }
    });
}

/// Guards against a target that goes on getting orders while it answers none, since the first of them
/// waits for it up to its deadline.
#[test]
fn silence_towards_an_order_is_found_before_its_deadline() {
    block_on(async {
        let silent = start_target("t-silent", Act::Hang).await;
        let gateway = start_gateway(&[&silent]);
        let address = listen(&gateway).await;
        let order = task::spawn(async move { send(address, "/order/1", 1_200).await });
        let gate = gateway.services().get(&"stock".parse().unwrap()).unwrap();
        // Three times the answer time that is assumed at first.
        task::sleep(Duration::from_secs(1)).await;
        let findings = gate.take_unreported();
        assert_eq!(findings.len(), 1);
        assert_eq!(findings[0].finding, Finding::Silent);
        assert_eq!(order.await.status, 504);
    });
}

/// Guards against a target that is left for seconds because one request took long: its silence has
/// counted against it already when the answer comes.
#[test]
fn late_answer_to_an_order_clears_its_silence() {
    block_on(async {
        let late = start_target("t-late", Act::AnswerLate(OK)).await;
        let gateway = start_gateway(&[&late]);
        let address = listen(&gateway).await;
        assert_eq!(send(address, "/order/1", 1_200).await.status, 200);
        let gate = gateway.services().get(&"stock".parse().unwrap()).unwrap();
        let findings: Vec<Finding> = gate
            .take_unreported()
            .iter()
            .map(|told| told.finding)
            .collect();
        assert_eq!(findings, [Finding::Silent, Finding::Answered]);
    });
}

/// Guards against a lookup that is cut off for its target's silence while no other target can take it.
#[test]
fn lookup_without_another_target_waits_for_its_answer() {
    block_on(async {
        let late = start_target("t-late", Act::AnswerLate(OK)).await;
        let address = listen(&start_gateway(&[&late])).await;
        assert_eq!(send(address, "/lookup/1", 1_200).await.status, 200);
        assert_eq!(late.requests.lock().len(), 1);
    });
}

/// Guards against a target that is not named, and against a deadline that is longer than what is
/// left.
#[test]
fn target_gets_its_name_and_the_time_left() {
    block_on(async {
        let target = start_target("t-1", Act::Answer(OK)).await;
        let address = listen(&start_gateway(&[&target])).await;
        send(address, "/order/1?q=%20x", 700).await;
        send(address, "/order/1", 60_000).await;
        let requests = target.requests.lock();
        let left = |at: usize| -> u64 {
            requests[at]
                .headers
                .text("Wait-Ms")
                .unwrap()
                .parse()
                .unwrap()
        };
        assert!(left(0) <= 700 && left(0) > 400, "{}", left(0));
        assert!(
            left(1) <= 1_200,
            "the route's timeout is 1200 ms, not {}",
            left(1)
        );
        assert_eq!(requests[0].headers.text("Expected"), Some("t-1"));
        assert_eq!(requests[0].headers.text("Attempt"), Some("a-7"));
        assert_eq!(requests[0].path, "/order/1?q=%20x");
    });
}

/// Guards against a caller that waits where nothing can serve it, and against a refusal without
/// advice.
#[test]
fn request_without_a_target_is_refused_at_once() {
    block_on(async {
        let address = listen(&start_gateway(&[])).await;
        let begun = Instant::now();
        let response = send(address, "/order/1", 1_000).await;
        assert_eq!(response.status, 503);
        assert!(response.headers.text("Retry-After").is_some());
        assert!(begun.elapsed() < Duration::from_millis(500));
        assert_eq!(send(address, "/elsewhere/", 1_000).await.status, 404);
    });
}

/// Guards against a request that crashes one target after the other.
#[test]
fn request_that_crashed_two_targets_is_refused() {
    block_on(async {
        let target = start_target("t-1", Act::Answer(OK)).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        let mut probe = auburnbridge_http::Request::new("POST", "/order/9");
        probe.headers.append("Host", "h");
        let request = auburnbridge_gateway::digest_of(&probe);
        for name in ["t-8", "t-9"] {
            gateway.record_crash(auburnbridge_policy::CrashReport {
                request,
                target: name.parse().unwrap(),
                incarnation: auburnbridge_types::Incarnation(1),
            });
        }
        assert_eq!(send(address, "/order/9", 1_000).await.status, 503);
        assert!(target.requests.lock().is_empty());
        assert_eq!(send(address, "/order/8", 1_000).await.status, 200);
    });
}

/// Guards against a request that a target goes on with for a caller that has gone.
#[test]
fn disconnect_ends_the_request_at_its_target() {
    block_on(async {
        let target = start_target("t-1", Act::Hang).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        let mut caller = TcpStream::connect(address).await.unwrap();
        let text = "GET /lookup/1 HTTP/1.1\r\nHost: h\r\nAttempt: a-1\r\n\r\n";
        caller.write_all(text.as_bytes()).await.unwrap();
        let gate = gateway.services().get(&"stock".parse().unwrap()).unwrap();
        for _ in 0..100 {
            if !gate.load_report().in_flight.is_empty() {
                break;
            }
            task::sleep(Duration::from_millis(5)).await;
        }
        assert!(!gate.load_report().in_flight.is_empty(), "nothing was sent");
        drop(caller);
        for _ in 0..100 {
            if gate.load_report().in_flight.is_empty() {
                return;
            }
            task::sleep(Duration::from_millis(5)).await;
        }
        panic!("the request is still in flight");
    });
}
