//! Measures the transport: idle connections, handshakes, calls and one-way messages.
//!
//! A forwarder between client and server counts the UDP payloads and adds 28 bytes of IPv4 and UDP
//! headers per packet.

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
const KEY_VALIDITY: Millis = Millis(24 * 60 * 60 * 1_000);
const MAX_PACKET_BYTES: usize = 65_536;
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
        size_unit: "connections",
        unit,
    }
}

const fn bodies(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "B of body",
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
    let network = MeasuredNetwork::start(count).await;
    let before = process_cpu_nanos();
    for peer in &network.peers {
        network.call(peer, vec![0; 64]).await;
    }
    let cpu = process_cpu_nanos() - before;
    report.record(HANDSHAKE_CPU, count, cpu / 1e3);
    // Packets that complete the handshake may arrive after the first reply.
    task::sleep(Duration::from_millis(300)).await;
    let connected = network.forwarded_bytes();
    report.record(HANDSHAKE, count, connected);
    task::sleep(Duration::from_secs(IDLE_SECONDS.into())).await;
    let idle = (network.forwarded_bytes() - connected) / f64::from(IDLE_SECONDS);
    report.record(IDLE, count, idle);
    network.close().await;
}

async fn measure_bodies(report: &mut Report, bytes: u32) {
    let network = MeasuredNetwork::start(1).await;
    let body = vec![7; bytes as usize];
    let peer = &network.peers[0];
    network.call(peer, body.clone()).await;
    let (before, cpu) = (network.forwarded_bytes(), process_cpu_nanos());
    let start = Instant::now();
    for _ in 0..CALLS {
        network.call(peer, body.clone()).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let calls = f64::from(CALLS);
    report.record(
        CALL_BYTES,
        bytes,
        (network.forwarded_bytes() - before) / calls,
    );
    report.record(CALL_CPU, bytes, (process_cpu_nanos() - cpu) / calls / 1e3);
    report.record(CALL_RATE, bytes, calls / seconds);

    measure_parallel(report, &network, &body).await;

    let before = network.forwarded_bytes();
    for _ in 0..CALLS {
        network.transport.send(peer, body.clone());
        task::sleep(Duration::from_millis(5)).await;
    }
    task::sleep(Duration::from_millis(200)).await;
    report.record(
        MESSAGE_BYTES,
        bytes,
        (network.forwarded_bytes() - before) / calls,
    );
    network.close().await;
}

async fn measure_parallel(report: &mut Report, network: &MeasuredNetwork, body: &[u8]) {
    let cpu = process_cpu_nanos();
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let transport = Arc::clone(&network.transport);
            let (peer, body) = (network.peers[0].clone(), body.to_vec());
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
    let bytes = u32::try_from(body.len()).expect("the body size fits into u32");
    report.record(PARALLEL_RATE, bytes, calls / seconds);
    let cpu = process_cpu_nanos() - cpu;
    report.record(PARALLEL_CPU, bytes, cpu / calls / 1e3);
}

/// A client connected to several servers, each through a forwarder that counts bytes.
struct MeasuredNetwork {
    transport: Arc<PeerTransport>,
    peers: Vec<PeerAddress>,
    servers: Vec<PeerServer>,
    forwarded: Arc<AtomicU64>,
    forwarders: Vec<task::JoinHandle<()>>,
}

impl MeasuredNetwork {
    async fn start(count: u32) -> Self {
        let folder = TempDir::new().expect("a temporary folder can be created");
        let validity = Validity::starting_at(RuntimeClock.now(), KEY_VALIDITY);
        let authority = folder.path().join("authority");
        create_authority(&authority, validity).expect("the authority folder can be created");
        let keys = |vm: &str| {
            let identity = PeerIdentity {
                vm: vm.parse().expect("the VM name is valid"),
                role: Role::Entry,
            };
            let own = folder.path().join(vm);
            issue(&authority, &own, &identity, validity).expect("the authority issues keys");
            KeyRing::load(&own, RuntimeClock.now()).expect("the keys are valid")
        };
        let options = Options::default();
        let forwarded = Arc::new(AtomicU64::new(0));
        let transport = Arc::new(PeerTransport::new(keys("client"), options.clone()));
        let mut network = Self {
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
            let client_side = UdpSocket::bind(loopback()).await.expect("a port is free");
            network.peers.push(PeerAddress {
                vm: vm.parse().expect("the VM name is valid"),
                address: client_side.local_addr().expect("the socket is bound"),
            });
            let forwarding = forward(client_side, server.address(), Arc::clone(&forwarded));
            network.forwarders.push(task::spawn(forwarding));
            network.servers.push(server);
        }
        network
    }

    async fn call(&self, peer: &PeerAddress, body: Vec<u8>) {
        let reply = self.transport.call(peer, body, CALL_TIMEOUT).await;
        reply.expect("the server echoes the body");
    }

    fn forwarded_bytes(&self) -> f64 {
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

/// Forwards packets between one client and a server and counts their bytes.
async fn forward(client_side: UdpSocket, server: SocketAddr, forwarded: Arc<AtomicU64>) {
    let server_side = UdpSocket::bind(loopback()).await.expect("a port is free");
    server_side
        .connect(server)
        .await
        .expect("the address is local");
    let count = |size: usize| {
        forwarded.fetch_add(size as u64 + HEADER_BYTES, Ordering::Relaxed);
    };
    let mut client = None;
    let mut request = vec![0; MAX_PACKET_BYTES];
    let mut reply = vec![0; MAX_PACKET_BYTES];
    loop {
        let to_server = async {
            client_side
                .recv_from(&mut request)
                .await
                .map(Packet::ToServer)
        };
        let to_client = async { server_side.recv(&mut reply).await.map(Packet::ToClient) };
        match (future::or(to_server, to_client).await, client) {
            (Ok(Packet::ToServer((size, from))), _) => {
                client = Some(from);
                count(size);
                // The transport retransmits lost packets.
                let _ = server_side.send(&request[..size]).await;
            }
            (Ok(Packet::ToClient(size)), Some(client)) => {
                count(size);
                let _ = client_side.send_to(&reply[..size], client).await;
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
