//! Watches one keeper at a time for the configuration, the targets and the other gateways.
//!
//! A keeper that is partitioned from its group can't know of recent changes. Each reply states when
//! the keeper's state was last known to be complete; if that is too long ago, or no reply arrives,
//! the gateway switches to another keeper. The contents of a stale reply are applied nevertheless:
//! an older version of the configuration never replaces a newer one, and an older announcement
//! neither replaces a newer one nor undoes a departure.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use auburnbridge_messages::{
    self as messages, ListPosition, Reply, Request, WatchReply, WatchRequest, decompress_document,
};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_routing::Dialect;
use auburnbridge_types::{Clock, DataCentre, Millis, VmId};
use log::{debug, info, warn};
use parking_lot::Mutex;

use crate::gateway::Gateway;
use crate::neighbours::GatewayReporter;

/// Time for which a keeper holds a watch request open if nothing changes.
const WATCH_TIMEOUT: Millis = Millis(500);
/// Timeout for the reply to a watch request.
const REPLY_TIMEOUT: Millis = Millis(900);
/// Age from which a keeper's state counts as stale. A connected keeper hears from its leader several
/// times a second.
const STALE_AGE: Millis = Millis(1_200);
/// Delay before the next keeper is tried.
const RETRY_DELAY: Millis = Millis(50);

/// Keeps a gateway up to date by watching one keeper at a time.
pub struct KeeperWatcher {
    /// Gateway that is kept up to date.
    pub gateway: Arc<Gateway>,
    /// Exchange of reports with the other gateways.
    pub reporter: Arc<GatewayReporter>,
    /// Transport for calls to keepers.
    pub transport: Arc<dyn Transport>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Parser of configuration documents.
    pub dialect: Arc<dyn Dialect>,
    /// Keepers to contact first; the list may be replaced while the process runs.
    pub seeds: Arc<Mutex<Vec<IpAddr>>>,
    /// Port on which all keepers serve other processes.
    pub keeper_port: u16,
    /// UDP address on which this gateway receives reports.
    pub address: SocketAddr,
    /// Data centre of this gateway.
    pub data_centre: DataCentre,
    /// Whether a keeper with an up-to-date state has replied.
    pub has_synced: AtomicBool,
    /// Keepers listed in replies.
    pub known_keepers: Mutex<BTreeSet<VmId>>,
}

impl KeeperWatcher {
    /// Whether the gateway has been brought up to date at least once.
    pub fn has_synced(&self) -> bool {
        self.has_synced.load(Ordering::SeqCst)
    }

    /// Watches one keeper after another until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut next_candidate: usize = rand::random_range(0..64);
        loop {
            let Some(keeper) = self.candidate(next_candidate) else {
                self.clock.sleep(RETRY_DELAY).await;
                continue;
            };
            self.watch(&keeper).await;
            next_candidate += 1;
        }
    }

    /// The keeper to contact in attempt `number`; `None` if none is known.
    pub(crate) fn candidate(&self, number: usize) -> Option<PeerAddress> {
        let mut candidates = self.candidates();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates.swap_remove(number % candidates.len()))
    }

    /// The known keepers and the seeds.
    fn candidates(&self) -> Vec<PeerAddress> {
        let seeds = self.seeds.lock().clone();
        let known_keepers = self.known_keepers.lock();
        let named = known_keepers.iter().filter_map(VmId::ip);
        let all: BTreeSet<IpAddr> = named.chain(seeds).collect();
        all.into_iter()
            .map(|ip| PeerAddress::from_ip(ip, self.keeper_port))
            .collect()
    }

    /// Watches a keeper for as long as it replies and is up to date.
    async fn watch(&self, keeper: &PeerAddress) {
        let mut position = None;
        loop {
            let request = Request::Watch(WatchRequest {
                version: self.gateway.routes().map(|routes| routes.version()),
                position,
                wait: WATCH_TIMEOUT,
                address: self.address,
                data_centre: self.data_centre.clone(),
            });
            let transport = self.transport.as_ref();
            let reply = match messages::call(transport, keeper, &request, REPLY_TIMEOUT).await {
                Ok(Reply::Watched(reply)) => reply,
                Ok(reply) => {
                    let name: &'static str = (&reply).into();
                    debug!(
                        "unexpected reply to a watch from keeper {}: {name}",
                        keeper.vm
                    );
                    self.clock.sleep(RETRY_DELAY).await;
                    return;
                }
                Err(error) => {
                    if position.is_some() {
                        warn!(keeper = keeper.vm.as_str(), error:% = error; "keeper lost");
                    }
                    self.clock.sleep(RETRY_DELAY).await;
                    return;
                }
            };
            if position.is_none() {
                info!(
                    keeper = keeper.vm.as_str(),
                    confirmed_before:? = reply.confirmed_before;
                    "keeper followed"
                );
            }
            let confirmed_before = reply.confirmed_before;
            let is_fresh = confirmed_before.is_some_and(|age| age < STALE_AGE);
            position = Some(self.apply(reply, is_fresh));
            if is_fresh {
                self.has_synced.store(true, Ordering::SeqCst);
            } else {
                debug!(
                    "state of keeper {} is stale: confirmed_before={confirmed_before:?}, limit {STALE_AGE}",
                    keeper.vm
                );
                self.clock.sleep(RETRY_DELAY).await;
                return;
            }
        }
    }

    /// Applies the contents of a reply, and returns the position to watch from next.
    fn apply(&self, reply: WatchReply, is_fresh: bool) -> ListPosition {
        if let Some(published) = reply.document {
            let document = decompress_document(&published.document)
                .map_err(|error| error.to_string())
                .and_then(|bytes| {
                    self.dialect
                        .read_document(&bytes)
                        .map_err(|error| error.to_string())
                });
            match document {
                Ok(routes) => {
                    self.gateway.install_routes(routes);
                }
                Err(error) => warn!(
                    version = published.version.0, error = error;
                    "failed to apply configuration"
                ),
            }
        }
        self.gateway.services().apply_targets(&reply.targets);
        if let Some(limits) = self.gateway.account_limits() {
            limits.set_gateways(&reply.gateways, is_fresh);
        }
        let others = self.reporter.set_gateways(reply.gateways);
        self.gateway.services().set_gateways(others);
        let cell = self.reporter.update_cells(self.clock.now());
        self.gateway.services().set_cell(cell);
        self.known_keepers.lock().extend(reply.keepers);
        reply.position
    }
}
