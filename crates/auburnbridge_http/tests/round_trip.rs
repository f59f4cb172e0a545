//! Property tests of encoding and decoding with arbitrary messages and corrupted streams.

mod support;

use auburnbridge_http::{
    Body, Headers, KeepAlive, Limits, Request, RequestInfo, Response, encode_request,
    encode_response,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::RngSeed;
use support::{Parts, read_request, read_response};

/// Ordinary header names that resemble those of framing and hop-by-hop headers.
const NAMES: [&str; 7] = [
    "X-Trace",
    "Content-Lengths",
    "Transfer-Encoding2",
    "Connections",
    "Proxied",
    "Auburnbridge-Account",
    "!#$%&'*+-.^_`|~9",
];

fn headers() -> impl Strategy<Value = Headers> {
    vec((select(&NAMES[..]), vec(any::<u8>(), 0..20)), 0..8).prop_map(|fields| {
        let mut headers = Headers::new();
        for (name, value) in fields {
            headers.append(name, value);
        }
        headers
    })
}

fn body() -> impl Strategy<Value = Body> {
    vec(any::<u8>(), 0..200).prop_map(Body::from)
}

fn keep_alive() -> impl Strategy<Value = KeepAlive> {
    select(vec![KeepAlive::Reuse, KeepAlive::Close])
}

prop_compose! {
    fn request()(
        method in select(vec!["GET", "POST", "PUT", "DELETE", "HEAD", "X!"]),
        path in "/[!-\"$-~]{0,30}",
        mut headers in headers(),
        body in body(),
        keep_alive in keep_alive(),
    ) -> Request {
        headers.append("Host", "a:80");
        let mut request = Request::new(method, &path);
        request.headers = headers;
        request.body = body;
        request.keep_alive = keep_alive;
        request
    }
}

prop_compose! {
    fn response()(
        status in 200..=599_u16,
        is_head in any::<bool>(),
        announced in proptest::option::of(any::<u64>()),
        headers in headers(),
        body in body(),
        keep_alive in keep_alive(),
    ) -> (Response, RequestInfo) {
        let mut response = Response::new(status);
        response.headers = headers;
        response.keep_alive = keep_alive;
        if is_head || status == 304 {
            response.announced_length = announced;
            if announced.is_some_and(|length| length > 0) || (is_head && announced.is_none()) {
                response.keep_alive = KeepAlive::Close;
            }
        } else if status != 204 {
            response.body = body;
        }
        (response, RequestInfo { is_head })
    }
}

fn encoded(request: &Request) -> Vec<u8> {
    let mut buf = Vec::new();
    encode_request(request, &mut buf);
    buf
}

fn encoded_response(response: &Response, info: RequestInfo) -> Vec<u8> {
    let mut buf = Vec::new();
    encode_response(response, info, response.keep_alive, &mut buf);
    buf
}

fn split(raw: &[u8], at: Index) -> Parts {
    let (front, back) = raw.split_at(at.index(raw.len() + 1));
    Parts::of(&[front, back])
}

/// Replaces the byte at `at` and removes or duplicates the byte at `other`, which corrupts both
/// content and framing.
fn corrupt(raw: &mut Vec<u8>, at: Index, byte: u8, other: Index, removes: bool) {
    let at = at.index(raw.len());
    raw[at] = byte;
    let other = other.index(raw.len());
    if removes {
        raw.remove(other);
    } else {
        raw.insert(other, raw[other]);
    }
}

/// Guards against sending a body with a response that has none; it would be read as the next
/// response.
#[test]
fn bodiless_responses_are_encoded_without_their_body() {
    let cases = [
        (200, true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"),
        (204, false, "HTTP/1.1 204 No Content\r\n\r\n"),
        (304, false, "HTTP/1.1 304 Not Modified\r\n\r\n"),
    ];
    for (status, is_head, expected) in cases {
        let mut response = Response::new(status);
        response.body = Body::from(b"ok".to_vec());
        let raw = encoded_response(&response, RequestInfo { is_head });
        assert_eq!(String::from_utf8_lossy(&raw), expected);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x4a75),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an encoder and a decoder that disagree, for requests and responses.
    #[test]
    fn decoding_returns_the_encoded_message(
        request in request(),
        (response, info) in response(),
        at in any::<Index>(),
    ) {
        let limits = Limits::default();
        let outcome = read_request(split(&encoded(&request), at), &limits);
        prop_assert_eq!(outcome.message, Ok(request));
        prop_assert!(outcome.leftover.is_empty());
        let outcome = read_response(split(&encoded_response(&response, info), at), info, &limits);
        prop_assert_eq!(outcome.message, Ok(response));
        prop_assert!(outcome.leftover.is_empty());
    }

    /// Guards against accepting a truncated message.
    #[test]
    fn a_truncated_stream_is_rejected(
        request in request(),
        (response, info) in response(),
        at in any::<Index>(),
    ) {
        let limits = Limits::default();
        let raw = encoded(&request);
        let cut = &raw[..at.index(raw.len())];
        prop_assert!(read_request(Parts::whole(cut), &limits).message.is_err());
        let raw = encoded_response(&response, info);
        let cut = &raw[..at.index(raw.len())];
        prop_assert!(read_response(Parts::whole(cut), info, &limits).message.is_err());
    }

    /// Guards against accepting a body of which bytes were lost before the connection closed.
    #[test]
    fn a_body_with_lost_bytes_is_rejected(request in request(), at in any::<Index>()) {
        prop_assume!(!request.body.is_empty());
        let mut raw = encoded(&request);
        let body_start = raw.len() - request.body.len();
        raw.remove(body_start + at.index(request.body.len()));
        prop_assert!(read_request(Parts::whole(&raw), &Limits::default()).message.is_err());
    }

    /// Guards against a control character that changes where the lines of a head end.
    #[test]
    fn a_control_character_in_the_head_is_rejected(
        request in request(),
        at in any::<Index>(),
        byte in select(vec![0, 0x0b, 0x0c, b'\r', b'\n', 0x1b, 0x7f]),
    ) {
        let mut raw = encoded(&request);
        let head_bytes = raw.len() - request.body.len();
        let at = at.index(head_bytes);
        prop_assume!(raw[at] != byte);
        raw[at] = byte;
        prop_assert!(read_request(Parts::whole(&raw), &Limits::default()).message.is_err());
    }

    /// Guards against request smuggling: a message accepted from a corrupted stream must be
    /// forwarded as exactly one message, the same one, with an unambiguous length.
    #[test]
    fn an_accepted_message_is_forwarded_unambiguously(
        request in request(),
        other in request(),
        (at, byte, place, removes) in (any::<Index>(), any::<u8>(), any::<Index>(), any::<bool>()),
    ) {
        let limits = Limits::default();
        let mut raw = encoded(&request);
        raw.extend(encoded(&other));
        corrupt(&mut raw, at, byte, place, removes);
        let Ok(accepted) = read_request(Parts::whole(&raw), &limits).message else {
            return Ok(());
        };
        let forwarded = encoded(&accepted);
        let head_bytes = forwarded.len() - accepted.body.len();
        let head = String::from_utf8_lossy(&forwarded[..head_bytes]).to_ascii_lowercase();
        prop_assert!(head.matches("\r\ncontent-length:").count() <= 1);
        prop_assert!(!head.contains("\r\ntransfer-encoding:"));
        prop_assert_eq!(head.matches("\r\n\r\n").count(), 1);
        let outcome = read_request(Parts::whole(&forwarded), &limits);
        prop_assert!(outcome.leftover.is_empty());
        prop_assert_eq!(outcome.message, Ok(accepted));
    }

    /// Guards against a response that ends at another byte when it is forwarded.
    #[test]
    fn an_accepted_response_is_forwarded_unambiguously(
        (response, info) in response(),
        (at, byte, place, removes) in (any::<Index>(), any::<u8>(), any::<Index>(), any::<bool>()),
    ) {
        let limits = Limits::default();
        let mut raw = encoded_response(&response, info);
        corrupt(&mut raw, at, byte, place, removes);
        let Ok(accepted) = read_response(Parts::whole(&raw), info, &limits).message else {
            return Ok(());
        };
        let outcome = read_response(Parts::whole(&encoded_response(&accepted, info)), info, &limits);
        prop_assert!(outcome.leftover.is_empty());
        prop_assert_eq!(outcome.message, Ok(accepted));
    }
}
