//! UDP relay between one client and one server, which can drop the packets of one direction.

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
    cuts: Arc<Cuts>,
}

#[derive(Default)]
struct Cuts {
    to_server: AtomicBool,
    to_client: AtomicBool,
}

impl Relay {
    pub async fn start(server: SocketAddr) -> Self {
        let front = UdpSocket::bind(loopback()).await.unwrap();
        let back = UdpSocket::bind(loopback()).await.unwrap();
        back.connect(server).await.unwrap();
        let address = front.local_addr().unwrap();
        let cuts = Arc::new(Cuts::default());
        task::spawn(forward(front, back, Arc::clone(&cuts)));
        Self { address, cuts }
    }

    pub fn set_cut(&self, direction: Direction, is_cut: bool) {
        let cut = match direction {
            Direction::ToServer => &self.cuts.to_server,
            Direction::ToClient => &self.cuts.to_client,
        };
        cut.store(is_cut, Ordering::SeqCst);
    }
}

async fn forward(front: UdpSocket, back: UdpSocket, cuts: Arc<Cuts>) {
    let mut buf = vec![0; PACKET_BYTES];
    let (size, mut client) = front.recv_from(&mut buf).await.unwrap();
    back.send(&buf[..size]).await.unwrap();
    let mut reply = vec![0; PACKET_BYTES];
    loop {
        let to_server = async { Ok(front.recv_from(&mut buf).await) };
        let to_client = async { Err(back.recv(&mut reply).await) };
        match future::or(to_server, to_client).await {
            Ok(received) => {
                let (size, from) = received.unwrap();
                client = from;
                if !cuts.to_server.load(Ordering::SeqCst) {
                    back.send(&buf[..size]).await.unwrap();
                }
            }
            Err(received) => {
                let size = received.unwrap();
                if !cuts.to_client.load(Ordering::SeqCst) {
                    front.send_to(&reply[..size], client).await.unwrap();
                }
            }
        }
    }
}
