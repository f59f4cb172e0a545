//! Phases of a graceful shutdown.
//!
//! The first signal changes `Serving` to `Draining`: the readiness endpoint answers 503, and new
//! requests are still served until the platform's load balancer notices. `Closing` follows after
//! the load balancer's lag: no connections are accepted, idle ones are closed, and requests in
//! flight are completed. Every request holds a [`TaskGuard`]; the wait ends when the last one is
//! dropped.

use std::sync::atomic::{AtomicU8, Ordering};

use async_channel::{Receiver, Sender};
use auburnbridge_types::{Clock, Millis};

use crate::tracker::{TaskGuard, TaskTracker};

/// Phase of a process in its graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Ready for requests.
    Serving,
    /// Reported as not ready, but still accepting connections and requests.
    Draining,
    /// Completing the requests in flight, without accepting more.
    Closing,
}

/// Shutdown phase and requests in flight, shared by all connections of a process.
#[derive(Debug)]
pub struct Lifecycle {
    phase: AtomicU8,
    requests: TaskTracker,
    closing: (Sender<()>, Receiver<()>),
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            phase: AtomicU8::new(Phase::Serving as u8),
            requests: TaskTracker::default(),
            closing: async_channel::bounded(1),
        }
    }
}

impl Lifecycle {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Draining,
            _ => Phase::Closing,
        }
    }

    /// Counts a request as in flight until the guard is dropped; `None` in the phase `Closing`.
    pub fn begin_request(&self) -> Option<TaskGuard> {
        self.requests.begin()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.running()
    }

    /// Enters the phase `Draining`, in which the readiness endpoint answers 503.
    pub fn begin_draining(&self) {
        self.phase
            .fetch_max(Phase::Draining as u8, Ordering::SeqCst);
    }

    /// Enters the phase `Closing`, in which no connections or requests are accepted.
    pub fn begin_closing(&self) {
        self.phase.store(Phase::Closing as u8, Ordering::SeqCst);
        self.requests.close();
        self.closing.0.close();
    }

    /// Completes when the phase `Closing` begins.
    pub async fn wait_closing(&self) {
        while self.closing.1.recv().await.is_ok() {}
    }

    /// Waits until no request is in flight, at most for `limit`; returns the number that remain.
    ///
    /// Must follow [`Lifecycle::begin_closing`].
    pub async fn wait_idle(&self, clock: &dyn Clock, limit: Millis) -> usize {
        self.requests.wait(clock, limit).await
    }
}
