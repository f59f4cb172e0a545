//! Server side: accepts connections from the fleet and passes calls and messages to a handler.

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

/// Error of starting a peer server.
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

/// Serves other processes of the fleet until it is closed or dropped.
pub struct PeerServer {
    endpoint: Endpoint,
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl PeerServer {
    /// Binds the UDP address and starts to accept connections.
    pub fn bind(
        address: SocketAddr,
        keys: Arc<KeyRing>,
        handler: Arc<dyn Handler>,
        options: Options,
    ) -> Result<Self, BindError> {
        let current = keys.current();
        let config = tls::server_config(&current, &options).map_err(BindError::Keys)?;
        let bind_error = |error| BindError::Address(address, error);
        let socket = UdpSocket::bind(address).map_err(bind_error)?;
        let address = socket.local_addr().map_err(bind_error)?;
        let endpoint = Endpoint::new(
            endpoint_config(&current),
            Some(config.clone()),
            socket,
            Arc::new(AsyncStdRuntime),
        )
        .map_err(bind_error)?;
        let (call_token, all_ended) = async_channel::bounded(1);
        let call_memory = Budget::new(options.call_memory_limit);
        let shared = Arc::new(Shared {
            keys,
            handler,
            options,
            config: Mutex::new((current, config)),
            call_memory,
            call_token: Mutex::new(Some(call_token)),
            all_ended,
        });
        task::spawn(accept_connections(endpoint.clone(), Arc::clone(&shared)));
        Ok(Self {
            endpoint,
            address,
            shared,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new calls, waits at most `limit` for the running ones and then closes. Returns
    /// whether all running calls were answered.
    ///
    /// The client of a refused call is told that the call was not handled.
    pub async fn stop(self, limit: Millis) -> bool {
        let timeout = self.shared.options.clock.sleep(limit);
        let all_ended = self.shared.refuse_new_calls();
        let all_answered = future::or(
            async {
                all_ended.await;
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

    /// Closes all connections at once and waits until the peers are notified.
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
    /// TLS configuration and the keys it was built from.
    config: Mutex<(Arc<Keys>, ServerConfig)>,
    /// Memory budget for the calls that are not handled yet.
    call_memory: Arc<Budget>,
    /// Cloned into each running call; `None` once the server is stopping.
    call_token: Mutex<Option<Sender<Infallible>>>,
    /// Closed when the server is stopping and the last call has ended.
    all_ended: Receiver<Infallible>,
}

impl Shared {
    /// Returns the token of a new call, or `None` if the server is stopping.
    fn begin_call(&self) -> Option<Sender<Infallible>> {
        self.call_token.lock().clone()
    }

    /// Refuses new calls from now on and returns a future that completes when the last running call
    /// has ended.
    fn refuse_new_calls(&self) -> impl Future<Output = ()> + use<> {
        drop(self.call_token.lock().take());
        let all_ended = self.all_ended.clone();
        async move {
            // Nothing is ever sent, so `recv` returns when the last token is dropped.
            let _ = all_ended.recv().await;
        }
    }

    fn report_refused(&self, address: SocketAddr, reason: &str) {
        Event::ClientRefused { address, reason }.report(&*self.options.observer);
    }

    /// Returns the configuration for the current keys, rebuilt after the keys were replaced.
    fn current_config(&self) -> Result<(Arc<Keys>, ServerConfig), String> {
        let current = self.keys.current();
        let mut config = self.config.lock();
        if !Arc::ptr_eq(&config.0, &current) {
            let built = tls::server_config(&current, &self.options)?;
            *config = (current, built);
        }
        Ok(config.clone())
    }
}

/// Endpoint configuration whose reset key is derived from the private key, so that it survives a
/// restart.
///
/// A restarted process receives packets of connections that it no longer knows. With the same reset
/// key it answers them with a stateless reset; otherwise its peers would detect the restart only
/// after the idle timeout, 3 s by default.
fn endpoint_config(keys: &Keys) -> EndpointConfig {
    let secret = hmac::Key::new(hmac::HMAC_SHA256, keys.key.secret_der());
    let derived = hmac::sign(&secret, b"stateless reset");
    let reset_key = hmac::Key::new(hmac::HMAC_SHA256, derived.as_ref());
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    config.cid_generator(|| Box::new(RandomConnectionIds));
    config
}

/// Generates random connection ids. The library's default ids have a tag that changes with each
/// start, and packets with another tag are dropped instead of answered with a stateless reset.
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
        // Handshakes from forged addresses could use up the connection limit. Once half of it is
        // used, a client must first prove that it receives packets at its address.
        if open >= limit / 2 && !incoming.remote_address_validated() {
            // `retry` fails only for a validated address.
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
    let certificate = PeerCertificate::from_connection(&connection, keys, now)
        .inspect_err(|reason| connection.close(wire::NOT_ACCEPTED, reason.as_bytes()))?;
    send_greeting(&connection)
        .await
        .map_err(|error| error.to_string())?;
    Ok(Client {
        connection,
        certificate,
        shared,
    })
}

/// Sends the greeting, which tells the client that its certificate was accepted.
async fn send_greeting(connection: &Connection) -> Result<(), ConnectionError> {
    let mut stream = connection.open_uni().await?;
    // A failed write means that the connection is lost; the next accept on it fails then.
    let _ = stream.write_all(&wire::GREETING).await;
    let _ = stream.finish();
    Ok(())
}

impl Client {
    /// Checks the client's certificate again. If it is no longer valid or its authority no longer
    /// trusted, closes the connection and returns `false`.
    fn recheck_certificate(&self) -> bool {
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
        if !client.recheck_certificate() {
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
        // The client has cancelled the call, or the connection is lost.
        Ok(None) | Err(FrameError::Incomplete | FrameError::Reset(_) | FrameError::Lost(_)) => {
            return;
        }
    };
    let Some(reservation) = client.shared.call_memory.reserve(length) else {
        refuse_call(&mut send, &mut recv, wire::OVERLOADED);
        return;
    };
    let Ok(body) = wire::read_last_body(&mut recv, length).await else {
        return;
    };
    let Some(_call_token) = client.shared.begin_call() else {
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
    // A failure means that the client has cancelled the call or that the connection is lost.
    if wire::write_frame(&mut send, reply).await.is_ok() && send.finish().is_ok() {
        // Waits until the client has received the whole reply, so that `PeerServer::stop` waits for
        // it too.
        let _ = send.stopped().await;
    }
}

fn refuse_call(send: &mut SendStream, recv: &mut RecvStream, code: VarInt) {
    // Both fail only for a stream that has ended, whose client expects no answer.
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
                if !client.recheck_certificate() {
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
