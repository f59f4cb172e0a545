//! Counts running tasks, so that a shutdown can wait for them.

use async_channel::{Receiver, Sender};
use auburnbridge_types::{Clock, Millis};
use futures_lite::FutureExt;
use parking_lot::Mutex;

/// Tracks the running tasks of one kind.
///
/// Each guard holds a clone of a sender; the channel closes when the last one is dropped.
#[derive(Debug)]
pub struct TaskTracker {
    root_sender: Mutex<Option<Sender<()>>>,
    closed: Receiver<()>,
}

/// Marks one task as running until it is dropped.
#[derive(Debug)]
pub struct TaskGuard(#[expect(dead_code, reason = "dropping it ends the task")] Sender<()>);

impl Default for TaskTracker {
    fn default() -> Self {
        let (root_sender, closed) = async_channel::bounded(1);
        Self {
            root_sender: Mutex::new(Some(root_sender)),
            closed,
        }
    }
}

impl TaskTracker {
    /// Counts a task as running; `None` after [`TaskTracker::close`].
    pub fn begin(&self) -> Option<TaskGuard> {
        self.root_sender.lock().clone().map(TaskGuard)
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        let root_senders = usize::from(self.root_sender.lock().is_some());
        self.closed.sender_count().saturating_sub(root_senders)
    }

    /// Prevents further tasks from beginning.
    pub fn close(&self) {
        self.root_sender.lock().take();
    }

    /// Waits until no task runs, at most for `limit`; returns the number that remain.
    ///
    /// Must follow [`TaskTracker::close`].
    pub async fn wait(&self, clock: &dyn Clock, limit: Millis) -> usize {
        let all_dropped = async { while self.closed.recv().await.is_ok() {} };
        all_dropped.or(clock.sleep(limit)).await;
        self.running()
    }
}
