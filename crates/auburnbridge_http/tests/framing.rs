//! Guards the decision on every framing case: passed whole, or rejected by the rule it violates.

mod support;

use std::fmt::Debug;

use auburnbridge_http::{FramingError, Request, RequestInfo, Response, Verdict};
use support::{Outcome, Parts, read_request, read_response, small_limits};

/// One case per line, as `name: bytes` with the escapes `\r`, `\n`, `\t` and `\xNN`.
const REQUESTS: &str = include_str!("fixtures/requests.txt");

/// Cases whose name starts with `HEAD` answer a `HEAD` request.
const RESPONSES: &str = include_str!("fixtures/responses.txt");

/// Guards against a changed decision on a framing case in a caller's request.
#[test]
fn decisions_on_requests() {
    insta::assert_snapshot!(report(REQUESTS, request_of));
}

/// Guards against a changed decision on a framing case in a target's response.
#[test]
fn decisions_on_responses() {
    insta::assert_snapshot!(report(RESPONSES, response_of));
}

/// Guards against a decision that depends on how the network splits the bytes into reads.
#[test]
fn decisions_do_not_depend_on_splits() {
    check_splits(REQUESTS, request_of, |request, _| request);
    // Bytes beyond the end of a response that arrive later are found before the next use instead.
    check_splits(RESPONSES, response_of, |mut response, has_leftover| {
        if has_leftover {
            response.verdict = Verdict::Retire;
        }
        response
    });
}

/// Guards against a message that is taken for whole although the connection closed inside it.
#[test]
fn a_cut_message_is_never_whole() {
    check_cuts(REQUESTS, request_of);
    check_cuts(RESPONSES, response_of);
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

/// Checks that each split gives the same result; `adjust` gets whether the whole has leftover bytes.
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

fn check_cuts<M: Debug>(cases: &str, read: impl Fn(&str, Parts) -> Outcome<M>) {
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
            assert!(is_closed, "{name} cut at {cut}: {result:?}");
        }
    }
}
