//! Errors of calls.

use auburnbridge_types::ByteSize;
use strum::{Display, IntoStaticStr};

/// Whether the peer's handler received a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Delivery {
    /// The handler did not receive the call and will not receive it.
    NotReceived,
    /// The handler may have received the call.
    Unknown,
    /// The handler received the call.
    Received,
}

/// Reason why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PeerError {
    /// There is no connection, or a recent attempt to connect failed.
    Unreachable {
        /// Why connecting failed.
        reason: String,
    },
    /// The handshake failed: this process or the peer rejected the other's certificate or version.
    Rejected {
        /// Why the handshake failed.
        reason: String,
    },
    /// The process at the address has a valid certificate, but for another VM.
    WrongPeer {
        /// Identity in the certificate.
        found: String,
    },
    /// All streams of the connection stayed in use until the timeout.
    Busy,
    /// The body is longer than the limit of this process or of the peer.
    TooLarge {
        /// Size of the body.
        size: ByteSize,
    },
    /// This transport or its link to the peer was closed.
    Closed,
    /// The peer has no memory left for the call.
    Overloaded,
    /// The peer is stopping and refuses new calls.
    Stopping,
    /// The reply did not arrive in time.
    TimedOut,
    /// The connection was lost, or the reply was incomplete, after the call was sent.
    ConnectionLost {
        /// Why the connection was lost.
        reason: String,
    },
    /// The peer handled the call and gave no reply.
    NoReply,
    /// The reply is longer than the limit.
    ReplyTooLarge,
}

impl PeerError {
    /// Whether the peer's handler received the call.
    pub const fn delivery(&self) -> Delivery {
        match self {
            Self::Unreachable { .. }
            | Self::Rejected { .. }
            | Self::WrongPeer { .. }
            | Self::Busy
            | Self::TooLarge { .. }
            | Self::Closed
            | Self::Overloaded
            | Self::Stopping => Delivery::NotReceived,
            Self::TimedOut | Self::ConnectionLost { .. } => Delivery::Unknown,
            Self::NoReply | Self::ReplyTooLarge => Delivery::Received,
        }
    }
}

impl std::fmt::Display for PeerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable { reason } => write!(f, "the peer is unreachable: {reason}"),
            Self::Rejected { reason } => write!(f, "the handshake was rejected: {reason}"),
            Self::WrongPeer { found } => write!(f, "the address belongs to {found}"),
            Self::Busy => f.write_str("all streams to the peer are in use"),
            Self::TooLarge { size } => write!(f, "the body of {size} is over the limit"),
            Self::Closed => f.write_str("the transport is closed"),
            Self::Overloaded => f.write_str("the peer has no memory left for the call"),
            Self::Stopping => f.write_str("the peer is stopping"),
            Self::TimedOut => f.write_str("no reply arrived in time"),
            Self::ConnectionLost { reason } => write!(f, "the connection was lost: {reason}"),
            Self::NoReply => f.write_str("the peer gave no reply"),
            Self::ReplyTooLarge => f.write_str("the reply is over the limit"),
        }
    }
}

impl std::error::Error for PeerError {}
