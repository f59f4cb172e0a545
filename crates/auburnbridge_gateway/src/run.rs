//! Runs a gateway as a process.

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
    BalancerOptions, DispatcherOptions, GatewayPlace, SendBudgetOptions,
};
use auburnbridge_routing::Dialect;
use auburnbridge_target::Pool;
use auburnbridge_telemetry::MetricsService;
use auburnbridge_types::{BootClock, BoxFuture, ByteSize, Clock, DataCentre, Millis, VmId};
use error_stack::{Report, ResultExt};
use log::info;
use parking_lot::Mutex;

use crate::feed::Feed;
use crate::gateway::{CallerService, Gateway, GatewayPorts};
use crate::neighbours::Neighbours;
use crate::service_table::ServiceTable;

/// Requests of one connection that are handled at the same time.
const PIPELINE_DEPTH: usize = 16;
/// Longest wait for a connection to a target; within a region a round trip takes a few milliseconds,
/// and a lost packet is sent again after a second, when another target is the better choice.
const CONNECT_TIMEOUT: Millis = Millis(120);
/// Idle time after which a connection carries no request that must not be sent twice. Targets may
/// drop idle connections unannounced after a third of a second.
const ONCE_FRESHNESS: Millis = Millis(200);
/// Idle time after which a connection to a target is closed; targets close theirs after ten seconds.
const POOL_IDLE: Millis = Millis(4_000);
/// Longest wait for a connection to a keeper; another one may be there.
const KEEPER_CONNECT_TIMEOUT: Millis = Millis(300);
/// Waits between attempts to connect to one keeper.
const KEEPER_FIRST_BACKOFF: Millis = Millis(20);
const KEEPER_LAST_BACKOFF: Millis = Millis(200);
/// Interval at which idle connections and waiting requests are looked after.
const MAINTENANCE_INTERVAL: Millis = Millis(50);
/// Turns of that interval between two looks at idle connections.
const POOL_TURNS: u32 = 20;

/// What a gateway needs to run.
#[derive(Clone)]
pub struct GatewayOptions {
    /// Its VM, named by its IP address.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens for callers.
    pub caller_address: SocketAddr,
    /// Where it answers readiness checks.
    pub readiness_address: SocketAddr,
    /// Where it takes datagrams of other gateways.
    pub peer_address: SocketAddr,
    /// Keepers to begin with; they may be replaced while the gateway runs.
    pub seeds: Arc<Mutex<Vec<IpAddr>>>,
    /// Port at which keepers serve other processes.
    pub keeper_port: u16,
    /// Names and formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Time that the balancer needs to notice that the gateway isn't ready.
    pub balancer_lag: Millis,
    /// Longest time for requests in flight to end after that.
    pub shutdown_limit: Millis,
    /// Memory for the bodies of all requests and answers.
    pub body_memory: ByteSize,
    /// Most connections to one target.
    pub connections_per_target: usize,
    /// Share of the targets that get work even if they are suspected.
    pub floor_share: f64,
    /// Bounds of the sends beyond the first one of each request.
    pub sends: SendBudgetOptions,
    /// Where the metrics are served, if anywhere.
    pub metrics_address: Option<SocketAddr>,
}

/// Reason why a gateway can't start.
#[derive(Debug)]
pub struct GatewayError;

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the gateway can't run")
    }
}

impl std::error::Error for GatewayError {}

/// A running gateway.
pub struct RunningGateway {
    lifecycle: Arc<Lifecycle>,
    clock: Arc<dyn Clock>,
    balancer_lag: Millis,
    shutdown_limit: Millis,
}

impl RunningGateway {
    /// Starts to listen; the gateway is ready once a keeper has brought it up to date.
    pub async fn start(options: GatewayOptions) -> Result<Self, Report<GatewayError>> {
        let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
        let lifecycle = Arc::new(Lifecycle::default());
        let gateway = Arc::new(make_gateway(&options, &clock));
        let neighbours = Neighbours::bind(
            options.vm.clone(),
            options.data_centre.clone(),
            options.peer_address,
        )
        .await
        .change_context(GatewayError)
        .attach_with(|| format!("can't listen on UDP {}", options.peer_address))?;
        let neighbours = Arc::new(neighbours);
        let feed = Arc::new(make_feed(&options, &gateway, &neighbours, &clock));
        let readiness = Arc::new(Readiness {
            gateway: Arc::clone(&gateway),
            feed: Arc::clone(&feed),
            lifecycle: Arc::clone(&lifecycle),
            path: options.dialect.readiness_path(),
        });
        // Readiness is answered to the end, also while requests are finished.
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
                Arc::new(MetricsService(Arc::clone(&gateway.metrics))),
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
        task::spawn(feed.run());
        task::spawn(Arc::clone(&neighbours).receive(Arc::clone(&gateway)));
        task::spawn(neighbours.tell(Arc::clone(&gateway)));
        task::spawn(maintain(gateway));
        Ok(Self {
            lifecycle,
            clock,
            balancer_lag: options.balancer_lag,
            shutdown_limit: options.shutdown_limit,
        })
    }

    /// Stops gracefully; gives the number of requests that were still in flight at the limit.
    pub async fn stop(self) -> usize {
        info!(phase = "draining", in_flight = self.lifecycle.in_flight(); "shutdown");
        self.lifecycle.begin_draining();
        self.clock.sleep(self.balancer_lag).await;
        info!(phase = "closing", in_flight = self.lifecycle.in_flight(); "shutdown");
        self.lifecycle.begin_closing();
        let limit = self.shutdown_limit;
        let remaining = self.lifecycle.wait_idle(self.clock.as_ref(), limit).await;
        info!(phase = "done", in_flight = remaining; "shutdown");
        remaining
    }
}

fn make_gateway(options: &GatewayOptions, clock: &Arc<dyn Clock>) -> Gateway {
    let gates = DispatcherOptions {
        balancer: BalancerOptions {
            own: GatewayPlace {
                vm: options.vm.clone(),
                data_centre: options.data_centre.clone(),
            },
            floor_share: options.floor_share,
            seed: rand::random(),
        },
        sends: options.sends,
        seed: rand::random(),
    };
    let pool = Pool::builder(Arc::clone(clock))
        .connect_timeout(CONNECT_TIMEOUT)
        .idle_timeout(POOL_IDLE)
        .freshness(ONCE_FRESHNESS)
        .connections_per_target(options.connections_per_target)
        .echo_header(options.dialect.headers().attempt)
        .build();
    let ports = GatewayPorts {
        clock: Arc::clone(clock),
        dialect: Arc::clone(&options.dialect),
        pool,
        budget: MemoryBudget::new(options.body_memory),
        metrics: Arc::default(),
        seed: rand::random(),
    };
    Gateway::new(ServiceTable::new(Arc::clone(clock), gates), ports)
}

fn make_feed(
    options: &GatewayOptions,
    gateway: &Arc<Gateway>,
    neighbours: &Arc<Neighbours>,
    clock: &Arc<dyn Clock>,
) -> Feed {
    let identity = PeerIdentity {
        vm: options.vm.clone(),
        role: Role::Entry,
    };
    let peer_options = Options::builder()
        .message_limit(MESSAGE_LIMIT)
        .clock(Arc::clone(clock))
        .connect_timeout(KEEPER_CONNECT_TIMEOUT)
        .first_backoff(KEEPER_FIRST_BACKOFF)
        .last_backoff(KEEPER_LAST_BACKOFF)
        .build();
    let transport: Arc<dyn Transport> = Arc::new(PlainTransport::new(identity, peer_options));
    Feed {
        gateway: Arc::clone(gateway),
        neighbours: Arc::clone(neighbours),
        transport,
        clock: Arc::clone(clock),
        dialect: Arc::clone(&options.dialect),
        seeds: Arc::clone(&options.seeds),
        keeper_port: options.keeper_port,
        address: options.peer_address,
        data_centre: options.data_centre.clone(),
        is_current: AtomicBool::new(false),
        known: Mutex::new(BTreeSet::new()),
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

/// Starts requests for which others have made room, and closes idle connections.
async fn maintain(gateway: Arc<Gateway>) {
    let mut turn: u32 = 0;
    loop {
        for gate in gateway.services().gates() {
            if gate.waiting() > 0 {
                gate.start_waiting();
            }
        }
        if turn.is_multiple_of(POOL_TURNS) {
            gateway.pool.close_expired();
        }
        turn = turn.wrapping_add(1);
        gateway.clock.sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// Answers the platform's readiness checks.
struct Readiness {
    gateway: Arc<Gateway>,
    feed: Arc<Feed>,
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
        if !self.feed.is_current() && self.gateway.services().targets() == 0 {
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
