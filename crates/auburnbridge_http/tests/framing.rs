//! Tests which messages are accepted and which are rejected, and by which framing rule.

mod support;

use std::fmt::Debug;

use auburnbridge_http::{FramingError, KeepAlive, Limits, Request, RequestInfo, Response};
use support::{Outcome, Parts, read_request, read_response, small_limits};

/// One case per line, as `name: bytes` with the escapes `\r`, `\n`, `\t` and `\xNN`.
const REQUESTS: &str = include_str!("fixtures/requests.txt");

/// Cases whose name starts with `HEAD` are responses to a `HEAD` request.
const RESPONSES: &str = include_str!("fixtures/responses.txt");

/// Guards against accepting a malformed request, or rejecting a valid one.
#[test]
fn decisions_on_requests() {
    insta::assert_snapshot!(report(REQUESTS, request_of));
}

/// Guards against accepting a malformed response, or rejecting a valid one.
#[test]
fn decisions_on_responses() {
    insta::assert_snapshot!(report(RESPONSES, response_of));
}

/// Guards against a result that depends on how the network splits the bytes into reads.
#[test]
fn decisions_are_independent_of_read_boundaries() {
    check_splits(REQUESTS, request_of, |request, _| request);
    // Bytes beyond the end of a response may arrive later; they are found when the connection is
    // used again.
    check_splits(RESPONSES, response_of, |mut response, has_leftover| {
        if has_leftover {
            response.keep_alive = KeepAlive::Close;
        }
        response
    });
}

/// Guards against accepting a message although the connection was closed inside it.
#[test]
fn truncated_messages_are_rejected() {
    check_truncations(REQUESTS, request_of);
    check_truncations(RESPONSES, response_of);
}

/// Guards against a name that another parser reads as another header, on all bytes and at all positions
/// of a name longer than the blocks in which the parser reads.
#[test]
fn header_names_of_responses_are_tokens() {
    const NAME: &[u8; 40] = b"X-Name-Of-A-Header-Longer-Than-One-Block";
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    for byte in 0..=u8::MAX {
        for at in 0..NAME.len() {
            let mut name = *NAME;
            name[at] = byte;
            // A colon ends the name, which must not be empty.
            let is_token = byte.is_ascii_alphanumeric()
                || b"!#$%&'*+-.^_`|~".contains(&byte)
                || (byte == b':' && at > 0);
            for raw in [
                [HEAD, &name, b": 1\r\n\r\nok"].concat(),
                [CHUNKED, &name, b": 1\r\n\r\n"].concat(),
            ] {
                let result = read_response(
                    Parts::whole(&raw),
                    RequestInfo::default(),
                    &Limits::default(),
                );
                let accepted = result.message.is_ok();
                assert_eq!(accepted, is_token, "{}", raw.escape_ascii());
            }
        }
    }
}

fn request_of(_: &str, parts: Parts) -> Outcome<Request> {
    read_request(parts, &small_limits())
}

fn response_of(name: &str, parts: Parts) -> Outcome<Response> {
    let is_head = name.starts_with("HEAD");
    read_response(parts, RequestInfo { is_head }, &small_limits())
}

fn parse_cases(cases: &str) -> impl Iterator<Item = (&str, Vec<u8>)> {
    cases.lines().map(|line| {
        let (name, escaped) = line.split_once(": ").unwrap();
        (name, unescape(escaped))
    })
}

fn unescape(text: &str) -> Vec<u8> {
    let mut parts = text.split('\\');
    let mut raw = parts.next().unwrap().as_bytes().to_vec();
    for part in parts {
        let (byte, rest) = match part.split_at(1) {
            ("r", rest) => (b'\r', rest),
            ("n", rest) => (b'\n', rest),
            ("t", rest) => (b'\t', rest),
            _ => (u8::from_str_radix(&part[1..3], 16).unwrap(), &part[3..]),
        };
        raw.push(byte);
        raw.extend(rest.bytes());
    }
    raw
}

fn report<M: Debug>(cases: &str, read: impl Fn(&str, Parts) -> Outcome<M>) -> String {
    let lines: Vec<String> = parse_cases(cases)
        .map(|(name, raw)| format!("{name}: {}", read(name, Parts::whole(&raw)).describe()))
        .collect();
    lines.join("\n")
}

/// Checks that each split gives the same result. `adjust` is told whether the unsplit read left
/// bytes over.
fn check_splits<M: Debug + PartialEq>(
    cases: &str,
    read: impl Fn(&str, Parts) -> Outcome<M>,
    adjust: impl Fn(M, bool) -> M,
) {
    for (name, raw) in parse_cases(cases) {
        let whole = read(name, Parts::whole(&raw));
        for parts in Parts::all_splits(&raw) {
            let split = read(name, parts.clone()).message;
            let split = split.map(|message| adjust(message, !whole.leftover.is_empty()));
            assert_eq!(split, whole.message, "{name} as {parts:?}");
        }
    }
}

fn check_truncations<M: Debug>(cases: &str, read: impl Fn(&str, Parts) -> Outcome<M>) {
    for (name, raw) in parse_cases(cases) {
        let whole = read(name, Parts::whole(&raw));
        let length = raw.len() - whole.leftover.len();
        for cut in (0..length).filter(|_| whole.message.is_ok()) {
            let result = read(name, Parts::whole(&raw[..cut])).message;
            let is_closed = matches!(
                result,
                Err(FramingError::ClosedBetweenMessages
                    | FramingError::ClosedInHead
                    | FramingError::ClosedInBody)
            );
            assert!(is_closed, "{name} truncated at {cut}: {result:?}");
        }
    }
}
