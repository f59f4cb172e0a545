//! Anti-entropy exchange between two entries.
//!
//! The exchange descends only where the two entries differ: one hash over all groups, one hash per
//! group, the versions of each id in the groups that differ, and then the announcements. Entries
//! with equal state exchange one message of a few bytes. Message sizes are bounded: the rest is
//! left to later exchanges, and each exchange begins at a different group so that a large
//! difference in one group does not starve the others.

use auburnbridge_types::{Incarnation, Sequence, Timestamp};
use serde::{Deserialize, Serialize};

use crate::membership::{Group, Present, Record};
use crate::{Announced, AnnouncedState, Liveness, MAX_GROUPS, MAX_PER_MESSAGE, Membership};

/// Message of an anti-entropy exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "A: Serialize, A::Group: Serialize, A::Id: Serialize",
    deserialize = "A: Deserialize<'de>, A::Group: Deserialize<'de>, A::Id: Deserialize<'de>"
))]
pub enum SyncMessage<A: Announced> {
    /// Opens the exchange with the hash over all groups.
    Root(u64),
    /// Hash of each group.
    Groups(Vec<GroupDigest<A::Group>>),
    /// Versions in the groups that differ.
    Versions(Vec<GroupVersions<A::Group, A::Id>>),
    /// Announcements that the receiver lacks, and ids that the sender requests.
    Offer(Offer<A>),
}

/// Hash over the present ids of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupDigest<G> {
    /// Key of the group.
    pub group: G,
    /// XOR of the content hashes.
    pub hash: u64,
}

/// Versions of the present ids of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupVersions<G, I> {
    /// Key of the group.
    pub group: G,
    /// Whether all present ids are listed.
    pub complete: bool,
    /// Versions sorted by id.
    pub versions: Vec<Version<I>>,
}

/// Version of one announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version<I> {
    /// Id of the announcement's sender.
    pub id: I,
    /// Incarnation of the announcement's sender.
    pub incarnation: Incarnation,
    /// Sequence of the announcement.
    pub sequence: Sequence,
    /// Hash of the announcement without its sequence.
    pub content_hash: u64,
}

/// Announcements that the receiver lacks, and a request for those that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "A: Serialize, A::Group: Serialize, A::Id: Serialize",
    deserialize = "A: Deserialize<'de>, A::Group: Deserialize<'de>, A::Id: Deserialize<'de>"
))]
pub struct Offer<A: Announced> {
    /// Announcements with a lease at the sender, and announced departures.
    pub fresh: Vec<A>,
    /// Announcements whose lease at the sender expired.
    pub stale: Vec<A>,
    /// Ids whose announcements the sender requests.
    pub wanted: Vec<(A::Group, A::Id)>,
}

impl<A: Announced> Default for Offer<A> {
    fn default() -> Self {
        Self {
            fresh: Vec::new(),
            stale: Vec::new(),
            wanted: Vec::new(),
        }
    }
}

impl<A: Announced> Offer<A> {
    fn len(&self) -> usize {
        self.fresh.len() + self.stale.len() + self.wanted.len()
    }

    fn is_full(&self) -> bool {
        self.len() >= MAX_PER_MESSAGE
    }

    /// Adds a record unless it was learned stale: only entries that received it fresh forward it.
    fn push(&mut self, record: &Record<A>, now: Timestamp) {
        match record {
            Record::Present(present) => match present.liveness(now) {
                Liveness::Fresh => self.fresh.push(present.announcement.clone()),
                Liveness::Stale if present.learned_stale => {}
                Liveness::Stale => self.stale.push(present.announcement.clone()),
            },
            Record::Tombstone(tombstone) => {
                if tombstone.announcement.state() == AnnouncedState::Leaving {
                    self.fresh.push(tombstone.announcement.clone());
                }
            }
        }
    }
}

impl<A: Announced> Membership<A> {
    /// First message of a new exchange.
    pub fn open_exchange(&self) -> SyncMessage<A> {
        SyncMessage::Root(self.hash)
    }

    /// Handles one message of an exchange. Returns the reply, if any, and the new announcements, to
    /// be forwarded.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        message: SyncMessage<A>,
    ) -> (Option<SyncMessage<A>>, Vec<A>) {
        match message {
            SyncMessage::Root(hash) => {
                let reply = (hash != self.hash).then(|| SyncMessage::Groups(self.group_digests()));
                (reply, Vec::new())
            }
            SyncMessage::Groups(digests) => {
                let versions = self.differing_versions(&digests);
                (Some(SyncMessage::Versions(versions)), Vec::new())
            }
            SyncMessage::Versions(listed) => {
                let offer = self.compare_versions(now, &listed);
                let reply = (offer.len() > 0).then_some(SyncMessage::Offer(offer));
                (reply, Vec::new())
            }
            SyncMessage::Offer(offer) => self.accept_offer(now, &offer),
        }
    }

    fn group_digests(&self) -> Vec<GroupDigest<A::Group>> {
        self.groups
            .iter()
            .filter(|(_, group)| group.hash != 0)
            .map(|(name, group)| GroupDigest {
                group: name.clone(),
                hash: group.hash,
            })
            .collect()
    }

    /// Versions of the groups whose hashes differ, including groups that only one side has.
    fn differing_versions(
        &mut self,
        digests: &[GroupDigest<A::Group>],
    ) -> Vec<GroupVersions<A::Group, A::Id>> {
        let theirs: std::collections::BTreeMap<&A::Group, u64> = digests
            .iter()
            .take(MAX_GROUPS)
            .map(|digest| (&digest.group, digest.hash))
            .collect();
        let mut differing: Vec<&A::Group> = self
            .groups
            .iter()
            .filter(|(name, group)| group.hash != theirs.get(name).copied().unwrap_or(0))
            .map(|(name, _)| name)
            .chain(
                theirs
                    .keys()
                    .copied()
                    .filter(|name| !self.groups.contains_key(name)),
            )
            .collect();
        if differing.is_empty() {
            return Vec::new();
        }
        let first = self.answered_exchanges % differing.len();
        self.answered_exchanges = self.answered_exchanges.wrapping_add(1);
        differing.rotate_left(first);
        let mut remaining = MAX_PER_MESSAGE;
        let mut listed = Vec::new();
        for name in differing {
            if remaining == 0 {
                break;
            }
            let versions = self
                .groups
                .get(name)
                .map(Group::versions)
                .unwrap_or_default();
            let taken = versions.len().min(remaining);
            remaining -= taken;
            listed.push(GroupVersions {
                group: name.clone(),
                complete: taken == versions.len(),
                versions: versions.into_iter().take(taken).collect(),
            });
        }
        listed
    }

    /// Offers records that are newer here and requests those that are newer on the other entry.
    fn compare_versions(
        &self,
        now: Timestamp,
        listed: &[GroupVersions<A::Group, A::Id>],
    ) -> Offer<A> {
        let mut offer = Offer::default();
        for theirs in listed {
            for version in &theirs.versions {
                if offer.is_full() {
                    return offer;
                }
                self.compare_version(now, &theirs.group, version, &mut offer);
            }
            if theirs.complete {
                self.offer_unlisted(now, theirs, &mut offer);
            }
        }
        offer
    }

    fn compare_version(
        &self,
        now: Timestamp,
        group: &A::Group,
        version: &Version<A::Id>,
        offer: &mut Offer<A>,
    ) {
        let wanted_id = || (group.clone(), version.id.clone());
        let Some(record) = self.record(group, &version.id) else {
            offer.wanted.push(wanted_id());
            return;
        };
        let announcement = record.announcement();
        let same_content = match record {
            Record::Present(present) => present.content_hash == version.content_hash,
            Record::Tombstone(_) => false,
        };
        let ours = (announcement.incarnation(), announcement.sequence());
        let theirs = (version.incarnation, version.sequence);
        if same_content && ours == theirs {
            return;
        }
        // Within an incarnation, a departure or a conflicting process outranks the sequence.
        // Versions do not show which side has it, so both sides send their announcements.
        let is_ambiguous = ours.0 == theirs.0 && !same_content;
        if is_ambiguous || ours > theirs {
            offer.push(record, now);
        }
        if is_ambiguous || ours < theirs {
            offer.wanted.push(wanted_id());
        }
    }

    /// Offers the present records of a group that the other entry does not list.
    fn offer_unlisted(
        &self,
        now: Timestamp,
        theirs: &GroupVersions<A::Group, A::Id>,
        offer: &mut Offer<A>,
    ) {
        let Some(group) = self.groups.get(&theirs.group) else {
            return;
        };
        let is_listed = |id: &A::Id| {
            let found = theirs
                .versions
                .binary_search_by(|version| version.id.cmp(id));
            found.is_ok()
        };
        for (id, record) in &group.records {
            if offer.is_full() {
                return;
            }
            if matches!(record, Record::Present(_)) && !is_listed(id) {
                offer.push(record, now);
            }
        }
    }

    fn accept_offer(
        &mut self,
        now: Timestamp,
        offer: &Offer<A>,
    ) -> (Option<SyncMessage<A>>, Vec<A>) {
        let mut reply = Offer::default();
        for (group, id) in offer.wanted.iter().take(MAX_PER_MESSAGE) {
            if let Some(record) = self.record(group, id) {
                reply.push(record, now);
            }
        }
        let new = self.merge(now, &offer.fresh);
        self.merge_stale(now, &offer.stale);
        let reply = (reply.len() > 0).then_some(SyncMessage::Offer(reply));
        (reply, new)
    }
}

impl<A: Announced> Group<A> {
    fn versions(&self) -> Vec<Version<A::Id>> {
        self.records
            .iter()
            .filter_map(|(id, record)| match record {
                Record::Present(present) => Some(present.version(id)),
                Record::Tombstone(_) => None,
            })
            .collect()
    }
}

impl<A: Announced> Present<A> {
    fn version(&self, id: &A::Id) -> Version<A::Id> {
        Version {
            id: id.clone(),
            incarnation: self.announcement.incarnation(),
            sequence: self.announcement.sequence(),
            content_hash: self.content_hash,
        }
    }
}
