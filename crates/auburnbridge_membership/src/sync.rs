//! The anti-entropy exchange between two entries.
//!
//! It descends only where the two differ: one hash over everything, one hash per group, versions of
//! each id in the groups that differ, and then the announcements. Entries that agree exchange one
//! message of a few bytes. Messages are bounded; what does not fit waits for a later exchange, and
//! each exchange begins at another group so that no difference blocks the others.

use auburnbridge_types::{Incarnation, Sequence, Timestamp};
use serde::{Deserialize, Serialize};

use crate::membership::{Group, Present, Record};
use crate::{Announced, Liveness, MAX_GROUPS, MAX_PER_MESSAGE, Membership, State};

/// One message of the exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "A: Serialize, A::Group: Serialize, A::Id: Serialize",
    deserialize = "A: Deserialize<'de>, A::Group: Deserialize<'de>, A::Id: Deserialize<'de>"
))]
pub enum SyncMessage<A: Announced> {
    /// Opens the exchange with the hash over all groups.
    Root(u64),
    /// The hash of each group.
    Groups(Vec<GroupDigest<A::Group>>),
    /// The versions in the groups that differ.
    Versions(Vec<GroupVersions<A::Group, A::Id>>),
    /// Announcements that the receiver lacks.
    Offer(Offer<A>),
}

/// Hash over the present ids of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupDigest<G> {
    /// The group.
    pub group: G,
    /// Exclusive or of its content hashes.
    pub hash: u64,
}

/// Versions of the present ids of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupVersions<G, I> {
    /// The group.
    pub group: G,
    /// Whether all present ids are listed.
    pub complete: bool,
    /// The versions, sorted by id.
    pub versions: Vec<Version<I>>,
}

/// Version of one announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version<I> {
    /// The sender of the announcement.
    pub id: I,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its sequence.
    pub sequence: Sequence,
    /// Hash of the content.
    pub content_hash: u64,
}

/// Announcements that the receiver lacks, and a request for those that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "A: Serialize, A::Group: Serialize, A::Id: Serialize",
    deserialize = "A: Deserialize<'de>, A::Group: Deserialize<'de>, A::Id: Deserialize<'de>"
))]
pub struct Offer<A: Announced> {
    /// Announcements with a lease at the sender, and departures.
    pub fresh: Vec<A>,
    /// Announcements whose lease at the sender ran out.
    pub stale: Vec<A>,
    /// Ids whose announcements the sender asks for.
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

    /// Offers a record, unless it was learned stale: only entries that had it fresh pass it on.
    fn push(&mut self, record: &Record<A>, now: Timestamp) {
        match record {
            Record::Present(present) => match present.liveness(now) {
                Liveness::Fresh => self.fresh.push(present.announcement.clone()),
                Liveness::Stale if present.learned_stale => {}
                Liveness::Stale => self.stale.push(present.announcement.clone()),
            },
            Record::Departed(departed) => {
                if departed.announcement.state() == State::Leaving {
                    self.fresh.push(departed.announcement.clone());
                }
            }
        }
    }
}

impl<A: Announced> Membership<A> {
    /// Opens an exchange.
    pub fn open_exchange(&self) -> SyncMessage<A> {
        SyncMessage::Root(self.hash)
    }

    /// Takes one message of an exchange. Returns the reply, and the announcements that are new and
    /// to be forwarded.
    pub fn exchange(
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
                let offer = self.compare(now, &listed);
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

    /// Versions of the groups whose hash differs, including those that only one side has.
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
        let first = self.exchanges % differing.len();
        self.exchanges = self.exchanges.wrapping_add(1);
        differing.rotate_left(first);
        let mut room = MAX_PER_MESSAGE;
        let mut listed = Vec::new();
        for name in differing {
            if room == 0 {
                break;
            }
            let versions = self
                .groups
                .get(name)
                .map(Group::versions)
                .unwrap_or_default();
            let taken = versions.len().min(room);
            room -= taken;
            listed.push(GroupVersions {
                group: name.clone(),
                complete: taken == versions.len(),
                versions: versions.into_iter().take(taken).collect(),
            });
        }
        listed
    }

    /// Offers what is newer here and asks for what is newer there.
    fn compare(&self, now: Timestamp, listed: &[GroupVersions<A::Group, A::Id>]) -> Offer<A> {
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
        let want = || (group.clone(), version.id.clone());
        let Some(record) = self.record(group, &version.id) else {
            offer.wanted.push(want());
            return;
        };
        let announcement = record.announcement();
        let same_content = match record {
            Record::Present(present) => present.content_hash == version.content_hash,
            Record::Departed(_) => false,
        };
        let ours = (announcement.incarnation(), announcement.sequence());
        let theirs = (version.incarnation, version.sequence);
        if same_content && ours == theirs {
            return;
        }
        // Within an incarnation, other content outranks the sequence (a departure, another
        // process), so both sides show what they have.
        let undecided = ours.0 == theirs.0 && !same_content;
        if undecided || ours > theirs {
            offer.push(record, now);
        }
        if undecided || ours < theirs {
            offer.wanted.push(want());
        }
    }

    /// Offers the present ids of a group that the other entry does not list.
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
                Record::Departed(_) => None,
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
