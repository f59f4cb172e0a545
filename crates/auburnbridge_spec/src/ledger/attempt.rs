//! One attempt of an entry, and its exchange with a target.

use super::keepers::{CommandKind, CommandSet};
use super::{Fault, Specification};

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Word {
    Answer,
    NotRun,
    /// Also stands for no word at all, which leaves the caller in the same state.
    Unknown,
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The caller has not sent the request.
    #[default]
    Idle,
    /// The entry has the request.
    Received,
    /// The entry asks for a grant.
    Asking,
    /// The attempt holds the grant.
    Held,
    /// The entry found the deadline to lie ahead.
    Checked,
    /// The entry wrote the request to a target.
    Written,
    /// The entry gave the caller a word.
    Finished,
    /// The entry crashed.
    Dead,
}

/// Reply of the ledger to a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum GrantReply {
    Granted,
    Answered,
    /// In progress or unknown.
    Blocked,
    /// The attempt withdrew, is fenced off by a later one, or missed its deadline.
    NotHolder,
}

/// Replies that are on their way.
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

/// The request at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Exchange {
    #[default]
    None,
    /// On its way to a target; the targets are interchangeable, so which one makes no difference.
    InFlight,
    Ran,
    Shed,
}

/// One attempt, with the messages that it sent and those that are on their way to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) phase: Phase,
    pub(super) sent: CommandSet,
    pub(super) replies: GrantReplies,
    /// Whether the deadline has passed, in log time.
    pub(super) expired: bool,
    exchange: Exchange,
}

type Step = (Attempt, Option<Word>);

impl Attempt {
    /// Whether the attempt may still write the request or learn its outcome.
    pub(super) fn is_live(self) -> bool {
        match self.phase {
            Phase::Received | Phase::Asking | Phase::Held | Phase::Checked | Phase::Written => true,
            Phase::Idle | Phase::Finished | Phase::Dead => false,
        }
    }

    pub(super) fn crash(&mut self) {
        if self.is_live() {
            self.enter(Phase::Dead);
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.forget_ineffective();
    }

    /// Drops what can have no effect any more, which merges equivalent states: replies outside of
    /// `Asking`, and the outcome at the target once the entry does not wait for it.
    pub(super) fn forget_ineffective(&mut self) {
        if self.phase != Phase::Asking {
            self.replies = GrantReplies::default();
        }
        if !self.is_live() && self.exchange != Exchange::InFlight {
            self.exchange = Exchange::None;
        }
    }

    fn at(self, phase: Phase) -> Self {
        let mut moved = self;
        moved.enter(phase);
        moved
    }

    fn finish(self, command: Option<CommandKind>, word: Word) -> Step {
        let mut finished = self.at(Phase::Finished);
        if let Some(command) = command {
            finished.sent.insert(command);
        }
        (finished, Some(word))
    }

    /// The steps that the entry can take.
    pub(super) fn entry_steps(self, specification: &Specification, number: usize) -> Vec<Step> {
        let withdraw = Some(CommandKind::Withdraw);
        match self.phase {
            Phase::Idle | Phase::Finished | Phase::Dead => Vec::new(),
            Phase::Received => {
                let mut asking = self.at(Phase::Asking);
                asking.sent.insert(CommandKind::Grant);
                let resend_word = if specification.has(Fault::RefusedResendNotRun) {
                    Word::NotRun
                } else {
                    word_without_grant(number)
                };
                vec![(asking, None), self.finish(None, resend_word)]
            }
            Phase::Asking => {
                let replies = self.replies.iter();
                let mut steps: Vec<Step> = replies
                    .map(|reply| self.take_reply(number, reply))
                    .collect();
                steps.push(self.finish(withdraw, word_without_grant(number)));
                steps
            }
            Phase::Held => {
                let mut steps = vec![self.finish(withdraw, Word::NotRun)];
                if !self.expired {
                    steps.push((self.at(Phase::Checked), None));
                }
                steps
            }
            Phase::Checked => vec![self.write()],
            Phase::Written => self.exchange_steps(specification),
        }
    }

    fn take_reply(self, number: usize, reply: GrantReply) -> Step {
        match reply {
            GrantReply::Granted => (self.at(Phase::Held), None),
            GrantReply::Answered => self.finish(None, Word::Answer),
            GrantReply::Blocked => self.finish(None, Word::Unknown),
            GrantReply::NotHolder => self.finish(None, word_without_grant(number)),
        }
    }

    fn write(self) -> Step {
        let mut written = self.at(Phase::Written);
        written.exchange = Exchange::InFlight;
        (written, None)
    }

    fn exchange_steps(self, specification: &Specification) -> Vec<Step> {
        let dead_connection = if specification.has(Fault::DeadConnectionNotRun) {
            self.finish(Some(CommandKind::Withdraw), Word::NotRun)
        } else {
            self.finish(Some(CommandKind::Abandon), Word::Unknown)
        };
        let mut steps = vec![dead_connection];
        match self.exchange {
            Exchange::None | Exchange::InFlight => {}
            Exchange::Ran => {
                steps.push(self.finish(Some(CommandKind::Conclude), Word::Answer));
            }
            Exchange::Shed => {
                steps.push(self.finish(Some(CommandKind::Withdraw), Word::NotRun));
            }
        }
        steps
    }

    /// The attempt after its target ran the request, and after it shed the request.
    pub(super) fn target_steps(self) -> Option<[Self; 2]> {
        let Exchange::InFlight = self.exchange else {
            return None;
        };
        let after = |exchange| {
            let mut attempt = Self { exchange, ..self };
            attempt.forget_ineffective();
            attempt
        };
        Some([after(Exchange::Ran), after(Exchange::Shed)])
    }
}

/// The word of an attempt that never held the grant: an earlier send may have run.
fn word_without_grant(number: usize) -> Word {
    if number == 0 {
        Word::NotRun
    } else {
        Word::Unknown
    }
}
