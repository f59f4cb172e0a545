//! The listener for callers and the handling of each request.
