//! Guards the ownership of answers when many exchanges share connections to a faulty target.

mod support;

use std::sync::Arc;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use auburnbridge_http::{Connection, Limits, Request};
use auburnbridge_target::{Exchange, ExchangeResult, Pool};
use auburnbridge_types::PausedClock;
use futures_lite::future::poll_once;
use parking_lot::Mutex;
use support::{START, pool, send};

const LANES: usize = 8;
const CONNECTIONS: usize = 3;
const REQUESTS_PER_LANE: usize = 60;

/// How the target treats a request; the request names it.
const BEHAVIOURS: [&str; 7] = [
    "whole",
    "whole",
    "chunked",
    "close",
    "extra",
    "cut",
    "cancelled",
];

/// What the target writes for the request `tag`, and whether it goes on with the connection.
fn reply(behaviour: &str, tag: &str) -> (String, bool) {
    let length = tag.len();
    let sized = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{tag}");
    match behaviour {
        "chunked" => {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            (format!("{head}{length:x}\r\n{tag}\r\n0\r\n\r\n"), true)
        }
        "close" => (sized, false),
        "extra" => (format!("{sized}{}", sized.replace(tag, "another")), true),
        "cut" => (sized[..sized.len() - 1].to_owned(), false),
        _ => (sized, true),
    }
}

async fn serve(stream: TcpStream, seen: Arc<Mutex<Vec<String>>>) {
    let mut connection = Connection::new(stream);
    while let Ok(request) = connection.read_request(&Limits::default()).await {
        let tag = request.path[1..].to_owned();
        let behaviour = request.headers.text("Behaviour").unwrap_or_default();
        let (raw, goes_on) = reply(behaviour, &tag);
        seen.lock().push(tag);
        let written = connection.get_mut().write_all(raw.as_bytes()).await;
        if written.is_err() || !goes_on {
            return;
        }
    }
}

/// Runs the exchanges of one lane one after the other, and gives those that were not cancelled.
async fn run_lane(
    pool: &Pool,
    listener: &TcpListener,
    lane: usize,
) -> Vec<(String, &'static str, Exchange)> {
    let clock = PausedClock::new(START);
    let address = listener.local_addr().unwrap();
    let mut exchanges = Vec::new();
    for index in 0..REQUESTS_PER_LANE {
        let behaviour = BEHAVIOURS[(lane + index) % BEHAVIOURS.len()];
        let tag = format!("{lane}-{index}");
        let mut request = Request::new("POST", &format!("/{tag}"));
        request.headers.append("Behaviour", behaviour);
        let mut exchange = Box::pin(send(pool, &clock, address, &request));
        if behaviour != "cancelled" {
            exchanges.push((tag, behaviour, exchange.await));
            continue;
        }
        for _ in 0..index % 4 {
            if poll_once(&mut exchange).await.is_some() {
                break;
            }
            task::yield_now().await;
        }
    }
    exchanges
}

/// Guards against an answer that belongs to another request, a truncated answer that is accepted,
/// and a request that ran although it counts as not sent.
#[async_std::test]
async fn each_answer_belongs_to_its_request() {
    let clock = PausedClock::new(START);
    let pool = Arc::new(pool(&clock, CONNECTIONS));
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let seen = Arc::new(Mutex::new(Vec::new()));
    let accepting = task::spawn({
        let (listener, seen) = (Arc::clone(&listener), Arc::clone(&seen));
        async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(serve(stream, Arc::clone(&seen)));
            }
        }
    });
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let (pool, listener) = (Arc::clone(&pool), Arc::clone(&listener));
            task::spawn(async move { run_lane(&pool, &listener, lane).await })
        })
        .collect();
    let mut answered = 0;
    for lane in lanes {
        for (tag, behaviour, exchange) in lane.await {
            match exchange.result {
                ExchangeResult::Answered(response) => {
                    assert_eq!(response.body.escape_ascii().to_string(), tag);
                    assert_ne!(behaviour, "cut", "{tag}");
                    answered += 1;
                }
                ExchangeResult::NotSent(reason) => {
                    assert!(!seen.lock().contains(&tag), "{tag} ran: {reason:?}");
                }
                ExchangeResult::Unknown { .. } => {}
            }
        }
    }
    accepting.cancel().await;
    // A connection that the target closed may fail the next exchange; most are not affected.
    assert!(
        answered > LANES * REQUESTS_PER_LANE / 4,
        "{answered} answers"
    );
}
