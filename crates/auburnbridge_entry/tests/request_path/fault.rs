//! Steps of the request path and faults that can occur at them.

use strum::{Display, EnumIter};

/// Step of the request path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    Accept,
    ReadRequest,
    RuleLookup,
    AccountLimit,
    LedgerGrant,
    ChooseTarget,
    Connect,
    Write,
    Wait,
    ReadAnswer,
    StoreAnswer,
    Reply,
    Stop,
}

impl Step {
    /// Whether a target is involved in the step.
    pub fn has_target(self) -> bool {
        matches!(
            self,
            Self::Connect | Self::Write | Self::Wait | Self::ReadAnswer
        )
    }
}

/// Fault at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The entry's process is killed; the caller resends through the other entry.
    Killed,
    /// The entry is suspended until after the deadline; the caller resends meanwhile.
    Frozen,
    /// The ledger applies the command, but its reply is lost.
    LedgerReplyLost,
    /// The ledger has no quorum for this command and all later ones.
    NoQuorumBefore,
    /// The ledger applies the command but sends no reply, and has no quorum for all later ones.
    NoQuorumAfter,
    /// One-way network partition: messages arrive, but no replies return.
    CutOneWay,
    /// At a ledger step, the command arrives after the caller's resend; at other steps, the clock
    /// advances by more than half of the timeout.
    Slow,
    /// The target closes the connection in the middle of its answer.
    HalfAnswer,
    /// The target has no free slot.
    Shed,
    /// The target's process crashes.
    TargetCrashes,
    /// Every target announces that it leaves, and a new one arrives.
    TargetLeaves,
    /// The caller closes its connection and resends through the other entry.
    CallerDisconnects,
    /// The caller resends through the other entry without waiting.
    ResendAtOnce,
}

impl Fault {
    /// Whether the scenario injects the fault, rather than the fake that reached the step.
    pub fn is_external(self) -> bool {
        matches!(
            self,
            Self::Killed
                | Self::Frozen
                | Self::Slow
                | Self::TargetLeaves
                | Self::CallerDisconnects
                | Self::ResendAtOnce
        )
    }
}

/// Reason why a fault is not run at a step: it cannot occur there, or it has the same effect as
/// another combination. `None` if it is run.
pub fn reason_not_run(step: Step, fault: Fault) -> Option<&'static str> {
    match step {
        Step::ReadRequest => return Some("auburnbridge_caller hands over whole requests only"),
        Step::RuleLookup | Step::AccountLimit => {
            return Some("no await: the same as the fault at accept or at the next step");
        }
        Step::Stop => return Some("auburnbridge_caller counts requests in flight and ends them"),
        _ => {}
    }
    let sends_command = matches!(step, Step::LedgerGrant | Step::StoreAnswer);
    match fault {
        Fault::LedgerReplyLost | Fault::NoQuorumBefore | Fault::NoQuorumAfter => {
            (!sends_command).then_some("the step sends no ledger command")
        }
        Fault::CutOneWay => match step {
            Step::LedgerGrant | Step::StoreAnswer => Some("the same as the loss of the reply"),
            Step::ChooseTarget => Some("nothing is sent at this step"),
            Step::Accept => Some("the same as a cut at the reply"),
            _ => None,
        },
        Fault::Slow => (step == Step::Reply).then_some("the same as a frozen entry at the reply"),
        Fault::HalfAnswer => (!matches!(step, Step::Wait | Step::ReadAnswer))
            .then_some("the target's answer has not begun or is whole"),
        Fault::Shed => (step != Step::Write).then_some("a target sheds when it gets the request"),
        Fault::TargetCrashes => (!step.has_target()).then_some("no target holds the request"),
        Fault::TargetLeaves => {
            (step == Step::Reply).then_some("the target has no further part in the request")
        }
        Fault::Killed | Fault::Frozen | Fault::CallerDisconnects | Fault::ResendAtOnce => None,
    }
}
