//! Bodies that a connection holds: those of its requests until they are answered, then those of
//! the responses until they are written.
//!
//! A caller that pipelines uploads, or doesn't read its responses, holds at most the connection's
//! limit beyond one body. Its next request is read only when there is room.

use std::sync::Arc;

use async_channel::{Receiver, Sender};
use auburnbridge_types::ByteSize;
use parking_lot::Mutex;

/// Limit on the bodies that one connection holds; clones share the count.
#[derive(Clone, Debug)]
pub struct ConnectionMemory(Arc<State>);

#[derive(Debug)]
struct State {
    limit: ByteSize,
    held: Mutex<u64>,
    released: (Sender<()>, Receiver<()>),
}

/// Bytes of one body, released on drop.
#[derive(Debug)]
pub struct HeldBody {
    memory: ConnectionMemory,
    bytes: u64,
}

impl ConnectionMemory {
    /// Creates the count of a connection that holds nothing.
    pub fn new(limit: ByteSize) -> Self {
        Self(Arc::new(State {
            limit,
            held: Mutex::new(0),
            released: async_channel::bounded(1),
        }))
    }

    /// Bytes held at present.
    pub fn held(&self) -> ByteSize {
        ByteSize(*self.0.held.lock())
    }

    /// Whether a body of this size may be read now. The first one may exceed the limit.
    pub fn has_room(&self, bytes: ByteSize) -> bool {
        let held = self.held().0;
        held == 0 || held.saturating_add(bytes.0) <= self.0.limit.0
    }

    /// Counts a body until the guard is dropped.
    pub fn hold(&self, bytes: usize) -> HeldBody {
        let bytes = bytes as u64;
        *self.0.held.lock() += bytes;
        HeldBody {
            memory: self.clone(),
            bytes,
        }
    }

    /// Completes after a body was released.
    pub(crate) async fn wait_for_release(&self) {
        // The sender lives as long as the receiver.
        let _ = self.0.released.1.recv().await;
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let state = &self.memory.0;
        *state.held.lock() -= self.bytes;
        // A full channel wakes the reader as well.
        let _ = state.released.0.try_send(());
    }
}
