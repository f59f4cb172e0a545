//! Typed messages between the system's own processes.
//!
//! The transport carries opaque bodies; this crate gives them their one type for each direction and
//! encodes them with the transport's codec, which puts a format version first and bounds the size.
//! Who may send what is decided by the receiver from the certificate's role.

use std::net::SocketAddr;

use auburnbridge_config::{Delta, Edit, EditReply, Publish, PublishReply};
use auburnbridge_ledger::{Command, Reply as LedgerReply};
use auburnbridge_log::{Member, Message, ReplicaId};
use auburnbridge_membership::{Announcement, EntryAnnouncement, SyncMessage};
use auburnbridge_peer::codec::{self, CodecError};
use auburnbridge_peer::{Delivery, PeerAddress, PeerError, Transport};
use auburnbridge_policy::{CrashReport, EvidenceReport};
use auburnbridge_types::{
    ByteSize, ConfigVersion, DataCentre, Millis, Revision, ServiceName, VmId,
};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// Longest message: the whole rules text at design scale, or one message of the log.
pub const MESSAGE_LIMIT: ByteSize = ByteSize(48 << 20);

/// A call or one-way message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Request {
    /// To a keeper: apply a command to the ledger.
    Ledger(Command),
    /// To a keeper: apply an edit to the rules.
    Edit(Edit),
    /// To a keeper or entry: the rules after a revision. Keepers note what the sender has in force.
    FetchRules {
        /// The revision that the sender has in force.
        have: Revision,
        /// Data centre of the sender, for the status of the fleet.
        data_centre: DataCentre,
    },
    /// To a keeper: the sender's replica and the group that it is in, and the same in return.
    Hello(KeeperHello),
    /// To a keeper that leads: a keeper without a group asks to replace the one of its VM.
    Join {
        /// The data folder of the sender.
        replica: ReplicaId,
    },
    /// Between keepers, one way: a message of the log.
    Log(Box<Message>),
    /// Between entries: a target crashed while it ran a request.
    Crash(CrashReport),
    /// Between entries, one way: what the sender saw of targets that are suspected.
    Evidence(Vec<ServiceEvidence>),
    /// Between entries, one way: announcements that are new to the sender.
    Rumours {
        /// Targets.
        targets: Vec<Announcement>,
        /// Entries.
        entries: Vec<EntryAnnouncement>,
    },
    /// Between entries: one step of the comparison of targets.
    SyncTargets(SyncMessage<Announcement>),
    /// Between entries: one step of the comparison of entries.
    SyncEntries(SyncMessage<EntryAnnouncement>),
    /// To the keeper that leads: puts a configuration document in force.
    Publish(Publish),
    /// To the keeper that leads: records that a target has left.
    Depart(Announcement),
    /// To the keeper that leads: the published document.
    ReadPublished,
    /// From a gateway to a keeper: waits for a change of what a gateway follows.
    Watch(Watch),
    /// Between keepers, one way: announcements and gateways that are new to the sender.
    Heard(Heard),
    /// Between keepers: everything that the receiver knows of the targets.
    FetchTargets,
}

/// Position in the changes of one keeper's list of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPosition {
    /// Random number of the keeper's process.
    pub boot: u64,
    /// Number of changes so far.
    pub changes: u64,
}

/// What a gateway has, so that it gets what it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Version of the published document that the gateway has.
    pub version: Option<ConfigVersion>,
    /// Position of the gateway's list of targets.
    pub position: Option<ListPosition>,
    /// Longest wait for a change.
    pub wait: Millis,
    /// Where the gateway takes datagrams of other gateways.
    pub address: SocketAddr,
    /// Where the gateway runs.
    pub data_centre: DataCentre,
}

/// Reply to a [`Watch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watched {
    /// The published document, if it is newer than the gateway's.
    pub document: Option<Publish>,
    /// Position after `targets`.
    pub position: ListPosition,
    /// Targets that changed; all of them if the position is another keeper's.
    pub targets: Vec<Announcement>,
    /// Time since the keeper's state was last known to be complete.
    pub confirmed_before: Option<Millis>,
    /// VMs of the keepers.
    pub keepers: Vec<VmId>,
    /// The gateways that are running.
    pub gateways: Vec<GatewayLocation>,
}

/// A running gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLocation {
    /// Its VM.
    pub vm: VmId,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
}

/// What a keeper heard from targets and gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// Announcements of targets.
    pub targets: Vec<Announcement>,
    /// Gateways that watch the sender.
    pub gateways: Vec<GatewayLocation>,
}

/// Packs a configuration document for the log and the network; JSON shrinks to about a quarter.
pub fn pack_document(document: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(document)
}

/// Unpacks what [`pack_document`] packed.
pub fn unpack_document(packed: &[u8]) -> Result<Vec<u8>, CodecError> {
    lz4_flex::decompress_size_prepended(packed)
        .map_err(|error| CodecError::Malformed(error.to_string()))
}

/// Evidence about the targets of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEvidence {
    /// The service.
    pub service: ServiceName,
    /// One report for each suspected target.
    pub reports: Vec<EvidenceReport>,
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The ledger's reply, after a quorum synced the command.
    Ledger(LedgerReply),
    /// The reply to an edit, after a quorum synced it.
    Edit(EditReply),
    /// The command was not taken; the keeper does not lead.
    NotLeader {
        /// The leader that the keeper knows.
        leader: Option<VmId>,
    },
    /// The command was not taken; too many are pending.
    Busy,
    /// The keeper lost the leadership; the command may still take effect.
    LeadershipLost,
    /// The rules after the sender's revision.
    Rules(Delta),
    /// The keeper's replica and group.
    Hello(KeeperHello),
    /// The published document is dealt with, after a quorum synced it.
    Published(PublishReply),
    /// The published document that was in force when the call arrived.
    Document(Option<Publish>),
    /// What a gateway lacked.
    Watched(Watched),
    /// Everything that is known of the targets, departures included.
    Targets(Vec<Announcement>),
    /// Next step of a comparison of targets.
    SyncTargets(Option<SyncMessage<Announcement>>),
    /// Next step of a comparison of entries.
    SyncEntries(Option<SyncMessage<EntryAnnouncement>>),
    /// Taken; nothing to say.
    Done,
    /// The sender's role may not send this, or the receiver does not serve it.
    Refused,
}

/// A keeper's data folder and the group that it is in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperHello {
    /// The data folder.
    pub replica: ReplicaId,
    /// Members of its group; empty if it is in none.
    pub members: Vec<Member>,
}

macro_rules! coded {
    ($type:ty) => {
        impl $type {
            /// Encodes the message for the transport.
            pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
                codec::encode(self, MESSAGE_LIMIT)
            }

            /// Decodes a message of the transport.
            pub fn decode(body: &[u8]) -> Result<Self, CodecError> {
                codec::decode(body, MESSAGE_LIMIT)
            }
        }
    };
}

coded!(Request);
coded!(Reply);

/// Reason why a request has no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request can't be encoded.
    Request(CodecError),
    /// The transport failed.
    Peer(PeerError),
    /// The reply can't be decoded.
    Reply(CodecError),
}

impl CallError {
    /// What is certain about the arrival of the request.
    pub const fn delivery(&self) -> Delivery {
        match self {
            Self::Request(_) => Delivery::NotReceived,
            Self::Peer(error) => error.delivery(),
            Self::Reply(_) => Delivery::Received,
        }
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Request(error) => write!(f, "the request can't be sent: {error}"),
            Self::Peer(error) => error.fmt(f),
            Self::Reply(error) => write!(f, "the reply is not valid: {error}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Sends a request and waits at most `timeout` for the reply.
pub async fn call(
    transport: &dyn Transport,
    to: &PeerAddress,
    request: &Request,
    timeout: Millis,
) -> Result<Reply, CallError> {
    let body = request.encode().map_err(CallError::Request)?;
    let reply = transport
        .call(to, body, timeout)
        .await
        .map_err(CallError::Peer)?;
    Reply::decode(&reply).map_err(CallError::Reply)
}
