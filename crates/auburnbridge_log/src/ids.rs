//! Identifiers and counters of the log.

use std::fmt;
use std::str::FromStr;

use auburnbridge_types::ParseError;
use serde::{Deserialize, Serialize};

/// Random id of a replica, created with its data folder. A new folder on the same VM gets another
/// id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u128);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ReplicaId({:x})", self.0)
    }
}

impl FromStr for ReplicaId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("a replica id of 32 hexadecimal digits", text);
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| error())
    }
}

macro_rules! numeric_newtype {
    ($(#[$doc:meta])* $type:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $type(pub u64);

        impl $type {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// Returns the previous number, saturating at zero.
            #[must_use]
            pub const fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseError::new($expected, text))
            }
        }
    };
}

numeric_newtype!(
    /// Number of an election; a term has at most one leader.
    Term,
    "a term number"
);
numeric_newtype!(
    /// Position of a record in the log; the first record has index 1.
    LogIndex,
    "a log index"
);
numeric_newtype!(
    /// Handle chosen by the caller to match a reply to its proposal, read or member change.
    Token,
    "a token number"
);
