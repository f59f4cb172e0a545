//! The entry's decisions: the policy under measurement and two baselines.

use auburnbridge_policy::{
    Action, Decision, EvidenceReport, Fleet, Member, Observation, RequestClass, ServicePolicy,
    TargetKey,
};
use auburnbridge_types::{DataCentre, Millis, Slots, TargetId, Timestamp, VmId};
use rand_chacha::ChaCha8Rng;

/// Failures in a row at which the second baseline ejects.
const FAILURES_IN_A_ROW: u32 = 5;
/// Time for which the second baseline ejects.
const BASELINE_EJECTION: Millis = Millis(30_000);

/// Which decisions the entries make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// This crate's policy.
    Fleet,
    /// Round robin without ejection.
    RoundRobin,
    /// Round robin, and ejection after failures in a row.
    FailuresInARow,
}

/// One entry.
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

/// What an entry did to a target.
pub struct Ejection {
    /// The target.
    pub target: usize,
}

impl Selector {
    /// Creates an entry that knows the members.
    pub fn new(
        kind: Kind,
        policy: &ServicePolicy,
        data_centre: DataCentre,
        now: Timestamp,
        members: &[Member],
    ) -> Self {
        match kind {
            Kind::Fleet => {
                let mut fleet = Fleet::new(policy.clone()).with_data_centre(data_centre);
                fleet.reconcile(now, members);
                Self::Fleet(Box::new(fleet))
            }
            Kind::RoundRobin | Kind::FailuresInARow => Self::Baseline(Baseline {
                next: 0,
                ejects: kind == Kind::FailuresInARow,
                slots: members[0].slots.0,
                targets: vec![BaselineTarget::default(); members.len()],
            }),
        }
    }

    /// Chooses a target; gives its index and key.
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

    /// Ends a request; gives the ejections that follow from it.
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

    /// Makes the decisions that depend on time.
    pub fn decide(&mut self, now: Timestamp) -> Vec<Ejection> {
        match self {
            Self::Fleet(fleet) => ejections(&fleet.decide(now)),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Evidence for the other entries.
    pub fn evidence(&mut self, now: Timestamp) -> Vec<EvidenceReport> {
        match self {
            Self::Fleet(fleet) => fleet.evidence(now),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Takes over evidence of another entry.
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

    /// Takes over changed members.
    pub fn reconcile(&mut self, now: Timestamp, members: &[Member]) {
        if let Self::Fleet(fleet) = self {
            fleet.reconcile(now, members);
        }
    }

    /// Slots in use.
    pub fn in_use(&self, now: Timestamp) -> Slots {
        match self {
            Self::Fleet(fleet) => fleet.in_use(),
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
        let due = state.failures >= FAILURES_IN_A_ROW && state.ejected_until <= now;
        if !self.ejects || !due {
            return Vec::new();
        }
        state.failures = 0;
        state.ejected_until = now.after(BASELINE_EJECTION);
        vec![Ejection { target }]
    }
}

/// Name of the target with an index.
pub fn target_id(index: usize) -> TargetId {
    format!("t{index}").parse().expect("the name is valid")
}

fn index_of(target: &TargetId) -> usize {
    let name = target.as_str();
    name[1..].parse().expect("names end in the index")
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
