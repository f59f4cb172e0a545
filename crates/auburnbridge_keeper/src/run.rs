//! Runs a keeper as a process.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_std::task;
use auburnbridge_caller::{Lifecycle, Listener, ListenerOptions, TideService};
use auburnbridge_http::Limits;
use auburnbridge_log::{Config, Message, Replica};
use auburnbridge_messages::{MESSAGE_LIMIT, Request};
use auburnbridge_metrics::Metrics;
use auburnbridge_operator::{MAX_RULES_BYTES, OperatorKeys};
use auburnbridge_peer::keys::KeyRing;
use auburnbridge_peer::{Options, PeerAddress, PeerServer, PeerTransport, Transport};
use auburnbridge_store::Store;
use auburnbridge_types::{ByteSize, Clock, Millis, RuntimeClock, VmId};
use error_stack::{Report, ResultExt};
use log::{info, warn};

use crate::core::{CommitCounts, Core, CoreError, CoreHandle, Event, LogTransport};
use crate::formation::Formation;
use crate::operator_store::OperatorStore;
use crate::server::KeeperServer;

/// Checks whether another keeper leads before a planned stop goes on; about one second.
const HAND_OVER_CHECKS: usize = 50;
const HAND_OVER_WAIT: Duration = Duration::from_millis(20);
const KEY_RELOAD_INTERVAL: Millis = Millis(30_000);

/// What a keeper needs to run.
#[derive(Clone, Debug)]
pub struct KeeperOptions {
    /// Its VM.
    pub vm: VmId,
    /// Where it listens for other processes.
    pub peer_address: SocketAddr,
    /// Folder with its certificate and key.
    pub keys: PathBuf,
    /// Folder of its durable state.
    pub data_folder: PathBuf,
    /// All keepers of the group, this one included; the first one founds the group.
    pub keepers: Vec<PeerAddress>,
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
    peer_server: PeerServer,
    server: Arc<KeeperServer>,
}

impl Keeper {
    /// Opens the data folder and starts to listen and to look for the group.
    pub async fn start(options: KeeperOptions) -> Result<Self, Report<KeeperError>> {
        let clock: Arc<dyn Clock> = Arc::new(RuntimeClock);
        let keys = KeyRing::load(&options.keys, clock.now()).change_context(KeeperError)?;
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
        let peer_options = Options::builder().message_limit(MESSAGE_LIMIT).build();
        let transport: Arc<dyn Transport> =
            Arc::new(PeerTransport::new(Arc::clone(&keys), peer_options.clone()));
        let log_transport = PeerLogTransport {
            transport: Arc::clone(&transport),
            addresses: options
                .keepers
                .iter()
                .map(|keeper| (keeper.vm.clone(), keeper.clone()))
                .collect(),
        };
        let core = Core::new(
            replica,
            store,
            Box::new(log_transport),
            Arc::clone(&clock),
            Metrics::new(options.metrics_address).change_context(KeeperError)?,
        )
        .change_context(KeeperError)?;
        let (handle, events) = CoreHandle::new();
        let thread = thread::Builder::new()
            .name("keeper-core".to_owned())
            .spawn(move || core.run(&events))
            .change_context(KeeperError)?;
        let server = Arc::new(KeeperServer::new(handle.clone(), Arc::clone(&clock)));
        let peer_server = PeerServer::bind(
            options.peer_address,
            Arc::clone(&keys),
            Arc::clone(&server) as Arc<dyn auburnbridge_peer::Handler>,
            peer_options,
        )
        .change_context(KeeperError)?;
        info!(
            "keeper vm={} replica={replica_id} listens on {}",
            options.vm,
            peer_server.address()
        );
        if let Some(address) = options.operator_address {
            let store = OperatorStore::new(
                Arc::clone(&server),
                handle.clone(),
                options.keepers.clone(),
                Arc::clone(&transport),
            );
            serve_operators(address, store, options.operator_keys, Arc::clone(&clock)).await?;
        }
        let reload_clock = Arc::clone(&clock);
        let formation = Formation {
            vm: options.vm,
            replica: replica_id,
            keepers: options.keepers,
            transport,
            clock,
            core: handle.clone(),
        };
        task::spawn(formation.run());
        task::spawn(async move {
            keys.reload_every(reload_clock.as_ref(), KEY_RELOAD_INTERVAL)
                .await;
        });
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
    let options = ListenerOptions::builder()
        .limits(limits)
        .clock(clock)
        .build();
    let service = Arc::new(TideService::new(app));
    let listener = Listener::bind(address, service, Arc::new(Lifecycle::default()), options)
        .await
        .change_context(KeeperError)
        .attach_with(|| format!("can't listen on TCP {address}"))?;
    info!("administration API on {address}");
    task::spawn(listener.run());
    Ok(())
}

struct PeerLogTransport {
    transport: Arc<dyn Transport>,
    addresses: HashMap<VmId, PeerAddress>,
}

impl LogTransport for PeerLogTransport {
    fn send(&self, to: &VmId, message: Message) {
        let Some(address) = self.addresses.get(to) else {
            warn!("no address for keeper {to}; add it to `members` in the settings");
            return;
        };
        match Request::Log(Box::new(message)).encode() {
            Ok(body) => self.transport.send(address, body),
            Err(error) => warn!("a message of the log can't be sent: {error}"),
        }
    }
}
