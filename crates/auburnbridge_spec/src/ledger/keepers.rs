//! Model of the keepers: replication of the log, and the ledger derived from it.

use super::attempt::GrantReply;
use super::{Fault, MAX_SENDS, Specification};

const KEEPERS: usize = 3;
const QUORUM: usize = 2;

/// Each attempt changes the ledger at most twice.
const MAX_LOG: usize = 2 * MAX_SENDS;

/// Kind of a command that an attempt sends to the ledger.
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

/// A command sent to the ledger by an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Command {
    pub(super) kind: CommandKind,
    pub(super) attempt: u8,
}

/// Set of the commands that one attempt has sent.
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

/// State of the key in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyState {
    Free,
    Held(u8),
    Answered,
    Abandoned,
}

/// The ledger's record of the key.
struct Record {
    state: KeyState,
    /// The highest attempt number that withdrew; attempts are numbered in the caller's send order.
    highest_withdrawn: Option<u8>,
    withdrawn: [bool; MAX_SENDS],
}

/// Effect of a command on the record.
enum Effect {
    Change,
    Reply(GrantReply),
    None,
}

impl Record {
    fn replay(log: Log) -> Self {
        let mut record = Self {
            state: KeyState::Free,
            highest_withdrawn: None,
            withdrawn: [false; MAX_SENDS],
        };
        for command in log.commands() {
            let attempt = command.attempt;
            record.state = match command.kind {
                CommandKind::Grant => KeyState::Held(attempt),
                CommandKind::Conclude => KeyState::Answered,
                CommandKind::Abandon => KeyState::Abandoned,
                CommandKind::Withdraw => {
                    record.withdrawn[usize::from(attempt)] = true;
                    record.highest_withdrawn = record.highest_withdrawn.max(Some(attempt));
                    KeyState::Free
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
                if self.state == KeyState::Held(attempt) {
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
        let index = usize::from(attempt);
        let is_accepted = match self.state {
            KeyState::Held(holder) if holder == attempt => !expired[index],
            KeyState::Held(_) => {
                specification.has(Fault::WithdrawByNonHolder) && !self.withdrawn[index]
            }
            KeyState::Free | KeyState::Answered | KeyState::Abandoned => false,
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
        let is_refused = self.is_fenced(specification, attempt) || expired[usize::from(attempt)];
        match self.state {
            KeyState::Answered => Effect::Reply(GrantReply::Answered),
            KeyState::Held(holder) if expired[usize::from(holder)] => {
                let is_free = specification.has(Fault::RegrantAfterDeadline)
                    && holder != attempt
                    && !is_refused;
                if is_free {
                    Effect::Change
                } else {
                    Effect::Reply(GrantReply::Blocked)
                }
            }
            KeyState::Held(holder) if holder == attempt => Effect::Reply(GrantReply::Granted),
            KeyState::Held(_) | KeyState::Abandoned => Effect::Reply(GrantReply::Blocked),
            KeyState::Free if is_refused => Effect::Reply(GrantReply::NotHolder),
            KeyState::Free => Effect::Change,
        }
    }

    /// Whether this attempt or an attempt of a later send withdrew.
    fn is_fenced(&self, specification: &Specification, attempt: u8) -> bool {
        if specification.has(Fault::EarlierSendGranted) {
            return self.withdrawn[usize::from(attempt)];
        }
        Some(attempt) <= self.highest_withdrawn
    }
}

/// Commands that changed the ledger, packed into four bits each, the first in the lowest bits.
///
/// The packed form makes states cheap to hash; hashing takes most of the time of the search.
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
        (0..self.len()).map(move |index| {
            let code = ((self.0 >> (Self::BITS * index)) & 0xf) - 1;
            let [.., attempt] = (code >> 2).to_be_bytes();
            Command {
                kind: CommandKind::ALL[(code & 0b11) as usize],
                attempt,
            }
        })
    }
}

/// A log and the term in which its keeper accepted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Accepted {
    term: u8,
    log: Log,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Keeper {
    is_leader: bool,
    /// Whether the keeper counts towards a quorum.
    is_voter: bool,
    volatile: Accepted,
    durable: Accepted,
}

/// The keeper group, kept sorted so that states which differ only in keeper order are merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Group {
    keepers: [Keeper; KEEPERS],
}

impl Group {
    pub(super) fn new() -> Self {
        let follower = Keeper {
            is_leader: false,
            is_voter: true,
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

    fn with(&self, index: usize, keeper: Keeper) -> Self {
        let mut keepers = self.keepers;
        keepers[index] = keeper;
        Self { keepers }.sorted()
    }

    fn with_all(&self, accepted: Accepted) -> Self {
        let keepers = self.keepers.map(|keeper| Keeper {
            is_voter: true,
            volatile: accepted,
            durable: accepted,
            ..keeper
        });
        Self { keepers }.sorted()
    }

    fn leader(&self) -> Option<usize> {
        self.keepers.iter().position(|keeper| keeper.is_leader)
    }

    /// Whether a quorum has synced the leader's log in the leader's term.
    fn is_committed(&self, specification: &Specification, leader: usize) -> bool {
        let accepted = self.keepers[leader].volatile;
        let has_synced_log = |keeper: &&Keeper| {
            let confirmed = if specification.has(Fault::GrantBeforeSync) {
                keeper.volatile
            } else {
                keeper.durable
            };
            keeper.is_voter && confirmed == accepted
        };
        self.keepers.iter().filter(has_synced_log).count() >= QUORUM
    }

    /// The leader processes a message. It appends a command that changes the ledger, and replies to
    /// this or a repeated message once the command is committed.
    ///
    /// When no further keeper failure is possible, the command commits immediately, because the
    /// intermediate replication steps are not observable.
    pub(super) fn receive(
        &self,
        specification: &Specification,
        command: Command,
        expired: [bool; MAX_SENDS],
        is_failure_free: bool,
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
                let group = if is_failure_free {
                    self.with_all(keeper.volatile)
                } else {
                    self.with(leader, keeper)
                };
                Some((group, None))
            }
            Effect::Reply(reply) => Some((*self, Some(reply))),
            Effect::None => None,
        }
    }

    /// A keeper receives the leader's log, syncs its own, or is promoted to voter.
    pub(super) fn replication_steps(&self, specification: &Specification) -> Vec<Self> {
        let mut groups = Vec::new();
        for (index, keeper) in self.keepers.iter().enumerate() {
            if keeper.volatile != keeper.durable {
                let mut synced = *keeper;
                synced.durable = synced.volatile;
                groups.push(self.with(index, synced));
            }
            let Some(leader) = self.leader() else {
                continue;
            };
            let accepted = self.keepers[leader].volatile;
            if keeper.volatile != accepted {
                let mut received = *keeper;
                received.volatile = accepted;
                groups.push(self.with(index, received));
            }
            // A learner becomes a voter once it has synced everything that is committed.
            if !keeper.is_voter
                && keeper.durable == accepted
                && self.is_committed(specification, leader)
            {
                let mut promoted = *keeper;
                promoted.is_voter = true;
                groups.push(self.with(index, promoted));
            }
        }
        groups
    }

    /// A candidate wins with the vote of one other keeper, adopts the newer of the two synced logs,
    /// and accepts it in a new term.
    pub(super) fn election_steps(&self) -> Vec<Self> {
        let terms = self.keepers.iter().map(|keeper| keeper.volatile.term);
        let term = terms.max().unwrap_or(0) + 1;
        let mut groups = Vec::new();
        for candidate in 0..KEEPERS {
            for voter in (0..KEEPERS).filter(|voter| *voter != candidate) {
                let mut keepers = self.keepers;
                if !keepers[candidate].is_voter || !keepers[voter].is_voter {
                    continue;
                }
                for keeper in &mut keepers {
                    keeper.is_leader = false;
                }
                keepers[voter].durable = keepers[voter].volatile;
                let newer = newer(keepers[candidate].volatile, keepers[voter].durable);
                let accepted = Accepted {
                    term,
                    log: newer.log,
                };
                keepers[candidate] = Keeper {
                    is_leader: true,
                    is_voter: true,
                    volatile: accepted,
                    durable: accepted,
                };
                groups.push(Self { keepers }.sorted());
            }
        }
        groups
    }

    /// A keeper crashes and restarts with its synced state.
    pub(super) fn crash_steps(&self) -> Vec<Self> {
        let crash = |index: usize| {
            let mut keeper = self.keepers[index];
            keeper.volatile = keeper.durable;
            keeper.is_leader = false;
            self.with(index, keeper)
        };
        (0..KEEPERS).map(crash).collect()
    }

    /// A keeper restarts as a learner with an empty disk, which is possible only while all keepers
    /// are voters.
    pub(super) fn disk_loss_steps(&self, specification: &Specification) -> Vec<Self> {
        let all_are_voters = self.keepers.iter().all(|keeper| keeper.is_voter);
        if !all_are_voters {
            return Vec::new();
        }
        let empty = Keeper {
            is_leader: false,
            is_voter: specification.has(Fault::EmptyDiskVotes),
            volatile: Accepted::default(),
            durable: Accepted::default(),
        };
        (0..KEEPERS).map(|index| self.with(index, empty)).collect()
    }
}

fn newer(a: Accepted, b: Accepted) -> Accepted {
    let rank = |accepted: &Accepted| (accepted.term, accepted.log.len());
    if rank(&a) >= rank(&b) { a } else { b }
}
