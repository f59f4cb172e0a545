//! The end of a process that stops, which bounds each wait of a request.
//!
//! Before a request is sent, all its waits together end at the last instant from which the answer can
//! arrive before the exit. While it is in flight, the exit takes the place of a later deadline.

use std::future::Future;
use std::sync::OnceLock;

use auburnbridge_policy::balance::ExitBound;
use auburnbridge_types::{Clock, Millis};
use event_listener::Event;
use futures_lite::FutureExt;

/// Longest interval at which a waiting request recalculates its last start, which moves with the
/// answer times of the service.
const RECHECK_INTERVAL: Millis = Millis(50);

/// Whether the process stops, and by when it answers all requests.
#[derive(Default)]
pub(crate) struct Exit {
    bound: OnceLock<ExitBound>,
    begun: Event,
}

impl Exit {
    /// Sets the bound once and for all.
    pub(crate) fn begin(&self, bound: ExitBound) {
        if self.bound.set(bound).is_ok() {
            self.begun.notify(usize::MAX);
        }
    }

    /// The bound; `None` unless the process stops.
    pub(crate) fn bound(&self) -> Option<&ExitBound> {
        self.bound.get()
    }

    async fn wait_for_bound(&self) -> &ExitBound {
        loop {
            // Listening first, so that no notification is missed.
            let begun = self.begun.listen();
            if let Some(bound) = self.bound.get() {
                return bound;
            }
            begun.await;
        }
    }

    /// Runs the waits of a request that has not been sent; `None` if it can't be sent in time any more.
    pub(crate) async fn bound_wait<T>(
        &self,
        clock: &dyn Clock,
        expected_answer_time: impl Fn() -> Millis,
        wait: impl Future<Output = T>,
    ) -> Option<T> {
        let too_late = async {
            let bound = self.wait_for_bound().await;
            loop {
                let left = bound.last_start(expected_answer_time()).since(clock.now());
                if left == Millis(0) {
                    return None;
                }
                clock.sleep(left.min(RECHECK_INTERVAL)).await;
            }
        };
        let wait = async { Some(wait.await) };
        wait.or(too_late).await
    }

    /// Completes when all requests must be answered, which is never unless the process stops.
    pub(crate) async fn wait_until_answers_are_due(&self, clock: &dyn Clock) {
        let bound = self.wait_for_bound().await;
        clock.sleep(bound.answer_by.since(clock.now())).await;
    }
}
