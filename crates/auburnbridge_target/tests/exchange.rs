//! Tests the results of exchanges with targets that fail at any step.

mod support;

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;

use async_std::io::{ReadExt, WriteExt};
use auburnbridge_http::{Body, FramingError, Limits, Request};
use auburnbridge_target::{NotSentReason, Pool, UnknownReason};
use auburnbridge_types::{BoxFuture, Clock, Millis, Outcome, PausedClock, Timestamp};
use futures_lite::future::{or, poll_once, zip};
use socket2::{Domain, SockAddr, Socket, Type};
use support::{
    Fixture, OK, START, TIME_LIMIT, answered, describe, pool, run_with_target, send, serve_raw,
    wait_for_socket,
};

/// Guards against accepting an answer that is truncated or violates framing, against reporting a
/// failure after the write as not sent, and against keeping a connection in an uncertain state.
#[async_std::test]
async fn answers_that_close_the_connection() {
    let cases: [(&[u8], &str); 11] = [
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
            "200 ok",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more",
            "200 ok",
        ),
        (
            b"",
            "unknown: Framing(ClosedBetweenMessages), answer started: false",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Le",
            "unknown: Framing(ClosedInHead), answer started: true",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123",
            "unknown: Framing(ClosedInBody), answer started: true",
        ),
        (
            b"HTTP/1.1 200 OK\r\n\r\nall until the end",
            "unknown: Framing(LengthMissing), answer started: true",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n",
            "unknown: Framing(BodyTooLarge), answer started: true",
        ),
        (
            b"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
            "unknown: Framing(Status), answer started: true",
        ),
        (
            b"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
            "unknown: Framing(HeaderName), answer started: true",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length\x01: 2\r\n\r\nok",
            "unknown: Framing(HeaderName), answer started: true",
        ),
        (
            b"220 smtp ready\r\n\r\n",
            "unknown: Framing(Version), answer started: true",
        ),
    ];
    let target = Fixture::new(1).await;
    for (raw, expected) in cases {
        let answering = async {
            serve_raw(&mut target.accept().await, raw).await;
        };
        let result = run_with_target(target.exchange(), answering).await;
        assert_eq!(result, (expected.to_owned(), false));
        assert_eq!(target.pool.idle_connections(target.address), 0);
    }
}

fn bind_without_listening() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&SockAddr::from(any_port)).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Guards against reporting a request as possibly executed although no connection existed.
#[async_std::test]
async fn a_refused_connection_is_not_sent() {
    let (_socket, address) = bind_without_listening();
    let clock = PausedClock::new(START);
    let exchange = send(&pool(&clock, 1), &clock, address, &Request::new("GET", "/")).await;
    assert_eq!(describe(exchange), ("not sent: Refused".to_owned(), false));
}

/// Guards against waiting for a connection beyond the connect timeout or the deadline.
#[async_std::test]
async fn a_connection_that_is_not_established_is_not_sent() {
    let (socket, address) = bind_without_listening();
    socket.listen(0).unwrap();
    // One unaccepted connection fills the backlog; the kernel ignores further attempts.
    let _waiting = TcpStream::connect(address).unwrap();
    wait_for_socket(address, |state| state.received_bytes == 1);

    let cases = [
        (Millis(250), "not sent: ConnectTimeout"),
        (TIME_LIMIT, "not sent: Deadline"),
    ];
    for (advance, expected) in cases {
        let clock = PausedClock::new(START);
        let pool = pool(&clock, 1);
        let request = Request::new("GET", "/");
        let mut exchange = Box::pin(send(&pool, &clock, address, &request));
        assert!(poll_once(&mut exchange).await.is_none());
        clock.advance(advance);
        let result = describe(exchange.await);
        assert_eq!(result, (expected.to_owned(), false));
    }
}

/// A clock whose timers never fire, as timers are late after a process was suspended.
struct StalledTimers(PausedClock);

impl Clock for StalledTimers {
    fn now(&self) -> Timestamp {
        self.0.now()
    }

    fn sleep(&self, _: Millis) -> BoxFuture<'static, ()> {
        Box::pin(std::future::pending())
    }
}

/// Guards against sending a request after the deadline, when the process was suspended meanwhile.
#[async_std::test]
async fn a_passed_deadline_is_not_sent() {
    let target = Fixture::new(1).await;
    let clock = &target.clock;
    let pool = Pool::builder(Arc::new(StalledTimers(clock.clone()))).build();
    let request = Request::new("GET", "/");
    let mut exchange = Box::pin(send(&pool, clock, target.address, &request));
    // The connection is being established when the process is suspended.
    assert!(poll_once(&mut exchange).await.is_none());
    let mut accepted = target.accept().await;
    clock.advance(TIME_LIMIT);
    let first = or(async { Ok(describe(exchange.await)) }, async {
        Err(accepted.wait_for_bytes().await)
    });
    let expected = ("not sent: Deadline".to_owned(), false);
    assert_eq!(first.await, Ok(expected), "a byte was written");
    assert_eq!(accepted.wait_for_bytes().await, Ok(false));
}

/// Guards against waiting for an answer after the deadline, and against not cancelling the request
/// at the target.
#[async_std::test]
async fn a_target_that_never_answers_is_unknown_at_the_deadline() {
    let target = Fixture::new(1).await;
    let silent = async {
        let mut connection = target.accept().await;
        connection.read_request(&Limits::default()).await.unwrap();
        target.clock.advance(TIME_LIMIT);
        connection.wait_for_bytes().await
    };
    let (result, at_target) = zip(target.exchange(), silent).await;
    let expected = "unknown: Deadline, answer started: false";
    assert_eq!(result, (expected.to_owned(), false));
    assert_eq!(at_target, Ok(false));
}

/// Guards against returning the late answer to a cancelled exchange for the next request.
#[async_std::test]
async fn a_late_answer_does_not_reach_the_next_request() {
    let target = Fixture::new(1).await;
    let mut cancelled = Box::pin(target.exchange());
    assert!(poll_once(&mut cancelled).await.is_none());
    let mut late = target.accept().await;
    let received = async { late.read_request(&Limits::default()).await.map(|_| ()) };
    let first = async { Err(cancelled.as_mut().await) };
    assert_eq!(or(async { Ok(received.await) }, first).await, Ok(Ok(())));
    drop(cancelled);
    assert_eq!(late.wait_for_bytes().await, Ok(false));
    // The pool has closed its end, so this may fail.
    let _ = late.get_mut().write_all(OK).await;

    let second = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    let answering = async {
        serve_raw(&mut target.accept().await, second).await;
    };
    let result = run_with_target(target.exchange(), answering).await;
    assert_eq!(result, answered("second", false));
}

/// Guards against losing an answer that arrives before the whole request is written, and against
/// reusing its connection in the middle of the request.
#[async_std::test]
async fn an_early_answer_is_returned_and_closes_the_connection() {
    let target = Fixture::new(1).await;
    let mut request = Request::new("POST", "/slips");
    request.body = Body::from(vec![b'x'; 32 * 1024 * 1024]);
    let early = async {
        let mut connection = target.accept().await;
        let mut first = [0];
        connection.get_mut().read_exact(&mut first).await.unwrap();
        connection.get_mut().write_all(OK).await.unwrap();
        connection
    };
    let result = run_with_target(target.send(&request), early).await;
    assert_eq!(result, answered("ok", false));
    assert_eq!(target.pool.idle_connections(target.address), 0);
}

/// Guards against reporting `not-run` for an uncertain result, or the reverse, and against counting
/// a failure of this process against a target.
#[test]
fn reasons_agree_with_certainty_and_attribution() {
    let not_sent = [
        (NotSentReason::Refused, false),
        (NotSentReason::ConnectTimeout, false),
        (
            NotSentReason::ConnectFailed(ErrorKind::HostUnreachable),
            false,
        ),
        (
            NotSentReason::ConnectFailed(ErrorKind::AddrNotAvailable),
            true,
        ),
        (NotSentReason::ConnectFailed(ErrorKind::Other), true),
        (NotSentReason::Closed, false),
        (NotSentReason::AllInUse, true),
        (NotSentReason::Deadline, true),
    ];
    for (reason, is_local) in not_sent {
        assert_eq!(reason.kind().answer().outcome, Outcome::NotRun);
        assert_eq!(reason.is_local(), is_local, "{reason:?}");
    }
    let unknown = [
        (UnknownReason::Deadline, false),
        (UnknownReason::IdleTimeout, true),
        (UnknownReason::Unattributed, false),
        (UnknownReason::Framing(FramingError::ClosedInBody), false),
        (UnknownReason::Framing(FramingError::BodyTooLarge), false),
        (UnknownReason::Framing(FramingError::MemoryExhausted), true),
    ];
    for (reason, is_local) in unknown {
        assert_eq!(reason.kind().answer().outcome, Outcome::Unknown);
        assert_eq!(reason.is_local(), is_local, "{reason:?}");
    }
}
