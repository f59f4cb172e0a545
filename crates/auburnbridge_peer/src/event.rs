//! What the transport reports about itself, to the log and to an [`Observer`].

use std::net::SocketAddr;

use auburnbridge_types::Millis;
use log::{Level, log};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{PeerAddress, PeerError, PeerIdentity};

/// Receives the events of a transport or a server, such as to count them as metrics.
pub trait Observer: Send + Sync {
    /// Takes note of one event. It is called on the path of calls and must not wait.
    fn observe(&self, event: &Event<'_>);
}

/// Observer that takes note of nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl Observer for NoObserver {
    fn observe(&self, _event: &Event<'_>) {}
}

/// One event of a transport or a server.
#[derive(Clone, Debug, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Event<'a> {
    /// A connection to a peer was opened.
    Connected {
        /// The peer.
        to: &'a PeerAddress,
        /// Duration of the attempt.
        duration: Millis,
    },
    /// An attempt to connect failed.
    ConnectFailed {
        /// The peer.
        to: &'a PeerAddress,
        /// Why it failed.
        error: &'a PeerError,
        /// Wait until the next attempt.
        backoff: Millis,
        /// Whether the attempt before had failed too.
        repeated: bool,
    },
    /// A call ended.
    CallEnded {
        /// The peer.
        to: &'a PeerAddress,
        /// Why it failed, if it did.
        error: Option<&'a PeerError>,
        /// Duration of the call.
        duration: Millis,
    },
    /// One-way messages were dropped.
    MessagesDropped {
        /// The peer.
        to: &'a PeerAddress,
        /// Their number.
        count: usize,
        /// Why they were dropped.
        reason: DropReason,
    },
    /// A server accepted a connection.
    ClientAccepted {
        /// The client.
        from: &'a PeerIdentity,
        /// Where it connected from.
        address: SocketAddr,
    },
    /// A server refused a connection, or closed one that it no longer accepts.
    ClientRefused {
        /// Where it connected from.
        address: SocketAddr,
        /// Why it was refused.
        reason: &'a str,
    },
    /// A connection that a server had accepted ended.
    ClientClosed {
        /// The client.
        from: &'a PeerIdentity,
        /// Where it connected from.
        address: SocketAddr,
    },
    /// A call, reply or one-way message over the limit was dropped by a server.
    OversizeDropped {
        /// The client.
        from: &'a PeerIdentity,
        /// Which of them it was.
        kind: OversizeKind,
    },
}

/// Why one-way messages were dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// The message was over the limit.
    TooLarge,
    /// Newer messages filled the queue.
    QueueFull,
    /// The peer was unreachable a moment ago.
    Unreachable,
    /// The connection failed before or while they were written.
    SendFailed,
}

/// What was over the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OversizeKind {
    /// A call.
    Call,
    /// A reply to a call.
    Reply,
    /// A one-way message.
    Message,
}

impl Event<'_> {
    /// Name of the event, which is the last part of its metric, such as `connect_failed`.
    pub fn name(&self) -> &'static str {
        self.into()
    }

    /// How many things of this name happened.
    pub fn count(&self) -> u64 {
        match self {
            Self::MessagesDropped { count, .. } => *count as u64,
            Self::Connected { .. }
            | Self::ConnectFailed { .. }
            | Self::CallEnded { .. }
            | Self::ClientAccepted { .. }
            | Self::ClientRefused { .. }
            | Self::ClientClosed { .. }
            | Self::OversizeDropped { .. } => 1,
        }
    }

    /// How long it took, for events that have a duration.
    pub fn duration(&self) -> Option<Millis> {
        match self {
            Self::Connected { duration, .. } | Self::CallEnded { duration, .. } => Some(*duration),
            Self::ConnectFailed { .. }
            | Self::MessagesDropped { .. }
            | Self::ClientAccepted { .. }
            | Self::ClientRefused { .. }
            | Self::ClientClosed { .. }
            | Self::OversizeDropped { .. } => None,
        }
    }

    /// Level of the log line. A peer that stays unreachable is a warning once.
    fn level(&self) -> Level {
        match self {
            Self::Connected { .. } | Self::ClientAccepted { .. } | Self::ClientClosed { .. } => {
                Level::Info
            }
            Self::ConnectFailed { repeated: true, .. } | Self::MessagesDropped { .. } => {
                Level::Debug
            }
            Self::CallEnded { .. } => Level::Trace,
            Self::ConnectFailed {
                repeated: false, ..
            }
            | Self::ClientRefused { .. }
            | Self::OversizeDropped { .. } => Level::Warn,
        }
    }

    /// Writes the log line and informs the observer.
    pub(crate) fn report(&self, observer: &dyn Observer) {
        log!(self.level(), event = self.name(); "{self}");
        observer.observe(self);
    }
}

impl std::fmt::Display for Event<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connected { to, duration } => write!(f, "connected to {to} in {duration}"),
            Self::ConnectFailed {
                to, error, backoff, ..
            } => write!(
                f,
                "can't connect to {to}: {error}; next attempt after {backoff}"
            ),
            Self::CallEnded {
                to,
                error: None,
                duration,
            } => write!(f, "call to {to} answered in {duration}"),
            Self::CallEnded {
                to,
                error: Some(error),
                duration,
            } => write!(f, "call to {to} failed after {duration}: {error}"),
            Self::MessagesDropped { to, count, reason } => {
                write!(f, "dropped {count} messages to {to}: {reason}")
            }
            Self::ClientAccepted { from, address } => {
                write!(f, "accepted a connection from {from} at {address}")
            }
            Self::ClientRefused { address, reason } => {
                write!(f, "refused a connection from {address}: {reason}")
            }
            Self::ClientClosed { from, address } => {
                write!(f, "the connection from {from} at {address} ended")
            }
            Self::OversizeDropped { from, kind } => {
                write!(f, "dropped a {kind} over the limit, peer {from}")
            }
        }
    }
}
