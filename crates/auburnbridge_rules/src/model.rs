//! Typed form of the rules.

use std::fmt;

use auburnbridge_types::{AccountId, ByteSize, Millis, RatePerSecond, ServiceName, Slots};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::path::PathPattern;

/// Request methods that a route can name.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "UPPERCASE")]
#[expect(missing_docs, reason = "the names are those of RFC 9110")]
pub enum Method {
    Get,
    Head,
    Options,
    Post,
    Put,
    Patch,
    Delete,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum RouteClass {
    /// The request may be retried and hedged.
    Idempotent,
    /// The request runs at most once and needs an idempotency key.
    Once,
}

/// A percentage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(pub u32);

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// Ejection sensitivity, from few false ejections (0) to fast detection (100).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EjectionSensitivity(pub u8);

impl EjectionSensitivity {
    /// Fewest false ejections.
    pub const CAREFUL: Self = Self(0);
    /// Halfway between the two ends.
    pub const BALANCED: Self = Self(50);
    /// Fastest detection.
    pub const FAST: Self = Self(100);
}

/// A `service` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Slots that stay in use despite ejections.
    pub slots_floor: Slots,
    /// Slots that each target is expected to announce.
    pub slots_per_target: Slots,
    /// Largest number of targets that the service is expected to have.
    pub most_targets: u32,
    /// Trade-off between false ejections and detection time.
    pub ejection: EjectionSensitivity,
    /// Retries and hedged requests as a share of the requests.
    pub retry_percent: Percent,
    /// Retries and hedged requests that one entry may send on top of that share.
    pub retry_rate: RatePerSecond,
    /// Requests that may wait for a slot on one entry.
    pub queue: u32,
    /// Share of the slots guaranteed to idempotent requests while `once` requests wait.
    pub lookup_share: Percent,
}

/// A `route` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Method of the requests.
    pub method: Method,
    /// Paths of the requests.
    pub path: PathPattern,
    /// Service that handles the requests.
    pub service: ServiceName,
    /// Whether a request may run more than once.
    pub class: RouteClass,
    /// Time allowed for a request, counted from its arrival.
    pub timeout: Millis,
    /// Largest response body that is forwarded.
    pub largest_answer: ByteSize,
}

/// Limits of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Account {
    /// Sustained rate of requests on one entry.
    pub limit: RatePerSecond,
    /// Largest burst of requests after an idle period.
    pub burst: u32,
}

/// A `team` line.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Team {
    /// The team's name.
    pub name: AccountId,
    /// What the team may change.
    pub scope: TeamScope,
}

impl Team {
    /// The service named in the line; `None` if the team may change every line.
    pub fn service(&self) -> Option<&ServiceName> {
        match &self.scope {
            TeamScope::Service(name) => Some(name),
            TeamScope::All => None,
        }
    }
}

/// Lines that a team may change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TeamScope {
    /// The `service` line of one service and the routes to it.
    Service(ServiceName),
    /// Every line.
    All,
}
