//! Admission control for the requests of one service on one entry.
//!
//! Requests wait in a bounded queue per class. Non-idempotent requests have priority, and queued
//! idempotent requests are guaranteed a share of the starts. The limit on requests in flight is
//! adaptive: it increases with answers and decreases when targets shed, so that the entries share the
//! slots without a shared counter.

use std::collections::VecDeque;

use auburnbridge_types::{Millis, Slots, Timestamp};

use crate::RequestClass;

/// Multiplicative decrease of the concurrency limit after a shed. Under overload, a steady limit
/// has `1 / ((1 - SHED_DECREASE) * limit^2)` sheds per answer, which is about one at a limit of 6;
/// a smaller factor left a fifth of the slots idle.
const SHED_DECREASE: f64 = 0.97;
/// Multiple of the mean service time that must be left before a deadline. With the mean alone, a
/// third of the idempotent requests that started under overload were answered after their deadline.
const SERVICE_TIME_MARGIN: f64 = 3.0;
/// Lower bound of the concurrency limit.
const MIN_CONCURRENCY: f64 = 2.0;
/// Weight of the newest sample in the exponential moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Service time assumed for estimates of the queueing delay before the first measurement. The check
/// of deadlines assumes [`MIN_SERVICE_TIME`] instead.
const ASSUMED_SERVICE_MS: f64 = 50.0;
/// Lower bound of the service time in the check of deadlines: the resolution of the clock. Before
/// the first measurement nothing longer is assumed there, since an idle entry would otherwise
/// reject requests with short deadlines.
const MIN_SERVICE_TIME: Millis = Millis(1);
/// Share of the slots by which non-idempotent requests may exceed the concurrency limit, since
/// idempotent requests may fill it. Targets with a free slot run the excess; the others shed it at once.
const ONCE_OVERCOMMIT: f64 = 0.25;

/// Slots that idempotent requests leave free for future non-idempotent requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reservation {
    /// No slots: a non-idempotent request that finds all slots taken waits for the next free one.
    None,
    /// A fixed share of the concurrency limit.
    Fixed(f64),
    /// As many slots as non-idempotent requests are expected within one service time.
    LookAhead,
}

/// Settings of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Maximum number of queued requests per class.
    pub queue_limit: usize,
    /// Share of the starts guaranteed to queued idempotent requests, from `lookup-share` in the
    /// rules file.
    pub idempotent_share: f64,
    /// Slots reserved for non-idempotent requests.
    pub reservation: Reservation,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            queue_limit: 256,
            idempotent_share: 0.1,
            reservation: Reservation::LookAhead,
        }
    }
}

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest<T> {
    /// Class of the request.
    pub class: RequestClass,
    /// Instant after which the remote caller no longer waits for the answer.
    pub deadline: Timestamp,
    /// Handle chosen by the user of the queue.
    pub item: T,
}

/// A request that was not admitted and did not run.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejected<T> {
    /// The request.
    pub request: QueuedRequest<T>,
    /// Delay after which the caller may send the request again.
    pub retry_after: Millis,
}

/// A request taken from the queue.
#[derive(Clone, Debug, PartialEq)]
pub enum Dequeued<T> {
    /// The request is to be sent to a target.
    Start(QueuedRequest<T>),
    /// The deadline has passed or can't be met; the request did not run.
    Expired(QueuedRequest<T>),
}

/// Result of a started request, as far as it is relevant to admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered after this service time.
    Answered(Millis),
    /// The target shed the request.
    Shed,
    /// Any other result, which says nothing about free slots.
    Other,
}

/// The queued and running requests of one service on one entry.
#[derive(Clone, Debug)]
pub struct AdmissionQueue<T> {
    policy: AdmissionPolicy,
    once: VecDeque<QueuedRequest<T>>,
    idempotent: VecDeque<QueuedRequest<T>>,
    /// Started requests that haven't finished, by class.
    running_once: u32,
    running_idempotent: u32,
    /// Adaptive limit on requests in flight.
    concurrency_limit: f64,
    /// Slots of the targets in use, the upper bound of the limit.
    slots: f64,
    /// Starts owed to queued idempotent requests, at most 2. With the guaranteed share `s`, each
    /// start of a non-idempotent request adds `s / (1 - s)` while idempotent requests wait, and
    /// each start of an idempotent request takes 1, so that they get the share `s` of all starts.
    idempotent_credit: f64,
    /// Moving average of the service time.
    service_ms: f64,
    has_service_sample: bool,
    /// Moving average of the time between arrivals of non-idempotent requests.
    once_interarrival_ms: f64,
    last_once_arrival: Option<Timestamp>,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue for targets with `in_use` slots in total.
    pub fn new(policy: AdmissionPolicy, in_use: Slots) -> Self {
        let slots = f64::from(in_use.0.max(1));
        Self {
            policy,
            once: VecDeque::new(),
            idempotent: VecDeque::new(),
            running_once: 0,
            running_idempotent: 0,
            concurrency_limit: (slots / 4.0).max(MIN_CONCURRENCY),
            slots,
            idempotent_credit: 0.0,
            service_ms: ASSUMED_SERVICE_MS,
            has_service_sample: false,
            once_interarrival_ms: f64::INFINITY,
            last_once_arrival: None,
        }
    }

    /// Sets the slots in use, which bound the requests in flight. Added slots count as free until a
    /// target sheds.
    pub fn set_slots(&mut self, in_use: Slots) {
        let slots = f64::from(in_use.0.max(1));
        let added = (slots - self.slots).max(0.0);
        self.slots = slots;
        self.concurrency_limit = (self.concurrency_limit + added).min(slots);
    }

    /// Queues a request, or rejects it if the queue is full or its deadline can't be met.
    pub fn try_enqueue(
        &mut self,
        now: Timestamp,
        request: QueuedRequest<T>,
    ) -> Result<(), Rejected<T>> {
        if request.class == RequestClass::Once {
            self.record_once_arrival(now);
        }
        let wait = self.expected_wait(request.class);
        let is_full = self.queue(request.class).len() >= self.policy.queue_limit;
        if is_full || now.after(wait).after(self.service_time_bound()) >= request.deadline {
            let retry_after = Millis(wait.0.max(1));
            return Err(Rejected {
                request,
                retry_after,
            });
        }
        self.queue_mut(request.class).push_back(request);
        Ok(())
    }

    /// Returns a request that a target shed to the head of its queue.
    pub fn requeue(&mut self, request: QueuedRequest<T>) {
        self.queue_mut(request.class).push_front(request);
    }

    /// Takes the next request that may start or has expired. To be called until it returns `None`.
    pub fn next(&mut self, now: Timestamp) -> Option<Dequeued<T>> {
        // A request that can't be answered before its deadline would waste a slot.
        let earliest_end = now.after(self.service_time_bound());
        for class in [RequestClass::Once, RequestClass::Idempotent] {
            let queue = self.queue_mut(class);
            if queue
                .front()
                .is_some_and(|request| request.deadline <= earliest_end)
            {
                return self.queue_mut(class).pop_front().map(Dequeued::Expired);
            }
        }
        let class = self.next_class()?;
        let request = self.queue_mut(class).pop_front()?;
        self.record_start(class);
        Some(Dequeued::Start(request))
    }

    fn next_class(&self) -> Option<RequestClass> {
        let has_once = !self.once.is_empty();
        let has_idempotent = !self.idempotent.is_empty();
        let running = f64::from(self.running_once + self.running_idempotent);
        let has_credit = has_idempotent && self.idempotent_credit >= 1.0;
        if has_credit && running < self.concurrency_limit {
            return Some(RequestClass::Idempotent);
        }
        if has_once {
            let limit =
                self.concurrency_limit + (self.slots * ONCE_OVERCOMMIT).min(self.concurrency_limit);
            return (running < limit).then_some(RequestClass::Once);
        }
        (has_idempotent && self.admits_idempotent(running)).then_some(RequestClass::Idempotent)
    }

    fn admits_idempotent(&self, running: f64) -> bool {
        let guaranteed = (self.concurrency_limit * self.policy.idempotent_share).max(1.0);
        if f64::from(self.running_idempotent) < guaranteed && running < self.concurrency_limit {
            return true;
        }
        let reserved = match self.policy.reservation {
            Reservation::None => 0.0,
            Reservation::Fixed(share) => self.concurrency_limit * share,
            Reservation::LookAhead => self.expected_once_in_flight(),
        };
        let free_reserved = (reserved - f64::from(self.running_once)).max(0.0);
        running + free_reserved < self.concurrency_limit
    }

    /// Expected non-idempotent requests in flight by Little's law, plus one standard deviation.
    fn expected_once_in_flight(&self) -> f64 {
        let mean = self.service_ms / self.once_interarrival_ms;
        mean + mean.sqrt()
    }

    /// Upper estimate of the service time, which only outliers exceed.
    fn service_time_bound(&self) -> Millis {
        if self.has_service_sample {
            Millis(whole_millis(self.service_ms * SERVICE_TIME_MARGIN)).max(MIN_SERVICE_TIME)
        } else {
            MIN_SERVICE_TIME
        }
    }

    fn record_start(&mut self, class: RequestClass) {
        match class {
            RequestClass::Once => {
                self.running_once += 1;
                if self.idempotent.is_empty() {
                    self.idempotent_credit = 0.0;
                } else {
                    let share = self.policy.idempotent_share;
                    self.idempotent_credit =
                        (self.idempotent_credit + share / (1.0 - share)).min(2.0);
                }
            }
            RequestClass::Idempotent => {
                self.running_idempotent += 1;
                self.idempotent_credit = (self.idempotent_credit - 1.0).max(0.0);
            }
        }
    }

    /// Adds a service time to the average; the first sample replaces the assumed value.
    fn record_service_time(&mut self, time_ms: f64) {
        if self.has_service_sample {
            self.service_ms += (time_ms - self.service_ms) * AVERAGE_WEIGHT;
        } else {
            self.service_ms = time_ms;
            self.has_service_sample = true;
        }
    }

    /// Decreases the limit after a target shed a request that continues on another target.
    pub fn record_shed(&mut self) {
        self.concurrency_limit = (self.concurrency_limit * SHED_DECREASE).max(MIN_CONCURRENCY);
    }

    /// Replaces the settings; queued requests keep their positions.
    pub fn set_policy(&mut self, policy: AdmissionPolicy) {
        self.policy = policy;
    }

    /// Records the end of a started request.
    pub fn finish(&mut self, class: RequestClass, completion: Completion) {
        let was_at_limit =
            f64::from(self.running_once + self.running_idempotent) >= self.concurrency_limit;
        match class {
            RequestClass::Once => self.running_once = self.running_once.saturating_sub(1),
            RequestClass::Idempotent => {
                self.running_idempotent = self.running_idempotent.saturating_sub(1);
            }
        }
        match completion {
            Completion::Answered(time) => {
                let time_ms = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX));
                self.record_service_time(time_ms);
                if was_at_limit {
                    let grown = self.concurrency_limit + 1.0 / self.concurrency_limit;
                    self.concurrency_limit = grown.min(self.slots);
                }
            }
            Completion::Shed => self.record_shed(),
            Completion::Other => {}
        }
    }

    /// Estimated queueing delay of a new request of this class.
    pub fn expected_wait(&self, class: RequestClass) -> Millis {
        let share = match class {
            RequestClass::Once => 1.0,
            // Idempotent requests get the remaining capacity, and at least their guaranteed share.
            RequestClass::Idempotent => (1.0
                - self.service_ms / self.once_interarrival_ms / self.concurrency_limit)
                .max(self.policy.idempotent_share),
        };
        let ahead = u32::try_from(self.queue(class).len()).unwrap_or(u32::MAX);
        let wait = f64::from(ahead) * self.service_ms / (self.concurrency_limit * share);
        Millis(whole_millis(wait))
    }

    /// Current limit on requests in flight.
    pub fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit
    }

    /// Number of queued requests of both classes.
    pub fn waiting(&self) -> usize {
        self.once.len() + self.idempotent.len()
    }

    fn record_once_arrival(&mut self, now: Timestamp) {
        if let Some(last) = self.last_once_arrival {
            let interarrival = f64::from(u32::try_from(now.since(last).0).unwrap_or(u32::MAX));
            if self.once_interarrival_ms.is_finite() {
                self.once_interarrival_ms +=
                    (interarrival - self.once_interarrival_ms) * AVERAGE_WEIGHT;
            } else {
                self.once_interarrival_ms = interarrival;
            }
            self.once_interarrival_ms = self.once_interarrival_ms.max(0.1);
        }
        self.last_once_arrival = Some(now);
    }

    fn queue(&self, class: RequestClass) -> &VecDeque<QueuedRequest<T>> {
        match class {
            RequestClass::Once => &self.once,
            RequestClass::Idempotent => &self.idempotent,
        }
    }

    fn queue_mut(&mut self, class: RequestClass) -> &mut VecDeque<QueuedRequest<T>> {
        match class {
            RequestClass::Once => &mut self.once,
            RequestClass::Idempotent => &mut self.idempotent,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn whole_millis(value: f64) -> u64 {
    value.clamp(0.0, f64::from(u32::MAX)) as u64
}
