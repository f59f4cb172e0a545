//! Transport without authentication and encryption: length-prefixed frames over TCP.
//!
//! For deployments without certificates. A process states its identity when it connects, without
//! proof, so every host that reaches the port is trusted like a member of the fleet, and anyone on
//! the network path can read and change the messages. Mutual TLS over QUIC
//! ([`crate::PeerTransport`]) is the default.
//!
//! Each process opens one connection to each peer that it calls. A peer may become unreachable
//! without resetting its connections, so a client sends pings on a connection in use and replaces a
//! connection whose pings are not answered.

mod client;
mod frame;
mod server;

pub use client::PlainTransport;
pub use server::PlainServer;
