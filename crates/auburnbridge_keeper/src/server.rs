//! Handles requests from other processes.

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnbridge_log::RejectReason;
use auburnbridge_messages::{KeeperHello, Reply, Request};
use auburnbridge_operator::VmStatus;
use auburnbridge_peer::{Handler, PeerIdentity, Role};
use auburnbridge_types::{BoxFuture, Clock, DataCentre, Millis, Revision, Timestamp, VmId};
use log::warn;
use parking_lot::Mutex;

use crate::catalogue::Catalogue;
use crate::core::{CoreHandle, Event};
use crate::state::{StateCommand, StateReply};

/// Number of recorded entries above which expired ones are removed; the design scale has 5,300.
const ENTRY_PRUNE_THRESHOLD: usize = 8_192;
/// Time after which an entry that fetches no rules is no longer listed.
const ENTRY_EXPIRY: Millis = Millis(10 * 60 * 1000);

/// State of an entry when it last fetched rules.
struct EntryRecord {
    revision: Revision,
    data_centre: DataCentre,
    last_seen: Timestamp,
}

/// Serves requests of other processes and proposals of this one.
pub struct KeeperServer {
    core: CoreHandle,
    clock: Arc<dyn Clock>,
    entries: Mutex<BTreeMap<VmId, EntryRecord>>,
    catalogue: Arc<Catalogue>,
}

impl KeeperServer {
    /// Creates a server that passes commands to `core`.
    pub fn new(core: CoreHandle, clock: Arc<dyn Clock>, catalogue: Arc<Catalogue>) -> Self {
        Self {
            catalogue,
            core,
            clock,
            entries: Mutex::default(),
        }
    }

    /// Handles one request. The role of the sender decides which requests are accepted.
    pub async fn handle_request(&self, from: &PeerIdentity, request: Request) -> Reply {
        match (request, from.role) {
            (Request::Ledger(command), Role::Entry) => {
                self.propose(StateCommand::Ledger(command)).await
            }
            // Another keeper forwards the edit of an operator.
            (Request::Edit(edit), Role::Keeper) => self.propose(StateCommand::Edit(edit)).await,
            (Request::Publish(publish), Role::Keeper) => {
                self.propose(StateCommand::Publish(publish)).await
            }
            // A gateway reports a departure that the target stated in a response. Many gateways may do
            // so, and the first report is enough.
            (Request::Depart(target), Role::Entry) if self.catalogue.has_departed(&target) => {
                Reply::Done
            }
            (Request::Depart(target), Role::Keeper | Role::Entry) => {
                self.propose(StateCommand::Depart(target)).await
            }
            (Request::ReadPublished, Role::Keeper) => self.read_published().await,
            // Gateways connect under the role `entry`.
            (Request::Watch(watch), Role::Entry) => {
                Reply::Watched(self.catalogue.watch(&from.vm, watch).await)
            }
            (Request::KeeperGossip(gossip), Role::Keeper) => {
                self.catalogue.merge(gossip);
                Reply::Done
            }
            (Request::FetchTargets, Role::Keeper) => Reply::Targets(self.catalogue.targets()),
            (Request::FetchRules { have, data_centre }, role) => {
                if role == Role::Entry {
                    self.record_entry(&from.vm, have, data_centre);
                }
                match self
                    .core
                    .ask(|reply| Event::RulesDelta { have, reply })
                    .await
                {
                    Some(delta) => Reply::Rules(delta),
                    None => Reply::Busy,
                }
            }
            (Request::Hello(_), Role::Keeper) => self.hello().await,
            (Request::Join { replica }, Role::Keeper) => {
                let vm = from.vm.clone();
                let result = self
                    .core
                    .ask(|reply| Event::Join { vm, replica, reply })
                    .await;
                match result {
                    Some(Ok(())) => Reply::Done,
                    Some(Err(reason)) => rejection_reply(reason),
                    None => Reply::Busy,
                }
            }
            (Request::Log(message), Role::Keeper) => {
                self.core.send(Event::Message {
                    from: from.vm.clone(),
                    message: *message,
                });
                Reply::Done
            }
            (request, role) => {
                let name: &'static str = (&request).into();
                warn!("refused request={name} from={} role={role}", from.vm);
                Reply::Refused
            }
        }
    }

    /// Proposes a command and waits until it is applied or rejected.
    pub async fn propose(&self, command: StateCommand) -> Reply {
        match self
            .core
            .ask(|reply| Event::Propose { command, reply })
            .await
        {
            Some(Ok(StateReply::Ledger(reply))) => Reply::Ledger(reply),
            Some(Ok(StateReply::Edit(reply))) => Reply::Edit(reply),
            Some(Ok(StateReply::Published(reply))) => Reply::Published(reply),
            Some(Ok(StateReply::Departed)) => Reply::Done,
            Some(Err(reason)) => rejection_reply(reason),
            None => Reply::Busy,
        }
    }

    /// Reads the published document. The reply is `NotLeader` if this keeper isn't the leader.
    pub async fn read_published(&self) -> Reply {
        match self.core.ask(|reply| Event::ReadPublished { reply }).await {
            Some(Ok(current)) => Reply::Document(current),
            Some(Err(reason)) => rejection_reply(reason),
            None => Reply::Busy,
        }
    }

    fn record_entry(&self, vm: &VmId, revision: Revision, data_centre: DataCentre) {
        let now = self.clock.now();
        let mut entries = self.entries.lock();
        entries.insert(
            vm.clone(),
            EntryRecord {
                revision,
                data_centre,
                last_seen: now,
            },
        );
        if entries.len() > ENTRY_PRUNE_THRESHOLD {
            entries.retain(|_, entry| now.since(entry.last_seen) < ENTRY_EXPIRY);
        }
    }

    async fn hello(&self) -> Reply {
        match self.core.ask(|reply| Event::Status { reply }).await {
            Some(status) => Reply::Hello(KeeperHello {
                replica: status.replica_status.replica,
                members: status.members,
            }),
            None => Reply::Busy,
        }
    }

    /// Returns the entries that fetched rules from this keeper within the last ten minutes, with the
    /// revision that each has in force.
    pub fn entries(&self) -> Vec<VmStatus> {
        let now = self.clock.now();
        self.entries
            .lock()
            .iter()
            .filter(|(_, entry)| now.since(entry.last_seen) < ENTRY_EXPIRY)
            .map(|(vm, entry)| VmStatus {
                vm: vm.clone(),
                data_centre: entry.data_centre.clone(),
                role: Role::Entry.to_string(),
                revision: entry.revision,
                reported_ms_ago: now.since(entry.last_seen).0,
            })
            .collect()
    }
}

fn rejection_reply(reason: RejectReason) -> Reply {
    match reason {
        RejectReason::NotLeader { leader } => Reply::NotLeader { leader },
        RejectReason::LeadershipLost => Reply::LeadershipLost,
        RejectReason::Busy
        | RejectReason::TooLarge
        | RejectReason::ChangeInProgress
        | RejectReason::NotCaughtUp
        | RejectReason::InvalidChange => Reply::Busy,
    }
}

impl Handler for KeeperServer {
    fn handle(&self, from: &PeerIdentity, body: Vec<u8>) -> BoxFuture<'_, Option<Vec<u8>>> {
        let from = from.clone();
        Box::pin(async move {
            let reply = match Request::decode(&body) {
                Ok(request) => self.handle_request(&from, request).await,
                Err(error) => {
                    warn!("refused a message from {}: {error}", from.vm);
                    Reply::Refused
                }
            };
            reply.encode().ok()
        })
    }
}
