//! Evidence about one target from real work.
//!
//! The evidence is a cumulative sum of log-likelihood ratios (CUSUM) between "this target fails half
//! of its work" and "this target fails as rarely as a healthy one", bounded below by zero. Among
//! rules with the same rate of false alarms CUSUM detects a change soonest. Its one threshold is
//! the setting that trades false ejections for detection time.

use auburnbridge_types::{Millis, Timestamp};

/// Result of one exchange, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A whole answer after this time.
    Answered(Millis),
    /// The target's own server error (5xx), which healthy targets also give now and then.
    ServerError,
    /// The connection was refused or could not be made.
    ConnectFailed,
    /// The answer was cut short or malformed.
    AnswerBroken,
    /// No answer before the deadline.
    TimedOut,
    /// The target shed the request, which is not a fault.
    Shed,
    /// The exchange says nothing about the target: the caller cancelled it, or the request itself
    /// crashes targets.
    NotAttributable,
}

/// Share of failures of a healthy target.
const HEALTHY_FAILURE_RATE: f64 = 0.01;
/// Share of failures of a sick target.
const SICK_FAILURE_RATE: f64 = 0.5;
/// Evidence beyond this bound is not added up, so that recovery needs a bounded number of successes.
pub(crate) const SUSPICION_LIMIT: f64 = 24.0;
/// Answers that take longer than this multiple of the peers' typical time count as slow.
const SLOW_FACTOR: f64 = 5.0;
/// Shorter answers are never slow, whatever the peers do.
const SLOW_MINIMUM_MS: f64 = 50.0;
/// A server error counts less than a broken answer, since a bad request can cause it on any target.
const SERVER_ERROR_WEIGHT: f64 = 0.5;
/// A slow answer counts less than none.
const SLOW_WEIGHT: f64 = 0.5;
/// A request in flight for this multiple of the slow limit counts as much as one that failed.
const SILENT_FACTOR: f64 = 4.0;
/// Weight of the newest sample in the average answer time.
const LATENCY_WEIGHT: f64 = 0.1;

/// Evidence about one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    suspicion: f64,
    latency_ms: Option<f64>,
    last_success: Option<Timestamp>,
    last_fault: Option<Timestamp>,
    observations: u64,
}

/// Evidence of one observation of a healthy target, in nats; it is negative.
pub(crate) fn success_evidence() -> f64 {
    ((1.0 - SICK_FAILURE_RATE) / (1.0 - HEALTHY_FAILURE_RATE)).ln()
}

fn failure_evidence() -> f64 {
    (SICK_FAILURE_RATE / HEALTHY_FAILURE_RATE).ln()
}

/// Answer time from which an answer is slow; infinite while the peers' time is unknown.
pub(crate) fn slow_limit_ms(peer_latency_ms: Option<f64>) -> f64 {
    peer_latency_ms.map_or(f64::INFINITY, |peers| {
        (peers * SLOW_FACTOR).max(SLOW_MINIMUM_MS)
    })
}

/// Evidence of a request that is still in flight after `age`. It is provisional: the result replaces
/// it. Without it a silent target would show its first failure only when a deadline ends.
pub(crate) fn in_flight_evidence(age: Millis, slow_limit_ms: f64) -> f64 {
    let age_ms = milliseconds(age);
    if age_ms <= slow_limit_ms {
        return 0.0;
    }
    if age_ms <= slow_limit_ms * SILENT_FACTOR {
        return failure_evidence() * SLOW_WEIGHT;
    }
    failure_evidence()
}

fn milliseconds(time: Millis) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}

impl Health {
    /// Adds one observation; `peer_latency_ms` is the typical answer time of the other targets.
    pub fn observe(
        &mut self,
        now: Timestamp,
        observation: Observation,
        peer_latency_ms: Option<f64>,
    ) {
        let failure = failure_evidence();
        let evidence = match observation {
            Observation::Shed | Observation::NotAttributable => return,
            Observation::Answered(time) => {
                self.last_success = Some(now);
                if self.record_latency(time, peer_latency_ms) {
                    failure * SLOW_WEIGHT
                } else {
                    success_evidence()
                }
            }
            Observation::ServerError => failure * SERVER_ERROR_WEIGHT,
            Observation::ConnectFailed | Observation::AnswerBroken | Observation::TimedOut => {
                failure
            }
        };
        if evidence > 0.0 {
            self.last_fault = Some(now);
        }
        self.observations += 1;
        self.suspicion = (self.suspicion + evidence).clamp(0.0, SUSPICION_LIMIT);
    }

    fn record_latency(&mut self, time: Millis, peer_latency_ms: Option<f64>) -> bool {
        let time_ms = milliseconds(time);
        let average = self.latency_ms.unwrap_or(time_ms);
        self.latency_ms = Some(average + (time_ms - average) * LATENCY_WEIGHT);
        time_ms > slow_limit_ms(peer_latency_ms)
    }

    /// Evidence against the target, in nats.
    pub fn suspicion(&self) -> f64 {
        self.suspicion
    }

    /// Average answer time in milliseconds.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Time of the last whole answer.
    pub fn last_success(&self) -> Option<Timestamp> {
        self.last_success
    }

    /// Time of the last observation that spoke against the target.
    pub fn last_fault(&self) -> Option<Timestamp> {
        self.last_fault
    }

    /// Number of observations that said something about the target.
    pub fn observations(&self) -> u64 {
        self.observations
    }

    /// Forgets the evidence, after a trial that passed or a restart of the target.
    pub fn clear_suspicion(&mut self) {
        self.suspicion = 0.0;
    }
}
