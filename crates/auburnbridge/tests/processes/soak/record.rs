//! Records what callers received and what targets ran, and checks the guarantees that follow from it.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use auburnbridge_http::Request;
use parking_lot::Mutex;

use super::schedule::{Action, Role, Step};
use crate::wire;

/// Time from the acknowledgement of a departure after which the target must get no request.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Guarantees with a time limit apply to processes that had no fault for this long.
pub const FAULT_FREE_TIME: Duration = Duration::from_secs(6);
/// Statuses which state that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Attempt id of the requests of the test itself, which are not recorded.
const TEST_ATTEMPT: &str = "a-1";

/// One run of a request on a target.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub at: Instant,
}

impl Run {
    pub fn of(req: &Request) -> Self {
        Self {
            attempt: req.headers.text(wire::ATTEMPT).unwrap_or("-").to_owned(),
            path: req.path.clone(),
            at: Instant::now(),
        }
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Status(u16),
    /// The connection was closed without an answer.
    Closed,
    /// The caller gave up.
    GaveUp,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub attempt: String,
    pub path: String,
    pub is_once: bool,
    pub gateway: u8,
    pub start: Instant,
    pub end: Instant,
    pub outcome: Outcome,
}

/// Events of one seed and the violations found so far.
#[derive(Default)]
pub struct Record {
    sent: Mutex<Vec<SentRequest>>,
    runs: Mutex<Vec<Run>>,
    faults: Mutex<Vec<(Instant, Step)>>,
    violations: Mutex<Vec<String>>,
    /// Versions in rising order, with the times of their first acknowledgements.
    acknowledged: Mutex<Vec<(u32, Instant)>>,
    departures: AtomicU32,
}

impl Record {
    pub fn record_violation(&self, what: impl Into<String>) {
        self.violations.lock().push(what.into());
    }

    pub fn record_fault(&self, step: &Step) {
        self.faults.lock().push((Instant::now(), step.clone()));
    }

    pub fn record_request(&self, sent: SentRequest) {
        self.sent.lock().push(sent);
    }

    pub fn record_acknowledged(&self, version: u32) {
        let mut acknowledged = self.acknowledged.lock();
        if acknowledged
            .last()
            .is_none_or(|(newest, _)| *newest < version)
        {
            acknowledged.push((version, Instant::now()));
        }
    }

    pub fn newest_acknowledged(&self) -> u32 {
        let acknowledged = self.acknowledged.lock();
        acknowledged.last().map_or(0, |(version, _)| *version)
    }

    /// Returns the newest acknowledged version below `version`.
    pub fn last_acknowledged_below(&self, version: u32) -> Option<u32> {
        let acknowledged = self.acknowledged.lock();
        let older = acknowledged
            .iter()
            .rev()
            .find(|(other, _)| *other < version);
        older.map(|(other, _)| *other)
    }

    /// Whether `version` was acknowledged at least `age` ago.
    pub fn was_acknowledged_for(&self, version: u32, age: Duration) -> bool {
        let acknowledged = self.acknowledged.lock();
        acknowledged
            .iter()
            .any(|(other, at)| *other == version && at.elapsed() >= age)
    }

    /// Whether a fault began or ended since `from` at a process that matches `is_relevant`.
    pub fn had_fault_since(&self, from: Instant, is_relevant: impl Fn(Role, u8) -> bool) -> bool {
        self.steps_between(from, Instant::now(), |step| {
            is_relevant(step.role, step.number)
        })
    }

    /// Moves the runs of a target to the record and returns them.
    fn take_runs(&self, runs: &Mutex<Vec<Run>>) -> Vec<Run> {
        let taken = std::mem::take(&mut *runs.lock());
        self.runs.lock().extend(taken.iter().cloned());
        taken
    }

    fn steps_between(
        &self,
        from: Instant,
        to: Instant,
        is_relevant: impl Fn(&Step) -> bool,
    ) -> bool {
        let faults = self.faults.lock();
        faults
            .iter()
            .any(|(at, step)| (from..=to).contains(at) && is_relevant(step))
    }

    /// Checks that a target got no request later than [`DRAIN_LIMIT`] after its departure was
    /// acknowledged, unless a gateway or keeper had a fault from [`FAULT_FREE_TIME`] before the
    /// acknowledgement on.
    pub fn check_departure(&self, runs: &Mutex<Vec<Run>>, acknowledged: Instant) {
        self.departures.fetch_add(1, Ordering::SeqCst);
        let late: Vec<Run> = self
            .take_runs(runs)
            .into_iter()
            .filter(|run| run.at > acknowledged + DRAIN_LIMIT)
            .collect();
        let from = acknowledged
            .checked_sub(FAULT_FREE_TIME)
            .unwrap_or(acknowledged);
        if !late.is_empty() && !self.had_fault_since(from, |role, _| role != Role::Target) {
            self.record_violation(format!("requests after a departure: {late:?}"));
        }
    }

    /// Checks the configuration that is read back at the end.
    pub fn check_final_configuration(&self, body: &[u8]) {
        let version = version_of(body);
        if version < self.newest_acknowledged() {
            self.record_violation(format!(
                "version {version}, older than the newest acknowledged one, is read back at the end"
            ));
        }
        if body != wire::versioned_document(version).as_bytes() {
            self.record_violation(format!(
                "version {version} is read back with different content"
            ));
        }
    }

    pub fn take_all_runs<'a>(&self, targets: impl Iterator<Item = &'a Mutex<Vec<Run>>>) {
        for runs in targets {
            self.take_runs(runs);
        }
    }

    /// Returns the violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        let sent = self.sent.lock();
        let by_attempt: HashMap<&str, &SentRequest> = sent
            .iter()
            .map(|sent| (sent.attempt.as_str(), sent))
            .collect();
        let runs = self.runs.lock();
        let mut counts: HashMap<&str, u32> = HashMap::new();
        let mut found = self.violations.lock().clone();
        for run in runs.iter().filter(|run| run.attempt != TEST_ATTEMPT) {
            *counts.entry(&run.attempt).or_default() += 1;
            match by_attempt.get(run.attempt.as_str()) {
                None => found.push(format!("{run:?} was not sent by any caller")),
                Some(sent) if sent.path != run.path => {
                    found.push(format!("{run:?} has another path than {sent:?}"));
                }
                Some(_) => {}
            }
        }
        for sent in sent.iter() {
            let count = counts.get(sent.attempt.as_str()).copied().unwrap_or(0);
            found.extend(
                self.violation_of(sent, count)
                    .map(|what| format!("{what}: {sent:?}")),
            );
        }
        found
    }

    fn violation_of(&self, sent: &SentRequest, runs: u32) -> Option<&'static str> {
        if sent.is_once && runs > 1 {
            return Some("ran more than once");
        }
        match sent.outcome {
            Outcome::Status(status)
                if NOT_RUN_STATUSES.contains(&status) && sent.is_once && runs > 0 =>
            {
                Some("ran although its status says that it did not")
            }
            Outcome::Status(200) if runs == 0 => Some("was answered, but never ran"),
            Outcome::Status(status)
                if (300..500).contains(&status) && !NOT_RUN_STATUSES.contains(&status) =>
            {
                Some("was rejected with an unexpected status")
            }
            Outcome::Closed if runs > 0 && !self.gateway_was_killed(sent) => {
                Some("was cut off by a gateway that was not killed")
            }
            Outcome::Status(_) | Outcome::Closed | Outcome::GaveUp => None,
        }
    }

    /// Whether the gateway of the request was killed while the request was in flight.
    fn gateway_was_killed(&self, sent: &SentRequest) -> bool {
        self.steps_between(sent.start, sent.end, |step| {
            step.role == Role::Gateway && step.number == sent.gateway && step.action == Action::Kill
        })
    }

    /// Counts of the seed's events.
    pub fn summary(&self) -> String {
        let sent = self.sent.lock();
        let answered = sent
            .iter()
            .filter(|sent| sent.outcome == Outcome::Status(200))
            .count();
        let kinds: HashSet<String> = self
            .faults
            .lock()
            .iter()
            .map(|(_, step)| format!("{:?}", step.action))
            .collect();
        format!(
            "requests={} answered={answered} runs={} versions={} departures={} faults={} kinds={}",
            sent.len(),
            self.runs.lock().len(),
            self.newest_acknowledged(),
            self.departures.load(Ordering::SeqCst),
            self.faults.lock().len(),
            kinds.len()
        )
    }
}

/// Returns the version of a document, or 0 if it has none.
pub fn version_of(body: &[u8]) -> u32 {
    let text = String::from_utf8_lossy(body);
    let digits = text
        .split_once(r#""version":""#)
        .and_then(|(_, rest)| rest.get(..8));
    digits
        .and_then(|digits| u32::from_str_radix(digits, 16).ok())
        .unwrap_or(0)
}
