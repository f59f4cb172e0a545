//! Choice of a target that has room for a large body.
//!
//! A target over its limit of bytes in flight is treated like one that the request was already sent
//! to. If no other target is free, the request waits without a slot, so that small requests use the
//! slots meanwhile. It tries again when a body in flight ends, and at short intervals, since another
//! target may join or get a free slot.

use auburnbridge_policy::balance::{BalancedKey, PlacementRequest, Refusal};
use auburnbridge_types::{ByteSize, Millis};
use futures_lite::FutureExt;
use log::info;

use crate::bodies::{BodyInFlight, TargetBodies};
use crate::exchange::Exchanger;
use crate::service_dispatcher::Assignment;

/// Interval at which an upload that waits for room tries again.
const RETRY_INTERVAL: Millis = Millis(50);

impl Exchanger<'_> {
    /// Waits for a target that may take the body of the request, if it is a large one.
    pub(crate) async fn acquire(
        self,
        placement: PlacementRequest<'_>,
    ) -> Result<(Assignment, Option<BodyInFlight>), Refusal> {
        let bytes = self.body_bytes();
        if !TargetBodies::is_counted(bytes) {
            return Ok((self.dispatcher.acquire(placement).await?, None));
        }
        let mut has_waited = false;
        loop {
            // Listening first, so that no release is missed.
            let released = self.gateway.target_bodies.listen();
            let assignment = self.dispatcher.acquire(placement).await?;
            if let Some(placed) = self.place_body(assignment, placement, bytes) {
                return Ok(placed);
            }
            let left = self.time_to_wait(placement);
            if left == Millis(0) {
                return Err(self
                    .dispatcher
                    .refusal(placement.priority, placement.account));
            }
            if !has_waited {
                info!(
                    attempt = self.attempt_id(), service = self.dispatcher.name().as_str(),
                    body_bytes = bytes.0, left_ms = left.0;
                    "upload waits for room on a target"
                );
                has_waited = true;
            }
            let retry = self.gateway.clock.sleep(left.min(RETRY_INTERVAL));
            released.or(retry).await;
        }
    }

    /// A second target for the request, with a free slot and room for its body.
    pub(crate) fn acquire_hedge(
        self,
        placement: PlacementRequest<'_>,
    ) -> Option<(Assignment, Option<BodyInFlight>)> {
        let hedge = self.dispatcher.pick_hedge(&placement)?;
        let bytes = self.body_bytes();
        if !TargetBodies::is_counted(bytes) {
            return Some((hedge, None));
        }
        self.place_body(hedge, placement, bytes)
    }

    fn body_bytes(self) -> ByteSize {
        ByteSize(self.incoming.request.body.len() as u64)
    }

    /// Time after which a target could hardly respond before the deadline, or until the objective if
    /// that is later.
    fn time_to_wait(self, placement: PlacementRequest<'_>) -> Millis {
        let now = self.gateway.clock.now();
        let silent_after = self.dispatcher.answer_times().silent_after();
        let until_deadline = placement.deadline.since(now).0;
        Millis(until_deadline.saturating_sub(silent_after.0)).max(placement.objective.since(now))
    }

    /// Assigns the body to this target, or to another free one that has room for it.
    fn place_body(
        self,
        mut assignment: Assignment,
        placement: PlacementRequest<'_>,
        bytes: ByteSize,
    ) -> Option<(Assignment, Option<BodyInFlight>)> {
        let mut excluded: Vec<BalancedKey> = placement.tried.to_vec();
        loop {
            let in_flight = self
                .gateway
                .target_bodies
                .begin(assignment.address(), bytes);
            if in_flight.is_some() {
                return Some((assignment, in_flight));
            }
            excluded.push(assignment.key());
            let others = PlacementRequest {
                tried: &excluded,
                ..placement
            };
            let other = self.dispatcher.pick_free(&others);
            assignment.give_back();
            assignment = other?;
        }
    }
}
