//! The keepers: replication of the log and the ledger that follows from it.

use super::attempt::GrantReply;
use super::{Fault, MAX_SENDS, Specification};

const KEEPERS: usize = 3;
const QUORUM: usize = 2;

/// Each attempt changes the ledger at most twice.
const MAX_LOG: usize = 2 * MAX_SENDS;

/// What an attempt tells the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum CommandKind {
    Grant,
    Withdraw,
    Conclude,
    Abandon,
}

impl CommandKind {
    pub(super) const ALL: [Self; 4] = [Self::Grant, Self::Withdraw, Self::Conclude, Self::Abandon];
}

/// A message of an attempt to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Command {
    pub(super) kind: CommandKind,
    pub(super) attempt: u8,
}

/// The commands that one attempt has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct CommandSet(u8);

impl CommandSet {
    pub(super) fn insert(&mut self, kind: CommandKind) {
        self.0 |= 1 << kind as u8;
    }

    pub(super) fn contains(self, kind: CommandKind) -> bool {
        self.0 & (1 << kind as u8) != 0
    }
}

/// Who holds the key, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    Free,
    Held(u8),
    Answered,
    Abandoned,
}

/// The ledger's record of the key.
struct Record {
    holder: Holder,
    /// The last attempt that withdrew; sends are numbered in the order of the caller.
    highest_withdrawn: Option<u8>,
    withdrawn: [bool; MAX_SENDS],
}

/// What a command does to the record.
enum Effect {
    Change,
    Reply(GrantReply),
    None,
}

impl Record {
    fn replay(log: Log) -> Self {
        let mut record = Self {
            holder: Holder::Free,
            highest_withdrawn: None,
            withdrawn: [false; MAX_SENDS],
        };
        for command in log.commands() {
            let attempt = command.attempt;
            record.holder = match command.kind {
                CommandKind::Grant => Holder::Held(attempt),
                CommandKind::Conclude => Holder::Answered,
                CommandKind::Abandon => Holder::Abandoned,
                CommandKind::Withdraw => {
                    record.withdrawn[usize::from(attempt)] = true;
                    record.highest_withdrawn = record.highest_withdrawn.max(Some(attempt));
                    Holder::Free
                }
            };
        }
        record
    }

    fn effect(
        &self,
        specification: &Specification,
        command: Command,
        expired: [bool; MAX_SENDS],
    ) -> Effect {
        let attempt = command.attempt;
        match command.kind {
            CommandKind::Grant => self.grant(specification, attempt, expired),
            CommandKind::Withdraw => self.withdraw(specification, attempt, expired),
            CommandKind::Conclude | CommandKind::Abandon => {
                if self.holder == Holder::Held(attempt) {
                    Effect::Change
                } else {
                    Effect::None
                }
            }
        }
    }

    fn withdraw(
        &self,
        specification: &Specification,
        attempt: u8,
        expired: [bool; MAX_SENDS],
    ) -> Effect {
        let at = usize::from(attempt);
        let is_accepted = match self.holder {
            Holder::Held(holder) if holder == attempt => !expired[at],
            Holder::Held(_) => specification.has(Fault::ForeignWithdraw) && !self.withdrawn[at],
            Holder::Free | Holder::Answered | Holder::Abandoned => false,
        };
        if is_accepted {
            Effect::Change
        } else {
            Effect::None
        }
    }

    fn grant(
        &self,
        specification: &Specification,
        attempt: u8,
        expired: [bool; MAX_SENDS],
    ) -> Effect {
        let is_refused = self.refuses(specification, attempt) || expired[usize::from(attempt)];
        match self.holder {
            Holder::Answered => Effect::Reply(GrantReply::Answered),
            Holder::Held(holder) if expired[usize::from(holder)] => {
                let is_free = specification.has(Fault::FreedAfterDeadline)
                    && holder != attempt
                    && !is_refused;
                if is_free {
                    Effect::Change
                } else {
                    Effect::Reply(GrantReply::Blocked)
                }
            }
            Holder::Held(holder) if holder == attempt => Effect::Reply(GrantReply::Granted),
            Holder::Held(_) | Holder::Abandoned => Effect::Reply(GrantReply::Blocked),
            Holder::Free if is_refused => Effect::Reply(GrantReply::NotHolder),
            Holder::Free => Effect::Change,
        }
    }

    /// Whether the attempt, or one of a later send, withdrew.
    fn refuses(&self, specification: &Specification, attempt: u8) -> bool {
        if specification.has(Fault::EarlierSendGranted) {
            return self.withdrawn[usize::from(attempt)];
        }
        Some(attempt) <= self.highest_withdrawn
    }
}

/// The commands that changed the ledger, with four bits for each, the first in the lowest ones.
///
/// The compact form makes states cheap to hash, which is most of the work of the search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Log(u32);

impl Log {
    const BITS: u32 = 4;

    fn len(self) -> u32 {
        (u32::BITS - self.0.leading_zeros()).div_ceil(Self::BITS)
    }

    fn push(&mut self, command: Command) {
        let len = self.len();
        assert!(
            (len as usize) < MAX_LOG,
            "each attempt changes the ledger at most twice"
        );
        let code = 1 + (u32::from(command.attempt) << 2 | command.kind as u32);
        self.0 |= code << (Self::BITS * len);
    }

    fn commands(self) -> impl Iterator<Item = Command> {
        (0..self.len()).map(move |at| {
            let code = ((self.0 >> (Self::BITS * at)) & 0xf) - 1;
            let [.., attempt] = (code >> 2).to_be_bytes();
            Command {
                kind: CommandKind::ALL[(code & 0b11) as usize],
                attempt,
            }
        })
    }
}

/// A log and the view in which its keeper accepted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Accepted {
    view: u8,
    log: Log,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Keeper {
    is_leader: bool,
    /// Whether it counts towards a quorum.
    is_counted: bool,
    volatile: Accepted,
    durable: Accepted,
}

/// The keepers, sorted since their order makes no difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Group {
    keepers: [Keeper; KEEPERS],
}

impl Group {
    pub(super) fn new() -> Self {
        let follower = Keeper {
            is_leader: false,
            is_counted: true,
            volatile: Accepted::default(),
            durable: Accepted::default(),
        };
        let mut keepers = [follower; KEEPERS];
        keepers[0].is_leader = true;
        Self { keepers }.sorted()
    }

    fn sorted(mut self) -> Self {
        self.keepers.sort_unstable();
        self
    }

    fn with(&self, at: usize, keeper: Keeper) -> Self {
        let mut keepers = self.keepers;
        keepers[at] = keeper;
        Self { keepers }.sorted()
    }

    fn all_with(&self, accepted: Accepted) -> Self {
        let keepers = self.keepers.map(|keeper| Keeper {
            is_counted: true,
            volatile: accepted,
            durable: accepted,
            ..keeper
        });
        Self { keepers }.sorted()
    }

    fn leader(&self) -> Option<usize> {
        self.keepers.iter().position(|keeper| keeper.is_leader)
    }

    /// Whether a quorum has synced the leader's log, in the leader's view.
    fn is_committed(&self, specification: &Specification, leader: usize) -> bool {
        let accepted = self.keepers[leader].volatile;
        let has_it = |keeper: &&Keeper| {
            let confirmed = if specification.has(Fault::GrantBeforeSync) {
                keeper.volatile
            } else {
                keeper.durable
            };
            keeper.is_counted && confirmed == accepted
        };
        self.keepers.iter().filter(has_it).count() >= QUORUM
    }

    /// The leader takes a message: it appends a command that changes the ledger, and replies once
    /// that is committed, to this or to a repeated message.
    ///
    /// When no keeper can fail any more, the command commits at once, since nothing can tell the
    /// steps of its replication apart.
    pub(super) fn receive(
        &self,
        specification: &Specification,
        command: Command,
        expired: [bool; MAX_SENDS],
        is_reliable: bool,
    ) -> Option<(Self, Option<GrantReply>)> {
        let leader = self.leader()?;
        if !self.is_committed(specification, leader) {
            return None;
        }
        let mut keeper = self.keepers[leader];
        let record = Record::replay(keeper.volatile.log);
        match record.effect(specification, command, expired) {
            Effect::Change => {
                keeper.volatile.log.push(command);
                let group = if is_reliable {
                    self.all_with(keeper.volatile)
                } else {
                    self.with(leader, keeper)
                };
                Some((group, None))
            }
            Effect::Reply(reply) => Some((*self, Some(reply))),
            Effect::None => None,
        }
    }

    /// A keeper receives the leader's log, or syncs what it has.
    pub(super) fn replications(&self, specification: &Specification) -> Vec<Self> {
        let mut groups = Vec::new();
        for (at, keeper) in self.keepers.iter().enumerate() {
            if keeper.volatile != keeper.durable {
                let mut synced = *keeper;
                synced.durable = synced.volatile;
                groups.push(self.with(at, synced));
            }
            let Some(leader) = self.leader() else {
                continue;
            };
            let accepted = self.keepers[leader].volatile;
            if keeper.volatile != accepted {
                let mut received = *keeper;
                received.volatile = accepted;
                groups.push(self.with(at, received));
            }
            // A learner counts once it has synced all that is committed.
            if !keeper.is_counted
                && keeper.durable == accepted
                && self.is_committed(specification, leader)
            {
                let mut counted = *keeper;
                counted.is_counted = true;
                groups.push(self.with(at, counted));
            }
        }
        groups
    }

    /// A candidate wins with the vote of one other keeper, takes over the newer of the two synced
    /// logs, and accepts it in a new view.
    pub(super) fn elections(&self) -> Vec<Self> {
        let views = self.keepers.iter().map(|keeper| keeper.volatile.view);
        let view = views.max().unwrap_or(0) + 1;
        let mut groups = Vec::new();
        for candidate in 0..KEEPERS {
            for voter in (0..KEEPERS).filter(|voter| *voter != candidate) {
                let mut keepers = self.keepers;
                if !keepers[candidate].is_counted || !keepers[voter].is_counted {
                    continue;
                }
                for keeper in &mut keepers {
                    keeper.is_leader = false;
                }
                keepers[voter].durable = keepers[voter].volatile;
                let newer = newer(keepers[candidate].volatile, keepers[voter].durable);
                let accepted = Accepted {
                    view,
                    log: newer.log,
                };
                keepers[candidate] = Keeper {
                    is_leader: true,
                    is_counted: true,
                    volatile: accepted,
                    durable: accepted,
                };
                groups.push(Self { keepers }.sorted());
            }
        }
        groups
    }

    /// A keeper crashes and restarts with what it had synced.
    pub(super) fn crashes(&self) -> Vec<Self> {
        let crash = |at: usize| {
            let mut keeper = self.keepers[at];
            keeper.volatile = keeper.durable;
            keeper.is_leader = false;
            self.with(at, keeper)
        };
        (0..KEEPERS).map(crash).collect()
    }

    /// A keeper restarts with an empty disk, as a learner, while the others have theirs.
    pub(super) fn disk_losses(&self, specification: &Specification) -> Vec<Self> {
        let all_counted = self.keepers.iter().all(|keeper| keeper.is_counted);
        if !all_counted {
            return Vec::new();
        }
        let lost = Keeper {
            is_leader: false,
            is_counted: specification.has(Fault::AmnesiacVoter),
            volatile: Accepted::default(),
            durable: Accepted::default(),
        };
        (0..KEEPERS).map(|at| self.with(at, lost)).collect()
    }
}

fn newer(one: Accepted, other: Accepted) -> Accepted {
    let rank = |accepted: &Accepted| (accepted.view, accepted.log.len());
    if rank(&one) >= rank(&other) {
        one
    } else {
        other
    }
}
