//! Sends commands and reads to the leader of the group, from any keeper.

use std::sync::Arc;

use auburnbridge_config::VersionedDocument;
use auburnbridge_membership::Announcement;
use auburnbridge_messages::{self as messages, Reply, Request};
use auburnbridge_peer::Transport;
use auburnbridge_types::{Clock, Millis, VmId};
use futures_lite::FutureExt;
use log::debug;
use strum::{Display, IntoStaticStr};

use crate::directory::PeerDirectory;
use crate::server::KeeperServer;
use crate::state::StateCommand;

/// Wait between attempts while no leader is known; an election takes about a second.
const RETRY_INTERVAL: Millis = Millis(60);
/// Longest wait for the leader's reply to one attempt.
const ATTEMPT_TIMEOUT: Millis = Millis(700);

/// Reason why a command or a read got no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Unavailable {
    /// No leader replied in time; a command may still take effect.
    NoLeader,
}

/// Client of the group that one keeper's process uses.
pub struct GroupClient {
    pub(crate) own_vm: VmId,
    pub(crate) server: Arc<KeeperServer>,
    pub(crate) directory: PeerDirectory,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl GroupClient {
    /// Publishes a document. Repeating the call is harmless, since only a higher version
    /// replaces the document.
    pub async fn publish(
        &self,
        publish: VersionedDocument,
        timeout: Millis,
    ) -> Result<(), Unavailable> {
        let command = || StateCommand::Publish(publish.clone());
        let request = Request::Publish(publish.clone());
        match self.submit(command, &request, timeout).await? {
            Reply::Published(_) => Ok(()),
            _ => Err(Unavailable::NoLeader),
        }
    }

    /// Records a departure. Repeating the call is harmless.
    pub async fn depart(&self, target: Announcement, timeout: Millis) -> Result<(), Unavailable> {
        let command = || StateCommand::Depart(target.clone());
        let request = Request::Depart(target.clone());
        match self.submit(command, &request, timeout).await? {
            Reply::Done => Ok(()),
            _ => Err(Unavailable::NoLeader),
        }
    }

    /// Reads the published document. The result reflects every publication that was acknowledged
    /// before the call.
    pub async fn read(&self, timeout: Millis) -> Result<Option<VersionedDocument>, Unavailable> {
        let reading = async {
            loop {
                let reply = match self.server.read_published().await {
                    Reply::NotLeader { leader } => {
                        self.forward(leader, &Request::ReadPublished).await
                    }
                    reply => Some(reply),
                };
                if let Some(Reply::Document(document)) = reply {
                    return Ok(document);
                }
                self.clock.sleep(RETRY_INTERVAL).await;
            }
        };
        reading.or(self.time_out(timeout)).await
    }

    async fn submit(
        &self,
        command: impl Fn() -> StateCommand,
        request: &Request,
        timeout: Millis,
    ) -> Result<Reply, Unavailable> {
        let submitting = async {
            loop {
                let reply = match self.server.propose(command()).await {
                    Reply::NotLeader { leader } => self.forward(leader, request).await,
                    reply => Some(reply),
                };
                match reply {
                    Some(reply @ (Reply::Published(_) | Reply::Done)) => return Ok(reply),
                    Some(_) | None => self.clock.sleep(RETRY_INTERVAL).await,
                }
            }
        };
        submitting.or(self.time_out(timeout)).await
    }

    async fn time_out<T>(&self, timeout: Millis) -> Result<T, Unavailable> {
        self.clock.sleep(timeout).await;
        Err(Unavailable::NoLeader)
    }

    async fn forward(&self, leader: Option<VmId>, request: &Request) -> Option<Reply> {
        let leader = leader.filter(|leader| *leader != self.own_vm)?;
        let address = self.directory.find(&leader)?;
        messages::call(self.transport.as_ref(), &address, request, ATTEMPT_TIMEOUT)
            .await
            .inspect_err(|error| debug!("leader {leader} did not reply: {error}"))
            .ok()
    }
}
