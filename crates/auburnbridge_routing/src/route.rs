//! Routes and services of a published configuration.

use auburnbridge_policy::RequestClass;
use auburnbridge_types::{ByteSize, Millis, Priority, ServiceName, Weight};

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share.
    pub weight: Weight,
}

/// A route of a published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedRoute {
    /// Name for logs.
    pub name: String,
    /// Paths that begin with this belong to the route.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub class: RequestClass,
    /// Rank among requests that wait for the same service.
    pub priority: Priority,
    /// Time within which an answer is of full use to the caller.
    pub objective: Millis,
    /// Longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// Most targets that may get one request.
    pub attempts: u32,
    /// Where the requests go; at least one weight is above zero.
    pub destinations: Vec<Destination>,
}

/// A service of a published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedService {
    /// Its name.
    pub name: ServiceName,
    /// Path of its targets' health check.
    pub health_path: String,
    /// Connections that a target accepts from all callers together.
    pub connection_limit: u32,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head.
    pub head: ByteSize,
    /// Longest request body.
    pub body: ByteSize,
    /// Longest time between the first byte of a request and the end of its head.
    pub head_timeout: Millis,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Millis,
}
