//! Signals that stop a process.

use futures_lite::StreamExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::failure::Failure;

/// The stop signals of a process, in the order of their arrival.
pub(crate) struct StopSignals(Signals);

impl StopSignals {
    pub(crate) fn new() -> Result<Self, Failure> {
        Signals::new([SIGTERM, SIGINT])
            .map(Self)
            .map_err(|error| Failure::new(format!("can't handle signals: {error}")))
    }

    /// Completes with the next signal.
    pub(crate) async fn next(&mut self) {
        self.0.next().await;
    }
}
