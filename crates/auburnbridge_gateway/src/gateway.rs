//! State of a gateway, and the routing of a request to its service.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use auburnbridge_caller::{Disconnect, LimitSource, Service, TransferPace};
use auburnbridge_http::{Limits, MemoryBudget, Request, Response, UnreadRequest};
use auburnbridge_membership::Announcement;
use auburnbridge_policy::account_limit::{Refused, RefusedReason};
use auburnbridge_policy::balance::{ExitBound, Pick};
use auburnbridge_policy::poison::{SuspectReport, Verdict};
use auburnbridge_routing::{
    CallerLimits, ClientAccount, Dialect, HeaderNames, PublishedRoute, RouteSet, TrafficSplits,
};
use auburnbridge_target::Pool;
use auburnbridge_telemetry::ProcessMetrics;
use auburnbridge_types::{
    BoxFuture, ByteSize, Clock, ConfigVersion, ErrorKind, Millis, Priority, RequestDigest,
    ServiceName, Timestamp, VmId,
};
use event_listener::Event;
use log::info;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::account_limits::{AccountLimits, AccountPermit};
use crate::authentication::{authenticate, priority};
use crate::bodies::{BodyBudgets, BodyOptions, TargetBodies};
use crate::departures::UnreportedDepartures;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::forward::Forwarder;
use crate::service_dispatcher::ServiceDispatcher;
use crate::service_table::ServiceTable;
use crate::suspects::{CallerIdentity, SuspectRegister, request_digest};

/// `Retry-After` while no configuration has been received, which takes a few round trips.
pub(crate) const CONFIGURATION_RETRY_AFTER: Millis = Millis(500);
/// `Retry-After` of a request that waits for its account's limit when the gateway stops. Another gateway
/// can take it at once.
const STOPPING_RETRY_AFTER: Millis = Millis(100);
/// Maximum body size of a target's response.
const RESPONSE_BODY_LIMIT: ByteSize = ByteSize(64 << 20);
/// Limits until a configuration has been received.
const DEFAULT_CALLER_LIMITS: CallerLimits = CallerLimits {
    head: ByteSize(16 * 1024),
    body: ByteSize(64 << 20),
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
};

/// Components that a [`Gateway`] uses.
pub struct GatewayDependencies {
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Header names, paths and document formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Connection pool to the targets.
    pub pool: Pool,
    /// Memory budget for the bodies of all requests and responses.
    pub budget: MemoryBudget,
    /// Counters and histograms of the process.
    pub metrics: Arc<ProcessMetrics>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// State of a gateway.
///
/// Lock order: `splits` before the locks of `services`.
pub struct Gateway {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) headers: HeaderNames,
    pub(crate) pool: Pool,
    pub(crate) services: ServiceTable,
    pub(crate) metrics: Arc<ProcessMetrics>,
    pub(crate) budgets: BodyBudgets,
    body_options: BodyOptions,
    pub(crate) target_bodies: Arc<TargetBodies>,
    /// Limits of accounts over all gateways; `None` if the settings ask for none.
    account_limits: Option<Arc<AccountLimits>>,
    routes: ArcSwapOption<RouteSet>,
    splits: Mutex<(TrafficSplits, StdRng)>,
    /// Requests that crash targets.
    pub(crate) suspects: SuspectRegister,
    pub(crate) unreported_departures: UnreportedDepartures,
    pub(crate) exit: Exit,
    /// Notified when a finding is to be reported to the other gateways immediately.
    pub(crate) urgent_report: Event,
}

/// A request with its route and deadlines.
pub(crate) struct Incoming {
    pub(crate) request: Request,
    /// Version of the configuration that the route is from.
    pub(crate) version: ConfigVersion,
    pub(crate) route: Arc<PublishedRoute>,
    /// Whether the configuration has client accounts.
    pub(crate) has_accounts: bool,
    /// Client account that the request belongs to, unless the route is public or the configuration has no
    /// accounts.
    pub(crate) account: Option<Arc<ClientAccount>>,
    /// Permission to pass on the request, if its account has a limit.
    pub(crate) permit: Option<AccountPermit>,
    /// Priority of the account, or of the route if the account has none.
    pub(crate) priority: Priority,
    pub(crate) digest: RequestDigest,
    pub(crate) arrived: Timestamp,
    /// Arrival time plus the route's timeout, or the caller's deadline if that is earlier.
    pub(crate) deadline: Timestamp,
    /// Instant until which a response is of full use to the caller.
    pub(crate) objective: Timestamp,
}

impl Gateway {
    /// Creates a gateway without routes.
    pub fn new(services: ServiceTable, dependencies: GatewayDependencies) -> Self {
        Self {
            clock: dependencies.clock,
            headers: dependencies.dialect.headers(),
            pool: dependencies.pool,
            services,
            suspects: SuspectRegister::new(Arc::clone(&dependencies.metrics)),
            metrics: dependencies.metrics,
            budgets: BodyBudgets::new(&dependencies.budget),
            body_options: BodyOptions::default(),
            target_bodies: Arc::new(TargetBodies::new(
                BodyOptions::default().in_flight_per_target,
            )),
            account_limits: None,
            routes: ArcSwapOption::empty(),
            splits: Mutex::new((
                TrafficSplits::default(),
                StdRng::seed_from_u64(dependencies.seed),
            )),
            unreported_departures: UnreportedDepartures::default(),
            exit: Exit::default(),
            urgent_report: Event::new(),
        }
    }

    /// Sets the limits on bodies.
    #[must_use]
    pub fn with_body_options(mut self, options: BodyOptions) -> Self {
        self.target_bodies = Arc::new(TargetBodies::new(options.in_flight_per_target));
        self.body_options = options;
        self
    }

    /// Applies the limits of client accounts.
    #[must_use]
    pub fn with_account_limits(mut self, limits: Arc<AccountLimits>) -> Self {
        self.account_limits = Some(limits);
        self
    }

    /// The limits of client accounts, if they are applied.
    pub fn account_limits(&self) -> Option<&Arc<AccountLimits>> {
        self.account_limits.as_ref()
    }

    /// Bounds all waits of requests by the end of the process, which stops. Each request whose answer
    /// can't arrive by then is refused as soon as this is known.
    pub fn begin_exit(&self, bound: ExitBound) {
        self.exit.begin(bound);
        self.refuse_unstartable();
    }

    /// Refuses the waiting requests that certainly can't start before the process ends, if it stops.
    pub(crate) fn refuse_unstartable(&self) {
        let Some(bound) = self.exit.bound() else {
            return;
        };
        for dispatcher in self.services.dispatchers() {
            dispatcher.refuse_unstartable(*bound);
        }
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Arc<RouteSet>> {
        self.routes.load_full()
    }

    /// The services and their dispatchers.
    pub fn services(&self) -> &ServiceTable {
        &self.services
    }

    /// Memory that the bodies of requests and responses use.
    pub fn body_memory(&self) -> ByteSize {
        self.budgets.used()
    }

    /// Sets the metrics of the memory that bodies use.
    pub(crate) fn record_body_bytes(&self) {
        let BodyBudgets {
            requests,
            responses,
        } = &self.budgets;
        self.metrics
            .set_body_bytes(requests.used().0, responses.used().0);
    }

    /// Puts `routes` in force if their version is newer than the current one, since versions never go
    /// back. Returns whether it did.
    pub fn install_routes(&self, routes: RouteSet) -> bool {
        let current = self.routes().map(|current| current.version());
        if current.is_some_and(|current| current >= routes.version()) {
            return false;
        }
        let services: Vec<&str> = routes
            .services()
            .map(|service| service.name.as_str())
            .collect();
        info!(
            version = routes.version().0, previous = current.map_or(0, |current| current.0),
            routes = routes.len(), services:? = services;
            "configuration in force"
        );
        self.metrics.set_configuration_version(routes.version().0);
        // The dispatchers are updated first, so that no request finds a route without its service.
        self.services.apply_routes(&routes);
        self.splits.lock().0.retain(&routes);
        if let Some(limits) = &self.account_limits {
            limits.apply_routes(&routes);
        }
        self.routes.store(Some(Arc::new(routes)));
        true
    }

    /// Records what another gateway knows of a request that crashes targets, and returns the answer if that
    /// knows too little.
    pub fn record_suspect(&self, report: &SuspectReport) -> Option<SuspectReport> {
        self.suspects.record(self.clock.now(), report)
    }

    /// Takes the reports about requests that crash targets, for the other gateways.
    pub fn take_suspect_reports(&self) -> Vec<SuspectReport> {
        self.suspects.take_unreported()
    }

    pub(crate) fn verdict(&self, request: &RequestDigest) -> Verdict {
        self.suspects.verdict(self.clock.now(), request)
    }

    /// Takes a target out of use that stated its departure in a response, and queues the departure for
    /// the keepers.
    pub(crate) fn record_departure(&self, service: &ServiceName, pick: &Pick) {
        let departure = self
            .services
            .record_departure(service, &pick.target, pick.incarnation);
        let Some(departure) = departure else {
            return;
        };
        info!(
            service = service.as_str(), target_id = pick.target.as_str(),
            incarnation = pick.incarnation.0;
            "target leaving"
        );
        self.metrics.record_stated_departure(service.as_str());
        self.pool.close_idle(pick.address);
        self.unreported_departures.push(departure);
    }

    /// Takes the departures that have not been reported to the keepers yet.
    pub fn take_unreported_departures(&self) -> Vec<Announcement> {
        self.unreported_departures.take()
    }

    /// Limits of a target's response. It may be delimited by the end of its connection, since
    /// targets seal their responses. Only the presence of the seal is checked.
    pub(crate) fn response_limits(&self) -> Limits {
        Limits::default()
            .with_body_bytes(RESPONSE_BODY_LIMIT)
            .with_budget(self.budgets.responses.clone())
            .with_unframed_responses()
    }

    /// Serves a request whose head arrived at `arrived`.
    async fn handle(
        self: Arc<Self>,
        request: Request,
        caller: SocketAddr,
        arrived: Timestamp,
        disconnect: Disconnect,
    ) -> Response {
        let refuse = |failure, retry_after| refuse(&request, self.headers, failure, retry_after);
        let (routes, route) = match self.find_route(&request) {
            Ok(found) => found,
            Err(failure) => return refuse(failure, refusal_retry_after(failure)),
        };
        let Ok(account) = authenticate(&request, self.headers, &routes, &route) else {
            return refuse(Failure::UnknownKey, None);
        };
        let caller = CallerIdentity::new(account.as_deref(), caller.ip());
        let digest = request_digest(&request, &caller);
        if let Verdict::Poisoned(left) = self.verdict(&digest) {
            let attempt = request.headers.text(self.headers.attempt).unwrap_or("-");
            self.suspects.record_refusal(attempt, &digest, left);
            return refuse(Failure::Poisoned, Some(left));
        }
        let Some(dispatcher) = self.dispatcher_for(&route) else {
            return refuse(Failure::NoConfiguration, Some(CONFIGURATION_RETRY_AFTER));
        };
        let wait = self.wait(&request, &route);
        let objective = arrived.after(route.latency_objective.min(wait));
        let admission = self.admit(account.as_deref(), routes.version(), objective);
        let expected = || dispatcher.expected_answer_time();
        let clock = self.clock.as_ref();
        let permit = match self.exit.bound_wait(clock, expected, admission).await {
            Some(Ok(permit)) => permit,
            Some(Err(refused)) => {
                return self.refuse_account(&request, account.as_deref(), &refused);
            }
            None => return refuse(Failure::Stopping, Some(STOPPING_RETRY_AFTER)),
        };
        let incoming = Incoming {
            version: routes.version(),
            has_accounts: routes.accounts().is_some(),
            digest,
            arrived,
            deadline: arrived.after(wait),
            objective,
            priority: priority(&route, account.as_deref()),
            account,
            permit,
            route,
            request,
        };
        Forwarder::new(&self, &incoming, &dispatcher, &disconnect)
            .run()
            .await
    }

    /// The configuration in force, and the route of a request.
    pub(crate) fn find_route(
        &self,
        request: &Request,
    ) -> Result<(Arc<RouteSet>, Arc<PublishedRoute>), Failure> {
        let routes = self.routes().ok_or(Failure::NoConfiguration)?;
        let host = request.headers.text("Host").unwrap_or_default();
        let route = routes.find(host, &request.path).cloned();
        Ok((routes, route.ok_or(Failure::NoRoute)?))
    }

    /// Waits for the permit of a request; `None` if its account has no limit.
    async fn admit(
        &self,
        account: Option<&ClientAccount>,
        version: ConfigVersion,
        hold_until: Timestamp,
    ) -> Result<Option<AccountPermit>, Refused> {
        match (&self.account_limits, account) {
            (Some(limits), Some(account)) => limits.admit(account, version, hold_until).await,
            _ => Ok(None),
        }
    }

    /// Logs the refusal of a request by the owner of its account's limit, and returns the response.
    fn refuse_account(
        &self,
        request: &Request,
        account: Option<&ClientAccount>,
        refused: &Refused,
    ) -> Response {
        let failure = match refused.reason {
            RefusedReason::OverLimit => Failure::OverLimit,
            RefusedReason::NoOwner => Failure::LimitUnknown,
        };
        let limits = self.account_limits.as_ref();
        let owner = refused.owner.and_then(|id| limits?.vm(id));
        info!(
            attempt = request.headers.text(self.headers.attempt).unwrap_or("-"),
            method = request.method, path = request.path, reason:% = failure,
            account = account.map_or("-", |account| account.id.as_str()),
            owner = owner.as_ref().map_or("-", VmId::as_str),
            retry_after_ms = refused.retry_after.0, not_run = failure.is_not_run();
            "request refused"
        );
        failure.to_response(Some(refused.retry_after))
    }

    fn caller_limits(&self) -> CallerLimits {
        self.routes()
            .map_or(DEFAULT_CALLER_LIMITS, |routes| routes.limits())
    }

    fn dispatcher_for(&self, route: &PublishedRoute) -> Option<Arc<ServiceDispatcher>> {
        let (splits, rng) = &mut *self.splits.lock();
        let destination = splits.next(route, || rng.random())?;
        self.services.get(&destination.service)
    }
}

/// `Retry-After` of a request that is refused before a service is chosen.
pub(crate) fn refusal_retry_after(failure: Failure) -> Option<Millis> {
    match failure {
        Failure::NoConfiguration => Some(CONFIGURATION_RETRY_AFTER),
        _ => None,
    }
}

/// Logs the refusal of a request that was assigned to no service, and returns the response.
pub(crate) fn refuse(
    request: &Request,
    headers: HeaderNames,
    failure: Failure,
    retry_after: Option<Millis>,
) -> Response {
    info!(
        attempt = request.headers.text(headers.attempt).unwrap_or("-"), method = request.method,
        path = request.path, reason:% = failure, not_run = failure.is_not_run();
        "request refused"
    );
    failure.to_response(retry_after)
}

/// The [`Service`] that forwards the requests of callers through a shared gateway.
pub struct CallerService(pub Arc<Gateway>);

impl Service for CallerService {
    fn respond(
        &self,
        req: Request,
        caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        let arrived = self.0.clock.now();
        Box::pin(Arc::clone(&self.0).handle(req, caller, arrived, disconnect))
    }

    fn admit(
        &self,
        head: &UnreadRequest,
        arrived: Timestamp,
    ) -> Result<Option<Timestamp>, Box<Response>> {
        self.0.admit_head(head, arrived).map(Some).map_err(Box::new)
    }

    fn respond_since(
        &self,
        req: Request,
        arrived: Timestamp,
        caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        Box::pin(Arc::clone(&self.0).handle(req, caller, arrived, disconnect))
    }
}

impl LimitSource for Gateway {
    fn limits(&self) -> Limits {
        let limits = self.caller_limits();
        Limits::default()
            .with_head_bytes(limits.head)
            .with_body_bytes(limits.body)
            .with_budget(self.budgets.requests.clone())
    }

    fn request_timeout(&self) -> Millis {
        self.caller_limits().head_timeout
    }

    fn idle_timeout(&self) -> Millis {
        self.caller_limits().idle_timeout
    }

    fn body_pace(&self) -> TransferPace {
        TransferPace {
            max_pause: self.caller_limits().head_timeout,
            min_rate: self.body_options.min_rate,
        }
    }

    fn connection_memory(&self) -> ByteSize {
        self.budgets.connection_limit()
    }

    fn record_unread(&self, kind: ErrorKind) {
        info!(reason:% = kind, body_bytes = self.budgets.requests.used().0; "request not read");
        self.metrics.record_unread_request(kind.into());
    }
}
