//! Parsing of the headers of a caller's request.

use std::fmt::Write;

use auburnbridge_entry::{
    ACCOUNT_HEADER, CallerRequest, DEADLINE_HEADER, KEY_HEADER, PREVIOUS_ATTEMPTS_HEADER,
};
use auburnbridge_http::Request;

use crate::scenario::{START, rules};

const KEY: &str = "018bcfe5-6800-7707-8707-070707070707";
const OTHER_KEY: &str = "018bcfe5-6800-7707-8707-070707070708";

type Header = (&'static str, &'static [u8]);

fn read(method: &str, path: &str, headers: &[Header]) -> String {
    let mut req = Request::new(method, path);
    for (name, value) in headers {
        req.headers.append(name, value);
    }
    match CallerRequest::read(req, &rules(), START) {
        Ok(req) => format!(
            "account={} key={} previous={:?} wait={}",
            req.account,
            req.key.map_or("none".to_owned(), |key| key.to_string()),
            req.previous_sends,
            req.deadline.since(START)
        ),
        Err(problem) => format!("{} {}: {}", problem.kind, problem.outcome(), problem.detail),
    }
}

/// Guards against a malformed header that is treated as absent, a deadline later than that of the
/// route, and the outcome `not-run` for a request that may be a resend of one that ran.
#[test]
fn headers_are_read_or_refused() {
    const PREVIOUS: &str = PREVIOUS_ATTEMPTS_HEADER;
    let key: Header = (KEY_HEADER, KEY.as_bytes());
    let first: Header = (PREVIOUS, b"0");
    let tables: &[(&str, &str, &[&[Header]])] = &[
        (
            "POST",
            "/slips",
            &[
                &[],
                &[first],
                &[key],
                &[key, first],
                &[key, (PREVIOUS, b"3")],
                &[key, (PREVIOUS, b"00")],
                &[key, (PREVIOUS, b"+0")],
                &[key, (PREVIOUS, b"-1")],
                &[key, (PREVIOUS, b"")],
                &[key, (PREVIOUS, b"\xff")],
                &[key, (PREVIOUS, b"4294967296")],
                &[key, first, (PREVIOUS, b"1")],
                &[key, first, first],
                &[key, first, key],
                &[key, first, (KEY_HEADER, OTHER_KEY.as_bytes())],
                &[
                    first,
                    (KEY_HEADER, b"\"018bcfe5-6800-7707-8707-070707070707\""),
                ],
                &[first, (KEY_HEADER, b"")],
                &[first, (KEY_HEADER, b"\xff")],
                &[first, (KEY_HEADER, b"order 7")],
                &[first, (KEY_HEADER, b"5f0c1f3e-4b0a-4e0b-8f57-4c3f1b2a9d10")],
                &[key, first, (DEADLINE_HEADER, b"0")],
                &[key, first, (DEADLINE_HEADER, b"250")],
                &[key, first, (DEADLINE_HEADER, b"250ms")],
                &[key, first, (DEADLINE_HEADER, b"18446744073709551615")],
                &[key, first, (DEADLINE_HEADER, b"18446744073709551616")],
                &[key, first, (DEADLINE_HEADER, b"-1")],
                &[key, first, (DEADLINE_HEADER, b"1.5")],
                &[key, first, (DEADLINE_HEADER, b"")],
                &[key, first, (DEADLINE_HEADER, b"5"), (DEADLINE_HEADER, b"6")],
                &[key, first, (ACCOUNT_HEADER, b"ward-office")],
                &[key, first, (ACCOUNT_HEADER, b"")],
                &[key, first, (ACCOUNT_HEADER, b"\xff")],
                &[key, first, (ACCOUNT_HEADER, b"a b")],
                &[key, first, (ACCOUNT_HEADER, b"a"), (ACCOUNT_HEADER, b"b")],
            ],
        ),
        ("GET", "/bins/7?x=1", &[&[], &[(KEY_HEADER, b"order 7")]]),
        ("GET", "/nowhere", &[&[], &[key], &[key, first]]),
        ("get", "/bins/7", &[&[]]),
        ("", "", &[&[]]),
    ];
    let mut page = String::new();
    for (method, path, cases) in tables {
        for headers in *cases {
            write!(page, "{method} {path}").unwrap();
            for (name, value) in *headers {
                write!(page, " | {name}: {}", value.escape_ascii()).unwrap();
            }
            writeln!(page, "\n    {}", read(method, path, headers)).unwrap();
        }
    }
    insta::assert_snapshot!(page);
}
