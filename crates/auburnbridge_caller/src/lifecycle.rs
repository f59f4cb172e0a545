//! Phases of a graceful shutdown.
//!
//! `Serving` turns into `Draining` on the first signal: the readiness endpoint answers 503, and new
//! requests are still served while the platform's balancer notices. `Closing` follows after the
//! balancer's lag: no new connections, idle ones are closed, requests in flight are finished. Every
//! request holds an [`InFlight`] guard, and the last one to be dropped ends the wait.

use std::sync::atomic::{AtomicU8, Ordering};

use async_channel::{Receiver, Sender};
use auburnbridge_types::{Clock, Millis};
use futures_lite::FutureExt;
use parking_lot::Mutex;

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
    root: Mutex<Option<Sender<()>>>,
    idle: Receiver<()>,
    closing: (Sender<()>, Receiver<()>),
}

/// Guard of one request in flight.
#[derive(Debug)]
pub struct InFlight(
    #[expect(dead_code, reason = "dropping it tells that the request ended")] Sender<()>,
);

impl Default for Lifecycle {
    fn default() -> Self {
        let (root, idle) = async_channel::bounded(1);
        Self {
            phase: AtomicU8::new(Phase::Serving as u8),
            root: Mutex::new(Some(root)),
            idle,
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
    pub fn begin_request(&self) -> Option<InFlight> {
        self.root.lock().clone().map(InFlight)
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        let root = usize::from(self.root.lock().is_some());
        self.idle.sender_count().saturating_sub(root)
    }

    /// Turns the readiness answer off.
    pub fn begin_draining(&self) {
        self.phase
            .fetch_max(Phase::Draining as u8, Ordering::SeqCst);
    }

    /// Ends the acceptance of connections and requests.
    pub fn begin_closing(&self) {
        self.phase.store(Phase::Closing as u8, Ordering::SeqCst);
        self.root.lock().take();
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
        let all_done = async { while self.idle.recv().await.is_ok() {} };
        all_done.or(clock.sleep(limit)).await;
        self.in_flight()
    }
}
