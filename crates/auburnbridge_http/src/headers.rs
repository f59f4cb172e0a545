//! Ordered headers with case-insensitive lookup.

use std::fmt;

const DEL: u8 = 0x7f;

/// Headers in the order of the message, stored in one buffer to save an allocation per header.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Headers {
    buf: Vec<u8>,
    fields: Vec<FieldEnds>,
}

/// End positions of a header's name and value in the buffer; the name starts at the end of the
/// previous value.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FieldEnds {
    name_end: usize,
    value_end: usize,
}

impl Headers {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    pub(crate) fn with_capacity(fields: usize, bytes: usize) -> Self {
        Self {
            buf: Vec::with_capacity(bytes),
            fields: Vec::with_capacity(fields),
        }
    }

    /// The number of headers.
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Whether there is no header.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// The headers in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let mut start = 0;
        self.fields.iter().map(move |field| {
            let name = std::str::from_utf8(&self.buf[start..field.name_end])
                .expect("header names are validated as tokens when they are added");
            let value = &self.buf[field.name_end..field.value_end];
            start = field.value_end;
            (name, value)
        })
    }

    /// The first value of the header `name`.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.get_all(name).next()
    }

    /// The values of all headers `name`, in order.
    pub fn get_all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The first value of the header `name` as text.
    ///
    /// A value that is not UTF-8 is returned as an empty string, so that a malformed header is not
    /// treated as absent.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .map(|value| std::str::from_utf8(value).unwrap_or_default())
    }

    /// Adds a header at the end.
    ///
    /// Blanks and control characters at both ends of `value` are removed; a control character
    /// inside it becomes a space, as RFC 9110 advises, so that a value can't inject another header.
    ///
    /// # Panics
    ///
    /// Panics if `name` is not a token: names are constants, so that is a programming error.
    pub fn append(&mut self, name: &'static str, value: impl AsRef<[u8]>) {
        assert!(is_token(name.as_bytes()), "invalid header name {name:?}");
        let is_kept = |byte: &u8| *byte > b' ' && *byte != DEL;
        let value = value.as_ref();
        let start = value.iter().position(is_kept).unwrap_or(value.len());
        let end = value.iter().rposition(is_kept).map_or(start, |at| at + 1);
        let sanitized = value[start..end].iter().map(|byte| match byte {
            b'\t' => b'\t',
            0..b' ' | &DEL => b' ',
            _ => *byte,
        });
        self.buf.extend_from_slice(name.as_bytes());
        let name_end = self.buf.len();
        self.buf.extend(sanitized);
        self.finish_field(name_end);
    }

    /// Replaces all headers `name` by one at the end.
    pub fn set(&mut self, name: &'static str, value: impl AsRef<[u8]>) {
        self.remove(name);
        self.append(name, value);
    }

    /// Removes all headers `name`.
    pub fn remove(&mut self, name: &str) {
        self.retain(|other| !other.eq_ignore_ascii_case(name));
    }

    /// Keeps the headers for whose name `keep` returns `true`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        if self.iter().all(|(name, _)| keep(name)) {
            return;
        }
        let mut kept = Self::with_capacity(self.fields.len(), self.buf.len());
        for (name, value) in self.iter().filter(|(name, _)| keep(name)) {
            kept.push_validated(name, value);
        }
        *self = kept;
    }

    /// Adds a header whose name and value were already validated.
    pub(crate) fn push_validated(&mut self, name: &str, value: &[u8]) {
        self.buf.extend_from_slice(name.as_bytes());
        let name_end = self.buf.len();
        self.buf.extend_from_slice(value);
        self.finish_field(name_end);
    }

    fn finish_field(&mut self, name_end: usize) {
        self.fields.push(FieldEnds {
            name_end,
            value_end: self.buf.len(),
        });
    }
}

impl fmt::Debug for Headers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map()
            .entries(
                self.iter()
                    .map(|(name, value)| (name, value.escape_ascii().to_string())),
            )
            .finish()
    }
}

/// Whether `text` is a token as defined by RFC 9110.
pub(crate) fn is_token(text: &[u8]) -> bool {
    !text.is_empty()
        && text
            .iter()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte))
}
