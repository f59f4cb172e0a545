//! Route lookup.
//!
//! One hash set holds exact paths and wildcards. A lookup probes the exact path and then each
//! prefix that ends in `/`, longest first, so its cost depends on the depth of the path and not on
//! the number of routes. The depth of the deepest wildcard limits the number of probes for a path
//! with many segments.

use std::hash::{Hash, Hasher};

use indexmap::{Equivalent, IndexSet};

use crate::model::{Method, Route};
use crate::path::{PathPattern, normalize};

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RouteTable {
    routes: IndexSet<StoredRoute>,
    max_wildcard_depth: usize,
}

/// A route that is hashed and compared by its method and path only, so that the set needs no second
/// copy of the path.
#[derive(Clone, Debug)]
struct StoredRoute(Route);

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct RouteKey<'a> {
    method: Method,
    wildcard: bool,
    stem: &'a str,
}

impl StoredRoute {
    fn key(&self) -> RouteKey<'_> {
        RouteKey {
            method: self.0.method,
            wildcard: self.0.path.wildcard,
            stem: &self.0.path.stem,
        }
    }
}

impl Hash for StoredRoute {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

impl PartialEq for StoredRoute {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for StoredRoute {}

impl Equivalent<StoredRoute> for RouteKey<'_> {
    fn equivalent(&self, stored: &StoredRoute) -> bool {
        *self == stored.key()
    }
}

impl RouteTable {
    /// Adds a route; returns `false` if there was one with the same method and path.
    pub(crate) fn insert(&mut self, route: Route) -> bool {
        if route.path.wildcard {
            let depth = count_slashes(&route.path.stem);
            self.max_wildcard_depth = self.max_wildcard_depth.max(depth);
        }
        self.routes.insert(StoredRoute(route))
    }

    /// Removes a route. `max_wildcard_depth` is not lowered and remains an upper bound.
    pub(crate) fn remove(&mut self, method: Method, path: &PathPattern) {
        self.routes.swap_remove(&RouteKey {
            method,
            wildcard: path.wildcard,
            stem: &path.stem,
        });
    }

    pub(crate) fn shrink_to_fit(&mut self) {
        self.routes.shrink_to_fit();
    }

    pub(crate) fn iter(&self) -> impl ExactSizeIterator<Item = &Route> {
        self.routes.iter().map(|stored| &stored.0)
    }

    /// The route of a request; `path` excludes the query.
    pub(crate) fn find(&self, method: Method, path: &str) -> Option<&Route> {
        let path = normalize(path).ok()?;
        let exact = self.get(method, false, &path);
        exact.or_else(|| self.find_wildcard(method, &path))
    }

    fn find_wildcard(&self, method: Method, path: &str) -> Option<&Route> {
        let deepest = path
            .match_indices('/')
            .take(self.max_wildcard_depth)
            .last()
            .map(|(at, _)| at)?;
        path[..=deepest]
            .rmatch_indices('/')
            .find_map(|(at, _)| self.get(method, true, &path[..=at]))
    }

    fn get(&self, method: Method, wildcard: bool, stem: &str) -> Option<&Route> {
        let key = RouteKey {
            method,
            wildcard,
            stem,
        };
        self.routes.get(&key).map(|stored| &stored.0)
    }
}

fn count_slashes(path: &str) -> usize {
    path.bytes().filter(|byte| *byte == b'/').count()
}
