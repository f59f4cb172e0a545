//! Edits and their replies.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use auburnbridge_rules::RuleError;
use auburnbridge_types::{IdempotencyKey, ParseError, Revision, Timestamp};
use serde::{Deserialize, Serialize};

use crate::change::Change;

/// Errors that a reply lists; `auburnbridge check` lists all of them.
pub const MAX_REPLY_ERRORS: usize = 1_000;

const MAX_AUTHOR_BYTES: usize = 64;

/// Identity of an edit across resends: a UUID version 7, which holds its time of creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EditId(IdempotencyKey);

impl EditId {
    /// Time at which the operator made the id.
    pub fn created(&self) -> Timestamp {
        self.0.created()
    }
}

impl From<IdempotencyKey> for EditId {
    fn from(key: IdempotencyKey) -> Self {
        Self(key)
    }
}

impl FromStr for EditId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self)
    }
}

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Name of the operator who sent an edit: 1 to 64 bytes without control characters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Author(Arc<str>);

impl FromStr for Author {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if (1..=MAX_AUTHOR_BYTES).contains(&text.len()) && !text.contains(char::is_control) {
            Ok(Self(text.into()))
        } else {
            Err(ParseError::new("an author of 1 to 64 bytes", text))
        }
    }
}

impl TryFrom<String> for Author {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Author> for String {
    fn from(author: Author) -> Self {
        author.0.as_ref().to_owned()
    }
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Identity of the edit across resends.
    pub id: EditId,
    /// Operator who sent it.
    pub author: Author,
    /// Revision to which the operator made the edit; `None` applies it to any revision.
    pub expected: Option<Revision>,
    /// What changes.
    pub change: Change,
}

/// Reply to an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditReply {
    /// The edit made this revision.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The rules have changed since the expected revision.
    Stale {
        /// The revision in force.
        current: Revision,
    },
    /// The rules would not be valid.
    Invalid {
        /// Every error, up to [`MAX_REPLY_ERRORS`].
        errors: Vec<RuleError>,
        /// Number of errors that are not listed.
        omitted: u32,
    },
    /// No line matches the line to be changed.
    NoSuchLine,
    /// The id was seen before and the first reply was this one.
    Repeated(Box<EditReply>),
    /// The id was seen before with another edit.
    IdReused,
    /// The id's creation time is outside the window in which ids are remembered.
    IdExpired,
    /// Too many ids of the last 24 h are remembered; the edit may be sent again later.
    TooManyEdits,
}

impl EditReply {
    /// A reply with the errors that fit.
    pub(crate) fn invalid(mut errors: Vec<RuleError>) -> Self {
        let omitted = errors.len().saturating_sub(MAX_REPLY_ERRORS);
        errors.truncate(MAX_REPLY_ERRORS);
        Self::Invalid {
            errors,
            omitted: u32::try_from(omitted).unwrap_or(u32::MAX),
        }
    }
}
