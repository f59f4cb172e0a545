//! Specification of the grant protocol between a caller, entries, keepers and targets.
//!
//! One caller sends one keyed request, and sends it again through the other entry at any time
//! until it has the target's answer. Two entries make one attempt per send, three keepers with a
//! quorum of two replicate the ledger, and two targets run or shed what reaches them.
//!
//! The network between entries and keepers is the set of all messages ever sent. The leader takes
//! any of them at any time, any number of times, or never, which covers loss, duplication and
//! reordering. A process may take no step while all others go on, which covers a frozen entry; the
//! check of the deadline and the first written byte are separate steps, so that an entry can freeze
//! between them. Each attempt's deadline passes at any time.
//!
//! The replication is reduced to what the grants depend on: one command is in progress at a time,
//! an election is one step, and a deposed leader, which would find no quorum, takes no steps.
//!
//! The search visits every reachable state within [`Bounds`] and checks [`Violation`] in each. The
//! rules can be broken one at a time by a [`Fault`], which the same search must find.

mod attempt;
mod keepers;

use pathfinding::directed::bfs::bfs_reach;

use attempt::{Attempt, Phase, Word};
use keepers::{Command, CommandKind, Group};

/// Number of attempts that the state has room for.
const MAX_SENDS: usize = 3;

/// Limits of the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// How often the caller sends the request, at most 3.
    pub sends: usize,
    /// Crashes of an entry, each with a restart that knows nothing of its attempts.
    pub entry_crashes: u8,
    /// Crashes of a keeper, each with a restart from what it had synced.
    pub keeper_crashes: u8,
    /// Losses of a keeper's disk, each repaired with an empty one.
    pub disk_losses: u8,
    /// Elections of a leader after the first one.
    pub elections: u8,
    /// Attempts whose deadline passes.
    pub expiries: u8,
}

/// A rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A keeper confirms a command before it has synced it.
    GrantBeforeSync,
    /// A keeper whose disk was lost counts towards the quorum at once.
    AmnesiacVoter,
    /// A withdrawal frees the key also when another attempt holds it.
    ForeignWithdraw,
    /// A connection that dies after the write is taken for a request that did not run.
    DeadConnectionNotRun,
    /// An entry that did not ask the ledger tells a resend that it did not run.
    RefusedResendNotRun,
    /// A key whose holder missed its deadline is granted again.
    FreedAfterDeadline,
    /// An attempt of an earlier send gets the key that a later send's attempt withdrew.
    EarlierSendGranted,
}

/// An invariant that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Targets ran the request more than once.
    RanTwice,
    /// The last word to the caller was `not-run`, no attempt is live, and a target ran the request.
    ///
    /// The check covers every state, so it also fails when the run follows the word.
    RanDespiteNotRun,
}

/// The protocol, within bounds and with at most one fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Specification {
    /// Limits of the search.
    pub bounds: Bounds,
    /// The broken rule, if any.
    pub fault: Option<Fault>,
}

/// Result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Number of states visited; all reachable ones when there is no violation.
    pub states: usize,
    /// The first violation.
    pub violation: Option<Violation>,
}

/// The state of all processes and of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    attempts: [Attempt; MAX_SENDS],
    sends: usize,
    /// What the caller was told last, in reply to its last send.
    last_word: Word,
    executions: u8,
    group: Group,
    entry_crashes: u8,
    keeper_crashes: u8,
    disk_losses: u8,
    elections: u8,
    expiries: u8,
}

impl Specification {
    /// Visits the reachable states until one violates an invariant.
    pub fn explore(&self) -> Exploration {
        self.explore_until(|violation| violation.is_some())
    }

    /// Visits the reachable states until one violates the given invariant.
    pub fn explore_for(&self, wanted: Violation) -> Exploration {
        self.explore_until(|violation| violation == Some(wanted))
    }

    fn explore_until(&self, is_wanted: impl Fn(Option<Violation>) -> bool) -> Exploration {
        let mut states = 0;
        for world in bfs_reach(World::new(), |world| self.successors(world)) {
            states += 1;
            let violation = world.violation();
            if is_wanted(violation) {
                return Exploration { states, violation };
            }
        }
        Exploration {
            states,
            violation: None,
        }
    }

    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn successors(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        self.caller_steps(world, &mut next);
        for number in 0..world.sends {
            self.entry_steps(world, number, &mut next);
            target_steps(world, number, &mut next);
            self.ledger_steps(world, number, &mut next);
        }
        self.keeper_steps(world, &mut next);
        self.crash_steps(world, &mut next);
        next
    }

    fn caller_steps(&self, world: &World, next: &mut Vec<World>) {
        if world.sends < self.bounds.sends && world.last_word != Word::Answer {
            let mut sent = *world;
            sent.attempts[world.sends].phase = Phase::Received;
            sent.sends += 1;
            sent.last_word = Word::Unknown;
            next.push(sent);
        }
    }

    fn entry_steps(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let steps = world.attempts[number].entry_steps(self, number);
        next.extend(steps.into_iter().map(|(attempt, word)| {
            let mut stepped = *world;
            stepped.attempts[number] = attempt;
            if let Some(word) = word.filter(|_| number + 1 == world.sends) {
                stepped.last_word = word;
            }
            stepped
        }));
        let attempt = &world.attempts[number];
        let may_expire = attempt.sent.contains(CommandKind::Grant) && !attempt.expired;
        if may_expire && world.expiries < self.bounds.expiries {
            let mut expired = *world;
            expired.expiries += 1;
            expired.attempts[number].expired = true;
            next.push(expired);
        }
    }

    /// The leader takes a message of the attempt.
    fn ledger_steps(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let expired = world.attempts.map(|attempt| attempt.expired);
        let is_reliable = world.keeper_crashes == self.bounds.keeper_crashes
            && world.disk_losses == self.bounds.disk_losses
            && world.elections == self.bounds.elections;
        for kind in CommandKind::ALL {
            if !world.attempts[number].sent.contains(kind) {
                continue;
            }
            let attempt = u8::try_from(number).expect("MAX_SENDS is small");
            let command = Command { kind, attempt };
            let received = world.group.receive(self, command, expired, is_reliable);
            let Some((group, reply)) = received else {
                continue;
            };
            let mut received = World { group, ..*world };
            if let Some(reply) = reply {
                received.attempts[number].replies.insert(reply);
                received.attempts[number].forget_ineffective();
            }
            next.push(received);
        }
    }

    fn keeper_steps(&self, world: &World, next: &mut Vec<World>) {
        let groups = world.group.replications(self);
        next.extend(groups.into_iter().map(|group| World { group, ..*world }));
        if world.elections < self.bounds.elections {
            next.extend(world.group.elections().into_iter().map(|group| World {
                group,
                elections: world.elections + 1,
                ..*world
            }));
        }
    }

    fn crash_steps(&self, world: &World, next: &mut Vec<World>) {
        if world.entry_crashes < self.bounds.entry_crashes {
            for entry in 0..2 {
                let mut crashed = *world;
                crashed.entry_crashes += 1;
                // The sends alternate between the two entries.
                for attempt in crashed.attempts.iter_mut().skip(entry).step_by(2) {
                    attempt.crash();
                }
                next.push(crashed);
            }
        }
        if world.keeper_crashes < self.bounds.keeper_crashes {
            next.extend(world.group.crashes().into_iter().map(|group| World {
                group,
                keeper_crashes: world.keeper_crashes + 1,
                ..*world
            }));
        }
        if world.disk_losses < self.bounds.disk_losses {
            let groups = world.group.disk_losses(self);
            next.extend(groups.into_iter().map(|group| World {
                group,
                disk_losses: world.disk_losses + 1,
                ..*world
            }));
        }
    }
}

/// A target runs or sheds the request, also after the entry has given up or crashed.
fn target_steps(world: &World, number: usize, next: &mut Vec<World>) {
    if let Some([ran, shed]) = world.attempts[number].target_steps() {
        let mut executed = *world;
        executed.attempts[number] = ran;
        executed.executions += 1;
        next.push(executed);
        let mut refused = *world;
        refused.attempts[number] = shed;
        next.push(refused);
    }
}

impl World {
    fn new() -> Self {
        Self {
            attempts: [Attempt::default(); MAX_SENDS],
            sends: 0,
            last_word: Word::Unknown,
            executions: 0,
            group: Group::new(),
            entry_crashes: 0,
            keeper_crashes: 0,
            disk_losses: 0,
            elections: 0,
            expiries: 0,
        }
    }

    fn violation(&self) -> Option<Violation> {
        if self.executions > 1 {
            return Some(Violation::RanTwice);
        }
        let is_quiet = !self.attempts.iter().any(|attempt| attempt.is_live());
        if is_quiet && self.last_word == Word::NotRun && self.executions > 0 {
            return Some(Violation::RanDespiteNotRun);
        }
        None
    }
}
