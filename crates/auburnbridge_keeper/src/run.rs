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
use auburnbridge_log::{Config, Message, Replica, ReplicaId};
use auburnbridge_messages::Request;
use auburnbridge_metrics::Metrics;
use auburnbridge_operator::{MAX_RULES_BYTES, OperatorKeys};
use auburnbridge_peer::keys::KeyRing;
use auburnbridge_peer::{Handler, PeerAddress, Transport};
use auburnbridge_routing::Dialect;
use auburnbridge_store::Store;
use auburnbridge_telemetry::{MetricsService, ProcessMetrics};
use auburnbridge_types::{BootClock, ByteSize, Clock, Millis, VmId};
use error_stack::{Report, ResultExt};
use log::{info, warn};
use parking_lot::Mutex;

use crate::catalogue::Catalogue;
use crate::control::ControlService;
use crate::core::{
    CommitCounts, CommitObserver, Core, CoreError, CoreHandle, CoreOptions, Event, LogTransport,
};
use crate::directory::PeerDirectory;
use crate::formation::Formation;
use crate::gossip::AnnouncementForwarder;
use crate::group_client::GroupClient;
use crate::membership_policy::MembershipPolicy;
use crate::operator_store::OperatorStore;
use crate::peers::{PeerSecurity, PeerSetup, RunningServer};
use crate::server::KeeperServer;
use crate::view_cache::{ViewCache, read_view};

/// Checks for a new leader before a planned stop continues; together they take about one second.
const TRANSFER_CHECKS: usize = 50;
const TRANSFER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const KEY_RELOAD_INTERVAL: Millis = Millis(30_000);
/// Default heartbeat interval of the log.
const DEFAULT_HEARTBEAT_INTERVAL: Millis = Millis(75);
/// Default size at which a segment of the log is closed.
const DEFAULT_SEGMENT_SIZE: ByteSize = ByteSize(16 << 20);
/// Ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u64 = 5;

/// Options of the control interface.
#[derive(Clone)]
pub struct ControlOptions {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Names and formats that the platform uses.
    pub dialect: Arc<dyn Dialect>,
    /// Largest body of a call.
    pub body_limit: ByteSize,
    /// Address on which the metrics of the calls are served over HTTP, if they are.
    pub metrics_address: Option<SocketAddr>,
}

/// Options of a [`Keeper`].
#[derive(Clone)]
pub struct KeeperOptions {
    /// VM of the keeper.
    pub vm: VmId,
    /// Address on which it listens for other processes.
    pub peer_address: SocketAddr,
    /// How messages between processes are protected.
    pub security: PeerSecurity,
    /// Folder of its persistent state.
    pub data_folder: PathBuf,
    /// Keepers named in the settings, which may include this one; the first one founds the group.
    /// The list may be replaced while the keeper runs.
    pub keepers: Arc<Mutex<Vec<PeerAddress>>>,
    /// Whether this keeper may found a group.
    pub may_found_group: bool,
    /// Who may join the group, and how many voters it needs to accept commands.
    pub membership_policy: MembershipPolicy,
    /// Whether VMs are named by their IP addresses and all keepers use the port of `peer_address`.
    pub vms_named_by_ip: bool,
    /// Interval of the leader's heartbeats; the tick interval is a fraction of it.
    pub heartbeat_interval: Millis,
    /// Options of the control interface, if it is served.
    pub control: Option<ControlOptions>,
    /// Configuration of the replicated log.
    pub log: Config,
    /// Size at which a segment of the log is closed.
    pub segment_size: ByteSize,
    /// Address of the statsd server that receives the metrics, if any.
    pub statsd_address: Option<SocketAddr>,
    /// Address on which the administration API is served, if it is.
    pub operator_address: Option<SocketAddr>,
    /// Operator keys that the administration API accepts.
    pub operator_keys: OperatorKeys,
}

impl KeeperOptions {
    /// Creates the options of a keeper whose settings name all keepers; other options have defaults.
    pub fn new(
        own: PeerAddress,
        security: PeerSecurity,
        data_folder: PathBuf,
        keepers: Vec<PeerAddress>,
    ) -> Self {
        Self {
            vm: own.vm,
            peer_address: own.address,
            security,
            data_folder,
            keepers: Arc::new(Mutex::new(keepers)),
            may_found_group: true,
            membership_policy: MembershipPolicy {
                admits_new_vms: false,
                min_voters: 1,
                reply_limit: None,
            },
            vms_named_by_ip: false,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            control: None,
            log: Config::default(),
            segment_size: DEFAULT_SEGMENT_SIZE,
            statsd_address: None,
            operator_address: None,
            operator_keys: OperatorKeys::new(Vec::new()),
        }
    }
}

/// Error from starting or running a keeper; the report holds the cause.
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

impl Keeper {
    /// Opens the data folder, starts to listen, and starts the tasks that find the group.
    ///
    /// Fails if the keys or the data folder can't be read or an address can't be bound.
    pub async fn start(options: KeeperOptions) -> Result<Self, Report<KeeperError>> {
        let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
        let peers = PeerSetup::new(&options, &clock)?;
        let catalogue = Arc::new(Catalogue::new(Arc::clone(&clock), rand::random()));
        if let Some(view) = read_view(&options.data_folder) {
            info!(targets = view.targets.len(); "keeper begins with the cached view");
            catalogue.load_view(view);
        }
        let cache = ViewCache::start(&options.data_folder).change_context(KeeperError)?;
        let directory = peer_directory(&options);
        let (replica, core) = open_core(&options, &peers, &directory, &clock, &catalogue)?;
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
        let handler = Arc::clone(&server) as Arc<dyn Handler>;
        let peer_server = peers.serve(options.peer_address, handler).await?;
        info!(
            "keeper vm={} replica={replica} listens on {}",
            options.vm,
            peer_server.address()
        );
        let components = Components {
            core: handle.clone(),
            server: Arc::clone(&server),
            catalogue,
            directory,
            transport: Arc::clone(&peers.transport),
            clock,
        };
        components.serve_interfaces(&options).await?;
        components.spawn_tasks(options, replica, cache, peers.keys);
        Ok(Self {
            core: handle,
            thread,
            peer_server,
            server,
        })
    }

    /// Returns the server that handles requests of other processes.
    pub fn server(&self) -> Arc<KeeperServer> {
        Arc::clone(&self.server)
    }

    /// Whether the [`Core`] thread has ended; [`Keeper::stop`] returns the reason.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Resigns and waits until this keeper no longer leads, so that no request has to wait for an
    /// election timeout.
    async fn transfer_leadership(&self) {
        if !self.core.send(Event::Resign) {
            return;
        }
        for _ in 0..TRANSFER_CHECKS {
            let status = self.core.ask(|reply| Event::Status { reply }).await;
            if status.is_none_or(|status| status.replica_status.role != "leader") {
                return;
            }
            task::sleep(TRANSFER_CHECK_INTERVAL).await;
        }
    }

    /// Transfers the leadership and stops after the queued events are handled.
    ///
    /// Fails if the [`Core`] thread ended with an error or panicked.
    pub async fn stop(self) -> Result<CommitCounts, Report<KeeperError>> {
        self.transfer_leadership().await;
        if !self.core.send(Event::Stop) {
            warn!("can't queue the stop: the keeper's queue is full or its thread has ended");
        }
        let thread = self.thread;
        let ended = task::spawn_blocking(move || thread.join()).await;
        self.peer_server.close().await;
        match ended {
            Ok(result) => result.change_context(KeeperError),
            Err(_) => Err(Report::new(KeeperError).attach("the keeper-core thread panicked")),
        }
    }
}

fn peer_directory(options: &KeeperOptions) -> PeerDirectory {
    let directory = PeerDirectory::new(&options.keepers.lock());
    if options.vms_named_by_ip {
        directory.with_shared_port(options.peer_address.port())
    } else {
        directory
    }
}

/// Recovers the replica from the data folder and creates its core.
fn open_core(
    options: &KeeperOptions,
    peers: &PeerSetup,
    directory: &PeerDirectory,
    clock: &Arc<dyn Clock>,
    catalogue: &Arc<Catalogue>,
) -> Result<(ReplicaId, Core), Report<KeeperError>> {
    let (mut store, recovered) = Store::open(&options.data_folder).change_context(KeeperError)?;
    store.set_segment_bytes(options.segment_size.0);
    let id = recovered.replica;
    let replica = Replica::recover(
        options.log.clone(),
        options.vm.clone(),
        recovered,
        rand::random(),
        clock.now(),
    );
    let transport = PeerLogTransport {
        transport: Arc::clone(&peers.transport),
        directory: directory.clone(),
    };
    let core = Core::new(
        replica,
        store,
        Box::new(transport),
        Arc::clone(clock),
        Metrics::new(options.statsd_address).change_context(KeeperError)?,
        CoreOptions {
            membership_policy: options.membership_policy,
            observer: Some(Arc::clone(catalogue) as Arc<dyn CommitObserver>),
            tick: Duration::from_millis(options.heartbeat_interval.0 / TICKS_PER_HEARTBEAT),
        },
    )
    .change_context(KeeperError)?;
    Ok((id, core))
}

/// Components of a keeper that its interfaces and tasks share.
struct Components {
    core: CoreHandle,
    server: Arc<KeeperServer>,
    catalogue: Arc<Catalogue>,
    directory: PeerDirectory,
    transport: Arc<dyn Transport>,
    clock: Arc<dyn Clock>,
}

impl Components {
    async fn serve_interfaces(&self, options: &KeeperOptions) -> Result<(), Report<KeeperError>> {
        if let Some(address) = options.operator_address {
            let store = OperatorStore::new(
                Arc::clone(&self.server),
                self.core.clone(),
                self.directory.clone(),
                Arc::clone(&self.transport),
            );
            let keys = options.operator_keys.clone();
            serve_operators(address, store, keys, Arc::clone(&self.clock)).await?;
        }
        if let Some(control) = &options.control {
            self.serve_control(control, options.vm.clone()).await?;
        }
        Ok(())
    }

    async fn serve_control(
        &self,
        control: &ControlOptions,
        own_vm: VmId,
    ) -> Result<(), Report<KeeperError>> {
        let metrics: Arc<ProcessMetrics> = Arc::default();
        if let Some(address) = control.metrics_address {
            let service = Arc::new(MetricsService(Arc::clone(&metrics)));
            serve_http(address, service, Limits::default(), Arc::clone(&self.clock)).await?;
        }
        let service = ControlService {
            metrics,
            dialect: Arc::clone(&control.dialect),
            catalogue: Arc::clone(&self.catalogue),
            group: Arc::new(GroupClient {
                own_vm,
                server: Arc::clone(&self.server),
                directory: self.directory.clone(),
                transport: Arc::clone(&self.transport),
                clock: Arc::clone(&self.clock),
            }),
        };
        let limits = Limits::default().with_body_bytes(control.body_limit);
        let clock = Arc::clone(&self.clock);
        serve_http(control.address, Arc::new(service), limits, clock).await?;
        info!("control interface on {}", control.address);
        Ok(())
    }

    fn spawn_tasks(
        self,
        options: KeeperOptions,
        replica: ReplicaId,
        cache: ViewCache,
        keys: Option<Arc<KeyRing>>,
    ) {
        let forwarder = AnnouncementForwarder {
            own_vm: options.vm.clone(),
            catalogue: self.catalogue,
            cache,
            core: self.core.clone(),
            directory: self.directory.clone(),
            transport: Arc::clone(&self.transport),
            clock: Arc::clone(&self.clock),
        };
        task::spawn(forwarder.run());
        let clock = Arc::clone(&self.clock);
        if let Some(keys) = keys {
            task::spawn(async move {
                keys.reload_every(clock.as_ref(), KEY_RELOAD_INTERVAL).await;
            });
        }
        let formation = Formation {
            vm: options.vm,
            replica,
            keepers: options.keepers,
            may_found_group: options.may_found_group,
            directory: self.directory,
            transport: self.transport,
            clock: self.clock,
            core: self.core,
        };
        task::spawn(formation.run());
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

struct PeerLogTransport {
    transport: Arc<dyn Transport>,
    directory: PeerDirectory,
}

impl LogTransport for PeerLogTransport {
    fn send(&self, to: &VmId, message: Message) {
        let Some(address) = self.directory.find(to) else {
            warn!("no address for keeper {to}; add it to `members` in the settings");
            return;
        };
        match Request::Log(Box::new(message)).encode() {
            Ok(body) => self.transport.send(&address, body),
            Err(error) => warn!("can't encode a message of the log: {error}"),
        }
    }
}
