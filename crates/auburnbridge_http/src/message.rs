//! Whole requests and responses.

use auburnbridge_types::ByteSize;

use crate::head::{Framing, RequestHead};
use crate::{Body, Headers};

/// Whether the connection may carry another message after this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The connection is at the start of the next message.
    Reuse,
    /// The connection must be closed.
    Close,
}

/// A whole request with its end-to-end headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query as sent, or `*`.
    pub path: String,
    /// End-to-end headers, without those that frame the body.
    pub headers: Headers,
    /// The whole body.
    pub body: Body,
    /// Whether the caller's connection may carry another request.
    pub keep_alive: KeepAlive,
}

impl Request {
    /// Creates a request without headers or body.
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Headers::new(),
            body: Body::default(),
            keep_alive: KeepAlive::Reuse,
        }
    }
}

/// A request whose head has been read and whose body has not.
#[derive(Debug)]
pub struct UnreadRequest {
    request: Request,
    pub(crate) framing: Framing,
    expects_continue: bool,
}

impl UnreadRequest {
    pub(crate) fn new(head: RequestHead) -> Self {
        Self {
            request: Request {
                method: head.method,
                path: head.path,
                headers: head.headers,
                body: Body::default(),
                keep_alive: head.keep_alive,
            },
            framing: head.framing,
            expects_continue: head.expects_continue,
        }
    }

    /// The request without its body.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Whether a body follows the head.
    pub fn has_body(&self) -> bool {
        self.framing != Framing::Empty
    }

    /// The length of the body; `None` if it is chunked.
    pub fn body_length(&self) -> Option<ByteSize> {
        self.framing.announced_length().map(ByteSize)
    }

    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub fn awaits_continue(&self) -> bool {
        self.expects_continue && self.has_body()
    }

    pub(crate) fn with_body(self, body: Body) -> Request {
        Request {
            body,
            ..self.request
        }
    }
}

/// The properties of a request that the framing of its response depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Whether the method is `HEAD`, whose response has no body.
    pub is_head: bool,
}

impl From<&Request> for RequestInfo {
    fn from(request: &Request) -> Self {
        Self {
            is_head: request.method == "HEAD",
        }
    }
}

/// A whole response with its end-to-end headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The final status.
    pub status: u16,
    /// End-to-end headers, without those that frame the body.
    pub headers: Headers,
    /// The whole body.
    pub body: Body,
    /// `Content-Length` of a response without a body, to `HEAD` or with status 304.
    pub announced_length: Option<u64>,
    /// Whether the target's connection may carry another request.
    pub keep_alive: KeepAlive,
}

impl Response {
    /// Creates a response without headers or body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Headers::new(),
            body: Body::default(),
            announced_length: None,
            keep_alive: KeepAlive::Reuse,
        }
    }

    /// Whether a response with this status to this request never has a body.
    pub(crate) fn is_bodiless(status: u16, info: RequestInfo) -> bool {
        info.is_head || status == 204 || status == 304 || status < 200
    }
}
