//! Published routes from host and path prefix to services, and the limits on callers.
//!
//! A published configuration is a single versioned document. The keepers replicate the document as
//! received; each process parses it through a [`Dialect`], the only place that knows the names and
//! formats of a platform.

mod account;
mod dialect;
mod route;
mod routes;
mod split;

pub use account::{AccountLimit, AccountSet, ApiKeyDigest, ClientAccount};
pub use dialect::{
    AnnouncementError, CallError, ControlCall, Dialect, DocumentError, HeaderNames,
    PublishedDocument,
};
pub use route::{CallerLimits, Destination, PublishedRoute, PublishedService};
pub use routes::{RouteSet, RouteSetBuilder, RouteSetError};
pub use split::{TrafficSplits, WeightedRoundRobin};
