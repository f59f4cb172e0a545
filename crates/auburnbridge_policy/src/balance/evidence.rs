//! Evidence against a target: the sum of log-likelihood ratios of its findings, bounded below by
//! zero, with exponential decay. The unit is the nat, that of natural logarithms.

use auburnbridge_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// What one exchange of a gateway shows about its target. Entries use [`crate::Observation`];
/// neither is converted to the other.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Finding {
    /// A complete answer in the usual time.
    Answered,
    /// A complete answer that took several times the usual time.
    Slow,
    /// An error response of the target, which healthy targets also return occasionally.
    ServerError,
    /// The connection closed as the request arrived, or the answer is malformed.
    Broken,
    /// The connection closed while the target was processing the request.
    Interrupted,
    /// No answer within several times the usual time.
    Silent,
    /// The target rejected the request because it was at capacity.
    Shed,
    /// The target refused the connection: its process is not running.
    Refused,
    /// No connection could be established.
    Unreachable,
    /// Another target now uses the address.
    Replaced,
}

/// Source of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Observed by this gateway.
    Own,
    /// Reported by another gateway.
    Reported,
}

// The weights of findings are log-likelihood ratios in nats: a failing target against a working
// one.

/// Weight of a server error. Healthy targets return an error for about one request in a hundred,
/// and they far outnumber failing ones.
const ERROR_WEIGHT: f64 = 2.0;
/// Weight of a broken answer, which healthy targets hardly ever produce.
const BROKEN_WEIGHT: f64 = 4.5;
/// Weight of a connection that closed during processing. The path may be the cause as well, and all
/// requests are interrupted together when this VM loses its connections.
const INTERRUPTED_WEIGHT: f64 = 1.0;
/// Weight of silence, which rare long requests cause as well.
const SILENT_WEIGHT: f64 = 3.0;
/// Weight of a slow answer. It is still an answer, and long requests are as rare as errors.
const SLOW_WEIGHT: f64 = 2.0;
/// Weight of an answer, which is a quarter as likely from a target that fails three quarters of its
/// requests.
const ANSWER_WEIGHT: f64 = -1.4;
/// Weight of a failure to connect, which a lossy path causes as well.
const UNREACHABLE_WEIGHT: f64 = 3.0;
/// Upper limit of the evidence, so that three answers in a row clear a target.
const MAX_EVIDENCE: f64 = 4.5;
/// Half-life of the evidence. Partial failures last 2 to 7 seconds, and two half-lives after a
/// broken answer a target is hardly more likely to fail than one without recent findings.
const HALF_LIFE_MS: f64 = 3_500.0;
/// Evidence from which a target is strongly suspected. One error or slow answer doesn't reach it;
/// one broken answer does, even with an answer after it, since a failing target answers a quarter
/// of its requests.
pub(super) const STRONG_THRESHOLD: f64 = 2.5;

/// Time after which a request in flight proves that its target works: failing targets close the
/// connection within a few milliseconds.
pub(super) const PROOF_TIME: Millis = Millis(25);

/// Evidence that decays over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Evidence {
    /// Value at the time `at`, in nats.
    value: f64,
    at: Timestamp,
}

impl Evidence {
    /// The evidence at `now`, in nats.
    pub(super) fn value(&self, now: Timestamp) -> f64 {
        // Most targets have no evidence against them, and each decision evaluates all targets.
        if self.value == 0.0 {
            return 0.0;
        }
        let age = now.since(self.at).0;
        let age = f64::from(u32::try_from(age).unwrap_or(u32::MAX));
        self.value * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    pub(super) fn add(&mut self, now: Timestamp, weight: f64) {
        self.value = (self.value(now) + weight).clamp(0.0, MAX_EVIDENCE);
        self.at = now;
    }

    pub(super) fn clear(&mut self) {
        self.value = 0.0;
    }
}

impl Finding {
    /// Classifies a connection that closed without an answer, by the time since the request was
    /// sent.
    pub fn from_closed_connection(after: Millis) -> Self {
        if after < PROOF_TIME {
            Self::Broken
        } else {
            Self::Interrupted
        }
    }

    /// Evidence about the target itself, in nats.
    pub(super) fn target_evidence(self) -> f64 {
        match self {
            Self::Answered => ANSWER_WEIGHT,
            Self::Slow => SLOW_WEIGHT,
            Self::ServerError => ERROR_WEIGHT,
            Self::Broken => BROKEN_WEIGHT,
            Self::Interrupted => INTERRUPTED_WEIGHT,
            Self::Silent => SILENT_WEIGHT,
            Self::Shed | Self::Refused | Self::Unreachable | Self::Replaced => 0.0,
        }
    }

    /// Evidence about the path from this gateway to the target, in nats.
    pub(super) fn path_evidence(self) -> f64 {
        match self {
            Self::Unreachable => UNREACHABLE_WEIGHT,
            // An answer shows that the path works.
            Self::Answered | Self::Slow | Self::ServerError | Self::Shed => -MAX_EVIDENCE,
            // Silence may be caused by the path, in which case other gateways see none.
            Self::Silent => SILENT_WEIGHT / 2.0,
            Self::Broken | Self::Interrupted | Self::Refused | Self::Replaced => 0.0,
        }
    }

    /// Whether the target failed a request that it received. Silence is none, since the answer may
    /// still come.
    pub(super) fn is_failure(self) -> bool {
        match self {
            Self::ServerError | Self::Broken | Self::Interrupted => true,
            Self::Answered
            | Self::Slow
            | Self::Silent
            | Self::Shed
            | Self::Refused
            | Self::Unreachable
            | Self::Replaced => false,
        }
    }

    /// Whether the finding is always reported to the other gateways.
    pub fn is_reported(self) -> bool {
        match self {
            Self::ServerError
            | Self::Broken
            | Self::Interrupted
            | Self::Silent
            | Self::Refused
            | Self::Replaced => true,
            Self::Answered | Self::Slow | Self::Shed | Self::Unreachable => false,
        }
    }
}
