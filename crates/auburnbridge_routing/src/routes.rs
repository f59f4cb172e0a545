//! Route lookup by host and path, and validation of a configuration.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use auburnbridge_types::{AccountId, ConfigVersion, Millis, ServiceName};
use indexmap::IndexMap;

use crate::{AccountSet, CallerLimits, PublishedRoute, PublishedService};

/// Longest timeout that a route may have.
const MAX_ROUTE_TIMEOUT: Millis = Millis(10 * 60 * 1000);

/// The routes and services of one published configuration.
#[derive(Clone, Debug)]
pub struct RouteSet {
    version: ConfigVersion,
    limits: CallerLimits,
    hosts: HashMap<String, HostRoutes>,
    services: IndexMap<ServiceName, PublishedService>,
    accounts: Option<AccountSet>,
}

/// Routes of one host, by prefix.
///
/// Every prefix ends in a slash. A lookup probes one prefix for each slash of the path, so its cost
/// doesn't depend on the number of routes.
#[derive(Clone, Debug, Default)]
struct HostRoutes(HashMap<String, Arc<PublishedRoute>>);

impl HostRoutes {
    fn find(&self, path: &str) -> Option<&Arc<PublishedRoute>> {
        path.rmatch_indices('/')
            .find_map(|(index, _)| self.0.get(&path[..=index]))
    }
}

impl RouteSet {
    /// Creates a builder without routes and services.
    pub fn builder(version: ConfigVersion, limits: CallerLimits) -> RouteSetBuilder {
        RouteSetBuilder {
            routes: Self {
                version,
                limits,
                hosts: HashMap::new(),
                services: IndexMap::new(),
                accounts: None,
            },
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route of a request: of the routes of `host`, the one with the longest prefix of `path`.
    ///
    /// `host` is the value of the `Host` header, with or without a port; `path` may contain a query.
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

    /// The service with this name, if the configuration has one.
    pub fn service(&self, name: &ServiceName) -> Option<&PublishedService> {
        self.services.get(name)
    }

    /// All services, in the order of the configuration.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &PublishedService> {
        self.services.values()
    }

    /// The client accounts; `None` if the configuration doesn't use any. A configuration whose last
    /// account was removed still requires keys.
    pub fn accounts(&self) -> Option<&AccountSet> {
        self.accounts.as_ref()
    }

    /// Names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &str> {
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

/// Builds and validates a [`RouteSet`].
#[derive(Clone, Debug)]
pub struct RouteSetBuilder {
    routes: RouteSet,
}

impl RouteSetBuilder {
    /// Adds a service.
    ///
    /// # Errors
    ///
    /// Fails if a service with the same name has been added.
    pub fn service(&mut self, service: PublishedService) -> Result<(), RouteSetError> {
        let name = service.name.clone();
        match self.routes.services.insert(name.clone(), service) {
            None => Ok(()),
            Some(_) => Err(RouteSetError::DuplicateService(name)),
        }
    }

    /// Adds a route of `host`.
    ///
    /// # Errors
    ///
    /// Fails if the prefix, timeout or weights are invalid, or if a service has not been added before.
    pub fn route(&mut self, host: &str, route: PublishedRoute) -> Result<(), RouteSetError> {
        let name = || route.name.clone();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(RouteSetError::InvalidPrefix(name()));
        }
        // With a timeout of zero, every request of the route would be refused.
        if route.timeout == Millis(0) || route.timeout > MAX_ROUTE_TIMEOUT {
            return Err(RouteSetError::InvalidTimeout(name()));
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
        let weights = route
            .destinations
            .iter()
            .map(|destination| u64::from(destination.weight.0));
        if weights.sum::<u64>() == 0 {
            return Err(RouteSetError::ZeroWeight(name()));
        }
        let routes = self
            .routes
            .hosts
            .entry(host.to_ascii_lowercase())
            .or_default();
        // A repeated prefix is not an error: the first route of the configuration takes precedence.
        routes
            .0
            .entry(route.prefix.clone())
            .or_insert_with(|| Arc::new(route));
        Ok(())
    }

    /// Replaces the client accounts.
    pub fn accounts(&mut self, accounts: AccountSet) {
        self.routes.accounts = Some(accounts);
    }

    /// Returns the finished route set.
    pub fn build(self) -> RouteSet {
        self.routes
    }
}

/// Reason for refusing a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteSetError {
    /// Two client accounts have the same name.
    DuplicateAccount(AccountId),
    /// A key of the client account is empty or too long.
    InvalidKey(AccountId),
    /// Two client accounts have the same key.
    SharedKey {
        /// The account that is listed first.
        first: AccountId,
        /// The account that is listed later.
        second: AccountId,
    },
    /// Two services have the same name.
    DuplicateService(ServiceName),
    /// The prefix of the route doesn't begin and end with a slash.
    InvalidPrefix(String),
    /// The timeout of the route is zero or over ten minutes.
    InvalidTimeout(String),
    /// A route names a service that is not in the configuration.
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: ServiceName,
    },
    /// The weights of the route add up to zero.
    ZeroWeight(String),
}

impl fmt::Display for RouteSetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateAccount(account) => {
                write!(f, "client account `{account}` is listed twice")
            }
            Self::InvalidKey(account) => {
                write!(f, "client account `{account}`: a key is empty or too long")
            }
            Self::SharedKey { first, second } => {
                write!(
                    f,
                    "client accounts `{first}` and `{second}` have the same key"
                )
            }
            Self::DuplicateService(service) => write!(f, "service `{service}` is listed twice"),
            Self::InvalidPrefix(route) => write!(
                f,
                "route `{route}`: the prefix must begin and end with a slash"
            ),
            Self::InvalidTimeout(route) => {
                write!(
                    f,
                    "route `{route}`: the timeout is zero or over {MAX_ROUTE_TIMEOUT}"
                )
            }
            Self::UnknownService { route, service } => {
                write!(f, "route `{route}`: service `{service}` is not listed")
            }
            Self::ZeroWeight(route) => write!(f, "route `{route}`: its weights add up to zero"),
        }
    }
}

impl std::error::Error for RouteSetError {}
