//! Tests of the admission queue: priority, guaranteed share, deadlines and bounds.

use auburnbridge_policy::{
    AdmissionPolicy, AdmissionQueue, Completion, Dequeued, QueuedRequest, RequestClass, Reservation,
};
use auburnbridge_types::{Millis, Slots, Timestamp};
use proptest::prelude::*;

const START: Timestamp = Timestamp(1_000_000);

fn policy(idempotent_share: f64) -> AdmissionPolicy {
    AdmissionPolicy {
        queue_limit: 1_000,
        idempotent_share,
        reservation: Reservation::None,
    }
}

fn queued(class: RequestClass, item: u32) -> QueuedRequest<u32> {
    QueuedRequest {
        class,
        deadline: START.after(Millis(60_000)),
        item,
    }
}

fn start_all(queue: &mut AdmissionQueue<u32>) -> Vec<RequestClass> {
    let mut classes = Vec::new();
    while let Some(dequeued) = queue.next(START) {
        match dequeued {
            Dequeued::Start(request) => classes.push(request.class),
            Dequeued::Expired(request) => panic!("{request:?} expired before its deadline"),
        }
    }
    classes
}

/// Guards against idempotent requests that starve under non-idempotent load, or that take more than
/// their guaranteed share of the starts from it.
#[test]
fn idempotent_requests_get_exactly_their_share() {
    for share in [0.1, 0.25, 0.5] {
        let mut queue = AdmissionQueue::new(policy(share), Slots(8));
        for item in 0..900 {
            queue
                .try_enqueue(START, queued(RequestClass::Once, item))
                .ok();
            let idempotent = queued(RequestClass::Idempotent, item);
            queue.try_enqueue(START, idempotent).ok();
        }
        let (mut idempotent, mut all) = (0.0, 0.0);
        while all < 400.0 {
            for class in start_all(&mut queue) {
                all += 1.0;
                idempotent += f64::from(u8::from(class == RequestClass::Idempotent));
                queue.finish(class, Completion::Answered(Millis(1)));
            }
        }
        let measured = idempotent / all;
        assert!((measured - share).abs() < 0.02, "{measured} for {share}");
    }
}

/// Guards against a non-idempotent request that waits behind queued idempotent requests.
#[test]
fn once_starts_before_queued_idempotent_requests() {
    let mut queue = AdmissionQueue::new(policy(0.1), Slots(4));
    for item in 0..100 {
        queue
            .try_enqueue(START, queued(RequestClass::Idempotent, item))
            .unwrap();
    }
    let first = start_all(&mut queue);
    assert!(!first.is_empty(), "requests start while slots are free");
    queue
        .try_enqueue(START, queued(RequestClass::Once, 0))
        .unwrap();
    queue.finish(RequestClass::Idempotent, Completion::Answered(Millis(30)));
    assert_eq!(queue.next(START).map(class_of), Some(RequestClass::Once));
}

fn class_of(dequeued: Dequeued<u32>) -> RequestClass {
    match dequeued {
        Dequeued::Start(request) | Dequeued::Expired(request) => request.class,
    }
}

/// Guards against an unbounded queue, a queueing delay beyond the deadline, and a rejection without a
/// usable retry delay.
#[test]
fn requests_that_would_expire_are_rejected_early() {
    let mut queue = AdmissionQueue::new(policy(0.1), Slots(4));
    let mut retry_delays = Vec::new();
    for item in 0..2_000 {
        let mut request = queued(RequestClass::Idempotent, item);
        request.deadline = START.after(Millis(2_000));
        if let Err(rejected) = queue.try_enqueue(START, request) {
            retry_delays.push(rejected.retry_after);
        }
    }
    assert!(queue.waiting() < 200, "{} wait", queue.waiting());
    assert!(
        retry_delays
            .iter()
            .all(|delay| (1..=2_000).contains(&delay.0))
    );
    let late = START.after(Millis(1_999));
    assert!(matches!(queue.next(late), Some(Dequeued::Expired(_))));
}

proptest! {
    /// Guards against requests that are lost, run twice or exceed the slots, under random schedules.
    #[test]
    fn every_request_ends_exactly_once(steps in prop::collection::vec(0_u8..6, 1..400)) {
        let mut queue = AdmissionQueue::new(AdmissionPolicy::default(), Slots(6));
        let (mut offered, mut ended) = (0_u32, 0_u32);
        let mut running: Vec<QueuedRequest<u32>> = Vec::new();
        let mut now = START;
        for step in steps {
            now = now.after(Millis(7));
            let class = if step % 2 == 0 { RequestClass::Once } else { RequestClass::Idempotent };
            match step {
                0 | 1 => {
                    offered += 1;
                    let deadline = now.after(Millis(400));
                    let request = QueuedRequest { class, deadline, item: offered };
                    ended += u32::from(queue.try_enqueue(now, request).is_err());
                }
                2 | 3 if !running.is_empty() => {
                    let request = running.remove(0);
                    queue.finish(request.class, Completion::Answered(Millis(30)));
                    ended += 1;
                }
                4 if !running.is_empty() => {
                    let request = running.remove(0);
                    queue.finish(request.class, Completion::Shed);
                    queue.requeue(request);
                }
                _ => {}
            }
            while let Some(dequeued) = queue.next(now) {
                match dequeued {
                    Dequeued::Start(request) => running.push(request),
                    Dequeued::Expired(_) => ended += 1,
                }
            }
            let waiting = u32::try_from(queue.waiting()).unwrap();
            let in_flight = u32::try_from(running.len()).unwrap();
            prop_assert_eq!(offered, ended + waiting + in_flight);
            prop_assert!(f64::from(in_flight) <= 6.0 * 1.25 + 1.0);
        }
    }
}
