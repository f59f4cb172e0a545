//! Backoff between exchanges that targets shed, and between Grant commands.

use auburnbridge_types::{Millis, Timestamp};

use crate::entry::Entry;

const SHED_INITIAL_WAIT: Millis = Millis(4);
const SHED_MAX_WAIT: Millis = Millis(64);
/// Higher than after a shed, since each grant command adds a record to the log.
const GRANT_INITIAL_WAIT: Millis = Millis(40);
const GRANT_MAX_WAIT: Millis = Millis(640);

/// Exponential backoff with jitter, bounded by a deadline.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Millis,
    max: Millis,
}

impl Backoff {
    /// Backoff while every target sheds.
    pub(crate) fn after_shed() -> Self {
        Self {
            next: SHED_INITIAL_WAIT,
            max: SHED_MAX_WAIT,
        }
    }

    /// Backoff while another attempt holds the same key.
    pub(crate) fn between_grants() -> Self {
        Self {
            next: GRANT_INITIAL_WAIT,
            max: GRANT_MAX_WAIT,
        }
    }

    /// Waits before the next exchange or Grant command; returns `false` at once if the deadline
    /// would pass first.
    pub(crate) async fn wait(&mut self, entry: &Entry, deadline: Timestamp) -> bool {
        let clock = &entry.deps.clock;
        let wait = Millis(entry.random_in(self.next.0 / 2..=self.next.0));
        self.next = Millis((self.next.0 * 2).min(self.max.0));
        if clock.now().after(wait) >= deadline {
            return false;
        }
        clock.sleep(wait).await;
        true
    }
}
