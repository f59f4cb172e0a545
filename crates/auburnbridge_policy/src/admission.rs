//! Admission of one service's requests on one entry.
//!
//! Requests wait in a bounded queue per class. Non-idempotent ones go first; lookups that wait keep a
//! share of the starts. The number of requests in flight follows the targets: it grows while answers
//! come and falls when targets shed, so that the entries share the slots without a shared counter.

use std::collections::VecDeque;

use auburnbridge_types::{Millis, Slots, Timestamp};

use crate::RequestClass;

/// Factor of the concurrency limit after a shed. Under overload the limit settles where one answer
/// comes with `1 / ((1 - DECREASE) * limit^2)` sheds, which equals about one shed at a limit of 6; a
/// smaller factor left a fifth of the slots idle.
const DECREASE: f64 = 0.97;
/// Multiple of the mean service time that must be left before a deadline. With the mean alone a
/// third of the lookups that started under overload were answered too late.
const SERVICE_MARGIN: f64 = 3.0;
/// Lower bound of the concurrency limit.
const LEAST_CONCURRENCY: f64 = 2.0;
/// Weight of the newest sample in averages.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Service time that is assumed for the wait in the queue before any was measured.
const ASSUMED_SERVICE_MS: f64 = 50.0;
/// Time that a started request needs at least: the resolution of the clock. Before any service time
/// was measured nothing longer is assumed, or an idle entry would reject short deadlines.
const LEAST_SERVICE: Millis = Millis(1);
/// Share of the slots to which non-idempotent work may exceed the concurrency limit, which
/// lookups fill; targets with a free slot run it, and the others shed it at once.
const ONCE_EXCESS: f64 = 0.25;

/// Slots that are kept free of lookups for non-idempotent work that is yet to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reservation {
    /// None: a non-idempotent request may find all slots taken and waits for the next to be free.
    None,
    /// A fixed share of the concurrency limit.
    Fixed(f64),
    /// As many as the non-idempotent requests that are expected within one service time.
    LookAhead,
}

/// Settings of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Requests that may wait, of each class.
    pub queue_limit: usize,
    /// Share of the starts that waiting lookups keep.
    pub lookup_share: f64,
    /// Slots kept free for non-idempotent work.
    pub reservation: Reservation,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            queue_limit: 256,
            lookup_share: 0.1,
            reservation: Reservation::LookAhead,
        }
    }
}

/// A request that waits for its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting<T> {
    /// Its class.
    pub class: RequestClass,
    /// Time after which nobody waits for the answer.
    pub deadline: Timestamp,
    /// The caller's handle of the request.
    pub item: T,
}

/// A request that was not admitted; it did not run.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejected<T> {
    /// The request.
    pub request: Waiting<T>,
    /// Time after which it may be sent again.
    pub retry_after: Millis,
}

/// What to do with the next waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Next<T> {
    /// Send it to a target.
    Start(Waiting<T>),
    /// Its deadline is over or too close; it did not run.
    Expired(Waiting<T>),
}

/// How a started request ended, as far as it matters for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The target answered after this time.
    Answered(Millis),
    /// The target shed it.
    Shed,
    /// Any other end, which says nothing about free slots.
    Other,
}

/// The waiting and running requests of one service on one entry.
#[derive(Clone, Debug)]
pub struct AdmissionQueue<T> {
    policy: AdmissionPolicy,
    once: VecDeque<Waiting<T>>,
    lookups: VecDeque<Waiting<T>>,
    running_once: u32,
    running_lookups: u32,
    concurrency: f64,
    slots: f64,
    lookup_credit: f64,
    service_ms: f64,
    has_measured: bool,
    once_gap_ms: f64,
    last_once: Option<Timestamp>,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue in front of so many slots.
    pub fn new(policy: AdmissionPolicy, in_use: Slots) -> Self {
        let slots = f64::from(in_use.0.max(1));
        Self {
            policy,
            once: VecDeque::new(),
            lookups: VecDeque::new(),
            running_once: 0,
            running_lookups: 0,
            concurrency: (slots / 4.0).max(LEAST_CONCURRENCY),
            slots,
            lookup_credit: 0.0,
            service_ms: ASSUMED_SERVICE_MS,
            has_measured: false,
            once_gap_ms: f64::INFINITY,
            last_once: None,
        }
    }

    /// Takes over the slots in use, the upper bound of the requests in flight. Slots that are new
    /// count as free until a target sheds.
    pub fn set_slots(&mut self, in_use: Slots) {
        let slots = f64::from(in_use.0.max(1));
        let added = (slots - self.slots).max(0.0);
        self.slots = slots;
        self.concurrency = (self.concurrency + added).min(slots);
    }

    /// Queues a request, or rejects it if it would wait in vain.
    pub fn offer(&mut self, now: Timestamp, request: Waiting<T>) -> Result<(), Rejected<T>> {
        if request.class == RequestClass::Once {
            self.record_once_arrival(now);
        }
        let wait = self.expected_wait(request.class);
        let is_full = self.queue(request.class).len() >= self.policy.queue_limit;
        if is_full || now.after(wait).after(self.service_time()) >= request.deadline {
            let retry_after = Millis(wait.0.max(1));
            return Err(Rejected {
                request,
                retry_after,
            });
        }
        self.queue_mut(request.class).push_back(request);
        Ok(())
    }

    /// Puts a request that a target shed back to the head of its queue.
    pub fn put_back(&mut self, request: Waiting<T>) {
        self.queue_mut(request.class).push_front(request);
    }

    /// Takes the next request that may start or whose deadline is too close; call it until it gives none.
    pub fn next(&mut self, now: Timestamp) -> Option<Next<T>> {
        // A request that can't be answered in time would take a slot for nothing.
        let finished = now.after(self.service_time());
        for class in [RequestClass::Once, RequestClass::Idempotent] {
            let queue = self.queue_mut(class);
            if queue
                .front()
                .is_some_and(|request| request.deadline <= finished)
            {
                return self.queue_mut(class).pop_front().map(Next::Expired);
            }
        }
        let class = self.next_class()?;
        let request = self.queue_mut(class).pop_front()?;
        self.count_start(class);
        Some(Next::Start(request))
    }

    fn next_class(&self) -> Option<RequestClass> {
        let once_waits = !self.once.is_empty();
        let lookup_waits = !self.lookups.is_empty();
        let running = f64::from(self.running_once + self.running_lookups);
        let is_owed = lookup_waits && self.lookup_credit >= 1.0;
        if is_owed && running < self.concurrency {
            return Some(RequestClass::Idempotent);
        }
        if once_waits {
            let limit = self.concurrency + (self.slots * ONCE_EXCESS).min(self.concurrency);
            return (running < limit).then_some(RequestClass::Once);
        }
        (lookup_waits && self.admits_lookup(running)).then_some(RequestClass::Idempotent)
    }

    fn admits_lookup(&self, running: f64) -> bool {
        let kept = (self.concurrency * self.policy.lookup_share).max(1.0);
        if f64::from(self.running_lookups) < kept && running < self.concurrency {
            return true;
        }
        let reserved = match self.policy.reservation {
            Reservation::None => 0.0,
            Reservation::Fixed(share) => self.concurrency * share,
            Reservation::LookAhead => self.expected_once(),
        };
        let unused = (reserved - f64::from(self.running_once)).max(0.0);
        running + unused < self.concurrency
    }

    /// Non-idempotent requests in flight by Little's law, and one standard deviation more.
    fn expected_once(&self) -> f64 {
        let mean = self.service_ms / self.once_gap_ms;
        mean + mean.sqrt()
    }

    /// Time that a started request needs at most, but for rare ones.
    fn service_time(&self) -> Millis {
        if self.has_measured {
            Millis(whole_millis(self.service_ms * SERVICE_MARGIN)).max(LEAST_SERVICE)
        } else {
            LEAST_SERVICE
        }
    }

    fn count_start(&mut self, class: RequestClass) {
        match class {
            RequestClass::Once => {
                self.running_once += 1;
                if self.lookups.is_empty() {
                    self.lookup_credit = 0.0;
                } else {
                    let share = self.policy.lookup_share;
                    self.lookup_credit = (self.lookup_credit + share / (1.0 - share)).min(2.0);
                }
            }
            RequestClass::Idempotent => {
                self.running_lookups += 1;
                self.lookup_credit = (self.lookup_credit - 1.0).max(0.0);
            }
        }
    }

    /// Takes over one service time; the first one replaces the assumption.
    fn record_service_time(&mut self, time_ms: f64) {
        if self.has_measured {
            self.service_ms += (time_ms - self.service_ms) * AVERAGE_WEIGHT;
        } else {
            self.service_ms = time_ms;
            self.has_measured = true;
        }
    }

    /// Lowers the limit after a shed of a request that goes on at another target.
    pub fn record_shed(&mut self) {
        self.concurrency = (self.concurrency * DECREASE).max(LEAST_CONCURRENCY);
    }

    /// Takes over changed settings; requests that wait keep their places.
    pub fn set_policy(&mut self, policy: AdmissionPolicy) {
        self.policy = policy;
    }

    /// Ends a started request.
    pub fn finish(&mut self, class: RequestClass, ended: Ended) {
        let was_full = f64::from(self.running_once + self.running_lookups) >= self.concurrency;
        match class {
            RequestClass::Once => self.running_once = self.running_once.saturating_sub(1),
            RequestClass::Idempotent => {
                self.running_lookups = self.running_lookups.saturating_sub(1);
            }
        }
        match ended {
            Ended::Answered(time) => {
                let time_ms = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX));
                self.record_service_time(time_ms);
                if was_full {
                    let grown = self.concurrency + 1.0 / self.concurrency;
                    self.concurrency = grown.min(self.slots);
                }
            }
            Ended::Shed => self.record_shed(),
            Ended::Other => {}
        }
    }

    /// Time that a new request of the class would wait.
    pub fn expected_wait(&self, class: RequestClass) -> Millis {
        let share = match class {
            RequestClass::Once => 1.0,
            // Lookups get what non-idempotent work leaves, and at least their share.
            RequestClass::Idempotent => (1.0
                - self.service_ms / self.once_gap_ms / self.concurrency)
                .max(self.policy.lookup_share),
        };
        let ahead = u32::try_from(self.queue(class).len()).unwrap_or(u32::MAX);
        let wait = f64::from(ahead) * self.service_ms / (self.concurrency * share);
        Millis(whole_millis(wait))
    }

    /// Limit of the requests in flight.
    pub fn concurrency(&self) -> f64 {
        self.concurrency
    }

    /// Requests that wait, of both classes.
    pub fn waiting(&self) -> usize {
        self.once.len() + self.lookups.len()
    }

    fn record_once_arrival(&mut self, now: Timestamp) {
        if let Some(last) = self.last_once {
            let gap = f64::from(u32::try_from(now.since(last).0).unwrap_or(u32::MAX));
            if self.once_gap_ms.is_finite() {
                self.once_gap_ms += (gap - self.once_gap_ms) * AVERAGE_WEIGHT;
            } else {
                self.once_gap_ms = gap;
            }
            self.once_gap_ms = self.once_gap_ms.max(0.1);
        }
        self.last_once = Some(now);
    }

    fn queue(&self, class: RequestClass) -> &VecDeque<Waiting<T>> {
        match class {
            RequestClass::Once => &self.once,
            RequestClass::Idempotent => &self.lookups,
        }
    }

    fn queue_mut(&mut self, class: RequestClass) -> &mut VecDeque<Waiting<T>> {
        match class {
            RequestClass::Once => &mut self.once,
            RequestClass::Idempotent => &mut self.lookups,
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
