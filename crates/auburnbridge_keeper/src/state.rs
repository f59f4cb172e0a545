//! The state machines over the replicated log: the ledger and the rules.

use auburnbridge_config::{Config, Edit, EditReply};
use auburnbridge_ledger::{Command, Ledger, Reply};
use auburnbridge_types::Timestamp;
use serde::{Deserialize, Serialize};

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateCommand {
    /// For the ledger.
    Ledger(Command),
    /// For the rules.
    Edit(Edit),
}

/// Reply to a [`StateCommand`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateReply {
    /// The ledger's reply.
    Ledger(Reply),
    /// The reply to an edit.
    Edit(EditReply),
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

/// Both state machines.
#[derive(Clone, Debug, Default)]
pub struct KeeperState {
    /// Grants and stored answers.
    pub ledger: Ledger,
    /// Rules and their history.
    pub config: Config,
}

#[derive(Serialize, Deserialize)]
struct SnapshotParts {
    ledger: Vec<u8>,
    config: Vec<u8>,
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
        }
    }

    /// Makes the ledger follow the rules' retention of keys.
    fn apply_retention(&mut self, time: Timestamp) {
        let retention = self.config.rules().key_retention();
        if retention != self.ledger.retention() {
            self.ledger.apply(time, Command::SetRetention(retention));
        }
    }

    /// Encodes both state machines.
    pub fn snapshot(&self) -> Vec<u8> {
        let parts = SnapshotParts {
            ledger: self.ledger.snapshot(),
            config: self.config.snapshot(),
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
            config: Config::restore(&parts.config)
                .map_err(|error| RestoreError(error.to_string()))?,
        })
    }
}
