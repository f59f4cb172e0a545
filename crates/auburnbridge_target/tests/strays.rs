//! Guards against returning a late answer to an earlier request as the answer to this one.

mod support;

use std::sync::Arc;

use async_std::io::WriteExt;
use async_std::task::{self, block_on};
use auburnbridge_http::{Limits, Request};
use auburnbridge_target::{ExchangeResult, Pool, UnknownReason};
use support::{Fixture, START, TIME_LIMIT};

fn answer(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn request(id: &str) -> Request {
    let mut req = Request::new("GET", "/bins/7");
    req.headers.append("Host", "target");
    req.headers.append("Attempt", id);
    req
}

/// Runs one exchange with a target that writes `answers` after it has read the request; returns
/// the body and the number of idle connections.
fn exchange(answers: &[String]) -> (Option<Vec<u8>>, usize) {
    block_on(async {
        let fixture = Fixture::new(2).await;
        let pool = Pool::builder(Arc::new(fixture.clock.clone()))
            .echo_header("Attempt")
            .build();
        let address = fixture.address;
        let bytes: Vec<u8> = answers.concat().into_bytes();
        let target = task::spawn(async move {
            let mut connection = fixture.accept().await;
            connection.read_request(&Limits::default()).await.unwrap();
            connection.get_mut().write_all(&bytes).await.unwrap();
            connection
        });
        let deadline = START.after(TIME_LIMIT);
        let exchange = pool
            .exchange(address, &request("a2"), &Limits::default(), deadline)
            .await;
        let _connection = target.await;
        let body = match exchange.result {
            ExchangeResult::Answered(response) => Some(response.body.to_vec()),
            ExchangeResult::NotSent(_) | ExchangeResult::Unknown { .. } => None,
        };
        (body, pool.idle_connections(address))
    })
}

#[test]
fn answer_to_another_request_is_skipped() {
    let answers = [answer("a1", "late"), answer("a2", "right")];
    assert_eq!(exchange(&answers), (Some(b"right".to_vec()), 0));
}

#[test]
fn connection_without_stray_answers_is_kept() {
    assert_eq!(
        exchange(&[answer("a2", "right")]),
        (Some(b"right".to_vec()), 1)
    );
}

#[test]
fn too_many_stray_answers_fail_the_exchange() {
    let answers: Vec<String> = (0..8).map(|_| answer("a1", "late")).collect();
    assert_eq!(exchange(&answers), (None, 0));
}

/// Guards against an answer without an id that is taken for the answer to a request on a reused
/// connection, and against a target that is blamed for the 408 with which it closes an idle connection.
#[test]
fn answer_without_an_id_on_a_reused_connection_may_be_a_copy() {
    const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    const IDLE_TIMEOUT: &str =
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    for (second, expected) in [
        (REFUSAL, UnknownReason::Unattributed),
        (IDLE_TIMEOUT, UnknownReason::IdleTimeout),
    ] {
        block_on(async {
            let fixture = Fixture::new(2).await;
            let pool = Pool::builder(Arc::new(fixture.clock.clone()))
                .echo_header("Attempt")
                .build();
            let address = fixture.address;
            let target = task::spawn(async move {
                let mut connection = fixture.accept().await;
                for text in [REFUSAL, second] {
                    connection.read_request(&Limits::default()).await.unwrap();
                    let stream = connection.get_mut();
                    stream.write_all(text.as_bytes()).await.unwrap();
                }
                connection
            });
            let deadline = START.after(TIME_LIMIT);
            let limits = Limits::default();
            let first = pool
                .exchange(address, &request("a1"), &limits, deadline)
                .await;
            assert!(matches!(first.result, ExchangeResult::Answered(_)));
            let second = pool
                .exchange(address, &request("a2"), &limits, deadline)
                .await;
            let _connection = target.await;
            let ExchangeResult::Unknown { reason, .. } = second.result else {
                panic!("{:?}", second.result);
            };
            assert_eq!(reason, expected);
            assert_eq!(pool.idle_connections(address), 0);
        });
    }
}
