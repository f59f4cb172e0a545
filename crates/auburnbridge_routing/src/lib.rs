//! Published routes: host and path prefix to services, with the limits that hold for callers.
//!
//! A published configuration is one whole document with a version. The keepers replicate the
//! document as it was sent; each process reads it through a [`Dialect`], which is the only place
//! that knows the names and formats of a platform.

mod dialect;
mod route;
mod routes;
mod split;

pub use dialect::{
    AnnouncementError, CallError, ControlCall, Dialect, DocumentError, HeaderNames,
    PublishedDocument,
};
pub use route::{CallerLimits, Destination, PublishedRoute, PublishedService};
pub use routes::{RouteSet, RouteSetBuilder, RouteSetError};
pub use split::{SplitState, Splits};
