//! Runs a keeper as a process.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_std::task;
use auburnbridge_caller::{Lifecycle, Listener, ListenerOptions, Service, TideService};
use auburnbridge_http::Limits;
use auburnbridge_log::{Config, Message, Replica};
use auburnbridge_messages::{self as messages, MESSAGE_LIMIT, Reply, Request};
use auburnbridge_metrics::Metrics;
use auburnbridge_operator::{MAX_RULES_BYTES, OperatorKeys};
use auburnbridge_peer::keys::KeyRing;
use auburnbridge_peer::plain::{PlainServer, PlainTransport};
use auburnbridge_peer::{
    Handler, Options, PeerAddress, PeerIdentity, PeerServer, PeerTransport, Role, Transport,
};
use auburnbridge_routing::Dialect;
use auburnbridge_store::Store;
use auburnbridge_telemetry::{MetricsService, ProcessMetrics};
use auburnbridge_types::{BootClock, ByteSize, Clock, Millis, VmId};
use error_stack::{Report, ResultExt};
use log::{debug, info, warn};
use parking_lot::Mutex;

use crate::catalogue::Catalogue;
use crate::control::ControlService;
use crate::core::{
    Admission, CommitCounts, CommitObserver, Core, CoreError, CoreHandle, CoreOptions, Event,
    LogTransport,
};
use crate::directory::Directory;
use crate::formation::Formation;
use crate::group_client::GroupClient;
use crate::operator_store::OperatorStore;
use crate::server::KeeperServer;
use crate::view_cache::{ViewCache, read_view};

/// Checks whether another keeper leads before a planned stop goes on; about one second.
const HAND_OVER_CHECKS: usize = 50;
const HAND_OVER_WAIT: Duration = Duration::from_millis(20);
const KEY_RELOAD_INTERVAL: Millis = Millis(30_000);
/// Interval at which the other keepers hear of announcements; a target that joins gets work after
/// this and one round trip.
const HEARD_INTERVAL: Millis = Millis(100);
/// Turns of that interval between two looks at the members and at what is over.
const HOUSEKEEPING_TURNS: u32 = 5;
/// Longest wait for another keeper's list of targets at the start.
const FETCH_TIMEOUT: Millis = Millis(500);
/// Longest wait for a connection to another process. A VM that is off answers nothing.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Waits between attempts to connect, which begin with the first. After a loss of power everywhere
/// the group forms as soon as the last wait allows.
const FIRST_BACKOFF: Millis = Millis(20);
const LAST_BACKOFF: Millis = Millis(200);
/// Ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u64 = 5;

/// How messages between processes are protected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerSecurity {
    /// Mutual TLS with the certificate and key in this folder.
    MutualTls(PathBuf),
    /// Neither authenticated nor encrypted.
    Unprotected,
}

/// The control interface of a platform.
#[derive(Clone)]
pub struct ControlOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// Names and formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Longest body of a call.
    pub body_limit: ByteSize,
    /// Where the metrics of the calls are served, if anywhere.
    pub metrics_address: Option<SocketAddr>,
}

/// What a keeper needs to run.
#[derive(Clone)]
pub struct KeeperOptions {
    /// Its VM.
    pub vm: VmId,
    /// Where it listens for other processes.
    pub peer_address: SocketAddr,
    /// How messages between processes are protected.
    pub security: PeerSecurity,
    /// Folder of its durable state.
    pub data_folder: PathBuf,
    /// Keepers of the group, this one included where it is among them; the first one founds the
    /// group. They may be replaced while the keeper runs.
    pub keepers: Arc<Mutex<Vec<PeerAddress>>>,
    /// Whether this keeper may found a group.
    pub may_found: bool,
    /// Who may join, and how many voters an order needs.
    pub admission: Admission,
    /// Whether VMs are named by their IP addresses, and keepers use the port of `peer_address`.
    pub vms_are_addresses: bool,
    /// Interval of the leader's heartbeats, of which the ticks are a fraction.
    pub heartbeat_interval: Millis,
    /// The control interface, if it is served.
    pub control: Option<ControlOptions>,
    /// Settings of the log.
    pub log: Config,
    /// Size at which a segment of the log is closed.
    pub segment_size: ByteSize,
    /// Statsd server that gets the metrics, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Where it serves the administration API, if it does.
    pub operator_address: Option<SocketAddr>,
    /// Keys that the API accepts.
    pub operator_keys: OperatorKeys,
}

/// Reason why a keeper can't start or had to stop.
#[derive(Debug)]
pub struct KeeperError;

impl fmt::Display for KeeperError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the keeper can't run")
    }
}

impl std::error::Error for KeeperError {}

/// A running keeper.
pub struct Keeper {
    core: CoreHandle,
    thread: JoinHandle<Result<CommitCounts, CoreError>>,
    peer_server: RunningServer,
    server: Arc<KeeperServer>,
}

/// The server for other processes.
enum RunningServer {
    MutualTls(PeerServer),
    Plain(PlainServer),
}

impl RunningServer {
    fn address(&self) -> SocketAddr {
        match self {
            Self::MutualTls(server) => server.address(),
            Self::Plain(server) => server.address(),
        }
    }

    async fn close(self) {
        match self {
            Self::MutualTls(server) => server.close().await,
            Self::Plain(server) => server.close().await,
        }
    }
}

/// Keys of the process, where there are any, and what is made with them.
struct PeerSetup {
    keys: Option<Arc<KeyRing>>,
    options: Options,
    transport: Arc<dyn Transport>,
}

impl PeerSetup {
    fn new(options: &KeeperOptions, clock: &Arc<dyn Clock>) -> Result<Self, Report<KeeperError>> {
        let peer_options = Options::builder()
            .message_limit(MESSAGE_LIMIT)
            .clock(Arc::clone(clock))
            .connect_timeout(CONNECT_TIMEOUT)
            .first_backoff(FIRST_BACKOFF)
            .last_backoff(LAST_BACKOFF)
            .build();
        Ok(match &options.security {
            PeerSecurity::MutualTls(folder) => {
                let keys = KeyRing::load(folder, clock.now()).change_context(KeeperError)?;
                Self {
                    transport: Arc::new(PeerTransport::new(
                        Arc::clone(&keys),
                        peer_options.clone(),
                    )),
                    keys: Some(keys),
                    options: peer_options,
                }
            }
            PeerSecurity::Unprotected => {
                let identity = PeerIdentity {
                    vm: options.vm.clone(),
                    role: Role::Keeper,
                };
                Self {
                    transport: Arc::new(PlainTransport::new(identity, peer_options.clone())),
                    keys: None,
                    options: peer_options,
                }
            }
        })
    }

    async fn serve(
        &self,
        address: SocketAddr,
        handler: Arc<dyn Handler>,
    ) -> Result<RunningServer, Report<KeeperError>> {
        let options = self.options.clone();
        match &self.keys {
            Some(keys) => PeerServer::bind(address, Arc::clone(keys), handler, options)
                .map(RunningServer::MutualTls)
                .change_context(KeeperError),
            None => PlainServer::bind(address, handler, options)
                .await
                .map(RunningServer::Plain)
                .change_context(KeeperError)
                .attach_with(|| format!("can't listen on TCP {address}")),
        }
    }
}

impl Keeper {
    /// Opens the data folder and starts to listen and to look for the group.
    pub async fn start(options: KeeperOptions) -> Result<Self, Report<KeeperError>> {
        let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
        let peers = PeerSetup::new(&options, &clock)?;
        let mut directory = Directory::listed(&options.keepers.lock());
        if options.vms_are_addresses {
            directory = directory.with_shared_port(options.peer_address.port());
        }
        let (mut store, recovered) =
            Store::open(&options.data_folder).change_context(KeeperError)?;
        store.set_segment_bytes(options.segment_size.0);
        let replica_id = recovered.replica;
        let replica = Replica::recover(
            options.log.clone(),
            options.vm.clone(),
            recovered,
            rand::random(),
            clock.now(),
        );
        let transport = Arc::clone(&peers.transport);
        let log_transport = PeerLogTransport {
            transport: Arc::clone(&transport),
            directory: directory.clone(),
        };
        let catalogue = Arc::new(Catalogue::new(Arc::clone(&clock), rand::random()));
        if let Some(view) = read_view(&options.data_folder) {
            info!(
                "keeper begins with the cached view targets={}",
                view.targets.len()
            );
            catalogue.begin_with(view);
        }
        let cache = ViewCache::start(&options.data_folder).change_context(KeeperError)?;
        let core = Core::new(
            replica,
            store,
            Box::new(log_transport),
            Arc::clone(&clock),
            Metrics::new(options.metrics_address).change_context(KeeperError)?,
            CoreOptions {
                admission: options.admission,
                observer: Some(Arc::clone(&catalogue) as Arc<dyn CommitObserver>),
                tick: Duration::from_millis(options.heartbeat_interval.0 / TICKS_PER_HEARTBEAT),
            },
        )
        .change_context(KeeperError)?;
        let (handle, events) = CoreHandle::new();
        let thread = thread::Builder::new()
            .name("keeper-core".to_owned())
            .spawn(move || core.run(&events))
            .change_context(KeeperError)?;
        let server = Arc::new(KeeperServer::new(
            handle.clone(),
            Arc::clone(&clock),
            Arc::clone(&catalogue),
        ));
        let peer_server = peers
            .serve(
                options.peer_address,
                Arc::clone(&server) as Arc<dyn Handler>,
            )
            .await?;
        info!(
            "keeper vm={} replica={replica_id} listens on {}",
            options.vm,
            peer_server.address()
        );
        if let Some(address) = options.operator_address {
            let store = OperatorStore::new(
                Arc::clone(&server),
                handle.clone(),
                directory.clone(),
                Arc::clone(&transport),
            );
            serve_operators(address, store, options.operator_keys, Arc::clone(&clock)).await?;
        }
        if let Some(control) = options.control {
            let metrics: Arc<ProcessMetrics> = Arc::default();
            if let Some(address) = control.metrics_address {
                let service = Arc::new(MetricsService(Arc::clone(&metrics)));
                serve_http(address, service, Limits::default(), Arc::clone(&clock)).await?;
            }
            let service = ControlService {
                metrics,
                dialect: control.dialect,
                catalogue: Arc::clone(&catalogue),
                group: Arc::new(GroupClient {
                    own: options.vm.clone(),
                    server: Arc::clone(&server),
                    directory: directory.clone(),
                    transport: Arc::clone(&transport),
                    clock: Arc::clone(&clock),
                }),
            };
            let limits = Limits::default().with_body_bytes(control.body_limit);
            serve_http(
                control.address,
                Arc::new(service),
                limits,
                Arc::clone(&clock),
            )
            .await?;
            info!("control interface on {}", control.address);
        }
        let spreading = Spreading {
            own: options.vm.clone(),
            catalogue,
            cache,
            core: handle.clone(),
            directory: directory.clone(),
            transport: Arc::clone(&transport),
            clock: Arc::clone(&clock),
        };
        task::spawn(spreading.run());
        let reload_clock = Arc::clone(&clock);
        let formation = Formation {
            vm: options.vm,
            replica: replica_id,
            keepers: options.keepers,
            may_found: options.may_found,
            directory,
            transport,
            clock,
            core: handle.clone(),
        };
        task::spawn(formation.run());
        if let Some(keys) = peers.keys {
            task::spawn(async move {
                keys.reload_every(reload_clock.as_ref(), KEY_RELOAD_INTERVAL)
                    .await;
            });
        }
        Ok(Self {
            core: handle,
            thread,
            peer_server,
            server,
        })
    }

    /// The keeper's answers, for the administration API.
    pub fn server(&self) -> Arc<KeeperServer> {
        Arc::clone(&self.server)
    }

    /// Whether the thread that owns the log has ended; [`Keeper::stop`] gives the reason.
    pub fn has_failed(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until another keeper leads, so that no request waits for an election timeout.
    async fn hand_over_leadership(&self) {
        if !self.core.send(Event::Resign) {
            return;
        }
        for _ in 0..HAND_OVER_CHECKS {
            let report = self.core.ask(|reply| Event::Report { reply }).await;
            if report.is_none_or(|report| report.status.role != "leader") {
                return;
            }
            task::sleep(HAND_OVER_WAIT).await;
        }
    }

    /// Stops after the events that are queued.
    pub async fn stop(self) -> Result<CommitCounts, Report<KeeperError>> {
        self.hand_over_leadership().await;
        if !self.core.send(Event::Stop) {
            warn!("the keeper's queue is full or its thread has ended");
        }
        let thread = self.thread;
        let ended = task::spawn_blocking(move || thread.join()).await;
        self.peer_server.close().await;
        match ended {
            Ok(result) => result.change_context(KeeperError),
            Err(_) => Err(Report::new(KeeperError).attach("the keeper's thread panicked")),
        }
    }
}

async fn serve_operators(
    address: SocketAddr,
    store: OperatorStore,
    keys: OperatorKeys,
    clock: Arc<dyn Clock>,
) -> Result<(), Report<KeeperError>> {
    let app = auburnbridge_operator::server(Arc::new(store), keys);
    let limits = Limits::default().with_body_bytes(ByteSize(MAX_RULES_BYTES as u64));
    serve_http(address, Arc::new(TideService::new(app)), limits, clock).await?;
    info!("administration API on {address}");
    Ok(())
}

async fn serve_http(
    address: SocketAddr,
    service: Arc<dyn Service>,
    limits: Limits,
    clock: Arc<dyn Clock>,
) -> Result<(), Report<KeeperError>> {
    let options = ListenerOptions::builder()
        .limits(limits)
        .clock(clock)
        .build();
    let listener = Listener::bind(address, service, Arc::new(Lifecycle::default()), options)
        .await
        .change_context(KeeperError)
        .attach_with(|| format!("can't listen on TCP {address}"))?;
    task::spawn(listener.run());
    Ok(())
}

/// Tells the other keepers what this one hears, and follows the list of members.
struct Spreading {
    own: VmId,
    catalogue: Arc<Catalogue>,
    cache: ViewCache,
    core: CoreHandle,
    directory: Directory,
    transport: Arc<dyn Transport>,
    clock: Arc<dyn Clock>,
}

impl Spreading {
    async fn run(self) {
        let mut others = Vec::new();
        let mut has_targets = false;
        let mut turn = 0;
        loop {
            if turn % HOUSEKEEPING_TURNS == 0 {
                others = self.other_members().await;
                self.catalogue.expire();
                self.cache_view();
                if !has_targets {
                    has_targets = self.fetch_targets(&others).await;
                }
            }
            turn += 1;
            if let Some(heard) = self.catalogue.take_unsent() {
                self.tell(&others, heard);
            }
            self.clock.sleep(HEARD_INTERVAL).await;
        }
    }

    fn cache_view(&self) {
        let Some(view) = self.catalogue.changed_view() else {
            return;
        };
        if !self.cache.store(view) {
            self.catalogue.view_not_stored();
        }
    }

    async fn other_members(&self) -> Vec<PeerAddress> {
        let Some(report) = self.core.ask(|reply| Event::Report { reply }).await else {
            return Vec::new();
        };
        let vms: Vec<VmId> = report.members.into_iter().map(|member| member.vm).collect();
        let others = vms
            .iter()
            .filter(|vm| **vm != self.own)
            .filter_map(|vm| self.directory.find(vm))
            .collect();
        self.catalogue.set_keepers(vms);
        others
    }

    /// Asks one keeper for its targets; a target that announced itself there may come here only
    /// after its departure.
    async fn fetch_targets(&self, others: &[PeerAddress]) -> bool {
        for keeper in others {
            let transport = self.transport.as_ref();
            let request = Request::FetchTargets;
            match messages::call(transport, keeper, &request, FETCH_TIMEOUT).await {
                Ok(Reply::Targets(targets)) => {
                    self.catalogue.merge(messages::Heard {
                        targets,
                        gateways: Vec::new(),
                    });
                    return true;
                }
                Ok(_) => {}
                Err(error) => debug!("keeper {} gave no targets: {error}", keeper.vm),
            }
        }
        false
    }

    fn tell(&self, others: &[PeerAddress], heard: messages::Heard) {
        match Request::Heard(heard).encode() {
            Ok(body) => {
                for keeper in others {
                    self.transport.send(keeper, body.clone());
                }
            }
            Err(error) => warn!("announcements can't be sent: {error}"),
        }
    }
}

struct PeerLogTransport {
    transport: Arc<dyn Transport>,
    directory: Directory,
}

impl LogTransport for PeerLogTransport {
    fn send(&self, to: &VmId, message: Message) {
        let Some(address) = self.directory.find(to) else {
            warn!("no address for keeper {to}; add it to `members` in the settings");
            return;
        };
        match Request::Log(Box::new(message)).encode() {
            Ok(body) => self.transport.send(&address, body),
            Err(error) => warn!("a message of the log can't be sent: {error}"),
        }
    }
}
