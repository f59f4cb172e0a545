//! Requests that crash targets, the retry budget, and special cases of answers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use auburnbridge_caller::{Disconnect, DisconnectSignal, OUTCOME_HEADER, Service};
use auburnbridge_entry::{Entry, KEY_HEADER, PREVIOUS_ATTEMPTS_HEADER};
use auburnbridge_http::{FramingError, Request, Response};
use auburnbridge_policy::Member;
use auburnbridge_policy::poison::CRASHES_ALONE;
use auburnbridge_types::{IdempotencyKey, Millis};

use crate::fakes::{FakeCluster, SEND_HEADER};
use crate::scenario::{ImmediateSpawner, START, kind_of, member, poll, start_entry};

const TARGETS: u16 = 8;
/// Number of polls within which a request without faults completes.
const POLLS: usize = 50;

type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

struct EntryPair {
    cluster: Arc<FakeCluster>,
    entries: Vec<Arc<Entry>>,
}

impl EntryPair {
    fn new() -> Self {
        let cluster = FakeCluster::new(START, &[]);
        let targets: Vec<Member> = (1..=TARGETS).map(member).collect();
        let entries = vec![
            start_entry(&cluster, &targets, Arc::new(ImmediateSpawner)),
            start_entry(&cluster, &targets, Arc::new(ImmediateSpawner)),
        ];
        cluster.state.lock().entries.clone_from(&entries);
        Self { cluster, entries }
    }

    fn start(&self, entry: usize, req: Request) -> (ResponseFuture, DisconnectSignal) {
        let (signal, disconnect) = Disconnect::new();
        let server = Arc::clone(&self.entries[entry]);
        let caller = SocketAddr::from(([127, 0, 0, 1], 9));
        let future = async move { server.respond(req, caller, disconnect).await };
        (Box::pin(future), signal)
    }

    fn respond(&self, entry: usize, req: Request) -> Response {
        let (mut future, _signal) = self.start(entry, req);
        (0..POLLS)
            .find_map(|_| poll(&mut future))
            .expect("a request without faults completes")
    }

    /// Makes every target crash that runs a request with `body`.
    fn poison(&self, body: &[u8]) {
        self.cluster
            .state
            .lock()
            .crashing_bodies
            .insert(body.to_vec());
    }

    fn runs_of(&self, body: &[u8]) -> usize {
        let state = self.cluster.state.lock();
        state
            .executions
            .iter()
            .filter(|run| run.body == body)
            .count()
    }
}

fn idempotent_req(body: &[u8]) -> Request {
    let mut req = Request::new("GET", "/bins/7");
    req.headers.append(SEND_HEADER, "0");
    req.body = body.to_vec().into();
    req
}

fn keyed_req(method: &str, key: u8, body: &[u8]) -> Request {
    let mut req = Request::new(method, "/slips");
    let key = IdempotencyKey::from_parts(START, [key; 10]);
    req.headers.append(SEND_HEADER, "0");
    req.headers.append(KEY_HEADER, key.to_string());
    req.headers.append(PREVIOUS_ATTEMPTS_HEADER, "0");
    req.body = body.to_vec().into();
    req
}

/// Guards against a poison request that continues to crash targets through the other entry, and
/// against the rejection of other requests as poison.
#[test]
fn poison_request_is_refused_on_both_entries() {
    let pair = EntryPair::new();
    pair.poison(b"poison");
    // The retry budget of the first entry ends its requests.
    let (incomplete, refused) = ("answer-incomplete", "request-poisoned");
    for (entry, kind) in [(0, incomplete), (0, incomplete), (1, refused), (1, refused)] {
        let response = pair.respond(entry, idempotent_req(b"poison"));
        assert_eq!(kind_of(&response), kind);
        assert_eq!(response.headers.text(OUTCOME_HEADER), Some("unknown"));
    }
    assert_eq!(pair.runs_of(b"poison"), CRASHES_ALONE as usize);
    for (entry, key) in [(0, 1), (1, 2)] {
        assert_eq!(pair.respond(entry, idempotent_req(b"harmless")).status, 200);
        // The same body on a different path is a different request.
        assert_eq!(
            pair.respond(entry, keyed_req("POST", key, b"poison"))
                .status,
            502
        );
    }
}

/// Guards against a keyed request that crashes one target after another because its caller sends it
/// with a new key each time.
#[test]
fn poison_request_under_new_keys_is_refused() {
    let pair = EntryPair::new();
    pair.poison(b"poison");
    let kinds: Vec<String> = (1..=7)
        .map(|key| kind_of(&pair.respond(usize::from(key % 2), keyed_req("POST", key, b"poison"))))
        .collect();
    let refused = "request-poisoned";
    let (ran, not_run) = kinds.split_at(CRASHES_ALONE as usize);
    assert_eq!(ran, ["answer-incomplete"; CRASHES_ALONE as usize]);
    assert_eq!(not_run, [refused, refused]);
    assert_eq!(pair.runs_of(b"poison"), CRASHES_ALONE as usize);
    assert_eq!(
        pair.respond(0, keyed_req("POST", 9, b"harmless")).status,
        200
    );
}

/// Guards against a request that is refused because targets that ran it went down, although others
/// answered it meanwhile, at the entry that got the answers and at the other one.
#[test]
fn request_that_targets_answer_is_not_refused_after_crashes() {
    let pair = EntryPair::new();
    let mut key = 0;
    let mut respond = |entry| {
        key += 1;
        pair.respond(entry, keyed_req("POST", key, b"slip")).status
    };
    for crashed in 1..TARGETS {
        pair.poison(b"slip");
        assert_eq!(respond(0), 502);
        pair.cluster.state.lock().crashing_bodies.clear();
        for entry in [1, 0] {
            assert_eq!(respond(entry), 200, "{crashed} crashed, entry {entry}");
        }
    }
}

/// Guards against losing a stored answer when its request is classified as poison later.
#[test]
fn stored_answer_of_a_poisoned_request_is_replayed() {
    let pair = EntryPair::new();
    assert_eq!(pair.respond(0, keyed_req("POST", 1, b"slip")).status, 200);
    pair.poison(b"slip");
    for key in 2..=6 {
        pair.respond(0, keyed_req("POST", key, b"slip"));
    }
    assert_eq!(
        kind_of(&pair.respond(0, keyed_req("POST", 7, b"slip"))),
        "request-poisoned"
    );
    assert_eq!(pair.respond(1, keyed_req("POST", 1, b"slip")).status, 200);
}

/// Guards against a crash that is not reported because the caller disconnects during the check
/// whether the target crashed.
#[test]
fn crash_is_reported_after_the_caller_disconnects() {
    let pair = EntryPair::new();
    pair.poison(b"poison");
    for _ in 0..CRASHES_ALONE {
        pair.cluster.state.lock().crash_check_is_blocked = true;
        let (mut future, signal) = pair.start(0, idempotent_req(b"poison"));
        assert!(poll(&mut future).is_none());
        signal.report();
        assert!(poll(&mut future).is_none());
        pair.cluster.state.lock().crash_check_is_blocked = false;
        assert!(poll(&mut future).is_some());
    }
    assert_eq!(pair.runs_of(b"poison"), CRASHES_ALONE as usize);
    assert_eq!(
        kind_of(&pair.respond(1, idempotent_req(b"poison"))),
        "request-poisoned"
    );
}

/// Guards against retries that multiply the load of a service whose every answer fails.
#[test]
fn retries_stay_within_their_budget() {
    const REQUESTS: usize = 1_000;
    /// 10% of the requests, 3/s over one second, and the initial 3 of the bucket.
    const RETRIES: usize = REQUESTS / 10 + 3 + 3;
    let pair = EntryPair::new();
    pair.cluster.state.lock().answer_fault = Some(FramingError::ClosedInBody);
    for _ in 0..REQUESTS {
        let response = pair.respond(0, idempotent_req(b"lookup"));
        assert_eq!(kind_of(&response), "answer-incomplete");
        assert_eq!(response.headers.text(OUTCOME_HEADER), Some("unknown"));
        pair.cluster.clock.advance(Millis(1));
    }
    let exchanges = pair.cluster.state.lock().exchanges;
    assert!(exchanges <= REQUESTS + RETRIES, "{exchanges} exchanges");
    assert!(exchanges > REQUESTS, "no request was retried");
}

/// Guards against a stored answer to `HEAD` that cannot be replayed because it has no body.
#[test]
fn answer_to_head_is_replayed() {
    let pair = EntryPair::new();
    let first = pair.respond(0, keyed_req("HEAD", 1, b""));
    let replayed = pair.respond(1, keyed_req("HEAD", 1, b""));
    assert_eq!((first.status, replayed.status), (200, 200));
    assert_eq!(pair.runs_of(b""), 1);
}

/// Guards against a target whose answer carries the outcome header, with which only the entry may
/// state that a request did not run.
#[test]
fn outcome_header_of_a_target_is_removed() {
    let pair = EntryPair::new();
    pair.cluster.state.lock().answer_header = Some((OUTCOME_HEADER, "not-run"));
    for req in [idempotent_req(b"lookup"), keyed_req("POST", 1, b"slip")] {
        let response = pair.respond(0, req);
        assert_eq!(response.status, 200);
        assert_eq!(response.headers.get(OUTCOME_HEADER), None);
    }
}
