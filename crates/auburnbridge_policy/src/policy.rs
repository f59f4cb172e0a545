//! Settings of a service's decisions, as its rule line gives them.

use std::fmt;
use std::str::FromStr;

use auburnbridge_types::{Millis, ParseError, Slots};

/// Position on the curve between few false ejections (0) and quick detection (100).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Dial(u8);

impl Dial {
    /// Few false ejections.
    pub const CAREFUL: Self = Self(0);
    /// Quick detection.
    pub const FAST: Self = Self(100);
    /// Evidence of several entries needed at the careful end, in nats: odds of 160,000 to 1.
    const CAREFUL_THRESHOLD: f64 = 12.0;
    /// Evidence of several entries needed at the fast end, in nats: odds of 3,000 to 1.
    const FAST_THRESHOLD: f64 = 8.0;
    /// Evidence that an entry needs on top when no other entry sees the problem: one more failure
    /// in a row. With less, two failures in a row by chance ejected targets thousands of times a day.
    const ALONE_MARGIN: f64 = 3.0;

    /// Evidence of this entry alone at which a target is ejected, in nats.
    pub fn threshold(self) -> f64 {
        self.shared_threshold() + Self::ALONE_MARGIN
    }

    /// Evidence of several entries together at which a target is ejected, in nats.
    pub fn shared_threshold(self) -> f64 {
        let share = f64::from(self.0) / 100.0;
        Self::CAREFUL_THRESHOLD + (Self::FAST_THRESHOLD - Self::CAREFUL_THRESHOLD) * share
    }
}

impl FromStr for Dial {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "careful" => Ok(Self::CAREFUL),
            "fast" => Ok(Self::FAST),
            number => match number.parse() {
                Ok(value @ 0..=100) => Ok(Self(value)),
                _ => Err(ParseError::new("`careful`, `fast` or 0 to 100", text)),
            },
        }
    }
}

impl fmt::Display for Dial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::CAREFUL => f.write_str("careful"),
            Self::FAST => f.write_str("fast"),
            Self(value) => write!(f, "{value}"),
        }
    }
}

/// How decisions are made for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Slots that ejections never go below.
    pub floor: Slots,
    /// Position on the curve of the ejection policy.
    pub dial: Dial,
    /// Length of a first ejection; each further one doubles it.
    pub ejection_time: Millis,
    /// Upper bound of an ejection's length.
    pub ejection_limit: Millis,
    /// Successes in a trial that end it.
    pub trial_successes: u32,
    /// Healthy time after which one earlier ejection is forgiven.
    pub forgive_after: Millis,
}

impl ServicePolicy {
    /// Starts a policy with the defaults.
    pub fn builder() -> ServicePolicyBuilder {
        ServicePolicyBuilder(Self {
            floor: Slots(0),
            dial: Dial::CAREFUL,
            ejection_time: Millis(5_000),
            ejection_limit: Millis(120_000),
            trial_successes: 5,
            forgive_after: Millis(60_000),
        })
    }
}

/// Builds a [`ServicePolicy`].
#[derive(Clone, Debug)]
pub struct ServicePolicyBuilder(ServicePolicy);

impl ServicePolicyBuilder {
    /// Sets the floor.
    #[must_use]
    pub fn floor(mut self, floor: Slots) -> Self {
        self.0.floor = floor;
        self
    }

    /// Sets the position on the ejection curve.
    #[must_use]
    pub fn dial(mut self, dial: Dial) -> Self {
        self.0.dial = dial;
        self
    }

    /// Sets the length of a first ejection.
    #[must_use]
    pub fn ejection_time(mut self, time: Millis) -> Self {
        self.0.ejection_time = time;
        self
    }

    /// Sets the upper bound of an ejection's length.
    #[must_use]
    pub fn ejection_limit(mut self, limit: Millis) -> Self {
        self.0.ejection_limit = limit;
        self
    }

    /// Sets the successes that end a trial.
    #[must_use]
    pub fn trial_successes(mut self, successes: u32) -> Self {
        self.0.trial_successes = successes;
        self
    }

    /// Sets the healthy time after which one earlier ejection is forgiven.
    #[must_use]
    pub fn forgive_after(mut self, time: Millis) -> Self {
        self.0.forgive_after = time;
        self
    }

    /// The finished policy.
    pub fn build(self) -> ServicePolicy {
        self.0
    }
}
