//! Waiting between attempts while every target sheds.

use auburnbridge_types::{Clock, Millis, Timestamp};
use rand::Rng;

const FIRST_WAIT: Millis = Millis(4);
const LAST_WAIT: Millis = Millis(64);

/// Exponential backoff with jitter, bounded by a deadline.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Millis,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_WAIT }
    }
}

impl Backoff {
    /// Waits before the next attempt; `false` if the deadline would pass meanwhile.
    pub(crate) async fn wait(&mut self, clock: &dyn Clock, deadline: Timestamp) -> bool {
        let wait = Millis(rand::rng().random_range(self.next.0 / 2..=self.next.0));
        self.next = Millis((self.next.0 * 2).min(LAST_WAIT.0));
        if clock.now().after(wait) >= deadline {
            return false;
        }
        clock.sleep(wait).await;
        true
    }
}
