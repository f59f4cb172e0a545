//! A keeper's view of targets, gateways and the published document, which gateways watch.
//!
//! Gateways are the proxy processes of a deployment whose platform publishes documents.
//!
//! A target announces itself to any keeper, which forwards the announcement to the other keepers.
//! Readiness is kept in memory only, because a target announces itself again within seconds.
//! Departures go through the replicated log first: the acknowledgement promises that no gateway
//! sends the target another request, even after every keeper has restarted.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use auburnbridge_config::VersionedDocument;
use auburnbridge_membership::{AnnouncedState, Announcement, TargetMembership, Verdict};
use auburnbridge_messages::{
    GatewayLocation, KeeperGossip, ListPosition, WatchReply, WatchRequest,
};
use auburnbridge_types::{Clock, ConfigVersion, Incarnation, Millis, TargetId, Timestamp, VmId};
use event_listener::Event;
use futures_lite::FutureExt;
use log::info;
use parking_lot::Mutex;

use crate::core::CommitObserver;
use crate::view_cache::CachedView;

/// Recent changes that are kept for watching gateways; one that lags further gets the whole list.
const MAX_RECENT_CHANGES: usize = 4_096;
/// Time after which a gateway that watches no keeper is no longer listed.
const GATEWAY_EXPIRY: Millis = Millis(4_000);
/// Time after which a keeper that hears from no leader may lack announcements.
const LEADER_CONTACT_LIMIT: Millis = Millis(1_000);

/// Targets, gateways and the published document, as known to one keeper.
pub struct Catalogue {
    clock: Arc<dyn Clock>,
    state: Mutex<CatalogueState>,
    changed: Event,
}

struct CatalogueState {
    /// Random number of this process; positions in another process's list don't apply here.
    boot: u64,
    members: TargetMembership,
    /// Departures that were in the log when the keeper started and aren't known to be committed. The
    /// targets are listed as leaving, but their departures are not acknowledged.
    unconfirmed_departures: HashSet<(TargetId, Incarnation)>,
    /// Number of changes to the list of targets so far.
    changes: u64,
    /// The most recent changes, oldest first.
    recent_changes: VecDeque<Announcement>,
    document: Option<VersionedDocument>,
    /// Latest time at which this keeper, having applied all records that it knew to be committed,
    /// led the group or heard from its leader.
    current_as_of: Option<Timestamp>,
    keepers: Vec<VmId>,
    /// Gateways with the time at which each was last seen.
    gateways: HashMap<VmId, (GatewayLocation, Timestamp)>,
    /// Announcements that have not been sent to the other keepers yet.
    unsent_targets: Vec<Announcement>,
    /// Gateways that have watched this keeper since the last message to the other keepers.
    unsent_gateways: HashMap<VmId, GatewayLocation>,
    /// Number of changes and document version of the view that was last saved.
    last_saved: Option<(u64, Option<ConfigVersion>)>,
}

/// Result of looking up a target that announces its departure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeavingTarget {
    /// The target is present; this departure must be recorded.
    Present(Announcement),
    /// The departure is already recorded, or a later incarnation has started.
    Departed,
    /// No announcement of this incarnation has arrived, or a later one may have started without one.
    Unknown,
}

impl Catalogue {
    /// Creates an empty catalogue; `boot` is a random number that identifies this process.
    pub fn new(clock: Arc<dyn Clock>, boot: u64) -> Self {
        Self {
            clock,
            state: Mutex::new(CatalogueState {
                boot,
                members: TargetMembership::default(),
                unconfirmed_departures: HashSet::new(),
                changes: 0,
                recent_changes: VecDeque::new(),
                document: None,
                current_as_of: None,
                keepers: Vec::new(),
                gateways: HashMap::new(),
                unsent_targets: Vec::new(),
                unsent_gateways: HashMap::new(),
                last_saved: None,
            }),
            changed: Event::new(),
        }
    }

    /// Applies the announcement of a ready target.
    pub fn announce(&self, announcement: Announcement) -> Verdict {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let verdict = state.apply_announcement(now, announcement.clone());
        if verdict == Verdict::Accepted {
            state.unsent_targets.push(announcement);
        }
        drop(state);
        self.changed.notify(usize::MAX);
        verdict
    }

    /// Looks up a target that announces its departure, for a given incarnation if one is stated, or
    /// else for its newest one.
    ///
    /// This keeper may have been cut off when a later incarnation than the known one started. It then
    /// knows nothing of the departure of that one, whatever it knows of the earlier ones.
    pub fn find_leaving(
        &self,
        target: &TargetId,
        incarnation: Option<Incarnation>,
    ) -> LeavingTarget {
        let now = self.clock.now();
        let state = self.state.lock();
        if incarnation.is_none() && !state.has_leader_contact(now) {
            return LeavingTarget::Unknown;
        }
        let known = state
            .members
            .iter()
            .filter(|known| known.target == *target)
            .max_by_key(|known| known.incarnation);
        match known {
            None => LeavingTarget::Unknown,
            Some(known) if incarnation.is_some_and(|stated| stated > known.incarnation) => {
                LeavingTarget::Unknown
            }
            Some(known) if incarnation.is_some_and(|stated| stated < known.incarnation) => {
                // A later incarnation has started, so this one gets no more requests.
                LeavingTarget::Departed
            }
            Some(known) if known.state == AnnouncedState::Leaving && state.is_confirmed(known) => {
                LeavingTarget::Departed
            }
            Some(known) => LeavingTarget::Present(Announcement {
                state: AnnouncedState::Leaving,
                ..known.clone()
            }),
        }
    }

    /// Whether the departure of the announced incarnation is recorded.
    pub fn has_departed(&self, announcement: &Announcement) -> bool {
        let state = self.state.lock();
        let known = state
            .members
            .get(&announcement.service, &announcement.target);
        known.is_some_and(|known| {
            known.incarnation > announcement.incarnation
                || (known.incarnation == announcement.incarnation
                    && known.state == AnnouncedState::Leaving
                    && state.is_confirmed(known))
        })
    }

    /// Merges announcements and gateways received from another keeper.
    pub fn merge(&self, gossip: KeeperGossip) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let before = state.changes;
        for announcement in gossip.targets {
            // Departures take effect only through the log.
            if announcement.state == AnnouncedState::Ready {
                state.apply_announcement(now, announcement);
            }
        }
        for gateway in gossip.gateways {
            state.gateways.insert(gateway.vm.clone(), (gateway, now));
        }
        let is_changed = state.changes != before;
        drop(state);
        if is_changed {
            self.changed.notify(usize::MAX);
        }
    }

    /// Takes the announcements and gateways that have not been sent to the other keepers yet.
    pub fn take_unsent(&self) -> Option<KeeperGossip> {
        let mut state = self.state.lock();
        if state.unsent_targets.is_empty() && state.unsent_gateways.is_empty() {
            return None;
        }
        Some(KeeperGossip {
            targets: std::mem::take(&mut state.unsent_targets),
            gateways: state
                .unsent_gateways
                .drain()
                .map(|(_, gateway)| gateway)
                .collect(),
        })
    }

    /// Returns every known announcement, including departures and the last ones of expired targets.
    pub fn targets(&self) -> Vec<Announcement> {
        self.state.lock().members.iter().cloned().collect()
    }

    /// Loads a view that was saved before the process started.
    pub fn load_view(&self, view: CachedView) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for announcement in view.targets {
            state.apply_announcement(now, announcement);
        }
        state.document = view.document;
    }

    /// Returns the view to save if it has changed since the last call.
    pub fn take_changed_view(&self) -> Option<CachedView> {
        let mut state = self.state.lock();
        let current = (state.changes, state.version());
        if state.last_saved == Some(current) {
            return None;
        }
        state.last_saved = Some(current);
        Some(CachedView {
            document: state.document.clone(),
            targets: state
                .members
                .iter()
                .filter(|target| state.is_confirmed(target))
                .cloned()
                .collect(),
        })
    }

    /// Makes the next call of [`Catalogue::take_changed_view`] return the view again.
    pub fn mark_view_unsaved(&self) {
        self.state.lock().last_saved = None;
    }

    /// Sets the VMs of the keepers.
    pub fn set_keepers(&self, keepers: Vec<VmId>) {
        self.state.lock().keepers = keepers;
    }

    /// Removes expired gateways, and expires targets and tombstones.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.members.expire(now);
        state
            .gateways
            .retain(|_, (_, last_seen)| now.since(*last_seen) < GATEWAY_EXPIRY);
    }

    /// Waits until there is something that the gateway lacks, at most for `watch.wait`, and returns
    /// it (long poll).
    pub async fn watch(&self, vm: &VmId, watch: WatchRequest) -> WatchReply {
        let gateway = GatewayLocation {
            vm: vm.clone(),
            address: watch.address,
            data_centre: watch.data_centre.clone(),
        };
        self.record_gateway(gateway);
        let limit = self.clock.sleep(watch.wait);
        let change = async {
            loop {
                let listener = self.changed.listen();
                if self.state.lock().has_updates(&watch) {
                    return;
                }
                listener.await;
            }
        };
        change.or(limit).await;
        self.state.lock().reply(self.clock.now(), &watch)
    }

    fn record_gateway(&self, gateway: GatewayLocation) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state
            .unsent_gateways
            .insert(gateway.vm.clone(), gateway.clone());
        state.gateways.insert(gateway.vm.clone(), (gateway, now));
    }
}

impl CatalogueState {
    fn apply_announcement(&mut self, now: Timestamp, announcement: Announcement) -> Verdict {
        let known = self
            .members
            .get(&announcement.service, &announcement.target)
            .cloned();
        let verdict = self.members.announce(now, announcement.clone());
        let is_applied = matches!(verdict, Verdict::Accepted | Verdict::Left);
        let is_renewal = known.is_some_and(|known| {
            known.incarnation == announcement.incarnation
                && known.state == announcement.state
                && known.address == announcement.address
                && known.slots == announcement.slots
        });
        if is_applied && !is_renewal {
            info!(
                service = announcement.service.as_str(), target_id = announcement.target.as_str(),
                incarnation = announcement.incarnation.0, sequence = announcement.sequence.0,
                address:% = announcement.address, slots = announcement.slots.0,
                state:% = announcement.state, verdict:% = verdict;
                "target announced"
            );
            self.changes += 1;
            if self.recent_changes.len() >= MAX_RECENT_CHANGES {
                self.recent_changes.pop_front();
            }
            self.recent_changes.push_back(announcement);
        }
        verdict
    }

    /// Whether the state in the announcement is more than a record that may be uncommitted.
    fn is_confirmed(&self, announcement: &Announcement) -> bool {
        let departure = (announcement.target.clone(), announcement.incarnation);
        !self.unconfirmed_departures.contains(&departure)
    }

    fn has_leader_contact(&self, now: Timestamp) -> bool {
        self.current_as_of
            .is_some_and(|contact| now.since(contact) < LEADER_CONTACT_LIMIT)
    }

    fn has_updates(&self, watch: &WatchRequest) -> bool {
        let is_list_current = watch
            .position
            .is_some_and(|position| position == self.position());
        self.version() > watch.version || !is_list_current
    }

    fn version(&self) -> Option<ConfigVersion> {
        self.document.as_ref().map(|document| document.version)
    }

    fn position(&self) -> ListPosition {
        ListPosition {
            boot: self.boot,
            changes: self.changes,
        }
    }

    fn reply(&self, now: Timestamp, watch: &WatchRequest) -> WatchReply {
        let document = self
            .document
            .as_ref()
            .filter(|document| Some(document.version) > watch.version)
            .cloned();
        WatchReply {
            document,
            position: self.position(),
            targets: self.targets_since(watch.position),
            confirmed_before: self.current_as_of.map(|time| now.since(time)),
            keepers: self.keepers.clone(),
            gateways: self
                .gateways
                .values()
                .filter(|(_, last_seen)| now.since(*last_seen) < GATEWAY_EXPIRY)
                .map(|(gateway, _)| gateway.clone())
                .collect(),
        }
    }

    fn targets_since(&self, position: Option<ListPosition>) -> Vec<Announcement> {
        let missing = position
            .filter(|position| position.boot == self.boot)
            .and_then(|position| self.changes.checked_sub(position.changes))
            .and_then(|missing| usize::try_from(missing).ok())
            .filter(|missing| *missing <= self.recent_changes.len());
        match missing {
            Some(missing) => {
                let from = self.recent_changes.len() - missing;
                self.recent_changes.range(from..).cloned().collect()
            }
            None => self.members.iter().cloned().collect(),
        }
    }
}

impl CommitObserver for Catalogue {
    fn published(&self, published: &VersionedDocument) {
        {
            let mut state = self.state.lock();
            // The log is applied from its start, so the cached document may be newer than its first
            // records.
            if state.version() > Some(published.version) {
                return;
            }
            state.document = Some(published.clone());
        }
        info!(version = published.version.0; "configuration applied");
        self.changed.notify(usize::MAX);
    }

    fn departed(&self, announcement: &Announcement) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let departure = (announcement.target.clone(), announcement.incarnation);
        if state.unconfirmed_departures.remove(&departure) {
            // The saved view lacks it.
            state.last_saved = None;
        }
        state.apply_announcement(now, announcement.clone());
        drop(state);
        self.changed.notify(usize::MAX);
    }

    fn may_have_departed(&self, announcement: &Announcement) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let verdict = state.apply_announcement(now, announcement.clone());
        if verdict == Verdict::Left {
            let departure = (announcement.target.clone(), announcement.incarnation);
            state.unconfirmed_departures.insert(departure);
        }
        drop(state);
        self.changed.notify(usize::MAX);
    }

    fn current_as_of(&self, time: Timestamp) {
        self.state.lock().current_as_of = Some(time);
    }
}
