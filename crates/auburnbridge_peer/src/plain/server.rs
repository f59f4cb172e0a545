//! Server side: accepts connections and passes calls and messages to a handler.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use auburnbridge_types::Millis;
use futures_lite::FutureExt;

use super::frame::{Frame, Kind};
use crate::{Handler, Options, PeerIdentity};

/// Wait after a failed accept, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Millis = Millis(20);
/// Time without a frame after which a connection is closed; a client closes its link after 30 s.
const CLIENT_IDLE: Millis = Millis(45_000);
/// Maximum number of replies queued for one connection.
const QUEUED_REPLIES: usize = 256;

/// Serves other processes without authentication and encryption.
pub struct PlainServer {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

struct Shared {
    handler: Arc<dyn Handler>,
    options: Options,
    connections: AtomicUsize,
}

impl PlainServer {
    /// Binds the TCP address and starts to accept connections.
    pub async fn bind(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        options: Options,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            handler,
            options,
            connections: AtomicUsize::new(0),
        });
        Ok(Self {
            address,
            accepting: task::spawn(shared.accept(listener)),
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections.
    pub async fn close(self) {
        self.accepting.cancel().await;
    }
}

impl Shared {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let (stream, client) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("can't accept a connection from a peer: {error}");
                    self.options.clock.sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let open = self.connections.fetch_add(1, Ordering::SeqCst);
            if open >= self.options.connection_limit {
                self.connections.fetch_sub(1, Ordering::SeqCst);
                log::warn!(
                    "closed the connection from peer {client}: the connection limit is reached"
                );
                continue;
            }
            let shared = Arc::clone(&self);
            task::spawn(async move {
                if let Err(error) = shared.serve(stream).await {
                    log::debug!("the connection from peer {client} ended: {error}");
                }
                shared.connections.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    async fn serve(self: &Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (tx, rx) = async_channel::bounded(QUEUED_REPLIES);
        let reading = self.read_frames(stream.clone(), tx);
        let writing = write_frames(stream, rx);
        reading.or(writing).await
    }

    async fn read_frames(
        self: &Arc<Self>,
        mut stream: TcpStream,
        replies: Sender<Frame>,
    ) -> std::io::Result<()> {
        let hello = self.read_frame(&mut stream).await?;
        let from = read_identity(&hello).ok_or(std::io::ErrorKind::InvalidData)?;
        let in_flight = Arc::new(AtomicUsize::new(0));
        loop {
            let frame = self.read_frame(&mut stream).await?;
            match frame.kind {
                Kind::Message => {
                    self.handler.handle(&from, frame.body).await;
                }
                Kind::Ping => send_reply(&replies, Frame::new(Kind::Pong, 0, Vec::new())),
                Kind::Call => {
                    let limit = self.options.concurrent_calls as usize;
                    if in_flight.fetch_add(1, Ordering::SeqCst) >= limit {
                        in_flight.fetch_sub(1, Ordering::SeqCst);
                        send_reply(&replies, Frame::new(Kind::NoReply, frame.call, Vec::new()));
                        continue;
                    }
                    let (shared, replies) = (Arc::clone(self), replies.clone());
                    let (from, in_flight) = (from.clone(), Arc::clone(&in_flight));
                    task::spawn(async move {
                        let reply = shared.handler.handle(&from, frame.body).await;
                        in_flight.fetch_sub(1, Ordering::SeqCst);
                        let reply = match reply {
                            Some(body) => Frame::new(Kind::Reply, frame.call, body),
                            None => Frame::new(Kind::NoReply, frame.call, Vec::new()),
                        };
                        send_reply(&replies, reply);
                    });
                }
                Kind::Hello | Kind::Reply | Kind::NoReply | Kind::Pong => {
                    return Err(std::io::ErrorKind::InvalidData.into());
                }
            }
        }
    }

    async fn read_frame(&self, stream: &mut TcpStream) -> std::io::Result<Frame> {
        let idle = async {
            self.options.clock.sleep(CLIENT_IDLE).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        Frame::read(stream, self.options.message_limit)
            .or(idle)
            .await
    }
}

async fn write_frames(mut stream: TcpStream, replies: Receiver<Frame>) -> std::io::Result<()> {
    let mut buf = Vec::new();
    while let Ok(frame) = replies.recv().await {
        frame.encode(&mut buf);
        while let Ok(frame) = replies.try_recv() {
            frame.encode(&mut buf);
        }
        stream.write_all(&buf).await?;
        buf.clear();
    }
    Ok(())
}

/// Queues a reply. The reply is dropped if the queue is full, because the client doesn't read; its
/// call then times out.
fn send_reply(replies: &Sender<Frame>, reply: Frame) {
    if replies.try_send(reply).is_err() {
        log::debug!("dropped a reply: the connection ended, or its queue of replies is full");
    }
}

/// Parses the identity in a hello frame: the VM and the role, separated by a space.
fn read_identity(hello: &Frame) -> Option<PeerIdentity> {
    if hello.kind != Kind::Hello {
        return None;
    }
    let text = std::str::from_utf8(&hello.body).ok()?;
    let (vm, role) = text.split_once(' ')?;
    Some(PeerIdentity {
        vm: vm.parse().ok()?,
        role: role.parse().ok()?,
    })
}
