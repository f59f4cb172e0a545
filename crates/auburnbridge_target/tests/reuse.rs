//! Tests the reuse of connections: which are kept, which are closed, and how many there are.

mod support;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use auburnbridge_http::{Connection, Limits, Request};
use auburnbridge_types::{Clock, Millis};
use futures_lite::future::{poll_once, zip};
use support::{
    CLOSE_WAIT, Fixture, OK, TIME_LIMIT, answered, describe, run_with_target, serve_raw,
    wait_for_socket,
};

const MAX_REUSE_IDLE: Millis = Millis(1_000);
const IDLE_TIMEOUT: Millis = Millis(30_000);

/// Runs one exchange on a new connection and returns the target's end of it.
async fn connect(target: &Fixture) -> Connection<TcpStream> {
    let answering = async {
        let mut connection = target.accept().await;
        serve_raw(&mut connection, OK).await;
        connection
    };
    let (result, connection) = zip(target.exchange(), answering).await;
    assert_eq!(result, answered("ok", false));
    assert_eq!(target.pool.idle_connections(target.address), 1);
    connection
}

/// Guards against opening a connection for each request.
#[async_std::test]
async fn a_connection_is_reused_after_a_whole_exchange() {
    let target = Fixture::new(1).await;
    let mut connection = connect(&target).await;
    target.clock.advance(Millis(IDLE_TIMEOUT.0 - 1));
    let more = async {
        serve_raw(&mut target.accept().await, OK).await;
    };
    let serving = zip(serve_raw(&mut connection, OK), more);
    let result = run_with_target(target.exchange(), serving).await;
    assert_eq!(result, answered("ok", true));
}

/// Guards against sending a request on a connection that is closed, expired, or holds unread bytes,
/// which would be read as the answer.
#[async_std::test]
async fn an_idle_connection_that_is_not_usable_is_replaced() {
    let events = [
        "closed",
        "unsolicited bytes",
        "expired",
        "closed by the pool",
    ];
    for event in events {
        let target = Fixture::new(1).await;
        let mut old = connect(&target).await;
        let pool_address = old.get_ref().peer_addr().unwrap();
        let mut open = None;
        match event {
            "closed" => {
                drop(old);
                wait_for_socket(pool_address, |state| state.code == CLOSE_WAIT);
            }
            "unsolicited bytes" => {
                old.get_mut().write_all(OK).await.unwrap();
                wait_for_socket(pool_address, |state| state.received_bytes > 0);
                open = Some(old);
            }
            "expired" => {
                target.clock.advance(IDLE_TIMEOUT);
                open = Some(old);
            }
            _ => {
                target.pool.close_idle(target.address);
                open = Some(old);
            }
        }
        let second = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
        let answering = async {
            serve_raw(&mut target.accept().await, second).await;
        };
        let serving_old = async {
            if let Some(old) = &mut open
                && old.read_request(&Limits::default()).await.is_ok()
            {
                old.get_mut().write_all(OK).await.unwrap();
            }
        };
        let result = run_with_target(target.exchange(), zip(answering, serving_old)).await;
        assert_eq!(result, answered("second", false), "{event}");
    }
}

/// Guards against sending a request that must not be resent on a connection that the target may be
/// about to close, and against exceeding the connection limit because the older one stays open.
#[async_std::test]
async fn a_request_that_must_not_be_resent_uses_a_fresh_connection() {
    let target = Fixture::new(1).await;
    let request = Request::new("POST", "/slips");
    let send_fresh = async || {
        let limits = Limits::default();
        let deadline = target.clock.now().after(TIME_LIMIT);
        let exchange = target
            .pool
            .exchange_on_recent(target.address, &request, &limits, deadline);
        describe(exchange.await)
    };
    let mut old = connect(&target).await;
    target.clock.advance(Millis(MAX_REUSE_IDLE.0 - 1));
    let result = run_with_target(send_fresh(), serve_raw(&mut old, OK)).await;
    assert_eq!(result, answered("ok", true));
    target.clock.advance(MAX_REUSE_IDLE);
    let serving = async {
        let mut new = target.accept().await;
        serve_raw(&mut new, OK).await;
        new
    };
    let result = run_with_target(send_fresh(), zip(serving, old.wait_for_bytes())).await;
    assert_eq!(result, answered("ok", false));
    assert_eq!(old.wait_for_bytes().await, Ok(false));
}

/// Guards against a resend or a `not-run` result when a reused connection closes after the write.
#[async_std::test]
async fn a_reused_connection_that_closes_after_the_write_is_unknown() {
    let target = Fixture::new(1).await;
    let mut connection = connect(&target).await;
    let closing = async {
        connection.read_request(&Limits::default()).await.unwrap();
        drop(connection);
        serve_raw(&mut target.accept().await, OK).await;
    };
    let result = run_with_target(target.exchange(), closing).await;
    let expected = "unknown: Framing(ClosedBetweenMessages), answer started: false";
    assert_eq!(result, (expected.to_owned(), true));
    assert!(poll_once(target.listener.accept()).await.is_none());
}

/// Guards against treating the 408 of a target that closes an idle connection as the answer to a
/// request that was sent at the same time.
#[async_std::test]
async fn an_idle_timeout_on_a_reused_connection_is_no_answer() {
    let raw = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let target = Fixture::new(1).await;
    let mut connection = connect(&target).await;
    let result = run_with_target(target.exchange(), serve_raw(&mut connection, raw)).await;
    let expected = "unknown: IdleTimeout, answer started: true";
    assert_eq!(result, (expected.to_owned(), true));
    let answering = async {
        serve_raw(&mut target.accept().await, raw).await;
    };
    let result = run_with_target(target.exchange(), answering).await;
    assert_eq!(result, ("408 ".to_owned(), false));
}

/// Guards against opening more connections than the limit, and against a waiting request that never
/// gets a released connection.
#[async_std::test]
async fn connections_are_limited_and_passed_on() {
    let target = Fixture::new(1).await;
    let serving = async {
        let mut connection = target.accept().await;
        serve_raw(&mut connection, OK).await;
        let more = async {
            serve_raw(&mut target.accept().await, OK).await;
        };
        zip(serve_raw(&mut connection, OK), more).await;
    };
    let both = zip(target.exchange(), target.exchange());
    let (first, second) = run_with_target(both, serving).await;
    assert_eq!(first, answered("ok", false));
    assert_eq!(second, answered("ok", true));
    assert!(poll_once(target.listener.accept()).await.is_none());
}

/// Guards against waiting for a connection after the deadline of a request.
#[async_std::test]
async fn a_request_without_a_free_connection_is_not_sent() {
    let target = Fixture::new(1).await;
    let holding = async {
        let mut connection = target.accept().await;
        connection.read_request(&Limits::default()).await.unwrap();
        target.clock.advance(TIME_LIMIT);
    };
    let both = zip(target.exchange(), target.exchange());
    let ((_, waiting), ()) = zip(both, holding).await;
    assert_eq!(waiting, ("not sent: AllInUse".to_owned(), false));
}

/// Guards against keeping connections to departed targets open.
#[async_std::test]
async fn expired_connections_are_closed_without_a_request() {
    let target = Fixture::new(1).await;
    let mut connection = connect(&target).await;
    target.clock.advance(Millis(IDLE_TIMEOUT.0 - 1));
    target.pool.close_expired();
    assert_eq!(target.pool.idle_connections(target.address), 1);
    target.clock.advance(Millis(1));
    target.pool.close_expired();
    assert_eq!(connection.wait_for_bytes().await, Ok(false));
}
