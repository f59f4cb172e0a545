//! Signal that a caller has closed its connection while its request was handled.

use async_channel::{Receiver, Sender};

/// Waits for a caller to disconnect.
#[derive(Clone, Debug)]
pub struct Disconnect(Receiver<()>);

/// Reports the disconnect of a caller.
#[derive(Debug)]
pub struct DisconnectSignal(Sender<()>);

impl Disconnect {
    /// Creates the two ends.
    pub fn new() -> (DisconnectSignal, Self) {
        let (tx, rx) = async_channel::bounded(1);
        (DisconnectSignal(tx), Self(rx))
    }

    /// Completes once the caller has disconnected.
    pub async fn wait(&self) {
        while self.0.recv().await.is_ok() {}
    }
}

impl DisconnectSignal {
    /// Reports that the caller has disconnected.
    pub fn report(&self) {
        self.0.close();
    }
}
