//! TLS and QUIC configuration of clients and servers.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use auburnbridge_types::{Clock, Timestamp};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::client::Resumption;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::UnixTime;
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls::time_provider::TimeProvider;

use crate::keys::Keys;
use crate::options::Options;

/// ALPN protocol name. Its number changes with the layout of the streams.
const PROTOCOL: &[u8] = b"auburnbridge-peer/1";

/// Assumed round-trip time of a new connection. With the library's default of 333 ms, a lost
/// handshake packet would be resent only after about a second, which is the default timeout of an
/// attempt to connect.
const INITIAL_RTT: Duration = Duration::from_millis(50);

pub(crate) fn provider() -> &'static Arc<CryptoProvider> {
    static PROVIDER: OnceLock<Arc<CryptoProvider>> = OnceLock::new();
    PROVIDER.get_or_init(|| Arc::new(rustls::crypto::ring::default_provider()))
}

/// Passes the transport's clock to rustls, for the validity of certificates.
struct TimeSource(Arc<dyn Clock>);

impl std::fmt::Debug for TimeSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TimeSource")
    }
}

impl TimeProvider for TimeSource {
    fn current_time(&self) -> Option<UnixTime> {
        Some(unix_time(self.0.now()))
    }
}

fn time_source(options: &Options) -> Arc<dyn TimeProvider> {
    Arc::new(TimeSource(Arc::clone(&options.clock)))
}

pub(crate) fn unix_time(time: Timestamp) -> UnixTime {
    UnixTime::since_unix_epoch(Duration::from_millis(time.0))
}

/// Configuration of outgoing connections.
///
/// Session resumption is disabled, because a resumed session skips the verification of
/// certificates.
pub(crate) fn client_config(keys: &Keys, options: &Options) -> Result<ClientConfig, String> {
    let mut tls =
        rustls::ClientConfig::builder_with_details(Arc::clone(provider()), time_source(options))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| error.to_string())?
            .with_root_certificates(Arc::clone(&keys.authorities))
            .with_client_auth_cert(keys.chain.clone(), keys.key.clone_key())
            .map_err(|error| error.to_string())?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    tls.resumption = Resumption::disabled();
    let crypto = QuicClientConfig::try_from(tls).map_err(|error| error.to_string())?;
    let mut transport = transport_config(options);
    transport
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .keep_alive_interval(Some(Duration::from_millis(options.keep_alive_interval.0)));
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

/// Configuration of incoming connections.
pub(crate) fn server_config(keys: &Keys, options: &Options) -> Result<ServerConfig, String> {
    let verifier = WebPkiClientVerifier::builder_with_provider(
        Arc::clone(&keys.authorities),
        Arc::clone(provider()),
    )
    .build()
    .map_err(|error| error.to_string())?;
    let mut tls =
        rustls::ServerConfig::builder_with_details(Arc::clone(provider()), time_source(options))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| error.to_string())?
            .with_client_cert_verifier(verifier)
            .with_single_cert(keys.chain.clone(), keys.key.clone_key())
            .map_err(|error| error.to_string())?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    tls.session_storage = Arc::new(NoServerSessionStorage {});
    tls.send_tls13_tickets = 0;
    let crypto = QuicServerConfig::try_from(tls).map_err(|error| error.to_string())?;
    let mut transport = transport_config(options);
    transport.max_concurrent_bidi_streams(VarInt::from_u32(options.concurrent_calls));
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config
        .transport_config(Arc::new(transport))
        .migration(false);
    Ok(config)
}

fn transport_config(options: &Options) -> TransportConfig {
    let mut transport = TransportConfig::default();
    let idle_timeout = VarInt::from_u64(options.idle_timeout.0).unwrap_or(VarInt::MAX);
    transport
        // A client needs one stream for its one-way messages and a second one while it reopens the
        // first. A server needs one for its greeting.
        .max_concurrent_uni_streams(VarInt::from_u32(2))
        .initial_rtt(INITIAL_RTT)
        .max_idle_timeout(Some(IdleTimeout::from(idle_timeout)))
        .datagram_receive_buffer_size(None);
    transport
}
