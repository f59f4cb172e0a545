//! Handlers for the signals that stop a process or reload its settings.

use futures_lite::StreamExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::failure::Failure;

/// Receives SIGTERM and SIGINT in the order of their arrival.
pub(crate) struct StopSignals(Signals);

impl StopSignals {
    pub(crate) fn new() -> Result<Self, Failure> {
        Signals::new([SIGTERM, SIGINT])
            .map(Self)
            .map_err(|error| Failure::new(format!("can't handle signals: {error}")))
    }

    /// Waits for the next stop signal.
    pub(crate) async fn next(&mut self) {
        self.0.next().await;
    }
}

/// Receives SIGTERM, SIGINT and SIGHUP in the order of their arrival, for processes that can reload
/// their settings.
pub(crate) struct StopAndReloadSignals(Signals);

impl StopAndReloadSignals {
    pub(crate) fn new() -> Result<Self, Failure> {
        Signals::new([SIGTERM, SIGINT, SIGHUP])
            .map(Self)
            .map_err(|error| Failure::new(format!("can't handle signals: {error}")))
    }

    /// Waits for the next stop signal and calls `reload` for each SIGHUP until then.
    pub(crate) async fn reload_until_stop(&mut self, mut reload: impl FnMut()) {
        while let Some(SIGHUP) = self.0.next().await {
            reload();
        }
    }
}
