//! Tests what a gateway does when a target states in a response that it is leaving, or when it wants
//! requests again.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use auburnbridge_membership::AnnouncedState;

use crate::targets::{
    Behaviour, LEAVING, OK, SHED, announcement, listen, send, start_gateway, start_target,
};

const SHED_WITH_PAUSE: &str = "HTTP/1.1 503 Service Unavailable\r\nAttempt: {id}\r\nNot-Run: 1\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n";
const LEAVING_ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nAttempt: {id}\r\nSeal: e\r\nLeaving: 1\r\nContent-Length: 1\r\n\r\ne";
const LEAVING_SHED: &str = "HTTP/1.1 503 Service Unavailable\r\nAttempt: {id}\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";
const LEAVING_MISDIRECTED: &str =
    "HTTP/1.1 421 Misdirected Request\r\nAttempt: {id}\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";

/// Guards against new requests to a target after it stated in any response that it is leaving, also
/// if it is the only one, and against a target that returns because it announces itself again in
/// the same incarnation.
#[test]
fn target_that_states_its_departure_gets_no_further_requests() {
    for (path, response) in [
        ("/order/1", LEAVING),
        ("/lookup/1", LEAVING),
        ("/order/1", LEAVING_ERROR),
        ("/order/1", LEAVING_SHED),
    ] {
        block_on(async {
            let leaving = start_target("t-leaving", Behaviour::Respond(response)).await;
            let gateway = start_gateway(&[&leaving]);
            let address = listen(&gateway).await;
            send(address, path, 1_000).await;
            assert_eq!(leaving.requests.lock().len(), 1, "{response}");
            let mut renewal = announcement(&leaving);
            renewal.sequence.0 += 1;
            gateway.services().apply_targets(&[renewal]);
            for path in ["/order/2", "/lookup/2"] {
                assert_eq!(send(address, path, 1_000).await.status, 503, "{response}");
            }
            assert_eq!(leaving.requests.lock().len(), 1, "{response}");
        });
    }
}

/// Guards against a departure that keeps the next incarnation out of use.
#[test]
fn next_incarnation_of_a_leaving_target_is_used() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(LEAVING)).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        send(address, "/order/1", 1_000).await;
        let mut restarted = announcement(&target);
        restarted.incarnation.0 += 1;
        gateway.services().apply_targets(&[restarted]);
        assert_eq!(send(address, "/order/2", 1_000).await.status, 200);
        assert_eq!(target.requests.lock().len(), 2);
    });
}

/// Guards against a departure that the keepers never hear of, and one that is reported repeatedly.
#[test]
fn stated_departure_is_queued_once_for_the_keepers() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(LEAVING)).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        send(address, "/order/1", 1_000).await;
        send(address, "/order/2", 1_000).await;
        let departures = gateway.take_unreported_departures();
        assert_eq!(departures.len(), 1);
        assert_eq!(departures[0].target.as_str(), "t-1");
        assert_eq!(departures[0].state, AnnouncedState::Leaving);
    });
}

/// Guards against a target that is taken out of use because the process that now has its address is
/// leaving: after a misdirected request the next incarnation of the target must be usable.
#[test]
fn departure_stated_by_another_process_is_ignored() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(LEAVING_MISDIRECTED)).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        send(address, "/order/1", 1_000).await;
        assert!(gateway.take_unreported_departures().is_empty());
    });
}

/// Guards against retries, hedges, trials and first sends to a target during the pause for which it
/// asked, and against a target that stays out of use afterwards.
#[test]
fn target_gets_nothing_during_the_pause_that_it_asked_for() {
    for path in ["/order/1", "/lookup/1"] {
        block_on(async {
            let busy = start_target("t-busy", Behaviour::Respond(SHED_WITH_PAUSE)).await;
            let good = start_target("t-good", Behaviour::Respond(OK)).await;
            let gateway = start_gateway(&[&busy, &good]);
            let address = listen(&gateway).await;
            let mut paused_at = None;
            let start = Instant::now();
            while start.elapsed() < Duration::from_millis(700) {
                assert_eq!(send(address, path, 1_000).await.status, 200, "{path}");
                if paused_at.is_none() && !busy.requests.lock().is_empty() {
                    paused_at = Some(Instant::now());
                }
            }
            let paused_at = paused_at.expect("the busy target was never used");
            if paused_at.elapsed() < Duration::from_millis(750) {
                assert_eq!(busy.requests.lock().len(), 1, "{path}");
            }
            while paused_at.elapsed() < Duration::from_secs(3) {
                assert_eq!(send(address, path, 1_000).await.status, 200, "{path}");
            }
            assert!(busy.requests.lock().len() > 1, "{path}");
        });
    }
}

/// Guards against a request that is refused although its only target wants requests again well before
/// the deadline, and against one that waits although the target doesn't.
#[test]
fn request_waits_for_the_end_of_a_pause_only_if_it_can_be_served_then() {
    block_on(async {
        let behaviour = Behaviour::InTurn(&[SHED_WITH_PAUSE, OK]);
        let target = start_target("t-1", behaviour).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        assert_eq!(send(address, "/order/1", 300).await.status, 503);
        let start = Instant::now();
        let refusal = send(address, "/order/2", 300).await;
        assert_eq!(refusal.status, 503);
        assert!(start.elapsed() < Duration::from_millis(150));
        let retry_after: f64 = refusal
            .headers
            .text("Retry-After")
            .unwrap()
            .parse()
            .unwrap();
        assert!(retry_after > 0.3, "{retry_after}");
        let dispatcher = gateway.services().get(&"stock".parse().unwrap()).unwrap();
        let maintenance = task::spawn(async move {
            loop {
                dispatcher.start_waiting();
                task::sleep(Duration::from_millis(50)).await;
            }
        });
        assert_eq!(send(address, "/order/3", 1_200).await.status, 200);
        assert_eq!(target.requests.lock().len(), 2);
        maintenance.cancel().await;
    });
}

/// Guards against an absurd or malformed `Retry-After` that takes a target out of use for good.
#[test]
fn malformed_retry_after_pauses_like_none() {
    for value in ["", "-5", "nan", "inf", "1e9", "soon", "0x10", "1.2.3"] {
        block_on(async {
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt: {{id}}\r\nNot-Run: 1\r\nRetry-After: {value}\r\nContent-Length: 0\r\n\r\n"
            );
            let shed: &'static str = Box::leak(text.into_boxed_str());
            let target =
                start_target("t-1", Behaviour::InTurn(Box::leak(Box::new([shed, OK])))).await;
            let address = listen(&start_gateway(&[&target])).await;
            assert_eq!(send(address, "/order/1", 300).await.status, 503, "{value}");
            task::sleep(Duration::from_millis(120)).await;
            assert_eq!(
                send(address, "/order/2", 1_000).await.status,
                200,
                "{value}"
            );
        });
    }
    // A plain shed behaves alike.
    block_on(async {
        let target = start_target("t-1", Behaviour::InTurn(&[SHED, OK])).await;
        let address = listen(&start_gateway(&[&target])).await;
        assert_eq!(send(address, "/order/1", 300).await.status, 503);
        task::sleep(Duration::from_millis(120)).await;
        assert_eq!(send(address, "/order/2", 1_000).await.status, 200);
    });
}
