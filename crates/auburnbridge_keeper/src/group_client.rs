//! Puts commands and reads to the keeper that leads, from any keeper.

use std::sync::Arc;

use auburnbridge_config::VersionedDocument;
use auburnbridge_membership::Announcement;
use auburnbridge_messages::{self as messages, Reply, Request};
use auburnbridge_peer::Transport;
use auburnbridge_types::{Clock, Millis, VmId};
use futures_lite::FutureExt;
use log::debug;
use strum::{Display, IntoStaticStr};

use crate::directory::Directory;
use crate::server::KeeperServer;
use crate::state::StateCommand;

/// Wait before another try while no leader is known; an election takes about a second.
const NO_LEADER_WAIT: Millis = Millis(60);
/// Longest wait for the leader's reply to one try.
const TRY_TIMEOUT: Millis = Millis(700);

/// Why an order or a read got no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Unavailable {
    /// No keeper that leads answered in time; an order may still take effect.
    NoLeader,
}

/// Client of the group for the process of one keeper.
pub struct GroupClient {
    pub(crate) own: VmId,
    pub(crate) server: Arc<KeeperServer>,
    pub(crate) directory: Directory,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl GroupClient {
    /// Puts a document in force. Sending it again is harmless, since its version decides.
    pub async fn publish(
        &self,
        order: VersionedDocument,
        limit: Millis,
    ) -> Result<(), Unavailable> {
        let local = || StateCommand::Publish(order.clone());
        let request = Request::Publish(order.clone());
        match self.submit(local, &request, limit).await? {
            Reply::Published(_) => Ok(()),
            _ => Err(Unavailable::NoLeader),
        }
    }

    /// Records a departure. Recording it again is harmless.
    pub async fn depart(&self, target: Announcement, limit: Millis) -> Result<(), Unavailable> {
        let local = || StateCommand::Depart(target.clone());
        let request = Request::Depart(target.clone());
        match self.submit(local, &request, limit).await? {
            Reply::Done => Ok(()),
            _ => Err(Unavailable::NoLeader),
        }
    }

    /// The document that is in force, newer than any acknowledgement before the call.
    pub async fn read(&self, limit: Millis) -> Result<Option<VersionedDocument>, Unavailable> {
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
                self.clock.sleep(NO_LEADER_WAIT).await;
            }
        };
        reading.or(self.expire(limit)).await
    }

    async fn submit(
        &self,
        local: impl Fn() -> StateCommand,
        request: &Request,
        limit: Millis,
    ) -> Result<Reply, Unavailable> {
        let submitting = async {
            loop {
                let reply = match self.server.propose(local()).await {
                    Reply::NotLeader { leader } => self.forward(leader, request).await,
                    reply => Some(reply),
                };
                match reply {
                    Some(reply @ (Reply::Published(_) | Reply::Done)) => return Ok(reply),
                    Some(_) | None => self.clock.sleep(NO_LEADER_WAIT).await,
                }
            }
        };
        submitting.or(self.expire(limit)).await
    }

    async fn expire<T>(&self, limit: Millis) -> Result<T, Unavailable> {
        self.clock.sleep(limit).await;
        Err(Unavailable::NoLeader)
    }

    async fn forward(&self, leader: Option<VmId>, request: &Request) -> Option<Reply> {
        let leader = leader.filter(|leader| *leader != self.own)?;
        let address = self.directory.find(&leader)?;
        messages::call(self.transport.as_ref(), &address, request, TRY_TIMEOUT)
            .await
            .inspect_err(|error| debug!("leader {leader} did not answer: {error}"))
            .ok()
    }
}
