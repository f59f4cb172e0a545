//! Client side: one link per peer, with a task that connects, writes and watches for silence.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_channel::{Receiver, Sender, TrySendError};
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use auburnbridge_types::{BoxFuture, ByteSize, Millis, Timestamp};
use futures_lite::FutureExt;
use parking_lot::Mutex;

use super::frame::{Frame, Kind};
use crate::{Options, PeerAddress, PeerError, PeerIdentity, Transport};

/// Frames that wait for one peer.
const QUEUE_FRAMES: usize = 1_024;
/// Longest wait for an unanswered ping; a round trip within a region takes a few milliseconds, and
/// a busy peer of a tenth of a core some hundred.
const SILENCE: Millis = Millis(1_000);
/// Time between two pings on a connection in use.
const PING_INTERVAL: Millis = Millis(400);
/// Longest time for a write to be taken by a peer that reads.
const WRITE_TIMEOUT: Millis = Millis(1_500);
/// Links without a frame for this long are closed and forgotten.
const LINK_IDLE: Millis = Millis(30_000);

type ReplySender = Sender<Result<Vec<u8>, PeerError>>;

/// Sends bodies to other processes without keys.
pub struct PlainTransport {
    identity: PeerIdentity,
    options: Options,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    next_call: AtomicU64,
}

impl PlainTransport {
    /// Creates the transport of a process that calls itself `identity`.
    pub fn new(identity: PeerIdentity, options: Options) -> Self {
        Self {
            identity,
            options,
            links: Mutex::default(),
            next_call: AtomicU64::new(1),
        }
    }

    fn link(&self, to: &PeerAddress) -> Arc<Link> {
        let mut links = self.links.lock();
        links.retain(|_, link| !link.frames.is_closed());
        if let Some(link) = links.get(&to.address) {
            return Arc::clone(link);
        }
        let (frames, queue) = async_channel::bounded(QUEUE_FRAMES);
        let link = Arc::new(Link {
            address: to.address,
            hello: Frame::new(
                Kind::Hello,
                0,
                format!("{} {}", self.identity.vm, self.identity.role).into_bytes(),
            ),
            options: self.options.clone(),
            frames,
            pending: Mutex::default(),
        });
        links.insert(to.address, Arc::clone(&link));
        task::spawn(Arc::clone(&link).run(queue));
        link
    }

    async fn call_peer(
        &self,
        link: Arc<Link>,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<Vec<u8>, PeerError> {
        let size = ByteSize(body.len() as u64);
        if size > self.options.message_limit {
            return Err(PeerError::TooLarge { size });
        }
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = async_channel::bounded(1);
        link.pending.lock().insert(call, tx);
        // Removes the entry also when the caller drops this future.
        let _registration = PendingCall { link: &link, call };
        if link
            .frames
            .try_send(Frame::new(Kind::Call, call, body))
            .is_err()
        {
            return Err(PeerError::Busy);
        }
        let reply = async {
            rx.recv().await.unwrap_or_else(|_| {
                Err(PeerError::ConnectionLost {
                    reason: "the link ended".to_owned(),
                })
            })
        };
        let late = async {
            self.options.clock.sleep(timeout).await;
            Err(PeerError::TimedOut)
        };
        reply.or(late).await
    }
}

impl Transport for PlainTransport {
    fn call(
        &self,
        to: &PeerAddress,
        body: Vec<u8>,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<Vec<u8>, PeerError>> {
        Box::pin(self.call_peer(self.link(to), body, timeout))
    }

    fn send(&self, to: &PeerAddress, body: Vec<u8>) {
        let frame = Frame::new(Kind::Message, 0, body);
        match self.link(to).frames.try_send(frame) {
            Ok(()) => {}
            // One-way messages may be lost; their senders repeat what matters.
            Err(TrySendError::Full(_)) => log::debug!("queue to {to} is full; message dropped"),
            Err(TrySendError::Closed(_)) => log::debug!("link to {to} ended; message dropped"),
        }
    }
}

struct PendingCall<'a> {
    link: &'a Link,
    call: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.link.pending.lock().remove(&self.call);
    }
}

/// The way to one peer.
struct Link {
    address: SocketAddr,
    hello: Frame,
    options: Options,
    frames: Sender<Frame>,
    pending: Mutex<HashMap<u64, ReplySender>>,
}

/// When the last ping went out, and whether its pong has arrived.
#[derive(Clone, Copy)]
struct PingState {
    sent: Timestamp,
    answered: bool,
}

impl Link {
    async fn run(self: Arc<Self>, queue: Receiver<Frame>) {
        let mut backoff = self.options.first_backoff;
        loop {
            let first = async { queue.recv().await.ok() };
            let idle = async {
                self.options.clock.sleep(LINK_IDLE).await;
                None
            };
            let Some(first) = first.or(idle).await else {
                break;
            };
            match self.connect().await {
                Ok(stream) => {
                    backoff = self.options.first_backoff;
                    let reason = self.serve(&stream, first, &queue).await;
                    self.fail_pending(&PeerError::ConnectionLost { reason });
                }
                Err(reason) => {
                    log::debug!("can't connect to {}: {reason}", self.address);
                    self.drop_queued(&queue, &PeerError::Unreachable { reason });
                    self.options.clock.sleep(backoff).await;
                    backoff = Millis(backoff.0 * 2).min(self.options.last_backoff);
                }
            }
        }
        queue.close();
        self.fail_pending(&PeerError::Closed);
    }

    async fn connect(&self) -> Result<TcpStream, String> {
        let connecting = async {
            let stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let late = async {
            self.options.clock.sleep(self.options.connect_timeout).await;
            Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
        };
        connecting
            .or(late)
            .await
            .map_err(|error: std::io::Error| error.to_string())
    }

    /// Uses a connection until it ends, and gives the reason.
    async fn serve(&self, stream: &TcpStream, first: Frame, queue: &Receiver<Frame>) -> String {
        let now = self.options.clock.now();
        let ping = Mutex::new(PingState {
            sent: now,
            answered: true,
        });
        let written = self.write_frames(stream, first, queue, &ping);
        let read = self.read_frames(stream.clone(), &ping);
        let reason = written.or(read).await;
        // Dropping the last clone closes the socket; both halves must end now.
        if let Err(error) = stream.shutdown(std::net::Shutdown::Both) {
            log::debug!(
                "can't shut down the connection to {}: {error}",
                self.address
            );
        }
        reason
    }

    async fn write_frames(
        &self,
        stream: &TcpStream,
        first: Frame,
        queue: &Receiver<Frame>,
        ping: &Mutex<PingState>,
    ) -> String {
        let mut buf = Vec::new();
        self.hello.encode(&mut buf);
        first.encode(&mut buf);
        let mut wrote_since_ping = true;
        loop {
            while let Ok(frame) = queue.try_recv() {
                frame.encode(&mut buf);
                wrote_since_ping = true;
            }
            let now = self.options.clock.now();
            match Self::next_ping(now, ping, wrote_since_ping) {
                Ok(true) => {
                    Frame::new(Kind::Ping, 0, Vec::new()).encode(&mut buf);
                    wrote_since_ping = false;
                }
                Ok(false) => {}
                Err(reason) => return reason,
            }
            if !buf.is_empty()
                && let Err(reason) = self.write(stream, &buf).await
            {
                return reason;
            }
            buf.clear();
            let has_pending = wrote_since_ping || !ping.lock().answered;
            let next = async { queue.recv().await.ok() };
            let tick = async {
                let wait = if has_pending {
                    PING_INTERVAL
                } else {
                    LINK_IDLE
                };
                self.options.clock.sleep(wait).await;
                None
            };
            match next.or(tick).await {
                Some(frame) => {
                    frame.encode(&mut buf);
                    wrote_since_ping = true;
                }
                None if !has_pending && self.pending.lock().is_empty() => {
                    return "the link is idle".to_owned();
                }
                None => {}
            }
        }
    }

    /// Whether a ping is due, or why the connection counts as dead.
    fn next_ping(now: Timestamp, ping: &Mutex<PingState>, is_in_use: bool) -> Result<bool, String> {
        let mut ping = ping.lock();
        let age = now.since(ping.sent);
        if !ping.answered {
            return if age >= SILENCE {
                Err("the connection is silent".to_owned())
            } else {
                Ok(false)
            };
        }
        if !is_in_use || age < PING_INTERVAL {
            return Ok(false);
        }
        *ping = PingState {
            sent: now,
            answered: false,
        };
        Ok(true)
    }

    async fn write(&self, mut stream: &TcpStream, bytes: &[u8]) -> Result<(), String> {
        let writing = async {
            stream
                .write_all(bytes)
                .await
                .map_err(|error| error.to_string())
        };
        let late = async {
            self.options.clock.sleep(WRITE_TIMEOUT).await;
            Err("the peer doesn't read".to_owned())
        };
        writing.or(late).await
    }

    async fn read_frames(&self, mut stream: TcpStream, ping: &Mutex<PingState>) -> String {
        loop {
            let frame = match Frame::read(&mut stream, self.options.message_limit).await {
                Ok(frame) => frame,
                Err(error) => return error.to_string(),
            };
            ping.lock().answered = true;
            let result = match frame.kind {
                Kind::Reply => Ok(frame.body),
                Kind::NoReply => Err(PeerError::NoReply),
                Kind::Pong => continue,
                Kind::Hello | Kind::Message | Kind::Call | Kind::Ping => {
                    return format!("the peer sent an unexpected {:?}", frame.kind);
                }
            };
            if let Some(reply) = self.pending.lock().remove(&frame.call) {
                // The caller may have given up meanwhile.
                let _ = reply.try_send(result);
            }
        }
    }

    fn fail_pending(&self, error: &PeerError) {
        for (_, reply) in self.pending.lock().drain() {
            let _ = reply.try_send(Err(error.clone()));
        }
    }

    /// Drops what has waited for a connection that could not be made; it is stale by now.
    fn drop_queued(&self, queue: &Receiver<Frame>, error: &PeerError) {
        while queue.try_recv().is_ok() {}
        self.fail_pending(error);
    }
}
