//! Server for the requests of other processes.

use std::sync::Arc;

use auburnbridge_messages::{Reply, Request};
use auburnbridge_peer::{Handler, PeerIdentity, Role};
use auburnbridge_types::BoxFuture;
use log::warn;

use crate::entry::Entry;
use crate::neighbours::Neighbours;

/// Handler of the requests that other processes send to an entry.
pub struct EntryServer {
    entry: Arc<Entry>,
    neighbours: Arc<Neighbours>,
}

impl EntryServer {
    /// Creates the handler of an entry.
    pub fn new(entry: Arc<Entry>, neighbours: Arc<Neighbours>) -> Self {
        Self { entry, neighbours }
    }

    fn answer(&self, from: &PeerIdentity, request: Request) -> Reply {
        match (request, from.role) {
            (Request::FetchRules { have, .. }, _) => {
                Reply::Rules(self.neighbours.rules().lock().delta_since(have))
            }
            (Request::Suspect(report), Role::Entry) => {
                self.entry.record_suspect(&report);
                Reply::Done
            }
            (Request::Evidence(evidence), Role::Entry) => {
                self.entry.merge_evidence(&from.vm, &evidence);
                Reply::Done
            }
            (Request::EntryGossip { targets, entries }, Role::Entry) => {
                self.neighbours.merge_rumours(&targets, &entries);
                Reply::Done
            }
            (Request::SyncTargets(message), Role::Entry) => {
                Reply::SyncTargets(self.neighbours.sync_targets(message))
            }
            (Request::SyncEntries(message), Role::Entry) => {
                Reply::SyncEntries(self.neighbours.sync_entries(message))
            }
            (request, role) => {
                let name: &'static str = (&request).into();
                warn!("refused request={name} from={} role={role}", from.vm);
                Reply::Refused
            }
        }
    }
}

impl Handler for EntryServer {
    fn handle(&self, from: &PeerIdentity, body: Vec<u8>) -> BoxFuture<'_, Option<Vec<u8>>> {
        let reply = match Request::decode(&body) {
            Ok(request) => self.answer(from, request),
            Err(error) => {
                warn!("refused a message from {}: {error}", from.vm);
                Reply::Refused
            }
        };
        Box::pin(async move { reply.encode().ok() })
    }
}
