//! Startup, maintenance and shutdown of a gateway process.

use std::collections::BTreeSet;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use async_std::task;
use auburnbridge_caller::{
    Disconnect, Lifecycle, LimitSource, Listener, ListenerOptions, Phase, Service,
};
use auburnbridge_http::{MemoryBudget, Request, Response};
use auburnbridge_messages::MESSAGE_LIMIT;
use auburnbridge_peer::plain::PlainTransport;
use auburnbridge_peer::{Options, PeerIdentity, Role, Transport};
use auburnbridge_policy::balance::{
    BalancerOptions, DispatcherOptions, GatewayHost, ResendBudgetOptions,
};
use auburnbridge_routing::Dialect;
use auburnbridge_target::Pool;
use auburnbridge_telemetry::MetricsService;
use auburnbridge_types::{
    BootClock, BoxFuture, ByteSize, Clock, DataCentre, LinkRate, Millis, VmId,
};
use error_stack::{Report, ResultExt};
use log::info;
use parking_lot::Mutex;

use crate::account_limits::{AccountLimitOptions, AccountLimits};
use crate::bodies::BodyOptions;
use crate::explain::OperatorService;
use crate::feed::KeeperWatcher;
use crate::gateway::{CallerService, Gateway, GatewayDependencies};
use crate::neighbours::GatewayReporter;
use crate::service_table::ServiceTable;
use crate::stop_times::StopTimes;

/// Maximum number of pipelined requests of one connection that are handled concurrently.
const PIPELINE_DEPTH: usize = 16;
/// Timeout for connecting to a target. A round trip within a region takes a few milliseconds, and a
/// lost packet is retransmitted only after a second, by when another target is the better choice.
const CONNECT_TIMEOUT: Millis = Millis(120);
/// Longest idle time of a connection that is reused for an at-most-once request. Targets may drop
/// idle connections after a third of a second silently, that is, without a close that the gateway
/// sees.
const ONCE_MAX_IDLE: Millis = Millis(200);
/// Idle time after which the gateway closes a connection to a target. Targets close their idle
/// connections after ten seconds.
const POOL_IDLE_TIMEOUT: Millis = Millis(4_000);
/// Timeout for connecting to a keeper. It is short because another keeper may be reachable.
const KEEPER_CONNECT_TIMEOUT: Millis = Millis(300);
/// First delay before another attempt to connect to the same keeper.
const KEEPER_MIN_BACKOFF: Millis = Millis(20);
/// Longest delay between two attempts to connect to the same keeper.
const KEEPER_MAX_BACKOFF: Millis = Millis(200);
/// Interval of the maintenance loop, which starts waiting requests and closes idle connections.
const MAINTENANCE_INTERVAL: Millis = Millis(50);
/// Maintenance intervals from one cleanup of idle connections to the next.
const TICKS_PER_POOL_CLEANUP: u32 = 20;

/// Settings of a gateway process.
#[derive(Clone)]
pub struct GatewayOptions {
    /// VM that the gateway runs on, named by its IP address.
    pub vm: VmId,
    /// Data centre that the gateway runs in.
    pub data_centre: DataCentre,
    /// Address on which the gateway accepts callers.
    pub caller_address: SocketAddr,
    /// Address on which the gateway answers readiness checks.
    pub readiness_address: SocketAddr,
    /// UDP address on which the gateway receives reports of other gateways.
    pub peer_address: SocketAddr,
    /// Keepers to contact first; the list may be replaced while the gateway runs.
    pub seeds: Arc<Mutex<Vec<IpAddr>>>,
    /// Port on which keepers serve other processes.
    pub keeper_port: u16,
    /// Header names, paths and document formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Lengths of the phases of a planned stop.
    pub stop_times: StopTimes,
    /// Memory for the bodies of all requests and responses.
    pub body_memory: ByteSize,
    /// Limits on bodies.
    pub bodies: BodyOptions,
    /// Maximum number of connections to one target.
    pub connections_per_target: usize,
    /// Minimum share of the targets that aren't down to use: the least suspected ones are used up
    /// to this share, except strongly suspected ones.
    pub floor_share: f64,
    /// Whether load reports are aged and requests spread by the expected load.
    pub even_load: bool,
    /// Budget for retries and hedges, that is, for sends beyond the first one of a request.
    pub resend_budget: ResendBudgetOptions,
    /// Limits of client accounts over all gateways; `None` applies none.
    pub account_limits: Option<AccountLimitOptions>,
    /// Rate of the VM's network link; `None` puts no bound on the reports to other gateways.
    pub link_rate: Option<LinkRate>,
    /// Address on which metrics are served; `None` serves none.
    pub metrics_address: Option<SocketAddr>,
}

/// Error from [`RunningGateway::start`]; its report names the address that could not be bound.
#[derive(Debug)]
pub struct GatewayError;

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("failed to start the gateway")
    }
}

impl std::error::Error for GatewayError {}

/// Handle of a running gateway, which stops it gracefully.
pub struct RunningGateway {
    gateway: Arc<Gateway>,
    lifecycle: Arc<Lifecycle>,
    clock: Arc<dyn Clock>,
    stop_times: StopTimes,
}

impl RunningGateway {
    /// Binds all listeners and starts the background tasks. The gateway reports itself ready once it
    /// has a configuration and either targets or an up-to-date keeper.
    ///
    /// # Errors
    ///
    /// Fails if one of the addresses can't be bound.
    pub async fn start(options: GatewayOptions) -> Result<Self, Report<GatewayError>> {
        let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
        let lifecycle = Arc::new(Lifecycle::default());
        let mut gateway = build_gateway(&options, &clock);
        if let Some(limits) = bind_account_limits(&options, &gateway, &clock).await? {
            gateway = gateway.with_account_limits(limits);
        }
        let gateway = Arc::new(gateway);
        let reporter = GatewayReporter::bind(
            options.vm.clone(),
            options.data_centre.clone(),
            options.peer_address,
        )
        .await
        .change_context(GatewayError)
        .attach_with(|| format!("can't listen on UDP {}", options.peer_address))?;
        let reporter = Arc::new(reporter.with_link_rate(options.link_rate));
        let watcher = Arc::new(build_watcher(&options, &gateway, &reporter, &clock));
        let readiness = Arc::new(Readiness {
            gateway: Arc::clone(&gateway),
            watcher: Arc::clone(&watcher),
            lifecycle: Arc::clone(&lifecycle),
            path: options.dialect.readiness_path(),
        });
        // The readiness listener has its own lifecycle, so that it keeps answering while requests drain.
        listen(
            options.readiness_address,
            readiness,
            Arc::new(Lifecycle::default()),
            ListenerOptions::builder().clock(Arc::clone(&clock)).build(),
        )
        .await?;
        let callers = ListenerOptions::builder()
            .clock(Arc::clone(&clock))
            .pipelined(PIPELINE_DEPTH, Arc::clone(&gateway) as Arc<dyn LimitSource>)
            .build();
        let service = Arc::new(CallerService(Arc::clone(&gateway)));
        listen(
            options.caller_address,
            service,
            Arc::clone(&lifecycle),
            callers,
        )
        .await?;
        if let Some(address) = options.metrics_address {
            listen(
                address,
                Arc::new(OperatorService {
                    gateway: Arc::clone(&gateway),
                    metrics: MetricsService(Arc::clone(&gateway.metrics)),
                }),
                Arc::new(Lifecycle::default()),
                ListenerOptions::builder().clock(Arc::clone(&clock)).build(),
            )
            .await?;
        }
        info!(
            vm = options.vm.as_str(), data_centre = options.data_centre.as_str(),
            callers:% = options.caller_address;
            "gateway started"
        );
        task::spawn(Arc::clone(&watcher).run());
        task::spawn(watcher.report_departures());
        task::spawn(Arc::clone(&reporter).receive(Arc::clone(&gateway)));
        task::spawn(reporter.broadcast(Arc::clone(&gateway)));
        if let Some(limits) = gateway.account_limits() {
            task::spawn(Arc::clone(limits).receive());
            task::spawn(Arc::clone(limits).run());
        }
        task::spawn(maintain(Arc::clone(&gateway)));
        Ok(Self {
            gateway,
            lifecycle,
            clock,
            stop_times: options.stop_times,
        })
    }

    /// Stops gracefully and returns the number of requests that were still in flight at the shutdown
    /// limit.
    pub async fn stop(self) -> usize {
        info!(phase = "draining", in_flight = self.lifecycle.in_flight(); "shutdown");
        self.lifecycle.begin_draining();
        self.gateway
            .begin_exit(self.stop_times.exit_bound(self.clock.now()));
        self.clock.sleep(self.stop_times.balancer_lag).await;
        info!(phase = "closing", in_flight = self.lifecycle.in_flight(); "shutdown");
        self.lifecycle.begin_closing();
        let limit = self.stop_times.exit_limit();
        let remaining = self.lifecycle.wait_idle(self.clock.as_ref(), limit).await;
        info!(phase = "done", in_flight = remaining; "shutdown");
        remaining
    }
}

fn build_gateway(options: &GatewayOptions, clock: &Arc<dyn Clock>) -> Gateway {
    let dispatcher_options = DispatcherOptions {
        balancer: BalancerOptions {
            own: GatewayHost {
                vm: options.vm.clone(),
                data_centre: options.data_centre.clone(),
            },
            floor_share: options.floor_share,
            seed: rand::random(),
            even_load: options.even_load,
        },
        resend_budget: options.resend_budget,
        seed: rand::random(),
    };
    let pool = Pool::builder(Arc::clone(clock))
        .connect_timeout(CONNECT_TIMEOUT)
        .idle_timeout(POOL_IDLE_TIMEOUT)
        .max_reuse_idle(ONCE_MAX_IDLE)
        .connections_per_target(options.connections_per_target)
        .echo_header(options.dialect.headers().attempt)
        .build();
    let dependencies = GatewayDependencies {
        clock: Arc::clone(clock),
        dialect: Arc::clone(&options.dialect),
        pool,
        budget: MemoryBudget::new(options.body_memory),
        metrics: Arc::default(),
        seed: rand::random(),
    };
    Gateway::new(
        ServiceTable::new(Arc::clone(clock), dispatcher_options),
        dependencies,
    )
    .with_body_options(options.bodies)
}

async fn bind_account_limits(
    options: &GatewayOptions,
    gateway: &Gateway,
    clock: &Arc<dyn Clock>,
) -> Result<Option<Arc<AccountLimits>>, Report<GatewayError>> {
    let Some(limits) = options.account_limits else {
        return Ok(None);
    };
    let (clock, metrics) = (Arc::clone(clock), Arc::clone(&gateway.metrics));
    let bound = AccountLimits::bind(options.vm.clone(), limits, clock, metrics)
        .await
        .change_context(GatewayError)
        .attach_with(|| format!("can't listen on UDP {}", limits.address))?;
    Ok(Some(Arc::new(bound)))
}

fn build_watcher(
    options: &GatewayOptions,
    gateway: &Arc<Gateway>,
    reporter: &Arc<GatewayReporter>,
    clock: &Arc<dyn Clock>,
) -> KeeperWatcher {
    let identity = PeerIdentity {
        vm: options.vm.clone(),
        // Keepers accept watch requests only from the entry role, which gateways therefore use.
        role: Role::Entry,
    };
    let peer_options = Options::builder()
        .message_limit(MESSAGE_LIMIT)
        .clock(Arc::clone(clock))
        .connect_timeout(KEEPER_CONNECT_TIMEOUT)
        .initial_backoff(KEEPER_MIN_BACKOFF)
        .max_backoff(KEEPER_MAX_BACKOFF)
        .build();
    let transport: Arc<dyn Transport> = Arc::new(PlainTransport::new(identity, peer_options));
    KeeperWatcher {
        gateway: Arc::clone(gateway),
        reporter: Arc::clone(reporter),
        transport,
        clock: Arc::clone(clock),
        dialect: Arc::clone(&options.dialect),
        seeds: Arc::clone(&options.seeds),
        keeper_port: options.keeper_port,
        address: options.peer_address,
        data_centre: options.data_centre.clone(),
        has_synced: AtomicBool::new(false),
        known_keepers: Mutex::new(BTreeSet::new()),
    }
}

async fn listen(
    address: SocketAddr,
    service: Arc<dyn Service>,
    lifecycle: Arc<Lifecycle>,
    options: ListenerOptions,
) -> Result<(), Report<GatewayError>> {
    let listener = Listener::bind(address, service, lifecycle, options)
        .await
        .change_context(GatewayError)
        .attach_with(|| format!("can't listen on TCP {address}"))?;
    task::spawn(listener.run());
    Ok(())
}

/// Starts waiting requests for which a slot became free, and closes idle connections.
async fn maintain(gateway: Arc<Gateway>) {
    let mut tick: u32 = 0;
    loop {
        gateway.refuse_unstartable();
        for dispatcher in gateway.services().dispatchers() {
            if dispatcher.waiting() > 0 {
                dispatcher.start_waiting();
            }
        }
        if tick.is_multiple_of(TICKS_PER_POOL_CLEANUP) {
            gateway.pool.close_expired();
            gateway.record_body_bytes();
        }
        tick = tick.wrapping_add(1);
        gateway.clock.sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// Answers the platform's readiness checks.
struct Readiness {
    gateway: Arc<Gateway>,
    watcher: Arc<KeeperWatcher>,
    lifecycle: Arc<Lifecycle>,
    path: &'static str,
}

impl Readiness {
    fn check(&self) -> Result<(), &'static str> {
        if self.lifecycle.phase() != Phase::Serving {
            return Err("the gateway is shutting down");
        }
        if self.gateway.routes().is_none() {
            return Err("no configuration has arrived yet");
        }
        if !self.watcher.has_synced() && self.gateway.services().targets() == 0 {
            return Err("neither targets nor a keeper that is up to date are known yet");
        }
        Ok(())
    }
}

impl Service for Readiness {
    fn respond(
        &self,
        req: Request,
        _caller: SocketAddr,
        _disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        let response = if req.path == self.path {
            match self.check() {
                Ok(()) => Response::new(200),
                Err(reason) => {
                    let mut response = Response::new(503);
                    response.body = reason.as_bytes().to_vec().into();
                    response
                }
            }
        } else {
            Response::new(404)
        };
        Box::pin(std::future::ready(response))
    }
}
