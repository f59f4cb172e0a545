//! Notification that a caller closed its connection while its request was being handled.

use async_channel::{Receiver, Sender};

/// Receiving end: waits for a caller to disconnect.
#[derive(Clone, Debug)]
pub struct Disconnect(Receiver<()>);

/// Sending end: reports that a caller has disconnected.
#[derive(Debug)]
pub struct DisconnectSignal(Sender<()>);

impl Disconnect {
    /// Creates the sending and the receiving end.
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
