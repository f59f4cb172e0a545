//! UDP relay between one client and one server that can drop the packets of either direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::net::UdpSocket;
use async_std::task;
use futures_lite::future;

use crate::fleet::loopback;

const PACKET_BYTES: usize = 65_536;

#[derive(Clone, Copy, Debug)]
pub enum Direction {
    ToServer,
    ToClient,
}

pub struct Relay {
    pub address: SocketAddr,
    blocked: Arc<BlockedDirections>,
}

#[derive(Default)]
struct BlockedDirections {
    to_server: AtomicBool,
    to_client: AtomicBool,
}

impl Relay {
    pub async fn start(server: SocketAddr) -> Self {
        let client_socket = UdpSocket::bind(loopback()).await.unwrap();
        let server_socket = UdpSocket::bind(loopback()).await.unwrap();
        server_socket.connect(server).await.unwrap();
        let address = client_socket.local_addr().unwrap();
        let blocked = Arc::new(BlockedDirections::default());
        task::spawn(forward(client_socket, server_socket, Arc::clone(&blocked)));
        Self { address, blocked }
    }

    pub fn set_blocked(&self, direction: Direction, is_blocked: bool) {
        let flag = match direction {
            Direction::ToServer => &self.blocked.to_server,
            Direction::ToClient => &self.blocked.to_client,
        };
        flag.store(is_blocked, Ordering::SeqCst);
    }
}

async fn forward(
    client_socket: UdpSocket,
    server_socket: UdpSocket,
    blocked: Arc<BlockedDirections>,
) {
    let mut buf = vec![0; PACKET_BYTES];
    let (size, mut client_address) = client_socket.recv_from(&mut buf).await.unwrap();
    server_socket.send(&buf[..size]).await.unwrap();
    let mut reply = vec![0; PACKET_BYTES];
    loop {
        let to_server = async { Ok(client_socket.recv_from(&mut buf).await) };
        let to_client = async { Err(server_socket.recv(&mut reply).await) };
        match future::or(to_server, to_client).await {
            Ok(received) => {
                let (size, from) = received.unwrap();
                client_address = from;
                if !blocked.to_server.load(Ordering::SeqCst) {
                    server_socket.send(&buf[..size]).await.unwrap();
                }
            }
            Err(received) => {
                let size = received.unwrap();
                if !blocked.to_client.load(Ordering::SeqCst) {
                    client_socket
                        .send_to(&reply[..size], client_address)
                        .await
                        .unwrap();
                }
            }
        }
    }
}
