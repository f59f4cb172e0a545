//! Ordered headers with case-insensitive lookup.

use std::fmt;

const DELETE: u8 = 0x7f;

/// Headers in the order of the message, stored in one buffer to save an allocation per header.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Headers {
    text: Vec<u8>,
    fields: Vec<Field>,
}

/// Ends of a header's name and value in the buffer; the name starts where the last value ended.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Field {
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
            text: Vec::with_capacity(bytes),
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
            let name = std::str::from_utf8(&self.text[start..field.name_end])
                .expect("a header's name is checked to be a token when it is added");
            let value = &self.text[field.name_end..field.value_end];
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
    /// A value that is not UTF-8 reads as empty, so that an unreadable header is not taken for an
    /// absent one.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .map(|value| std::str::from_utf8(value).unwrap_or_default())
    }

    /// Adds a header at the end.
    ///
    /// Blanks and control characters at both ends of `value` are dropped; a control character
    /// inside becomes a space, as RFC 9110 advises, so a value can't start another header.
    ///
    /// # Panics
    ///
    /// Names are constants of the program; one that is not a token is a programming error.
    pub fn append(&mut self, name: &'static str, value: impl AsRef<[u8]>) {
        assert!(is_token(name.as_bytes()), "invalid header name {name:?}");
        let is_text = |byte: &u8| *byte > b' ' && *byte != DELETE;
        let value = value.as_ref();
        let start = value.iter().position(is_text).unwrap_or(value.len());
        let end = value.iter().rposition(is_text).map_or(start, |at| at + 1);
        let clean = value[start..end].iter().map(|byte| match byte {
            b'\t' => b'\t',
            0..b' ' | &DELETE => b' ',
            _ => *byte,
        });
        self.text.extend_from_slice(name.as_bytes());
        let name_end = self.text.len();
        self.text.extend(clean);
        self.close_field(name_end);
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

    /// Keeps the headers whose name passes `keep`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        if self.iter().all(|(name, _)| keep(name)) {
            return;
        }
        let mut kept = Self::with_capacity(self.fields.len(), self.text.len());
        for (name, value) in self.iter().filter(|(name, _)| keep(name)) {
            kept.push_checked(name, value);
        }
        *self = kept;
    }

    /// Adds a header whose name and value the parser has checked.
    pub(crate) fn push_checked(&mut self, name: &str, value: &[u8]) {
        self.text.extend_from_slice(name.as_bytes());
        let name_end = self.text.len();
        self.text.extend_from_slice(value);
        self.close_field(name_end);
    }

    fn close_field(&mut self, name_end: usize) {
        self.fields.push(Field {
            name_end,
            value_end: self.text.len(),
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

/// Whether `text` is a token of RFC 9110.
pub(crate) fn is_token(text: &[u8]) -> bool {
    !text.is_empty()
        && text
            .iter()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte))
}
