//! Forwards announcements and gateways to all other keepers, and keeps track of the group's
//! members.

use std::sync::Arc;

use auburnbridge_messages::{self as messages, Reply, Request};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_types::{Clock, Millis, VmId};
use log::{debug, warn};

use crate::catalogue::Catalogue;
use crate::core::{CoreHandle, Event};
use crate::directory::PeerDirectory;
use crate::view_cache::ViewCache;

/// Interval at which announcements are sent to the other keepers. A new target gets its first
/// requests after this interval and one round trip.
const FORWARD_INTERVAL: Millis = Millis(100);
/// Rounds between two updates of the member list, which also expire targets and gateways and save
/// the view.
const HOUSEKEEPING_ROUNDS: u32 = 5;
/// Longest wait for another keeper's list of targets after the start.
const FETCH_TIMEOUT: Millis = Millis(500);

/// Task that forwards new announcements and gateways to all other keepers, updates the list of
/// these keepers, expires targets and gateways, and saves the view.
pub(crate) struct AnnouncementForwarder {
    pub(crate) own_vm: VmId,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) cache: ViewCache,
    pub(crate) core: CoreHandle,
    pub(crate) directory: PeerDirectory,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl AnnouncementForwarder {
    pub(crate) async fn run(self) {
        let mut others = Vec::new();
        let mut has_fetched_targets = false;
        let mut round: u32 = 0;
        loop {
            if round.is_multiple_of(HOUSEKEEPING_ROUNDS) {
                let members = self.other_members().await;
                self.sync_new_members(&others, &members);
                others = members;
                self.catalogue.expire();
                self.save_view();
                if !has_fetched_targets {
                    has_fetched_targets = self.fetch_targets(&others).await;
                }
            }
            round += 1;
            if let Some(gossip) = self.catalogue.take_unsent() {
                self.send_to(&others, gossip);
            }
            self.clock.sleep(FORWARD_INTERVAL).await;
        }
    }

    /// Sends all known announcements to keepers that have become members, since later messages hold
    /// only new ones.
    fn sync_new_members(&self, previous: &[PeerAddress], current: &[PeerAddress]) {
        let joined: Vec<PeerAddress> = current
            .iter()
            .filter(|keeper| !previous.contains(keeper))
            .cloned()
            .collect();
        if joined.is_empty() {
            return;
        }
        let gossip = messages::KeeperGossip {
            targets: self.catalogue.targets(),
            gateways: Vec::new(),
        };
        self.send_to(&joined, gossip);
    }

    fn save_view(&self) {
        let Some(view) = self.catalogue.take_changed_view() else {
            return;
        };
        if !self.cache.store(view) {
            self.catalogue.mark_view_unsaved();
        }
    }

    async fn other_members(&self) -> Vec<PeerAddress> {
        let Some(status) = self.core.ask(|reply| Event::Status { reply }).await else {
            return Vec::new();
        };
        let vms: Vec<VmId> = status.members.into_iter().map(|member| member.vm).collect();
        let others = vms
            .iter()
            .filter(|vm| **vm != self.own_vm)
            .filter_map(|vm| self.directory.find(vm))
            .collect();
        self.catalogue.set_keepers(vms);
        others
    }

    /// Fetches the list of targets from one keeper. A target that announced itself to that keeper might
    /// not contact this one before its departure.
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
                Err(error) => debug!("can't fetch targets from keeper {}: {error}", keeper.vm),
            }
        }
        false
    }

    fn send_to(&self, others: &[PeerAddress], gossip: messages::KeeperGossip) {
        match Request::KeeperGossip(gossip).encode() {
            Ok(body) => {
                for keeper in others {
                    self.transport.send(keeper, body.clone());
                }
            }
            Err(error) => warn!("can't encode announcements: {error}"),
        }
    }
}
