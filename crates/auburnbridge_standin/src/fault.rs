//! Faults that a stand-in target simulates on command.

use serde::{Deserialize, Serialize};

/// Fault that a stand-in target simulates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Normal operation.
    #[default]
    None,
    /// Delays each request.
    Slow {
        /// Additional processing time in milliseconds.
        ms: u64,
    },
    /// Runs the request and closes the connection partway through the answer.
    HalfAnswer,
    /// Runs the request and never answers.
    Silent,
    /// Runs the request and closes the connection without an answer.
    CloseAfterRun,
    /// Closes each new connection without reading from it.
    CloseAtOnce,
    /// Answers each request with a server error without running it.
    ServerError,
    /// Sheds each request.
    Shed,
    /// Counts an execution and crashes on a request whose path contains this text.
    CrashOn {
        /// Substring to search for in the path.
        path: String,
    },
}
