//! Tests explanations of where a request would go.

use async_std::task::block_on;
use auburnbridge_gateway::{Explanation, Gateway};
use auburnbridge_http::Request;

use crate::accounts::routes_with_accounts;
use crate::targets::{Behaviour, OK, listen, send_with, start_gateway, start_target};

const KEY: &str = "k-ana-1";

fn explain(gateway: &Gateway, path: &str, key: Option<&str>) -> Explanation {
    let caller = Some("127.0.0.1".parse().unwrap());
    let mut req = Request::new("POST", path);
    req.headers.append("Host", "h");
    if let Some(key) = key {
        req.headers.append("Key", key);
    }
    gateway.explain(&req, caller)
}

/// Guards against an explanation that differs from what happens, that sends something, or that shows a
/// key.
#[test]
fn explanation_names_the_answer_and_the_targets() {
    block_on(async {
        let near = start_target("t-1", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&near]);
        assert!(gateway.install_routes(routes_with_accounts(2, &[KEY])));
        let address = listen(&gateway).await;
        for (path, key, status) in [
            ("/order/1", Some(KEY), 200),
            ("/order/1", None, 401),
            ("/order/1", Some("k-none"), 401),
            ("/elsewhere/1", Some(KEY), 404),
        ] {
            let explanation = explain(&gateway, path, key);
            assert!(near.requests.lock().is_empty(), "{path} was sent");
            let shown = format!("{explanation:?}");
            assert!(!shown.contains("k-"), "{shown}");
            let answered = explanation
                .refusal
                .as_ref()
                .map_or(200, |refusal| refusal.status);
            assert_eq!(answered, status, "{path}");
            if status == 200 {
                assert_eq!(explanation.account.as_deref(), Some("ana"));
                assert_eq!(explanation.services[0].outcome, "start");
                let target = &explanation.services[0].targets[0];
                assert_eq!(target.target, "t-1");
                assert!(target.likelihood > 0.99);
            }
            let headers: Vec<_> = key.iter().map(|key| ("Key", *key)).collect();
            assert_eq!(
                send_with(address, path, 1_000, &headers).await.status,
                status
            );
            near.requests.lock().clear();
        }
    });
}

/// Guards against explanations that change what later requests meet.
#[test]
fn explanations_leave_no_trace() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&target]);
        let first = explain(&gateway, "/order/1", None);
        for _ in 0..20 {
            explain(&gateway, "/order/1", None);
        }
        let dispatcher = gateway.services().get(&"stock".parse().unwrap()).unwrap();
        assert!(dispatcher.load_report().in_flight.is_empty());
        assert_eq!(dispatcher.waiting(), 0);
        let last = explain(&gateway, "/order/1", None);
        assert_eq!(first.services[0].outcome, last.services[0].outcome);
    });
}
