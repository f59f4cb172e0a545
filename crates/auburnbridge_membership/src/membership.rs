//! Announcements that one process has accepted, with leases and tombstones.

use std::collections::{BTreeMap, BTreeSet};

use auburnbridge_types::{Incarnation, Timestamp};
use strum::{Display, IntoStaticStr};

use crate::{
    Announced, AnnouncedState, EntryAnnouncement, EntryMembership, FORGET_AFTER, LEASE, MAX_GROUPS,
    MAX_PRESENT, MAX_TOMBSTONES, TOMBSTONE_RETENTION,
};

/// Result of applying an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The announcement is newer than the known one and renews the lease.
    Accepted,
    /// The announcement is newer than the known one and ends the incarnation.
    Left,
    /// The same or a newer announcement is already known.
    Outdated,
    /// Rejected: another process, which has a higher address or has left, claims the id in the same
    /// incarnation.
    Conflict,
    /// Rejected: the limit on groups or present ids is reached.
    Full,
}

/// Lease state of a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Liveness {
    /// A newer sequence arrived within the lease duration.
    Fresh,
    /// The lease expired.
    Stale,
}

#[derive(Clone, Debug)]
pub(crate) enum Record<A> {
    /// The sender is listed, with or without a lease.
    Present(Present<A>),
    /// The sender announced its departure, or its record expired.
    Tombstone(Tombstone<A>),
}

#[derive(Clone, Debug)]
pub(crate) struct Present<A> {
    pub(crate) announcement: A,
    pub(crate) content_hash: u64,
    received: Timestamp,
    /// Whether the announcement was received from an entry that held it without a lease.
    pub(crate) learned_stale: bool,
    /// Time of the last request that was reported to have succeeded on the target.
    last_success: Option<Timestamp>,
}

#[derive(Clone, Debug)]
pub(crate) struct Tombstone<A> {
    pub(crate) announcement: A,
    since: Timestamp,
}

impl<A: Announced> Present<A> {
    pub(crate) fn liveness(&self, now: Timestamp) -> Liveness {
        if self.learned_stale || now.since(self.received) >= LEASE {
            Liveness::Stale
        } else {
            Liveness::Fresh
        }
    }
}

impl<A> Present<A> {
    /// Time of the last newer announcement or successful request, whichever is later.
    fn last_seen(&self) -> Timestamp {
        self.last_success
            .unwrap_or(self.received)
            .max(self.received)
    }
}

impl<A> Record<A> {
    pub(crate) fn announcement(&self) -> &A {
        match self {
            Self::Present(present) => &present.announcement,
            Self::Tombstone(tombstone) => &tombstone.announcement,
        }
    }
}

/// Records of one group, with a hash over the present ones.
#[derive(Clone, Debug)]
pub(crate) struct Group<A: Announced> {
    pub(crate) records: BTreeMap<A::Id, Record<A>>,
    /// XOR of the content hashes, which makes an update O(1).
    pub(crate) hash: u64,
}

impl<A: Announced> Default for Group<A> {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            hash: 0,
        }
    }
}

/// Announcements that one process has accepted, with leases and tombstones.
#[derive(Clone, Debug)]
pub struct Membership<A: Announced> {
    pub(crate) groups: BTreeMap<A::Group, Group<A>>,
    /// Tombstones ordered by time of creation, for their expiry.
    tombstones: BTreeSet<(Timestamp, A::Group, A::Id)>,
    present: usize,
    pub(crate) hash: u64,
    /// Number of exchanges answered; rotates the group with which a bounded message begins.
    pub(crate) answered_exchanges: usize,
}

impl<A: Announced> Default for Membership<A> {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            present: 0,
            hash: 0,
            answered_exchanges: 0,
        }
    }
}

impl<A: Announced> Membership<A> {
    /// Number of present ids, fresh or stale.
    pub fn len(&self) -> usize {
        self.present
    }

    /// Whether no id is present.
    pub fn is_empty(&self) -> bool {
        self.present == 0
    }

    /// Number of tombstones.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Applies an announcement received from its sender.
    pub fn announce(&mut self, now: Timestamp, announcement: A) -> Verdict {
        self.apply(now, announcement, false)
    }

    /// Applies announcements received from another entry and returns the new ones, to be forwarded.
    pub fn merge(&mut self, now: Timestamp, announcements: &[A]) -> Vec<A> {
        announcements
            .iter()
            .filter(|announcement| self.apply_if_newer(now, announcement, false))
            .cloned()
            .collect()
    }

    /// Applies announcements that another entry holds without a lease; they start no lease here.
    pub fn merge_stale(&mut self, now: Timestamp, announcements: &[A]) {
        for announcement in announcements {
            self.apply(now, announcement.clone(), true);
        }
    }

    /// Announcements and liveness of the present ids of a group.
    pub fn view<'a>(
        &'a self,
        group: &A::Group,
        now: Timestamp,
    ) -> impl Iterator<Item = (&'a A, Liveness)> + use<'a, A> {
        self.groups
            .get(group)
            .into_iter()
            .flat_map(|group| group.records.values())
            .filter_map(move |record| match record {
                Record::Present(present) => Some((&present.announcement, present.liveness(now))),
                Record::Tombstone(_) => None,
            })
    }

    /// Last known announcement of an id, which may have a tombstone; its state is `Leaving` if the
    /// id announced its departure, but not if its record expired.
    pub fn get(&self, group: &A::Group, id: &A::Id) -> Option<&A> {
        self.record(group, id).map(Record::announcement)
    }

    /// All known announcements, including those of tombstones.
    pub fn iter(&self) -> impl Iterator<Item = &A> {
        self.groups
            .values()
            .flat_map(|group| group.records.values())
            .map(Record::announcement)
    }

    /// Groups that have records.
    pub fn groups(&self) -> impl Iterator<Item = &A::Group> {
        self.groups.keys()
    }

    /// Records that a request succeeded on a target. This does not renew the lease, but prevents
    /// the removal of a stale record: a network partition that hides the announcements of a working
    /// target must not remove its capacity.
    pub fn record_success(
        &mut self,
        now: Timestamp,
        group: &A::Group,
        id: &A::Id,
        incarnation: Incarnation,
    ) {
        let record = self
            .groups
            .get_mut(group)
            .and_then(|group| group.records.get_mut(id));
        if let Some(Record::Present(present)) = record
            && present.announcement.incarnation() == incarnation
        {
            present.last_success = Some(now);
        }
    }

    /// Replaces records not seen for [`FORGET_AFTER`] by tombstones, and drops tombstones after
    /// [`TOMBSTONE_RETENTION`], when no delayed message can restore their ids.
    ///
    /// Visits every record; callers run it every few seconds.
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<A> = self
            .groups
            .values()
            .flat_map(|group| group.records.values())
            .filter_map(|record| match record {
                Record::Present(present) if now.since(present.last_seen()) >= FORGET_AFTER => {
                    Some(present.announcement.clone())
                }
                Record::Present(_) | Record::Tombstone(_) => None,
            })
            .collect();
        for announcement in expired {
            self.insert_tombstone(now, announcement);
        }
        while let Some((since, _, _)) = self.tombstones.first() {
            if now.since(*since) < TOMBSTONE_RETENTION {
                return;
            }
            self.drop_oldest_tombstone();
        }
    }

    fn apply_if_newer(&mut self, now: Timestamp, announcement: &A, stale: bool) -> bool {
        let known = self.record(announcement.group(), announcement.id());
        if known.is_some_and(|known| !announcement.supersedes(known.announcement())) {
            return false;
        }
        self.apply(now, announcement.clone(), stale) != Verdict::Full
    }

    fn apply(&mut self, now: Timestamp, announcement: A, stale: bool) -> Verdict {
        let known = self.record(announcement.group(), announcement.id());
        let is_present = matches!(known, Some(Record::Present(_)));
        if let Some(known) = known.map(Record::announcement)
            && !announcement.supersedes(known)
        {
            return if announcement.conflicts_with(known) {
                Verdict::Conflict
            } else {
                Verdict::Outdated
            };
        }
        if !self.has_capacity_for(&announcement, is_present) {
            return Verdict::Full;
        }
        if announcement.state() == AnnouncedState::Leaving {
            self.insert_tombstone(now, announcement);
            return Verdict::Left;
        }
        self.insert_present(now, announcement, stale);
        Verdict::Accepted
    }

    fn has_capacity_for(&self, announcement: &A, is_present: bool) -> bool {
        if !self.groups.contains_key(announcement.group()) && self.groups.len() >= MAX_GROUPS {
            return false;
        }
        is_present || announcement.state() == AnnouncedState::Leaving || self.present < MAX_PRESENT
    }

    pub(crate) fn record(&self, group: &A::Group, id: &A::Id) -> Option<&Record<A>> {
        self.groups.get(group)?.records.get(id)
    }

    /// Stores an announcement: a fresh one starts a new lease, a stale one leaves the lease
    /// unchanged.
    fn insert_present(&mut self, now: Timestamp, announcement: A, stale: bool) {
        if let Some(present) = self.present_mut(&announcement) {
            if !stale {
                present.received = now;
                present.learned_stale = false;
            }
            if announcement.has_same_content(&present.announcement) {
                present.announcement = announcement;
                return;
            }
            let content_hash = announcement.content_hash();
            let difference = content_hash ^ present.content_hash;
            present.content_hash = content_hash;
            self.xor_hashes(announcement.group(), difference);
            if let Some(present) = self.present_mut(&announcement) {
                present.announcement = announcement;
            }
            return;
        }
        self.remove(&announcement);
        let content_hash = announcement.content_hash();
        let (group, id) = (announcement.group().clone(), announcement.id().clone());
        let present = Present {
            announcement,
            content_hash,
            received: now,
            learned_stale: stale,
            last_success: None,
        };
        let records = &mut self.groups.entry(group.clone()).or_default().records;
        records.insert(id, Record::Present(present));
        self.present += 1;
        self.xor_hashes(&group, content_hash);
    }

    fn present_mut(&mut self, announcement: &A) -> Option<&mut Present<A>> {
        let records = &mut self.groups.get_mut(announcement.group())?.records;
        match records.get_mut(announcement.id())? {
            Record::Present(present) => Some(present),
            Record::Tombstone(_) => None,
        }
    }

    /// Updates the hash over all groups and the hash of `group`.
    fn xor_hashes(&mut self, group: &A::Group, difference: u64) {
        self.hash ^= difference;
        if let Some(group) = self.groups.get_mut(group) {
            group.hash ^= difference;
        }
    }

    /// Replaces the record of the id by a tombstone.
    fn insert_tombstone(&mut self, now: Timestamp, announcement: A) {
        self.remove(&announcement);
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.drop_oldest_tombstone();
        }
        let (group, id) = (announcement.group().clone(), announcement.id().clone());
        self.tombstones.insert((now, group.clone(), id.clone()));
        let tombstone = Tombstone {
            announcement,
            since: now,
        };
        let records = &mut self.groups.entry(group).or_default().records;
        records.insert(id, Record::Tombstone(tombstone));
    }

    fn drop_oldest_tombstone(&mut self) {
        if let Some((_, group, id)) = self.tombstones.pop_first() {
            self.remove_record(&group, &id);
        }
    }

    fn remove(&mut self, announcement: &A) {
        let (group, id) = (announcement.group(), announcement.id());
        match self.remove_record(group, id) {
            Some(Record::Present(present)) => {
                self.present -= 1;
                self.xor_hashes(group, present.content_hash);
            }
            Some(Record::Tombstone(tombstone)) => {
                self.tombstones
                    .remove(&(tombstone.since, group.clone(), id.clone()));
            }
            None => {}
        }
    }

    fn remove_record(&mut self, group: &A::Group, id: &A::Id) -> Option<Record<A>> {
        let records = &mut self.groups.get_mut(group)?.records;
        let removed = records.remove(id);
        if records.is_empty() {
            self.groups.remove(group);
        }
        removed
    }
}

impl EntryMembership {
    /// Incarnation that `own` must adopt so that other entries accept its announcements, or `None`
    /// if the current one suffices.
    ///
    /// An entry has no disk on which to count its starts. Its incarnation is initially its start
    /// time; when it learns of an earlier process of its VM whose last announcement supersedes its
    /// own, it adopts a higher number.
    pub fn incarnation_after_restart(&self, own: &EntryAnnouncement) -> Option<Incarnation> {
        let known = self.record(&own.data_centre, &own.vm)?.announcement();
        let is_own = known.boot == own.boot && known.state <= own.state;
        if is_own || known.incarnation < own.incarnation {
            return None;
        }
        Some(Incarnation(known.incarnation.0.saturating_add(1)))
    }
}
