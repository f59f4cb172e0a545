//! Transport without keys: length-prefixed frames over TCP.
//!
//! For deployments that hand out no certificates. A process states its own identity when it
//! connects, and nothing proves it, so every machine that reaches the port is trusted like a member
//! of the fleet, and anyone on the path can read and change the messages. Mutual TLS over QUIC
//! ([`crate::PeerTransport`]) stays the default.
//!
//! Each process opens one connection to each peer that it calls. An open connection may go silent
//! without a reset, so the client sends a ping while it has something to say and replaces a
//! connection that doesn't answer it.

mod client;
mod frame;
mod server;

pub use client::PlainTransport;
pub use server::PlainServer;
