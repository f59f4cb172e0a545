//! Choice and ejection of targets on an entry: the measured policy and two baselines.

use auburnbridge_policy::{
    Action, Decision, EjectionPolicy, EvidenceReport, Fleet, Member, Observation, RequestClass,
    TargetKey,
};
use auburnbridge_types::{DataCentre, Millis, Slots, TargetId, Timestamp, VmId};
use rand_chacha::ChaCha8Rng;

/// Consecutive failures at which the second baseline ejects a target.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Time for which the second baseline ejects a target.
const BASELINE_EJECTION: Millis = Millis(30_000);

/// Algorithm that the entries use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    /// This crate's policy.
    Fleet,
    /// Round robin without ejection.
    RoundRobin,
    /// Round robin with ejection after consecutive failures.
    ConsecutiveFailures,
}

/// Chooses and ejects targets for one entry.
pub enum Selector {
    /// This crate's policy.
    Fleet(Box<Fleet>),
    /// A baseline.
    Baseline(Baseline),
}

/// Round robin, with or without ejection.
pub struct Baseline {
    next: usize,
    ejects: bool,
    slots: u32,
    targets: Vec<BaselineTarget>,
}

#[derive(Clone, Copy, Default)]
struct BaselineTarget {
    failures: u32,
    ejected_until: Timestamp,
}

/// Ejection of a target by an entry.
pub struct Ejection {
    /// Index of the target.
    pub target: usize,
}

impl Selector {
    /// Creates the state of an entry with the given members.
    pub fn new(
        algorithm: Algorithm,
        policy: &EjectionPolicy,
        data_centre: DataCentre,
        now: Timestamp,
        members: &[Member],
    ) -> Self {
        match algorithm {
            Algorithm::Fleet => {
                let mut fleet = Fleet::new(policy.clone()).with_data_centre(data_centre);
                fleet.reconcile(now, members);
                Self::Fleet(Box::new(fleet))
            }
            Algorithm::RoundRobin | Algorithm::ConsecutiveFailures => Self::Baseline(Baseline {
                next: 0,
                ejects: algorithm == Algorithm::ConsecutiveFailures,
                slots: members[0].slots.0,
                targets: vec![BaselineTarget::default(); members.len()],
            }),
        }
    }

    /// Chooses a target; returns its index and key.
    pub fn choose(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        rng: &mut ChaCha8Rng,
    ) -> Option<(usize, TargetKey)> {
        match self {
            Self::Fleet(fleet) => {
                let choice = fleet.choose(now, class, &[], rng)?;
                Some((index_of(&choice.target), choice.key))
            }
            Self::Baseline(baseline) => {
                let target = baseline.choose(now)?;
                Some((target, TargetKey::default()))
            }
        }
    }

    /// Ends a request; returns the ejections that result.
    pub fn finish(
        &mut self,
        now: Timestamp,
        target: usize,
        key: TargetKey,
        observation: Observation,
    ) -> Vec<Ejection> {
        match self {
            Self::Fleet(fleet) => ejections(&fleet.finish(now, key, observation)),
            Self::Baseline(baseline) => baseline.finish(now, target, observation),
        }
    }

    /// Makes the time-dependent decisions; returns the ejections that result.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Ejection> {
        match self {
            Self::Fleet(fleet) => ejections(&fleet.tick(now)),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Returns the reports that are due for the other entries.
    pub fn due_reports(&mut self, now: Timestamp) -> Vec<EvidenceReport> {
        match self {
            Self::Fleet(fleet) => fleet.due_reports(now),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Merges the reports of another entry; returns the ejections that result.
    pub fn merge_evidence(
        &mut self,
        now: Timestamp,
        from: &VmId,
        reports: &[EvidenceReport],
    ) -> Vec<Ejection> {
        match self {
            Self::Fleet(fleet) => ejections(&fleet.merge_evidence(now, from, reports)),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Updates the targets to the current members.
    pub fn reconcile(&mut self, now: Timestamp, members: &[Member]) {
        if let Self::Fleet(fleet) = self {
            fleet.reconcile(now, members);
        }
    }

    /// Total slots of the targets in use.
    pub fn slots_in_use(&self, now: Timestamp) -> Slots {
        match self {
            Self::Fleet(fleet) => fleet.slots_in_use(),
            Self::Baseline(baseline) => {
                let targets = baseline.targets.iter();
                Slots(targets.filter(|t| t.ejected_until <= now).count() as u32 * baseline.slots)
            }
        }
    }
}

impl Baseline {
    fn choose(&mut self, now: Timestamp) -> Option<usize> {
        let count = self.targets.len();
        let target = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|target| self.targets[*target].ejected_until <= now)?;
        self.next = target + 1;
        Some(target)
    }

    fn finish(&mut self, now: Timestamp, target: usize, observation: Observation) -> Vec<Ejection> {
        let state = &mut self.targets[target];
        match observation {
            Observation::Answered(_) => state.failures = 0,
            Observation::Shed | Observation::NotAttributable => {}
            _ => state.failures += 1,
        }
        let due = state.failures >= CONSECUTIVE_FAILURES && state.ejected_until <= now;
        if !self.ejects || !due {
            return Vec::new();
        }
        state.failures = 0;
        state.ejected_until = now.after(BASELINE_EJECTION);
        vec![Ejection { target }]
    }
}

/// Name of the target with this index.
pub fn target_id(index: usize) -> TargetId {
    format!("t{index}").parse().expect("the name is valid")
}

fn index_of(target: &TargetId) -> usize {
    let name = target.as_str();
    name[1..].parse().expect("target names end in their index")
}

fn ejections(decisions: &[Decision]) -> Vec<Ejection> {
    decisions
        .iter()
        .filter(|decision| decision.action == Action::Eject)
        .map(|decision| Ejection {
            target: index_of(&decision.target),
        })
        .collect()
}
