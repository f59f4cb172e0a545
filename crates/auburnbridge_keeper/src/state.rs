//! The state machines over the replicated log: the ledger, the rules, the published configuration and
//! the departures of targets.

use std::collections::VecDeque;

use auburnbridge_config::{
    Edit, EditReply, PublishReply, PublishedConfig, RulesState, VersionedDocument,
};
use auburnbridge_ledger::{Command, Ledger, Reply};
use auburnbridge_membership::Announcement;
use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateCommand {
    /// For the ledger.
    Ledger(Command),
    /// For the rules.
    Edit(Edit),
    /// Puts a configuration document in force.
    Publish(VersionedDocument),
    /// A target leaves; its announcement states which of its lives.
    Depart(Announcement),
}

/// Reply to a [`StateCommand`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateReply {
    /// The ledger's reply.
    Ledger(Reply),
    /// The reply to an edit.
    Edit(EditReply),
    /// The reply to a published document.
    Published(PublishReply),
    /// The departure is recorded.
    Departed,
}

/// Reason why a snapshot can't be taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoreError(String);

impl std::fmt::Display for RestoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the snapshot can't be restored: {}", self.0)
    }
}

impl std::error::Error for RestoreError {}

/// Departures that are kept; the oldest is dropped first. A day has hundreds.
const DEPARTURE_LIMIT: usize = 4_096;

/// All state machines.
#[derive(Clone, Debug, Default)]
pub struct KeeperState {
    /// Grants and stored answers.
    pub ledger: Ledger,
    /// Rules and their history.
    pub config: RulesState,
    /// Published configuration.
    pub published: PublishedConfig,
    /// Targets that left, oldest first.
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
    /// Applies a committed command at its log time.
    pub fn apply(&mut self, time: Timestamp, command: StateCommand) -> StateReply {
        match command {
            StateCommand::Ledger(command) => StateReply::Ledger(self.ledger.apply(time, command)),
            StateCommand::Edit(edit) => {
                let reply = self.config.apply(time, edit);
                self.apply_retention(time);
                StateReply::Edit(reply)
            }
            StateCommand::Publish(order) => StateReply::Published(self.published.apply(order)),
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
        if self.departures.len() >= DEPARTURE_LIMIT {
            self.departures.pop_front();
        }
        self.departures.push_back(announcement);
    }

    /// Makes the ledger follow the rules' retention of keys.
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
        postcard::to_stdvec(&parts).expect("byte strings can be encoded")
    }

    /// Decodes what [`KeeperState::snapshot`] encoded.
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
