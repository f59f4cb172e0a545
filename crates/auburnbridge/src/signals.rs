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

/// What a signal asks a process for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessSignal {
    /// Stop gracefully.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The signals of a process whose settings may change, in the order of their arrival.
pub(crate) struct ProcessSignals(Signals);

impl ProcessSignals {
    pub(crate) fn new() -> Result<Self, Failure> {
        Signals::new([SIGTERM, SIGINT, SIGHUP])
            .map(Self)
            .map_err(|error| Failure::new(format!("can't handle signals: {error}")))
    }

    /// Completes with the next signal.
    pub(crate) async fn next(&mut self) -> ProcessSignal {
        match self.0.next().await {
            Some(SIGHUP) => ProcessSignal::Reload,
            _ => ProcessSignal::Stop,
        }
    }
}
