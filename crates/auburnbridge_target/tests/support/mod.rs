//! Scripted targets for the tests of the pool, and the kernel's state of their sockets.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use auburnbridge_http::{Connection, Limits, Request};
use auburnbridge_target::{Exchange, ExchangeResult, Pool};
use auburnbridge_types::{ByteSize, Clock, Millis, PausedClock, Timestamp};
use futures_lite::future::or;

pub const START: Timestamp = Timestamp(1_000_000);
pub const TIME_LIMIT: Millis = Millis(1_000);

/// A complete answer with the body `ok`.
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A pool with a paused clock and the listener of one scripted target.
pub struct Fixture {
    pub clock: PausedClock,
    pub pool: Pool,
    pub listener: TcpListener,
    pub address: SocketAddr,
}

impl Fixture {
    pub async fn new(connections: usize) -> Self {
        let clock = PausedClock::new(START);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self {
            pool: pool(&clock, connections),
            clock,
            address: listener.local_addr().unwrap(),
            listener,
        }
    }

    pub async fn exchange(&self) -> (String, bool) {
        self.send(&Request::new("GET", "/bins/7")).await
    }

    pub async fn send(&self, request: &Request) -> (String, bool) {
        describe(send(&self.pool, &self.clock, self.address, request).await)
    }

    pub async fn accept(&self) -> Connection<TcpStream> {
        Connection::new(self.listener.accept().await.unwrap().0)
    }
}

pub fn pool(clock: &PausedClock, connections: usize) -> Pool {
    Pool::builder(Arc::new(clock.clone()))
        .connections_per_target(connections)
        .build()
}

pub async fn send(
    pool: &Pool,
    clock: &PausedClock,
    address: SocketAddr,
    request: &Request,
) -> Exchange {
    let limits = Limits::default().with_body_bytes(ByteSize(16));
    let deadline = clock.now().after(TIME_LIMIT);
    pool.exchange(address, request, &limits, deadline).await
}

/// The result as text, and whether the connection was reused.
pub fn describe(exchange: Exchange) -> (String, bool) {
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

/// The description of an answer with status 200.
pub fn answered(body: &str, reused: bool) -> (String, bool) {
    (format!("200 {body}"), reused)
}

/// Reads a request and writes `raw` as the answer.
pub async fn serve_raw(connection: &mut Connection<TcpStream>, raw: &[u8]) {
    connection.read_request(&Limits::default()).await.unwrap();
    connection.get_mut().write_all(raw).await.unwrap();
}

/// Runs an exchange to its end while polling a scripted target, which may still be waiting for
/// something that a faulty pool doesn't do.
pub async fn run_with_target<T>(exchange: impl Future<Output = T>, target: impl Future) -> T {
    or(exchange, async {
        let _held = target.await;
        std::future::pending().await
    })
    .await
}

/// State of a TCP socket as reported by the kernel.
pub struct SocketState {
    pub code: u8,
    pub received_bytes: u64,
}

/// Code of the state `CLOSE_WAIT` in `/proc/net/tcp`.
pub const CLOSE_WAIT: u8 = 8;

/// Waits until the kernel reports a state of the socket at `local`, since an event caused by a
/// scripted target takes some time to reach the pool's end of the connection.
pub fn wait_for_socket(local: SocketAddr, is_reached: impl Fn(&SocketState) -> bool) {
    let end = format!(":{:04X}", local.port());
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let is_done = table.lines().skip(1).any(|line| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let (_, received) = columns[4].split_once(':').unwrap();
            columns[1].ends_with(&end)
                && is_reached(&SocketState {
                    code: u8::from_str_radix(columns[3], 16).unwrap(),
                    received_bytes: u64::from_str_radix(received, 16).unwrap(),
                })
        });
        if is_done {
            return;
        }
        std::thread::yield_now();
    }
}
