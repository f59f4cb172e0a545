//! Settings of a service's decisions, as its rule line gives them.

use std::fmt;
use std::str::FromStr;

use auburnbridge_types::{Millis, ParseError, Slots};

/// Position on the curve between few false ejections (0) and quick detection (100).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sensitivity(u8);

impl Sensitivity {
    /// Few false ejections.
    pub const CAREFUL: Self = Self(0);
    /// Quick detection.
    pub const FAST: Self = Self(100);
    /// Evidence of one entry needed at the careful end, in nats: four failures in a row.
    const CAREFUL_THRESHOLD: f64 = 15.0;
    /// Evidence of one entry needed at the fast end, in nats: three failures in a row. With less,
    /// two failures in a row by chance ejected targets thousands of times a day.
    const FAST_THRESHOLD: f64 = 11.0;
    /// Evidence of several entries needed at the careful end, in nats.
    const CAREFUL_SHARED_THRESHOLD: f64 = 18.0;
    /// Evidence of several entries needed at the fast end, in nats.
    const FAST_SHARED_THRESHOLD: f64 = 9.0;

    /// The position `value`, at most 100.
    pub fn new(value: u8) -> Self {
        Self(value.min(Self::FAST.0))
    }

    /// Evidence of this entry alone at which a target is ejected, in nats.
    pub fn threshold(self) -> f64 {
        self.between(Self::CAREFUL_THRESHOLD, Self::FAST_THRESHOLD)
    }

    /// Evidence of several entries together at which a target is ejected, in nats.
    pub fn shared_threshold(self) -> f64 {
        self.between(Self::CAREFUL_SHARED_THRESHOLD, Self::FAST_SHARED_THRESHOLD)
    }

    fn between(self, careful: f64, fast: f64) -> f64 {
        careful + (fast - careful) * f64::from(self.0) / 100.0
    }
}

impl FromStr for Sensitivity {
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

impl fmt::Display for Sensitivity {
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
    pub sensitivity: Sensitivity,
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
            sensitivity: Sensitivity::CAREFUL,
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
    pub fn sensitivity(mut self, sensitivity: Sensitivity) -> Self {
        self.0.sensitivity = sensitivity;
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
