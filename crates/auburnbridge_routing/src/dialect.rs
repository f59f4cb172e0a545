//! Interface to a platform: its names and formats, without any decisions.

use std::fmt;

use auburnbridge_http::Request;
use auburnbridge_membership::Announcement;
use auburnbridge_types::{ConfigVersion, Incarnation, TargetId};

use crate::{RouteSet, RouteSetError};

/// Names of the headers that a gateway reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id that the caller gives one attempt of a request; targets echo it.
    pub attempt: &'static str,
    /// Remaining time, a duration in milliseconds, for which the sender waits for the response.
    pub deadline: &'static str,
    /// Id of the target that may run the request; any other refuses it.
    pub expected_target: &'static str,
    /// Signature of the target over its response. The gateway only checks that a success has it; it
    /// doesn't verify the signature.
    pub seal: &'static str,
    /// Marks the response of a target that did not run the request.
    pub not_run: &'static str,
    /// Marks with the value `1` each response of a target that is leaving.
    pub leaving: &'static str,
    /// API key of a client account, from the caller.
    pub api_key: &'static str,
    /// Name of the client account that a request belongs to, for the target.
    pub account: &'static str,
}

/// An unparsed configuration document with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedDocument {
    /// Version stated in the document.
    pub version: ConfigVersion,
    /// The document as received.
    pub bytes: Vec<u8>,
}

/// A call of the control interface.
#[derive(Clone, Debug)]
pub enum ControlCall {
    /// An operator publishes a configuration.
    Publish(Result<PublishedDocument, DocumentError>),
    /// An operator reads the latest published configuration.
    ReadPublished,
    /// A target announces itself.
    Announce(Result<Announcement, AnnouncementError>),
    /// A target leaves; it may state which of its incarnations ends.
    Leave {
        /// Id of the target.
        target: TargetId,
        /// Incarnation that ends, if the call states it.
        incarnation: Option<Incarnation>,
    },
}

/// Header names, paths and document formats of a platform.
pub trait Dialect: Send + Sync {
    /// Names of the headers between callers, gateways and targets.
    fn headers(&self) -> HeaderNames;

    /// Path of the readiness check.
    fn readiness_path(&self) -> &'static str;

    /// Parses a call of the control interface.
    ///
    /// # Errors
    ///
    /// Fails if no call has the request's path or method. Errors in the body are part of the call.
    fn read_call(&self, req: &Request) -> Result<ControlCall, CallError>;

    /// Parses a configuration document.
    ///
    /// # Errors
    ///
    /// Fails if the document is malformed or inconsistent.
    fn read_document(&self, document: &[u8]) -> Result<RouteSet, DocumentError>;
}

/// Error for a request that is no call of the control interface.
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

/// Reason for refusing a configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// The document is malformed: truncated, or a field is missing or has the wrong type.
    Unreadable(String),
    /// The document is inconsistent.
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

/// Reason for refusing an announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementError(pub String);

impl fmt::Display for AnnouncementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the announcement can't be read: {}", self.0)
    }
}

impl std::error::Error for AnnouncementError {}
