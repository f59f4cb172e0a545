//! Rule lines as text, for edits and comparisons.

use std::fmt;
use std::str::FromStr;

use auburnbridge_types::ParseError;
use serde::{Deserialize, Serialize};

use crate::line::{SplitLine, file_lines};

/// The leading words that identify a line, such as `route GET /bins/*`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LineKey(String);

impl LineKey {
    /// Key of a line; `None` if its kind is unknown or it has too few words.
    pub(crate) fn of(line: &SplitLine<'_>) -> Option<Self> {
        let words = line.words.get(..line.spec()?.key_word_count)?;
        Some(Self(words.join(" ")))
    }

    /// Whether `text` is a line with this key.
    fn identifies(&self, text: &str) -> bool {
        let mut words = text.split_ascii_whitespace();
        self.0.split(' ').all(|expected| {
            words
                .next()
                // A comment may follow the last word without a space before `#`.
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

    /// Parses a key from the text of the key or from a whole line.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        SplitLine::parse(text)
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
    /// The unmodified text of the line.
    pub text: &'a str,
    /// The leading words that identify the line.
    pub key: LineKey,
    /// The service to which a `service` or `route` line belongs.
    pub service: Option<&'a str>,
    /// Who asked for the rule, with any details that follow the name.
    pub asked_by: Option<&'a str>,
}

/// The lines of a file that hold a rule, without lines of unknown kind.
pub fn rule_lines(text: &str) -> impl Iterator<Item = RuleLine<'_>> {
    (1..).zip(file_lines(text)).filter_map(|(number, text)| {
        let line = SplitLine::parse(text)?;
        let service = line.spec()?.service_word_index;
        Some(RuleLine {
            number,
            text,
            key: LineKey::of(&line)?,
            service: service.and_then(|position| line.words.get(position).copied()),
            asked_by: line.asked_by(),
        })
    })
}

/// Whether two lines have the same words and the same comment, ignoring spacing.
pub(crate) fn same_content(left: &str, right: &str) -> bool {
    left == right || left.split_whitespace().eq(right.split_whitespace())
}
