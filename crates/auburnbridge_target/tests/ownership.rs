//! Tests that concurrent exchanges that share connections to a faulty target get their own answers.

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

const WORKERS: usize = 8;
const CONNECTIONS: usize = 3;
const REQUESTS_PER_WORKER: usize = 60;

/// How the target handles a request, which names the behaviour in a header.
const BEHAVIOURS: [&str; 7] = [
    "whole",
    "whole",
    "chunked",
    "close",
    "extra",
    "cut",
    "cancelled",
];

/// What the target writes for the request `tag`, and whether it keeps the connection open.
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

async fn serve(stream: TcpStream, received: Arc<Mutex<Vec<String>>>) {
    let mut connection = Connection::new(stream);
    while let Ok(request) = connection.read_request(&Limits::default()).await {
        let tag = request.path[1..].to_owned();
        let behaviour = request.headers.text("Behaviour").unwrap_or_default();
        let (raw, keeps_open) = reply(behaviour, &tag);
        received.lock().push(tag);
        let written = connection.get_mut().write_all(raw.as_bytes()).await;
        if written.is_err() || !keeps_open {
            return;
        }
    }
}

/// Runs the exchanges of one worker in sequence and returns those that were not cancelled.
async fn run_worker(
    pool: &Pool,
    listener: &TcpListener,
    worker: usize,
) -> Vec<(String, &'static str, Exchange)> {
    let clock = PausedClock::new(START);
    let address = listener.local_addr().unwrap();
    let mut exchanges = Vec::new();
    for index in 0..REQUESTS_PER_WORKER {
        let behaviour = BEHAVIOURS[(worker + index) % BEHAVIOURS.len()];
        let tag = format!("{worker}-{index}");
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

/// Guards against returning the answer to another request, accepting a truncated answer, and
/// reporting a request as not sent although it ran.
#[async_std::test]
async fn each_answer_belongs_to_its_request() {
    let clock = PausedClock::new(START);
    let pool = Arc::new(pool(&clock, CONNECTIONS));
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let received = Arc::new(Mutex::new(Vec::new()));
    let accepting = task::spawn({
        let (listener, received) = (Arc::clone(&listener), Arc::clone(&received));
        async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(serve(stream, Arc::clone(&received)));
            }
        }
    });
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (pool, listener) = (Arc::clone(&pool), Arc::clone(&listener));
            task::spawn(async move { run_worker(&pool, &listener, worker).await })
        })
        .collect();
    let mut answered = 0;
    for worker in workers {
        for (tag, behaviour, exchange) in worker.await {
            match exchange.result {
                ExchangeResult::Answered(response) => {
                    assert_eq!(response.body.escape_ascii().to_string(), tag);
                    assert_ne!(behaviour, "cut", "{tag}");
                    answered += 1;
                }
                ExchangeResult::NotSent(reason) => {
                    assert!(!received.lock().contains(&tag), "{tag} ran: {reason:?}");
                }
                ExchangeResult::Unknown { .. } => {}
            }
        }
    }
    accepting.cancel().await;
    // The next exchange on a connection that the target closed may fail; most are not affected.
    assert!(
        answered > WORKERS * REQUESTS_PER_WORKER / 4,
        "{answered} answers"
    );
}
