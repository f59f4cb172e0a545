//! Path patterns of routes and normalization of request paths.
//!
//! A target may treat differently spelled paths as the same resource. A request whose spelling
//! bypasses the route of a non-idempotent operation could run twice, so both sides of a lookup are
//! normalized: percent-encoded unreserved characters are decoded (RFC 3986, section 6.2.2), and
//! paths with dot segments, empty segments or encoded separators match no route.

use std::borrow::Cow;
use std::fmt::{self, Write};
use std::sync::Arc;

/// Reason why a path is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidPath(pub &'static str);

/// An exact path, or a wildcard for every path that starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PathPattern {
    /// The whole path, or for a wildcard the part up to and including the last `/`. Shared between
    /// the copies of the rules that successive edits create.
    pub(crate) stem: Arc<str>,
    pub(crate) wildcard: bool,
}

impl PathPattern {
    /// Parses a path, which may end in `/*`.
    pub fn parse(text: &str) -> Result<Self, InvalidPath> {
        Self::check(text)?;
        Ok(Self::from_checked(text))
    }

    /// Validates a path without building the pattern.
    pub(crate) fn check(text: &str) -> Result<(), InvalidPath> {
        let (stem, _) = split_wildcard(text);
        if stem.contains('*') {
            return Err(InvalidPath("`*` is allowed only as the last segment"));
        }
        if normalize(stem)? != stem {
            return Err(InvalidPath("an unreserved character is percent-encoded"));
        }
        Ok(())
    }

    /// Builds a pattern from a text that [`Self::check`] accepted.
    pub(crate) fn from_checked(text: &str) -> Self {
        let (stem, wildcard) = split_wildcard(text);
        Self {
            stem: stem.into(),
            wildcard,
        }
    }

    /// Whether the pattern matches a normalized path.
    pub fn matches(&self, path: &str) -> bool {
        if self.wildcard {
            path.starts_with(&*self.stem)
        } else {
            path == &*self.stem
        }
    }
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.stem)?;
        f.write_str(if self.wildcard { "*" } else { "" })
    }
}

fn split_wildcard(text: &str) -> (&str, bool) {
    if text.ends_with("/*") {
        (&text[..text.len() - 1], true)
    } else {
        (text, false)
    }
}

/// Normalizes a request's path, given without its query, for the lookup.
pub fn normalize(path: &str) -> Result<Cow<'_, str>, InvalidPath> {
    if !path.starts_with('/') {
        return Err(InvalidPath("a path starts with `/`"));
    }
    if !path.bytes().all(is_path_byte) {
        return Err(InvalidPath(
            "a path holds only the characters that RFC 3986 allows",
        ));
    }
    let decoded = if path.contains('%') {
        Cow::Owned(decode_unreserved(path)?)
    } else {
        Cow::Borrowed(path)
    };
    let mut segments = decoded[1..].split('/').peekable();
    while let Some(segment) = segments.next() {
        if segment.is_empty() && segments.peek().is_some() {
            return Err(InvalidPath("a path has no empty segment"));
        }
        if segment == "." || segment == ".." {
            return Err(InvalidPath("a path has no `.` or `..` segment"));
        }
    }
    Ok(decoded)
}

fn is_path_byte(byte: u8) -> bool {
    is_unreserved(byte) || b"/%!$&'()*+,;=:@".contains(&byte)
}

fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~".contains(&byte)
}

fn decode_unreserved(path: &str) -> Result<String, InvalidPath> {
    let mut decoded = String::with_capacity(path.len());
    let mut rest = path;
    while let Some(at) = rest.find('%') {
        decoded.push_str(&rest[..at]);
        let byte = rest
            .get(at + 1..at + 3)
            .filter(|digits| digits.bytes().all(|digit| digit.is_ascii_hexdigit()))
            .and_then(|digits| u8::from_str_radix(digits, 16).ok())
            .ok_or(InvalidPath("`%` is followed by two hexadecimal digits"))?;
        match byte {
            b'/' | b'\\' | 0 => return Err(InvalidPath("a path has no encoded separator")),
            byte if is_unreserved(byte) => decoded.push(char::from(byte)),
            byte => write!(decoded, "%{byte:02X}").expect("writing to a string succeeds"),
        }
        rest = &rest[at + 3..];
    }
    decoded.push_str(rest);
    Ok(decoded)
}
