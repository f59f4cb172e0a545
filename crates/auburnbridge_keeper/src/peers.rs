//! Communication with other processes, either over mutual TLS or unprotected.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use auburnbridge_messages::MESSAGE_LIMIT;
use auburnbridge_peer::keys::KeyRing;
use auburnbridge_peer::plain::{PlainServer, PlainTransport};
use auburnbridge_peer::{
    Handler, Options, PeerIdentity, PeerServer, PeerTransport, Role, Transport,
};
use auburnbridge_types::{Clock, Millis};
use error_stack::{Report, ResultExt};

use crate::run::{KeeperError, KeeperOptions};

/// Longest wait for a connection to another process. A VM that is switched off sends no refusal.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// First and longest wait between attempts to connect. After a complete power loss, the longest wait
/// bounds how soon the group can form again.
const INITIAL_BACKOFF: Millis = Millis(20);
const MAX_BACKOFF: Millis = Millis(200);

/// How messages between processes are protected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerSecurity {
    /// Mutual TLS with the certificate and private key in this folder.
    MutualTls(PathBuf),
    /// Neither authenticated nor encrypted.
    Unprotected,
}

/// A running server for other processes.
pub(crate) enum RunningServer {
    MutualTls(PeerServer),
    Plain(PlainServer),
}

impl RunningServer {
    pub(crate) fn address(&self) -> SocketAddr {
        match self {
            Self::MutualTls(server) => server.address(),
            Self::Plain(server) => server.address(),
        }
    }

    pub(crate) async fn close(self) {
        match self {
            Self::MutualTls(server) => server.close().await,
            Self::Plain(server) => server.close().await,
        }
    }
}

/// Keys of the process, if it has any, and the transport to other processes.
pub(crate) struct PeerSetup {
    pub(crate) keys: Option<Arc<KeyRing>>,
    options: Options,
    pub(crate) transport: Arc<dyn Transport>,
}

impl PeerSetup {
    pub(crate) fn new(
        options: &KeeperOptions,
        clock: &Arc<dyn Clock>,
    ) -> Result<Self, Report<KeeperError>> {
        let peer_options = Options::builder()
            .message_limit(MESSAGE_LIMIT)
            .clock(Arc::clone(clock))
            .connect_timeout(CONNECT_TIMEOUT)
            .initial_backoff(INITIAL_BACKOFF)
            .max_backoff(MAX_BACKOFF)
            .build();
        Ok(match &options.security {
            PeerSecurity::MutualTls(folder) => {
                let keys = KeyRing::load(folder, clock.now()).change_context(KeeperError)?;
                Self {
                    transport: Arc::new(PeerTransport::new(
                        Arc::clone(&keys),
                        peer_options.clone(),
                    )),
                    keys: Some(keys),
                    options: peer_options,
                }
            }
            PeerSecurity::Unprotected => {
                let identity = PeerIdentity {
                    vm: options.vm.clone(),
                    role: Role::Keeper,
                };
                Self {
                    transport: Arc::new(PlainTransport::new(identity, peer_options.clone())),
                    keys: None,
                    options: peer_options,
                }
            }
        })
    }

    pub(crate) async fn serve(
        &self,
        address: SocketAddr,
        handler: Arc<dyn Handler>,
    ) -> Result<RunningServer, Report<KeeperError>> {
        let options = self.options.clone();
        match &self.keys {
            Some(keys) => PeerServer::bind(address, Arc::clone(keys), handler, options)
                .map(RunningServer::MutualTls)
                .change_context(KeeperError),
            None => PlainServer::bind(address, handler, options)
                .await
                .map(RunningServer::Plain)
                .change_context(KeeperError)
                .attach_with(|| format!("can't listen on TCP {address}")),
        }
    }
}
