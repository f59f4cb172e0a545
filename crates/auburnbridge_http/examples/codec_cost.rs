//! Measures the time to decode and encode small messages, in nanoseconds per message.
//!
//! Run with `cargo run --release -p auburnbridge_http --example codec_cost`.

use std::hint::black_box;
use std::time::Instant;

use async_std::io::Cursor;
use async_std::task;
use auburnbridge_http::{
    Connection, KeepAlive, Limits, Request, RequestInfo, Response, encode_request, encode_response,
};

/// Messages on one connection; each read returns about twenty of them.
const MESSAGES: u32 = 1_000;
const ROUNDS: u32 = 200;
const BATCHES: usize = 5;

const REQUEST: &[u8] = b"POST /stock/bins/1207/reservations HTTP/1.1\r\n\
    Host: stock.ponnani.example\r\n\
    User-Agent: counter/4.2\r\n\
    Accept: application/json\r\n\
    Content-Type: application/json\r\n\
    Idempotency-Key: 018f2d6e-7a10-7cc3-98c4-dc0c0c07398f\r\n\
    Auburnbridge-Account: counter-3\r\n\
    Auburnbridge-Deadline-Ms: 800\r\n\
    Content-Length: 25\r\n\r\n\
    {\"bin\":1207,\"quantity\":2}";

const RESPONSE: &[u8] = b"HTTP/1.1 201 Created\r\n\
    Content-Type: application/json\r\n\
    Location: /stock/reservations/88123\r\n\
    Cache-Control: no-store\r\n\
    Content-Length: 21\r\n\r\n\
    {\"reservation\":88123}";

fn main() {
    let info = RequestInfo::default();
    let request = task::block_on(decode_requests(1));
    let response = task::block_on(decode_responses(1));
    let mut buf = Vec::new();

    measure("decode request", || {
        black_box(task::block_on(decode_requests(MESSAGES)));
    });
    measure("decode response", || {
        black_box(task::block_on(decode_responses(MESSAGES)));
    });
    measure("encode request", || {
        for _ in 0..MESSAGES {
            buf.clear();
            encode_request(black_box(&request), &mut buf);
        }
    });
    measure("encode response", || {
        for _ in 0..MESSAGES {
            buf.clear();
            encode_response(black_box(&response), info, KeepAlive::Reuse, &mut buf);
        }
    });
}

/// Decodes requests from one connection and returns the last one.
async fn decode_requests(count: u32) -> Request {
    let limits = Limits::default();
    let mut connection = connection(REQUEST, count);
    let mut last = Request::new("GET", "/");
    for _ in 0..count {
        last = connection
            .read_request(&limits)
            .await
            .expect("valid request");
    }
    last
}

/// Decodes responses from one connection and returns the last one.
async fn decode_responses(count: u32) -> Response {
    let limits = Limits::default();
    let mut connection = connection(RESPONSE, count);
    let mut last = Response::new(200);
    for _ in 0..count {
        last = connection
            .read_response(RequestInfo::default(), &limits)
            .await
            .expect("valid response");
    }
    last
}

fn connection(raw: &[u8], count: u32) -> Connection<Cursor<Vec<u8>>> {
    Connection::new(Cursor::new(raw.repeat(count as usize)))
}

/// Prints the lowest and highest time per message over the batches.
fn measure(name: &str, mut call: impl FnMut()) {
    let mut costs: Vec<u128> = (0..BATCHES)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..ROUNDS {
                call();
            }
            start.elapsed().as_nanos() / u128::from(ROUNDS * MESSAGES)
        })
        .collect();
    costs.sort_unstable();
    println!("{name}: {} to {} ns", costs[0], costs[BATCHES - 1]);
}
