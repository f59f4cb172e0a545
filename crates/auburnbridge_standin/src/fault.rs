//! Faults that a stand-in target shows on command.

use serde::{Deserialize, Serialize};

/// How a stand-in target misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Works as it should.
    #[default]
    None,
    /// Takes longer for each request.
    Slow {
        /// Additional time in milliseconds.
        ms: u64,
    },
    /// Runs the request and closes after half of the answer.
    HalfAnswer,
    /// Runs the request and never answers.
    Silent,
    /// Runs the request and closes without an answer.
    CloseAfterRun,
    /// Closes each connection without reading.
    CloseAtOnce,
    /// Answers each request with a server error.
    ServerError,
    /// Sheds each request.
    Shed,
    /// Stops on a request whose path holds this text.
    CrashOn {
        /// Part of the path.
        path: String,
    },
}
