//! Waiting for a start under the limits of a service.
//!
//! The queue decides who starts next; this module lets requests wait for that decision and counts
//! them as running until their permit is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_channel::{Receiver, Sender};
use auburnbridge_policy::{
    AdmissionPolicy, AdmissionQueue, Ended, Next, Rejected, RequestClass, Waiting,
};
use auburnbridge_types::{Clock, Millis, Slots, Timestamp};
use futures_lite::FutureExt;
use parking_lot::Mutex;

/// Marks a running request that ended without a measured answer.
const NO_ANSWER: u64 = u64::MAX;

/// The waiting and running requests of one service.
pub(crate) struct Admission {
    queue: Mutex<AdmissionQueue<Sender<Permit>>>,
    clock: Arc<dyn Clock>,
}

/// The right of one request to run; dropping it lets the next one start.
pub(crate) struct Permit {
    admission: Arc<Admission>,
    class: RequestClass,
    answer_ms: AtomicU64,
}

/// Time after which a request that was not admitted may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotAdmitted {
    pub(crate) retry_after: Millis,
}

impl Admission {
    pub(crate) fn new(policy: AdmissionPolicy, clock: Arc<dyn Clock>) -> Self {
        Self {
            queue: Mutex::new(AdmissionQueue::new(policy, Slots(0))),
            clock,
        }
    }

    /// Takes over a change of the rules.
    pub(crate) fn set_policy(&self, policy: AdmissionPolicy) {
        self.queue.lock().set_policy(policy);
    }

    /// Takes over the slots in use.
    pub(crate) fn set_slots(self: &Arc<Self>, slots: Slots) {
        self.queue.lock().set_slots(slots);
        self.start_next();
    }

    /// Counts a shed of a target, which lowers the limit of running requests.
    pub(crate) fn record_shed(&self) {
        self.queue.lock().record_shed();
    }

    /// Waits until the request may run; dropping the future gives the place up.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        class: RequestClass,
        deadline: Timestamp,
    ) -> Result<Permit, NotAdmitted> {
        let (tx, rx) = async_channel::bounded(1);
        let waiting = Waiting {
            class,
            deadline,
            item: tx,
        };
        let offered = self.queue.lock().offer(self.clock.now(), waiting);
        if let Err(Rejected { retry_after, .. }) = offered {
            return Err(NotAdmitted { retry_after });
        }
        self.start_next();
        let permit = self.wait_for_permit(&rx, deadline).await;
        permit.ok_or_else(|| NotAdmitted {
            retry_after: self.queue.lock().expected_wait(class),
        })
    }

    async fn wait_for_permit(&self, rx: &Receiver<Permit>, deadline: Timestamp) -> Option<Permit> {
        let permit = async { rx.recv().await.ok() };
        let left = deadline.since(self.clock.now());
        let late = async {
            self.clock.sleep(left).await;
            None
        };
        permit.or(late).await
    }

    /// Hands permits to the requests that may start now.
    fn start_next(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut starts = Vec::new();
        {
            let mut queue = self.queue.lock();
            while let Some(next) = queue.next(now) {
                match next {
                    Next::Start(waiting) => starts.push(waiting),
                    // Dropping the sender tells the request.
                    Next::Expired(_) => {}
                }
            }
        }
        for waiting in starts {
            let permit = Permit {
                admission: Arc::clone(self),
                class: waiting.class,
                answer_ms: AtomicU64::new(NO_ANSWER),
            };
            // A request that is gone gives the permit back, and its drop starts the next one.
            let _ = waiting.item.try_send(permit);
        }
    }
}

impl Permit {
    /// Notes the time that the target took to answer.
    pub(crate) fn record_answer(&self, time: Millis) {
        self.answer_ms.store(time.0, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let ended = match self.answer_ms.load(Ordering::Relaxed) {
            NO_ANSWER => Ended::Other,
            time => Ended::Answered(Millis(time)),
        };
        self.admission.queue.lock().finish(self.class, ended);
        self.admission.start_next();
    }
}
