//! What a keeper knows of targets and gateways, and what gateways follow.
//!
//! A target announces itself to any keeper, which tells the others. That a target is ready is kept
//! in memory only: it announces itself again within seconds. That it has left goes through the
//! replicated log first, since the acknowledgement promises that no gateway sends it work any more,
//! also after every keeper has restarted.

use std::collections::{HashMap, VecDeque};
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

/// Changes that are kept for gateways that follow; one that lags further gets the whole list.
const KEPT_CHANGES: usize = 4_096;
/// Time after which a gateway that watches no keeper is no longer listed.
const GATEWAY_FORGET: Millis = Millis(4_000);

/// Targets, gateways and the published document, as one keeper knows them.
pub struct Catalogue {
    clock: Arc<dyn Clock>,
    state: Mutex<CatalogueState>,
    changed: Event,
}

struct CatalogueState {
    boot: u64,
    members: TargetMembership,
    changes: u64,
    /// The last changes, oldest first.
    recent: VecDeque<Announcement>,
    document: Option<VersionedDocument>,
    confirmed: Option<Timestamp>,
    keepers: Vec<VmId>,
    gateways: HashMap<VmId, (GatewayLocation, Timestamp)>,
    /// Announcements that the other keepers have not been told yet.
    unsent: Vec<Announcement>,
    /// Gateways that watched this keeper since the other keepers were told.
    watching: HashMap<VmId, GatewayLocation>,
    /// Number of changes and version of the view that was last cached.
    cached: Option<(u64, Option<ConfigVersion>)>,
}

/// What is known of a target that says it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeavingTarget {
    /// Its departure must be recorded.
    Present(Announcement),
    /// Its departure is recorded.
    Departed,
    /// No announcement of it has arrived.
    Unknown,
}

impl Catalogue {
    /// Creates an empty catalogue.
    pub fn new(clock: Arc<dyn Clock>, boot: u64) -> Self {
        Self {
            clock,
            state: Mutex::new(CatalogueState {
                boot,
                members: TargetMembership::default(),
                changes: 0,
                recent: VecDeque::new(),
                document: None,
                confirmed: None,
                keepers: Vec::new(),
                gateways: HashMap::new(),
                unsent: Vec::new(),
                watching: HashMap::new(),
                cached: None,
            }),
            changed: Event::new(),
        }
    }

    /// Takes an announcement of a target that is ready.
    pub fn announce(&self, announcement: Announcement) -> Verdict {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let verdict = state.take(now, announcement.clone());
        if verdict == Verdict::Accepted {
            state.unsent.push(announcement);
        }
        drop(state);
        self.changed.notify(usize::MAX);
        verdict
    }

    /// What is known of a target that says it leaves, in the life `incarnation` if that is stated.
    pub fn leaving(&self, target: &TargetId, incarnation: Option<Incarnation>) -> LeavingTarget {
        let state = self.state.lock();
        let known = state
            .members
            .iter()
            .filter(|known| known.target == *target)
            .max_by_key(|known| known.incarnation);
        match known {
            None => LeavingTarget::Unknown,
            Some(known) if incarnation.is_some_and(|stated| stated < known.incarnation) => {
                // A later life has begun, so this one gets no work any more.
                LeavingTarget::Departed
            }
            Some(known) if known.state == AnnouncedState::Leaving => LeavingTarget::Departed,
            Some(known) => LeavingTarget::Present(Announcement {
                state: AnnouncedState::Leaving,
                ..known.clone()
            }),
        }
    }

    /// Whether the departure that the announcement states is recorded.
    pub fn has_departed(&self, announcement: &Announcement) -> bool {
        let state = self.state.lock();
        let known = state
            .members
            .get(&announcement.service, &announcement.target);
        known.is_some_and(|known| {
            known.incarnation > announcement.incarnation
                || (known.incarnation == announcement.incarnation
                    && known.state == AnnouncedState::Leaving)
        })
    }

    /// Takes over what another keeper heard.
    pub fn merge(&self, heard: KeeperGossip) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let before = state.changes;
        for announcement in heard.targets {
            // Departures take effect through the log alone.
            if announcement.state == AnnouncedState::Ready {
                state.take(now, announcement);
            }
        }
        for gateway in heard.gateways {
            state.gateways.insert(gateway.vm.clone(), (gateway, now));
        }
        let is_changed = state.changes != before;
        drop(state);
        if is_changed {
            self.changed.notify(usize::MAX);
        }
    }

    /// What the other keepers have not been told yet.
    pub fn take_unsent(&self) -> Option<KeeperGossip> {
        let mut state = self.state.lock();
        if state.unsent.is_empty() && state.watching.is_empty() {
            return None;
        }
        Some(KeeperGossip {
            targets: std::mem::take(&mut state.unsent),
            gateways: state.watching.drain().map(|(_, gateway)| gateway).collect(),
        })
    }

    /// Every announcement, departures included.
    pub fn targets(&self) -> Vec<Announcement> {
        self.state.lock().members.iter().cloned().collect()
    }

    /// Begins with a view that was committed before the process started.
    pub fn begin_with(&self, view: CachedView) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for announcement in view.targets {
            state.take(now, announcement);
        }
        state.document = view.document;
    }

    /// The committed view, if it has changed since the last call.
    pub fn changed_view(&self) -> Option<CachedView> {
        let mut state = self.state.lock();
        let stamp = (state.changes, state.version());
        if state.cached == Some(stamp) {
            return None;
        }
        state.cached = Some(stamp);
        Some(CachedView {
            document: state.document.clone(),
            targets: state.members.iter().cloned().collect(),
        })
    }

    /// Makes the next call of [`Catalogue::changed_view`] give the view again.
    pub fn view_not_stored(&self) {
        self.state.lock().cached = None;
    }

    /// Takes over the VMs of the keepers.
    pub fn set_keepers(&self, keepers: Vec<VmId>) {
        self.state.lock().keepers = keepers;
    }

    /// Forgets gateways and departures that are over.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.members.expire(now);
        state
            .gateways
            .retain(|_, (_, seen)| now.since(*seen) < GATEWAY_FORGET);
    }

    /// Waits until the gateway lacks something, or for the time that it states.
    pub async fn watch(&self, vm: &VmId, watch: WatchRequest) -> WatchReply {
        let gateway = GatewayLocation {
            vm: vm.clone(),
            address: watch.address,
            data_centre: watch.data_centre.clone(),
        };
        self.note_gateway(gateway);
        let limit = self.clock.sleep(watch.wait);
        let change = async {
            loop {
                let listener = self.changed.listen();
                if self.state.lock().has_news(&watch) {
                    return;
                }
                listener.await;
            }
        };
        change.or(limit).await;
        self.state.lock().reply(self.clock.now(), &watch)
    }

    fn note_gateway(&self, gateway: GatewayLocation) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.watching.insert(gateway.vm.clone(), gateway.clone());
        state.gateways.insert(gateway.vm.clone(), (gateway, now));
    }
}

impl CatalogueState {
    fn take(&mut self, now: Timestamp, announcement: Announcement) -> Verdict {
        let known = self
            .members
            .get(&announcement.service, &announcement.target)
            .cloned();
        let verdict = self.members.announce(now, announcement.clone());
        let is_taken = matches!(verdict, Verdict::Accepted | Verdict::Left);
        let is_renewal = known.is_some_and(|known| {
            known.incarnation == announcement.incarnation
                && known.state == announcement.state
                && known.address == announcement.address
                && known.slots == announcement.slots
        });
        if is_taken && !is_renewal {
            info!(
                service = announcement.service.as_str(), target_id = announcement.target.as_str(),
                incarnation = announcement.incarnation.0, sequence = announcement.sequence.0,
                address:% = announcement.address, slots = announcement.slots.0,
                state:% = announcement.state, verdict:% = verdict;
                "target announced"
            );
            self.changes += 1;
            if self.recent.len() >= KEPT_CHANGES {
                self.recent.pop_front();
            }
            self.recent.push_back(announcement);
        }
        verdict
    }

    fn has_news(&self, watch: &WatchRequest) -> bool {
        let has_list = watch
            .position
            .is_some_and(|position| position == self.position());
        self.version() > watch.version || !has_list
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
            targets: self.targets_after(watch.position),
            confirmed_before: self.confirmed.map(|time| now.since(time)),
            keepers: self.keepers.clone(),
            gateways: self
                .gateways
                .values()
                .filter(|(_, seen)| now.since(*seen) < GATEWAY_FORGET)
                .map(|(gateway, _)| gateway.clone())
                .collect(),
        }
    }

    fn targets_after(&self, position: Option<ListPosition>) -> Vec<Announcement> {
        let missing = position
            .filter(|position| position.boot == self.boot)
            .and_then(|position| self.changes.checked_sub(position.changes))
            .and_then(|missing| usize::try_from(missing).ok())
            .filter(|missing| *missing <= self.recent.len());
        match missing {
            Some(missing) => {
                let from = self.recent.len() - missing;
                self.recent.range(from..).cloned().collect()
            }
            None => self.members.iter().cloned().collect(),
        }
    }
}

impl CommitObserver for Catalogue {
    fn published(&self, published: &VersionedDocument) {
        {
            let mut state = self.state.lock();
            // The log is applied from its start; what was cached may be newer than its first records.
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
        self.state.lock().take(now, announcement.clone());
        self.changed.notify(usize::MAX);
    }

    fn confirmed(&self, time: Timestamp) {
        self.state.lock().confirmed = Some(time);
    }
}
