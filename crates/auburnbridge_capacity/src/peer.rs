//! Cost of the transport: bytes of idle connections, handshakes, calls and one-way messages.
//!
//! A forwarding socket between client and server counts the UDP payloads. Each packet costs another
//! 28 bytes of IPv4 and UDP headers, which are added.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::net::UdpSocket;
use async_std::task;
use auburnbridge_peer::keys::{KeyRing, Validity, create_authority, issue};
use auburnbridge_peer::{
    Handler, Options, PeerAddress, PeerIdentity, PeerServer, PeerTransport, Role, Transport,
};
use auburnbridge_types::{BoxFuture, Clock, Millis, RuntimeClock};
use futures_lite::future;
use tempfile::TempDir;

use crate::measure::{Metric, Report, process_cpu_nanos};

const CONNECTIONS: [u32; 3] = [1, 4, 16];
const BODY_SIZES: [u32; 3] = [64, 1_024, 16_384];
const IDLE_SECONDS: u32 = 4;
const CALLS: u32 = 200;
const CALLERS: u32 = 16;
const CALL_TIMEOUT: Millis = Millis(10_000);
const DAY: Millis = Millis(24 * 60 * 60 * 1_000);
const PACKET_BYTES: usize = 65_536;
const HEADER_BYTES: u64 = 28;

pub const IDLE: Metric = connections("P1", "idle, both directions together", "B/s");
pub const HANDSHAKE: Metric = connections("P2", "connect and one call, both directions", "B");
pub const HANDSHAKE_CPU: Metric =
    connections("P3", "connect and one call, CPU of both sides", "µs");
pub const CALL_BYTES: Metric = bodies("P4", "call that echoes the body, both directions", "B");
pub const CALL_CPU: Metric = bodies("P5", "call, CPU of both sides and the forwarder", "µs");
pub const CALL_RATE: Metric = bodies("P6", "calls one after the other, wall time", "calls/s");
pub const PARALLEL_RATE: Metric = bodies("P8", "calls, 16 in flight, wall time", "calls/s");
pub const PARALLEL_CPU: Metric =
    bodies("P9", "the same, CPU of both sides and the forwarder", "µs");
pub const MESSAGE_BYTES: Metric = bodies("P7", "one-way message each 5 ms, both directions", "B");

const fn connections(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        of: "connections",
        unit,
    }
}

const fn bodies(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        of: "B of body",
        unit,
    }
}

struct Echo;

impl Handler for Echo {
    fn handle(&self, _: &PeerIdentity, body: Vec<u8>) -> BoxFuture<'_, Option<Vec<u8>>> {
        Box::pin(async move { Some(body) })
    }
}

pub fn measure(report: &mut Report) {
    task::block_on(async {
        for count in CONNECTIONS {
            measure_connections(report, count).await;
        }
        for bytes in BODY_SIZES {
            measure_bodies(report, bytes).await;
        }
    });
}

async fn measure_connections(report: &mut Report, count: u32) {
    let link = Link::start(count).await;
    let before = process_cpu_nanos();
    for peer in &link.peers {
        link.call(peer, vec![0; 64]).await;
    }
    let cpu = process_cpu_nanos() - before;
    report.record(HANDSHAKE_CPU, count, cpu / 1e3);
    // Packets that complete the handshake may follow the first reply.
    task::sleep(Duration::from_millis(300)).await;
    let connected = link.bytes();
    report.record(HANDSHAKE, count, connected);
    task::sleep(Duration::from_secs(IDLE_SECONDS.into())).await;
    let idle = (link.bytes() - connected) / f64::from(IDLE_SECONDS);
    report.record(IDLE, count, idle);
    link.close().await;
}

async fn measure_bodies(report: &mut Report, bytes: u32) {
    let link = Link::start(1).await;
    let body = vec![7; bytes as usize];
    let peer = &link.peers[0];
    link.call(peer, body.clone()).await;
    let (before, cpu) = (link.bytes(), process_cpu_nanos());
    let start = Instant::now();
    for _ in 0..CALLS {
        link.call(peer, body.clone()).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let calls = f64::from(CALLS);
    report.record(CALL_BYTES, bytes, (link.bytes() - before) / calls);
    report.record(CALL_CPU, bytes, (process_cpu_nanos() - cpu) / calls / 1e3);
    report.record(CALL_RATE, bytes, calls / seconds);

    measure_parallel(report, &link, &body).await;

    let before = link.bytes();
    for _ in 0..CALLS {
        link.transport.send(peer, body.clone());
        task::sleep(Duration::from_millis(5)).await;
    }
    task::sleep(Duration::from_millis(200)).await;
    report.record(MESSAGE_BYTES, bytes, (link.bytes() - before) / calls);
    link.close().await;
}

async fn measure_parallel(report: &mut Report, link: &Link, body: &[u8]) {
    let cpu = process_cpu_nanos();
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let transport = Arc::clone(&link.transport);
            let (peer, body) = (link.peers[0].clone(), body.to_vec());
            task::spawn(async move {
                for _ in 0..CALLS {
                    let reply = transport.call(&peer, body.clone(), CALL_TIMEOUT).await;
                    reply.expect("the server echoes the body");
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let calls = f64::from(CALLS * CALLERS);
    let bytes = u32::try_from(body.len()).expect("the sizes are small");
    report.record(PARALLEL_RATE, bytes, calls / seconds);
    let cpu = process_cpu_nanos() - cpu;
    report.record(PARALLEL_CPU, bytes, cpu / calls / 1e3);
}

/// A client with connections to several servers, each through a counting forwarder.
struct Link {
    transport: Arc<PeerTransport>,
    peers: Vec<PeerAddress>,
    servers: Vec<PeerServer>,
    forwarded: Arc<AtomicU64>,
    forwarders: Vec<task::JoinHandle<()>>,
}

impl Link {
    async fn start(count: u32) -> Self {
        let folder = TempDir::new().expect("a temporary folder can be created");
        let validity = Validity::starting_at(RuntimeClock.now(), DAY);
        let authority = folder.path().join("authority");
        create_authority(&authority, validity).expect("the folder is empty");
        let keys = |vm: &str| {
            let identity = PeerIdentity {
                vm: vm.parse().expect("a name"),
                role: Role::Entry,
            };
            let own = folder.path().join(vm);
            issue(&authority, &own, &identity, validity).expect("the authority signs");
            KeyRing::load(&own, RuntimeClock.now()).expect("the keys are valid")
        };
        let options = Options::default();
        let forwarded = Arc::new(AtomicU64::new(0));
        let transport = Arc::new(PeerTransport::new(keys("client"), options.clone()));
        let mut link = Self {
            transport,
            peers: Vec::new(),
            servers: Vec::new(),
            forwarded: Arc::clone(&forwarded),
            forwarders: Vec::new(),
        };
        for number in 0..count {
            let vm = format!("server-{number}");
            let server = PeerServer::bind(loopback(), keys(&vm), Arc::new(Echo), options.clone())
                .expect("a port is free");
            let front = UdpSocket::bind(loopback()).await.expect("a port is free");
            link.peers.push(PeerAddress {
                vm: vm.parse().expect("a name"),
                address: front.local_addr().expect("it is bound"),
            });
            let forwarding = forward(front, server.address(), Arc::clone(&forwarded));
            link.forwarders.push(task::spawn(forwarding));
            link.servers.push(server);
        }
        link
    }

    async fn call(&self, peer: &PeerAddress, body: Vec<u8>) {
        let reply = self.transport.call(peer, body, CALL_TIMEOUT).await;
        reply.expect("the server echoes the body");
    }

    fn bytes(&self) -> f64 {
        self.forwarded.load(Ordering::Relaxed) as f64
    }

    async fn close(self) {
        self.transport.close().await;
        for server in self.servers {
            server.close().await;
        }
        for forwarder in self.forwarders {
            forwarder.cancel().await;
        }
    }
}

/// Forwards packets between one client and the server, and counts their bytes.
async fn forward(front: UdpSocket, server: SocketAddr, forwarded: Arc<AtomicU64>) {
    let back = UdpSocket::bind(loopback()).await.expect("a port is free");
    back.connect(server).await.expect("the address is local");
    let count = |size: usize| {
        forwarded.fetch_add(size as u64 + HEADER_BYTES, Ordering::Relaxed);
    };
    let mut client = None;
    let mut request = vec![0; PACKET_BYTES];
    let mut reply = vec![0; PACKET_BYTES];
    loop {
        let to_server = async { front.recv_from(&mut request).await.map(Packet::ToServer) };
        let to_client = async { back.recv(&mut reply).await.map(Packet::ToClient) };
        match (future::or(to_server, to_client).await, client) {
            (Ok(Packet::ToServer((size, from))), _) => {
                client = Some(from);
                count(size);
                // A lost packet is sent again by the transport.
                let _ = back.send(&request[..size]).await;
            }
            (Ok(Packet::ToClient(size)), Some(client)) => {
                count(size);
                let _ = front.send_to(&reply[..size], client).await;
            }
            (Ok(Packet::ToClient(_)), None) | (Err(_), _) => return,
        }
    }
}

enum Packet {
    ToServer((usize, SocketAddr)),
    ToClient(usize),
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
