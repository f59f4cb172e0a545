//! Guards the certainty of exchange results against targets that fail at any step.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use auburnbridge_http::{Connection, Limits, Request};
use auburnbridge_target::{ExchangeResult, Pool};
use auburnbridge_types::{PausedClock, Timestamp};

const START: Timestamp = Timestamp(1_000_000);
const DEADLINE: Timestamp = Timestamp(1_001_000);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn pool(clock: &PausedClock) -> Pool {
    Pool::builder(Arc::new(clock.clone())).build()
}

async fn exchange(pool: &Pool, address: SocketAddr) -> (String, bool) {
    let request = Request::new("GET", "/bins/7");
    let exchange = pool
        .exchange(address, &request, &Limits::default(), DEADLINE)
        .await;
    let result = match exchange.result {
        ExchangeResult::Answered(response) => {
            format!("{} {}", response.status, response.body.escape_ascii())
        }
        ExchangeResult::NotSent(reason) => format!("not sent: {reason:?}"),
        ExchangeResult::Unknown {
            reason,
            answer_started,
        } => format!("unknown: {reason:?}, answer started: {answer_started}"),
    };
    (result, exchange.reused)
}

async fn accept(listener: &TcpListener) -> Connection<TcpStream> {
    Connection::new(listener.accept().await.unwrap().0)
}

async fn answer(connection: &mut Connection<TcpStream>, raw: &[u8]) {
    connection.read_request(&Limits::default()).await.unwrap();
    connection.get_mut().write_all(raw).await.unwrap();
}

/// Guards against an answer that is accepted although the target ended it early or broke framing,
/// and against a failure after the write that claims that nothing was sent.
#[async_std::test]
async fn answers_that_end_the_connection() {
    let cases: [(&[u8], &str); 5] = [
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
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
    ];
    let (listener, address) = listen().await;
    let pool = pool(&PausedClock::new(START));
    for (raw, expected) in cases {
        let target = async {
            answer(&mut accept(&listener).await, raw).await;
        };
        let (result, ()) = futures_lite::future::zip(exchange(&pool, address), target).await;
        assert_eq!(result, (expected.to_owned(), false));
        assert_eq!(pool.idle_connections(address), 0);
    }
}
