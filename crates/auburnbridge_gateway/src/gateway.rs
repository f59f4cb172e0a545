//! State of a gateway, and the way of a request up to its service.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use auburnbridge_caller::{Disconnect, LimitSource, Service};
use auburnbridge_http::{Limits, MemoryBudget, Request, Response};
use auburnbridge_policy::{CrashReport, PoisonTable};
use auburnbridge_routing::{CallerLimits, Dialect, HeaderNames, PublishedRoute, RouteSet, Splits};
use auburnbridge_target::Pool;
use auburnbridge_telemetry::ProcessMetrics;
use auburnbridge_types::{
    BodyDigest, BoxFuture, ByteSize, Clock, ConfigVersion, Millis, Timestamp,
};
use event_listener::Event;
use log::info;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sha2::{Digest, Sha256};

use crate::answer::Failure;
use crate::forward::Forward;
use crate::gate::ServiceGate;
use crate::service_table::ServiceTable;

/// Advice to come back while no configuration has arrived, which takes a few round trips.
const CONFIGURATION_RETRY: Millis = Millis(500);
/// Advice to come back with a request that crashes targets: when its crashes are forgotten.
const POISON_RETRY: Millis = auburnbridge_policy::POISON_TIME;
/// Longest body of a target's answer.
const ANSWER_LIMIT: ByteSize = ByteSize(64 << 20);
/// Limits before a configuration has arrived.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head: ByteSize(16 * 1024),
    body: ByteSize(64 << 20),
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
};

/// Connections of a [`Gateway`] to the rest of the system.
pub struct GatewayPorts {
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Names and formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to targets.
    pub pool: Pool,
    /// Memory for the bodies of all requests and answers.
    pub budget: MemoryBudget,
    /// Counters and histograms.
    pub metrics: Arc<ProcessMetrics>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// A gateway's state.
///
/// Lock order: `splits`, `poison` and `unreported_crashes` are never held with another lock.
pub struct Gateway {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) headers: HeaderNames,
    pub(crate) pool: Pool,
    pub(crate) services: ServiceTable,
    pub(crate) metrics: Arc<ProcessMetrics>,
    budget: MemoryBudget,
    routes: ArcSwapOption<RouteSet>,
    splits: Mutex<(Splits, StdRng)>,
    poison: Mutex<PoisonTable>,
    unreported_crashes: Mutex<Vec<CrashReport>>,
    /// Notified when there is something to tell the other gateways at once.
    pub(crate) news: Event,
}

/// A request with everything that decisions about it need.
pub(crate) struct Incoming {
    pub(crate) message: Request,
    /// Version of the configuration that gave the route.
    pub(crate) version: ConfigVersion,
    pub(crate) route: Arc<PublishedRoute>,
    pub(crate) digest: BodyDigest,
    pub(crate) arrived: Timestamp,
    /// When the caller or the operator no longer wants it to wait.
    pub(crate) deadline: Timestamp,
    /// Until then the answer is of full use.
    pub(crate) objective: Timestamp,
}

impl Gateway {
    /// Creates a gateway without routes.
    pub fn new(services: ServiceTable, ports: GatewayPorts) -> Self {
        Self {
            clock: ports.clock,
            headers: ports.dialect.headers(),
            pool: ports.pool,
            services,
            metrics: ports.metrics,
            budget: ports.budget,
            routes: ArcSwapOption::empty(),
            splits: Mutex::new((Splits::default(), StdRng::seed_from_u64(ports.seed))),
            poison: Mutex::default(),
            unreported_crashes: Mutex::default(),
            news: Event::new(),
        }
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Arc<RouteSet>> {
        self.routes.load_full()
    }

    /// The services.
    pub fn services(&self) -> &ServiceTable {
        &self.services
    }

    /// Puts routes in force unless those in force are as new: versions never go back.
    pub fn put_in_force(&self, routes: RouteSet) -> bool {
        let held = self.routes().map(|held| held.version());
        if held.is_some_and(|held| held >= routes.version()) {
            return false;
        }
        let services: Vec<&str> = routes
            .services()
            .map(|service| service.name.as_str())
            .collect();
        info!(
            version = routes.version().0, previous = held.map_or(0, |held| held.0),
            routes = routes.len(), services:? = services;
            "configuration in force"
        );
        self.metrics.set_configuration_version(routes.version().0);
        // The gates come first, so that no request meets a route without its service.
        self.services.apply_routes(&routes);
        self.splits.lock().0.retain(&routes);
        self.routes.store(Some(Arc::new(routes)));
        true
    }

    /// Takes over a crash that this or another gateway saw.
    pub fn record_crash(&self, report: CrashReport) {
        let now = self.clock.now();
        self.poison.lock().record(now, report);
    }

    /// Records a crash and queues it for the other gateways.
    pub(crate) fn report_crash(&self, report: CrashReport) {
        info!(
            target_id:% = report.target, incarnation = report.incarnation.0, request:% = report.request;
            "target crashed while it ran a request"
        );
        self.record_crash(report.clone());
        self.unreported_crashes.lock().push(report);
        self.news.notify(usize::MAX);
    }

    /// The crashes that the other gateways have not been told yet.
    pub fn take_unreported_crashes(&self) -> Vec<CrashReport> {
        std::mem::take(&mut self.unreported_crashes.lock())
    }

    pub(crate) fn is_poisoned(&self, digest: &BodyDigest) -> bool {
        let now = self.clock.now();
        self.poison.lock().is_poisoned(now, digest)
    }

    /// Limits of an answer; targets seal theirs, so an answer may end with its connection.
    pub(crate) fn answer_limits(&self) -> Limits {
        Limits::default()
            .with_body_bytes(ANSWER_LIMIT)
            .with_budget(self.budget.clone())
            .with_unframed_responses()
    }

    async fn handle(self: Arc<Self>, message: Request, disconnect: Disconnect) -> Response {
        let arrived = self.clock.now();
        let refuse = |failure, retry_after| refuse(&message, self.headers, failure, retry_after);
        let Some(routes) = self.routes() else {
            return refuse(Failure::NoConfiguration, Some(CONFIGURATION_RETRY));
        };
        let host = message.headers.text("Host").unwrap_or_default();
        let Some(route) = routes.find(host, &message.path).cloned() else {
            return refuse(Failure::NoRoute, None);
        };
        let digest = digest_of(&message);
        if self.is_poisoned(&digest) {
            return refuse(Failure::Poisoned, Some(POISON_RETRY));
        }
        let Some(gate) = self.gate_of(&route) else {
            return refuse(Failure::NoConfiguration, Some(CONFIGURATION_RETRY));
        };
        let wait = message
            .headers
            .text(self.headers.deadline)
            .and_then(|text| text.parse::<Millis>().ok())
            .map_or(route.timeout, |wait| wait.min(route.timeout));
        let incoming = Incoming {
            version: routes.version(),
            digest,
            arrived,
            deadline: arrived.after(wait),
            objective: arrived.after(route.objective.min(wait)),
            route,
            message,
        };
        Forward::new(&self, &incoming, &gate, &disconnect)
            .run()
            .await
    }

    fn caller_limits(&self) -> CallerLimits {
        self.routes().map_or(FIRST_LIMITS, |routes| routes.limits())
    }

    fn gate_of(&self, route: &PublishedRoute) -> Option<Arc<ServiceGate>> {
        let (splits, rng) = &mut *self.splits.lock();
        let destination = splits.next(route, || rng.random())?;
        self.services.get(&destination.service)
    }
}

/// Logs a refusal of a request that went to no service, and gives its response.
fn refuse(
    message: &Request,
    headers: HeaderNames,
    failure: Failure,
    retry_after: Option<Millis>,
) -> Response {
    info!(
        attempt = message.headers.text(headers.attempt).unwrap_or("-"), method = message.method,
        path = message.path, reason:% = failure, not_run = failure.is_not_run();
        "request refused"
    );
    failure.to_response(retry_after)
}

/// Digest that identifies a request across its resends, whose attempt ids differ.
pub fn digest_of(message: &Request) -> BodyDigest {
    let mut hasher = Sha256::new();
    let host = message.headers.get("Host").unwrap_or_default();
    for part in [
        host,
        message.method.as_bytes(),
        message.path.as_bytes(),
        &message.body,
    ] {
        // The length keeps the boundary between two parts from shifting.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    BodyDigest(hasher.finalize().into())
}

/// Serves callers of a shared gateway.
pub struct CallerService(pub Arc<Gateway>);

impl Service for CallerService {
    fn respond(
        &self,
        req: Request,
        _caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        Box::pin(Arc::clone(&self.0).handle(req, disconnect))
    }
}

impl LimitSource for Gateway {
    fn limits(&self) -> Limits {
        let limits = self.caller_limits();
        Limits::default()
            .with_head_bytes(limits.head)
            .with_body_bytes(limits.body)
            .with_budget(self.budget.clone())
    }

    fn request_timeout(&self) -> Millis {
        self.caller_limits().head_timeout
    }

    fn idle_timeout(&self) -> Millis {
        self.caller_limits().idle_timeout
    }
}
