//! Model of one attempt by an entry and its exchange with a target.

use super::keepers::{CommandKind, CommandSet};
use super::{Fault, Specification};

/// Outcome of a send as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Outcome {
    Answer,
    NotRun,
    /// Also represents a missing reply, which leaves the caller equally uninformed.
    Unknown,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The caller has not sent the request yet.
    #[default]
    Idle,
    /// The entry has received the request.
    Received,
    /// The entry waits for a grant from the ledger.
    AwaitingGrant,
    /// The attempt holds the grant.
    Held,
    /// The entry has checked that the deadline has not passed.
    DeadlineChecked,
    /// The entry has written the request to a target.
    Written,
    /// The entry has replied to the caller.
    Finished,
    /// The entry has crashed.
    Crashed,
}

/// Reply of the ledger to a grant request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum GrantReply {
    Granted,
    Answered,
    /// The request is in progress, or its outcome is unknown.
    Blocked,
    /// The attempt withdrew, is fenced off by a later attempt, or missed its deadline.
    NotHolder,
}

/// Set of grant replies in transit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantReplies(u8);

impl GrantReplies {
    const ALL: [GrantReply; 4] = [
        GrantReply::Granted,
        GrantReply::Answered,
        GrantReply::Blocked,
        GrantReply::NotHolder,
    ];

    pub(super) fn insert(&mut self, reply: GrantReply) {
        self.0 |= 1 << reply as u8;
    }

    fn iter(self) -> impl Iterator<Item = GrantReply> {
        Self::ALL
            .into_iter()
            .filter(move |reply| self.0 & (1 << *reply as u8) != 0)
    }
}

/// State of the request at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Exchange {
    #[default]
    None,
    /// In transit to a target; targets are interchangeable, so the model does not record which.
    InFlight,
    Ran,
    Shed,
}

/// One attempt, with the messages that it sent and those in transit to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) phase: Phase,
    pub(super) sent: CommandSet,
    pub(super) replies: GrantReplies,
    /// Whether the deadline has passed in log time.
    pub(super) expired: bool,
    exchange: Exchange,
}

type Step = (Attempt, Option<Outcome>);

impl Attempt {
    /// Whether the attempt may still write the request or learn its outcome.
    pub(super) fn is_live(self) -> bool {
        match self.phase {
            Phase::Received
            | Phase::AwaitingGrant
            | Phase::Held
            | Phase::DeadlineChecked
            | Phase::Written => true,
            Phase::Idle | Phase::Finished | Phase::Crashed => false,
        }
    }

    pub(super) fn crash(&mut self) {
        if self.is_live() {
            self.set_phase(Phase::Crashed);
        }
    }

    fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.normalize();
    }

    /// Merges equivalent states by discarding what can no longer have an effect: replies outside of
    /// `AwaitingGrant`, and the target's outcome once the entry no longer waits for it.
    pub(super) fn normalize(&mut self) {
        if self.phase != Phase::AwaitingGrant {
            self.replies = GrantReplies::default();
        }
        if !self.is_live() && self.exchange != Exchange::InFlight {
            self.exchange = Exchange::None;
        }
    }

    fn with_phase(self, phase: Phase) -> Self {
        let mut attempt = self;
        attempt.set_phase(phase);
        attempt
    }

    fn finish(self, command: Option<CommandKind>, outcome: Outcome) -> Step {
        let mut finished = self.with_phase(Phase::Finished);
        if let Some(command) = command {
            finished.sent.insert(command);
        }
        (finished, Some(outcome))
    }

    /// Returns the steps that the entry can take.
    pub(super) fn entry_steps(self, specification: &Specification, number: usize) -> Vec<Step> {
        let withdraw = Some(CommandKind::Withdraw);
        match self.phase {
            Phase::Idle | Phase::Finished | Phase::Crashed => Vec::new(),
            Phase::Received => {
                let mut awaiting = self.with_phase(Phase::AwaitingGrant);
                awaiting.sent.insert(CommandKind::Grant);
                let refusal_outcome = if specification.has(Fault::UnaskedResendNotRun) {
                    Outcome::NotRun
                } else {
                    outcome_without_grant(number)
                };
                vec![(awaiting, None), self.finish(None, refusal_outcome)]
            }
            Phase::AwaitingGrant => {
                let replies = self.replies.iter();
                let mut steps: Vec<Step> = replies
                    .map(|reply| self.handle_reply(number, reply))
                    .collect();
                steps.push(self.finish(withdraw, outcome_without_grant(number)));
                steps
            }
            Phase::Held => {
                let mut steps = vec![self.finish(withdraw, Outcome::NotRun)];
                if !self.expired {
                    steps.push((self.with_phase(Phase::DeadlineChecked), None));
                }
                steps
            }
            Phase::DeadlineChecked => vec![self.write()],
            Phase::Written => self.exchange_steps(specification),
        }
    }

    fn handle_reply(self, number: usize, reply: GrantReply) -> Step {
        match reply {
            GrantReply::Granted => (self.with_phase(Phase::Held), None),
            GrantReply::Answered => self.finish(None, Outcome::Answer),
            GrantReply::Blocked => self.finish(None, Outcome::Unknown),
            GrantReply::NotHolder => self.finish(None, outcome_without_grant(number)),
        }
    }

    fn write(self) -> Step {
        let mut written = self.with_phase(Phase::Written);
        written.exchange = Exchange::InFlight;
        (written, None)
    }

    fn exchange_steps(self, specification: &Specification) -> Vec<Step> {
        let lost_connection = if specification.has(Fault::LostConnectionNotRun) {
            self.finish(Some(CommandKind::Withdraw), Outcome::NotRun)
        } else {
            self.finish(Some(CommandKind::Abandon), Outcome::Unknown)
        };
        let mut steps = vec![lost_connection];
        match self.exchange {
            Exchange::None | Exchange::InFlight => {}
            Exchange::Ran => {
                steps.push(self.finish(Some(CommandKind::Conclude), Outcome::Answer));
            }
            Exchange::Shed => {
                steps.push(self.finish(Some(CommandKind::Withdraw), Outcome::NotRun));
            }
        }
        steps
    }

    /// Returns the attempt after its target ran the request and after it shed the request.
    pub(super) fn target_steps(self) -> Option<[Self; 2]> {
        let Exchange::InFlight = self.exchange else {
            return None;
        };
        let after = |exchange| {
            let mut attempt = Self { exchange, ..self };
            attempt.normalize();
            attempt
        };
        Some([after(Exchange::Ran), after(Exchange::Shed)])
    }
}

/// Outcome for an attempt that never held the grant. For a resend it is unknown, because an earlier
/// send may have run.
fn outcome_without_grant(number: usize) -> Outcome {
    if number == 0 {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}
