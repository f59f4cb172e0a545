//! The entry role: assembles the request path.
