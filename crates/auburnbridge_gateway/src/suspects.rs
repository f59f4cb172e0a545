//! Requests that crash targets: what this gateway knows of them, and their trials.

use std::net::IpAddr;
use std::sync::Arc;

use auburnbridge_http::Request;
use auburnbridge_policy::poison::{
    Admission, CLAIM_SENDS, CrashReport, RunHistory, SETTLING_TIME, SuspectReport, Suspects,
    Verdict,
};
use auburnbridge_routing::ClientAccount;
use auburnbridge_telemetry::ProcessMetrics;
use auburnbridge_types::{AccountId, Clock, Millis, RequestDigest, RunId, Timestamp};
use event_listener::{Event, EventListener};
use futures_lite::FutureExt;
use log::info;
use parking_lot::Mutex;
use sha2::{Digest, Sha256};
use strum::IntoStaticStr;

/// Who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerIdentity {
    /// A client account, at any address.
    Account(AccountId),
    /// A caller without an account.
    Address(IpAddr),
}

impl CallerIdentity {
    /// The account of a caller, or its address if it has none.
    pub fn new(account: Option<&ClientAccount>, address: IpAddr) -> Self {
        account.map_or(Self::Address(address), |account| {
            Self::Account(account.id.clone())
        })
    }
}

/// Digest of caller, host, method, path and body, which identifies a request across the attempts of
/// its caller, whose attempt ids differ.
pub fn request_digest(request: &Request, caller: &CallerIdentity) -> RequestDigest {
    let host = request.headers.get("Host").unwrap_or_default();
    let (kind, caller) = match caller {
        CallerIdentity::Account(account) => ("account", account.to_string()),
        CallerIdentity::Address(address) => ("address", address.to_string()),
    };
    let mut hasher = Sha256::new();
    for part in [
        kind.as_bytes(),
        caller.as_bytes(),
        host,
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ] {
        // The length prefix keeps requests apart whose parts are divided differently.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    RequestDigest(hasher.finalize().into())
}

/// The requests that crashed targets, shared by all requests of a gateway.
///
/// No lock is held together with another one.
pub(crate) struct SuspectRegister {
    metrics: Arc<ProcessMetrics>,
    suspects: Mutex<Suspects>,
    /// Reports for the other gateways.
    unreported: Mutex<Vec<SuspectReport>>,
    /// Notified when a request that waits for the trial may start.
    changed: Event,
    /// Notified when there is a report for the other gateways.
    reported: Event,
}

/// Permission to send a request to one target, which is held until the outcome is known.
pub(crate) struct RunPermit<'a> {
    /// Id of the run.
    pub(crate) run: RunId,
    trial: Option<Trial<'a>>,
}

impl RunPermit<'_> {
    /// Whether the request must not be sent to another target meanwhile.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.trial.is_some()
    }
}

/// The trial of a request; ends when it is dropped.
struct Trial<'a> {
    register: &'a SuspectRegister,
    run: RunId,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        self.register.suspects.lock().trial.end_run(self.run);
        self.register.changed.notify(usize::MAX);
    }
}

/// What happens to a request that may crash targets, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum SuspectEvent {
    Crashed,
    Answered,
    Trial,
    Refused,
}

impl SuspectRegister {
    pub(crate) fn new(metrics: Arc<ProcessMetrics>) -> Self {
        Self {
            metrics,
            suspects: Mutex::default(),
            unreported: Mutex::default(),
            changed: Event::new(),
            reported: Event::new(),
        }
    }

    /// Records a report of another gateway, and returns the answer if that knows too little.
    pub(crate) fn record(&self, now: Timestamp, report: &SuspectReport) -> Option<SuspectReport> {
        let answer = self.suspects.lock().record(now, report);
        self.changed.notify(usize::MAX);
        answer
    }

    /// Records a crash that this gateway observed.
    pub(crate) fn report_crash(&self, now: Timestamp, crash: CrashReport) {
        let (target, request) = (crash.target.clone(), crash.request);
        let incarnation = crash.incarnation.0;
        self.report(now, SuspectReport::Crashed(crash));
        let suspects = self.suspects.lock();
        let history = suspects.table.history(now, &request);
        let verdict = suspects.table.verdict(now, &request);
        drop(suspects);
        self.metrics.record_suspect(SuspectEvent::Crashed.into());
        info!(
            target_id:% = target, incarnation = incarnation, request:% = request,
            crashes_in_a_row = history.crashes, verdict:% = verdict;
            "target crashed while it ran a request"
        );
    }

    /// Records an answered run of a request, which refutes its crashes.
    pub(crate) fn record_answer(&self, request: &RequestDigest) {
        let report = self.suspects.lock().record_answer(request);
        if let Some(report) = report {
            self.metrics.record_suspect(SuspectEvent::Answered.into());
            info!(request:% = request; "request answered after crashes of its targets");
            self.queue(report);
            self.changed.notify(usize::MAX);
        }
    }

    /// Counts and logs the refusal of a request that arrived at this gateway.
    pub(crate) fn record_refusal(
        &self,
        attempt: &str,
        request: &RequestDigest,
        retry_after: Millis,
    ) {
        self.metrics.record_suspect(SuspectEvent::Refused.into());
        info!(
            attempt = attempt, request:% = request, retry_after_ms = retry_after.0;
            "request crashes targets"
        );
    }

    /// What is known of a request that is about to be sent.
    pub(crate) fn history(&self, now: Timestamp, request: &RequestDigest) -> RunHistory {
        self.suspects.lock().table.history(now, request)
    }

    pub(crate) fn verdict(&self, now: Timestamp, request: &RequestDigest) -> Verdict {
        self.suspects.lock().table.verdict(now, request)
    }

    /// Notifies of the next report for the other gateways.
    pub(crate) fn listen_for_reports(&self) -> EventListener {
        self.reported.listen()
    }

    /// Takes the reports that have not been sent to the other gateways yet.
    pub(crate) fn take_unreported(&self) -> Vec<SuspectReport> {
        std::mem::take(&mut self.unreported.lock())
    }

    /// Waits until a request may be sent to a target, on trial if needed; `false` if it is refused or its
    /// deadline passes.
    pub(crate) async fn wait_for_admission(
        &self,
        clock: &dyn Clock,
        request: &RequestDigest,
        deadline: Timestamp,
    ) -> bool {
        loop {
            let changed = self.changed.listen();
            let now = clock.now();
            let admission = self.suspects.lock().admit(now, request);
            let until = match admission {
                Admission::Run | Admission::Trial => return true,
                Admission::Wait(until) if now < deadline => until.min(deadline),
                Admission::Wait(_) | Admission::Refuse(_) => return false,
            };
            changed.or(clock.sleep(until.since(now))).await;
        }
    }

    /// Begins a run of a request that has a target; `None` if it may not be sent now, since targets crashed
    /// while it waited for one, or another request is on trial.
    pub(crate) async fn begin_run(
        &self,
        clock: &dyn Clock,
        request: &RequestDigest,
    ) -> Option<RunPermit<'_>> {
        let run = RunId(rand::random());
        let now = clock.now();
        {
            let mut suspects = self.suspects.lock();
            match suspects.admit(now, request) {
                Admission::Run => return Some(RunPermit { run, trial: None }),
                Admission::Trial => suspects.claim(now, *request, run),
                Admission::Wait(_) | Admission::Refuse(_) => return None,
            }
        }
        let trial = Trial {
            register: self,
            run,
        };
        let request = *request;
        for _ in 0..CLAIM_SENDS {
            self.queue(SuspectReport::Trial { request, run });
            clock.sleep(Millis(SETTLING_TIME.0 / CLAIM_SENDS)).await;
        }
        let now = clock.now();
        if !self.suspects.lock().has_won(now, &request, run) {
            return None;
        }
        self.metrics.record_suspect(SuspectEvent::Trial.into());
        info!(request:% = request, run = run.0; "request on trial");
        Some(RunPermit {
            run,
            trial: Some(trial),
        })
    }

    fn report(&self, now: Timestamp, report: SuspectReport) {
        self.record(now, &report);
        self.queue(report);
    }

    fn queue(&self, report: SuspectReport) {
        self.unreported.lock().push(report);
        self.reported.notify(usize::MAX);
    }
}
