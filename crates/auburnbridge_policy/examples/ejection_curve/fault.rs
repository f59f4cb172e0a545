//! Scripted faults and the noise of healthy targets.

use auburnbridge_policy::Observation;
use auburnbridge_types::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Median of a healthy target's service time.
pub const SERVICE_MEDIAN_US: f64 = 30_000.0;
/// Standard deviation of the service time's logarithm.
const SERVICE_SIGMA: f64 = 0.5;
/// Share of requests whose service time has a Pareto factor (shape 1.5, up to 20) on top.
const TAIL_SHARE: f64 = 0.005;
/// Share of requests that a healthy target fails.
const NOISE_FAILURES: f64 = 0.005;
/// Time after which a refused connection is known.
const REFUSAL_US: u64 = 1_000;
/// Half period of a flapping target.
const FLAP_US: u64 = 3_000_000;
/// Time in which a cold target reaches its usual speed.
const WARM_UP_US: u64 = 20_000_000;

/// A fault, or a load condition that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Refuses every connection.
    Dead,
    /// Accepts requests and never answers.
    Silent,
    /// Cuts every answer short.
    HalfAnswers,
    /// Fails half of its work with a broken answer.
    FailsHalf,
    /// Takes ten times as long.
    Slow,
    /// Cuts its answers short for 3 s and is well for 3 s, in turns.
    Flapping,
    /// Cuts its answers short for the entries of the first data centre only.
    OneDataCentre,
    /// Half of the first entry's exchanges, with any target, never end.
    BadLink,
    /// No fault.
    Noise,
    /// No fault, and arrivals at 1.3 times capacity.
    Overload,
    /// One target restarts and needs 20 s to reach its speed, from a tenth of it.
    ColdStart,
    /// Two fifths of the targets cut all their answers short.
    ManySick,
}

impl Fault {
    /// All faults in the order of the report.
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
pub struct Ending {
    /// Time from the dispatch; `None` means never.
    pub after_us: Option<u64>,
    /// What the entry observes.
    pub observation: Observation,
    /// Whether the exchange holds a slot of the target.
    pub holds_slot: bool,
}

/// Draws the end of an exchange with a healthy target.
pub fn healthy(rng: &mut ChaCha8Rng) -> Ending {
    let service_us = service_time_us(rng);
    let draw: f64 = rng.random();
    let (after_us, observation) = if draw < NOISE_FAILURES / 2.0 {
        (service_us, Observation::ServerError)
    } else if draw < NOISE_FAILURES * 0.75 {
        (service_us, Observation::AnswerBroken)
    } else if draw < NOISE_FAILURES {
        (REFUSAL_US, Observation::ConnectFailed)
    } else {
        (service_us, answered(service_us))
    };
    Ending {
        after_us: Some(after_us),
        observation,
        holds_slot: observation != Observation::ConnectFailed,
    }
}

/// Changes an exchange with a target under a fault that began `age_us` ago.
pub fn faulty(fault: Fault, age_us: u64, ending: Ending, rng: &mut ChaCha8Rng) -> Ending {
    let broken = Ending {
        observation: Observation::AnswerBroken,
        ..ending
    };
    let never = Ending {
        after_us: None,
        observation: Observation::TimedOut,
        holds_slot: true,
    };
    match fault {
        Fault::Dead => Ending {
            after_us: Some(REFUSAL_US),
            observation: Observation::ConnectFailed,
            holds_slot: false,
        },
        // Its listener still accepts, so it has no limit and sheds nothing.
        Fault::Silent => Ending {
            holds_slot: false,
            ..never
        },
        Fault::HalfAnswers | Fault::OneDataCentre | Fault::ManySick => broken,
        Fault::FailsHalf if rng.random_bool(0.5) => broken,
        Fault::Slow => slower(ending, 10),
        Fault::Flapping if (age_us / FLAP_US).is_multiple_of(2) => broken,
        Fault::BadLink if rng.random_bool(0.5) => never,
        Fault::FailsHalf
        | Fault::Flapping
        | Fault::BadLink
        | Fault::Noise
        | Fault::Overload
        | Fault::ColdStart => ending,
    }
}

/// An exchange with a target that started `age_us` ago.
pub fn cold(age_us: u64, ending: Ending) -> Ending {
    let left = WARM_UP_US.saturating_sub(age_us);
    slower(ending, 1 + left * 9 / WARM_UP_US)
}

fn slower(ending: Ending, factor: u64) -> Ending {
    let after_us = ending.after_us.map(|time| time * factor);
    let observation = match (ending.observation, after_us) {
        (Observation::Answered(_), Some(time)) => answered(time),
        (other, _) => other,
    };
    Ending {
        after_us,
        observation,
        ..ending
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
