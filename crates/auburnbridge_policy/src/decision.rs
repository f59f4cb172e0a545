//! Changes of a target's state, with the figures that led to them.

use std::fmt;

use auburnbridge_types::{Slots, TargetId};
use strum::{Display, IntoStaticStr};

/// What happened to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// The target became known.
    Add,
    /// The target was taken out of service.
    Eject,
    /// An ejection was due, and the floor prevented it.
    Keep,
    /// An ejected target gets a little work again.
    Trial,
    /// The target is back in full service.
    Reinstate,
    /// The target left or was forgotten.
    Remove,
}

/// Why it happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The target announced itself.
    Announced,
    /// The target announced that it is leaving, or its record expired.
    Departed,
    /// Evidence from real work passed the threshold.
    Suspicion,
    /// Evidence of several entries together passed the threshold.
    SharedSuspicion,
    /// The lease ran out and no work succeeded since.
    LeaseLost,
    /// The ejection's time is over.
    EjectionOver,
    /// The trial succeeded.
    TrialPassed,
    /// The trial failed.
    TrialFailed,
    /// In-use slots would be below the floor.
    Floor,
    /// The target restarted, so older evidence is void.
    Restarted,
}

/// One change of state.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The target concerned.
    pub target: TargetId,
    /// What happened.
    pub action: Action,
    /// Why it happened.
    pub reason: Reason,
    /// Evidence against the target, in nats.
    pub suspicion: f64,
    /// Evidence at which a target is ejected, in nats.
    pub threshold: f64,
    /// Slots in use after the change.
    pub in_use: Slots,
    /// The operator's floor.
    pub floor: Slots,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "target={} action={} reason={} suspicion={:.2} threshold={:.2} in_use={} floor={}",
            self.target,
            self.action,
            self.reason,
            self.suspicion,
            self.threshold,
            self.in_use,
            self.floor
        )
    }
}
