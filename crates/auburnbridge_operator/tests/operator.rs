//! Tests the calls of operators: who may change which lines, and what a refusal states.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::sync::Mutex;
use async_std::task::block_on;
use auburnbridge_config::{Edit, EditReply, HistoryEntry, RulesState};
use auburnbridge_operator::{
    ConfigStore, CurrentRules, FleetStatus, KeyDigest, MAX_LINE_EDIT_BYTES, OperatorKey,
    OperatorKeys, OperatorServer, StoreError, TargetStatus, VmStatus, server,
};
use auburnbridge_rules::TeamScope;
use auburnbridge_types::{BoxFuture, IdempotencyKey, Incarnation, Revision, Slots, Timestamp};
use tide::http::{Method, Request, Response, Url};

const NOW: Timestamp = Timestamp(1_800_000_000_000);
const RULES: &str = "\
service stock slots-floor 24 # asked by Meera
service dispatch slots-floor 8 # asked by Ana
route GET /bins/* to stock idempotent # asked by Meera
team warehouse may change stock # asked by Jonas
";

/// Store that applies edits directly to the state machine, without a log.
#[derive(Default)]
struct FakeStore {
    config: Mutex<RulesState>,
    submitted: AtomicU64,
    /// If set, reads return these rules although the state machine has a later revision.
    stale_rules: Mutex<Option<CurrentRules>>,
    failure: Mutex<Option<StoreError>>,
}

impl ConfigStore for FakeStore {
    fn rules(&self) -> BoxFuture<'_, Result<CurrentRules, StoreError>> {
        Box::pin(async {
            if let Some(rules) = self.stale_rules.lock().await.clone() {
                return Ok(rules);
            }
            let config = self.config.lock().await;
            Ok(CurrentRules {
                revision: config.revision(),
                rules: Arc::clone(config.rules()),
            })
        })
    }

    fn history(&self) -> BoxFuture<'_, Result<Vec<HistoryEntry>, StoreError>> {
        Box::pin(async { Ok(self.config.lock().await.history().cloned().collect()) })
    }

    fn status(&self) -> BoxFuture<'_, Result<FleetStatus, StoreError>> {
        let vm = VmStatus {
            vm: "entry-1".parse().unwrap(),
            data_centre: "east".parse().unwrap(),
            role: "entry".to_owned(),
            revision: Revision(1),
            reported_ms_ago: 250,
        };
        Box::pin(async {
            Ok(FleetStatus {
                revision: self.config.lock().await.revision(),
                vms: vec![vm],
            })
        })
    }

    fn targets(&self) -> BoxFuture<'_, Result<Vec<TargetStatus>, StoreError>> {
        let target = TargetStatus {
            service: "stock".parse().unwrap(),
            target: "stock-1".parse().unwrap(),
            address: "10.0.0.1:8080".to_owned(),
            data_centre: "east".parse().unwrap(),
            incarnation: Incarnation(3),
            slots: Slots(3),
            state: "ready".to_owned(),
        };
        Box::pin(async { Ok(vec![target]) })
    }

    fn submit(&self, edit: Edit) -> BoxFuture<'_, Result<EditReply, StoreError>> {
        Box::pin(async {
            self.submitted.fetch_add(1, Ordering::Relaxed);
            let reply = self.config.lock().await.apply(NOW, edit);
            match *self.failure.lock().await {
                Some(failure) => Err(failure),
                None => Ok(reply),
            }
        })
    }
}

struct Fixture {
    store: Arc<FakeStore>,
    server: OperatorServer,
}

impl Fixture {
    /// Creates a server whose rules are at revision 1.
    fn new() -> Self {
        let store = Arc::new(FakeStore::default());
        let keys = OperatorKeys::new(vec![
            key("root", None, vec![TeamScope::All]),
            key("meera", Some("warehouse"), Vec::new()),
            key(
                "ana",
                None,
                vec![TeamScope::Service("dispatch".parse().unwrap())],
            ),
        ]);
        let server = server(Arc::clone(&store) as Arc<dyn ConfigStore>, keys);
        let fixture = Self { store, server };
        let first = Call::put("root", RULES).if_match(0);
        assert!(fixture.send(first).starts_with("200 "));
        fixture
    }

    /// Returns the status, the relevant headers and the body of the response.
    fn send(&self, call: Call) -> String {
        block_on(async {
            let mut response: Response = self.server.respond(call.into_request()).await.unwrap();
            let names = [
                "Content-Type",
                "ETag",
                "Auburnbridge-Outcome",
                "Retry-After",
                "WWW-Authenticate",
            ];
            let headers: Vec<String> = names
                .iter()
                .filter_map(|name| Some(format!("{name}: {}", response.header(*name)?.last())))
                .collect();
            let body = response.body_string().await.unwrap();
            format!("{} [{}] {body}", response.status(), headers.join(", "))
        })
    }
}

fn key(secret: &str, team: Option<&str>, scopes: Vec<TeamScope>) -> OperatorKey {
    OperatorKey {
        digest: KeyDigest::of(secret),
        author: secret.parse().unwrap(),
        team: team.map(|name| name.parse().unwrap()),
        scopes,
    }
}

#[derive(Clone)]
struct Call {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl Call {
    fn new(method: Method, path: &'static str, secret: &str, body: &str) -> Self {
        Self {
            method,
            path,
            headers: vec![("Authorization", format!("Bearer {secret}"))],
            body: body.to_owned(),
        }
    }

    fn get(path: &'static str) -> Self {
        Self::new(Method::Get, path, "ana", "")
    }

    fn put(secret: &str, body: &str) -> Self {
        Self::new(Method::Put, "/auburnbridge/rules", secret, body).with_edit_id(body)
    }

    fn patch(secret: &str, body: &str) -> Self {
        Self::new(Method::Patch, "/auburnbridge/rules", secret, body).with_edit_id(body)
    }

    /// Sets an edit id derived from the text, so that calls with different texts have different ids.
    fn with_edit_id(self, text: &str) -> Self {
        let mut random = [0; 10];
        random[2..].copy_from_slice(&KeyDigest::of(text).0[..8]);
        let id = IdempotencyKey::from_parts(NOW, random).to_string();
        self.with_header("Auburnbridge-Edit-Id", &id)
    }

    fn if_match(self, revision: u64) -> Self {
        self.with_header("If-Match", &format!("\"{revision}\""))
    }

    fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    fn without_header(mut self, name: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self
    }

    fn into_request(self) -> Request {
        let url = Url::parse("http://operator.test")
            .unwrap()
            .join(self.path)
            .unwrap();
        let mut request = Request::new(self.method, url);
        for (name, value) in self.headers {
            request.insert_header(name, value);
        }
        request.set_body(self.body);
        request
    }
}

fn set(line: &str) -> String {
    serde_json::json!({ "set": { "text": line } }).to_string()
}

/// Guards against a read that works without a known key, and against a response that lacks its
/// revision.
#[test]
fn reads_require_a_known_key() {
    let fixture = Fixture::new();
    let rules = Call::get("/auburnbridge/rules");
    let answers = [
        fixture.send(rules.clone()),
        fixture.send(rules.clone().with_header("If-None-Match", "\"1\"")),
        fixture.send(Call::get("/auburnbridge/rules/history")),
        fixture.send(Call::get("/auburnbridge/status")),
        fixture.send(Call::get("/auburnbridge/targets")),
        fixture.send(rules.clone().without_header("Authorization")),
        fixture.send(rules.clone().with_header("Authorization", "Basic ana")),
        fixture.send(rules.with_header("Authorization", "Bearer anna")),
        fixture.send(Call::get("/auburnbridge/other")),
        fixture.send(Call::new(Method::Delete, "/auburnbridge/rules", "root", "")),
    ];
    insta::assert_snapshot!(answers.join("\n"));
}

/// Guards against an edit that is refused without a reason, and against an invalid edit that is
/// accepted.
#[test]
fn refused_edits_state_the_reason() {
    let fixture = Fixture::new();
    let patch = |body: &str| Call::patch("root", body).if_match(1);
    let valid = set("keys remember 48h # asked by Jonas");
    let whole = "service stock slots-floor many # asked by Meera\n";
    let answers = [
        patch(&valid).with_header("Authorization", "Bearer nobody"),
        patch(&valid).without_header("If-Match"),
        patch(&valid).with_header("If-Match", "*"),
        patch(&valid).with_header("If-Match", "W/\"1\""),
        patch(&valid).without_header("Auburnbridge-Edit-Id"),
        patch(&valid).with_header("Auburnbridge-Edit-Id", "7"),
        patch(&valid).if_match(0),
        patch(&valid).if_match(2),
        patch("{"),
        patch(r#"{"set": {"text": "", "line": 7}}"#),
        patch(r#"{"remove": {"key": "nonsense"}}"#),
        patch(r#"{"remove": {"key": "keys"}}"#),
        patch(&"x".repeat(MAX_LINE_EDIT_BYTES + 1)),
        Call::put("root", whole).if_match(1),
    ]
    .map(|call| fixture.send(call));
    insta::assert_snapshot!(answers.join("\n"));
    assert!(
        fixture
            .send(patch(&valid).with_edit_id("new"))
            .starts_with("200 ")
    );
}

/// Guards against an operator who can change the lines of another team's service.
#[test]
fn keys_change_only_their_services() {
    let to_dispatch = "route GET /bins/* to dispatch idempotent # asked by Ana";
    let to_stock = "route GET /bins/* to stock idempotent timeout 1s # asked by Ana";
    let cases = [
        ("meera", set(to_stock), true),
        ("meera", set(to_dispatch), false),
        (
            "meera",
            set("service dispatch slots-floor 9 # asked by Meera"),
            false,
        ),
        ("meera", set("keys remember 48h # asked by Meera"), false),
        (
            "meera",
            set("team warehouse may change * # asked by Meera"),
            false,
        ),
        (
            "meera",
            r#"{"remove": {"key": "team warehouse may change stock"}}"#.to_owned(),
            false,
        ),
        (
            "meera",
            r#"{"remove": {"key": "route GET /bins/*"}}"#.to_owned(),
            true,
        ),
        ("meera", set("# a note"), true),
        (
            "ana",
            set("service dispatch slots-floor 9 # asked by Ana"),
            true,
        ),
        ("ana", set(to_stock), false),
        (
            "ana",
            set("route GET /slips to dispatch once # asked by Ana"),
            true,
        ),
        ("root", set("keys remember 48h # asked by Jonas"), true),
    ];
    for (secret, body, allowed) in cases {
        let fixture = Fixture::new();
        let answer = fixture.send(Call::patch(secret, &body).if_match(1));
        let expected = if allowed { "200 " } else { "403 " };
        assert!(answer.starts_with(expected), "{secret} {body}: {answer}");
        let proposed = fixture.store.submitted.load(Ordering::Relaxed);
        assert_eq!(proposed, 1 + u64::from(allowed), "{secret} {body}");
    }
    let fixture = Fixture::new();
    let whole = RULES.replace("slots-floor 8", "slots-floor 9");
    assert!(
        fixture
            .send(Call::put("meera", &whole).if_match(1))
            .starts_with("403 ")
    );
    assert!(
        fixture
            .send(Call::put("ana", &whole).if_match(1))
            .starts_with("200 ")
    );
}

/// Guards against an edit that is refused as stale or applied twice when it is resent after a lost
/// response.
#[test]
fn resent_edit_gets_its_first_reply() {
    let fixture = Fixture::new();
    let call = Call::patch(
        "meera",
        &set("service stock slots-floor 12 # asked by Meera"),
    )
    .if_match(1);
    *block_on(fixture.store.failure.lock()) = Some(StoreError::OutcomeUnknown);
    let lost = fixture.send(call.clone());
    *block_on(fixture.store.failure.lock()) = None;
    // The resend gets the first reply even if its author may no longer make this edit.
    let other: Vec<&str> = RULES
        .lines()
        .filter(|line| !line.starts_with("team"))
        .collect();
    let other = Call::put("root", &other.join("\n")).if_match(2);
    let answers = [
        lost,
        fixture.send(other),
        fixture.send(call.clone()),
        fixture.send(call),
    ];
    insta::assert_snapshot!(answers.join("\n"));
    assert_eq!(
        block_on(fixture.store.config.lock()).revision(),
        Revision(3)
    );
}

/// Guards against an edit that is authorized against older rules than those to which it is applied,
/// while a process lags behind the log.
#[test]
fn stale_rules_authorize_no_edit() {
    let fixture = Fixture::new();
    let old = block_on(fixture.store.rules()).unwrap();
    let revoke = Call::patch(
        "root",
        r#"{"remove": {"key": "team warehouse may change stock"}}"#,
    );
    assert!(fixture.send(revoke.if_match(1)).starts_with("200 "));
    *block_on(fixture.store.stale_rules.lock()) = Some(old);
    let edit = || {
        Call::patch(
            "meera",
            &set("service stock slots-floor 12 # asked by Meera"),
        )
    };
    assert!(fixture.send(edit().if_match(2)).starts_with("503 "));
    assert!(fixture.send(edit().if_match(1)).starts_with("412 "));
    assert_eq!(
        block_on(fixture.store.config.lock()).revision(),
        Revision(2)
    );
}
