//! Routes and services of a published configuration.

use auburnbridge_policy::RequestClass;
use auburnbridge_types::{ByteSize, Millis, Priority, ServiceName, Weight};

/// A service that a route sends requests to, with its share of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the weights of its other destinations.
    pub weight: Weight,
}

/// A route of a published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedRoute {
    /// Name of the route in logs.
    pub name: String,
    /// Prefix of the paths that belong to the route; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub class: RequestClass,
    /// Whether requests need no API key even if the configuration has client accounts.
    pub is_public: bool,
    /// Priority among requests that wait for the same service.
    pub priority: Priority,
    /// Latency objective: the time within which a response is of full use to the caller.
    pub latency_objective: Millis,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Millis,
    /// Maximum number of sends of one request to targets. Elsewhere, an attempt is one try of the
    /// caller.
    pub max_attempts: u32,
    /// Services that the requests are split among; at least one weight is above zero.
    pub destinations: Vec<Destination>,
}

/// A service of a published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Health check path of the service's targets.
    pub health_path: String,
    /// Maximum number of connections that a target accepts from all callers together.
    pub connection_limit: u32,
}

/// Limits on the size and duration of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head: ByteSize,
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Longest time between the first byte of a request and the end of its head.
    pub head_timeout: Millis,
    /// Idle time after which a connection without a request is closed.
    pub idle_timeout: Millis,
}
