//! The border towards a platform: its names and formats, and nothing that decides.

use std::fmt;

use auburnbridge_http::Request;
use auburnbridge_membership::Announcement;
use auburnbridge_types::{ConfigVersion, Incarnation, TargetId};

use crate::{RouteSet, RouteSetError};

/// Names of the headers that a gateway reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id that the caller gives one send of a request; targets echo it.
    pub attempt: &'static str,
    /// Milliseconds that the sender will wait for the answer.
    pub deadline: &'static str,
    /// Id of the only target that may run the request.
    pub expected_target: &'static str,
    /// Signature of a target over its answer.
    pub seal: &'static str,
    /// Marks an answer of a target that didn't run the request.
    pub not_run: &'static str,
}

/// A configuration document with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedDocument {
    /// Version that the document states.
    pub version: ConfigVersion,
    /// The document as it was sent.
    pub bytes: Vec<u8>,
}

/// A call of the control interface.
#[derive(Clone, Debug)]
pub enum ControlCall {
    /// An operator publishes a configuration.
    Publish(Result<PublishedDocument, DocumentError>),
    /// An operator reads the newest configuration.
    ReadPublished,
    /// A target announces itself.
    Announce(Result<Announcement, AnnouncementError>),
    /// A target leaves; it may state which of its lives ends.
    Leave {
        /// The target.
        target: TargetId,
        /// Its life, where the call states it.
        incarnation: Option<Incarnation>,
    },
}

/// Names and formats of a platform.
pub trait Dialect: Send + Sync {
    /// Headers between callers, gateways and targets.
    fn headers(&self) -> HeaderNames;

    /// Path of the readiness check.
    fn readiness_path(&self) -> &'static str;

    /// Reads a call of the control interface.
    fn read_call(&self, req: &Request) -> Result<ControlCall, CallError>;

    /// Reads a configuration document.
    fn read_document(&self, document: &[u8]) -> Result<RouteSet, DocumentError>;
}

/// The control interface has no such call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No call has this path.
    UnknownPath,
    /// The path has no call with this method.
    UnknownMethod,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownPath => "no call has this path",
            Self::UnknownMethod => "the path has no call with this method",
        })
    }
}

impl std::error::Error for CallError {}

/// Reason why a configuration document is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// It can't be read: cut short, or a field is missing or of another type.
    Unreadable(String),
    /// It contradicts itself.
    Inconsistent(RouteSetError),
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "the document can't be read: {reason}"),
            Self::Inconsistent(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for DocumentError {}

impl From<RouteSetError> for DocumentError {
    fn from(error: RouteSetError) -> Self {
        Self::Inconsistent(error)
    }
}

/// Reason why an announcement names no target to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementError(pub String);

impl fmt::Display for AnnouncementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the announcement can't be read: {}", self.0)
    }
}

impl std::error::Error for AnnouncementError {}
