//! HTTP/1.1 framing: reads and writes whole messages on a byte stream.
//!
//! A [`Connection`] returns whole messages or a [`FramingError`] that names the violated rule, and
//! never a partial message. Where RFC 9112 lets a recipient either repair or reject a message, this
//! crate rejects it, since the next hop may parse a repaired message differently.
//!
//! A parsed message holds end-to-end headers only. Hop-by-hop headers and the headers that frame
//! the body are removed on reading and generated on encoding, so the framing of a caller never
//! reaches a target.

mod body;
mod chunked;
mod connection;
mod encode;
mod error;
mod head;
mod headers;
mod hop_by_hop;
mod limits;
mod message;
mod write_failure;

pub use body::{Body, MemoryBudget};
pub use connection::{ByteCounter, Connection};
pub use encode::{
    CONTINUE, encode_request, encode_request_start, encode_response, encode_response_start,
};
pub use error::FramingError;
pub use headers::Headers;
pub use limits::Limits;
pub use message::{KeepAlive, Request, RequestInfo, Response, UnreadRequest};
pub use write_failure::WriteFailure;
