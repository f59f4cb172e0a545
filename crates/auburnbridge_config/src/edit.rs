//! Edits to the rules, and the replies.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use auburnbridge_rules::RuleError;
use auburnbridge_types::{IdempotencyKey, ParseError, Revision, Timestamp};
use serde::{Deserialize, Serialize};

use crate::change::Change;

/// Maximum number of errors that a reply lists; `auburnbridge check` lists all of them.
pub const MAX_REPLY_ERRORS: usize = 1_000;

const MAX_AUTHOR_BYTES: usize = 64;

/// Identity of an edit across resends: a UUID version 7, which contains its creation time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EditId(IdempotencyKey);

impl EditId {
    /// Time at which the operator created the id.
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

/// An edit to the rules, as stored in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Identity of the edit across resends.
    pub id: EditId,
    /// Operator who sent the edit.
    pub author: Author,
    /// Revision on which the operator based the edit; `None` applies it to any revision.
    pub expected: Option<Revision>,
    /// The change to the rules.
    pub change: Change,
}

/// Reply to an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditReply {
    /// The edit was applied.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The rules have changed since the expected revision.
    Stale {
        /// The revision in force.
        current: Revision,
    },
    /// The resulting rules would be invalid.
    Invalid {
        /// The first [`MAX_REPLY_ERRORS`] errors.
        errors: Vec<RuleError>,
        /// Number of errors that are not listed.
        omitted: u32,
    },
    /// No line matches the selector.
    NoSuchLine,
    /// The edit is a resend; contains the first reply.
    Repeated(Box<EditReply>),
    /// The id was used before for a different edit.
    IdReused,
    /// The creation time of the id is outside the window of accepted ids.
    IdExpired,
    /// Too many ids were seen in the last 24 h; the edit may be resent later.
    TooManyEdits,
}

impl EditReply {
    /// Creates an `Invalid` reply with at most [`MAX_REPLY_ERRORS`] errors.
    pub(crate) fn invalid(mut errors: Vec<RuleError>) -> Self {
        let omitted = errors.len().saturating_sub(MAX_REPLY_ERRORS);
        errors.truncate(MAX_REPLY_ERRORS);
        Self::Invalid {
            errors,
            omitted: u32::try_from(omitted).unwrap_or(u32::MAX),
        }
    }
}
