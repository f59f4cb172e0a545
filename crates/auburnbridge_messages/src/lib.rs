//! Typed messages between the processes of the fleet.
//!
//! The transport carries opaque bodies. This crate defines one type per direction, [`Request`] and
//! [`Reply`], and encodes them with the transport's codec, which prepends a format version and
//! limits the size. The receiver authorizes each request by the role in the sender's certificate.

use std::net::SocketAddr;

use auburnbridge_config::{Delta, Edit, EditReply, PublishReply, VersionedDocument};
use auburnbridge_ledger::{Command, Reply as LedgerReply};
use auburnbridge_log::{Member, Message, ReplicaId};
use auburnbridge_membership::{Announcement, EntryAnnouncement, SyncMessage};
use auburnbridge_peer::codec::{self, CodecError};
use auburnbridge_peer::{Delivery, PeerAddress, PeerError, Transport};
use auburnbridge_policy::{EvidenceReport, SuspectReport};
use auburnbridge_types::{
    ByteSize, ConfigVersion, DataCentre, Millis, Revision, ServiceName, VmId,
};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// Maximum size of a message: the complete rules text at design scale, or one log message.
pub const MESSAGE_LIMIT: ByteSize = ByteSize(48 << 20);

/// Maximum size of a configuration document before its compression.
pub const DOCUMENT_LIMIT: ByteSize = ByteSize(64 << 20);

/// A request or one-way message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Request {
    /// To a keeper: apply a command to the ledger.
    Ledger(Command),
    /// To a keeper: apply an edit to the rules.
    Edit(Edit),
    /// To a keeper or entry: fetch the rules after a revision.
    ///
    /// Keepers record the sender's revision.
    FetchRules {
        /// The revision in force at the sender.
        have: Revision,
        /// Data centre of the sender, for the fleet status.
        data_centre: DataCentre,
    },
    /// Between keepers: exchange replica ids and group members.
    Hello(KeeperHello),
    /// To the leading keeper: a keeper without a group asks to replace the member of its VM.
    Join {
        /// Replica id of the sender's data folder.
        replica: ReplicaId,
    },
    /// Between keepers, one way: a message of the log replication.
    Log(Box<Message>),
    /// Between entries: what the sender learned of a request that crashes targets.
    #[strum(serialize = "crash")]
    Suspect(SuspectReport),
    /// Between entries, one way: the sender's evidence about suspected targets.
    Evidence(Vec<ServiceEvidence>),
    /// Between entries, one way: announcements that are new to the sender.
    #[strum(serialize = "rumours")]
    EntryGossip {
        /// Announcements of targets.
        targets: Vec<Announcement>,
        /// Announcements of entries.
        entries: Vec<EntryAnnouncement>,
    },
    /// Between entries: one step of the anti-entropy exchange of targets.
    SyncTargets(SyncMessage<Announcement>),
    /// Between entries: one step of the anti-entropy exchange of entries.
    SyncEntries(SyncMessage<EntryAnnouncement>),
    /// To the leading keeper: publish a configuration document.
    Publish(VersionedDocument),
    /// To the leading keeper: record that a target has left.
    Depart(Announcement),
    /// To the leading keeper: read the published document.
    ReadPublished,
    /// From a gateway to a keeper: wait for a change of the document or the targets (long poll).
    Watch(WatchRequest),
    /// Between keepers, one way: announcements and gateways that are new to the sender.
    #[strum(serialize = "heard")]
    KeeperGossip(KeeperGossip),
    /// Between keepers: fetch all known targets.
    FetchTargets,
}

/// Position in the change history of one keeper's target list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPosition {
    /// Random number that identifies the keeper's process.
    pub boot: u64,
    /// Number of changes so far.
    pub changes: u64,
}

/// A long poll that states what the gateway has, so that the reply holds only what is newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Version of the published document that the gateway has.
    pub version: Option<ConfigVersion>,
    /// Position of the gateway's target list.
    pub position: Option<ListPosition>,
    /// Maximum time to wait for a change.
    pub wait: Millis,
    /// Address at which the gateway receives datagrams from other gateways.
    pub address: SocketAddr,
    /// Data centre of the gateway.
    pub data_centre: DataCentre,
}

/// Reply to a [`WatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// The published document, if newer than the gateway's.
    pub document: Option<VersionedDocument>,
    /// Position of the list after applying `targets`.
    pub position: ListPosition,
    /// Changed targets; all targets if the position can't be resumed, such as another keeper's.
    pub targets: Vec<Announcement>,
    /// Time since the keeper, with all records applied that it knew to be committed, last led its
    /// group or heard from the leader.
    pub confirmed_before: Option<Millis>,
    /// VMs of the keepers.
    pub keepers: Vec<VmId>,
    /// The gateways that are running.
    pub gateways: Vec<GatewayLocation>,
}

/// A running gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLocation {
    /// VM of the gateway.
    pub vm: VmId,
    /// Address at which the gateway receives datagrams.
    pub address: SocketAddr,
    /// Data centre of the gateway.
    pub data_centre: DataCentre,
}

/// Announcements and gateways that a keeper passes on to other keepers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperGossip {
    /// Announcements of targets.
    pub targets: Vec<Announcement>,
    /// Gateways that watch the sender.
    pub gateways: Vec<GatewayLocation>,
}

/// Compresses a configuration document for the log and the network.
///
/// JSON shrinks to about a quarter.
pub fn compress_document(document: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(document)
}

/// Decompresses the output of [`compress_document`].
///
/// Returns [`CodecError::TooLarge`] if the data states a size above [`DOCUMENT_LIMIT`], for which no
/// memory is allocated, and [`CodecError::Malformed`] if it is corrupt.
pub fn decompress_document(compressed: &[u8]) -> Result<Vec<u8>, CodecError> {
    let malformed = |reason: &dyn std::fmt::Display| CodecError::Malformed(reason.to_string());
    let (size, block) =
        lz4_flex::block::uncompressed_size(compressed).map_err(|error| malformed(&error))?;
    let stated = ByteSize(size as u64);
    if stated > DOCUMENT_LIMIT {
        return Err(CodecError::TooLarge {
            size: stated,
            limit: DOCUMENT_LIMIT,
        });
    }
    let document = lz4_flex::decompress(block, size).map_err(|error| malformed(&error))?;
    if document.len() != size {
        return Err(malformed(&"the document is shorter than it states"));
    }
    Ok(document)
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
    /// The ledger's reply, after a quorum has synced the command.
    Ledger(LedgerReply),
    /// The reply to an edit, after a quorum has synced it.
    Edit(EditReply),
    /// The command was not accepted, since the keeper is not the leader.
    NotLeader {
        /// The leader, if the keeper knows it.
        leader: Option<VmId>,
    },
    /// The command was not accepted, since too many commands are pending.
    Busy,
    /// The keeper lost leadership; the command may still take effect.
    LeadershipLost,
    /// The rules after the sender's revision.
    Rules(Delta),
    /// The keeper's replica id and group members.
    Hello(KeeperHello),
    /// The reply to a published document, after a quorum has synced it.
    Published(PublishReply),
    /// The published document in force when the request arrived.
    Document(Option<VersionedDocument>),
    /// What is newer than the state of the gateway.
    Watched(WatchReply),
    /// All known targets, including departed ones.
    Targets(Vec<Announcement>),
    /// Next step of the anti-entropy exchange of targets.
    SyncTargets(Option<SyncMessage<Announcement>>),
    /// Next step of the anti-entropy exchange of entries.
    SyncEntries(Option<SyncMessage<EntryAnnouncement>>),
    /// The request was accepted; there is no content to return.
    Done,
    /// The sender's role is not authorized, or the receiver does not serve this request.
    Refused,
}

/// A keeper's replica id and the members of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperHello {
    /// Replica id of the data folder.
    pub replica: ReplicaId,
    /// Members of the group; empty if the keeper is in none.
    pub members: Vec<Member>,
}

macro_rules! impl_codec {
    ($type:ty) => {
        impl $type {
            /// Encodes the message for the transport; fails if it exceeds [`MESSAGE_LIMIT`].
            pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
                codec::encode(self, MESSAGE_LIMIT)
            }

            /// Decodes a message from the transport.
            pub fn decode(body: &[u8]) -> Result<Self, CodecError> {
                codec::decode(body, MESSAGE_LIMIT)
            }
        }
    };
}

impl_codec!(Request);
impl_codec!(Reply);

/// Reason why a request got no valid reply.
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
    /// What is known about whether the request arrived.
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

/// Sends a request and waits for the reply for at most `timeout`.
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
