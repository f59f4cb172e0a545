//! Tests targets that send bytes without end in place of a response or within one.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};

use crate::targets::{BODY_MEMORY, Behaviour, OK, listen, send, start_gateway, start_target};

const HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Guards against a gateway that waits or reads on for longer than its caller, that uses memory without
/// bound, that serves nobody else meanwhile, that passes on such a response, or that claims that an
/// order did not run.
#[test]
fn endless_bytes_end_with_the_deadline_at_the_latest() {
    let endless = [
        Behaviour::Endless("", "\0"),
        Behaviour::Endless("", "no response at all "),
        Behaviour::Endless("HTTP/1.1 200 ", "OK"),
        Behaviour::Endless(HEAD, "X-More: y\r\n"),
        Behaviour::Endless(HEAD, "x"),
        Behaviour::Endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
        Behaviour::Endless(
            "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nContent-Length: 99999999999999\r\n\r\n",
            "x",
        ),
        Behaviour::Endless("HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\n\r\n", "x"),
        Behaviour::Endless(CHUNKED, "1\r\nx\r\n"),
        Behaviour::Endless(CHUNKED, "0"),
        Behaviour::Endless(
            "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            "extension",
        ),
        Behaviour::Endless(
            "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "Trailer: z\r\n",
        ),
        Behaviour::Endless(
            "HTTP/1.1 200 OK\r\nAttempt: other\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nAttempt: other\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
        ),
    ];
    for behaviour in endless {
        block_on(async {
            let target = start_target("t-1", behaviour).await;
            let gateway = start_gateway(&[&target]);
            let address = listen(&gateway).await;
            let start = Instant::now();
            let orders: Vec<_> = (0..4)
                .map(|_| task::spawn(async move { send(address, "/order/1", 600).await.status }))
                .collect();
            // Callers of other paths are answered meanwhile.
            assert_eq!(send(address, "/elsewhere/", 600).await.status, 404);
            let mut sent = 0;
            for order in orders {
                let status = order.await;
                assert!([502, 503, 504].contains(&status), "{behaviour:?}: {status}");
                // A refusal says that the order was sent nowhere.
                sent += usize::from(status != 503);
            }
            assert!(sent > 0, "{behaviour:?}");
            assert_eq!(target.requests.lock().len(), sent, "{behaviour:?}");
            assert!(
                start.elapsed() < Duration::from_millis(1_600),
                "{behaviour:?}"
            );
            assert!(gateway.body_memory().0 <= BODY_MEMORY.0);
            let is_released = async {
                while gateway.body_memory().0 > 0 {
                    task::sleep(Duration::from_millis(5)).await;
                }
            };
            async_std::future::timeout(Duration::from_secs(2), is_released)
                .await
                .expect("memory of an ended exchange is still in use");
        });
    }
}

/// Guards against bytes behind a whole answer that reach the next caller or delay it.
#[test]
fn endless_bytes_behind_an_answer_reach_no_other_caller() {
    block_on(async {
        let behaviour = Behaviour::Endless(
            OK,
            "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother",
        );
        let target = start_target("t-1", behaviour).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        for _ in 0..10 {
            let response = send(address, "/lookup/1", 1_000).await;
            assert_eq!((response.status, &response.body[..]), (200, &b"ok"[..]));
        }
    });
}
