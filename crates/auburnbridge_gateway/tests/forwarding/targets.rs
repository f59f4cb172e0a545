//! Scripted targets on loopback, and a gateway in front of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use auburnbridge_caller::{Lifecycle, LimitSource, Listener, ListenerOptions};
use auburnbridge_gateway::{CallerService, Gateway, GatewayDependencies, ServiceTable};
use auburnbridge_http::{Connection, Limits, MemoryBudget, Request, RequestInfo, Response};
use auburnbridge_membership::{AnnouncedState, Announcement};
use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    BalancerOptions, DispatcherOptions, GatewayHost, ResendBudgetOptions,
};
use auburnbridge_routing::{
    CallError, CallerLimits, ControlCall, Destination, Dialect, DocumentError, HeaderNames,
    PublishedRoute, PublishedService, RouteSet, RouteSetBuilder,
};
use auburnbridge_target::Pool;
use auburnbridge_types::{
    ByteSize, Clock, ConfigVersion, Incarnation, Millis, Priority, RuntimeClock, Sequence, Slots,
    Weight,
};
use parking_lot::Mutex;

/// How a target handles a request.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Responds with these bytes, in which `{id}` stands for the attempt id.
    Respond(&'static str),
    /// Responds like `Respond` to the first request with the first text, to the second one with the
    /// second, and so on, and repeats the last.
    InTurn(&'static [&'static str]),
    /// Responds like `Respond`, then closes the connection.
    RespondAndClose(&'static str),
    /// Closes the connection without a response.
    Disconnect,
    /// Closes the connection without a response after a time in milliseconds.
    DisconnectAfter(u64),
    /// Responds like `Respond` after a time in milliseconds.
    RespondAfter(u64, &'static str),
    /// Sends the first text once and the second one over and over, until the gateway closes.
    Endless(&'static str, &'static str),
    /// Sends no response and keeps the connection open.
    Hang,
}

pub const OK: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
pub const LEAVING: &str =
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok";
pub const SHED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nAttempt: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
pub const MISDIRECTED: &str =
    "HTTP/1.1 421 Misdirected Request\r\nAttempt: {id}\r\nInstance: x\r\nContent-Length: 0\r\n\r\n";
pub const SERVER_ERROR: &str =
    "HTTP/1.1 500 Internal Server Error\r\nAttempt: {id}\r\nSeal: e\r\nContent-Length: 1\r\n\r\ne";

/// Memory for the bodies of all requests and responses of a gateway.
pub const BODY_MEMORY: ByteSize = ByteSize(1 << 20);

/// A target and the requests that it received.
pub struct Target {
    pub name: &'static str,
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Request>>>,
}

/// Starts a target that handles each request according to `behaviour`.
pub async fn start_target(name: &'static str, behaviour: Behaviour) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
    let received = Arc::clone(&requests);
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(serve(stream, behaviour, Arc::clone(&received)));
        }
    });
    Target {
        name,
        address,
        requests,
    }
}

async fn serve(stream: TcpStream, behaviour: Behaviour, received: Arc<Mutex<Vec<Request>>>) {
    let mut connection = Connection::new(stream);
    while let Ok(req) = connection.read_request(&Limits::default()).await {
        let id = req.headers.text("Attempt").unwrap_or("-").to_owned();
        let number = {
            let mut received = received.lock();
            received.push(req);
            received.len() - 1
        };
        let text = match behaviour {
            Behaviour::Respond(text) | Behaviour::RespondAndClose(text) => text,
            Behaviour::InTurn(texts) => texts[number.min(texts.len() - 1)],
            Behaviour::RespondAfter(time_ms, text) => {
                task::sleep(Duration::from_millis(time_ms)).await;
                text
            }
            Behaviour::Disconnect => return,
            Behaviour::DisconnectAfter(time_ms) => {
                task::sleep(Duration::from_millis(time_ms)).await;
                return;
            }
            Behaviour::Endless(start, repeated) => {
                send_endlessly(connection.get_mut(), &start.replace("{id}", &id), repeated).await;
                return;
            }
            Behaviour::Hang => {
                task::sleep(Duration::from_secs(30)).await;
                return;
            }
        };
        let response = text.replace("{id}", &id);
        if connection
            .get_mut()
            .write_all(response.as_bytes())
            .await
            .is_err()
        {
            return;
        }
        if matches!(behaviour, Behaviour::RespondAndClose(_)) {
            return;
        }
    }
}

async fn send_endlessly(stream: &mut TcpStream, start: &str, repeated: &str) {
    let block = repeated.repeat(64 * 1024 / repeated.len().max(1));
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(block.as_bytes()).await.is_ok() {}
}

/// Dialect with header names of its own.
struct TestDialect;

impl Dialect for TestDialect {
    fn headers(&self) -> HeaderNames {
        HeaderNames {
            attempt: "Attempt",
            deadline: "Wait-Ms",
            expected_target: "Expected",
            seal: "Seal",
            not_run: "Not-Run",
            leaving: "Leaving",
            api_key: "Key",
            account: "Account",
        }
    }

    fn readiness_path(&self) -> &'static str {
        "/ready"
    }

    fn read_call(&self, _req: &Request) -> Result<ControlCall, CallError> {
        Err(CallError::UnknownPath)
    }

    fn read_document(&self, _document: &[u8]) -> Result<RouteSet, DocumentError> {
        Err(DocumentError::Unreadable("not used here".to_owned()))
    }
}

pub fn announcement(target: &Target) -> Announcement {
    Announcement {
        service: "stock".parse().unwrap(),
        target: target.name.parse().unwrap(),
        address: target.address,
        data_centre: "north".parse().unwrap(),
        incarnation: Incarnation(1),
        sequence: Sequence(1),
        slots: Slots(2),
        state: AnnouncedState::Ready,
    }
}

fn route(name: &str, prefix: &str, class: RequestClass, timeout: Millis) -> PublishedRoute {
    PublishedRoute {
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        class,
        priority: Priority(0),
        is_public: false,
        latency_objective: Millis(800),
        timeout,
        max_attempts: 2,
        destinations: vec![Destination {
            service: "stock".parse().unwrap(),
            weight: Weight(1),
        }],
    }
}

/// Routes of version 1 without client accounts.
fn routes() -> RouteSet {
    routes_builder(ConfigVersion(1)).build()
}

/// Routes of this version: public ones under `/public/`, lookups and orders under their names.
pub fn routes_builder(version: ConfigVersion) -> RouteSetBuilder {
    let limits = CallerLimits {
        head: ByteSize(16_384),
        body: ByteSize(1 << 20),
        head_timeout: Millis(1_000),
        idle_timeout: Millis(5_000),
    };
    routes_builder_with(version, limits, Millis(1_200))
}

/// Routes like those of [`routes_builder`] with these limits and this timeout.
pub fn routes_builder_with(
    version: ConfigVersion,
    limits: CallerLimits,
    timeout: Millis,
) -> RouteSetBuilder {
    let mut routes = RouteSet::builder(version, limits);
    let service = PublishedService {
        name: "stock".parse().unwrap(),
        health_path: "/health".to_owned(),
        connection_limit: 100,
    };
    routes.service(service).unwrap();
    let lookups = route("lookups", "/lookup/", RequestClass::Idempotent, timeout);
    let orders = route("orders", "/order/", RequestClass::Once, timeout);
    routes.route("h", lookups).unwrap();
    let public = PublishedRoute {
        is_public: true,
        ..route("public", "/public/", RequestClass::Idempotent, timeout)
    };
    routes.route("h", orders).unwrap();
    routes.route("h", public).unwrap();
    routes
}

/// Creates a gateway in front of `targets`.
pub fn start_gateway(targets: &[&Target]) -> Arc<Gateway> {
    Arc::new(build_gateway(targets, BODY_MEMORY))
}

/// Creates a gateway with this memory for bodies in front of `targets`, to which further parts can be
/// added.
pub fn build_gateway(targets: &[&Target], memory: ByteSize) -> Gateway {
    let clock: Arc<dyn Clock> = Arc::new(RuntimeClock);
    let options = DispatcherOptions {
        balancer: BalancerOptions {
            own: GatewayHost {
                vm: "gateway-1".parse().unwrap(),
                data_centre: "north".parse().unwrap(),
            },
            floor_share: 0.7,
            seed: 1,
            even_load: false,
        },
        resend_budget: ResendBudgetOptions {
            ratio: 0.2,
            allowance: 60.0,
            window: Millis(10_000),
        },
        seed: 1,
    };
    let pool = Pool::builder(Arc::clone(&clock))
        .connect_timeout(Millis(200))
        .echo_header("Attempt")
        .build();
    let dependencies = GatewayDependencies {
        clock: Arc::clone(&clock),
        dialect: Arc::new(TestDialect),
        pool,
        budget: MemoryBudget::new(memory),
        metrics: Arc::default(),
        seed: 1,
    };
    let gateway = Gateway::new(ServiceTable::new(clock, options), dependencies);
    assert!(gateway.install_routes(routes()));
    let announcements: Vec<Announcement> =
        targets.iter().map(|target| announcement(target)).collect();
    gateway.services().apply_targets(&announcements);
    gateway
}

/// Starts to serve callers of the gateway, and returns its address.
pub async fn listen(gateway: &Arc<Gateway>) -> SocketAddr {
    let limits = Arc::clone(gateway) as Arc<dyn LimitSource>;
    let options = ListenerOptions::builder().pipelined(4, limits).build();
    let listener = Listener::bind(
        "127.0.0.1:0".parse().unwrap(),
        Arc::new(CallerService(Arc::clone(gateway))),
        Arc::new(Lifecycle::default()),
        options,
    )
    .await
    .unwrap();
    let address = listener.local_address().unwrap();
    task::spawn(listener.run());
    address
}

/// Sends a request for `path` with a deadline of `wait_ms`, and returns the response.
pub async fn send(address: SocketAddr, path: &str, wait_ms: u64) -> Response {
    send_with(address, path, wait_ms, &[]).await
}

/// Sends a request like [`send`], with further headers.
pub async fn send_with(
    address: SocketAddr,
    path: &str,
    wait_ms: u64,
    headers: &[(&'static str, &str)],
) -> Response {
    let mut connection = Connection::new(TcpStream::connect(address).await.unwrap());
    exchange(&mut connection, path, wait_ms, headers).await
}

/// The method with which the tests send a request for `path`.
pub fn method_of(path: &str) -> &'static str {
    if path.starts_with("/order/") {
        "POST"
    } else {
        "GET"
    }
}

/// Sends a request on an open connection, and returns the response.
pub async fn exchange(
    connection: &mut Connection<TcpStream>,
    path: &str,
    wait_ms: u64,
    headers: &[(&'static str, &str)],
) -> Response {
    let mut req = Request::new(method_of(path), path);
    req.headers.append("Host", "h");
    req.headers.append("Attempt", "a-7");
    req.headers.append("Wait-Ms", wait_ms.to_string());
    for (name, value) in headers {
        req.headers.append(name, value);
    }
    connection.write_request(&req).await.unwrap();
    connection
        .read_response(RequestInfo::from(&req), &Limits::default())
        .await
        .unwrap()
}
