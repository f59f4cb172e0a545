//! Counts, times, sizes and rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

macro_rules! quantity {
    ($(#[$doc:meta])* $type:ident($inner:ty), $unit:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub $inner);

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.strip_suffix($unit)
                    .unwrap_or(text)
                    .parse()
                    .map(Self)
                    .map_err(|_| ParseError::new($expected, text))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }
    };
}

quantity!(
    /// Number of a target's life: a restarted target announces a higher one.
    Incarnation(u64), "", "a whole number"
);
quantity!(
    /// Position of an announcement among those of one incarnation.
    Sequence(u64), "", "a whole number"
);
quantity!(
    /// Number of a state of the rules; a later state has a higher one.
    Revision(u64), "", "a whole number"
);
quantity!(
    /// Point in time, in milliseconds since the Unix epoch.
    Timestamp(u64), "", "a time in milliseconds since the Unix epoch"
);
quantity!(
    /// Duration in milliseconds.
    Millis(u64), "ms", "a duration in milliseconds, such as `250ms`"
);
quantity!(
    /// Number of requests that a target runs at the same time.
    Slots(u32), "", "a whole number of slots"
);
quantity!(
    /// Size in bytes.
    ByteSize(u64), "B", "a size in bytes, such as `65536B`"
);
quantity!(
    /// Rate per second.
    RatePerSecond(u32), "/s", "a rate per second, such as `50/s`"
);

quantity!(
    /// Version of a published configuration; the highest one takes effect.
    ConfigVersion(u64), "", "a whole number"
);
quantity!(
    /// Rank of a route; 0 goes first.
    Priority(u32), "", "a whole number"
);
quantity!(
    /// Share of a destination among those of its route, relative to the sum.
    Weight(u32), "", "a whole number"
);

impl Timestamp {
    /// The point in time that lies `duration` later.
    #[must_use]
    pub fn after(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// The time that has passed since `earlier`, or zero when that lies ahead.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Revision {
    /// The revision after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
