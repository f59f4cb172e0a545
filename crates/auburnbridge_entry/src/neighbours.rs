//! State that entries replicate among each other: targets, entries, crash reports and rules.
//!
//! All other entries are neighbours; there is no topology. Only `own` and `entries` are ever held
//! together, in this order. No lock is held across an await point.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use auburnbridge_config::{Delta, RulesCopy};
use auburnbridge_membership::{
    AnnouncedState, Announcement, EntryAnnouncement, EntryMembership, Gossip, Liveness,
    SyncMessage, TargetMembership, Verdict,
};
use auburnbridge_messages::{self as messages, Reply, Request, ServiceEvidence};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_policy::{Member, Presence, SuspectReport};
use auburnbridge_types::{BoxFuture, Clock, Millis, Revision, ServiceName, Timestamp};
use futures_lite::FutureExt;
use log::{debug, info, warn};
use parking_lot::Mutex;

use crate::entry::CrashReporter;

/// Number of entries to which an entry forwards a new announcement. These forward it in turn, so
/// the second round reaches up to 16 more entries.
const FANOUT: usize = 4;
/// Maximum wait for the acknowledgements of a crash report.
const CRASH_REPORT_TIMEOUT: Millis = Millis(100);
const CALL_TIMEOUT: Millis = Millis(500);
/// Time without an answer from any other process after which an entry counts as isolated. A keeper
/// and another entry are each called about once a second.
const ISOLATION_TIMEOUT: Millis = Millis(5_000);
/// Maximum number of steps of one anti-entropy exchange. An exchange needs four steps, and more
/// only if both sides change meanwhile.
const MAX_SYNC_STEPS: usize = 8;

/// State that this entry has received in announcements and from other entries.
pub struct Neighbours {
    /// Latest announcement of this entry.
    own: Mutex<EntryAnnouncement>,
    /// Configured entries that are contacted even if no announcement of them has arrived.
    seeds: Vec<PeerAddress>,
    transport: Arc<dyn Transport>,
    clock: Arc<dyn Clock>,
    targets: Mutex<TargetMembership>,
    entries: Mutex<EntryMembership>,
    target_rumours: Mutex<Gossip<Announcement>>,
    entry_rumours: Mutex<Gossip<EntryAnnouncement>>,
    rules: Mutex<RulesCopy>,
    /// Time of the last answer of a keeper or another entry, in milliseconds.
    last_contact: AtomicU64,
}

impl Neighbours {
    /// Creates the state of the entry with the announcement `own`, which contacts `seeds` first.
    pub fn new(
        own: EntryAnnouncement,
        seeds: Vec<PeerAddress>,
        transport: Arc<dyn Transport>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let seed = own.boot;
        let clock_now = clock.now();
        Self {
            seeds: seeds
                .into_iter()
                .filter(|entry| entry.vm != own.vm)
                .collect(),
            own: Mutex::new(own),
            transport,
            clock,
            targets: Mutex::default(),
            entries: Mutex::default(),
            target_rumours: Mutex::new(Gossip::new(FANOUT, seed)),
            entry_rumours: Mutex::new(Gossip::new(FANOUT, seed.wrapping_add(1))),
            rules: Mutex::default(),
            last_contact: AtomicU64::new(clock_now.0),
        }
    }

    /// Records that a keeper or another entry answered.
    pub fn record_contact(&self) {
        let now = self.clock.now();
        self.last_contact.store(now.0, Ordering::Relaxed);
    }

    /// Whether no keeper and no other entry has answered for [`ISOLATION_TIMEOUT`].
    ///
    /// Entries that lost only the keepers still answer each other and continue to serve.
    pub fn is_isolated(&self) -> bool {
        let last_contact = Timestamp(self.last_contact.load(Ordering::Relaxed));
        self.clock.now().since(last_contact) >= ISOLATION_TIMEOUT
    }

    /// Applies an announcement received from a target.
    pub fn announce(&self, announcement: Announcement) -> Verdict {
        let verdict = self
            .targets
            .lock()
            .announce(self.clock.now(), announcement.clone());
        match verdict {
            Verdict::Left => info!(
                "target={} service={} incarnation={} is leaving",
                announcement.target, announcement.service, announcement.incarnation
            ),
            Verdict::Conflict => warn!(
                "target={} is claimed by two processes, one at {}",
                announcement.target, announcement.address
            ),
            Verdict::Accepted | Verdict::Outdated | Verdict::Full => {}
        }
        if matches!(verdict, Verdict::Accepted | Verdict::Left) {
            self.target_rumours.lock().push(vec![announcement]);
        }
        verdict
    }

    /// Targets of a service that are not leaving.
    pub fn members(&self, service: &ServiceName, now: Timestamp) -> Vec<Member> {
        let targets = self.targets.lock();
        targets
            .view(service, now)
            .map(|(announcement, liveness)| member(announcement, liveness, now))
            .collect()
    }

    /// Records that a request succeeded on a target.
    pub fn record_success(&self, now: Timestamp, service: &ServiceName, member: &Member) {
        self.targets
            .lock()
            .record_success(now, service, &member.id, member.incarnation);
    }

    /// Removes expired records of targets and entries.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.targets.lock().expire(now);
        self.entries.lock().expire(now);
    }

    /// Sets the state that this entry announces to the other entries.
    pub fn set_state(&self, state: AnnouncedState) {
        self.own.lock().state = state;
    }

    /// Sends this entry's announcement and all pending rumours to a few other entries.
    pub fn send_rumours(&self, revision: Revision) {
        let own = self.next_announcement(revision);
        let peers = self.peers();
        let targets = self.target_rumours.lock().take_pending();
        let mut rumours = self.entry_rumours.lock();
        let mut entries = rumours.take_pending();
        entries.push(own);
        let request = Request::EntryGossip { targets, entries };
        let Ok(body) = request.encode() else {
            warn!("rumours not sent: the message exceeds the size limit");
            return;
        };
        for peer in rumours.pick_peers(&peers) {
            self.transport.send(peer, body.clone());
        }
    }

    /// Sends this entry's evidence about suspected targets to all other entries.
    pub fn send_evidence(&self, evidence: Vec<ServiceEvidence>) {
        if evidence.is_empty() {
            return;
        }
        let Ok(body) = Request::Evidence(evidence).encode() else {
            warn!("evidence not sent: the message exceeds the size limit");
            return;
        };
        for peer in self.peers() {
            self.transport.send(&peer, body.clone());
        }
    }

    /// Advances this entry's announcement, applies it locally and returns it.
    fn next_announcement(&self, revision: Revision) -> EntryAnnouncement {
        let mut own = self.own.lock();
        own.sequence.0 += 1;
        own.revision = revision;
        if let Some(incarnation) = self.entries.lock().incarnation_after_restart(&own) {
            own.incarnation = incarnation;
        }
        self.entries.lock().announce(self.clock.now(), own.clone());
        own.clone()
    }

    /// Addresses of the other entries: the fresh known ones and the configured seeds.
    pub fn peers(&self) -> Vec<PeerAddress> {
        let now = self.clock.now();
        let own = self.own.lock().vm.clone();
        let entries = self.entries.lock();
        let mut peers: Vec<PeerAddress> = entries
            .groups()
            .flat_map(|group| entries.view(group, now))
            .filter(|(entry, liveness)| *liveness == Liveness::Fresh && entry.vm != own)
            .map(|(entry, _)| PeerAddress {
                vm: entry.vm.clone(),
                address: entry.address,
            })
            .collect();
        for seed in &self.seeds {
            if peers.iter().all(|peer| peer.vm != seed.vm) {
                peers.push(seed.clone());
            }
        }
        peers
    }

    /// Merges rumours received from another entry.
    pub fn merge_rumours(&self, targets: &[Announcement], entries: &[EntryAnnouncement]) {
        let now = self.clock.now();
        let new_targets = self.targets.lock().merge(now, targets);
        self.target_rumours.lock().push(new_targets);
        let new_entries = self.entries.lock().merge(now, entries);
        self.entry_rumours.lock().push(new_entries);
    }

    /// Handles one message of an anti-entropy exchange of targets.
    pub fn sync_targets(
        &self,
        message: SyncMessage<Announcement>,
    ) -> Option<SyncMessage<Announcement>> {
        let (reply, new) = self
            .targets
            .lock()
            .handle_message(self.clock.now(), message);
        self.target_rumours.lock().push(new);
        reply
    }

    /// Handles one message of an anti-entropy exchange of entries.
    pub fn sync_entries(
        &self,
        message: SyncMessage<EntryAnnouncement>,
    ) -> Option<SyncMessage<EntryAnnouncement>> {
        let (reply, new) = self
            .entries
            .lock()
            .handle_message(self.clock.now(), message);
        self.entry_rumours.lock().push(new);
        reply
    }

    /// Runs an anti-entropy exchange of targets and entries with another entry; returns `false` if
    /// that entry did not answer every call.
    pub async fn sync_with(&self, peer: &PeerAddress) -> bool {
        let mut message = Some(self.targets.lock().open_exchange());
        for _ in 0..MAX_SYNC_STEPS {
            let Some(next) = message.take() else { break };
            match self.call(peer, &Request::SyncTargets(next)).await {
                Some(Reply::SyncTargets(reply)) => {
                    message = reply.and_then(|reply| self.sync_targets(reply));
                }
                _ => return false,
            }
        }
        let mut message = Some(self.entries.lock().open_exchange());
        for _ in 0..MAX_SYNC_STEPS {
            let Some(next) = message.take() else { break };
            match self.call(peer, &Request::SyncEntries(next)).await {
                Some(Reply::SyncEntries(reply)) => {
                    message = reply.and_then(|reply| self.sync_entries(reply));
                }
                _ => return false,
            }
        }
        true
    }

    /// Highest revision in force on any fresh entry, and the address of that entry.
    pub fn newest_revision(&self) -> Option<(Revision, PeerAddress)> {
        let now = self.clock.now();
        let entries = self.entries.lock();
        entries
            .groups()
            .flat_map(|group| entries.view(group, now))
            .filter(|(_, liveness)| *liveness == Liveness::Fresh)
            .max_by_key(|(entry, _)| entry.revision)
            .map(|(entry, _)| {
                let address = PeerAddress {
                    vm: entry.vm.clone(),
                    address: entry.address,
                };
                (entry.revision, address)
            })
    }

    /// Copy of the rules from which this entry serves other entries.
    pub fn rules(&self) -> &Mutex<RulesCopy> {
        &self.rules
    }

    /// Fetches the changes to the rules since revision `have` from another entry.
    pub(crate) async fn fetch_rules(&self, peer: &PeerAddress, have: Revision) -> Option<Delta> {
        let data_centre = self.own.lock().data_centre.clone();
        match self
            .call(peer, &Request::FetchRules { have, data_centre })
            .await
        {
            Some(Reply::Rules(delta)) => Some(delta),
            _ => None,
        }
    }

    async fn call(&self, peer: &PeerAddress, request: &Request) -> Option<Reply> {
        let reply = messages::call(self.transport.as_ref(), peer, request, CALL_TIMEOUT)
            .await
            .inspect_err(|error| debug!("entry {} did not answer: {error}", peer.vm))
            .ok()?;
        self.record_contact();
        Some(reply)
    }
}

impl CrashReporter for Neighbours {
    fn report(&self, report: SuspectReport) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let request = Request::Suspect(report);
            let peers = self.peers();
            let acknowledged = async {
                let mut calls: Vec<_> = peers
                    .iter()
                    .map(|peer| Box::pin(self.call(peer, &request)))
                    .collect();
                // Polls all calls concurrently until each has completed.
                futures_lite::future::poll_fn(|cx| {
                    calls.retain_mut(|call| call.poll(cx).is_pending());
                    if calls.is_empty() {
                        std::task::Poll::Ready(())
                    } else {
                        std::task::Poll::Pending
                    }
                })
                .await;
            };
            acknowledged
                .or(self.clock.sleep(CRASH_REPORT_TIMEOUT))
                .await;
        })
    }
}

/// Converts an announcement to a member of a fleet. A fresh announcement is one with a valid lease.
/// Announcements of leaving targets don't get here.
fn member(announcement: &Announcement, liveness: Liveness, now: Timestamp) -> Member {
    Member {
        id: announcement.target.clone(),
        address: announcement.address,
        data_centre: announcement.data_centre.clone(),
        incarnation: announcement.incarnation,
        slots: announcement.slots,
        presence: match liveness {
            Liveness::Fresh => Presence::Fresh,
            Liveness::Stale => Presence::Stale(now),
        },
    }
}
