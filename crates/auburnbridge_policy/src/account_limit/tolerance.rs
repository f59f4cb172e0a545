//! Tolerance of a limit, and the part of it that owners may use.

use auburnbridge_types::Millis;

use super::ASK_TIMEOUT;
use super::message::LimitTerms;

/// Part of the overage that owners may use. The rest covers gateways whose counts of the gateways
/// differ for a time.
const USABLE_OVERAGE: f64 = 0.6;
/// Requests that are admitted at once beyond the burst, as the time in which they come at the rate. An
/// account without a burst needs them, since its requests are decided in batches.
const BATCH_TIME: Millis = Millis(50);
/// Part of the slack that owners may use.
const USABLE_SLACK: f64 = 0.8;

/// Bounds within which a limit may be exceeded.
///
/// In any window, at most `(rate * window + burst) * (1 + overage) + slack` requests of an account
/// are passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTolerance {
    /// Length of a window.
    pub window: Millis,
    /// Requests above the limit, as a share of it.
    pub overage: f64,
    /// Further requests above the limit in a window.
    pub slack: f64,
}

impl LimitTolerance {
    /// Requests that are allowed in a window.
    pub fn bound(&self, terms: LimitTerms) -> f64 {
        let requests = terms.rate_per_ms() * self.window_ms() + terms.burst();
        requests * (1.0 + self.overage) + self.slack
    }

    /// Requests per millisecond that all owners together admit. It is lower for a short window, in
    /// which the lifetime of grants and [`BATCH_TIME`] weigh more.
    pub(super) fn admitted_rate(&self, terms: LimitTerms) -> f64 {
        let window = self.window_ms();
        let extra = milliseconds(ASK_TIMEOUT) + milliseconds(BATCH_TIME);
        terms.rate_per_ms() * (1.0 + USABLE_OVERAGE * self.overage) * window / (window + extra)
    }

    /// Requests that all owners together admit at once.
    pub(super) fn admitted_burst(&self, terms: LimitTerms) -> f64 {
        let batch = self.admitted_rate(terms) * milliseconds(BATCH_TIME);
        terms.burst() * (1.0 + USABLE_OVERAGE * self.overage) + USABLE_SLACK * self.slack + batch
    }

    fn window_ms(&self) -> f64 {
        milliseconds(self.window).max(1.0)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations are far below the limit of the type"
)]
pub(super) fn milliseconds(time: Millis) -> f64 {
    time.0 as f64
}
