//! Phases of a graceful shutdown.
//!
//! `Serving` turns into `Draining` on the first signal: the readiness endpoint answers 503, and new
//! requests are still served while the platform's balancer notices. `Closing` follows after the
//! balancer's lag: no new connections, idle ones are closed, requests in flight are finished. Every
//! request holds a [`TaskGuard`], and the last one to be dropped ends the wait.

use std::sync::atomic::{AtomicU8, Ordering};

use async_channel::{Receiver, Sender};
use auburnbridge_types::{Clock, Millis};

use crate::tracker::{TaskGuard, TaskTracker};

/// Phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Ready for requests.
    Serving,
    /// Not ready by the readiness endpoint, but still serving.
    Draining,
    /// Finishing the requests in flight.
    Closing,
}

/// Phase shared by all connections of a process.
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
    /// The present phase.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Draining,
            _ => Phase::Closing,
        }
    }

    /// Counts a request as in flight; `None` once the process finishes up.
    pub fn begin_request(&self) -> Option<TaskGuard> {
        self.requests.begin()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.running()
    }

    /// Turns the readiness answer off.
    pub fn begin_draining(&self) {
        self.phase
            .fetch_max(Phase::Draining as u8, Ordering::SeqCst);
    }

    /// Ends the acceptance of connections and requests.
    pub fn begin_closing(&self) {
        self.phase.store(Phase::Closing as u8, Ordering::SeqCst);
        self.requests.close();
        self.closing.0.close();
    }

    /// Completes when the phase `Closing` begins.
    pub async fn wait_closing(&self) {
        while self.closing.1.recv().await.is_ok() {}
    }

    /// Waits until no request is in flight, at most for `limit`; gives the number that remain.
    ///
    /// Must follow [`Lifecycle::begin_closing`].
    pub async fn wait_idle(&self, clock: &dyn Clock, limit: Millis) -> usize {
        self.requests.wait(clock, limit).await
    }
}
