//! Connects the administration API to the replicated log.

use std::sync::Arc;

use auburnbridge_config::{Edit, EditReply, HistoryEntry};
use auburnbridge_messages::{self as messages, Reply, Request};
use auburnbridge_operator::{ConfigStore, CurrentRules, FleetStatus, StoreError, TargetStatus};
use auburnbridge_peer::{Delivery, Transport};
use auburnbridge_types::{BoxFuture, Millis, VmId};
use log::debug;

use crate::core::{CoreHandle, Event};
use crate::directory::PeerDirectory;
use crate::server::KeeperServer;
use crate::state::StateCommand;

/// Longest wait for the leader's reply to a forwarded edit: two syncs and a few round trips.
const FORWARD_TIMEOUT: Millis = Millis(3_000);
/// Maximum number of forwards of one edit; the leader may change meanwhile.
const MAX_FORWARDS: usize = 4;

/// Gives the administration API access to a keeper's rules and status.
pub struct OperatorStore {
    server: Arc<KeeperServer>,
    core: CoreHandle,
    directory: PeerDirectory,
    transport: Arc<dyn Transport>,
}

impl OperatorStore {
    /// Creates the store of one keeper; `directory` and `transport` reach the leader.
    pub fn new(
        server: Arc<KeeperServer>,
        core: CoreHandle,
        directory: PeerDirectory,
        transport: Arc<dyn Transport>,
    ) -> Self {
        Self {
            server,
            core,
            directory,
            transport,
        }
    }

    /// Proposes an edit here, or forwards it to the leader. An edit has an id, so resending it is
    /// harmless.
    async fn submit_edit(&self, edit: Edit) -> Result<EditReply, StoreError> {
        let mut may_be_proposed = false;
        let mut reply = self.server.propose(StateCommand::Edit(edit.clone())).await;
        for _ in 0..MAX_FORWARDS {
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

    /// Forwards an edit to the leader. Returns its reply, and whether the edit may have been proposed
    /// although no reply arrived.
    async fn forward(&self, leader: &VmId, edit: &Edit) -> (Reply, bool) {
        let Some(address) = self.directory.find(leader) else {
            return (Reply::Refused, false);
        };
        let request = Request::Edit(edit.clone());
        let transport = self.transport.as_ref();
        match messages::call(transport, &address, &request, FORWARD_TIMEOUT).await {
            Ok(reply) => (reply, false),
            Err(error) => {
                debug!("can't forward the edit to {leader}: {error}");
                (Reply::Refused, error.delivery() != Delivery::NotReceived)
            }
        }
    }

    async fn entry_status(&self) -> Result<FleetStatus, StoreError> {
        let status = self
            .core
            .ask(|reply| Event::Status { reply })
            .await
            .ok_or(StoreError::Unavailable)?;
        Ok(FleetStatus {
            revision: status.revision,
            vms: self.server.entries(),
        })
    }
}

impl ConfigStore for OperatorStore {
    fn rules(&self) -> BoxFuture<'_, Result<CurrentRules, StoreError>> {
        Box::pin(async {
            self.core
                .ask(|reply| Event::AppliedRules { reply })
                .await
                .map(|(revision, rules)| CurrentRules { revision, rules })
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
        Box::pin(self.entry_status())
    }

    /// Always unavailable: where operators edit the rules, targets announce themselves to entries,
    /// so a keeper does not list them.
    fn targets(&self) -> BoxFuture<'_, Result<Vec<TargetStatus>, StoreError>> {
        Box::pin(async { Err(StoreError::Unavailable) })
    }

    fn submit(&self, edit: Edit) -> BoxFuture<'_, Result<EditReply, StoreError>> {
        Box::pin(self.submit_edit(edit))
    }
}
