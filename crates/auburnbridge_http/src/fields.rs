//! Sorting of a head's headers into those to forward and those that concern the connection.

use httparse::Header;

use crate::headers::is_token;
use crate::{FramingError, Headers, Verdict};

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

/// The headers of a head, sorted into those to forward and those that concern this connection.
pub(crate) struct Fields {
    pub(crate) headers: Headers,
    pub(crate) length: Option<u64>,
    pub(crate) is_chunked: bool,
    closes: bool,
}

impl Fields {
    pub(crate) fn collect(
        fields: &[Header<'_>],
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

    pub(crate) fn verdict(&self) -> Verdict {
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

    fn drop_named(&mut self, fields: &[Header<'_>]) {
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
