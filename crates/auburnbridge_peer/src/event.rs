//! Events of the transport, reported to the log and to an [`Observer`].

use std::net::SocketAddr;

use auburnbridge_types::Millis;
use log::{Level, log};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{PeerAddress, PeerError, PeerIdentity};

/// Receives the events of a transport or a server, for example to count them as metrics.
pub trait Observer: Send + Sync {
    /// Receives one event. Called while calls are processed, so it must not block.
    fn observe(&self, event: &Event<'_>);
}

/// Observer that ignores all events.
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
        /// Whether the previous attempt failed too.
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
        /// Number of dropped messages.
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
    /// A server refused a connection, or closed one whose certificate is no longer valid.
    ClientRefused {
        /// Where it connected from.
        address: SocketAddr,
        /// Why it was refused or closed.
        reason: &'a str,
    },
    /// A connection that a server had accepted was closed.
    ClientClosed {
        /// The client.
        from: &'a PeerIdentity,
        /// Where it connected from.
        address: SocketAddr,
    },
    /// A server dropped a call, reply or one-way message over the size limit.
    OversizeDropped {
        /// The client.
        from: &'a PeerIdentity,
        /// What was dropped.
        kind: OversizeKind,
    },
}

/// Why one-way messages were dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// The message was over the size limit.
    TooLarge,
    /// The queue was full of newer messages.
    QueueFull,
    /// The last attempt to connect failed, and the backoff has not ended.
    Unreachable,
    /// Connecting or writing failed.
    SendFailed,
}

/// What was over the size limit.
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
    /// Name of the event, such as `connect_failed`, used as the last part of its metric name.
    pub fn name(&self) -> &'static str {
        self.into()
    }

    /// Number to add to the event's counter.
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

    /// Duration of the event, if it has one.
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

    /// Level of the log line. Only the first of several failed attempts to connect is a warning.
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

    /// Logs the event and passes it to the observer.
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
