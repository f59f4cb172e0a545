//! Separation of a message's end-to-end headers from its hop-by-hop and framing headers.

use httparse::Header;

use crate::headers::is_token;
use crate::{FramingError, Headers, KeepAlive};

/// Headers that apply to one connection or frame the body, and are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the headers between a client and the next proxy, which are not forwarded either.
const PROXY_HEADER_PREFIX: &str = "proxy-";

/// Headers that `Connection` must not name, since a caller could otherwise remove headers that
/// routing, accounts and the ledger depend on.
const PROTECTED_HEADERS: [&str; 6] = [
    "authorization",
    "cache-control",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
];

/// Prefix of this proxy's own headers, which `Connection` must not name either.
const PROTECTED_HEADER_PREFIX: &str = "auburnbridge-";

/// Decimal digits of the largest 64-bit number.
const MAX_CONTENT_LENGTH_DIGITS: usize = 20;

/// The end-to-end headers of a message, and what its other headers say about the connection.
pub(crate) struct MessageHeaders {
    pub(crate) headers: Headers,
    pub(crate) length: Option<u64>,
    pub(crate) is_chunked: bool,
    closes: bool,
}

impl MessageHeaders {
    pub(crate) fn from_fields(
        fields: &[Header<'_>],
        version: u8,
        capacity_bytes: usize,
    ) -> Result<Self, FramingError> {
        let mut collected = Self {
            headers: Headers::with_capacity(fields.len(), capacity_bytes),
            length: None,
            is_chunked: false,
            // HTTP/1.0 has no reliable keep-alive.
            closes: version == 0,
        };
        let mut names_headers = false;
        for field in fields {
            let name = field.name;
            if !is_hop_by_hop(name) {
                collected.headers.push_validated(name, field.value);
            } else if name.eq_ignore_ascii_case("content-length") {
                collected.parse_content_length(field.value)?;
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                collected.parse_transfer_encoding(field.value, version)?;
            } else if name.eq_ignore_ascii_case("connection") {
                names_headers |= collected.parse_connection(field.value)?;
            }
        }
        if collected.is_chunked && collected.length.is_some() {
            return Err(FramingError::LengthAndCoding);
        }
        if names_headers {
            collected.remove_connection_named(fields);
        }
        Ok(collected)
    }

    pub(crate) fn keep_alive(&self) -> KeepAlive {
        if self.closes {
            KeepAlive::Close
        } else {
            KeepAlive::Reuse
        }
    }

    fn parse_content_length(&mut self, value: &[u8]) -> Result<(), FramingError> {
        if self.length.is_some() {
            return Err(FramingError::LengthRepeated);
        }
        if value.len() > MAX_CONTENT_LENGTH_DIGITS || !value.iter().all(u8::is_ascii_digit) {
            return Err(FramingError::LengthInvalid);
        }
        let length = std::str::from_utf8(value)
            .ok()
            .and_then(|digits| digits.parse().ok())
            .ok_or(FramingError::LengthInvalid)?;
        self.length = Some(length);
        Ok(())
    }

    fn parse_transfer_encoding(&mut self, value: &[u8], version: u8) -> Result<(), FramingError> {
        if self.is_chunked || version == 0 || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(FramingError::TransferCoding);
        }
        self.is_chunked = true;
        Ok(())
    }

    /// Parses `Connection` and returns whether it names headers to remove.
    fn parse_connection(&mut self, value: &[u8]) -> Result<bool, FramingError> {
        let mut names_headers = false;
        for option in connection_options(value) {
            if !is_token(option) || is_protected(option) {
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

    fn remove_connection_named(&mut self, fields: &[Header<'_>]) {
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

fn is_hop_by_hop(name: &str) -> bool {
    has_prefix(name.as_bytes(), PROXY_HEADER_PREFIX)
        || HOP_BY_HOP_HEADERS
            .iter()
            .any(|header| header.eq_ignore_ascii_case(name))
}

fn has_prefix(name: &[u8], prefix: &str) -> bool {
    name.get(..prefix.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(prefix.as_bytes()))
}

fn is_protected(option: &[u8]) -> bool {
    has_prefix(option, PROTECTED_HEADER_PREFIX)
        || PROTECTED_HEADERS
            .iter()
            .any(|header| option.eq_ignore_ascii_case(header.as_bytes()))
}

fn connection_options(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value
        .split(|byte| *byte == b',')
        .map(<[u8]>::trim_ascii)
        .filter(|option| !option.is_empty())
}
