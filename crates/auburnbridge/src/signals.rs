//! Signals that stop a process.

use futures_lite::StreamExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
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

/// The signals of a process whose settings may change, in the order of their arrival.
pub(crate) struct ProcessSignals(Signals);

impl ProcessSignals {
    pub(crate) fn new() -> Result<Self, Failure> {
        Signals::new([SIGTERM, SIGINT, SIGHUP])
            .map(Self)
            .map_err(|error| Failure::new(format!("can't handle signals: {error}")))
    }

    /// Completes with the next signal to stop; `reload` is called for each SIGHUP before it.
    pub(crate) async fn reload_until_stop(&mut self, mut reload: impl FnMut()) {
        while let Some(SIGHUP) = self.0.next().await {
            reload();
        }
    }
}
