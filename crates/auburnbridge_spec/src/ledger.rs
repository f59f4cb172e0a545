//! Model of the grant protocol between a caller, entries, keepers and targets.
//!
//! One caller sends one keyed request and may resend it through the other entry at any time until
//! it receives the target's answer. Two entries make one attempt per send, three keepers with a
//! quorum of two replicate the ledger, and two targets run or shed the requests they receive.
//!
//! The network between entries and keepers is the set of all messages ever sent. The leader may
//! process each of them at any time, any number of times, or never, which covers loss, duplication
//! and reordering. A process may take no step while the others proceed, which covers a frozen
//! entry; the deadline check and the write of the first byte are separate steps, so that an entry
//! can freeze between them. Each attempt's deadline may pass at any time.
//!
//! Replication is reduced to what grants depend on: one command is in progress at a time, an
//! election is a single step, and a deposed leader takes no steps because it would find no quorum.
//!
//! The search visits every reachable state within [`Bounds`] and checks each for a [`Violation`].
//! To validate the search itself, a [`Fault`] breaks one rule, and the search must detect it.

mod attempt;
mod keepers;

use pathfinding::directed::bfs::bfs_reach;

use attempt::{Attempt, Outcome, Phase};
use keepers::{Command, CommandKind, Group};

/// Capacity of the attempt array in a state.
const MAX_SENDS: usize = 3;

/// Limits on the number of events that the search explores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of times that the caller sends the request, up to 3.
    pub sends: usize,
    /// Entry crashes, each followed by a restart that has lost all attempts.
    pub entry_crashes: u8,
    /// Keeper crashes, each followed by a restart from the synced state.
    pub keeper_crashes: u8,
    /// Losses of a keeper's disk, each repaired with an empty disk.
    pub disk_losses: u8,
    /// Leader elections after the initial one.
    pub elections: u8,
    /// Attempts whose deadline may pass.
    pub expiries: u8,
}

/// A protocol rule that is deliberately broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A keeper acknowledges a command before syncing it.
    GrantBeforeSync,
    /// A keeper whose disk was lost counts towards the quorum immediately.
    EmptyDiskVotes,
    /// A withdrawal frees the key even when another attempt holds it.
    WithdrawByNonHolder,
    /// A connection lost after the write is treated as proof that the request did not run.
    LostConnectionNotRun,
    /// An entry reports `not-run` for a resend without having asked the ledger.
    UnaskedResendNotRun,
    /// A key is granted again after its holder missed the deadline.
    RegrantAfterDeadline,
    /// An attempt of an earlier send is granted the key after a later send's attempt withdrew.
    EarlierSendGranted,
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The request ran more than once, on one or several targets.
    RanTwice,
    /// The caller was last told `not-run`, no attempt is live, and a target ran the request.
    ///
    /// Every state is checked, so a target that runs the request after the `not-run` reply is
    /// detected too.
    RanDespiteNotRun,
}

/// The protocol model, with its bounds and at most one fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Specification {
    /// Limits on the explored events.
    pub bounds: Bounds,
    /// The broken rule, if any.
    pub fault: Option<Fault>,
}

/// Result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of states visited, which is all reachable states if no violation was found.
    pub states: usize,
    /// The first violation found, at which the search stopped.
    pub violation: Option<Violation>,
}

/// The state of all processes and of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    attempts: [Attempt; MAX_SENDS],
    sends: usize,
    /// Outcome reported to the caller for its most recent send.
    last_outcome: Outcome,
    executions: u8,
    group: Group,
    entry_crashes: u8,
    keeper_crashes: u8,
    disk_losses: u8,
    elections: u8,
    expiries: u8,
}

impl Specification {
    /// Visits reachable states until one violates any invariant.
    pub fn explore(&self) -> Report {
        self.explore_until(|violation| violation.is_some())
    }

    /// Visits reachable states until one violates the given invariant.
    pub fn explore_for(&self, wanted: Violation) -> Report {
        self.explore_until(|violation| violation == Some(wanted))
    }

    fn explore_until(&self, is_wanted: impl Fn(Option<Violation>) -> bool) -> Report {
        let mut states = 0;
        for state in bfs_reach(State::new(), |state| self.successors(state)) {
            states += 1;
            let violation = state.violation();
            if is_wanted(violation) {
                return Report { states, violation };
            }
        }
        Report {
            states,
            violation: None,
        }
    }

    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.caller_steps(state, &mut next);
        for number in 0..state.sends {
            self.entry_steps(state, number, &mut next);
            target_steps(state, number, &mut next);
            self.ledger_steps(state, number, &mut next);
        }
        self.keeper_steps(state, &mut next);
        self.crash_steps(state, &mut next);
        next
    }

    fn caller_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.sends < self.bounds.sends && state.last_outcome != Outcome::Answer {
            let mut sent = *state;
            sent.attempts[state.sends].phase = Phase::Received;
            sent.sends += 1;
            sent.last_outcome = Outcome::Unknown;
            next.push(sent);
        }
    }

    fn entry_steps(&self, state: &State, number: usize, next: &mut Vec<State>) {
        let steps = state.attempts[number].entry_steps(self, number);
        next.extend(steps.into_iter().map(|(attempt, outcome)| {
            let mut stepped = *state;
            stepped.attempts[number] = attempt;
            if let Some(outcome) = outcome.filter(|_| number + 1 == state.sends) {
                stepped.last_outcome = outcome;
            }
            stepped
        }));
        let attempt = &state.attempts[number];
        let may_expire = attempt.sent.contains(CommandKind::Grant) && !attempt.expired;
        if may_expire && state.expiries < self.bounds.expiries {
            let mut expired = *state;
            expired.expiries += 1;
            expired.attempts[number].expired = true;
            next.push(expired);
        }
    }

    /// The leader processes a message from the attempt.
    fn ledger_steps(&self, state: &State, number: usize, next: &mut Vec<State>) {
        let expired = state.attempts.map(|attempt| attempt.expired);
        let is_failure_free = state.keeper_crashes == self.bounds.keeper_crashes
            && state.disk_losses == self.bounds.disk_losses
            && state.elections == self.bounds.elections;
        for kind in CommandKind::ALL {
            if !state.attempts[number].sent.contains(kind) {
                continue;
            }
            let attempt =
                u8::try_from(number).expect("attempt numbers below MAX_SENDS fit into u8");
            let command = Command { kind, attempt };
            let received = state.group.receive(self, command, expired, is_failure_free);
            let Some((group, reply)) = received else {
                continue;
            };
            let mut received = State { group, ..*state };
            if let Some(reply) = reply {
                received.attempts[number].replies.insert(reply);
                received.attempts[number].normalize();
            }
            next.push(received);
        }
    }

    fn keeper_steps(&self, state: &State, next: &mut Vec<State>) {
        let groups = state.group.replication_steps(self);
        next.extend(groups.into_iter().map(|group| State { group, ..*state }));
        if state.elections < self.bounds.elections {
            next.extend(state.group.election_steps().into_iter().map(|group| State {
                group,
                elections: state.elections + 1,
                ..*state
            }));
        }
    }

    fn crash_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.entry_crashes < self.bounds.entry_crashes {
            for entry in 0..2 {
                let mut crashed = *state;
                crashed.entry_crashes += 1;
                // Sends alternate between the two entries.
                for attempt in crashed.attempts.iter_mut().skip(entry).step_by(2) {
                    attempt.crash();
                }
                next.push(crashed);
            }
        }
        if state.keeper_crashes < self.bounds.keeper_crashes {
            next.extend(state.group.crash_steps().into_iter().map(|group| State {
                group,
                keeper_crashes: state.keeper_crashes + 1,
                ..*state
            }));
        }
        if state.disk_losses < self.bounds.disk_losses {
            let groups = state.group.disk_loss_steps(self);
            next.extend(groups.into_iter().map(|group| State {
                group,
                disk_losses: state.disk_losses + 1,
                ..*state
            }));
        }
    }
}

/// A target runs or sheds the request, even after the entry has given up or crashed.
fn target_steps(state: &State, number: usize, next: &mut Vec<State>) {
    if let Some([ran, shed]) = state.attempts[number].target_steps() {
        let mut executed = *state;
        executed.attempts[number] = ran;
        executed.executions += 1;
        next.push(executed);
        let mut refused = *state;
        refused.attempts[number] = shed;
        next.push(refused);
    }
}

impl State {
    fn new() -> Self {
        Self {
            attempts: [Attempt::default(); MAX_SENDS],
            sends: 0,
            last_outcome: Outcome::Unknown,
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
        let is_settled = !self.attempts.iter().any(|attempt| attempt.is_live());
        if is_settled && self.last_outcome == Outcome::NotRun && self.executions > 0 {
            return Some(Violation::RanDespiteNotRun);
        }
        None
    }
}
