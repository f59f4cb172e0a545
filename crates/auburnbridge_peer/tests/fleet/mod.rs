//! Test fleet on loopback: an authority in a temporary folder, issued keys and a handler that
//! records what it receives.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod relay;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_std::task;
use auburnbridge_peer::keys::{KeyRing, Validity, create_authority, issue};
use auburnbridge_peer::{
    Handler, Options, PeerAddress, PeerIdentity, PeerServer, PeerTransport, Role,
};
use auburnbridge_types::{BoxFuture, Clock, Millis, PausedClock, RuntimeClock, Timestamp};
use tempfile::TempDir;

pub const DAY: Millis = Millis(24 * 60 * 60 * 1_000);
/// Timeout longer than any call that a test expects to succeed.
pub const LONG: Millis = Millis(60_000);

pub struct Fleet {
    folder: TempDir,
    /// Paused at the real time of the start of the test; the validity of certificates is checked
    /// against it.
    pub clock: PausedClock,
}

impl Fleet {
    pub fn new() -> Self {
        let fleet = Self {
            folder: TempDir::new().unwrap(),
            clock: PausedClock::new(RuntimeClock.now()),
        };
        fleet.add_authority("authority");
        fleet
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn valid(&self) -> Validity {
        Validity::starting_at(self.clock.now(), DAY)
    }

    pub fn add_authority(&self, name: &str) {
        create_authority(&self.path(name), self.valid()).unwrap();
    }

    pub fn issue(&self, authority: &str, vm: &str, validity: Validity) {
        let identity = identity(vm);
        issue(&self.path(authority), &self.path(vm), &identity, validity).unwrap();
    }

    /// Issues keys that are valid for one day and loads them.
    pub fn keys(&self, authority: &str, vm: &str) -> Arc<KeyRing> {
        self.issue(authority, vm, self.valid());
        KeyRing::load(&self.path(vm), self.clock.now()).unwrap()
    }

    /// Issues keys that expired two days ago and loads them as of the start of their validity.
    pub fn expired_keys(&self, vm: &str) -> Arc<KeyRing> {
        let from = Timestamp(self.clock.now().0 - 3 * DAY.0);
        let until = from.after(DAY);
        self.issue("authority", vm, Validity { from, until });
        KeyRing::load(&self.path(vm), from).unwrap()
    }

    pub fn options(&self) -> Options {
        Options::builder()
            .clock(Arc::new(self.clock.clone()))
            .build()
    }

    pub fn transport(&self, keys: Arc<KeyRing>) -> PeerTransport {
        PeerTransport::new(keys, self.options())
    }
}

pub fn identity(vm: &str) -> PeerIdentity {
    PeerIdentity {
        vm: vm.parse().unwrap(),
        role: Role::Entry,
    }
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn address(vm: &str, server: &PeerServer) -> PeerAddress {
    PeerAddress {
        vm: vm.parse().unwrap(),
        address: server.address(),
    }
}

/// Handler that records all bodies. Replies with the body, except to `none` and `release` (no
/// reply), `big` (64 KiB) and `wait` (replies with the body once a `release` has arrived).
pub struct Recorder {
    seen: Sender<String>,
    release: (Sender<()>, Receiver<()>),
}

impl Recorder {
    pub fn new() -> (Arc<Self>, Receiver<String>) {
        let (seen, received) = async_channel::unbounded();
        let release = async_channel::unbounded();
        (Arc::new(Self { seen, release }), received)
    }
}

impl Handler for Recorder {
    fn handle(&self, from: &PeerIdentity, body: Vec<u8>) -> BoxFuture<'_, Option<Vec<u8>>> {
        let text = String::from_utf8_lossy(&body).into_owned();
        self.seen.try_send(format!("{from}: {text}")).unwrap();
        Box::pin(async move {
            match text.as_str() {
                "none" => None,
                "big" => Some(vec![0; 64 << 10]),
                "wait" => {
                    self.release.1.recv().await.unwrap();
                    Some(body)
                }
                "release" => {
                    self.release.0.send(()).await.unwrap();
                    None
                }
                _ => Some(body),
            }
        })
    }
}

/// Starts a server on an address whose previous socket may still be closing.
pub async fn rebind(
    address: SocketAddr,
    keys: Arc<KeyRing>,
    handler: Arc<dyn Handler>,
    options: Options,
) -> PeerServer {
    loop {
        let handler = Arc::clone(&handler);
        match PeerServer::bind(address, Arc::clone(&keys), handler, options.clone()) {
            Ok(server) => return server,
            Err(_) => task::yield_now().await,
        }
    }
}
