//! Tests requests with large bodies to targets that stop reading, answer early or close.

mod support;

use std::pin::pin;

use async_std::io::{ReadExt, WriteExt};
use auburnbridge_http::{Body, Connection, Request};
use auburnbridge_target::{ExchangeResult, UnknownReason};
use futures_lite::future::{or, zip};

use support::{Fixture, OK, TIME_LIMIT, answered, describe, send};

/// Larger than the kernel's buffers, so that a part is unwritten while the target doesn't read.
const BODY_BYTES: usize = 32 << 20;

fn upload() -> Request {
    let mut request = Request::new("POST", "/slips");
    request.headers.append("Host", "h");
    request.body = Body::from(vec![b'u'; BODY_BYTES]);
    request
}

/// Reads until the connection ends.
async fn read_rest(connection: &mut Connection<async_std::net::TcpStream>) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A reset loses nothing of what was read before.
    let _ = connection.get_mut().read_to_end(&mut bytes).await;
    bytes
}

/// Guards against other bytes where the rest of a body is due: a target that answers early and reads
/// on gets a closed connection, and the next request uses another one.
#[async_std::test]
async fn target_that_answers_early_and_reads_on_gets_no_other_bytes() {
    let fixture = Fixture::new(1).await;
    let request = upload();
    let exchanges = async {
        let first = fixture.send(&request).await;
        (first, fixture.exchange().await)
    };
    let target = async {
        let mut early = fixture.accept().await;
        early.get_mut().write_all(OK).await.unwrap();
        let mut next = fixture.accept().await;
        let limits = auburnbridge_http::Limits::default();
        let second = next.read_request(&limits).await.unwrap();
        next.get_mut().write_all(OK).await.unwrap();
        (read_rest(&mut early).await, second)
    };
    let ((first, second), (received, next_request)) = zip(exchanges, target).await;
    assert_eq!(first, answered("ok", false));
    assert_eq!(second, answered("ok", false));
    assert_eq!(next_request.path, "/bins/7");
    let body_start = received
        .windows(4)
        .position(|bytes| bytes == b"\r\n\r\n")
        .unwrap()
        + 4;
    let body = &received[body_start..];
    assert!(body.len() < BODY_BYTES, "the whole body was written");
    assert!(body.iter().all(|byte| *byte == b'u'));
}

/// Guards against a lost answer of a target that closes the connection without reading the body.
#[async_std::test]
async fn target_that_answers_early_and_shuts_down_is_heard() {
    let fixture = Fixture::new(1).await;
    let request = upload();
    let target = async {
        let mut connection = fixture.accept().await;
        connection.get_mut().write_all(OK).await.unwrap();
        let shutdown = std::net::Shutdown::Write;
        connection.get_mut().shutdown(shutdown).unwrap();
        read_rest(&mut connection).await;
    };
    let (exchange, ()) = zip(fixture.send(&request), target).await;
    assert_eq!(exchange, answered("ok", false));
    assert_eq!(fixture.pool.idle_connections(fixture.address), 0);
}

/// Guards against a request that is taken for unsent although its target had a part of the body.
#[async_std::test]
async fn target_that_closes_within_the_body_leaves_the_outcome_unknown() {
    let fixture = Fixture::new(1).await;
    let request = upload();
    let target = async {
        let mut connection = fixture.accept().await;
        let mut part = vec![0; 100_000];
        connection.get_mut().read_exact(&mut part).await.unwrap();
    };
    let exchange = send(&fixture.pool, &fixture.clock, fixture.address, &request);
    let (exchange, ()) = zip(exchange, target).await;
    let is_closed = matches!(
        exchange.result,
        ExchangeResult::Unknown {
            reason: UnknownReason::Framing(_),
            answer_started: false
        }
    );
    assert!(is_closed, "{:?}", describe(exchange));
}

/// Guards against an exchange that a target which doesn't read holds beyond the deadline, with its
/// memory and its connection.
#[async_std::test]
async fn target_that_does_not_read_is_given_up_at_the_deadline() {
    let fixture = Fixture::new(1).await;
    let request = upload();
    let mut exchange = pin!(send(
        &fixture.pool,
        &fixture.clock,
        fixture.address,
        &request
    ));
    let mut connection = or(
        async {
            (&mut exchange).await;
            panic!("the exchange ended before the deadline")
        },
        async {
            let mut connection = fixture.accept().await;
            let mut part = vec![0; 100_000];
            connection.get_mut().read_exact(&mut part).await.unwrap();
            connection
        },
    )
    .await;
    fixture.clock.advance(TIME_LIMIT);
    let result = exchange.await.result;
    let is_at_deadline = matches!(
        result,
        ExchangeResult::Unknown {
            reason: UnknownReason::Deadline,
            ..
        }
    );
    assert!(is_at_deadline, "{result:?}");
    let received = read_rest(&mut connection).await;
    assert!(received.len() < BODY_BYTES);
    assert!(received.iter().all(|byte| *byte == b'u'));
}

/// Guards against a small request that waits behind a large body to the same target.
#[async_std::test]
async fn small_request_passes_a_large_body_to_the_same_target() {
    let fixture = Fixture::new(2).await;
    let request = upload();
    let upload = async {
        fixture.send(&request).await;
        panic!("the body was written although the target doesn't read it")
    };
    let small = async {
        // The body's connection comes first.
        let body = fixture.accept().await;
        let target = async {
            let mut connection = fixture.accept().await;
            let limits = auburnbridge_http::Limits::default();
            connection.read_request(&limits).await.unwrap();
            connection.get_mut().write_all(OK).await.unwrap();
        };
        let (answer, ()) = zip(fixture.exchange(), target).await;
        drop(body);
        answer
    };
    assert_eq!(or(upload, small).await, answered("ok", false));
}
