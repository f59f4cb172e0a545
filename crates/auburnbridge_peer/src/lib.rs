//! Transport between the processes of a fleet: QUIC with mutual TLS, or plain TCP in a deployment
//! without certificates (see [`plain`]).
//!
//! A process calls others through a [`Transport`] and serves them with a [`PeerServer`]. Bodies are
//! opaque to the transport; [`codec`] encodes and decodes them. A peer is identified only by its
//! certificate, which the fleet's own authority has signed; [`keys`] creates, loads and reloads
//! certificates.
//!
//! There is one connection per pair of processes and direction. Each call has its own bidirectional
//! stream, so a slow call delays neither other calls nor heartbeats. One-way messages share a
//! unidirectional stream, which keeps them in order.

pub mod codec;
pub mod keys;
pub mod plain;

mod budget;
mod certificate;
mod client;
mod error;
mod event;
mod identity;
mod options;
mod queue;
mod server;
mod tls;
mod wire;

use auburnbridge_types::{BoxFuture, Millis};

pub use client::PeerTransport;
pub use error::{Delivery, PeerError};
pub use event::{DropReason, Event, NoObserver, Observer, OversizeKind};
pub use identity::{PeerAddress, PeerIdentity, Role};
pub use options::{Options, OptionsBuilder};
pub use queue::SendQueue;
pub use server::{BindError, PeerServer};

/// Sends calls and one-way messages to other processes.
pub trait Transport: Send + Sync {
    /// Sends a call and waits at most `timeout` for the reply.
    ///
    /// [`PeerError::delivery`] tells whether the peer may have received a failed call.
    fn call(
        &self,
        to: &PeerAddress,
        body: Vec<u8>,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<Vec<u8>, PeerError>>;

    /// Queues a one-way message and returns at once.
    ///
    /// Messages to one peer arrive in order or not at all. A full queue drops its oldest message. A
    /// message is also dropped while the transport backs off after a failed attempt to connect to
    /// the peer.
    fn send(&self, to: &PeerAddress, body: Vec<u8>);
}

/// Handles the calls and one-way messages of other processes.
pub trait Handler: Send + Sync {
    /// Handles one call or one-way message; the reply to a one-way message is ignored.
    ///
    /// Calls are handled concurrently. The one-way messages of a peer are handled one after the
    /// other, so their handling must not block for long.
    fn handle(&self, from: &PeerIdentity, body: Vec<u8>) -> BoxFuture<'_, Option<Vec<u8>>>;
}
