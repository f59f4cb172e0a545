//! Announcements of targets and entries, and the total order on them.

use std::fmt::{Debug, Display};
use std::net::SocketAddr;

use auburnbridge_types::{
    DataCentre, Incarnation, Revision, Sequence, ServiceName, Slots, TargetId, VmId,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, EnumString, IntoStaticStr};

/// Whether the sender accepts new requests.
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
pub enum AnnouncedState {
    /// The sender accepts requests.
    Ready,
    /// The sender accepts no new requests for the rest of its incarnation.
    Leaving,
}

/// State that a target announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the target provides.
    pub service: ServiceName,
    /// Id of the target.
    pub target: TargetId,
    /// Address on which the target accepts connections.
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: DataCentre,
    /// Number of the target process; a restart increases it.
    pub incarnation: Incarnation,
    /// Position of the announcement within the incarnation.
    pub sequence: Sequence,
    /// Number of requests that the target runs concurrently.
    pub slots: Slots,
    /// Whether the target accepts new requests.
    pub state: AnnouncedState,
}

/// State that an entry announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryAnnouncement {
    /// VM on which the entry runs.
    pub vm: VmId,
    /// Address on which the entry accepts connections from other entries.
    pub address: SocketAddr,
    /// Data centre in which the entry runs.
    pub data_centre: DataCentre,
    /// Number of the entry process; see [`crate::EntryMembership::incarnation_after_restart`].
    pub incarnation: Incarnation,
    /// Random number that the process draws when it starts.
    pub boot: u64,
    /// Heartbeat number.
    pub sequence: Sequence,
    /// Rules revision in force on the entry.
    pub revision: Revision,
    /// Whether the entry accepts new requests.
    pub state: AnnouncedState,
}

/// Properties of an announcement that [`crate::Membership`] relies on.
pub trait Announced: Clone + Debug + PartialEq {
    /// Key of the set of ids that anti-entropy compares by one hash.
    type Group: Clone + Ord + Debug + Display;
    /// Id of the sender, unique within its group.
    type Id: Clone + Ord + Debug + Display;

    /// Group of the sender.
    fn group(&self) -> &Self::Group;
    /// Id of the sender.
    fn id(&self) -> &Self::Id;
    /// Incarnation of the sender.
    fn incarnation(&self) -> Incarnation;
    /// Position of the announcement within the incarnation.
    fn sequence(&self) -> Sequence;
    /// Whether the sender accepts new requests.
    fn state(&self) -> AnnouncedState;
    /// Address and boot number of the process that claims the id; fixed within an incarnation.
    fn process(&self) -> (SocketAddr, u64);
    /// Remaining fields, as a number and a text.
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

    /// Whether this announcement and `other`, which has the same id, are equal apart from the
    /// sequence.
    fn has_same_content(&self, other: &Self) -> bool {
        self.incarnation() == other.incarnation()
            && self.state() == other.state()
            && self.process() == other.process()
            && self.details() == other.details()
    }

    /// Digest of all fields except the sequence, so that a lease renewal does not change it.
    ///
    /// Uses SHA-256, whose value is the same in every build, unlike the hasher of the standard
    /// library.
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

    fn state(&self) -> AnnouncedState {
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

    fn state(&self) -> AnnouncedState {
        self.state
    }

    fn process(&self) -> (SocketAddr, u64) {
        (self.address, self.boot)
    }

    fn details(&self) -> (u64, &str) {
        (self.revision.0, "")
    }
}
