//! Process of an entry: listeners, background tasks and shutdown.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task;
use auburnbridge_caller::{
    Disconnect, Lifecycle, Listener, ListenerOptions, Phase, Service, TideService,
};
use auburnbridge_http::{Limits, MemoryBudget, Request, Response};
use auburnbridge_membership::{AnnouncedState, Announcement, EntryAnnouncement, Verdict};
use auburnbridge_messages::MESSAGE_LIMIT;
use auburnbridge_metrics::Metrics;
use auburnbridge_peer::keys::KeyRing;
use auburnbridge_peer::{Handler, Options, PeerAddress, PeerServer, PeerTransport, Transport};
use auburnbridge_platform::{PlatformHandler, READY_PATH, announcement_app, readiness_app};
use auburnbridge_policy::Presence;
use auburnbridge_target::Pool;
use auburnbridge_types::{
    BoxFuture, ByteSize, Clock, DataCentre, Incarnation, Millis, Revision, RuntimeClock, Sequence,
    VmId,
};
use error_stack::{Report, ResultExt};
use log::{info, warn};

use crate::entry::{Dependencies, Entry, Location, RuntimeTaskSpawner};
use crate::keeper_client::KeeperClient;
use crate::neighbours::Neighbours;
use crate::rules_feed::RulesFeed;
use crate::server::EntryServer;
use crate::targets_api::targets_app;

/// Interval of anti-entropy with one other entry and of the expiry of records and connections.
const MAINTENANCE_INTERVAL: Millis = Millis(1_000);
/// Interval at which evidence is sent to the other entries while a target is suspected.
const EVIDENCE_INTERVAL: Millis = Millis(200);
/// Maximum wait at a graceful stop for the settlements still on their way to the ledger.
const SETTLEMENT_TIMEOUT: Millis = Millis(5_000);
const KEY_RELOAD_INTERVAL: Millis = Millis(30_000);
/// Interval at which rumours and this entry's own announcement are sent.
const GOSSIP_INTERVAL: Millis = Millis(200);
/// Interval at which new announcements are applied to the fleets.
const FLEET_UPDATE_INTERVAL: Millis = Millis(100);

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// VM of the entry.
    pub vm: VmId,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Listen address for callers and for readiness checks of the balancer.
    pub caller_address: SocketAddr,
    /// Listen address for announcements of targets.
    pub announce_address: SocketAddr,
    /// Listen address for other processes.
    pub peer_address: SocketAddr,
    /// Folder with the certificate and key of the entry.
    pub keys: PathBuf,
    /// Addresses of the keepers.
    pub keepers: Vec<PeerAddress>,
    /// Addresses of a few other entries, used as gossip seeds.
    pub entries: Vec<PeerAddress>,
    /// Time until the balancer notices that the entry is not ready.
    pub balancer_lag: Millis,
    /// Maximum time after that for requests in flight to complete.
    pub shutdown_limit: Millis,
    /// Maximum size of a request head.
    pub request_head_limit: ByteSize,
    /// Maximum size of a request body.
    pub request_body_limit: ByteSize,
    /// Listen address of the read-only targets API, if enabled.
    pub operator_address: Option<SocketAddr>,
    /// Memory limit for all request and answer bodies together.
    pub answer_memory: ByteSize,
    /// Maximum number of connections to one target.
    pub connections_per_target: usize,
    /// Address of the statsd server that receives the metrics, if any.
    pub statsd_address: Option<SocketAddr>,
}

/// Error of starting an entry; the cause is attached to the report.
#[derive(Debug)]
pub struct EntryError;

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the entry can't run")
    }
}

impl std::error::Error for EntryError {}

/// A running entry.
pub struct RunningEntry {
    shared: Arc<Shared>,
    peer_server: PeerServer,
}

struct Shared {
    entry: Arc<Entry>,
    neighbours: Arc<Neighbours>,
    lifecycle: Arc<Lifecycle>,
    clock: Arc<dyn Clock>,
    /// Whether every keeper and known entry was polled for its rules once.
    has_caught_up: AtomicBool,
    options: EntryOptions,
}

impl RunningEntry {
    /// Starts the listeners and background tasks; the entry becomes ready once it has rules.
    pub async fn start(options: EntryOptions) -> Result<Self, Report<EntryError>> {
        let clock: Arc<dyn Clock> = Arc::new(RuntimeClock);
        let keys = KeyRing::load(&options.keys, clock.now()).change_context(EntryError)?;
        let peer_options = Options::builder().message_limit(MESSAGE_LIMIT).build();
        let transport: Arc<dyn Transport> =
            Arc::new(PeerTransport::new(Arc::clone(&keys), peer_options.clone()));
        let keepers = Arc::new(KeeperClient::new(
            options.keepers.clone(),
            options.data_centre.clone(),
            Arc::clone(&transport),
            Arc::clone(&clock),
        ));
        let neighbours = Arc::new(Neighbours::new(
            own_announcement(&options, clock.as_ref()),
            options.entries.clone(),
            transport,
            Arc::clone(&clock),
        ));
        let budget = MemoryBudget::new(options.answer_memory);
        let pool = Pool::builder(Arc::clone(&clock))
            .connections_per_target(options.connections_per_target)
            .build();
        let pool = Arc::new(pool);
        let deps = Dependencies {
            clock: Arc::clone(&clock),
            ledger: Arc::clone(&keepers) as Arc<dyn crate::LedgerClient>,
            targets: Arc::clone(&pool) as Arc<dyn crate::TargetClient>,
            crashes: Arc::clone(&neighbours) as Arc<dyn crate::CrashReporter>,
            tasks: Arc::new(RuntimeTaskSpawner),
            metrics: Arc::new(Metrics::new(options.statsd_address).change_context(EntryError)?),
            seed: rand::random(),
        };
        let location = Location {
            vm: options.vm.clone(),
            data_centre: options.data_centre.clone(),
        };
        let answer_limits = Limits::default().with_budget(budget.clone());
        let entry = Arc::new(Entry::new(location, answer_limits, deps));
        let server: Arc<dyn Handler> = Arc::new(EntryServer::new(
            Arc::clone(&entry),
            Arc::clone(&neighbours),
        ));
        let peer_server = PeerServer::bind(
            options.peer_address,
            Arc::clone(&keys),
            server,
            peer_options,
        )
        .change_context(EntryError)?;
        let feed = RulesFeed::new(
            Arc::clone(&entry),
            keepers,
            Arc::clone(&neighbours),
            Arc::clone(&clock),
        );
        let shared = Arc::new(Shared {
            entry,
            neighbours,
            lifecycle: Arc::new(Lifecycle::default()),
            clock,
            has_caught_up: AtomicBool::new(false),
            options,
        });
        shared.listen(budget).await?;
        shared.spawn_tasks(feed, pool, keys);
        Ok(Self {
            shared,
            peer_server,
        })
    }

    /// Stops gracefully. Completion of `skip_lag` ends the wait for the balancer's lag. Returns the
    /// number of requests that were still in flight at the shutdown limit.
    pub async fn stop(self, skip_lag: impl Future<Output = ()> + Send) -> usize {
        let shared = &self.shared;
        info!(
            "shutdown phase=draining in_flight={}",
            shared.lifecycle.in_flight()
        );
        shared.lifecycle.begin_draining();
        shared.neighbours.set_state(AnnouncedState::Leaving);
        let lag = shared.clock.sleep(shared.options.balancer_lag);
        futures_lite::FutureExt::or(lag, skip_lag).await;
        info!(
            "shutdown phase=closing in_flight={}",
            shared.lifecycle.in_flight()
        );
        shared.lifecycle.begin_closing();
        let limit = shared.options.shutdown_limit;
        let remaining = shared
            .lifecycle
            .wait_idle(shared.clock.as_ref(), limit)
            .await;
        let unsettled = shared.entry.wait_for_settlements(SETTLEMENT_TIMEOUT).await;
        info!("shutdown phase=done in_flight={remaining} unsettled={unsettled}");
        self.peer_server.close().await;
        remaining
    }
}

impl Shared {
    async fn listen(self: &Arc<Self>, budget: MemoryBudget) -> Result<(), Report<EntryError>> {
        let limits = Limits::default()
            .with_head_bytes(self.options.request_head_limit)
            .with_body_bytes(self.options.request_body_limit)
            .with_budget(budget);
        let listener_options = ListenerOptions::builder()
            .limits(limits)
            .clock(Arc::clone(&self.clock))
            .build();
        let handler: Arc<dyn PlatformHandler> = Arc::clone(self) as Arc<dyn PlatformHandler>;
        let callers = Arc::new(CallerService {
            entry: Arc::clone(&self.entry),
            readiness: TideService::new(readiness_app(Arc::clone(&handler))),
        });
        let targets = Arc::new(TideService::new(announcement_app(handler)));
        self.spawn_listener(
            self.options.caller_address,
            callers,
            listener_options.clone(),
        )
        .await?;
        self.spawn_listener(
            self.options.announce_address,
            targets,
            listener_options.clone(),
        )
        .await?;
        if let Some(address) = self.options.operator_address {
            let app = targets_app(Arc::clone(&self.entry));
            self.spawn_listener(address, Arc::new(TideService::new(app)), listener_options)
                .await?;
        }
        Ok(())
    }

    async fn spawn_listener(
        &self,
        address: SocketAddr,
        service: Arc<dyn Service>,
        options: ListenerOptions,
    ) -> Result<(), Report<EntryError>> {
        let listener = Listener::bind(address, service, Arc::clone(&self.lifecycle), options)
            .await
            .change_context(EntryError)
            .attach_with(|| format!("can't listen on TCP {address}"))?;
        info!("entry vm={} listens on {address}", self.options.vm);
        task::spawn(listener.run());
        Ok(())
    }

    fn spawn_tasks(self: &Arc<Self>, feed: RulesFeed, pool: Arc<Pool>, keys: Arc<KeyRing>) {
        let shared = Arc::clone(self);
        task::spawn(async move {
            let reached = feed.catch_up().await;
            info!("rules caught up with {reached} processes");
            shared.has_caught_up.store(true, Ordering::SeqCst);
            feed.run().await;
        });
        self.spawn_every(GOSSIP_INTERVAL, |shared| {
            shared.neighbours.send_rumours(shared.entry.revision());
        });
        self.spawn_every(FLEET_UPDATE_INTERVAL, Self::update_fleets);
        self.spawn_every(EVIDENCE_INTERVAL, |shared| {
            let evidence = shared.entry.fleets().due_reports(shared.clock.now());
            shared.neighbours.send_evidence(evidence);
        });
        let shared = Arc::clone(self);
        task::spawn(async move { shared.maintain(&pool).await });
        let clock = Arc::clone(&self.clock);
        task::spawn(async move { keys.reload_every(clock.as_ref(), KEY_RELOAD_INTERVAL).await });
    }

    fn spawn_every(self: &Arc<Self>, interval: Millis, step: impl Fn(&Self) + Send + 'static) {
        let shared = Arc::clone(self);
        task::spawn(async move {
            loop {
                step(&shared);
                shared.clock.sleep(interval).await;
            }
        });
    }

    /// Applies announcements to the fleets.
    fn update_fleets(&self) {
        let now = self.clock.now();
        for service in self.entry.fleets().names() {
            let members = self.neighbours.members(&service, now);
            self.entry.fleets().update(now, &service, &members);
        }
    }

    /// Keeps stale targets on which requests succeed although their announcements do not arrive.
    fn record_success_of_stale_targets(&self) {
        let fleets = self.entry.fleets();
        for service in fleets.names() {
            for view in fleets.view(&service) {
                if let (Presence::Stale(_), Some(last_success)) =
                    (view.member.presence, view.last_success)
                {
                    self.neighbours
                        .record_success(last_success, &service, &view.member);
                }
            }
        }
    }

    async fn maintain(&self, pool: &Pool) {
        let mut round = 0;
        loop {
            let peers = self.neighbours.peers();
            if !peers.is_empty() {
                self.neighbours.sync_with(&peers[round % peers.len()]).await;
            }
            round += 1;
            self.record_success_of_stale_targets();
            self.neighbours.expire();
            pool.close_expired();
            self.clock.sleep(MAINTENANCE_INTERVAL).await;
        }
    }
}

impl PlatformHandler for Shared {
    fn readiness(&self) -> Result<(), &'static str> {
        if self.lifecycle.phase() != Phase::Serving {
            return Err("the entry is shutting down");
        }
        if self.entry.rules().is_none() {
            return Err("no rules have arrived yet");
        }
        if !self.has_caught_up.load(Ordering::SeqCst) {
            return Err("the newest rules are being looked for");
        }
        if self.neighbours.is_isolated() {
            return Err("no keeper and no other entry answers");
        }
        Ok(())
    }

    fn handle_announcement(&self, announcement: Announcement) -> Verdict {
        let service = announcement.service.clone();
        let verdict = self.neighbours.announce(announcement);
        if verdict == Verdict::Left {
            // A departure takes effect before the target receives the reply to its announcement.
            let now = self.clock.now();
            let members = self.neighbours.members(&service, now);
            self.entry.fleets().update(now, &service, &members);
        } else if verdict == Verdict::Full {
            warn!("no room for another target");
        }
        verdict
    }
}

/// Serves callers and readiness checks of the balancer on one address.
struct CallerService {
    entry: Arc<Entry>,
    readiness: TideService<()>,
}

impl Service for CallerService {
    fn respond(
        &self,
        req: Request,
        caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        if req.path == READY_PATH {
            return self.readiness.respond(req, caller, disconnect);
        }
        self.entry.respond(req, caller, disconnect)
    }
}

fn own_announcement(options: &EntryOptions, clock: &dyn Clock) -> EntryAnnouncement {
    EntryAnnouncement {
        vm: options.vm.clone(),
        address: options.peer_address,
        data_centre: options.data_centre.clone(),
        incarnation: Incarnation(clock.now().0),
        boot: rand::random(),
        sequence: Sequence(0),
        revision: Revision(0),
        state: AnnouncedState::Ready,
    }
}
