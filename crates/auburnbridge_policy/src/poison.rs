//! Detection of poison requests, which crash each target that runs them.
//!
//! A crash says little about the requests that its target ran: targets also go down by themselves,
//! several at a time, and beside a poison request. Three things tell a poison request from the others:
//!
//! - It is never answered. An answered run of a request refutes all its crashes until then.
//! - It crashes one target after another. Runs of the same request that were under way at the same
//!   time count as one crash in a row, however many targets went down under them ([`RunHistory`]).
//! - Other targets stay up. While targets crash that didn't run the request, more crashes in a row
//!   are needed.
//!
//! A request that crashed several targets is *on trial*: it runs on one target of the fleet at a time
//! ([`TrialSlot`]), never beside another request on trial, until it is answered or refused. The number
//! of targets that a poison request crashes is bounded that way even if its copies arrive at all
//! gateways at once.
//!
//! A refusal isn't final: a request that is refused gets a trial from time to time, and is served again
//! once it is answered.
//!
//! A request is identified by a full digest that the process computes, with its caller, so that no
//! other request is refused by mistake.

mod table;
mod trial_slot;

pub use table::{
    CRASHES_ALONE, CRASHES_AMID_OTHERS, CrashReport, FIRST_REFUSAL_TIME, LATE_AFTER, LATE_CRASHES,
    PoisonTable, REFUSAL_TIME, RunHistory, SuspectReport, Verdict,
};
pub use trial_slot::{CLAIM_SENDS, SAME_REQUEST_TRIAL_TIME, SETTLING_TIME, TRIAL_TIME, TrialSlot};

use auburnbridge_types::{Millis, RequestDigest, RunId, Timestamp};

/// Whether a request may be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Run,
    /// It may be sent on trial (see [`Suspects::claim`]).
    Trial,
    /// Another request is on trial, until this instant at the latest.
    Wait(Timestamp),
    /// It is a poison request and is refused for this time.
    Refuse(Millis),
}

/// What a gateway knows of requests that crash targets, and the trial of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// The crashes.
    pub table: PoisonTable,
    /// The trial.
    pub trial: TrialSlot,
}

impl Suspects {
    /// Decides whether a request may be sent to a target.
    pub fn admit(&self, now: Timestamp, request: &RequestDigest) -> Admission {
        match self.table.verdict(now, request) {
            Verdict::Sound => Admission::Run,
            Verdict::Poisoned(left) => Admission::Refuse(left),
            Verdict::OnTrial => match self.trial.blocked_until(now, request) {
                None => Admission::Trial,
                Some(until) => Admission::Wait(until),
            },
        }
    }

    /// Claims the trial for a run of a request that can be sent at once. The claim has to be reported to the other
    /// gateways, and the request may be sent if it has won after [`SETTLING_TIME`].
    pub fn claim(&mut self, now: Timestamp, request: RequestDigest, run: RunId) {
        self.trial.claim(now, request, run);
    }

    /// Whether a run has won the trial, so that its request may be sent.
    pub fn has_won(&self, now: Timestamp, request: &RequestDigest, run: RunId) -> bool {
        self.trial.is_held(now, run) && self.table.verdict(now, request) == Verdict::OnTrial
    }

    /// Records an answered run; returns the report for the other gateways if it refutes crashes.
    pub fn record_answer(&mut self, request: &RequestDigest) -> Option<SuspectReport> {
        let report = self.table.record_answer(request);
        if report.is_some() {
            self.trial.end(request);
        }
        report
    }

    /// Records a report of this or another gateway; a repeated report has no effect. Returns the answer
    /// for a gateway that knows too little.
    pub fn record(&mut self, now: Timestamp, report: &SuspectReport) -> Option<SuspectReport> {
        let is_new = self.table.record(now, report);
        match report {
            SuspectReport::Crashed(crash) if is_new => {
                self.trial.end_run(crash.run);
                return self.table.correction(now, crash);
            }
            SuspectReport::Answered { request, .. } if is_new => self.trial.end(request),
            SuspectReport::Trial { request, run } => self.trial.record(now, *request, *run),
            SuspectReport::Crashed(_)
            | SuspectReport::Answered { .. }
            | SuspectReport::Known { .. } => {}
        }
        None
    }
}
