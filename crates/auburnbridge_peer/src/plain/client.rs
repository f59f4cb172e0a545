//! Client side: one link per peer, with a task that connects, writes frames and detects a dead
//! connection by pings.

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

/// Maximum number of frames queued for one peer.
const QUEUED_FRAMES: usize = 1_024;
/// Time to wait for the answer to a ping. A round trip within a region takes a few milliseconds; a
/// busy peer limited to a tenth of a core answers after some hundred milliseconds.
const PONG_TIMEOUT: Millis = Millis(1_000);
/// Minimum time between two pings on a connection in use.
const PING_INTERVAL: Millis = Millis(400);
/// Timeout of a write; a write takes longer only if the peer doesn't read.
const WRITE_TIMEOUT: Millis = Millis(1_500);
/// Time without a frame after which a link is closed and removed.
const LINK_IDLE: Millis = Millis(30_000);

type ReplySender = Sender<Result<Vec<u8>, PeerError>>;

/// Transport over TCP without authentication and encryption.
pub struct PlainTransport {
    identity: PeerIdentity,
    options: Options,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    next_call: AtomicU64,
}

impl PlainTransport {
    /// Creates the transport of a process that states `identity` when it connects.
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
        let (frames, queue) = async_channel::bounded(QUEUED_FRAMES);
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
        // Removes the entry even if the caller drops this future.
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
        let timed_out = async {
            self.options.clock.sleep(timeout).await;
            Err(PeerError::TimedOut)
        };
        reply.or(timed_out).await
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
            // One-way messages may be lost; their senders repeat the ones that matter.
            Err(TrySendError::Full(_)) => log::debug!("queue to {to} is full; message dropped"),
            Err(TrySendError::Closed(_)) => log::debug!("link to {to} ended; message dropped"),
        }
    }
}

/// Entry of a call in the link's pending calls, removed on drop.
struct PendingCall<'a> {
    link: &'a Link,
    call: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.link.pending.lock().remove(&self.call);
    }
}

/// Frame queue and pending calls of one peer.
struct Link {
    address: SocketAddr,
    hello: Frame,
    options: Options,
    frames: Sender<Frame>,
    pending: Mutex<HashMap<u64, ReplySender>>,
}

/// Time of the last ping, and whether the peer has sent a frame since.
#[derive(Clone, Copy)]
struct PingState {
    sent: Timestamp,
    answered: bool,
}

impl Link {
    async fn run(self: Arc<Self>, queue: Receiver<Frame>) {
        let mut backoff = self.options.initial_backoff;
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
                    backoff = self.options.initial_backoff;
                    let reason = self.serve(&stream, first, &queue).await;
                    self.fail_pending(&PeerError::ConnectionLost { reason });
                }
                Err(reason) => {
                    log::debug!("can't connect to {}: {reason}", self.address);
                    self.drop_queued(&queue, &PeerError::Unreachable { reason });
                    self.options.clock.sleep(backoff).await;
                    backoff = Millis(backoff.0 * 2).min(self.options.max_backoff);
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
        let timed_out = async {
            self.options.clock.sleep(self.options.connect_timeout).await;
            Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
        };
        connecting
            .or(timed_out)
            .await
            .map_err(|error: std::io::Error| error.to_string())
    }

    /// Uses a connection until it ends; returns the reason why it ended.
    async fn serve(&self, stream: &TcpStream, first: Frame, queue: &Receiver<Frame>) -> String {
        let now = self.options.clock.now();
        let ping = Mutex::new(PingState {
            sent: now,
            answered: true,
        });
        let writing = self.write_frames(stream, first, queue, &ping);
        let reading = self.read_frames(stream.clone(), &ping);
        let reason = writing.or(reading).await;
        // Ends both directions now; dropping the stream closes the socket only with its last clone.
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
        let mut has_written_since_ping = true;
        loop {
            while let Ok(frame) = queue.try_recv() {
                frame.encode(&mut buf);
                has_written_since_ping = true;
            }
            let now = self.options.clock.now();
            match Self::start_ping_if_due(now, ping, has_written_since_ping) {
                Ok(true) => {
                    Frame::new(Kind::Ping, 0, Vec::new()).encode(&mut buf);
                    has_written_since_ping = false;
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
            let awaits_answer = has_written_since_ping || !ping.lock().answered;
            let next = async { queue.recv().await.ok() };
            let tick = async {
                let wait = if awaits_answer {
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
                    has_written_since_ping = true;
                }
                None if !awaits_answer && self.pending.lock().is_empty() => {
                    return "the link is idle".to_owned();
                }
                None => {}
            }
        }
    }

    /// Returns whether to send a ping now, and records it as sent. Fails with the reason if the
    /// last ping was not answered in time.
    fn start_ping_if_due(
        now: Timestamp,
        ping: &Mutex<PingState>,
        is_in_use: bool,
    ) -> Result<bool, String> {
        let mut ping = ping.lock();
        let age = now.since(ping.sent);
        if !ping.answered {
            return if age >= PONG_TIMEOUT {
                Err("the peer has not answered a ping in time".to_owned())
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
        let timed_out = async {
            self.options.clock.sleep(WRITE_TIMEOUT).await;
            Err("a write timed out because the peer doesn't read".to_owned())
        };
        writing.or(timed_out).await
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
                // The receiver is gone if the call has timed out meanwhile.
                let _ = reply.try_send(result);
            }
        }
    }

    fn fail_pending(&self, error: &PeerError) {
        for (_, reply) in self.pending.lock().drain() {
            let _ = reply.try_send(Err(error.clone()));
        }
    }

    /// Drops the queued frames after a failed attempt to connect, because they are outdated by now,
    /// and fails the pending calls.
    fn drop_queued(&self, queue: &Receiver<Frame>, error: &PeerError) {
        while queue.try_recv().is_ok() {}
        self.fail_pending(error);
    }
}
