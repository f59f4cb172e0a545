//! Requests that crash their targets, the retry budget, and answers that need care.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use auburnbridge_caller::{Disconnect, DisconnectSignal, OUTCOME_HEADER, Service};
use auburnbridge_entry::{Entry, KEY_HEADER, PREVIOUS_ATTEMPTS_HEADER};
use auburnbridge_http::{FramingError, Request, Response};
use auburnbridge_policy::Member;
use auburnbridge_types::{IdempotencyKey, Millis};

use crate::fakes::{SEND_HEADER, World};
use crate::scenario::{ImmediateTasks, START, kind_of, member, poll, start_entry};

const TARGETS: u16 = 6;
/// Polls after which a request without faults has ended.
const POLLS: usize = 50;

type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

struct Pair {
    world: Arc<World>,
    entries: Vec<Arc<Entry>>,
}

impl Pair {
    fn new() -> Self {
        let world = World::new(START, &[]);
        let targets: Vec<Member> = (1..=TARGETS).map(member).collect();
        let entries = vec![
            start_entry(&world, &targets, Arc::new(ImmediateTasks)),
            start_entry(&world, &targets, Arc::new(ImmediateTasks)),
        ];
        world.state.lock().entries.clone_from(&entries);
        Self { world, entries }
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
            .expect("nothing holds the request up")
    }

    /// Makes the body crash every target that runs it.
    fn poison(&self, body: &[u8]) {
        self.world
            .state
            .lock()
            .crashing_bodies
            .insert(body.to_vec());
    }

    fn runs_of(&self, body: &[u8]) -> usize {
        let state = self.world.state.lock();
        state
            .executions
            .iter()
            .filter(|run| run.body == body)
            .count()
    }
}

fn lookup(body: &[u8]) -> Request {
    let mut req = Request::new("GET", "/bins/7");
    req.headers.append(SEND_HEADER, "0");
    req.body = body.to_vec().into();
    req
}

fn slip(method: &str, key: u8, body: &[u8]) -> Request {
    let mut req = Request::new(method, "/slips");
    let key = IdempotencyKey::from_parts(START, [key; 10]);
    req.headers.append(SEND_HEADER, "0");
    req.headers.append(KEY_HEADER, key.to_string());
    req.headers.append(PREVIOUS_ATTEMPTS_HEADER, "0");
    req.body = body.to_vec().into();
    req
}

/// Guards against a poison request that goes on crashing targets through the other entry, and
/// against the refusal of another request in its place.
#[test]
fn poison_request_is_refused_on_both_entries() {
    let pair = Pair::new();
    pair.poison(b"poison");
    for entry in [0, 0, 1, 1] {
        let response = pair.respond(entry, lookup(b"poison"));
        assert_eq!(kind_of(&response), "request-poisoned");
        assert_eq!(response.headers.text(OUTCOME_HEADER), Some("unknown"));
    }
    assert_eq!(pair.runs_of(b"poison"), 2);
    for (entry, key) in [(0, 1), (1, 2)] {
        assert_eq!(pair.respond(entry, lookup(b"harmless")).status, 200);
        // The same body on another path is another request.
        assert_eq!(
            pair.respond(entry, slip("POST", key, b"poison")).status,
            502
        );
    }
}

/// Guards against a keyed request that its caller sends under new keys and that crashes a target
/// under each of them.
#[test]
fn poison_request_under_new_keys_is_refused() {
    let pair = Pair::new();
    pair.poison(b"poison");
    let kinds: Vec<String> = (1..=4)
        .map(|key| kind_of(&pair.respond(usize::from(key % 2), slip("POST", key, b"poison"))))
        .collect();
    let refused = "request-poisoned";
    assert_eq!(
        kinds,
        ["answer-incomplete", "answer-incomplete", refused, refused]
    );
    assert_eq!(pair.runs_of(b"poison"), 2);
    assert_eq!(pair.respond(0, slip("POST", 9, b"harmless")).status, 200);
}

/// Guards against an answer that is lost because the request was found to be poison later on.
#[test]
fn stored_answer_outlives_poison() {
    let pair = Pair::new();
    assert_eq!(pair.respond(0, slip("POST", 1, b"slip")).status, 200);
    pair.poison(b"slip");
    for key in [2, 3, 4] {
        pair.respond(0, slip("POST", key, b"slip"));
    }
    assert_eq!(pair.respond(1, slip("POST", 1, b"slip")).status, 200);
}

/// Guards against a crash that no entry hears of because the caller left meanwhile.
#[test]
fn crash_is_reported_though_the_caller_disconnects() {
    let pair = Pair::new();
    pair.poison(b"poison");
    for _ in 0..2 {
        pair.world.state.lock().crash_check_is_held = true;
        let (mut future, signal) = pair.start(0, lookup(b"poison"));
        assert!(poll(&mut future).is_none());
        signal.report();
        assert!(poll(&mut future).is_none());
        pair.world.state.lock().crash_check_is_held = false;
        assert!(poll(&mut future).is_some());
    }
    assert_eq!(pair.runs_of(b"poison"), 2);
    assert_eq!(
        kind_of(&pair.respond(1, lookup(b"poison"))),
        "request-poisoned"
    );
}

/// Guards against retries that multiply the load of a service that fails everything.
#[test]
fn retries_stay_within_their_budget() {
    const REQUESTS: usize = 1_000;
    /// 10% of the requests, 3/s over one second, and the 3 that the bucket starts with.
    const RETRIES: usize = REQUESTS / 10 + 3 + 3;
    let pair = Pair::new();
    pair.world.state.lock().answer_fault = Some(FramingError::ClosedInBody);
    for _ in 0..REQUESTS {
        let response = pair.respond(0, lookup(b"lookup"));
        assert_eq!(kind_of(&response), "answer-incomplete");
        assert_eq!(response.headers.text(OUTCOME_HEADER), Some("unknown"));
        pair.world.clock.advance(Millis(1));
    }
    let exchanges = pair.world.state.lock().exchanges;
    assert!(exchanges <= REQUESTS + RETRIES, "{exchanges} exchanges");
    assert!(exchanges > REQUESTS, "no request was retried");
}

/// Guards against a stored answer to `HEAD` that can't be replayed, since it has no body.
#[test]
fn answer_to_head_is_replayed() {
    let pair = Pair::new();
    let first = pair.respond(0, slip("HEAD", 1, b""));
    let replayed = pair.respond(1, slip("HEAD", 1, b""));
    assert_eq!((first.status, replayed.status), (200, 200));
    assert_eq!(pair.runs_of(b""), 1);
}

/// Guards against a target whose answer makes the entry appear to say that nothing ran.
#[test]
fn target_does_not_speak_for_the_entry() {
    let pair = Pair::new();
    pair.world.state.lock().answer_header = Some((OUTCOME_HEADER, "not-run"));
    for req in [lookup(b"lookup"), slip("POST", 1, b"slip")] {
        let response = pair.respond(0, req);
        assert_eq!(response.status, 200);
        assert_eq!(response.headers.get(OUTCOME_HEADER), None);
    }
}
