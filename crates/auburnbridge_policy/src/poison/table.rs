//! The crashes that one process knows of, by request.

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};

use auburnbridge_types::{Incarnation, Millis, RequestDigest, TargetId, Timestamp, TrialClaim};
use serde::{Deserialize, Serialize};

/// Crashes in a row after which a request is refused, if no other target crashes.
pub const CRASHES_ALONE: u32 = 4;
/// Crashes in a row after which a request is refused while other targets crash.
pub const CRASHES_AMID_OTHERS: u32 = 6;
/// Crashes of late runs (see [`RunHistory::is_late`]) after which a request is refused in any case.
pub const LATE_CRASHES: u32 = 3;
/// Time for which a request is refused after its last crash, before it gets one trial.
pub const REFUSAL_TIME: Millis = Millis(10 * 60 * 1000);
/// The same while less than [`EARLY_TRIALS`] late runs crashed, so that a sound request is served again.
pub const FIRST_REFUSAL_TIME: Millis = Millis(5_000);
/// Late crashes up to which [`FIRST_REFUSAL_TIME`] applies. One that [`LATE_CRASHES`] allows is left for
/// runs that start at the same time because messages between processes are lost.
const EARLY_TRIALS: u32 = LATE_CRASHES - 1;
/// Time after the last crash after which a request is forgotten.
const MEMORY_TIME: Millis = Millis(30 * 60 * 1000);
/// Number of crashed targets from which on a request is on trial.
const TRIAL_CRASHES: usize = 2;
/// Number of crashed targets after which further runs may be late.
const CRASHES_BEFORE_LATE: usize = 3;
/// Time after [`CRASHES_BEFORE_LATE`] crashes after which a run is late.
pub const LATE_AFTER: Millis = Millis(1_000);
/// Time for which a crash counts as one of other targets for the requests that it didn't run.
const OTHER_CRASH_TIME: Millis = Millis(10_000);
/// Maximum number of requests in the table.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of crashed targets kept for each request.
const MAX_INSTANCES: usize = 32;
/// Maximum number of recent crashes of all targets.
const MAX_RECENT: usize = 256;

/// What was known of a request when a run of it was sent to a target.
///
/// Crashes in a row are counted by it: a run that crashed its target adds one to the crashes known as it
/// was sent. Runs under way at the same time carry the same number, so that they add one together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHistory {
    /// Number of times that an answer refuted the crashes until then.
    pub answers: u32,
    /// Crashes in a row since then.
    pub crashes: u32,
    /// Whether the run was sent later than [`LATE_AFTER`] after the third crash.
    pub is_late: bool,
}

/// A crash of a target while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: RequestDigest,
    /// The target that crashed.
    pub target: TargetId,
    /// Incarnation of the target that crashed.
    pub incarnation: Incarnation,
    /// What was known of the request when it was sent to the target.
    pub history: RunHistory,
}

/// What processes tell each other about requests that crash targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectReport {
    /// A target crashed while it ran a request.
    Crashed(CrashReport),
    /// A request was answered, which refutes its crashes.
    Answered {
        /// The request.
        request: RequestDigest,
        /// Value of [`RunHistory::answers`] from now on.
        answers: u32,
    },
    /// The sender is about to run a request that is on trial.
    Trial {
        /// The request.
        request: RequestDigest,
        /// The claim, which competes with those of other gateways.
        claim: TrialClaim,
    },
}

/// What the crashes say about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// Nothing speaks against the request.
    Sound,
    /// It may be a poison request and must run on one target at a time.
    OnTrial,
    /// It is a poison request and is refused for this time.
    Poisoned(Millis),
}

type Instance = (TargetId, Incarnation);

#[derive(Clone, Debug)]
struct Suspect {
    /// Number of times that an answer refuted the crashes until then.
    answers: u32,
    /// Crashes in a row since then.
    crashes: u32,
    /// Targets that crashed since then.
    instances: Vec<Instance>,
    last_crash: Timestamp,
    third_crash: Option<Timestamp>,
    late_crashes: u32,
}

/// The crashes that one process knows of.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    requests: HashMap<RequestDigest, Suspect>,
    /// Recent crashes, whichever request ran, in order of time.
    recent: VecDeque<(Timestamp, Instance)>,
}

impl PoisonTable {
    /// What is known of a request now, to be kept with a run of it.
    pub fn history(&self, now: Timestamp, request: &RequestDigest) -> RunHistory {
        let Some(suspect) = self.requests.get(request) else {
            return RunHistory::default();
        };
        RunHistory {
            answers: suspect.answers,
            crashes: suspect.crashes,
            is_late: suspect
                .third_crash
                .is_some_and(|third| now.since(third) >= LATE_AFTER),
        }
    }

    /// Records a report of this or another process, and returns whether it told of a crash or an answer
    /// that was not known.
    pub fn record(&mut self, now: Timestamp, report: &SuspectReport) -> bool {
        match report {
            SuspectReport::Crashed(crash) => self.record_crash(now, crash),
            SuspectReport::Answered { request, answers } => self.record_answered(request, *answers),
            SuspectReport::Trial { .. } => false,
        }
    }

    fn record_crash(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        let instance = (report.target.clone(), report.incarnation);
        self.record_recent(now, &instance);
        if !self.requests.contains_key(&report.request) {
            self.make_room(now);
        }
        let suspect = self
            .requests
            .entry(report.request)
            .or_insert_with(|| Suspect::new(now));
        match report.history.answers.cmp(&suspect.answers) {
            // The request was answered after this run had been sent.
            Ordering::Less => return false,
            Ordering::Equal => {}
            Ordering::Greater => suspect.refute(report.history.answers),
        }
        suspect.add(now, instance, report.history)
    }

    /// Records an answered run; returns the report for other processes if it refutes crashes.
    pub fn record_answer(&mut self, request: &RequestDigest) -> Option<SuspectReport> {
        let suspect = self.requests.get_mut(request)?;
        if suspect.crashes == 0 {
            return None;
        }
        let answers = suspect.answers + 1;
        suspect.refute(answers);
        Some(SuspectReport::Answered {
            request: *request,
            answers,
        })
    }

    /// Records an answer that another process received.
    fn record_answered(&mut self, request: &RequestDigest, answers: u32) -> bool {
        let suspect = self.requests.get_mut(request);
        let Some(suspect) = suspect.filter(|suspect| answers > suspect.answers) else {
            return false;
        };
        suspect.refute(answers);
        true
    }

    /// What the crashes say about a request.
    pub fn verdict(&self, now: Timestamp, request: &RequestDigest) -> Verdict {
        let Some(suspect) = self.requests.get(request) else {
            return Verdict::Sound;
        };
        let age = now.since(suspect.last_crash);
        if age >= MEMORY_TIME || suspect.instances.len() < TRIAL_CRASHES {
            return Verdict::Sound;
        }
        let crashes = suspect.crashes;
        let is_poisoned = crashes >= CRASHES_AMID_OTHERS
            || suspect.late_crashes >= LATE_CRASHES
            || (crashes >= CRASHES_ALONE && !self.did_others_crash(now, suspect));
        let refusal_time = if suspect.late_crashes < EARLY_TRIALS {
            FIRST_REFUSAL_TIME
        } else {
            REFUSAL_TIME
        };
        if is_poisoned && age < refusal_time {
            return Verdict::Poisoned(Millis(refusal_time.0 - age.0));
        }
        Verdict::OnTrial
    }

    /// Number of requests in the table.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a target crashed lately that didn't run the request.
    fn did_others_crash(&self, now: Timestamp, suspect: &Suspect) -> bool {
        self.recent.iter().any(|(at, instance)| {
            now.since(*at) < OTHER_CRASH_TIME && !suspect.instances.contains(instance)
        })
    }

    fn record_recent(&mut self, now: Timestamp, instance: &Instance) {
        while let Some((at, _)) = self.recent.front()
            && (now.since(*at) >= OTHER_CRASH_TIME || self.recent.len() >= MAX_RECENT)
        {
            self.recent.pop_front();
        }
        if !self.recent.iter().any(|(_, known)| known == instance) {
            self.recent.push_back((now, instance.clone()));
        }
    }

    /// Drops forgotten requests if the table is full, or else the one with the fewest crashes in a row.
    /// A poison request is kept that way when many targets crash at once.
    fn make_room(&mut self, now: Timestamp) {
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        self.requests
            .retain(|_, suspect| now.since(suspect.last_crash) < MEMORY_TIME);
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let least = self
            .requests
            .iter()
            .min_by_key(|(_, suspect)| (suspect.crashes, suspect.last_crash))
            .map(|(request, _)| *request);
        if let Some(least) = least {
            self.requests.remove(&least);
        }
    }
}

impl Suspect {
    fn new(now: Timestamp) -> Self {
        Self {
            answers: 0,
            crashes: 0,
            instances: Vec::new(),
            last_crash: now,
            third_crash: None,
            late_crashes: 0,
        }
    }

    /// Starts anew after an answer.
    fn refute(&mut self, answers: u32) {
        *self = Self {
            answers,
            ..Self::new(self.last_crash)
        };
    }

    /// Adds a crash, and returns whether it was not known.
    fn add(&mut self, now: Timestamp, instance: Instance, history: RunHistory) -> bool {
        self.crashes = self.crashes.max(history.crashes.saturating_add(1));
        if self.instances.len() >= MAX_INSTANCES || self.instances.contains(&instance) {
            return false;
        }
        self.last_crash = now;
        self.instances.push(instance);
        self.late_crashes += u32::from(history.is_late);
        if self.instances.len() == CRASHES_BEFORE_LATE {
            self.third_crash = Some(now);
        }
        true
    }
}
