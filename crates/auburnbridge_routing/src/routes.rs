//! The routes of one configuration, ready for lookups.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use auburnbridge_types::{ConfigVersion, Millis, ServiceName};
use indexmap::IndexMap;

use crate::{CallerLimits, PublishedRoute, PublishedService};

/// Longest timeout that a route may have.
const LONGEST_TIMEOUT: Millis = Millis(10 * 60 * 1000);

/// The routes and services of one published configuration.
#[derive(Clone, Debug)]
pub struct RouteSet {
    version: ConfigVersion,
    limits: CallerLimits,
    hosts: HashMap<String, HostRoutes>,
    services: IndexMap<ServiceName, PublishedService>,
}

/// Routes of one host by their prefix.
///
/// Every prefix ends in a slash, so that a lookup probes one prefix for each slash of the path and
/// doesn't depend on the number of routes.
#[derive(Clone, Debug, Default)]
struct HostRoutes(HashMap<String, Arc<PublishedRoute>>);

impl HostRoutes {
    fn find(&self, path: &str) -> Option<&Arc<PublishedRoute>> {
        path.rmatch_indices('/')
            .find_map(|(at, _)| self.0.get(&path[..=at]))
    }
}

impl RouteSet {
    /// Starts a configuration without routes.
    pub fn builder(version: ConfigVersion, limits: CallerLimits) -> RouteSetBuilder {
        RouteSetBuilder {
            routes: Self {
                version,
                limits,
                hosts: HashMap::new(),
                services: IndexMap::new(),
            },
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of a request: the one with the longest prefix of `path` among those of `host`.
    ///
    /// `host` is the value of the header, with or without a port; `path` may have a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<PublishedRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let path = path.split('?').next().unwrap_or_default();
        self.hosts.get(&name.to_ascii_lowercase())?.find(path)
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&PublishedService> {
        self.services.get(name)
    }

    /// Every service, in the order of the configuration.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &PublishedService> {
        self.services.values()
    }

    /// Names of all routes.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let routes = self.hosts.values().flat_map(|routes| routes.0.values());
        routes.map(|route| route.name.as_str())
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(|routes| routes.0.len()).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Builds a [`RouteSet`] and checks it.
#[derive(Clone, Debug)]
pub struct RouteSetBuilder {
    routes: RouteSet,
}

impl RouteSetBuilder {
    /// Adds a service.
    pub fn service(&mut self, service: PublishedService) -> Result<(), RouteSetError> {
        let name = service.name.clone();
        match self.routes.services.insert(name.clone(), service) {
            None => Ok(()),
            Some(_) => Err(RouteSetError::ServiceRepeated(name)),
        }
    }

    /// Adds a route of `host`; its services must have been added.
    pub fn route(&mut self, host: &str, route: PublishedRoute) -> Result<(), RouteSetError> {
        let name = || route.name.clone();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(RouteSetError::Prefix(name()));
        }
        // Without any time every request of the route would be refused.
        if route.timeout == Millis(0) || route.timeout > LONGEST_TIMEOUT {
            return Err(RouteSetError::Timeout(name()));
        }
        let unknown = route
            .destinations
            .iter()
            .find(|destination| !self.routes.services.contains_key(&destination.service));
        if let Some(unknown) = unknown {
            return Err(RouteSetError::UnknownService {
                route: name(),
                service: unknown.service.clone(),
            });
        }
        let weights = route.destinations.iter().map(|to| u64::from(to.weight.0));
        if weights.sum::<u64>() == 0 {
            return Err(RouteSetError::NoWeight(name()));
        }
        let routes = self
            .routes
            .hosts
            .entry(host.to_ascii_lowercase())
            .or_default();
        // A repeated prefix is no error: the first route of the configuration has it.
        routes
            .0
            .entry(route.prefix.clone())
            .or_insert_with(|| Arc::new(route));
        Ok(())
    }

    /// The finished configuration.
    pub fn build(self) -> RouteSet {
        self.routes
    }
}

/// Reason why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteSetError {
    /// Two services have the same name.
    ServiceRepeated(ServiceName),
    /// A prefix doesn't begin and end with a slash.
    Prefix(String),
    /// A route's timeout is zero or over ten minutes.
    Timeout(String),
    /// A route names a service that is not in the configuration.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// The weights of a route add up to zero.
    NoWeight(String),
}

impl fmt::Display for RouteSetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServiceRepeated(service) => write!(f, "service `{service}` is listed twice"),
            Self::Prefix(route) => write!(
                f,
                "route `{route}`: the prefix must begin and end with a slash"
            ),
            Self::Timeout(route) => {
                write!(
                    f,
                    "route `{route}`: the timeout is zero or over {LONGEST_TIMEOUT}"
                )
            }
            Self::UnknownService { route, service } => {
                write!(f, "route `{route}`: service `{service}` is not listed")
            }
            Self::NoWeight(route) => write!(f, "route `{route}`: its weights add up to zero"),
        }
    }
}

impl std::error::Error for RouteSetError {}
