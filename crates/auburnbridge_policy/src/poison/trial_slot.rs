//! The trial of the fleet: one request at a time that may be a poison request.
//!
//! Gateways claim the trial by a message to all others and wait until claims made at the same time must
//! have arrived; the lowest claim wins. There is no owner: a gateway that misses a claim may start a
//! second trial, and a gateway that is lost blocks the trial for [`TRIAL_TIME`] at most.

use auburnbridge_types::{Millis, RequestDigest, Timestamp, TrialClaim};

/// Time between a claim and the run, in which the claims of other gateways arrive.
pub const SETTLING_TIME: Millis = Millis(25);
/// Time after which a trial no longer keeps others from starting.
pub const TRIAL_TIME: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Trial {
    request: RequestDigest,
    claim: TrialClaim,
    since: Timestamp,
    is_own: bool,
}

/// The trial as one gateway knows it.
#[derive(Clone, Debug, Default)]
pub struct TrialSlot {
    current: Option<Trial>,
}

impl TrialSlot {
    /// Claims the trial for a request of this gateway.
    pub fn claim(&mut self, now: Timestamp, request: RequestDigest, claim: TrialClaim) {
        self.current = Some(Trial {
            request,
            claim,
            since: now,
            is_own: true,
        });
    }

    /// Instant at which the present trial ends at the latest; `None` if there is none.
    pub fn ends_at(&self, now: Timestamp) -> Option<Timestamp> {
        let trial = self.running(now)?;
        Some(trial.since.after(TRIAL_TIME))
    }

    /// Records the claim of another gateway.
    pub fn record(&mut self, now: Timestamp, request: RequestDigest, claim: TrialClaim) {
        if let Some(trial) = self.running(now) {
            // A request of this gateway that has been sent can't be called back.
            let was_sent = trial.is_own && now.since(trial.since) >= SETTLING_TIME;
            if was_sent || trial.claim <= claim {
                return;
            }
        }
        self.current = Some(Trial {
            request,
            claim,
            since: now,
            is_own: false,
        });
    }

    /// Whether the trial is held by this claim.
    pub fn is_held(&self, now: Timestamp, claim: TrialClaim) -> bool {
        self.running(now).is_some_and(|trial| trial.claim == claim)
    }

    /// Ends the trial of a request whose run crashed its target or was answered.
    pub fn end(&mut self, request: &RequestDigest) {
        self.current.take_if(|trial| trial.request == *request);
    }

    /// Ends the trial of a claim whose run had another outcome.
    pub fn release(&mut self, claim: TrialClaim) {
        self.current.take_if(|trial| trial.claim == claim);
    }

    fn running(&self, now: Timestamp) -> Option<Trial> {
        self.current
            .filter(|trial| now.since(trial.since) < TRIAL_TIME)
    }
}
