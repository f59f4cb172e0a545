//! Follows one keeper for the configuration, the targets and the other gateways.
//!
//! A keeper that is cut off from its group can't know what is new. Each reply states when the
//! keeper's state was last known to be complete; if that is too long ago, or no reply arrives, the
//! feed goes to another keeper. What a keeper says is taken in any case: versions and departures
//! only go forward.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use auburnbridge_messages::{
    self as messages, ListPosition, Reply, Request, Watch, Watched, unpack_document,
};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_routing::Dialect;
use auburnbridge_types::{Clock, DataCentre, Millis, VmId};
use log::{debug, info, warn};
use parking_lot::Mutex;

use crate::gateway::Gateway;
use crate::neighbours::Neighbours;

/// Longest wait of a keeper for a change.
const WATCH: Millis = Millis(500);
/// Longest wait for its reply.
const REPLY: Millis = Millis(900);
/// Age from which a keeper's state counts as stale; its leader is heard several times a second.
const STALE: Millis = Millis(1_200);
/// Pause after a keeper that gave no reply.
const RETRY: Millis = Millis(50);

/// Follows the keepers.
pub struct Feed {
    /// The gateway that is kept up to date.
    pub gateway: Arc<Gateway>,
    /// The other gateways.
    pub neighbours: Arc<Neighbours>,
    /// Calls keepers.
    pub transport: Arc<dyn Transport>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Reads documents.
    pub dialect: Arc<dyn Dialect>,
    /// Where keepers are to be found at first; they may be replaced while the process runs.
    pub seeds: Arc<Mutex<Vec<IpAddr>>>,
    /// Port at which all keepers serve other processes.
    pub keeper_port: u16,
    /// Where this gateway takes datagrams.
    pub address: SocketAddr,
    /// Where this gateway runs.
    pub data_centre: DataCentre,
    /// Whether a keeper with a complete state has answered.
    pub is_current: AtomicBool,
    /// Keepers that a reply named.
    pub known: Mutex<BTreeSet<VmId>>,
}

impl Feed {
    /// Whether the gateway has been brought up to date once.
    pub fn is_current(&self) -> bool {
        self.is_current.load(Ordering::SeqCst)
    }

    /// Follows one keeper after the other until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut turn: usize = rand::random_range(0..64);
        loop {
            let candidates = self.candidates();
            let Some(keeper) = candidates.get(turn % candidates.len().max(1)) else {
                self.clock.sleep(RETRY).await;
                continue;
            };
            self.follow(keeper).await;
            turn += 1;
        }
    }

    /// Keepers that replies named, and the seeds.
    fn candidates(&self) -> Vec<PeerAddress> {
        let seeds = self.seeds.lock().clone();
        let known = self.known.lock();
        let named = known.iter().filter_map(VmId::ip);
        let all: BTreeSet<IpAddr> = named.chain(seeds).collect();
        all.into_iter()
            .map(|ip| PeerAddress::at(ip, self.keeper_port))
            .collect()
    }

    /// Follows a keeper as long as it answers and is up to date.
    async fn follow(&self, keeper: &PeerAddress) {
        let mut position = None;
        loop {
            let request = Request::Watch(Watch {
                version: self.gateway.routes().map(|routes| routes.version()),
                position,
                wait: WATCH,
                address: self.address,
                data_centre: self.data_centre.clone(),
            });
            let transport = self.transport.as_ref();
            let watched = match messages::call(transport, keeper, &request, REPLY).await {
                Ok(Reply::Watched(watched)) => watched,
                Ok(reply) => {
                    let name: &'static str = (&reply).into();
                    debug!("keeper {} can't be followed: {name}", keeper.vm);
                    self.clock.sleep(RETRY).await;
                    return;
                }
                Err(error) => {
                    if position.is_some() {
                        warn!(keeper = keeper.vm.as_str(), error:% = error; "keeper lost");
                    }
                    self.clock.sleep(RETRY).await;
                    return;
                }
            };
            if position.is_none() {
                info!(
                    keeper = keeper.vm.as_str(),
                    confirmed_before:? = watched.confirmed_before;
                    "keeper followed"
                );
            }
            let is_complete = watched.confirmed_before.is_some_and(|age| age < STALE);
            position = Some(self.take(watched));
            if is_complete {
                self.is_current.store(true, Ordering::SeqCst);
            } else {
                debug!("keeper {} is not up to date", keeper.vm);
                self.clock.sleep(RETRY).await;
                return;
            }
        }
    }

    fn take(&self, watched: Watched) -> ListPosition {
        if let Some(published) = watched.document {
            let document = unpack_document(&published.document)
                .map_err(|error| error.to_string())
                .and_then(|bytes| {
                    self.dialect
                        .read_document(&bytes)
                        .map_err(|error| error.to_string())
                });
            match document {
                Ok(routes) => {
                    self.gateway.put_in_force(routes);
                }
                Err(error) => warn!(
                    version = published.version.0, error = error;
                    "configuration can't be put in force"
                ),
            }
        }
        self.gateway.services().apply_targets(&watched.targets);
        let others = self.neighbours.set_gateways(watched.gateways);
        self.gateway.services().set_gateways(others);
        self.known.lock().extend(watched.keepers);
        watched.position
    }
}
