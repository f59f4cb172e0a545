//! The trial of the fleet: one request at a time that may be a poison request.
//!
//! Gateways claim the trial for a run by a message to all others and wait until claims made at the same
//! time must have arrived; the lowest id of a run wins. There is no owner: a gateway that misses a claim may start a
//! second trial, and a gateway that is lost blocks other requests for [`TRIAL_TIME`] at most.

use auburnbridge_types::{Millis, RequestDigest, RunId, Timestamp};

/// Time between a claim and the run, in which the claims of other gateways arrive.
pub const SETTLING_TIME: Millis = Millis(30);
/// Number of times that a claim is sent during [`SETTLING_TIME`], since datagrams may be lost.
pub const CLAIM_SENDS: u64 = 3;
/// Time after which a trial no longer keeps one of another request from starting.
pub const TRIAL_TIME: Millis = Millis(1_000);
/// The same for the next trial of the same request, which may take long to crash its target.
pub const SAME_REQUEST_TRIAL_TIME: Millis = Millis(3_000);
/// Maximum number of trials kept.
const MAX_TRIALS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Trial {
    request: RequestDigest,
    run: RunId,
    since: Timestamp,
    is_own: bool,
    /// Kept for a while, so that a claim that arrives again begins no new trial.
    is_over: bool,
}

impl Trial {
    /// Instant until which it keeps a trial of `request` from starting.
    fn blocks_until(&self, request: &RequestDigest) -> Timestamp {
        let time = if self.request == *request {
            SAME_REQUEST_TRIAL_TIME
        } else {
            TRIAL_TIME
        };
        self.since.after(time)
    }
}

/// The trials that one gateway knows of: the present one, and those that took so long that one of another
/// request has started meanwhile.
#[derive(Clone, Debug, Default)]
pub struct TrialSlot {
    trials: Vec<Trial>,
}

impl TrialSlot {
    /// Claims the trial for a request of this gateway.
    pub fn claim(&mut self, now: Timestamp, request: RequestDigest, run: RunId) {
        self.add(Trial {
            request,
            run,
            since: now,
            is_own: true,
            is_over: false,
        });
    }

    /// Instant until which a trial of `request` has to wait at most; `None` if it may start.
    pub fn blocked_until(&self, now: Timestamp, request: &RequestDigest) -> Option<Timestamp> {
        let running = self.trials.iter().filter(|trial| !trial.is_over);
        running
            .map(|trial| trial.blocks_until(request))
            .filter(|until| now < *until)
            .max()
    }

    /// Records the claim of another gateway.
    pub fn record(&mut self, now: Timestamp, request: RequestDigest, run: RunId) {
        let is_simultaneous = |trial: &Trial| now.since(trial.since) < SETTLING_TIME;
        let wins = |trial: &Trial| {
            if is_simultaneous(trial) {
                trial.run < run
            } else {
                // A request of this gateway that has been sent can't be called back.
                trial.is_own && now < trial.blocks_until(&request)
            }
        };
        let refuses = |trial: &Trial| trial.run == run || (!trial.is_over && wins(trial));
        if self.trials.iter().any(refuses) {
            return;
        }
        // A trial of the same request on another gateway has ended if one of them claims the next.
        self.end_if(|trial| is_simultaneous(trial) || trial.request == request);
        self.add(Trial {
            request,
            run,
            since: now,
            is_own: false,
            is_over: false,
        });
    }

    /// Whether the trial is held by this run.
    pub fn is_held(&self, now: Timestamp, run: RunId) -> bool {
        self.trials.iter().any(|trial| {
            let is_running = !trial.is_over && now.since(trial.since) < SAME_REQUEST_TRIAL_TIME;
            is_running && trial.run == run
        })
    }

    /// Ends the trial of a request that was answered.
    pub fn end(&mut self, request: &RequestDigest) {
        self.end_if(|trial| trial.request == *request);
    }

    /// Ends the trial of a run.
    pub fn end_run(&mut self, run: RunId) {
        self.end_if(|trial| trial.run == run);
    }

    fn end_if(&mut self, is_over: impl Fn(&Trial) -> bool) {
        for trial in &mut self.trials {
            trial.is_over |= is_over(trial);
        }
    }

    fn add(&mut self, trial: Trial) {
        self.trials
            .retain(|old| trial.since.since(old.since) < SAME_REQUEST_TRIAL_TIME);
        if self.trials.len() >= MAX_TRIALS {
            self.trials.remove(0);
        }
        self.trials.push(trial);
    }
}
