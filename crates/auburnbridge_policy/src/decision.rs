//! State changes of targets, with the values that caused them.

use std::fmt;

use auburnbridge_types::{Slots, TargetId};
use strum::{Display, IntoStaticStr};

/// State change of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// The target was added.
    Add,
    /// The target was ejected and gets no requests.
    Eject,
    /// The floor prevented an ejection that was due.
    Keep,
    /// An ejected target gets single requests again.
    Trial,
    /// The target gets its full share of requests again.
    Reinstate,
    /// The target left or its record expired.
    Remove,
}

/// Cause of a state change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The target announced itself.
    Announced,
    /// The target announced its departure, or its record expired.
    Departed,
    /// This entry's evidence from requests exceeded the threshold.
    Suspicion,
    /// The combined evidence of several entries exceeded the threshold.
    SharedSuspicion,
    /// The lease expired and no request has succeeded since.
    LeaseLost,
    /// The ejection time elapsed.
    EjectionOver,
    /// Enough trial requests succeeded.
    TrialPassed,
    /// A trial request failed.
    TrialFailed,
    /// Otherwise the slots in use would fall below the floor.
    Floor,
    /// The target restarted, which invalidates older evidence.
    Restarted,
}

/// A state change of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The affected target.
    pub target: TargetId,
    /// The state change.
    pub action: Action,
    /// The cause.
    pub reason: Reason,
    /// Evidence against the target, in nats.
    pub suspicion: f64,
    /// Evidence at which the target is ejected, in nats.
    pub threshold: f64,
    /// Slots in use after the change.
    pub in_use: Slots,
    /// Minimum slots in use, as configured.
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
