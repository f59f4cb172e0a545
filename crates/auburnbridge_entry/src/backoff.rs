//! Waiting between attempts.

use auburnbridge_types::{Millis, Timestamp};

use crate::entry::Entry;

const SHED_FIRST: Millis = Millis(4);
const SHED_LAST: Millis = Millis(64);
/// Asking again for a grant costs a record of the log, so it starts slower.
const GRANT_FIRST: Millis = Millis(40);
const GRANT_LAST: Millis = Millis(640);

/// Exponential backoff with jitter, bounded by a deadline.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Millis,
    last: Millis,
}

impl Backoff {
    /// Waits for a slot while every target sheds.
    pub(crate) fn after_shed() -> Self {
        Self {
            next: SHED_FIRST,
            last: SHED_LAST,
        }
    }

    /// Waits for another attempt with the same key to end.
    pub(crate) fn between_grants() -> Self {
        Self {
            next: GRANT_FIRST,
            last: GRANT_LAST,
        }
    }

    /// Waits before the next attempt; `false` if the deadline would pass meanwhile.
    pub(crate) async fn wait(&mut self, entry: &Entry, deadline: Timestamp) -> bool {
        let clock = &entry.ports.clock;
        let wait = Millis(entry.random_in(self.next.0 / 2..=self.next.0));
        self.next = Millis((self.next.0 * 2).min(self.last.0));
        if clock.now().after(wait) >= deadline {
            return false;
        }
        clock.sleep(wait).await;
        true
    }
}
