//! What callers heard and what targets ran, and the promises that follow from it.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use auburnbridge_http::Request;
use parking_lot::Mutex;

use super::schedule::{Action, Role, Step};
use crate::wire;

/// Time after the acknowledgement of a departure from which the target gets no request.
const DRAIN: Duration = Duration::from_secs(2);
/// Promises with a time hold for processes that no fault has touched for this long.
pub const IN_TOUCH: Duration = Duration::from_secs(6);
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Sends of the test itself, which are not recorded.
const OWN_ATTEMPT: &str = "a-1";

/// One run of a request at a target.
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

/// What a caller heard of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    Status(u16),
    /// The connection ended without an answer.
    Cut,
    /// The caller gave up.
    Nothing,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: String,
    pub path: String,
    pub is_once: bool,
    pub gateway: u8,
    pub began: Instant,
    pub ended: Instant,
    pub heard: Heard,
}

/// The record of one seed.
#[derive(Default)]
pub struct Record {
    sent: Mutex<Vec<Sent>>,
    runs: Mutex<Vec<Run>>,
    faults: Mutex<Vec<(Instant, Step)>>,
    violations: Mutex<Vec<String>>,
    /// Rising versions with the times of their first acknowledgements.
    acknowledged: Mutex<Vec<(u32, Instant)>>,
    departures: AtomicU32,
}

impl Record {
    pub fn violate(&self, what: impl Into<String>) {
        self.violations.lock().push(what.into());
    }

    pub fn note_fault(&self, step: &Step) {
        self.faults.lock().push((Instant::now(), step.clone()));
    }

    pub fn note_sent(&self, sent: Sent) {
        self.sent.lock().push(sent);
    }

    pub fn note_acknowledged(&self, version: u32) {
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

    /// The version that was acknowledged before `version`.
    pub fn acknowledged_before(&self, version: u32) -> Option<u32> {
        let acknowledged = self.acknowledged.lock();
        let older = acknowledged
            .iter()
            .rev()
            .find(|(other, _)| *other < version);
        older.map(|(other, _)| *other)
    }

    /// Whether `version` was acknowledged at least so long ago.
    pub fn is_acknowledged_since(&self, version: u32, time: Duration) -> bool {
        let acknowledged = self.acknowledged.lock();
        acknowledged
            .iter()
            .any(|(other, at)| *other == version && at.elapsed() >= time)
    }

    /// Whether a step at a process that is meant was taken since `from`.
    pub fn is_disturbed(&self, from: Instant, is_meant: impl Fn(Role, u8) -> bool) -> bool {
        self.steps_between(from, Instant::now(), |step| {
            is_meant(step.role, step.number)
        })
    }

    /// Takes over the runs of a target.
    fn take_runs(&self, runs: &Mutex<Vec<Run>>) -> Vec<Run> {
        let taken = std::mem::take(&mut *runs.lock());
        self.runs.lock().extend(taken.iter().cloned());
        taken
    }

    fn steps_between(&self, from: Instant, to: Instant, is_meant: impl Fn(&Step) -> bool) -> bool {
        let faults = self.faults.lock();
        faults
            .iter()
            .any(|(at, step)| (from..=to).contains(at) && is_meant(step))
    }

    /// Looks whether a target got a request too long after its departure was acknowledged, unless a
    /// gateway or a keeper was out of touch.
    pub fn check_departure(&self, runs: &Mutex<Vec<Run>>, acknowledged: Instant) {
        self.departures.fetch_add(1, Ordering::SeqCst);
        let late: Vec<Run> = self
            .take_runs(runs)
            .into_iter()
            .filter(|run| run.at > acknowledged + DRAIN)
            .collect();
        let from = acknowledged.checked_sub(IN_TOUCH).unwrap_or(acknowledged);
        if !late.is_empty() && !self.is_disturbed(from, |role, _| role != Role::Target) {
            self.violate(format!("requests after a departure: {late:?}"));
        }
    }

    /// Looks at the configuration that is read back when all is over.
    pub fn check_final_configuration(&self, body: &[u8]) {
        let version = version_of(body);
        if version < self.newest_acknowledged() {
            self.violate(format!("read back version {version} at the end"));
        }
        if body != wire::versioned_document(version).as_bytes() {
            self.violate(format!("version {version} is read back with other content"));
        }
    }

    pub fn take_all_runs<'a>(&self, targets: impl Iterator<Item = &'a Mutex<Vec<Run>>>) {
        for runs in targets {
            self.take_runs(runs);
        }
    }

    /// The promises that were broken.
    pub fn violations(&self) -> Vec<String> {
        let sent = self.sent.lock();
        let by_attempt: HashMap<&str, &Sent> = sent
            .iter()
            .map(|sent| (sent.attempt.as_str(), sent))
            .collect();
        let runs = self.runs.lock();
        let mut counts: HashMap<&str, u32> = HashMap::new();
        let mut found = self.violations.lock().clone();
        for run in runs.iter().filter(|run| run.attempt != OWN_ATTEMPT) {
            *counts.entry(&run.attempt).or_default() += 1;
            match by_attempt.get(run.attempt.as_str()) {
                None => found.push(format!("{run:?} was sent by nobody")),
                Some(sent) if sent.path != run.path => {
                    found.push(format!("{run:?} changes {sent:?}"));
                }
                Some(_) => {}
            }
        }
        for sent in sent.iter() {
            let count = counts.get(sent.attempt.as_str()).copied().unwrap_or(0);
            found.extend(
                self.broken_by(sent, count)
                    .map(|what| format!("{what}: {sent:?}")),
            );
        }
        found
    }

    fn broken_by(&self, sent: &Sent, runs: u32) -> Option<&'static str> {
        if sent.is_once && runs > 1 {
            return Some("ran more than once");
        }
        match sent.heard {
            Heard::Status(status) if PROMISES.contains(&status) && sent.is_once && runs > 0 => {
                Some("ran after the promise that it had not")
            }
            Heard::Status(200) if runs == 0 => Some("was answered, but never ran"),
            Heard::Status(status)
                if (300..500).contains(&status) && !PROMISES.contains(&status) =>
            {
                Some("was denied")
            }
            Heard::Cut if runs > 0 && !self.was_killed(sent) => {
                Some("was cut off at a gateway that was not killed")
            }
            Heard::Status(_) | Heard::Cut | Heard::Nothing => None,
        }
    }

    fn was_killed(&self, sent: &Sent) -> bool {
        self.steps_between(sent.began, sent.ended, |step| {
            step.role == Role::Gateway && step.number == sent.gateway && step.action == Action::Kill
        })
    }

    /// Counts of the seed.
    pub fn summary(&self) -> String {
        let sent = self.sent.lock();
        let answered = sent
            .iter()
            .filter(|sent| sent.heard == Heard::Status(200))
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

/// The version of a document, 0 if it has none.
pub fn version_of(body: &[u8]) -> u32 {
    let text = String::from_utf8_lossy(body);
    let digits = text
        .split_once(r#""version":""#)
        .and_then(|(_, rest)| rest.get(..8));
    digits
        .and_then(|digits| u32::from_str_radix(digits, 16).ok())
        .unwrap_or(0)
}
