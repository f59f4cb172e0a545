//! Average answer time of a service, which determines when a target is slow or silent and when a
//! request is hedged. The answer time is the time from a send to the complete response; answer and
//! response are the same.
//!
//! A request is hedged by sending it to a second target while the first send is in flight; the
//! second send is the hedge.

use auburnbridge_types::Millis;

use super::evidence::Finding;

/// Weight of the newest answer in the average answer time.
const NEWEST_WEIGHT: f64 = 0.05;
/// Average that is assumed before the first answer.
const INITIAL_AVERAGE_MS: f64 = 250.0;
/// Multiple of the average answer time above which an answer is slow. Rare long requests take five
/// times the usual time.
const SLOW_FACTOR: f64 = 3.0;
/// Multiple of the average answer time after which a target without an answer is silent.
const SILENT_FACTOR: u64 = 3;
/// Lower bound of the time after which a target counts as silent.
const MIN_SILENT_AFTER: Millis = Millis(300);
/// Time reserved for the answer to a hedge, in percent of the average answer time. Two in three
/// requests take less.
const HEDGE_ANSWER_PERCENT: u64 = 125;
/// Time within which most answers arrive, in percent of the average answer time; one in twenty
/// takes longer.
const MOST_ANSWERS_PERCENT: u64 = 150;

/// Moving average of a service's answer time, as measured by one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerTimes {
    average_ms: f64,
}

impl Default for AnswerTimes {
    fn default() -> Self {
        Self {
            average_ms: INITIAL_AVERAGE_MS,
        }
    }
}

impl AnswerTimes {
    /// Adds an answer that took `time` to the average and classifies it. `was_silent` tells that
    /// the target was already found silent for this request, in which case a late answer isn't
    /// found slow as well.
    pub fn record(&mut self, time: Millis, was_silent: bool) -> Finding {
        let time_ms = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX));
        let is_slow = time_ms > self.average_ms * SLOW_FACTOR;
        self.average_ms += (time_ms - self.average_ms) * NEWEST_WEIGHT;
        if is_slow && !was_silent {
            Finding::Slow
        } else {
            Finding::Answered
        }
    }

    /// Average answer time.
    pub fn average(&self) -> Millis {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an average of times is neither negative nor above their maximum"
        )]
        Millis(self.average_ms as u64)
    }

    /// Time without an answer after which a target counts as silent. On a healthy target two in a
    /// hundred requests take longer.
    pub fn silent_after(&self) -> Millis {
        Millis(self.average().0 * SILENT_FACTOR).max(MIN_SILENT_AFTER)
    }

    /// Time without an answer after which an idempotent request is hedged, that is, also sent to a
    /// second target, if `left` remains until its objective. The second answer can still meet the
    /// objective, but requests are not hedged before most answers arrive, and at the latest when
    /// the first target counts as silent.
    pub fn hedge_delay(&self, left: Millis) -> Millis {
        let average = self.average().0;
        let latest = left.0.saturating_sub(average * HEDGE_ANSWER_PERCENT / 100);
        let earliest = most_answers(self.average());
        Millis(latest.max(earliest.0)).min(self.silent_after())
    }
}

/// Time within which most answers arrive; one in twenty takes longer.
pub(super) fn most_answers(average: Millis) -> Millis {
    Millis(average.0 * MOST_ANSWERS_PERCENT / 100)
}
