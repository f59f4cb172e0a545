//! Counters, times, sizes and rates.

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
    /// Number of a process; the same target or entry has a higher one after a restart.
    Incarnation(u64), "", "a whole number"
);
quantity!(
    /// Position of an announcement within one incarnation.
    Sequence(u64), "", "a whole number"
);
quantity!(
    /// Revision of the rules; a later revision has a higher number.
    Revision(u64), "", "a whole number"
);
quantity!(
    /// Point in time in milliseconds since the Unix epoch.
    Timestamp(u64), "", "a time in milliseconds since the Unix epoch"
);
quantity!(
    /// Duration in milliseconds.
    Millis(u64), "ms", "a duration in milliseconds, such as `250ms`"
);
quantity!(
    /// Number of requests that a target runs concurrently.
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
    /// Rate of a transfer in bytes per second.
    ByteRate(u64), "B/s", "a rate in bytes per second, such as `8192B/s`"
);
quantity!(
    /// Rate of requests, in thousandths of a request per second.
    RequestRate(u64), "m/s", "a rate in thousandths of a request per second, such as `500m/s`"
);
quantity!(
    /// Version of a published configuration; the highest one takes effect.
    ConfigVersion(u64), "", "a whole number"
);
quantity!(
    /// Random number that identifies a run of a request on a target.
    RunId(u64), "", "a whole number"
);
quantity!(
    /// Priority of a route; 0 is the highest.
    Priority(u32), "", "a whole number"
);
quantity!(
    /// Weight of a destination, relative to the sum of the weights of its route.
    Weight(u32), "", "a whole number"
);

/// Rate of a network link, in bits per second. It is written in Mbit/s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkRate(pub u64);

const BITS_PER_MEGABIT: u64 = 1_000_000;
/// Decimal places of a link rate in Mbit/s.
const LINK_RATE_DECIMALS: usize = 6;

impl LinkRate {
    /// Bytes that the link carries in a second.
    pub fn bytes_per_second(self) -> u64 {
        self.0 / 8
    }
}

impl FromStr for LinkRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("a link rate in Mbit/s, such as `1.4Mbit/s`", text);
        let is_number = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        let number = text.strip_suffix("Mbit/s").ok_or_else(error)?;
        let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
        if !is_number(whole) || !is_number(decimals) || decimals.len() > LINK_RATE_DECIMALS {
            return Err(error());
        }
        let whole: u64 = whole.parse().map_err(|_| error())?;
        let decimals: u64 = format!("{decimals:0<LINK_RATE_DECIMALS$}")
            .parse()
            .map_err(|_| error())?;
        whole
            .checked_mul(BITS_PER_MEGABIT)
            .and_then(|bits| bits.checked_add(decimals))
            .map(Self)
            .ok_or_else(error)
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, rest) = (self.0 / BITS_PER_MEGABIT, self.0 % BITS_PER_MEGABIT);
        if rest == 0 {
            return write!(f, "{whole}Mbit/s");
        }
        let decimals = format!("{rest:0LINK_RATE_DECIMALS$}");
        write!(f, "{whole}.{}Mbit/s", decimals.trim_end_matches('0'))
    }
}

impl Timestamp {
    /// Returns the point in time `duration` later, or the latest possible one on overflow.
    #[must_use]
    pub fn after(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Revision {
    /// Returns the next revision.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
