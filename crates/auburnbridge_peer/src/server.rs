//! The receiving side: accepts connections from the fleet and passes bodies to a handler.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_std::task;
use auburnbridge_types::Timestamp;
use futures_lite::future;
use log::{debug, warn};
use parking_lot::Mutex;
use quinn::{
    AsyncStdRuntime, Connection, ConnectionError, Endpoint, EndpointConfig, Incoming, RecvStream,
    SendStream, ServerConfig,
};
use rustls::pki_types::CertificateDer;

use crate::keys::{KeyRing, Keys};
use crate::options::Options;
use crate::wire::{self, FrameError};
use crate::{Handler, PeerIdentity, tls};

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
            EndpointConfig::default(),
            Some(config.clone()),
            socket,
            Arc::new(AsyncStdRuntime),
        )
        .map_err(failed)?;
        let shared = Arc::new(Shared {
            keys,
            handler,
            options,
            config: Mutex::new((current, config)),
        });
        task::spawn(accept_connections(endpoint.clone(), shared));
        Ok(Self { endpoint, address })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and waits until the other sides were told.
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
}

impl Shared {
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

async fn accept_connections(endpoint: Endpoint, shared: Arc<Shared>) {
    while let Some(incoming) = endpoint.accept().await {
        if endpoint.open_connections() > shared.options.connection_limit {
            warn!(
                "refused a connection from {}: too many",
                incoming.remote_address()
            );
            incoming.refuse();
            continue;
        }
        task::spawn(serve_connection(incoming, Arc::clone(&shared)));
    }
}

async fn serve_connection(incoming: Incoming, shared: Arc<Shared>) {
    let address = incoming.remote_address();
    let client = match accept_client(incoming, shared).await {
        Ok(client) => Arc::new(client),
        Err(reason) => {
            warn!("refused a connection from {address}: {reason}");
            return;
        }
    };
    debug!(
        "accepted a connection from {} at {address}",
        client.identity
    );
    future::zip(accept_calls(&client), accept_messages(&client)).await;
    debug!("the connection from {} at {address} ended", client.identity);
}

/// A connected client.
struct Client {
    connection: Connection,
    identity: PeerIdentity,
    chain: Vec<CertificateDer<'static>>,
    /// The keys and the time of the last check of the client's certificate.
    checked: Mutex<(Arc<Keys>, Timestamp)>,
    shared: Arc<Shared>,
}

async fn accept_client(incoming: Incoming, shared: Arc<Shared>) -> Result<Client, String> {
    let (keys, config) = shared.current_config()?;
    let connection = incoming
        .accept_with(Arc::new(config))
        .map_err(|error| error.to_string())?
        .await
        .map_err(|error| error.to_string())?;
    let chain = tls::peer_chain(&connection);
    let identity = chain
        .first()
        .ok_or_else(|| "no certificate".to_owned())
        .and_then(PeerIdentity::from_certificate)
        .inspect_err(|reason| connection.close(wire::NOT_ACCEPTED, reason.as_bytes()))?;
    greet(&connection)
        .await
        .map_err(|error| error.to_string())?;
    let checked = Mutex::new((keys, shared.options.clock.now()));
    Ok(Client {
        connection,
        identity,
        chain,
        checked,
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
        let keys = self.shared.keys.current();
        let mut checked = self.checked.lock();
        if Arc::ptr_eq(&checked.0, &keys) && !tls::check_is_due(checked.1, now) {
            return true;
        }
        if let Err(error) = keys.verify(&self.chain, now) {
            warn!("closing the connection from {}: {error}", self.identity);
            self.connection
                .close(wire::NOT_ACCEPTED, error.to_string().as_bytes());
            return false;
        }
        *checked = (keys, now);
        true
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
    let body = match wire::read_single_frame(&mut recv, limit).await {
        Ok(body) => body,
        Err(FrameError::TooLarge) => {
            warn!("dropped a call over {limit} from {}", client.identity);
            let _ = recv.stop(wire::TOO_LARGE);
            let _ = send.reset(wire::TOO_LARGE);
            return;
        }
        // The client has given up.
        Err(FrameError::Incomplete | FrameError::Reset(_) | FrameError::Lost(_)) => return,
    };
    let reply = client.shared.handler.handle(&client.identity, body).await;
    let Some(reply) = reply else {
        let _ = send.reset(wire::NO_REPLY);
        return;
    };
    if reply.len() as u64 > limit.0 {
        warn!(
            "a reply of {} bytes to {} is over {limit}",
            reply.len(),
            client.identity
        );
        let _ = send.reset(wire::REPLY_TOO_LARGE);
        return;
    }
    if let Err(error) = wire::write_frame(&mut send, &reply).await {
        debug!("a reply to {} was not sent: {error}", client.identity);
        return;
    }
    let _ = send.finish();
}

async fn accept_messages(client: &Arc<Client>) {
    while let Ok(recv) = client.connection.accept_uni().await {
        task::spawn(serve_messages(Arc::clone(client), recv));
    }
}

async fn serve_messages(client: Arc<Client>, mut recv: RecvStream) {
    let limit = client.shared.options.message_limit;
    loop {
        match wire::read_next_frame(&mut recv, limit).await {
            Ok(Some(body)) => {
                if !client.is_still_accepted() {
                    return;
                }
                client.shared.handler.handle(&client.identity, body).await;
            }
            Err(FrameError::TooLarge) => {
                warn!("dropped a message over {limit} from {}", client.identity);
                let _ = recv.stop(wire::TOO_LARGE);
                return;
            }
            Ok(None) | Err(FrameError::Incomplete | FrameError::Reset(_) | FrameError::Lost(_)) => {
                return;
            }
        }
    }
}
