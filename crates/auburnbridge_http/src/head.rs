//! Parsing and checking of message heads.
//!
//! `httparse` splits a head into lines, names and values. It accepts bare line feeds and leaves
//! the meaning of the headers to its caller, so the checks around it are here.

use httparse::{EMPTY_HEADER, Error as ParserError, Status};

use crate::headers::is_token;
use crate::limits::MAX_HEADERS;
use crate::{FramingError, Headers, Limits, RequestInfo, Response, Verdict};

/// Headers that describe one connection or frame the body, and are never forwarded.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the headers between a client and its next proxy, which are not forwarded either.
const PROXY_HEADER_PREFIX: &str = "proxy-";

/// Headers that `Connection` may not name: a caller could otherwise remove what routing, accounts
/// and the ledger depend on.
const END_TO_END_HEADERS: [&str; 6] = [
    "authorization",
    "cache-control",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
];

/// Prefix of the headers of our own protocol, which `Connection` may not name either.
const OWN_HEADER_PREFIX: &str = "auburnbridge-";

/// Longest `Content-Length` text: the digits of the largest 64-bit number.
const MAX_LENGTH_DIGITS: usize = 20;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Sized(u64),
    /// The body is chunked.
    Chunked,
}

/// A parsed request head.
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    pub(crate) expects_continue: bool,
    pub(crate) verdict: Verdict,
}

/// A parsed response head.
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    pub(crate) announced_length: Option<u64>,
    pub(crate) verdict: Verdict,
}

/// Finds the end of the head in `buf`, checking the line endings from `from` on.
///
/// `from` is a position up to which an earlier call has checked.
pub(crate) fn find_head_end(buf: &[u8], from: usize) -> Result<Option<usize>, FramingError> {
    for at in from..buf.len() {
        match buf[at] {
            b'\n' if at == 0 || buf[at - 1] != b'\r' => return Err(FramingError::LineEnding),
            b'\n' if at >= 3 && buf[at - 3..at] == *b"\r\n\r" => return Ok(Some(at + 1)),
            b'\n' => {}
            _ if at > 0 && buf[at - 1] == b'\r' => return Err(FramingError::LineEnding),
            _ => {}
        }
    }
    Ok(None)
}

/// Parses a request head that ends in an empty line.
pub(crate) fn parse_request_head(
    head: &[u8],
    limits: &Limits,
) -> Result<RequestHead, FramingError> {
    let mut table = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut table[..limits.headers]);
    match parsed.parse(head) {
        Ok(Status::Complete(length)) if length == head.len() => {}
        Ok(_) => return Err(FramingError::StartLine),
        Err(error) => return Err(classify(error, head)),
    }
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(FramingError::StartLine);
    };
    if method == "CONNECT" {
        return Err(FramingError::Method);
    }
    let fields = Fields::collect(parsed.headers, version, head.len())?;
    let host = find_host(parsed.headers)?;
    let path = check_target(method, target, host)?;
    if version == 1 && host.is_none() {
        return Err(FramingError::HostMissing);
    }
    let framing = match (fields.length, fields.is_chunked) {
        (_, true) => Framing::Chunked,
        (Some(0) | None, false) => Framing::Empty,
        (Some(length), false) => Framing::Sized(length),
    };
    Ok(RequestHead {
        method: method.to_owned(),
        path: path.to_owned(),
        framing,
        expects_continue: find_expectation(parsed.headers)? && version == 1,
        verdict: fields.verdict(),
        headers: fields.headers,
    })
}

/// Parses a response head that ends in an empty line.
pub(crate) fn parse_response_head(
    head: &[u8],
    info: RequestInfo,
    limits: &Limits,
) -> Result<ResponseHead, FramingError> {
    let mut table = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut table[..limits.headers]);
    match parsed.parse(head) {
        Ok(Status::Complete(length)) if length == head.len() => {}
        Ok(_) => return Err(FramingError::StartLine),
        Err(error) => return Err(classify(error, head)),
    }
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(FramingError::StartLine);
    };
    if !(100..=599).contains(&status) {
        return Err(FramingError::Status);
    }
    if status == 101 {
        return Err(FramingError::UpgradeUnrequested);
    }
    let fields = Fields::collect(parsed.headers, version, head.len())?;
    let mut verdict = fields.verdict();
    let mut announced_length = None;
    let framing = if Response::is_bodiless(status, info) {
        let announces_body = fields.is_chunked || fields.length.is_some_and(|length| length > 0);
        if announces_body && !info.is_head && status != 304 {
            return Err(FramingError::BodyForbidden);
        }
        // A target that sends the announced body by mistake would have it read as the next answer.
        if announces_body {
            verdict = Verdict::Retire;
        }
        if info.is_head || status == 304 {
            announced_length = fields.length;
        }
        Framing::Empty
    } else {
        match (fields.length, fields.is_chunked) {
            (_, true) => Framing::Chunked,
            (Some(0), false) => Framing::Empty,
            (Some(length), false) => Framing::Sized(length),
            // A body up to the end of the connection can't be told from a truncated one.
            (None, false) => return Err(FramingError::LengthMissing),
        }
    };
    Ok(ResponseHead {
        status,
        headers: fields.headers,
        framing,
        announced_length,
        verdict,
    })
}

/// Checks the lines of a trailer section that ends in an empty line. The trailers are dropped.
pub(crate) fn check_trailers(section: &[u8], limits: &Limits) -> Result<(), FramingError> {
    let mut table = [EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(section, &mut table[..limits.headers]) {
        Ok(Status::Complete((length, _))) if length == section.len() => Ok(()),
        Ok(_) => Err(FramingError::HeaderName),
        Err(error) => Err(classify_fields(error, section)),
    }
}

/// The headers of a head, sorted into those to forward and those that concern this connection.
struct Fields {
    headers: Headers,
    length: Option<u64>,
    is_chunked: bool,
    closes: bool,
}

impl Fields {
    fn collect(
        fields: &[httparse::Header<'_>],
        version: u8,
        head_bytes: usize,
    ) -> Result<Self, FramingError> {
        let mut sorted = Self {
            headers: Headers::with_capacity(fields.len(), head_bytes),
            length: None,
            is_chunked: false,
            // HTTP/1.0 has no reliable keep-alive.
            closes: version == 0,
        };
        let mut names_headers = false;
        for field in fields {
            let name = field.name;
            if !is_connection_header(name) {
                sorted.headers.push_checked(name, field.value);
            } else if name.eq_ignore_ascii_case("content-length") {
                sorted.take_length(field.value)?;
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                sorted.take_coding(field.value, version)?;
            } else if name.eq_ignore_ascii_case("connection") {
                names_headers |= sorted.take_connection(field.value)?;
            }
        }
        if sorted.is_chunked && sorted.length.is_some() {
            return Err(FramingError::LengthAndCoding);
        }
        if names_headers {
            sorted.drop_named(fields);
        }
        Ok(sorted)
    }

    fn verdict(&self) -> Verdict {
        if self.closes {
            Verdict::Retire
        } else {
            Verdict::Reuse
        }
    }

    fn take_length(&mut self, value: &[u8]) -> Result<(), FramingError> {
        if self.length.is_some() {
            return Err(FramingError::LengthRepeated);
        }
        if value.len() > MAX_LENGTH_DIGITS || !value.iter().all(u8::is_ascii_digit) {
            return Err(FramingError::LengthInvalid);
        }
        let length = std::str::from_utf8(value)
            .ok()
            .and_then(|digits| digits.parse().ok())
            .ok_or(FramingError::LengthInvalid)?;
        self.length = Some(length);
        Ok(())
    }

    fn take_coding(&mut self, value: &[u8], version: u8) -> Result<(), FramingError> {
        if self.is_chunked || version == 0 || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(FramingError::TransferCoding);
        }
        self.is_chunked = true;
        Ok(())
    }

    /// Reads `Connection`; tells whether it names headers.
    fn take_connection(&mut self, value: &[u8]) -> Result<bool, FramingError> {
        let mut names_headers = false;
        for option in connection_options(value) {
            if !is_token(option) || is_end_to_end(option) {
                return Err(FramingError::ConnectionOption);
            }
            if option.eq_ignore_ascii_case(b"close") {
                self.closes = true;
            } else if !option.eq_ignore_ascii_case(b"keep-alive") {
                names_headers = true;
            }
        }
        Ok(names_headers)
    }

    fn drop_named(&mut self, fields: &[httparse::Header<'_>]) {
        let connection = || {
            fields
                .iter()
                .filter(|field| field.name.eq_ignore_ascii_case("connection"))
                .flat_map(|field| connection_options(field.value))
        };
        self.headers.retain(|name| {
            !connection().any(|option| option.eq_ignore_ascii_case(name.as_bytes()))
        });
    }
}

/// Finds the single `Host`, which may be empty.
fn find_host<'a>(fields: &[httparse::Header<'a>]) -> Result<Option<&'a str>, FramingError> {
    let mut hosts = fields
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case("host"));
    let Some(host) = hosts.next() else {
        return Ok(None);
    };
    if hosts.next().is_some() {
        return Err(FramingError::HostRepeated);
    }
    let is_host_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~%!$&'()*+;=:[]".contains(byte);
    std::str::from_utf8(host.value)
        .ok()
        .filter(|text| text.as_bytes().iter().all(is_host_byte))
        .map(Some)
        .ok_or(FramingError::HostInvalid)
}

/// Whether the request waits for an interim response before it sends its body.
fn find_expectation(fields: &[httparse::Header<'_>]) -> Result<bool, FramingError> {
    let mut is_expected = false;
    for field in fields {
        if !field.name.eq_ignore_ascii_case("expect") {
            continue;
        }
        if !field.value.eq_ignore_ascii_case(b"100-continue") {
            return Err(FramingError::Expectation);
        }
        is_expected = true;
    }
    Ok(is_expected)
}

fn is_connection_header(name: &str) -> bool {
    has_prefix(name.as_bytes(), PROXY_HEADER_PREFIX)
        || CONNECTION_HEADERS
            .iter()
            .any(|header| header.eq_ignore_ascii_case(name))
}

fn has_prefix(name: &[u8], prefix: &str) -> bool {
    name.get(..prefix.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(prefix.as_bytes()))
}

fn is_end_to_end(option: &[u8]) -> bool {
    has_prefix(option, OWN_HEADER_PREFIX)
        || END_TO_END_HEADERS
            .iter()
            .any(|header| option.eq_ignore_ascii_case(header.as_bytes()))
}

fn connection_options(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value
        .split(|byte| *byte == b',')
        .map(<[u8]>::trim_ascii)
        .filter(|option| !option.is_empty())
}

/// Checks the request target and gives its path and query.
fn check_target<'a>(
    method: &str,
    target: &'a str,
    host: Option<&str>,
) -> Result<&'a str, FramingError> {
    let is_visible = target
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'#');
    if !is_visible {
        return Err(FramingError::RequestTarget);
    }
    if target.starts_with('/') || (target == "*" && method == "OPTIONS") {
        return Ok(target);
    }
    let absolute = target
        .strip_prefix("http://")
        .ok_or(FramingError::RequestTarget)?;
    let at = absolute.find('/').ok_or(FramingError::RequestTarget)?;
    let (authority, path) = absolute.split_at(at);
    match host {
        Some(host) if host.eq_ignore_ascii_case(authority) => Ok(path),
        Some(_) => Err(FramingError::HostInvalid),
        None => Err(FramingError::HostMissing),
    }
}

fn classify(error: ParserError, head: &[u8]) -> FramingError {
    let fields = head
        .windows(2)
        .position(|pair| pair == b"\r\n")
        .map_or(&[][..], |at| &head[at + 2..]);
    classify_fields(error, fields)
}

/// Names the rule behind a parser error; `fields` are the header lines.
fn classify_fields(error: ParserError, fields: &[u8]) -> FramingError {
    match error {
        ParserError::Version => FramingError::Version,
        ParserError::TooManyHeaders => FramingError::TooManyHeaders,
        ParserError::Status => FramingError::Status,
        ParserError::Token => FramingError::StartLine,
        ParserError::NewLine => FramingError::LineEnding,
        ParserError::HeaderName | ParserError::HeaderValue => fields
            .split(|byte| *byte == b'\n')
            .find_map(classify_line)
            .unwrap_or(if error == ParserError::HeaderName {
                FramingError::HeaderName
            } else {
                FramingError::HeaderValue
            }),
    }
}

fn classify_line(line: &[u8]) -> Option<FramingError> {
    let is_blank = |byte: &u8| matches!(byte, b' ' | b'\t');
    if line.first().is_some_and(is_blank) {
        return Some(FramingError::FoldedHeader);
    }
    let colon = line.iter().position(|byte| *byte == b':')?;
    line[..colon]
        .last()
        .is_some_and(is_blank)
        .then_some(FramingError::SpaceBeforeColon)
}
