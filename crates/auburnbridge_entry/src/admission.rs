//! Admission control for the requests of a service.
//!
//! The queue decides which request starts next. This module suspends requests until that decision
//! and counts them as running until their permit is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_channel::{Receiver, Sender};
use auburnbridge_policy::{
    AdmissionPolicy, AdmissionQueue, Completion, Dequeued, QueuedRequest, Rejected, RequestClass,
};
use auburnbridge_types::{Clock, Millis, Slots, Timestamp};
use futures_lite::FutureExt;
use parking_lot::Mutex;

/// Value of `answer_ms` for a request without a measured answer.
const NO_ANSWER: u64 = u64::MAX;

/// Waiting and running requests of one service.
pub(crate) struct Admission {
    queue: Mutex<AdmissionQueue<Sender<Permit>>>,
    clock: Arc<dyn Clock>,
}

/// Permission for one request to run; dropping it admits the next request.
pub(crate) struct Permit {
    admission: Arc<Admission>,
    class: RequestClass,
    /// Time that the target took to answer, or [`NO_ANSWER`].
    answer_ms: AtomicU64,
}

/// Rejection of a request, with the time after which it may be sent again.
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

    /// Applies the admission policy of new rules.
    pub(crate) fn set_policy(&self, policy: AdmissionPolicy) {
        self.queue.lock().set_policy(policy);
    }

    /// Sets the number of slots of the targets in use.
    pub(crate) fn set_slots(self: &Arc<Self>, slots: Slots) {
        self.queue.lock().set_slots(slots);
        self.start_next();
    }

    /// Records that a target shed a request, which lowers the concurrency limit.
    pub(crate) fn record_shed(&self) {
        self.queue.lock().record_shed();
    }

    /// Waits until the request may run; dropping the future removes it from the queue.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        class: RequestClass,
        deadline: Timestamp,
    ) -> Result<Permit, NotAdmitted> {
        let (tx, rx) = async_channel::bounded(1);
        let request = QueuedRequest {
            class,
            deadline,
            item: tx,
        };
        let enqueued = self.queue.lock().try_enqueue(self.clock.now(), request);
        if let Err(Rejected { retry_after, .. }) = enqueued {
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
        let remaining = deadline.since(self.clock.now());
        let timeout = async {
            self.clock.sleep(remaining).await;
            None
        };
        permit.or(timeout).await
    }

    /// Sends a permit to each request that may start now.
    fn start_next(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut admitted = Vec::new();
        {
            let mut queue = self.queue.lock();
            while let Some(dequeued) = queue.next(now) {
                match dequeued {
                    Dequeued::Start(request) => admitted.push(request),
                    // Dropping the sender ends the wait of the request.
                    Dequeued::Expired(_) => {}
                }
            }
        }
        for request in admitted {
            let permit = Permit {
                admission: Arc::clone(self),
                class: request.class,
                answer_ms: AtomicU64::new(NO_ANSWER),
            };
            // If the request no longer waits, the permit is dropped, which admits the next request.
            let _ = request.item.try_send(permit);
        }
    }
}

impl Permit {
    /// Records the time that the target took to answer.
    pub(crate) fn record_answer(&self, time: Millis) {
        self.answer_ms.store(time.0, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let completion = match self.answer_ms.load(Ordering::Relaxed) {
            NO_ANSWER => Completion::Other,
            time => Completion::Answered(Millis(time)),
        };
        self.admission.queue.lock().finish(self.class, completion);
        self.admission.start_next();
    }
}
