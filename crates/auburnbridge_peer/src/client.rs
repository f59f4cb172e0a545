//! Client side: one link per peer, which connects on demand.

use std::collections::HashMap;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use async_channel::{Receiver, Sender};
use async_std::task;
use auburnbridge_types::{BoxFuture, ByteSize, Millis, Timestamp};
use futures_lite::future;
use parking_lot::Mutex;
use quinn::{
    AsyncStdRuntime, ClientConfig, Connection, ConnectionError, Endpoint, EndpointConfig,
    RecvStream, SendStream, WriteError,
};

use crate::certificate::PeerCertificate;
use crate::keys::{FLEET_NAME, KeyRing, Keys};
use crate::options::Options;
use crate::queue::SendQueue;
use crate::wire::{self, FrameError};
use crate::{DropReason, Event, PeerAddress, PeerError, Transport, tls};

/// Time since its last use after which a link may be removed.
const LINK_IDLE: Millis = Millis(60_000);

/// Transport over QUIC. Dropping it closes its connections.
pub struct PeerTransport {
    connector: Arc<Connector>,
    /// Lock order: this map before the locks of a link.
    links: Mutex<HashMap<PeerAddress, LinkHandle>>,
}

struct LinkHandle {
    link: Arc<Link>,
    /// Wakes the task that sends the link's messages; the task ends when all senders are dropped.
    wake: Sender<()>,
    used_at: Timestamp,
}

impl PeerTransport {
    /// Creates a transport that authenticates with `keys`. It connects to a peer on the first call
    /// or message.
    pub fn new(keys: Arc<KeyRing>, options: Options) -> Self {
        Self {
            connector: Arc::new(Connector {
                keys,
                options,
                config: Mutex::new(None),
                endpoints: Mutex::default(),
            }),
            links: Mutex::default(),
        }
    }

    /// Closes all connections and waits until the peers are notified.
    pub async fn close(&self) {
        self.links.lock().clear();
        for endpoint in self.connector.close() {
            endpoint.wait_idle().await;
        }
    }

    async fn call_until(
        &self,
        to: &PeerAddress,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<Vec<u8>, PeerError> {
        let options = &self.connector.options;
        let deadline = options.clock.sleep(timeout);
        let size = ByteSize(body.len() as u64);
        if size > options.message_limit {
            return Err(PeerError::TooLarge { size });
        }
        let phase = CallPhase::default();
        let (link, _wake) = self.link(to);
        future::or(link.call(body, &phase), async {
            deadline.await;
            Err(phase.timeout_error())
        })
        .await
    }

    /// Returns the link to a peer and creates it on its first use.
    fn link(&self, to: &PeerAddress) -> (Arc<Link>, Sender<()>) {
        let now = self.connector.options.clock.now();
        let mut links = self.links.lock();
        if let Some(handle) = links.get_mut(to) {
            handle.used_at = now;
            return (Arc::clone(&handle.link), handle.wake.clone());
        }
        // Addresses change as VMs are replaced, so unused links are removed.
        links.retain(|_, handle| now.since(handle.used_at) < LINK_IDLE);
        let link = Arc::new(Link::new(to.clone(), Arc::clone(&self.connector)));
        let (wake, wake_ups) = async_channel::bounded(1);
        task::spawn(send_messages(Arc::clone(&link), wake_ups));
        links.insert(
            to.clone(),
            LinkHandle {
                link: Arc::clone(&link),
                wake: wake.clone(),
                used_at: now,
            },
        );
        (link, wake)
    }
}

impl Transport for PeerTransport {
    fn call(
        &self,
        to: &PeerAddress,
        body: Vec<u8>,
        timeout: Millis,
    ) -> BoxFuture<'_, Result<Vec<u8>, PeerError>> {
        let to = to.clone();
        Box::pin(async move {
            let options = &self.connector.options;
            let started_at = options.clock.now();
            let reply = self.call_until(&to, body, timeout).await;
            Event::CallEnded {
                to: &to,
                error: reply.as_ref().err(),
                duration: options.clock.now().since(started_at),
            }
            .report(&*options.observer);
            reply
        })
    }

    fn send(&self, to: &PeerAddress, body: Vec<u8>) {
        if body.len() as u64 > self.connector.options.message_limit.0 {
            self.connector.report_dropped(to, 1, DropReason::TooLarge);
            return;
        }
        let (link, wake) = self.link(to);
        if let Some(Err(_)) = link.known_state() {
            self.connector
                .report_dropped(to, 1, DropReason::Unreachable);
            return;
        }
        let dropped = link.queue.lock().push(body);
        if dropped > 0 {
            self.connector
                .report_dropped(to, dropped, DropReason::QueueFull);
        }
        // If the channel is full, the sending task already has a pending wake-up.
        let _ = wake.try_send(());
    }
}

/// Progress of a call, which decides the error after a timeout.
#[derive(Default)]
struct CallPhase(AtomicU8);

impl CallPhase {
    const CONNECTING: u8 = 0;
    const WAITING_FOR_STREAM: u8 = 1;
    const SENT: u8 = 2;

    fn enter(&self, phase: u8) {
        self.0.store(phase, Ordering::Relaxed);
    }

    fn timeout_error(&self) -> PeerError {
        match self.0.load(Ordering::Relaxed) {
            Self::SENT => PeerError::TimedOut,
            Self::WAITING_FOR_STREAM => PeerError::Busy,
            _ => PeerError::Unreachable {
                reason: "no connection within the timeout".to_owned(),
            },
        }
    }
}

/// Opens connections with the current keys.
struct Connector {
    keys: Arc<KeyRing>,
    options: Options,
    /// TLS configuration and the keys it was built from.
    config: Mutex<Option<(Arc<Keys>, ClientConfig)>>,
    endpoints: Mutex<Endpoints>,
}

/// Endpoints of outgoing connections, one per address family.
#[derive(Default)]
struct Endpoints {
    ipv4: Option<Endpoint>,
    ipv6: Option<Endpoint>,
    closed: bool,
}

/// An open connection, the keys it was opened with and the certificate of the peer.
struct OpenConnection {
    connection: Connection,
    keys: Arc<Keys>,
    certificate: PeerCertificate,
}

impl Connector {
    async fn connect(&self, to: &PeerAddress) -> Result<OpenConnection, PeerError> {
        let (keys, config) = self.current_config()?;
        let connection = self
            .endpoint(to.address)?
            .connect_with(config, to.address, FLEET_NAME)
            .map_err(unreachable)?
            .await
            .map_err(|error| connect_error(&error))?;
        await_greeting(&connection).await?;
        // The certificate is checked only after the greeting: closing the connection before the
        // server has finished the handshake would leave the server waiting for its idle timeout.
        let now = self.options.clock.now();
        let certificate = PeerCertificate::from_connection(&connection, Arc::clone(&keys), now)
            .map_err(|reason| PeerError::Rejected { reason })
            .and_then(|certificate| verify_vm(certificate, to))
            .inspect_err(|error| {
                connection.close(wire::NOT_ACCEPTED, error.to_string().as_bytes());
            })?;
        Ok(OpenConnection {
            connection,
            keys,
            certificate,
        })
    }

    fn report_dropped(&self, to: &PeerAddress, count: usize, reason: DropReason) {
        Event::MessagesDropped { to, count, reason }.report(&*self.options.observer);
    }

    fn current_config(&self) -> Result<(Arc<Keys>, ClientConfig), PeerError> {
        let current = self.keys.current();
        let mut config = self.config.lock();
        match &*config {
            Some((keys, built)) if Arc::ptr_eq(keys, &current) => Ok((current, built.clone())),
            _ => {
                let built = tls::client_config(&current, &self.options)
                    .map_err(|reason| PeerError::Rejected { reason })?;
                *config = Some((Arc::clone(&current), built.clone()));
                Ok((current, built))
            }
        }
    }

    fn endpoint(&self, to: SocketAddr) -> Result<Endpoint, PeerError> {
        let mut endpoints = self.endpoints.lock();
        if endpoints.closed {
            return Err(PeerError::Closed);
        }
        let (slot, unspecified): (_, SocketAddr) = if to.is_ipv4() {
            (&mut endpoints.ipv4, (Ipv4Addr::UNSPECIFIED, 0).into())
        } else {
            (&mut endpoints.ipv6, (Ipv6Addr::UNSPECIFIED, 0).into())
        };
        if let Some(endpoint) = slot {
            return Ok(endpoint.clone());
        }
        let socket = UdpSocket::bind(unspecified).map_err(unreachable)?;
        let config = EndpointConfig::default();
        let endpoint =
            Endpoint::new(config, None, socket, Arc::new(AsyncStdRuntime)).map_err(unreachable)?;
        *slot = Some(endpoint.clone());
        Ok(endpoint)
    }

    fn close(&self) -> Vec<Endpoint> {
        let mut endpoints = self.endpoints.lock();
        endpoints.closed = true;
        let open: Vec<Endpoint> = [endpoints.ipv4.take(), endpoints.ipv6.take()]
            .into_iter()
            .flatten()
            .collect();
        for endpoint in &open {
            endpoint.close(wire::CLOSING, b"the process stops");
        }
        open
    }
}

/// Rejects a peer whose certificate is not for the expected VM.
fn verify_vm(certificate: PeerCertificate, to: &PeerAddress) -> Result<PeerCertificate, PeerError> {
    let identity = certificate.identity();
    if identity.vm == to.vm {
        return Ok(certificate);
    }
    Err(PeerError::WrongPeer {
        found: identity.to_string(),
    })
}

/// Waits for the greeting, which the server sends after it has accepted this process's certificate.
///
/// The handshake ends earlier for the client than for the server. Without this wait, a call could
/// be sent on a connection that the server then refuses, and its delivery would be unknown.
async fn await_greeting(connection: &Connection) -> Result<(), PeerError> {
    let mut stream = connection
        .accept_uni()
        .await
        .map_err(|error| connect_error(&error))?;
    let greeting = stream
        .read_to_end(wire::GREETING.len())
        .await
        .map_err(unreachable)?;
    if greeting != wire::GREETING {
        return Err(PeerError::Rejected {
            reason: format!("the peer uses another version of the stream layout: {greeting:?}"),
        });
    }
    Ok(())
}

fn unreachable(error: impl std::fmt::Display) -> PeerError {
    PeerError::Unreachable {
        reason: error.to_string(),
    }
}

/// Distinguishes a rejected handshake from an unreachable peer.
fn connect_error(error: &ConnectionError) -> PeerError {
    // RFC 9001 section 4.8: TLS alerts are transport error codes from 0x100 to 0x1ff.
    const CRYPTO_ERRORS: std::ops::RangeInclusive<u64> = 0x100..=0x1ff;
    let rejected = match error {
        ConnectionError::TransportError(error) => CRYPTO_ERRORS.contains(&error.code.into()),
        ConnectionError::ConnectionClosed(close) => {
            CRYPTO_ERRORS.contains(&close.error_code.into())
        }
        ConnectionError::ApplicationClosed(close) => close.error_code == wire::NOT_ACCEPTED,
        ConnectionError::VersionMismatch => true,
        ConnectionError::Reset
        | ConnectionError::TimedOut
        | ConnectionError::LocallyClosed
        | ConnectionError::CidsExhausted => false,
    };
    let reason = error.to_string();
    if rejected {
        PeerError::Rejected { reason }
    } else {
        PeerError::Unreachable { reason }
    }
}

/// Connection state and message queue of one peer.
struct Link {
    to: PeerAddress,
    connector: Arc<Connector>,
    state: Mutex<LinkState>,
    /// Held during an attempt to connect, so that only one runs at a time.
    connecting: async_lock::Mutex<()>,
    queue: Mutex<SendQueue>,
}

enum LinkState {
    Idle,
    Open(OpenConnection),
    Failed {
        /// Keys of the failed attempt. After they are replaced, the backoff no longer applies.
        keys: Arc<Keys>,
        error: PeerError,
        at: Timestamp,
        backoff: Millis,
    },
}

impl Link {
    fn new(to: PeerAddress, connector: Arc<Connector>) -> Self {
        let options = &connector.options;
        let queue = SendQueue::new(options.queued_messages, options.queued_bytes);
        Self {
            to,
            connector,
            state: Mutex::new(LinkState::Idle),
            connecting: async_lock::Mutex::new(()),
            queue: Mutex::new(queue),
        }
    }

    /// The open connection, or the last error during the backoff; `None` if a new attempt is due.
    fn known_state(&self) -> Option<Result<Connection, PeerError>> {
        let now = self.connector.options.clock.now();
        match &*self.state.lock() {
            LinkState::Open(open) => {
                let ring = &self.connector.keys;
                let is_usable = open.connection.close_reason().is_none()
                    && Arc::ptr_eq(&open.keys, &ring.current())
                    && open.certificate.check(ring, now).is_ok();
                is_usable.then(|| Ok(open.connection.clone()))
            }
            LinkState::Failed {
                keys,
                error,
                at,
                backoff,
            } => {
                let has_same_keys = Arc::ptr_eq(keys, &self.connector.keys.current());
                // A clock that was set back must not prolong the backoff.
                let is_backing_off = has_same_keys && now >= *at && now.since(*at) < *backoff;
                is_backing_off.then(|| Err(error.clone()))
            }
            LinkState::Idle => None,
        }
    }

    /// Returns the open connection or opens a new one.
    ///
    /// The attempt to connect runs in its own task, so a call with a short timeout doesn't cancel
    /// it for the other calls.
    async fn connection(self: &Arc<Self>) -> Result<Connection, PeerError> {
        if let Some(known) = self.known_state() {
            return known;
        }
        task::spawn(Arc::clone(self).connect()).await
    }

    async fn connect(self: Arc<Self>) -> Result<Connection, PeerError> {
        let _connecting_guard = self.connecting.lock().await;
        if let Some(known) = self.known_state() {
            return known;
        }
        let options = &self.connector.options;
        let started_at = options.clock.now();
        let keys = self.connector.keys.current();
        let timeout = options.clock.sleep(options.connect_timeout);
        let attempt = future::or(self.connector.connect(&self.to), async {
            timeout.await;
            Err(unreachable("the attempt to connect timed out"))
        });
        match attempt.await {
            Ok(open) => {
                Event::Connected {
                    to: &self.to,
                    duration: options.clock.now().since(started_at),
                }
                .report(&*options.observer);
                let connection = open.connection.clone();
                *self.state.lock() = LinkState::Open(open);
                Ok(connection)
            }
            Err(error) => {
                self.record_failure(keys, &error);
                Err(error)
            }
        }
    }

    fn record_failure(&self, keys: Arc<Keys>, error: &PeerError) {
        let options = &self.connector.options;
        let mut state = self.state.lock();
        let (backoff, repeated) = match &*state {
            LinkState::Failed { backoff, .. } => {
                let doubled = Millis(backoff.0.saturating_mul(2));
                (doubled.min(options.max_backoff), true)
            }
            LinkState::Idle | LinkState::Open(_) => (options.initial_backoff, false),
        };
        *state = LinkState::Failed {
            keys,
            error: error.clone(),
            at: options.clock.now(),
            backoff,
        };
        drop(state);
        Event::ConnectFailed {
            to: &self.to,
            error,
            backoff,
            repeated,
        }
        .report(&*options.observer);
    }

    async fn call(
        self: &Arc<Self>,
        body: Vec<u8>,
        phase: &CallPhase,
    ) -> Result<Vec<u8>, PeerError> {
        let mut connection = self.connection().await?;
        phase.enter(CallPhase::WAITING_FOR_STREAM);
        let streams = if let Ok(streams) = connection.open_bi().await {
            streams
        } else {
            // The connection was lost before the call was sent, so a retry is safe.
            phase.enter(CallPhase::CONNECTING);
            connection = self.connection().await?;
            phase.enter(CallPhase::WAITING_FOR_STREAM);
            connection.open_bi().await.map_err(unreachable)?
        };
        phase.enter(CallPhase::SENT);
        let (mut send, mut recv) = streams;
        let size = ByteSize(body.len() as u64);
        write_call(&mut send, body).await?;
        let limit = self.connector.options.message_limit;
        read_reply(&mut recv, limit)
            .await
            .map_err(|error| reply_error(error, size))
    }

    fn next_message(&self) -> Option<Vec<u8>> {
        self.queue.lock().pop()
    }

    /// Writes a message to the stream of one-way messages, which is opened once per connection.
    /// `stream` holds the id of the connection and its stream.
    async fn send_message(
        self: &Arc<Self>,
        stream: &mut Option<(usize, SendStream)>,
        message: Vec<u8>,
    ) -> Result<(), PeerError> {
        let connection = self.connection().await?;
        let current = match stream.take() {
            Some((id, open)) if id == connection.stable_id() => open,
            _ => open_message_stream(&connection).await?,
        };
        let (_, current) = stream.insert((connection.stable_id(), current));
        wire::write_frame(current, message)
            .await
            .map_err(connection_lost)
    }
}

/// Opens the stream of one-way messages, with a higher priority than the streams of calls.
async fn open_message_stream(connection: &Connection) -> Result<SendStream, PeerError> {
    const PRIORITY_ABOVE_CALLS: i32 = 1;
    let stream = connection.open_uni().await.map_err(unreachable)?;
    stream
        .set_priority(PRIORITY_ABOVE_CALLS)
        .map_err(unreachable)?;
    Ok(stream)
}

async fn write_call(send: &mut SendStream, body: Vec<u8>) -> Result<(), PeerError> {
    match wire::write_frame(send, body).await {
        Ok(()) => {
            // `finish` fails only for a stream that is already finished or reset.
            let _ = send.finish();
            Ok(())
        }
        // The peer answered or refused the call without reading to the end; the reply tells which.
        Err(WriteError::Stopped(_)) => Ok(()),
        Err(error) => Err(connection_lost(error)),
    }
}

async fn read_reply(recv: &mut RecvStream, limit: ByteSize) -> Result<Vec<u8>, FrameError> {
    let length = wire::read_length(recv, limit)
        .await?
        .ok_or(FrameError::Incomplete)?;
    wire::read_last_body(recv, length).await
}

fn reply_error(error: FrameError, size: ByteSize) -> PeerError {
    match error {
        FrameError::TooLarge | FrameError::Reset(wire::REPLY_TOO_LARGE) => PeerError::ReplyTooLarge,
        FrameError::Reset(wire::NO_REPLY) => PeerError::NoReply,
        FrameError::Reset(wire::TOO_LARGE) => PeerError::TooLarge { size },
        FrameError::Reset(wire::OVERLOADED) => PeerError::Overloaded,
        FrameError::Reset(wire::STOPPING) => PeerError::Stopping,
        FrameError::Reset(code) => connection_lost(format!("the reply was reset, code {code}")),
        FrameError::Incomplete => connection_lost("the reply broke off"),
        FrameError::Lost(error) => connection_lost(error),
    }
}

fn connection_lost(error: impl std::fmt::Display) -> PeerError {
    PeerError::ConnectionLost {
        reason: error.to_string(),
    }
}

/// Sends the queued messages of a link until its wake-up channel is closed.
async fn send_messages(link: Arc<Link>, wake_ups: Receiver<()>) {
    let mut stream = None;
    while wake_ups.recv().await.is_ok() {
        while let Some(message) = link.next_message() {
            if link.send_message(&mut stream, message).await.is_ok() {
                continue;
            }
            stream = None;
            // The messages that were queued during the failed attempt are outdated by now.
            let dropped = 1 + link.queue.lock().clear();
            link.connector
                .report_dropped(&link.to, dropped, DropReason::SendFailed);
        }
    }
}
