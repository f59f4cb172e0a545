//! Parsing and validation of message heads.
//!
//! `httparse` splits a head into lines, names and values. It accepts bare line feeds and doesn't
//! interpret headers, so this module validates line endings and headers.

use httparse::{EMPTY_HEADER, Error as ParserError, Status};

use crate::hop_by_hop::MessageHeaders;
use crate::limits::MAX_HEADERS;
use crate::{FramingError, Headers, KeepAlive, Limits, RequestInfo, Response};

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Sized(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends at the end of the stream.
    UntilClose,
}

impl Framing {
    /// The length that the head announces, if it does.
    pub(crate) fn announced_length(self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Sized(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// A parsed request head.
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    pub(crate) expects_continue: bool,
    pub(crate) keep_alive: KeepAlive,
}

/// A parsed response head.
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    pub(crate) announced_length: Option<u64>,
    pub(crate) keep_alive: KeepAlive,
}

/// Finds the end of the head in `buf` and validates the line endings from `from` on.
///
/// `from` is the position up to which an earlier call has scanned.
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
    let mut header_table = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut header_table[..limits.max_headers]);
    match parsed.parse(head) {
        Ok(Status::Complete(length)) if length == head.len() => {}
        Ok(_) => return Err(FramingError::StartLine),
        Err(error) => return Err(to_framing_error(error, head)),
    }
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(FramingError::StartLine);
    };
    if method == "CONNECT" {
        return Err(FramingError::Method);
    }
    let fields = MessageHeaders::from_fields(parsed.headers, version, head.len())?;
    let host = find_host(parsed.headers)?;
    let path = validate_target(method, target, host)?;
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
        expects_continue: parse_expect(parsed.headers)? && version == 1,
        keep_alive: fields.keep_alive(),
        headers: fields.headers,
    })
}

/// Parses a response head that ends in an empty line.
pub(crate) fn parse_response_head(
    head: &[u8],
    info: RequestInfo,
    limits: &Limits,
) -> Result<ResponseHead, FramingError> {
    let mut header_table = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut header_table[..limits.max_headers]);
    match parsed.parse(head) {
        Ok(Status::Complete(length)) if length == head.len() => {}
        Ok(_) => return Err(FramingError::StartLine),
        Err(error) => return Err(to_framing_error(error, head)),
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
    let fields = MessageHeaders::from_fields(parsed.headers, version, head.len())?;
    let mut keep_alive = fields.keep_alive();
    let mut announced_length = None;
    let framing = if Response::is_bodiless(status, info) {
        let announces_body = fields.is_chunked || fields.length.is_some_and(|length| length > 0);
        if announces_body && !info.is_head && status != 304 {
            return Err(FramingError::BodyForbidden);
        }
        // If the target sends a body by mistake, it would be read as the next response.
        if announces_body || (info.is_head && fields.length != Some(0)) {
            keep_alive = KeepAlive::Close;
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
            (None, false) if limits.accepts_unframed_responses => {
                keep_alive = KeepAlive::Close;
                Framing::UntilClose
            }
            // A body that ends with the connection can't be distinguished from a truncated one.
            (None, false) => return Err(FramingError::LengthMissing),
        }
    };
    Ok(ResponseHead {
        status,
        headers: fields.headers,
        framing,
        announced_length,
        keep_alive,
    })
}

/// Validates a trailer section that ends in an empty line. The trailers are discarded.
pub(crate) fn validate_trailers(section: &[u8], limits: &Limits) -> Result<(), FramingError> {
    let mut header_table = [EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(section, &mut header_table[..limits.max_headers]) {
        Ok(Status::Complete((length, _))) if length == section.len() => Ok(()),
        Ok(_) => Err(FramingError::HeaderName),
        Err(error) => Err(header_framing_error(error, section)),
    }
}

/// Returns the value of the only `Host` header, which may be empty.
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

/// Whether the caller waits for `100 Continue` before it sends the body.
fn parse_expect(fields: &[httparse::Header<'_>]) -> Result<bool, FramingError> {
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

/// Validates the request target and returns its path and query.
fn validate_target<'a>(
    method: &str,
    target: &'a str,
    host: Option<&str>,
) -> Result<&'a str, FramingError> {
    let is_valid = target
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'#');
    if !is_valid {
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

fn to_framing_error(error: ParserError, head: &[u8]) -> FramingError {
    let fields = head
        .windows(2)
        .position(|pair| pair == b"\r\n")
        .map_or(&[][..], |at| &head[at + 2..]);
    header_framing_error(error, fields)
}

/// Maps a parser error to the violated rule; `fields` are the header lines.
fn header_framing_error(error: ParserError, fields: &[u8]) -> FramingError {
    match error {
        ParserError::Version => FramingError::Version,
        ParserError::TooManyHeaders => FramingError::TooManyHeaders,
        ParserError::Status => FramingError::Status,
        ParserError::Token => FramingError::StartLine,
        ParserError::NewLine => FramingError::LineEnding,
        ParserError::HeaderName | ParserError::HeaderValue => fields
            .split(|byte| *byte == b'\n')
            .find_map(header_line_error)
            .unwrap_or(if error == ParserError::HeaderName {
                FramingError::HeaderName
            } else {
                FramingError::HeaderValue
            }),
    }
}

fn header_line_error(line: &[u8]) -> Option<FramingError> {
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
