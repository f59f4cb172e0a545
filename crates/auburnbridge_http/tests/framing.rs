//! Guards the decision on every framing case: passed whole, or rejected by the rule it violates.

mod support;

use auburnbridge_http::{FramingError, Request, RequestInfo, Response, Verdict};
use support::{Outcome, Parts, small_limits};

type Case = (&'static str, &'static [u8]);

const REQUESTS: &[Case] = &[
    ("no body", b"GET /bins/7?x=1 HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("sized", b"POST /r HTTP/1.1\r\nHost: a:80\r\nContent-Length: 5\r\n\r\nhello"),
    ("sized with zeros", b"POST /r HTTP/1.1\r\nHost: a\r\nContent-Length: 005\r\n\r\nhello"),
    ("post without length", b"POST /r HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("chunked", b"POST /r HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"),
    ("chunk extensions and trailers", b"POST /r HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5 ;a=\"b\"\r\nhello\r\n00;c\r\nX: 1\r\nY: 2\r\n\r\n"),
    ("two requests", b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("one empty line before", b"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("two empty lines before", b"\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("order, case, repeats, blanks", b"GET / HTTP/1.1\r\nHost: a\r\nX-B:1\r\nx-a: \t two words \t\r\nX-B: 2\r\nEmpty:\r\n\r\n"),
    ("value of high bytes", b"GET / HTTP/1.1\r\nHost: a\r\nX: caf\xe9\r\n\r\n"),
    ("hop-by-hop headers", b"GET / HTTP/1.1\r\nHost: a\r\nConnection: X-Hop, keep-alive\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: x\r\nTrailer: x\r\nUpgrade: h2c\r\nX-End: 2\r\n\r\n"),
    ("proxy headers", b"GET / HTTP/1.1\r\nHost: a\r\nProxy-Authorization: x\r\nproxy-connection: y\r\nProxy-Other: z\r\nProxied: 1\r\n\r\n"),
    ("close", b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Close\r\n\r\n"),
    ("http/1.0", b"GET / HTTP/1.0\r\n\r\n"),
    ("http/1.0 keep-alive", b"GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n"),
    ("http/1.0 chunked", b"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ("expect continue", b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\nok"),
    ("expect other", b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 200-ok\r\nContent-Length: 2\r\n\r\nok"),
    ("options asterisk", b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("get asterisk", b"GET * HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("absolute target", b"GET http://a/x HTTP/1.1\r\nHost: A\r\n\r\n"),
    ("absolute target of another host", b"GET http://b/x HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("relative target", b"GET x HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("target with fragment", b"GET /x#y HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("target of high bytes", b"GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("target with space", b"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("two spaces after method", b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("space before method", b" GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("connect", b"CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n"),
    ("method not a token", b"G(T / HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("http/2 preface", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    ("http/0.9", b"GET /\r\n\r\n"),
    ("http/1.2", b"GET / HTTP/1.2\r\nHost: a\r\n\r\n"),
    ("host missing", b"GET / HTTP/1.1\r\nX: a\r\n\r\n"),
    ("host twice", b"GET / HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n"),
    ("host empty", b"GET / HTTP/1.1\r\nHost:\r\n\r\n"),
    ("host invalid", b"GET / HTTP/1.1\r\nHost: a, b\r\n\r\n"),
    ("length and chunked", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ("length twice, equal", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"),
    ("length twice, conflict", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"),
    ("length list", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2, 2\r\n\r\nok"),
    ("length with plus", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nok"),
    ("length with minus", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -2\r\n\r\nok"),
    ("length with space inside", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1 2\r\n\r\nok"),
    ("length empty", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n"),
    ("length hexadecimal", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x2\r\n\r\nok"),
    ("length overflow", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551616\r\n\r\n"),
    ("length of 21 digits", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 000000000000000000002\r\n\r\nok"),
    ("coding unknown", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n"),
    ("coding list", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
    ("coding twice", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ("coding with vertical tab", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n"),
    ("coding empty", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n\r\n"),
    ("space before colon", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 2\r\n\r\nok"),
    ("folded header", b"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n"),
    ("space before first header", b"GET / HTTP/1.1\r\n Host: a\r\n\r\n"),
    ("header without colon", b"GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n"),
    ("header without name", b"GET / HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n"),
    ("header name not a token", b"GET / HTTP/1.1\r\nHost: a\r\nX(Y: 1\r\n\r\n"),
    ("header value with nul", b"GET / HTTP/1.1\r\nHost: a\r\nX: 1\x002\r\n\r\n"),
    ("bare lf in start line", b"GET / HTTP/1.1\nHost: a\r\n\r\n"),
    ("bare lf in header", b"GET / HTTP/1.1\r\nHost: a\nX: 1\r\n\r\n"),
    ("bare cr in header", b"GET / HTTP/1.1\r\nHost: a\r\nX: 1\rY: 2\r\n\r\n"),
    ("bare lf for empty line", b"GET / HTTP/1.1\r\nHost: a\r\n\n"),
    ("double cr", b"GET / HTTP/1.1\r\nHost: a\r\r\n\r\n"),
    ("connection names host", b"GET / HTTP/1.1\r\nHost: a\r\nConnection: host\r\n\r\n"),
    ("connection names our header", b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Auburnbridge-Account\r\n\r\n"),
    ("connection names key", b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close, idempotency-key\r\n\r\n"),
    ("connection not a token", b"GET / HTTP/1.1\r\nHost: a\r\nConnection: a b\r\n\r\n"),
    ("chunk size empty", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\nhello\r\n0\r\n\r\n"),
    ("chunk size with sign", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n"),
    ("chunk size with prefix", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n"),
    ("chunk size with space", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5 \r\nhello\r\n0\r\n\r\n"),
    ("chunk size overflow", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n"),
    ("chunk size ends in bare lf", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n"),
    ("chunk extension with nul", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;\x00\r\nhello\r\n0\r\n\r\n"),
    ("chunk longer than its size", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n"),
    ("chunk end in bare lf", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\n0\r\n\r\n"),
    ("trailer folded", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: 1\r\n 2\r\n\r\n"),
    ("trailer with bare lf", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: 1\n\r\n"),
    ("at the limits", b"POST /12345678901234567890 HTTP/1.1\r\nHost: a\r\nX-1: 1\r\nX-2: 2\r\nX-3: 3\r\nX-4: 4\r\nX-5: 5\r\nX-6: 6\r\nContent-Length: 32\r\n\r\n0123456789abcdef0123456789abcdef"),
    ("body over limit", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33\r\n\r\n"),
    ("chunks over limit", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1f\r\n0123456789abcdef0123456789abcde\r\n2\r\n"),
    ("too many headers", b"GET / HTTP/1.1\r\nHost: a\r\n1:\r\n2:\r\n3:\r\n4:\r\n5:\r\n6:\r\n7:\r\n8:\r\n\r\n"),
    ("head over limit", b"GET /2345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789 HTTP/1.1\r\nHost: a\r\n\r\n"),
    ("trailers over limit", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: 2345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\r\n\r\n"),
    ("chunk extensions over limit", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;345678901234567890123456789012345678901234567890123456789012345678901234567890\r\na\r\n1;345678901234567890123456789012345678901234567890123456789012345678901234567890\r\na\r\n1;345678901234567890123456789012345678901234567890123456789012345678901234567890\r\na\r\n0\r\n\r\n"),
    ("nothing", b""),
    ("binary", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
];

/// Cases whose name starts with `HEAD` answer a `HEAD` request.
const RESPONSES: &[Case] = &[
    ("sized", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: 1\r\n\r\nok"),
    ("no reason", b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok"),
    ("empty reason", b"HTTP/1.1 299 \r\nContent-Length: 2\r\n\r\nok"),
    ("reason of high bytes", b"HTTP/1.1 404 Nicht gef\xfcnden\r\nContent-Length: 0\r\n\r\n"),
    ("chunked", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    ("no length", b"HTTP/1.1 200 OK\r\n\r\nok"),
    ("no length and close", b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"),
    ("close", b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"),
    ("http/1.0", b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    ("http/1.0 without length", b"HTTP/1.0 200 OK\r\n\r\nok"),
    ("bytes beyond the end", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more"),
    ("a second response", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"),
    ("empty line before", b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    ("interim", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    ("interim with body", b"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    ("nine interim", b"HTTP/1.1 102 A\r\n\r\nHTTP/1.1 102 A\r\n\r\nHTTP/1.1 102 A\r\n\r\nHTTP/1.1 102 A\r\n\r\nHTTP/1.1 102 A\r\n\r\nHTTP/1.1 102 A\r\n\r\nHTTP/1.1 102 A\r\n\r\nHTTP/1.1 102 A\r\n\r\nHTTP/1.1 102 A\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    ("interim only", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ("upgrade", b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
    ("204", b"HTTP/1.1 204 No Content\r\n\r\n"),
    ("204 with zero length", b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"),
    ("204 with length", b"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok"),
    ("204 chunked", b"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ("304", b"HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n"),
    ("304 with length", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"),
    ("HEAD with length", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
    ("HEAD with zero length", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    ("HEAD without length", b"HTTP/1.1 200 OK\r\n\r\n"),
    ("HEAD chunked", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
    ("HEAD with a body", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    ("status 99", b"HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n"),
    ("status 600", b"HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n"),
    ("status of two digits", b"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n"),
    ("status of four digits", b"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n"),
    ("http/2", b"HTTP/2 200 OK\r\nContent-Length: 0\r\n\r\n"),
    ("length and chunked", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n"),
    ("length twice", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"),
    ("length with sign", b"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok"),
    ("coding unknown", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nok"),
    ("space before colon", b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"),
    ("folded header", b"HTTP/1.1 200 OK\r\nX: 1\r\n\tContent-Length: 3\r\nContent-Length: 2\r\n\r\nok"),
    ("bare lf", b"HTTP/1.1 200 OK\nContent-Length: 2\n\nok"),
    ("bare cr in reason", b"HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok"),
    ("host twice", b"HTTP/1.1 200 OK\r\nHost: a\r\nHost: b\r\nContent-Length: 2\r\n\r\nok"),
    ("body over limit", b"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n"),
    ("hop-by-hop headers", b"HTTP/1.1 200 OK\r\nConnection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nProxy-Authenticate: x\r\nTrailer: X\r\nUpgrade: h2c\r\nX-End: 2\r\nContent-Length: 2\r\n\r\nok"),
];

/// Guards against a changed decision on a framing case in a caller's request.
#[test]
fn decisions_on_requests() {
    insta::assert_snapshot!(report(REQUESTS, |_, parts| read_request(parts).describe()));
}

/// Guards against a changed decision on a framing case in a target's response.
#[test]
fn decisions_on_responses() {
    insta::assert_snapshot!(report(RESPONSES, |name, parts| {
        read_response(parts, is_head(name)).describe()
    }));
}

/// Guards against a decision that depends on how the network splits the bytes into reads.
#[test]
fn decisions_do_not_depend_on_splits() {
    for (name, raw) in REQUESTS {
        let whole = read_request(Parts::whole(raw));
        for parts in Parts::all_splits(raw) {
            let split = read_request(parts.clone());
            assert_eq!(split.message, whole.message, "{name} as {parts:?}");
        }
    }
    for (name, raw) in RESPONSES {
        let whole = read_response(Parts::whole(raw), is_head(name));
        for parts in Parts::all_splits(raw) {
            let mut split = read_response(parts.clone(), is_head(name));
            // Bytes beyond the end that arrive later are found before the next use instead.
            if let (Ok(message), false) = (&mut split.message, whole.leftover.is_empty()) {
                message.verdict = Verdict::Retire;
            }
            assert_eq!(split.message, whole.message, "{name} as {parts:?}");
        }
    }
}

/// Guards against a message that is taken for whole although the connection closed inside it.
#[test]
fn a_cut_message_is_never_whole() {
    let is_closed = |error: &FramingError| {
        matches!(
            error,
            FramingError::ClosedBetweenMessages
                | FramingError::ClosedInHead
                | FramingError::ClosedInBody
        )
    };
    for (name, raw) in REQUESTS {
        let whole = read_request(Parts::whole(raw));
        let length = raw.len() - whole.leftover.len();
        for cut in (0..length).filter(|_| whole.message.is_ok()) {
            let result = read_request(Parts::whole(&raw[..cut])).message;
            assert!(
                result.as_ref().is_err_and(is_closed),
                "{name} cut at {cut}: {result:?}"
            );
        }
    }
    for (name, raw) in RESPONSES {
        let whole = read_response(Parts::whole(raw), is_head(name));
        let length = raw.len() - whole.leftover.len();
        for cut in (0..length).filter(|_| whole.message.is_ok()) {
            let result = read_response(Parts::whole(&raw[..cut]), is_head(name)).message;
            assert!(
                result.as_ref().is_err_and(is_closed),
                "{name} cut at {cut}: {result:?}"
            );
        }
    }
}

fn read_request(parts: Parts) -> Outcome<Request> {
    support::read_request(parts, &small_limits())
}

fn read_response(parts: Parts, is_head: bool) -> Outcome<Response> {
    support::read_response(parts, RequestInfo { is_head }, &small_limits())
}

fn is_head(name: &str) -> bool {
    name.starts_with("HEAD")
}

fn report(cases: &[Case], describe: impl Fn(&str, Parts) -> String) -> String {
    let lines: Vec<String> = cases
        .iter()
        .map(|(name, raw)| format!("{name}: {}", describe(name, Parts::whole(raw))))
        .collect();
    lines.join("\n")
}
