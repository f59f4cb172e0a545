//! Counts running tasks, so that a stop can wait for them.

use async_channel::{Receiver, Sender};
use auburnbridge_types::{Clock, Millis};
use futures_lite::FutureExt;
use parking_lot::Mutex;

/// The running tasks of one kind.
///
/// Each guard holds a clone of a sender, and the channel closes when the last one is dropped.
#[derive(Debug)]
pub struct TaskTracker {
    root: Mutex<Option<Sender<()>>>,
    ended: Receiver<()>,
}

/// Marks one task as running until it is dropped.
#[derive(Debug)]
pub struct TaskGuard(#[expect(dead_code, reason = "dropping it ends the task")] Sender<()>);

impl Default for TaskTracker {
    fn default() -> Self {
        let (root, ended) = async_channel::bounded(1);
        Self {
            root: Mutex::new(Some(root)),
            ended,
        }
    }
}

impl TaskTracker {
    /// Counts a task as running; `None` after [`TaskTracker::close`].
    pub fn begin(&self) -> Option<TaskGuard> {
        self.root.lock().clone().map(TaskGuard)
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        let root = usize::from(self.root.lock().is_some());
        self.ended.sender_count().saturating_sub(root)
    }

    /// Lets no further task begin.
    pub fn close(&self) {
        self.root.lock().take();
    }

    /// Waits until no task runs, at most for `limit`; gives the number that remain.
    ///
    /// Must follow [`TaskTracker::close`].
    pub async fn wait(&self, clock: &dyn Clock, limit: Millis) -> usize {
        let all_ended = async { while self.ended.recv().await.is_ok() {} };
        all_ended.or(clock.sleep(limit)).await;
        self.running()
    }
}
