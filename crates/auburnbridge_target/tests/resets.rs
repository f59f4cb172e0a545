//! Tests answers without a length to uploads, whose targets reset or end the connection while the
//! request is being written.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::pin::{Pin, pin};
use std::thread;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use auburnbridge_http::{Body, Connection, Limits, Request};
use auburnbridge_target::{Exchange, ExchangeResult, UnknownReason};
use futures_lite::future::{or, poll_once};

use support::{Fixture, START, TIME_LIMIT, answered, describe};

/// Larger than the kernel's buffers, so that a part is unwritten while the target doesn't read.
const BODY_BYTES: usize = 32 << 20;
/// Fits into the kernel's buffers, so that the read learns of a reset and the write doesn't.
const BUFFERED_BODY_BYTES: usize = 256 << 10;
/// A head without a length, and some bytes of a body.
const UNFRAMED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nbytes";
const WOKEN_ROUNDS: usize = 300;
const POLLED_ROUNDS: usize = 2_000;

fn upload(body_bytes: usize) -> Request {
    let mut request = Request::new("POST", "/slips");
    request.headers.append("Host", "h");
    request.body = Body::from(vec![b'u'; body_bytes]);
    request
}

async fn send(fixture: &Fixture, address: SocketAddr, request: &Request) -> Exchange {
    let deadline = START.after(TIME_LIMIT);
    let pool = &fixture.pool;
    pool.exchange(address, request, &limits(), deadline).await
}

/// Like [`send`], for a request that must not be resent.
async fn send_once(fixture: &Fixture, address: SocketAddr, request: &Request) -> Exchange {
    let deadline = START.after(TIME_LIMIT);
    let pool = &fixture.pool;
    pool.exchange_on_recent(address, request, &limits(), deadline)
        .await
}

fn limits() -> Limits {
    Limits::default().with_unframed_responses()
}

/// Accepts the connection of `exchange` and waits until its write waits for the target to read.
async fn accept_upload(
    fixture: &Fixture,
    mut exchange: Pin<&mut impl Future<Output = Exchange>>,
) -> Connection<TcpStream> {
    let accepting = async {
        let mut connection = fixture.accept().await;
        let mut first = [0];
        connection.get_mut().read_exact(&mut first).await.unwrap();
        connection
    };
    or(accepting, async {
        exchange.as_mut().await;
        panic!("the exchange ended before the target sent anything")
    })
    .await
}

fn assert_unknown(exchange: Exchange) {
    let is_unknown = matches!(
        exchange.result,
        ExchangeResult::Unknown {
            reason: UnknownReason::Framing(_),
            answer_started: true
        }
    );
    assert!(is_unknown, "{:?}", describe(exchange));
}

/// Guards against a part of an answer that is taken for the whole one because the write, and not the
/// read, learns of the reset.
#[async_std::test]
async fn reset_that_the_write_sees_first_breaks_the_answer() {
    for reads_part_before in [false, true] {
        let fixture = Fixture::new(1).await;
        let request = upload(BODY_BYTES);
        let mut exchange = pin!(send(&fixture, fixture.address, &request));
        let mut connection = accept_upload(&fixture, exchange.as_mut()).await;
        connection.get_mut().write_all(UNFRAMED).await.unwrap();
        if reads_part_before {
            assert!(poll_once(exchange.as_mut()).await.is_none());
        }
        // Closing with unread bytes resets the connection.
        drop(connection);
        assert_unknown(exchange.await);
        assert_eq!(fixture.pool.idle_connections(fixture.address), 0);
    }
}

/// Starts a target that sends a part of its answer to each upload and resets the connection some time
/// later.
fn start_resetting_target(rounds: usize) -> (SocketAddr, thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = thread::spawn(move || {
        for round in 0..rounds {
            let (mut stream, _) = listener.accept().unwrap();
            let mut part = vec![0; 1 + (round % 7) * 30_000];
            stream.read_exact(&mut part).unwrap();
            stream.write_all(UNFRAMED).unwrap();
            thread::sleep(Duration::from_micros(round as u64 % 400));
            // Closing with unread bytes resets the connection.
        }
    });
    (address, target)
}

/// Sends a request as one that may be resent or as one that must not.
async fn send_alternately(
    round: usize,
    fixture: &Fixture,
    address: SocketAddr,
    request: &Request,
) -> Exchange {
    if round.is_multiple_of(2) {
        send(fixture, address, request).await
    } else {
        send_once(fixture, address, request).await
    }
}

/// Guards against a part of an answer that is taken for the whole one when the reset wakes the exchange:
/// the write learns of it, or the read if the request is in the kernel's buffers.
#[async_std::test]
async fn reset_that_wakes_the_exchange_breaks_the_answer() {
    let (address, target) = start_resetting_target(WOKEN_ROUNDS);
    let fixture = Fixture::new(1).await;
    let requests = [BUFFERED_BODY_BYTES, BODY_BYTES, BODY_BYTES].map(upload);
    let mut whole = 0;
    for round in 0..WOKEN_ROUNDS {
        let request = &requests[round % requests.len()];
        let exchange = send_alternately(round, &fixture, address, request).await;
        whole += usize::from(matches!(exchange.result, ExchangeResult::Answered(_)));
    }
    target.join().unwrap();
    assert_eq!(whole, 0, "parts taken for whole answers");
}

/// Guards against a part of an answer that is taken for the whole one when the reset arrives within a
/// poll of the exchange, before its write or between its write and its read.
#[async_std::test]
async fn reset_within_a_poll_breaks_the_answer() {
    let (address, target) = start_resetting_target(POLLED_ROUNDS);
    let fixture = Fixture::new(1).await;
    let request = upload(BODY_BYTES);
    let mut whole = 0;
    for round in 0..POLLED_ROUNDS {
        let mut exchange = pin!(send_alternately(round, &fixture, address, &request));
        let exchange = loop {
            if let Some(exchange) = poll_once(exchange.as_mut()).await {
                break exchange;
            }
        };
        whole += usize::from(matches!(exchange.result, ExchangeResult::Answered(_)));
    }
    target.join().unwrap();
    assert_eq!(whole, 0, "parts taken for whole answers");
}

/// Guards against a whole answer that is discarded because the target closed the connection without
/// reading the rest of the request: it ended its answer before the connection was reset.
#[async_std::test]
async fn answer_that_ends_before_the_reset_is_whole() {
    for reads_end_before in [false, true] {
        let fixture = Fixture::new(1).await;
        let request = upload(BODY_BYTES);
        let mut exchange = pin!(send(&fixture, fixture.address, &request));
        let mut connection = accept_upload(&fixture, exchange.as_mut()).await;
        connection.get_mut().write_all(UNFRAMED).await.unwrap();
        connection.get_ref().shutdown(Shutdown::Write).unwrap();
        let exchange = if reads_end_before {
            let exchange = exchange.await;
            drop(connection);
            exchange
        } else {
            drop(connection);
            exchange.await
        };
        assert_eq!(describe(exchange), answered("bytes", false));
    }
}
