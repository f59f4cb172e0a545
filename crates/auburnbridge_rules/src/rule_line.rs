//! Lines of a file as texts, for edits and comparisons.

use std::fmt;
use std::str::FromStr;

use auburnbridge_types::ParseError;
use serde::{Deserialize, Serialize};

use crate::line::{LineText, file_lines};

/// The words that identify a line, such as `route GET /bins/*`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LineKey(String);

impl LineKey {
    /// The key of a line of known kind that has enough words.
    pub(crate) fn of(line: &LineText<'_>) -> Option<Self> {
        let words = line.words.get(..line.spec()?.key_words)?;
        Some(Self(words.join(" ")))
    }

    /// Whether `text` is a line with this key.
    fn identifies(&self, text: &str) -> bool {
        let mut words = text.split_ascii_whitespace();
        self.0.split(' ').all(|expected| {
            words
                .next()
                // A comment may follow the last word without a space.
                .is_some_and(|word| word.split('#').next() == Some(expected))
        })
    }

    /// Number of the first line with this key, counted from 1.
    pub fn find(&self, text: &str) -> Option<u32> {
        (1..)
            .zip(file_lines(text))
            .find(|(_, line)| self.identifies(line))
            .map(|(number, _)| number)
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for LineKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for LineKey {
    type Err = ParseError;

    /// Reads a key from its own text or from a whole line.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        LineText::split(text)
            .as_ref()
            .and_then(Self::of)
            .ok_or_else(|| {
                ParseError::new("the first words of a line, such as `service stock`", text)
            })
    }
}

/// A line that holds a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleLine<'a> {
    /// Number of the line, counted from 1.
    pub number: u32,
    /// The line as it stands in the file.
    pub text: &'a str,
    /// The words that identify it.
    pub key: LineKey,
    /// The service to which a `service` or `route` line belongs.
    pub service: Option<&'a str>,
    /// Who asked for it, with any details.
    pub asked_by: Option<&'a str>,
}

/// The lines of a file that hold a rule; a line of unknown kind is left out.
pub fn rule_lines(text: &str) -> impl Iterator<Item = RuleLine<'_>> {
    (1..).zip(file_lines(text)).filter_map(|(number, text)| {
        let line = LineText::split(text)?;
        let service = line.spec()?.service_word;
        Some(RuleLine {
            number,
            text,
            key: LineKey::of(&line)?,
            service: service.and_then(|position| line.words.get(position).copied()),
            asked_by: line.asked_by(),
        })
    })
}

/// Whether two lines have the same words and the same comment, whatever their spacing.
pub(crate) fn same_content(left: &str, right: &str) -> bool {
    left == right || left.split_whitespace().eq(right.split_whitespace())
}
