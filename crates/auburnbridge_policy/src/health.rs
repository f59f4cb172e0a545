//! Passive health check: evidence about one target from the requests it gets.
//!
//! The evidence is a cumulative sum (CUSUM) of log-likelihood ratios between the hypotheses "the
//! target fails half of its requests" and "the target fails as rarely as a healthy one", bounded
//! below by zero. Among tests with the same false alarm rate, CUSUM detects a change soonest. Its
//! only threshold is the setting that trades false ejections against detection time.

use auburnbridge_types::{Millis, Timestamp};

/// Result of one exchange of an entry, as far as it is evidence about the target. Gateways use
/// [`crate::balance::Finding`]; neither is converted to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The complete answer came after this time.
    Answered(Millis),
    /// The target answered with a server error (5xx), as healthy targets occasionally do.
    ServerError,
    /// The connection was refused or couldn't be established.
    ConnectFailed,
    /// The answer was truncated or malformed.
    InvalidAnswer,
    /// No answer came before the deadline.
    TimedOut,
    /// The target shed the request, which is not a failure.
    Shed,
    /// The exchange is no evidence: the caller cancelled it, or the request itself crashes targets.
    NotAttributable,
}

/// Failure rate of a healthy target.
const HEALTHY_FAILURE_RATE: f64 = 0.01;
/// Failure rate of an unhealthy target.
const UNHEALTHY_FAILURE_RATE: f64 = 0.5;
/// Upper bound of the evidence in nats, so that recovery needs a bounded number of successes.
pub(crate) const MAX_SUSPICION: f64 = 24.0;
/// Answers that take longer than this multiple of the median latency of the service's targets are
/// slow.
const SLOW_FACTOR: f64 = 5.0;
/// Lower bound of the slow limit; answers up to this time are never slow.
const MIN_SLOW_LIMIT_MS: f64 = 50.0;
/// A server error counts less than a malformed answer, since a bad request causes it on any target.
const SERVER_ERROR_WEIGHT: f64 = 0.5;
/// A slow answer counts less than a missing one.
const SLOW_WEIGHT: f64 = 0.5;
/// A request in flight for longer than this multiple of the slow limit counts as a failure.
const OVERDUE_FACTOR: f64 = 4.0;
/// Weight of the newest sample in the average latency.
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

/// Evidence of one success, in nats; it is negative.
pub(crate) fn success_evidence() -> f64 {
    ((1.0 - UNHEALTHY_FAILURE_RATE) / (1.0 - HEALTHY_FAILURE_RATE)).ln()
}

fn failure_evidence() -> f64 {
    (UNHEALTHY_FAILURE_RATE / HEALTHY_FAILURE_RATE).ln()
}

/// Time beyond which an answer is slow; infinite while the median latency of the service's targets
/// is unknown.
pub(crate) fn slow_limit_ms(median_latency_ms: Option<f64>) -> f64 {
    median_latency_ms.map_or(f64::INFINITY, |median| {
        (median * SLOW_FACTOR).max(MIN_SLOW_LIMIT_MS)
    })
}

/// Provisional evidence of a request that is still in flight after `age`, in nats; the result of the
/// request replaces it. Without it, the first failure of a silent target would count only when a
/// deadline passes.
pub(crate) fn in_flight_evidence(age: Millis, slow_limit_ms: f64) -> f64 {
    let age_ms = millis_f64(age);
    if age_ms <= slow_limit_ms {
        return 0.0;
    }
    if age_ms <= slow_limit_ms * OVERDUE_FACTOR {
        return failure_evidence() * SLOW_WEIGHT;
    }
    failure_evidence()
}

fn millis_f64(time: Millis) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}

impl Health {
    /// Adds one observation; `median_latency_ms` is the median latency of the service's targets,
    /// this one included.
    pub fn observe(
        &mut self,
        now: Timestamp,
        observation: Observation,
        median_latency_ms: Option<f64>,
    ) {
        let failure = failure_evidence();
        let evidence = match observation {
            Observation::Shed | Observation::NotAttributable => return,
            Observation::Answered(time) => {
                self.last_success = Some(now);
                if self.record_latency(time, median_latency_ms) {
                    failure * SLOW_WEIGHT
                } else {
                    success_evidence()
                }
            }
            Observation::ServerError => failure * SERVER_ERROR_WEIGHT,
            Observation::ConnectFailed | Observation::InvalidAnswer | Observation::TimedOut => {
                failure
            }
        };
        if evidence > 0.0 {
            self.last_fault = Some(now);
        }
        self.observations += 1;
        self.suspicion = (self.suspicion + evidence).clamp(0.0, MAX_SUSPICION);
    }

    fn record_latency(&mut self, time: Millis, median_latency_ms: Option<f64>) -> bool {
        let time_ms = millis_f64(time);
        let average = self.latency_ms.unwrap_or(time_ms);
        self.latency_ms = Some(average + (time_ms - average) * LATENCY_WEIGHT);
        time_ms > slow_limit_ms(median_latency_ms)
    }

    /// Evidence against the target, in nats.
    pub fn suspicion(&self) -> f64 {
        self.suspicion
    }

    /// Average latency in milliseconds.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Time of the last complete answer.
    pub fn last_success(&self) -> Option<Timestamp> {
        self.last_success
    }

    /// Time of the last observation that raised the suspicion.
    pub fn last_fault(&self) -> Option<Timestamp> {
        self.last_fault
    }

    /// Number of observations that were evidence.
    pub fn observations(&self) -> u64 {
        self.observations
    }

    /// Resets the evidence after a passed trial or a restart of the target.
    pub fn clear_suspicion(&mut self) {
        self.suspicion = 0.0;
    }
}
