//! The usual answer time of a service, and what unusual ones mean.

use auburnbridge_types::Millis;

use super::evidence::Finding;

/// Weight of the newest answer in the average answer time.
const NEWEST_WEIGHT: f64 = 0.05;
/// Answer time that is assumed before any was measured.
const ASSUMED_MS: f64 = 250.0;
/// Multiple of the average answer time from which an answer is slow. Rare long requests take five
/// times the usual time.
const SLOW_FACTOR: f64 = 3.0;
/// The same for a target that has not answered yet.
const SILENT_FACTOR: u64 = 3;
/// Shortest time after which a target counts as silent.
const LEAST_SILENT: Millis = Millis(300);
/// Time that is left for the answer of a second target, in percent of the average answer time. Two in
/// three requests take less.
const SECOND_ANSWER_PERCENT: u64 = 125;
/// Time after which most answers have come, in percent of the average answer time; one in twenty
/// takes longer.
const USUAL_PERCENT: u64 = 150;

/// The average answer time of a service on one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerTimes {
    average_ms: f64,
}

impl Default for AnswerTimes {
    fn default() -> Self {
        Self {
            average_ms: ASSUMED_MS,
        }
    }
}

impl AnswerTimes {
    /// Takes an answer after `time` into the average; gives the finding that it is. Where its silence
    /// has counted against the target already, it is an answer like any other.
    pub fn judge(&mut self, time: Millis, was_silent: bool) -> Finding {
        let time_ms = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX));
        let is_slow = time_ms > self.average_ms * SLOW_FACTOR;
        self.average_ms += (time_ms - self.average_ms) * NEWEST_WEIGHT;
        if is_slow && !was_silent {
            Finding::Slow
        } else {
            Finding::Answered
        }
    }

    /// The average.
    pub fn average(&self) -> Millis {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an average of times is neither negative nor above their maximum"
        )]
        Millis(self.average_ms as u64)
    }

    /// Time without an answer after which a target counts as silent. Two in a hundred requests take
    /// longer on a healthy target.
    pub fn silent_after(&self) -> Millis {
        Millis(self.average().0 * SILENT_FACTOR).max(LEAST_SILENT)
    }

    /// Time without an answer after which an idempotent request goes to a second target, when `left`
    /// remains until its objective: early enough for an answer within the objective, but not before
    /// most answers come.
    pub fn second_send_after(&self, left: Millis) -> Millis {
        let average = self.average().0;
        let latest = left.0.saturating_sub(average * SECOND_ANSWER_PERCENT / 100);
        let usual = average * USUAL_PERCENT / 100;
        Millis(latest.max(usual)).min(self.silent_after())
    }
}
