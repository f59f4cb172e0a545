//! Ejection settings of a service, from its line in the rules file.

use std::fmt;
use std::str::FromStr;

use auburnbridge_types::{Millis, ParseError, Slots};

/// Trade-off between few false ejections (0) and fast detection (100).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sensitivity(u8);

impl Sensitivity {
    /// Fewest false ejections.
    pub const CAREFUL: Self = Self(0);
    /// Fastest detection.
    pub const FAST: Self = Self(100);
    /// Threshold for one entry's evidence at `careful`, in nats: four consecutive failures.
    const CAREFUL_THRESHOLD: f64 = 15.0;
    /// Threshold for one entry's evidence at `fast`, in nats: three consecutive failures. With a lower
    /// threshold, two consecutive random failures ejected healthy targets thousands of times a day.
    const FAST_THRESHOLD: f64 = 11.0;
    /// Threshold for the combined evidence of several entries at `careful`, in nats.
    const CAREFUL_SHARED_THRESHOLD: f64 = 18.0;
    /// Threshold for the combined evidence of several entries at `fast`, in nats.
    const FAST_SHARED_THRESHOLD: f64 = 9.0;

    /// Creates a sensitivity of `value`, capped at 100.
    pub fn new(value: u8) -> Self {
        Self(value.min(Self::FAST.0))
    }

    /// Evidence of one entry at which it ejects a target, in nats.
    pub fn threshold(self) -> f64 {
        self.interpolate(Self::CAREFUL_THRESHOLD, Self::FAST_THRESHOLD)
    }

    /// Combined evidence of several entries at which a target is ejected, in nats.
    pub fn shared_threshold(self) -> f64 {
        self.interpolate(Self::CAREFUL_SHARED_THRESHOLD, Self::FAST_SHARED_THRESHOLD)
    }

    fn interpolate(self, careful: f64, fast: f64) -> f64 {
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

/// Ejection settings of one service. Its queue and retry settings are those of
/// [`crate::AdmissionPolicy`] and [`crate::RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Minimum number of slots that ejections leave in use.
    pub floor: Slots,
    /// Trade-off between false ejections and detection time.
    pub sensitivity: Sensitivity,
    /// Duration of the first ejection; each further one doubles it.
    pub base_ejection_time: Millis,
    /// Upper bound of the duration of an ejection.
    pub max_ejection_time: Millis,
    /// Successful requests that end a trial after the first ejection. Each further ejection adds as
    /// many, up to eight times this number.
    pub trial_successes: u32,
    /// Time in use after which the count of earlier ejections falls by one.
    pub ejection_decay_time: Millis,
}

impl EjectionPolicy {
    /// Returns a builder with the default settings.
    pub fn builder() -> EjectionPolicyBuilder {
        EjectionPolicyBuilder(Self {
            floor: Slots(0),
            sensitivity: Sensitivity::CAREFUL,
            base_ejection_time: Millis(5_000),
            max_ejection_time: Millis(120_000),
            trial_successes: 5,
            ejection_decay_time: Millis(60_000),
        })
    }
}

/// Builds an [`EjectionPolicy`].
#[derive(Clone, Debug)]
pub struct EjectionPolicyBuilder(EjectionPolicy);

impl EjectionPolicyBuilder {
    /// Sets the floor.
    #[must_use]
    pub fn floor(mut self, floor: Slots) -> Self {
        self.0.floor = floor;
        self
    }

    /// Sets the trade-off between false ejections and detection time.
    #[must_use]
    pub fn sensitivity(mut self, sensitivity: Sensitivity) -> Self {
        self.0.sensitivity = sensitivity;
        self
    }

    /// Sets the duration of the first ejection.
    #[must_use]
    pub fn base_ejection_time(mut self, time: Millis) -> Self {
        self.0.base_ejection_time = time;
        self
    }

    /// Sets the upper bound of the duration of an ejection.
    #[must_use]
    pub fn max_ejection_time(mut self, limit: Millis) -> Self {
        self.0.max_ejection_time = limit;
        self
    }

    /// Sets the number of successful requests that end a trial after the first ejection.
    #[must_use]
    pub fn trial_successes(mut self, successes: u32) -> Self {
        self.0.trial_successes = successes;
        self
    }

    /// Sets the time in use after which the count of earlier ejections falls by one.
    #[must_use]
    pub fn ejection_decay_time(mut self, time: Millis) -> Self {
        self.0.ejection_decay_time = time;
        self
    }

    /// Returns the policy.
    pub fn build(self) -> EjectionPolicy {
        self.0
    }
}
