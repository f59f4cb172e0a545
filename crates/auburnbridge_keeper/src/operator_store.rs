//! Connects the administration API to the log.

use std::sync::Arc;

use auburnbridge_config::{Edit, EditReply, HistoryEntry};
use auburnbridge_messages::{self as messages, Reply, Request};
use auburnbridge_operator::{ConfigStore, FleetStatus, RulesInForce, StoreError, TargetStatus};
use auburnbridge_peer::{Delivery, Transport};
use auburnbridge_types::{BoxFuture, Millis, VmId};
use log::debug;

use crate::core::{CoreHandle, Event};
use crate::directory::Directory;
use crate::server::KeeperServer;
use crate::state::StateCommand;

/// Time for an edit that another keeper leads: two syncs and a few rounds.
const FORWARD_TIMEOUT: Millis = Millis(3_000);
/// Forwards of one edit; the leader may change meanwhile.
const FORWARDS: usize = 4;

/// A keeper's state for the administration API.
pub struct OperatorStore {
    server: Arc<KeeperServer>,
    core: CoreHandle,
    directory: Directory,
    transport: Arc<dyn Transport>,
}

impl OperatorStore {
    /// Creates the store of one keeper.
    pub fn new(
        server: Arc<KeeperServer>,
        core: CoreHandle,
        directory: Directory,
        transport: Arc<dyn Transport>,
    ) -> Self {
        Self {
            server,
            core,
            directory,
            transport,
        }
    }

    /// Proposes here or at the leader. An edit has an id, so that sending it again is harmless.
    async fn submit_edit(&self, edit: Edit) -> Result<EditReply, StoreError> {
        let mut may_be_proposed = false;
        let mut reply = self.server.propose(StateCommand::Edit(edit.clone())).await;
        for _ in 0..FORWARDS {
            match reply {
                Reply::Edit(reply) => return Ok(reply),
                Reply::NotLeader {
                    leader: Some(leader),
                } => {
                    let (forwarded, was_sent) = self.forward(&leader, &edit).await;
                    may_be_proposed |= was_sent;
                    reply = forwarded;
                }
                Reply::LeadershipLost => return Err(StoreError::OutcomeUnknown),
                _ => break,
            }
        }
        if may_be_proposed {
            Err(StoreError::OutcomeUnknown)
        } else {
            Err(StoreError::Unavailable)
        }
    }

    /// The leader's reply, and whether the edit may be proposed there without a reply.
    async fn forward(&self, leader: &VmId, edit: &Edit) -> (Reply, bool) {
        let Some(address) = self.directory.find(leader) else {
            return (Reply::Refused, false);
        };
        let request = Request::Edit(edit.clone());
        let transport = self.transport.as_ref();
        match messages::call(transport, &address, &request, FORWARD_TIMEOUT).await {
            Ok(reply) => (reply, false),
            Err(error) => {
                debug!("the edit could not be forwarded to {leader}: {error}");
                (Reply::Refused, error.delivery() != Delivery::NotReceived)
            }
        }
    }

    async fn fleet_status(&self) -> Result<FleetStatus, StoreError> {
        let report = self
            .core
            .ask(|reply| Event::Report { reply })
            .await
            .ok_or(StoreError::Unavailable)?;
        Ok(FleetStatus {
            revision: report.revision,
            vms: self.server.entries(),
        })
    }
}

impl ConfigStore for OperatorStore {
    fn rules(&self) -> BoxFuture<'_, Result<RulesInForce, StoreError>> {
        Box::pin(async {
            self.core
                .ask(|reply| Event::RulesInForce { reply })
                .await
                .map(|(revision, rules)| RulesInForce { revision, rules })
                .ok_or(StoreError::Unavailable)
        })
    }

    fn history(&self) -> BoxFuture<'_, Result<Vec<HistoryEntry>, StoreError>> {
        Box::pin(async {
            self.core
                .ask(|reply| Event::History { reply })
                .await
                .ok_or(StoreError::Unavailable)
        })
    }

    fn status(&self) -> BoxFuture<'_, Result<FleetStatus, StoreError>> {
        Box::pin(self.fleet_status())
    }

    /// Targets announce themselves to entries; a keeper knows none.
    fn targets(&self) -> BoxFuture<'_, Result<Vec<TargetStatus>, StoreError>> {
        Box::pin(async { Err(StoreError::Unavailable) })
    }

    fn submit(&self, edit: Edit) -> BoxFuture<'_, Result<EditReply, StoreError>> {
        Box::pin(self.submit_edit(edit))
    }
}
