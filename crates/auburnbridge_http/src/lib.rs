//! HTTP/1.1 framing guard: reads and writes whole messages on a byte stream.
//!
//! A [`Connection`] gives whole messages or a [`FramingError`] that names the violated rule; there
//! is no partial message. Where RFC 9112 lets a recipient choose between repair and rejection, the
//! guard rejects, since a repaired message may be read differently by the next hop.
//!
//! A parsed message holds end-to-end headers only. Headers that describe one connection, and the
//! headers that frame the body, are dropped on reading and written anew on encoding, so no framing
//! of a caller ever reaches a target.

mod body;
mod chunked;
mod connection;
mod encode;
mod error;
mod fields;
mod head;
mod headers;
mod limits;
mod message;

pub use body::{Body, MemoryBudget};
pub use connection::Connection;
pub use encode::{CONTINUE, encode_request, encode_response};
pub use error::FramingError;
pub use headers::Headers;
pub use limits::Limits;
pub use message::{Request, RequestInfo, Response, Verdict};
