//! Transport between our own processes: QUIC with mutual TLS, or plain TCP where a deployment has no
//! keys (see [`plain`]).
//!
//! A process calls others through a [`Transport`] and serves them with a [`PeerServer`]. Bodies are
//! opaque to the transport; [`codec`] encodes and decodes them. Who the other side is follows from
//! its certificate alone, which the fleet's own authority has signed; [`keys`] creates, loads and
//! reloads certificates.
//!
//! There is one connection per pair of processes and direction. Each call has a bidirectional
//! stream of its own; one-way messages share a unidirectional stream, which keeps their order, so a
//! slow call delays neither other calls nor heartbeats.

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

/// Sends bodies to other processes.
pub trait Transport: Send + Sync {
    /// Sends a call and waits at most `timeout` for the reply.
    fn call(
        &self,
        to: &PeerAddress,
        body: Vec<u8>,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<Vec<u8>, PeerError>>;

    /// Queues a one-way message and returns at once.
    ///
    /// Messages to one peer arrive in order or not at all. When the queue is full, its oldest
    /// message is dropped; a message to a peer that was unreachable a moment ago is dropped as well.
    fn send(&self, to: &PeerAddress, body: Vec<u8>);
}

/// Receives the bodies that other processes send.
pub trait Handler: Send + Sync {
    /// Handles one call or one-way message; the reply to a one-way message is ignored.
    ///
    /// Calls run concurrently. The one-way messages of a peer are handled one after the other, so
    /// their handling must not wait for long.
    fn handle(&self, from: &PeerIdentity, body: Vec<u8>) -> BoxFuture<'_, Option<Vec<u8>>>;
}
