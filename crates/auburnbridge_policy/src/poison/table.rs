//! The crashes that one process knows of, by request.

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};

use auburnbridge_types::{Incarnation, Millis, RequestDigest, RunId, TargetId, Timestamp};
use serde::{Deserialize, Serialize};

/// Crashes in a row after which a request is refused, if no other target crashes.
pub const CRASHES_ALONE: u32 = 5;
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
const TRIAL_TARGETS: usize = 2;
/// Number of crashed targets after which further runs may be late.
const CRASHES_BEFORE_LATE: usize = 3;
/// Time after [`CRASHES_BEFORE_LATE`] crashes after which a run is late.
pub const LATE_AFTER: Millis = Millis(1_000);
/// Time in which a crash becomes known at all processes that run.
const MESSAGE_TIME: Millis = Millis(100);
/// Time before the last crash of a request in which crashes of other targets count.
const OTHERS_BEFORE: Millis = Millis(10_000);
/// Time after the last crash of a request in which crashes of other targets count.
const OTHERS_AFTER: Millis = Millis(1_000);
/// Maximum number of requests in the table.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of crashed targets kept for each request.
const MAX_INSTANCES: usize = 32;
/// Maximum number of late runs kept for each request.
const MAX_LATE_RUNS: usize = 8;
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
    /// Crashes of late runs among them.
    pub late_crashes: u32,
    /// Whether the run is late: sent later than [`LATE_AFTER`] after the third crash.
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
    /// The run, which tells a further run on the same target from a repeated report.
    pub run: RunId,
    /// What the sender of the report knew of the request when it sent it to the target.
    pub history: RunHistory,
    /// Time from then until the report is sent.
    pub run_time: Millis,
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
    /// What the sender knows of a request that it refuses, for a gateway that sent it to a target since it
    /// knows less.
    Known {
        /// The request.
        request: RequestDigest,
        /// Value of [`RunHistory::answers`].
        answers: u32,
        /// Crashes in a row.
        crashes: u32,
        /// Crashes of late runs.
        late_crashes: u32,
    },
    /// The sender is about to run a request that is on trial.
    Trial {
        /// The request.
        request: RequestDigest,
        /// The run for which it claims the trial.
        run: RunId,
    },
}

impl CrashReport {
    /// Time at which the run was sent, if the report arrives now.
    pub fn sent_at(&self, now: Timestamp) -> Timestamp {
        Timestamp(now.0.saturating_sub(self.run_time.0))
    }
}

impl SuspectReport {
    /// The report as it is sent again after some time.
    #[must_use]
    pub fn after(mut self, time: Millis) -> Self {
        if let Self::Crashed(crash) = &mut self {
            crash.run_time.0 = crash.run_time.0.saturating_add(time.0);
        }
        self
    }
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
    /// Time at which `crashes` became what it is.
    in_a_row_since: Timestamp,
    third_crash: Option<Timestamp>,
    /// Late runs that crashed their targets, as far as their reports have arrived.
    late_runs: Vec<RunId>,
    /// Number of late crashes that another process knows of.
    late_crashes_elsewhere: u32,
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
            late_crashes: suspect.late_crashes(),
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
            SuspectReport::Known {
                request,
                answers,
                crashes,
                late_crashes,
            } => {
                let suspect = self.suspect(now, *request);
                *answers >= suspect.answers && suspect.merge(now, *answers, *crashes, *late_crashes)
            }
            SuspectReport::Trial { .. } => false,
        }
    }

    /// What a process that ran a refused request has to know, if its report of the crash shows that it
    /// doesn't.
    pub fn correction(&self, now: Timestamp, crash: &CrashReport) -> Option<SuspectReport> {
        let suspect = self.requests.get(&crash.request)?;
        let is_behind = crash.history.crashes.saturating_add(1) < suspect.crashes;
        let is_refused = matches!(self.verdict(now, &crash.request), Verdict::Poisoned(_));
        (is_behind && is_refused).then_some(SuspectReport::Known {
            request: crash.request,
            answers: suspect.answers,
            crashes: suspect.crashes,
            late_crashes: suspect.late_crashes(),
        })
    }

    fn record_crash(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        let instance = (report.target.clone(), report.incarnation);
        self.record_recent(now, &instance);
        let suspect = self.suspect(now, report.request);
        match report.history.answers.cmp(&suspect.answers) {
            // The request was answered after this run had been sent.
            Ordering::Less => return false,
            Ordering::Equal => {}
            Ordering::Greater => suspect.refute(report.history.answers),
        }
        let history = suspect.history_at(report.sent_at(now), report.history);
        if history.is_late {
            suspect.add_late_run(report.run, history.late_crashes);
        }
        suspect.add(now, instance, history.crashes)
    }

    /// Records an answered run; returns the report for other processes if it refutes crashes.
    pub fn record_answer(&mut self, request: &RequestDigest) -> Option<SuspectReport> {
        let suspect = self.requests.get_mut(request)?;
        if suspect.crashes == 0 {
            return None;
        }
        let answers = suspect.answers.saturating_add(1);
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
        // A process that was told of crashes in a row doesn't know which targets crashed.
        let has_crashed_one = suspect.instances.len() < TRIAL_TARGETS && suspect.crashes < 2;
        if age >= MEMORY_TIME || has_crashed_one {
            return Verdict::Sound;
        }
        let crashes = suspect.crashes;
        let has_many = crashes >= CRASHES_AMID_OTHERS
            || (crashes >= CRASHES_ALONE && !self.did_others_crash(suspect));
        let is_poisoned = suspect.late_crashes() >= LATE_CRASHES
            || (has_many && !self.has_companion(request, suspect));
        let refusal_time = if suspect.late_crashes() < EARLY_TRIALS {
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

    /// Whether a target that didn't run the request crashed about the time of its last crash.
    fn did_others_crash(&self, suspect: &Suspect) -> bool {
        let last = suspect.last_crash;
        self.recent.iter().any(|(at, instance)| {
            last.since(*at) < OTHERS_BEFORE
                && at.since(last) < OTHERS_AFTER
                && !suspect.instances.contains(instance)
        })
    }

    /// Whether another request ran on all targets that crashed under this one, so that either may have
    /// crashed them. One may be missing, since its report may still be on its way. Trials separate them.
    fn has_companion(&self, request: &RequestDigest, suspect: &Suspect) -> bool {
        let needed = suspect.instances.len().saturating_sub(1);
        let ran_on_all = |other: &Suspect| {
            other.instances.len() >= needed && suspect.count_shared(other) >= needed
        };
        self.requests
            .iter()
            .any(|(other_request, other)| other_request != request && ran_on_all(other))
    }

    /// The state of a request, which starts anew if its last crash is forgotten.
    fn suspect(&mut self, now: Timestamp, request: RequestDigest) -> &mut Suspect {
        if !self.requests.contains_key(&request) {
            self.make_room(now);
        }
        let suspect = self
            .requests
            .entry(request)
            .or_insert_with(|| Suspect::new(now));
        if now.since(suspect.last_crash) >= MEMORY_TIME {
            suspect.refute(suspect.answers);
        }
        suspect
    }

    fn record_recent(&mut self, now: Timestamp, instance: &Instance) {
        if self.recent.iter().any(|(_, known)| known == instance) {
            return;
        }
        if self.recent.len() >= MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, instance.clone()));
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
            in_a_row_since: now,
            third_crash: None,
            late_runs: Vec::new(),
            late_crashes_elsewhere: 0,
        }
    }

    /// Starts anew, after this number of answers.
    fn refute(&mut self, answers: u32) {
        *self = Self {
            answers,
            ..Self::new(self.last_crash)
        };
    }

    /// What was known of the request when a run of it was sent, to the sender of its report or to this
    /// process. The sender may know less if it has just started.
    fn history_at(&self, sent: Timestamp, known_to_sender: RunHistory) -> RunHistory {
        let is_known_here = sent.since(self.in_a_row_since) > MESSAGE_TIME;
        let crashes = if is_known_here { self.crashes } else { 0 };
        let late_after = LATE_AFTER.0 + MESSAGE_TIME.0;
        let is_late = self
            .third_crash
            .is_some_and(|third| sent.since(third).0 > late_after);
        RunHistory {
            answers: self.answers,
            crashes: known_to_sender.crashes.max(crashes),
            late_crashes: known_to_sender.late_crashes,
            is_late: known_to_sender.is_late || is_late,
        }
    }

    /// Takes over what another process knows, and returns whether it was not known.
    fn merge(&mut self, now: Timestamp, answers: u32, crashes: u32, late_crashes: u32) -> bool {
        if answers > self.answers {
            self.refute(answers);
        }
        let is_new = crashes > self.crashes || late_crashes > self.late_crashes();
        if is_new {
            self.set_crashes(now, crashes);
            self.late_crashes_elsewhere = self.late_crashes_elsewhere.max(late_crashes);
            self.last_crash = now;
            self.third_crash.get_or_insert(now);
        }
        is_new
    }

    fn set_crashes(&mut self, now: Timestamp, crashes: u32) {
        if crashes > self.crashes {
            self.crashes = crashes;
            self.in_a_row_since = now;
        }
    }

    /// Number of targets that crashed while they ran this request and `other`.
    fn count_shared(&self, other: &Self) -> usize {
        let is_shared = |instance: &&Instance| other.instances.contains(instance);
        self.instances.iter().filter(is_shared).count()
    }

    fn late_crashes(&self) -> u32 {
        let known = u32::try_from(self.late_runs.len()).unwrap_or(u32::MAX);
        known.max(self.late_crashes_elsewhere)
    }

    fn add_late_run(&mut self, run: RunId, late_crashes_before: u32) {
        let late_crashes = late_crashes_before.saturating_add(1);
        self.late_crashes_elsewhere = self.late_crashes_elsewhere.max(late_crashes);
        if self.late_runs.len() < MAX_LATE_RUNS && !self.late_runs.contains(&run) {
            self.late_runs.push(run);
        }
    }

    /// Adds a crash of a run that was sent after `crashes_before` ones, and returns whether it was not
    /// known.
    fn add(&mut self, now: Timestamp, instance: Instance, crashes_before: u32) -> bool {
        self.set_crashes(now, crashes_before.saturating_add(1));
        if self.instances.len() >= MAX_INSTANCES || self.instances.contains(&instance) {
            return false;
        }
        self.last_crash = now;
        self.instances.push(instance);
        if self.instances.len() >= CRASHES_BEFORE_LATE {
            self.third_crash.get_or_insert(now);
        }
        true
    }
}
