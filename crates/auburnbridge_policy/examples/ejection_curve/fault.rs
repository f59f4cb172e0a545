//! Injected faults and the random failures of healthy targets.

use auburnbridge_policy::Observation;
use auburnbridge_types::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Median service time of a healthy target.
pub const SERVICE_MEDIAN_US: f64 = 30_000.0;
/// Standard deviation of the logarithm of the service time.
const SERVICE_SIGMA: f64 = 0.5;
/// Share of requests whose service time is multiplied by a Pareto factor (shape 1.5, at most 20).
const TAIL_SHARE: f64 = 0.005;
/// Share of the requests that a healthy target fails.
const HEALTHY_FAILURE_RATE: f64 = 0.005;
/// Time until a refused connection is reported.
const REFUSED_CONNECTION_US: u64 = 1_000;
/// Half of the period of a flapping target.
const FLAP_HALF_PERIOD_US: u64 = 3_000_000;
/// Time in which a cold target reaches its normal speed.
const COLD_START_US: u64 = 20_000_000;

/// A fault, or a load condition without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The target refuses all connections.
    Dead,
    /// The target accepts requests and never answers.
    Silent,
    /// The target truncates all answers.
    HalfAnswers,
    /// The target truncates half of its answers.
    FailsHalf,
    /// The target takes ten times as long.
    Slow,
    /// The target alternates between 3 s of truncated answers and 3 s without a fault.
    Flapping,
    /// The target truncates its answers to the entries of the first data centre only.
    OneDataCentre,
    /// Half of the first entry's exchanges, with all targets, never end.
    BadLink,
    /// No fault.
    Noise,
    /// No fault, and arrivals at 1.3 times capacity.
    Overload,
    /// No fault; one target restarts at a tenth of its normal speed, which it reaches after 20 s.
    ColdStart,
    /// Two fifths of the targets truncate all answers.
    ManySick,
}

impl Fault {
    /// All variants, in the order of the report.
    pub const ALL: [Self; 12] = [
        Self::Dead,
        Self::Silent,
        Self::HalfAnswers,
        Self::FailsHalf,
        Self::Slow,
        Self::Flapping,
        Self::OneDataCentre,
        Self::BadLink,
        Self::Noise,
        Self::Overload,
        Self::ColdStart,
        Self::ManySick,
    ];

    /// Whether the target is faulty for requests from the entry.
    pub fn affects(self, target: usize, targets: usize, entry: usize, data_centre: usize) -> bool {
        match self {
            Self::Noise | Self::Overload | Self::ColdStart => false,
            Self::BadLink => entry == 0,
            Self::OneDataCentre => target == 0 && data_centre == 0,
            Self::ManySick => target < targets * 2 / 5,
            Self::Dead
            | Self::Silent
            | Self::HalfAnswers
            | Self::FailsHalf
            | Self::Slow
            | Self::Flapping => target == 0,
        }
    }
}

/// How an exchange ends unless its deadline comes first.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeEnd {
    /// Time after the dispatch; `None` means never.
    pub after_us: Option<u64>,
    /// What the entry observes.
    pub observation: Observation,
    /// Whether the exchange holds a slot of the target.
    pub holds_slot: bool,
}

/// Draws the end of an exchange with a healthy target.
pub fn draw_healthy(rng: &mut ChaCha8Rng) -> ExchangeEnd {
    let service_us = service_time_us(rng);
    let draw: f64 = rng.random();
    let (after_us, observation) = if draw < HEALTHY_FAILURE_RATE / 2.0 {
        (service_us, Observation::ServerError)
    } else if draw < HEALTHY_FAILURE_RATE * 0.75 {
        (service_us, Observation::InvalidAnswer)
    } else if draw < HEALTHY_FAILURE_RATE {
        (REFUSED_CONNECTION_US, Observation::ConnectFailed)
    } else {
        (service_us, answered(service_us))
    };
    ExchangeEnd {
        after_us: Some(after_us),
        observation,
        holds_slot: observation != Observation::ConnectFailed,
    }
}

/// Applies a fault that began `age_us` ago to the end of an exchange.
pub fn apply_fault(
    fault: Fault,
    age_us: u64,
    end: ExchangeEnd,
    rng: &mut ChaCha8Rng,
) -> ExchangeEnd {
    let broken = ExchangeEnd {
        observation: Observation::InvalidAnswer,
        ..end
    };
    let never = ExchangeEnd {
        after_us: None,
        observation: Observation::TimedOut,
        holds_slot: true,
    };
    match fault {
        Fault::Dead => ExchangeEnd {
            after_us: Some(REFUSED_CONNECTION_US),
            observation: Observation::ConnectFailed,
            holds_slot: false,
        },
        // The listener still accepts connections, so the target has no limit and sheds nothing.
        Fault::Silent => ExchangeEnd {
            holds_slot: false,
            ..never
        },
        Fault::HalfAnswers | Fault::OneDataCentre | Fault::ManySick => broken,
        Fault::FailsHalf if rng.random_bool(0.5) => broken,
        Fault::Slow => slow_down(end, 10),
        Fault::Flapping if (age_us / FLAP_HALF_PERIOD_US).is_multiple_of(2) => broken,
        Fault::BadLink if rng.random_bool(0.5) => never,
        Fault::FailsHalf
        | Fault::Flapping
        | Fault::BadLink
        | Fault::Noise
        | Fault::Overload
        | Fault::ColdStart => end,
    }
}

/// Applies the slowness of a target that started `age_us` ago to the end of an exchange.
pub fn apply_cold_start(age_us: u64, end: ExchangeEnd) -> ExchangeEnd {
    let remaining = COLD_START_US.saturating_sub(age_us);
    slow_down(end, 1 + remaining * 9 / COLD_START_US)
}

fn slow_down(end: ExchangeEnd, factor: u64) -> ExchangeEnd {
    let after_us = end.after_us.map(|time| time * factor);
    let observation = match (end.observation, after_us) {
        (Observation::Answered(_), Some(time)) => answered(time),
        (other, _) => other,
    };
    ExchangeEnd {
        after_us,
        observation,
        ..end
    }
}

fn answered(time_us: u64) -> Observation {
    Observation::Answered(Millis(time_us / 1_000))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "service times are positive and far below the limit"
)]
fn service_time_us(rng: &mut ChaCha8Rng) -> u64 {
    let (first, second): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    let tail = if rng.random_bool(TAIL_SHARE) {
        (1.0 - rng.random::<f64>()).powf(-1.0 / 1.5).min(20.0)
    } else {
        1.0
    };
    (SERVICE_MEDIAN_US * (normal * SERVICE_SIGMA).exp() * tail) as u64
}
