//! The state machines that the replicated log drives: the ledger, the rules, the published
//! configuration and the departures of targets.

use std::collections::VecDeque;

use auburnbridge_config::{
    Edit, EditReply, PublishReply, PublishedConfig, RulesState, VersionedDocument,
};
use auburnbridge_ledger::{Command, Ledger, Reply};
use auburnbridge_membership::Announcement;
use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateCommand {
    /// Command for the ledger.
    Ledger(Command),
    /// Edit of the rules.
    Edit(Edit),
    /// Publication of a configuration document.
    Publish(VersionedDocument),
    /// Departure of a target, in the incarnation that its announcement states.
    Depart(Announcement),
}

/// Reply to a [`StateCommand`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateReply {
    /// Reply of the ledger.
    Ledger(Reply),
    /// Reply to an edit.
    Edit(EditReply),
    /// Reply to a publication.
    Published(PublishReply),
    /// The departure is recorded.
    Departed,
}

/// Error from decoding a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoreError(String);

impl std::fmt::Display for RestoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the snapshot can't be restored: {}", self.0)
    }
}

impl std::error::Error for RestoreError {}

/// Departures that are kept; the oldest is dropped first. There are hundreds in a day.
const MAX_DEPARTURES: usize = 4_096;

/// All state machines of a keeper.
#[derive(Clone, Debug, Default)]
pub struct KeeperState {
    /// Grants and stored answers of idempotency keys.
    pub ledger: Ledger,
    /// Rules and their edit history.
    pub config: RulesState,
    /// Published configuration document.
    pub published: PublishedConfig,
    /// Recorded departures of targets, oldest first.
    pub departures: VecDeque<Announcement>,
}

#[derive(Serialize, Deserialize)]
struct SnapshotParts {
    ledger: Vec<u8>,
    config: Vec<u8>,
    published: PublishedConfig,
    departures: VecDeque<Announcement>,
}

impl KeeperState {
    /// Applies a committed command at the time stated by its log record.
    pub fn apply(&mut self, time: Timestamp, command: StateCommand) -> StateReply {
        match command {
            StateCommand::Ledger(command) => StateReply::Ledger(self.ledger.apply(time, command)),
            StateCommand::Edit(edit) => {
                let reply = self.config.apply(time, edit);
                self.apply_retention(time);
                StateReply::Edit(reply)
            }
            StateCommand::Publish(publish) => StateReply::Published(self.published.apply(publish)),
            StateCommand::Depart(announcement) => {
                self.record_departure(announcement);
                StateReply::Departed
            }
        }
    }

    fn record_departure(&mut self, announcement: Announcement) {
        let is_known = self.departures.iter().any(|known| {
            known.target == announcement.target && known.incarnation == announcement.incarnation
        });
        if is_known {
            return;
        }
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(announcement);
    }

    /// Sets the ledger's key retention to the one in the rules.
    fn apply_retention(&mut self, time: Timestamp) {
        let retention = self.config.rules().key_retention();
        if retention != self.ledger.retention() {
            self.ledger.apply(time, Command::SetRetention(retention));
        }
    }

    /// Encodes all state machines.
    pub fn snapshot(&self) -> Vec<u8> {
        let parts = SnapshotParts {
            ledger: self.ledger.snapshot(),
            config: self.config.snapshot(),
            published: self.published.clone(),
            departures: self.departures.clone(),
        };
        postcard::to_stdvec(&parts).expect("a snapshot can be encoded")
    }

    /// Decodes a snapshot made by [`KeeperState::snapshot`].
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let parts: SnapshotParts =
            postcard::from_bytes(bytes).map_err(|error| RestoreError(error.to_string()))?;
        Ok(Self {
            ledger: Ledger::restore(&parts.ledger)
                .map_err(|error| RestoreError(error.to_string()))?,
            config: RulesState::restore(&parts.config)
                .map_err(|error| RestoreError(error.to_string()))?,
            published: parts.published,
            departures: parts.departures,
        })
    }
}
