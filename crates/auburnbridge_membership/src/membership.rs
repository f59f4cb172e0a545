//! The announcements that one entry has accepted.

use std::collections::{BTreeMap, BTreeSet};

use auburnbridge_types::{Incarnation, Timestamp};
use strum::{Display, IntoStaticStr};

use crate::{
    Announced, DEPARTED_MEMORY, Entries, EntryAnnouncement, FORGET_AFTER, LEASE, MAX_DEPARTED,
    MAX_GROUPS, MAX_PRESENT, State,
};

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// It is new and renews the lease.
    Accepted,
    /// It is new and ends the incarnation.
    Left,
    /// A newer one, or the same, is known.
    Outdated,
    /// Another process with a higher address, or one that left, claims the id in the same
    /// incarnation; the announcement is refused.
    Conflict,
    /// A limit on counts refuses it.
    Full,
}

/// Whether a sender has a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Liveness {
    /// A newer sequence arrived within the lease.
    Fresh,
    /// The lease ran out.
    Stale,
}

#[derive(Clone, Debug)]
pub(crate) enum Record<A> {
    Present(Present<A>),
    Departed(Departed<A>),
}

#[derive(Clone, Debug)]
pub(crate) struct Present<A> {
    pub(crate) announcement: A,
    pub(crate) content_hash: u64,
    received: Timestamp,
    /// Received from an entry that had it without a lease.
    pub(crate) learned_stale: bool,
    /// When real work last succeeded there, as far as it was reported.
    worked: Option<Timestamp>,
}

#[derive(Clone, Debug)]
pub(crate) struct Departed<A> {
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
    /// The last time at which the id was known to be there.
    fn last_sign(&self) -> Timestamp {
        self.worked.unwrap_or(self.received).max(self.received)
    }
}

impl<A> Record<A> {
    pub(crate) fn announcement(&self) -> &A {
        match self {
            Self::Present(present) => &present.announcement,
            Self::Departed(departed) => &departed.announcement,
        }
    }
}

/// Records of one group, with the digest over the present ones.
#[derive(Clone, Debug)]
pub(crate) struct Group<A: Announced> {
    pub(crate) records: BTreeMap<A::Id, Record<A>>,
    /// Exclusive or of the content hashes, which makes each change a constant amount of work.
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

/// The announcements that one entry has accepted.
#[derive(Clone, Debug)]
pub struct Membership<A: Announced> {
    pub(crate) groups: BTreeMap<A::Group, Group<A>>,
    /// Departures by time, for their expiry.
    departures: BTreeSet<(Timestamp, A::Group, A::Id)>,
    present: usize,
    pub(crate) hash: u64,
    /// Number of exchanges that this entry answered, which rotates what a bounded message holds.
    pub(crate) exchanges: usize,
}

impl<A: Announced> Default for Membership<A> {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
            departures: BTreeSet::new(),
            present: 0,
            hash: 0,
            exchanges: 0,
        }
    }
}

impl<A: Announced> Membership<A> {
    /// Number of ids that are present, fresh or stale.
    pub fn len(&self) -> usize {
        self.present
    }

    /// Whether no id is present.
    pub fn is_empty(&self) -> bool {
        self.present == 0
    }

    /// Number of departures that are remembered.
    pub fn departed(&self) -> usize {
        self.departures.len()
    }

    /// Takes an announcement from its sender.
    pub fn announce(&mut self, now: Timestamp, announcement: A) -> Verdict {
        self.take(now, announcement, false)
    }

    /// Takes announcements from another entry and returns the new ones, to be forwarded.
    pub fn merge(&mut self, now: Timestamp, announcements: &[A]) -> Vec<A> {
        announcements
            .iter()
            .filter(|announcement| self.take_is_new(now, announcement, false))
            .cloned()
            .collect()
    }

    /// Takes announcements that another entry holds without a lease; they start without one.
    pub fn merge_stale(&mut self, now: Timestamp, announcements: &[A]) {
        for announcement in announcements {
            self.take(now, announcement.clone(), true);
        }
    }

    /// The present ids of a group, without those that left.
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
                Record::Departed(_) => None,
            })
    }

    /// What is known of an id: its last announcement, and whether that was its departure.
    pub fn get(&self, group: &A::Group, id: &A::Id) -> Option<&A> {
        self.record(group, id).map(Record::announcement)
    }

    /// Every announcement, with the departures that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = &A> {
        self.groups
            .values()
            .flat_map(|group| group.records.values())
            .map(Record::announcement)
    }

    /// The groups that have records.
    pub fn groups(&self) -> impl Iterator<Item = &A::Group> {
        self.groups.keys()
    }

    /// Notes that real work succeeded on an id. It renews no lease, but keeps a stale id from being
    /// forgotten: a cut that hides a working target must not remove its capacity.
    pub fn note_work(
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
            present.worked = Some(now);
        }
    }

    /// Forgets ids that have been stale for long, and departures that no message can undo.
    ///
    /// Visits every record; callers run it every few seconds.
    pub fn expire(&mut self, now: Timestamp) {
        let forgotten: Vec<A> = self
            .groups
            .values()
            .flat_map(|group| group.records.values())
            .filter_map(|record| match record {
                Record::Present(present) if now.since(present.last_sign()) >= FORGET_AFTER => {
                    Some(present.announcement.clone())
                }
                Record::Present(_) | Record::Departed(_) => None,
            })
            .collect();
        for announcement in forgotten {
            self.depart(now, announcement);
        }
        while let Some((since, _, _)) = self.departures.first() {
            if now.since(*since) < DEPARTED_MEMORY {
                return;
            }
            self.drop_oldest_departure();
        }
    }

    fn take_is_new(&mut self, now: Timestamp, announcement: &A, stale: bool) -> bool {
        let known = self.record(announcement.group(), announcement.id());
        if known.is_some_and(|known| !announcement.supersedes(known.announcement())) {
            return false;
        }
        self.take(now, announcement.clone(), stale) != Verdict::Full
    }

    fn take(&mut self, now: Timestamp, announcement: A, stale: bool) -> Verdict {
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
        if !self.has_room(&announcement, is_present) {
            return Verdict::Full;
        }
        if announcement.state() == State::Leaving {
            self.depart(now, announcement);
            return Verdict::Left;
        }
        self.insert_present(now, announcement, stale);
        Verdict::Accepted
    }

    fn has_room(&self, announcement: &A, is_present: bool) -> bool {
        if !self.groups.contains_key(announcement.group()) && self.groups.len() >= MAX_GROUPS {
            return false;
        }
        is_present || announcement.state() == State::Leaving || self.present < MAX_PRESENT
    }

    pub(crate) fn record(&self, group: &A::Group, id: &A::Id) -> Option<&Record<A>> {
        self.groups.get(group)?.records.get(id)
    }

    /// Stores an announcement: a fresh one starts a lease, a stale one leaves the lease as it is.
    fn insert_present(&mut self, now: Timestamp, announcement: A, stale: bool) {
        if let Some(present) = self.present_mut(&announcement) {
            if !stale {
                present.received = now;
                present.learned_stale = false;
            }
            if announcement.has_content_of(&present.announcement) {
                present.announcement = announcement;
                return;
            }
            let content_hash = announcement.content_hash();
            let change = content_hash ^ present.content_hash;
            present.content_hash = content_hash;
            self.change_hash(announcement.group(), change);
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
            worked: None,
        };
        let records = &mut self.groups.entry(group.clone()).or_default().records;
        records.insert(id, Record::Present(present));
        self.present += 1;
        self.change_hash(&group, content_hash);
    }

    fn present_mut(&mut self, announcement: &A) -> Option<&mut Present<A>> {
        let records = &mut self.groups.get_mut(announcement.group())?.records;
        match records.get_mut(announcement.id())? {
            Record::Present(present) => Some(present),
            Record::Departed(_) => None,
        }
    }

    fn change_hash(&mut self, group: &A::Group, change: u64) {
        self.hash ^= change;
        if let Some(group) = self.groups.get_mut(group) {
            group.hash ^= change;
        }
    }

    /// Replaces the record of the id by the memory of its departure.
    fn depart(&mut self, now: Timestamp, announcement: A) {
        self.remove(&announcement);
        if self.departures.len() >= MAX_DEPARTED {
            self.drop_oldest_departure();
        }
        let (group, id) = (announcement.group().clone(), announcement.id().clone());
        self.departures.insert((now, group.clone(), id.clone()));
        let departed = Departed {
            announcement,
            since: now,
        };
        let records = &mut self.groups.entry(group).or_default().records;
        records.insert(id, Record::Departed(departed));
    }

    fn drop_oldest_departure(&mut self) {
        if let Some((_, group, id)) = self.departures.pop_first() {
            self.remove_record(&group, &id);
        }
    }

    fn remove(&mut self, announcement: &A) {
        let (group, id) = (announcement.group(), announcement.id());
        match self.remove_record(group, id) {
            Some(Record::Present(present)) => {
                self.present -= 1;
                self.change_hash(group, present.content_hash);
            }
            Some(Record::Departed(departed)) => {
                self.departures
                    .remove(&(departed.since, group.clone(), id.clone()));
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

impl Entries {
    /// The incarnation that `own` must take so that others accept it, or `None` when it stands.
    ///
    /// An entry has no disk to count its starts on: it begins with the time of its start, and when
    /// it hears of an earlier process of its VM that ranks above it, it takes a higher number.
    pub fn incarnation_after_restart(&self, own: &EntryAnnouncement) -> Option<Incarnation> {
        let known = self.record(&own.data_centre, &own.vm)?.announcement();
        let is_own = known.boot == own.boot && known.state <= own.state;
        if is_own || known.incarnation < own.incarnation {
            return None;
        }
        Some(Incarnation(known.incarnation.0.saturating_add(1)))
    }
}
