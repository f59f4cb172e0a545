//! Tests targets that write an earlier refusal once more on a kept connection.

use async_std::task::block_on;

use crate::targets::{Behaviour, OK, listen, send, start_gateway, start_target};

const STATUSES_OF_NOT_RUN: [u16; 5] = [408, 421, 425, 429, 503];
const REPEATED_REFUSALS: [&str; 4] = [
    "HTTP/1.1 503 Service Unavailable\r\nAttempt: earlier\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
];

/// Guards against a caller who hears "not run" for an order that a target runs, and against an order
/// that runs at a second target, because a refusal of an earlier request is taken for its own.
#[test]
fn repeated_refusal_of_an_earlier_request_refuses_nothing() {
    for refusal in REPEATED_REFUSALS {
        // Each second request finds a kept connection, which the gateway then closes.
        let faulty: &'static str = format!("{refusal}{OK}").leak();
        let behaviour = Behaviour::InTurn(vec![OK, faulty, OK, faulty, OK, faulty].leak());
        block_on(async {
            let first = start_target("t-1", behaviour).await;
            let second = start_target("t-2", behaviour).await;
            let address = listen(&start_gateway(&[&first, &second])).await;
            let runs = || first.requests.lock().len() + second.requests.lock().len();
            for order in 0..6 {
                let before = runs();
                let status = send(address, "/order/1", 1_000).await.status;
                let is_refused = STATUSES_OF_NOT_RUN.contains(&status);
                let expected = before + usize::from(!is_refused);
                assert_eq!(runs(), expected, "order {order}: {status}, {refusal}");
            }
            assert!(runs() >= 4, "no refusal was repeated: {refusal}");
        });
    }
}
