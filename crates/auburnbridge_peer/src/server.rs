//! The receiving side: accepts connections from the fleet and passes bodies to a handler.

use std::convert::Infallible;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use auburnbridge_types::Millis;
use futures_lite::future;
use parking_lot::Mutex;
use quinn::{
    AsyncStdRuntime, Connection, ConnectionError, ConnectionId, ConnectionIdGenerator, Endpoint,
    EndpointConfig, Incoming, RecvStream, SendStream, ServerConfig, VarInt,
};
use ring::hmac;

use crate::budget::Budget;
use crate::certificate::PeerCertificate;
use crate::keys::{KeyRing, Keys};
use crate::options::Options;
use crate::wire::{self, FrameError};
use crate::{Event, Handler, OversizeKind, tls};

/// Reason why a peer server can't start.
#[derive(Debug)]
pub enum BindError {
    /// The address can't be bound.
    Address(SocketAddr, std::io::Error),
    /// The keys can't be used for TLS.
    Keys(String),
}

impl std::fmt::Display for BindError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Address(address, error) => write!(f, "can't listen on UDP {address}: {error}"),
            Self::Keys(reason) => write!(f, "can't use the keys for TLS: {reason}"),
        }
    }
}

impl std::error::Error for BindError {}

/// Listens for other processes of the fleet until it is closed or dropped.
pub struct PeerServer {
    endpoint: Endpoint,
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl PeerServer {
    /// Starts to listen on `address`.
    pub fn bind(
        address: SocketAddr,
        keys: Arc<KeyRing>,
        handler: Arc<dyn Handler>,
        options: Options,
    ) -> Result<Self, BindError> {
        let current = keys.current();
        let config = tls::server_config(&current, &options).map_err(BindError::Keys)?;
        let failed = |error| BindError::Address(address, error);
        let socket = UdpSocket::bind(address).map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let endpoint = Endpoint::new(
            endpoint_config(&current),
            Some(config.clone()),
            socket,
            Arc::new(AsyncStdRuntime),
        )
        .map_err(failed)?;
        let (running, finished) = async_channel::bounded(1);
        let received = Budget::new(options.received_bytes);
        let shared = Arc::new(Shared {
            keys,
            handler,
            options,
            config: Mutex::new((current, config)),
            received,
            running: Mutex::new(Some(running)),
            finished,
        });
        task::spawn(accept_connections(endpoint.clone(), Arc::clone(&shared)));
        Ok(Self {
            endpoint,
            address,
            shared,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new calls, waits at most `limit` for the running ones and then closes.
    ///
    /// A refused client learns for certain that its call was not handled. Returns whether all
    /// running calls were answered.
    pub async fn stop(self, limit: Millis) -> bool {
        let timeout = self.shared.options.clock.sleep(limit);
        let finished = self.shared.finish_calls();
        let all_answered = future::or(
            async {
                finished.await;
                true
            },
            async {
                timeout.await;
                false
            },
        )
        .await;
        self.close().await;
        all_answered
    }

    /// Closes all connections at once and waits until the other sides were told.
    pub async fn close(self) {
        self.endpoint.close(wire::CLOSING, b"the process stops");
        self.endpoint.wait_idle().await;
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.endpoint.close(wire::CLOSING, b"the process stops");
    }
}

struct Shared {
    keys: Arc<KeyRing>,
    handler: Arc<dyn Handler>,
    options: Options,
    /// TLS configuration made from these keys.
    config: Mutex<(Arc<Keys>, ServerConfig)>,
    /// Memory for the calls that are not answered yet.
    received: Arc<Budget>,
    /// Cloned into each running call; `None` once the server takes no more calls.
    running: Mutex<Option<Sender<Infallible>>>,
    /// Closed when no call runs any more.
    finished: Receiver<Infallible>,
}

impl Shared {
    /// A token of a running call, or `None` when the server is stopping.
    fn begin_call(&self) -> Option<Sender<Infallible>> {
        self.running.lock().clone()
    }

    /// Refuses new calls; the future ends with the last running one.
    fn finish_calls(&self) -> impl Future<Output = ()> + use<> {
        drop(self.running.lock().take());
        let finished = self.finished.clone();
        async move {
            // Nothing is ever sent, so this ends when the last token is dropped.
            let _ = finished.recv().await;
        }
    }

    fn report_refused(&self, address: SocketAddr, reason: &str) {
        Event::ClientRefused { address, reason }.report(&*self.options.observer);
    }

    /// The configuration for the keys in force, made anew after they were replaced.
    fn current_config(&self) -> Result<(Arc<Keys>, ServerConfig), String> {
        let current = self.keys.current();
        let mut config = self.config.lock();
        if !Arc::ptr_eq(&config.0, &current) {
            let made = tls::server_config(&current, &self.options)?;
            *config = (current, made);
        }
        Ok(config.clone())
    }
}

/// Settings that stay the same over restarts with the same key.
///
/// A process that restarts gets packets of connections that it no longer knows. With the same reset
/// key it answers them with a stateless reset; otherwise its peers would notice the restart only
/// after the idle timeout, 3 s by default.
fn endpoint_config(keys: &Keys) -> EndpointConfig {
    let secret = hmac::Key::new(hmac::HMAC_SHA256, keys.key.secret_der());
    let derived = hmac::sign(&secret, b"stateless reset");
    let reset_key = hmac::Key::new(hmac::HMAC_SHA256, derived.as_ref());
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    config.cid_generator(|| Box::new(RandomConnectionIds));
    config
}

/// Connection ids without a mark of the process; the default ones carry a mark that changes with
/// each start, and packets without it are dropped instead of answered with a reset.
#[derive(Debug)]
struct RandomConnectionIds;

const CONNECTION_ID_BYTES: usize = 8;

impl ConnectionIdGenerator for RandomConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::random::<[u8; CONNECTION_ID_BYTES]>())
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

async fn accept_connections(endpoint: Endpoint, shared: Arc<Shared>) {
    let limit = shared.options.connection_limit;
    while let Some(incoming) = endpoint.accept().await {
        let open = endpoint.open_connections();
        if open >= limit {
            shared.report_refused(incoming.remote_address(), "too many connections");
            incoming.refuse();
            continue;
        }
        // Handshakes from forged addresses could fill the table, so once it is half full, a client
        // first proves that it receives packets at its address.
        if open >= limit / 2 && !incoming.remote_address_validated() {
            // It fails only for a validated address.
            let _ = incoming.retry();
            continue;
        }
        task::spawn(serve_connection(incoming, Arc::clone(&shared)));
    }
}

async fn serve_connection(incoming: Incoming, shared: Arc<Shared>) {
    let address = incoming.remote_address();
    let client = match accept_client(incoming, Arc::clone(&shared)).await {
        Ok(client) => Arc::new(client),
        Err(reason) => {
            shared.report_refused(address, &reason);
            return;
        }
    };
    let from = client.certificate.identity();
    Event::ClientAccepted { from, address }.report(&*shared.options.observer);
    future::zip(accept_calls(&client), accept_messages(&client)).await;
    Event::ClientClosed { from, address }.report(&*shared.options.observer);
}

/// A connected client.
struct Client {
    connection: Connection,
    certificate: PeerCertificate,
    shared: Arc<Shared>,
}

async fn accept_client(incoming: Incoming, shared: Arc<Shared>) -> Result<Client, String> {
    let (keys, config) = shared.current_config()?;
    let connection = incoming
        .accept_with(Arc::new(config))
        .map_err(|error| error.to_string())?
        .await
        .map_err(|error| error.to_string())?;
    let now = shared.options.clock.now();
    let certificate = PeerCertificate::of(&connection, keys, now)
        .inspect_err(|reason| connection.close(wire::NOT_ACCEPTED, reason.as_bytes()))?;
    greet(&connection)
        .await
        .map_err(|error| error.to_string())?;
    Ok(Client {
        connection,
        certificate,
        shared,
    })
}

/// Tells the client that its certificate was accepted.
async fn greet(connection: &Connection) -> Result<(), ConnectionError> {
    let mut stream = connection.open_uni().await?;
    // A failed write means that the connection is lost, which the next accept reports.
    let _ = stream.write_all(&wire::GREETING).await;
    let _ = stream.finish();
    Ok(())
}

impl Client {
    /// Closes the connection when the certificate is no longer valid or its authority no longer
    /// trusted.
    fn is_still_accepted(&self) -> bool {
        let now = self.shared.options.clock.now();
        let Err(error) = self.certificate.check(&self.shared.keys, now) else {
            return true;
        };
        let reason = error.to_string();
        self.shared
            .report_refused(self.connection.remote_address(), &reason);
        self.connection.close(wire::NOT_ACCEPTED, reason.as_bytes());
        false
    }

    fn report_oversize(&self, kind: OversizeKind) {
        let from = self.certificate.identity();
        Event::OversizeDropped { from, kind }.report(&*self.shared.options.observer);
    }
}

async fn accept_calls(client: &Arc<Client>) {
    while let Ok((send, recv)) = client.connection.accept_bi().await {
        if !client.is_still_accepted() {
            return;
        }
        task::spawn(serve_call(Arc::clone(client), send, recv));
    }
}

async fn serve_call(client: Arc<Client>, mut send: SendStream, mut recv: RecvStream) {
    let limit = client.shared.options.message_limit;
    let length = match wire::read_length(&mut recv, limit).await {
        Ok(Some(length)) => length,
        Err(FrameError::TooLarge) => {
            client.report_oversize(OversizeKind::Call);
            refuse_call(&mut send, &mut recv, wire::TOO_LARGE);
            return;
        }
        // The client has given up.
        Ok(None) | Err(FrameError::Incomplete | FrameError::Reset(_) | FrameError::Lost(_)) => {
            return;
        }
    };
    let Some(reservation) = client.shared.received.reserve(length) else {
        refuse_call(&mut send, &mut recv, wire::OVERLOADED);
        return;
    };
    let Ok(body) = wire::read_last_body(&mut recv, length).await else {
        return;
    };
    let Some(_running) = client.shared.begin_call() else {
        let _ = send.reset(wire::STOPPING);
        return;
    };
    let from = client.certificate.identity();
    let reply = client.shared.handler.handle(from, body).await;
    drop(reservation);
    let Some(reply) = reply else {
        let _ = send.reset(wire::NO_REPLY);
        return;
    };
    if reply.len() as u64 > limit.0 {
        client.report_oversize(OversizeKind::Reply);
        let _ = send.reset(wire::REPLY_TOO_LARGE);
        return;
    }
    // A failure means that the client has given up or that the connection is lost.
    if wire::write_frame(&mut send, reply).await.is_ok() && send.finish().is_ok() {
        // Ends once the client has the whole reply, so that a stop of the server waits for that.
        let _ = send.stopped().await;
    }
}

fn refuse_call(send: &mut SendStream, recv: &mut RecvStream, code: VarInt) {
    // Both fail only on a stream that has ended, whose client needs no answer.
    let _ = recv.stop(code);
    let _ = send.reset(code);
}

async fn accept_messages(client: &Arc<Client>) {
    while let Ok(recv) = client.connection.accept_uni().await {
        task::spawn(serve_messages(Arc::clone(client), recv));
    }
}

async fn serve_messages(client: Arc<Client>, mut recv: RecvStream) {
    loop {
        match read_message(&client, &mut recv).await {
            Ok(Some(body)) => {
                if !client.is_still_accepted() {
                    return;
                }
                let from = client.certificate.identity();
                client.shared.handler.handle(from, body).await;
            }
            Err(FrameError::TooLarge) => {
                client.report_oversize(OversizeKind::Message);
                let _ = recv.stop(wire::TOO_LARGE);
                return;
            }
            Ok(None) | Err(FrameError::Incomplete | FrameError::Reset(_) | FrameError::Lost(_)) => {
                return;
            }
        }
    }
}

async fn read_message(
    client: &Client,
    recv: &mut RecvStream,
) -> Result<Option<Vec<u8>>, FrameError> {
    let limit = client.shared.options.message_limit;
    let Some(length) = wire::read_length(recv, limit).await? else {
        return Ok(None);
    };
    wire::read_body(recv, length).await.map(Some)
}
