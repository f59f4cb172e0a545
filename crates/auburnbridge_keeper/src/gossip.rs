//! Tells the other keepers what this one hears, and follows the list of members.

use std::sync::Arc;

use auburnbridge_messages::{self as messages, Reply, Request};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_types::{Clock, Millis, VmId};
use log::{debug, warn};

use crate::catalogue::Catalogue;
use crate::core::{CoreHandle, Event};
use crate::directory::Directory;
use crate::view_cache::ViewCache;

/// Interval at which the other keepers hear of announcements; a target that joins gets work after
/// this and one round trip.
const HEARD_INTERVAL: Millis = Millis(100);
/// Turns of that interval between two looks at the members and at what is over.
const HOUSEKEEPING_TURNS: u32 = 5;
/// Longest wait for another keeper's list of targets at the start.
const FETCH_TIMEOUT: Millis = Millis(500);

/// Gossip of one keeper with the others.
pub(crate) struct Gossip {
    pub(crate) own: VmId,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) cache: ViewCache,
    pub(crate) core: CoreHandle,
    pub(crate) directory: Directory,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl Gossip {
    pub(crate) async fn run(self) {
        let mut others = Vec::new();
        let mut has_targets = false;
        let mut turn: u32 = 0;
        loop {
            if turn.is_multiple_of(HOUSEKEEPING_TURNS) {
                let members = self.other_members().await;
                self.tell_new_members(&others, &members);
                others = members;
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

    /// Tells keepers that have become members what was announced before, since from now on they hear
    /// only what is new.
    fn tell_new_members(&self, before: &[PeerAddress], now: &[PeerAddress]) {
        let joined: Vec<PeerAddress> = now
            .iter()
            .filter(|keeper| !before.contains(keeper))
            .cloned()
            .collect();
        if joined.is_empty() {
            return;
        }
        let heard = messages::KeeperGossip {
            targets: self.catalogue.targets(),
            gateways: Vec::new(),
        };
        self.tell(&joined, heard);
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
                    self.catalogue.merge(messages::KeeperGossip {
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

    fn tell(&self, others: &[PeerAddress], heard: messages::KeeperGossip) {
        match Request::KeeperGossip(heard).encode() {
            Ok(body) => {
                for keeper in others {
                    self.transport.send(keeper, body.clone());
                }
            }
            Err(error) => warn!("announcements can't be sent: {error}"),
        }
    }
}
