//! What targets and entries announce, and the order of announcements.

use std::fmt::{Debug, Display};
use std::net::SocketAddr;

use auburnbridge_types::{
    DataCentre, Incarnation, Revision, Sequence, ServiceName, Slots, TargetId, VmId,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, EnumString, IntoStaticStr};

/// Whether the sender takes work.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It takes work.
    Ready,
    /// It takes no new work, for the rest of its incarnation.
    Leaving,
}

/// A target's statement about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// The service that the target provides.
    pub service: ServiceName,
    /// The target.
    pub target: TargetId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Number of its life.
    pub incarnation: Incarnation,
    /// Position of the announcement in that life.
    pub sequence: Sequence,
    /// Number of requests that it runs at the same time.
    pub slots: Slots,
    /// Whether it takes work.
    pub state: State,
}

/// An entry's statement about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryAnnouncement {
    /// The VM that the entry runs on.
    pub vm: VmId,
    /// Where it accepts connections of other entries.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Number of its life; see [`crate::Entries::incarnation_after_restart`].
    pub incarnation: Incarnation,
    /// Random number of its process.
    pub boot: u64,
    /// Number of its heartbeat.
    pub sequence: Sequence,
    /// The rules revision that it has in force.
    pub revision: Revision,
    /// Whether it takes work.
    pub state: State,
}

/// What [`crate::Membership`] needs to know of an announcement.
pub trait Announced: Clone + Debug + PartialEq {
    /// The set that anti-entropy compares as one.
    type Group: Clone + Ord + Debug + Display;
    /// Name of the sender within its group.
    type Id: Clone + Ord + Debug + Display;

    /// The group of the sender.
    fn group(&self) -> &Self::Group;
    /// Name of the sender.
    fn id(&self) -> &Self::Id;
    /// Number of the sender's life.
    fn incarnation(&self) -> Incarnation;
    /// Position of the announcement in that life.
    fn sequence(&self) -> Sequence;
    /// Whether the sender takes work.
    fn state(&self) -> State;
    /// The process that claims the id; fixed within an incarnation.
    fn process(&self) -> (SocketAddr, u64);
    /// Everything else, as a number and a text.
    fn details(&self) -> (u64, &str);

    /// Whether this announcement replaces `other`, which has the same id.
    fn supersedes(&self, other: &Self) -> bool {
        let order = |announced: &Self| {
            (
                announced.incarnation(),
                announced.state(),
                announced.process(),
                announced.sequence(),
            )
        };
        match order(self).cmp(&order(other)) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => self.details() > other.details(),
            std::cmp::Ordering::Less => false,
        }
    }

    /// Whether two processes claim the same id in the same incarnation.
    fn conflicts_with(&self, other: &Self) -> bool {
        self.incarnation() == other.incarnation() && self.process() != other.process()
    }

    /// Whether `other`, which has the same id, differs in its sequence at most.
    fn has_content_of(&self, other: &Self) -> bool {
        self.incarnation() == other.incarnation()
            && self.state() == other.state()
            && self.process() == other.process()
            && self.details() == other.details()
    }

    /// Digest of everything but the sequence, so that a renewal alone is no difference.
    ///
    /// SHA-256 keeps its value between builds, unlike the hasher of the standard library.
    fn content_hash(&self) -> u64 {
        let (address, boot) = self.process();
        let (number, name) = self.details();
        let text = format!(
            "{}/{}/{}/{}/{address}/{boot}/{number}/{name}",
            self.group(),
            self.id(),
            self.incarnation(),
            self.state(),
        );
        let hash = Sha256::digest(text);
        let (first, _) = hash.split_first_chunk().expect("a digest has 32 bytes");
        u64::from_be_bytes(*first)
    }
}

impl Announced for Announcement {
    type Group = ServiceName;
    type Id = TargetId;

    fn group(&self) -> &ServiceName {
        &self.service
    }

    fn id(&self) -> &TargetId {
        &self.target
    }

    fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn sequence(&self) -> Sequence {
        self.sequence
    }

    fn state(&self) -> State {
        self.state
    }

    fn process(&self) -> (SocketAddr, u64) {
        (self.address, 0)
    }

    fn details(&self) -> (u64, &str) {
        (self.slots.0.into(), self.data_centre.as_str())
    }
}

impl Announced for EntryAnnouncement {
    type Group = DataCentre;
    type Id = VmId;

    fn group(&self) -> &DataCentre {
        &self.data_centre
    }

    fn id(&self) -> &VmId {
        &self.vm
    }

    fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn sequence(&self) -> Sequence {
        self.sequence
    }

    fn state(&self) -> State {
        self.state
    }

    fn process(&self) -> (SocketAddr, u64) {
        (self.address, self.boot)
    }

    fn details(&self) -> (u64, &str) {
        (self.revision.0, "")
    }
}
