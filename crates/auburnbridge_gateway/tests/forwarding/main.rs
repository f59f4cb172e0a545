//! Tests the response that a caller gets for each behaviour of a target, and how often targets receive
//! the request.

mod accounts;
mod broken_heads;
mod crashes;
mod endless;
mod explain;
mod limits;
mod neighbours;
mod notices;
mod refusals;
mod resets;
mod statuses;
mod targets;
mod uploads;

use std::time::{Duration, Instant};

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use auburnbridge_policy::balance::Finding;
use targets::{
    Behaviour, MISDIRECTED, OK, SERVER_ERROR, SHED, listen, send, start_gateway, start_target,
};

/// The status that the caller gets, and the number of requests that the targets receive, if both
/// targets show `behaviour`.
fn status_and_sends(path: &str, behaviour: Behaviour) -> (u16, usize) {
    block_on(async {
        let first = start_target("t-1", behaviour).await;
        let second = start_target("t-2", behaviour).await;
        let address = listen(&start_gateway(&[&first, &second])).await;
        let response = send(address, path, 1_000).await;
        let count = first.requests.lock().len() + second.requests.lock().len();
        (response.status, count)
    })
}

/// Guards against at-most-once requests that are resent after they may have run, against a "not run"
/// status for requests that may have run, and against accepting responses that no target sealed.
#[test]
fn order_result_by_target_behaviour() {
    const UNSEALED: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: 2\r\n\r\nok";
    const ENCODED: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok";
    const TRUNCATED: &str =
        "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nContent-Length: 9\r\n\r\nok";
    const UNMARKED_503: &str =
        "HTTP/1.1 503 Service Unavailable\r\nAttempt: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n";
    const CLOSE_DELIMITED: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\n\r\nok";
    for (behaviour, status, sends) in [
        (Behaviour::Respond(OK), 200, 1),
        (Behaviour::RespondAndClose(CLOSE_DELIMITED), 200, 1),
        (Behaviour::Respond(SERVER_ERROR), 500, 1),
        (Behaviour::Respond(SHED), 503, 2),
        (Behaviour::Respond(MISDIRECTED), 503, 2),
        (Behaviour::Disconnect, 502, 1),
        (Behaviour::RespondAndClose(TRUNCATED), 502, 1),
        (Behaviour::Respond(UNSEALED), 502, 1),
        (Behaviour::Respond(ENCODED), 502, 1),
        (Behaviour::Respond(UNMARKED_503), 502, 1),
        (Behaviour::Hang, 504, 1),
    ] {
        assert_eq!(
            status_and_sends("/order/1", behaviour),
            (status, sends),
            "{behaviour:?}"
        );
    }
}

/// Guards against idempotent requests that fail without a retry, and against more sends than the route
/// allows.
#[test]
fn lookup_result_by_target_behaviour() {
    for (behaviour, status, sends) in [
        (Behaviour::Respond(OK), 200, 1),
        (Behaviour::Respond(SHED), 503, 2),
        (Behaviour::Respond(SERVER_ERROR), 500, 2),
        (Behaviour::Disconnect, 502, 2),
    ] {
        assert_eq!(
            status_and_sends("/lookup/1", behaviour),
            (status, sends),
            "{behaviour:?}"
        );
    }
}

/// Guards against a request that fails with its first target while a working target is available.
#[test]
fn failed_request_is_retried_on_another_target() {
    for (path, behaviour) in [
        ("/order/1", Behaviour::Respond(SHED)),
        ("/order/1", Behaviour::Respond(MISDIRECTED)),
        ("/lookup/1", Behaviour::Disconnect),
        ("/lookup/1", Behaviour::Respond(SERVER_ERROR)),
    ] {
        block_on(async {
            let bad = start_target("t-bad", behaviour).await;
            let good = start_target("t-good", Behaviour::Respond(OK)).await;
            let address = listen(&start_gateway(&[&bad, &good])).await;
            for _ in 0..6 {
                assert_eq!(
                    send(address, path, 1_000).await.status,
                    200,
                    "{path} {behaviour:?}"
                );
            }
        });
    }
}

/// Guards against a lookup that waits for a silent target until its deadline.
#[test]
fn lookup_to_a_silent_target_is_hedged() {
    block_on(async {
        let silent = start_target("t-silent", Behaviour::Hang).await;
        let good = start_target("t-good", Behaviour::Respond(OK)).await;
        let address = listen(&start_gateway(&[&silent, &good])).await;
        for _ in 0..4 {
            assert_eq!(send(address, "/lookup/1", 1_200).await.status, 200);
        }
    });
}

/// Guards against a lookup that is reported as not run because its hedge was shed, while the first
/// target may have run it.
#[test]
fn lookup_whose_hedge_is_shed_may_have_run() {
    block_on(async {
        // The hedge is sent after about 500 ms, and shed before or after the first send fails.
        for (failure_ms, shed_ms) in [(900, 0), (700, 400)] {
            let failing = Behaviour::DisconnectAfter(failure_ms);
            let shedding = Behaviour::RespondAfter(shed_ms, SHED);
            // The random choices are the same in both runs, so in one of them the failing target
            // comes first.
            for behaviours in [[failing, shedding], [shedding, failing]] {
                let targets = [
                    start_target("t-1", behaviours[0]).await,
                    start_target("t-2", behaviours[1]).await,
                ];
                let address = listen(&start_gateway(&[&targets[0], &targets[1]])).await;
                let status = send(address, "/lookup/1", 1_200).await.status;
                for target in &targets {
                    assert_eq!(target.requests.lock().len(), 1, "{behaviours:?}");
                }
                assert_eq!(status, 502, "{behaviours:?}");
            }
        }
    });
}

/// Guards against a target that keeps receiving orders without responding to any, because the first
/// order yields no finding until its deadline.
#[test]
fn silent_target_is_reported_before_the_order_times_out() {
    block_on(async {
        let silent = start_target("t-silent", Behaviour::Hang).await;
        let gateway = start_gateway(&[&silent]);
        let address = listen(&gateway).await;
        let order = task::spawn(async move { send(address, "/order/1", 1_200).await });
        let dispatcher = gateway.services().get(&"stock".parse().unwrap()).unwrap();
        // Longer than three times the response time that is assumed initially.
        task::sleep(Duration::from_secs(1)).await;
        let findings = dispatcher.take_unreported();
        assert_eq!(findings.len(), 1);
        assert_eq!(findings[0].finding, Finding::Silent);
        assert_eq!(order.await.status, 504);
    });
}

/// Guards against a target that is avoided for seconds because one request took long: its silence has
/// already counted against it when the response arrives.
#[test]
fn late_response_to_an_order_clears_the_silent_finding() {
    block_on(async {
        let late = start_target("t-late", Behaviour::RespondAfter(1_000, OK)).await;
        let gateway = start_gateway(&[&late]);
        let address = listen(&gateway).await;
        assert_eq!(send(address, "/order/1", 1_200).await.status, 200);
        let dispatcher = gateway.services().get(&"stock".parse().unwrap()).unwrap();
        let findings: Vec<Finding> = dispatcher
            .take_unreported()
            .iter()
            .map(|report| report.finding)
            .collect();
        assert_eq!(findings, [Finding::Silent, Finding::Answered]);
    });
}

/// Guards against a lookup that is cancelled because its target is silent while no other target can
/// take it.
#[test]
fn lookup_without_a_second_target_waits_for_its_response() {
    block_on(async {
        let late = start_target("t-late", Behaviour::RespondAfter(1_000, OK)).await;
        let address = listen(&start_gateway(&[&late])).await;
        assert_eq!(send(address, "/lookup/1", 1_200).await.status, 200);
        assert_eq!(late.requests.lock().len(), 1);
    });
}

/// Guards against a request that doesn't name its expected target, and against a forwarded deadline
/// longer than the remaining time.
#[test]
fn target_receives_its_id_and_the_remaining_time() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
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

/// Guards against a caller that waits although no target exists, and against a refusal without
/// `Retry-After`.
#[test]
fn request_without_a_target_is_refused_at_once() {
    block_on(async {
        let address = listen(&start_gateway(&[])).await;
        let start = Instant::now();
        let response = send(address, "/order/1", 1_000).await;
        assert_eq!(response.status, 503);
        assert!(response.headers.text("Retry-After").is_some());
        assert!(start.elapsed() < Duration::from_millis(500));
        assert_eq!(send(address, "/elsewhere/", 1_000).await.status, 404);
    });
}

/// Guards against a request that stays in flight at a target after its caller has disconnected.
#[test]
fn caller_disconnect_cancels_the_request_at_the_target() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Hang).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        let mut caller = TcpStream::connect(address).await.unwrap();
        let text = "GET /lookup/1 HTTP/1.1\r\nHost: h\r\nAttempt: a-1\r\n\r\n";
        caller.write_all(text.as_bytes()).await.unwrap();
        let dispatcher = gateway.services().get(&"stock".parse().unwrap()).unwrap();
        for _ in 0..100 {
            if !dispatcher.load_report().in_flight.is_empty() {
                break;
            }
            task::sleep(Duration::from_millis(5)).await;
        }
        assert!(
            !dispatcher.load_report().in_flight.is_empty(),
            "no request was sent to the target"
        );
        drop(caller);
        for _ in 0..100 {
            if dispatcher.load_report().in_flight.is_empty() {
                return;
            }
            task::sleep(Duration::from_millis(5)).await;
        }
        panic!("the request is still in flight after the disconnect");
    });
}
