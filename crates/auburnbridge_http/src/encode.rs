//! Encoding of whole messages into one buffer, so that each is sent in one write.
//!
//! The encoder of async-h1 is not used: it encodes `http_types` messages, whose headers are a hash
//! map that loses the header order, and it produces a message as a stream of reads rather than as
//! one buffer. The length of a message is known here, so encoding takes a few appends.

use std::io::Write;

use http_types::StatusCode;

use crate::{KeepAlive, Request, RequestInfo, Response};

/// The interim response to `Expect: 100-continue`.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Methods whose requests usually have no body; `Content-Length: 0` is omitted for them.
const BODILESS_METHODS: [&str; 5] = ["GET", "HEAD", "OPTIONS", "DELETE", "TRACE"];

/// Most bytes of a body that are copied behind the head.
const MAX_JOINED_BODY_BYTES: usize = 16 * 1024;
const ESTIMATED_START_LINE_BYTES: usize = 64;
const ESTIMATED_HEADER_BYTES: usize = 48;

/// Appends the encoded request to `buf`.
///
/// A request without `Host`, which only HTTP/1.0 allows, gets an empty `Host`.
pub fn encode_request(request: &Request, buf: &mut Vec<u8>) {
    let rest = encode_request_start(request, buf);
    buf.extend_from_slice(rest);
}

/// Appends the head and the first 16 KiB of the body to `buf`, and returns the rest of the body,
/// which is to be written from where it is.
///
/// A small request thus takes one write, and a large body isn't copied.
pub fn encode_request_start<'a>(request: &'a Request, buf: &mut Vec<u8>) -> &'a [u8] {
    let (start, rest) = split_body(&request.body);
    buf.reserve(
        ESTIMATED_START_LINE_BYTES
            + request.path.len()
            + request.headers.len() * ESTIMATED_HEADER_BYTES
            + start.len(),
    );
    buf.extend_from_slice(request.method.as_bytes());
    buf.push(b' ');
    buf.extend_from_slice(request.path.as_bytes());
    buf.extend_from_slice(b" HTTP/1.1\r\n");
    encode_headers(request.headers.iter(), buf);
    if request.headers.get("host").is_none() {
        buf.extend_from_slice(b"Host: \r\n");
    }
    if !request.body.is_empty() || !BODILESS_METHODS.contains(&request.method.as_str()) {
        encode_content_length(request.body.len() as u64, buf);
    }
    if request.keep_alive == KeepAlive::Close {
        buf.extend_from_slice(b"Connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(start);
    rest
}

/// Appends the encoded response to the request of `info` to `buf`.
///
/// `keep_alive` applies to the connection that carries the response; the response's own
/// `keep_alive` applies to the connection it was read from.
pub fn encode_response(
    response: &Response,
    info: RequestInfo,
    keep_alive: KeepAlive,
    buf: &mut Vec<u8>,
) {
    let rest = encode_response_start(response, info, keep_alive, buf);
    buf.extend_from_slice(rest);
}

/// Like [`encode_response`], but returns the body beyond its first 16 KiB instead of copying it.
pub fn encode_response_start<'a>(
    response: &'a Response,
    info: RequestInfo,
    keep_alive: KeepAlive,
    buf: &mut Vec<u8>,
) -> &'a [u8] {
    let body = if Response::is_bodiless(response.status, info) {
        &[]
    } else {
        &response.body[..]
    };
    let (start, rest) = split_body(body);
    buf.reserve(
        ESTIMATED_START_LINE_BYTES + response.headers.len() * ESTIMATED_HEADER_BYTES + start.len(),
    );
    let reason = reason_phrase(response.status);
    write!(buf, "HTTP/1.1 {} {reason}\r\n", response.status)
        .expect("writing to a vector does not fail");
    encode_headers(response.headers.iter(), buf);
    if let Some(length) = content_length(response, info) {
        encode_content_length(length, buf);
    }
    if keep_alive == KeepAlive::Close {
        buf.extend_from_slice(b"Connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(start);
    rest
}

/// Divides a body into the part that is sent in one write with the head, and the rest.
fn split_body(body: &[u8]) -> (&[u8], &[u8]) {
    body.split_at(body.len().min(MAX_JOINED_BODY_BYTES))
}

/// The reason phrase of a status, empty for an unregistered one.
fn reason_phrase(status: u16) -> &'static str {
    // http-types has the wrong reason phrase "Modified" for this status.
    if status == 304 {
        return "Not Modified";
    }
    StatusCode::try_from(status)
        .map(|status| status.canonical_reason())
        .unwrap_or_default()
}

/// The `Content-Length` of a response; a response to `HEAD` gives the length of the omitted body.
fn content_length(response: &Response, info: RequestInfo) -> Option<u64> {
    let body_length = response.body.len() as u64;
    if !Response::is_bodiless(response.status, info) {
        return Some(body_length);
    }
    let omits_body = info.is_head && body_length > 0;
    response
        .announced_length
        .or_else(|| omits_body.then_some(body_length))
}

fn encode_headers<'a>(headers: impl Iterator<Item = (&'a str, &'a [u8])>, buf: &mut Vec<u8>) {
    for (name, value) in headers {
        buf.extend_from_slice(name.as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value);
        buf.extend_from_slice(b"\r\n");
    }
}

fn encode_content_length(length: u64, buf: &mut Vec<u8>) {
    write!(buf, "Content-Length: {length}\r\n").expect("writing to a vector does not fail");
}
