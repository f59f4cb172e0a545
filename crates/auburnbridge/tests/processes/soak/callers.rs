//! Callers that keep their connections open until a gateway closes them.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use auburnbridge_http::{Connection, KeepAlive, Limits, Request, RequestInfo, Response};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::record::{Outcome, SentRequest};
use super::targets::expected_body;
use super::{GATEWAYS, Soak};
use crate::platform_fleet::FleetAddresses;
use crate::wire;

/// Wait time that a caller states in its requests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after which a caller gives up; longer than [`DEADLINE`], since a frozen gateway answers late.
const GIVE_UP_AFTER: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An open connection to a gateway.
struct OpenConnection {
    gateway: u8,
    connection: Connection<TcpStream>,
}

/// Starts the thread of a caller.
pub fn start(
    soak: &Arc<Soak>,
    addresses: &FleetAddresses,
    seed: u64,
    caller: usize,
) -> JoinHandle<()> {
    let (soak, addresses) = (Arc::clone(soak), addresses.clone());
    let rng = ChaCha8Rng::seed_from_u64(seed * 101 + caller as u64);
    let name = format!("s{seed}-{caller}");
    thread::spawn(move || task::block_on(send_requests(&soak, &addresses, &name, rng)))
}

async fn send_requests(soak: &Soak, addresses: &FleetAddresses, name: &str, mut rng: ChaCha8Rng) {
    let mut idle: Option<OpenConnection> = None;
    for number in 0.. {
        if soak.is_over() {
            return;
        }
        task::sleep(Duration::from_millis(rng.random_range(5..40))).await;
        let open = match idle.take() {
            Some(open) => Some(open),
            None => connect(addresses, rng.random_range(0..GATEWAYS)).await,
        };
        let Some(mut open) = open else {
            continue;
        };
        let is_once = rng.random::<bool>();
        let req = request(&format!("{name}-{number}"), is_once);
        let start = Instant::now();
        let result = exchange(&mut open.connection, &req).await;
        let (outcome, stays_open) = match result {
            Ok(Some((response, stays_open))) => {
                check_answer(soak, &req, &response);
                (Outcome::Status(response.status), stays_open)
            }
            Ok(None) => (Outcome::Closed, false),
            Err(_) => (Outcome::GaveUp, false),
        };
        soak.record.record_request(SentRequest {
            attempt: attempt_of(&req).to_owned(),
            path: req.path.clone(),
            is_once,
            gateway: open.gateway,
            start,
            end: Instant::now(),
            outcome,
        });
        idle = stays_open.then_some(open);
    }
}

async fn connect(addresses: &FleetAddresses, gateway: u8) -> Option<OpenConnection> {
    let address = addresses.gateways[usize::from(gateway)];
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    Some(OpenConnection {
        gateway,
        connection: Connection::new(stream),
    })
}

fn request(attempt: &str, is_once: bool) -> Request {
    let (method, prefix) = if is_once {
        ("POST", "orders")
    } else {
        ("GET", "lookups")
    };
    let mut req = Request::new(method, &format!("/{prefix}/{attempt}"));
    req.headers.append("Host", "shop.example");
    req.headers.append(wire::ATTEMPT, attempt);
    let deadline = DEADLINE.as_millis().to_string();
    req.headers.append(wire::DEADLINE, deadline.as_str());
    req
}

fn attempt_of(req: &Request) -> &str {
    req.headers.text(wire::ATTEMPT).unwrap_or_default()
}

/// Returns the answer and whether the connection stays open; `None` if the connection was closed
/// without an answer.
///
/// # Errors
///
/// Fails when the caller gives up, after [`GIVE_UP_AFTER`].
async fn exchange(
    connection: &mut Connection<TcpStream>,
    req: &Request,
) -> Result<Option<(Response, bool)>, async_std::future::TimeoutError> {
    timeout(GIVE_UP_AFTER, async {
        connection.write_request(req).await.ok()?;
        let limits = Limits::default();
        let response = connection
            .read_response(RequestInfo::from(req), &limits)
            .await
            .ok()?;
        let stays_open = response.keep_alive == KeepAlive::Reuse;
        Some((response, stays_open))
    })
    .await
}

fn check_answer(soak: &Soak, req: &Request, response: &Response) {
    if response.status != 200 {
        return;
    }
    let attempt = attempt_of(req);
    let is_own = response.headers.text(wire::ATTEMPT) == Some(attempt);
    if !is_own || *response.body != *expected_body(attempt, &req.path).as_bytes() {
        soak.record.record_violation(format!(
            "{attempt} got an incomplete answer or that of another request"
        ));
    }
}
