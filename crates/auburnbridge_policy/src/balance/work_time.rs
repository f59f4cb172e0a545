//! Average time that the targets of a service work on a request.
//!
//! Unlike the average answer time, it leaves out the requests that first wait in a target's own
//! queue.

use auburnbridge_types::Millis;

/// Number of answers that the average is taken over.
const ANSWERS: f64 = 20.0;

/// Moving average of the answer times of requests that started in a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkTime {
    average_ms: f64,
    /// Number of answers so far, at most [`ANSWERS`].
    answers: f64,
}

impl WorkTime {
    /// Adds an answer that took `time`.
    pub fn record(&mut self, time: Millis) {
        let time_ms = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX));
        self.answers = (self.answers + 1.0).min(ANSWERS);
        self.average_ms += (time_ms - self.average_ms) / self.answers;
    }

    /// Average so far; `None` before the first answer.
    pub fn average(&self) -> Option<Millis> {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an average of times is neither negative nor above their maximum"
        )]
        let average = Millis(self.average_ms as u64);
        (self.answers > 0.0).then_some(average)
    }
}
