//! Model of the replicated log: elections, append and repair, with disk replacement and resent
//! edits.
//!
//! Three replicas start as voters. A replica writes its term and vote in two steps (change, sync),
//! so that a crash can happen between them. A record is written and synced in one step; a separate
//! sync would be equivalent to a message that arrives later. Delivery of a message is a step that
//! reads the sender's state, so loss, delay and reordering correspond to that step being taken
//! never, later or in another order.
//!
//! One disk may be replaced by an empty one. The replica then has a new id and receives the log;
//! one record adds it as a member and another removes its predecessor. A client may resend an edit.
//!
//! [`explore`] visits every reachable state. A [`Fault`] disables one rule, and the search must
//! then find a state that violates an invariant.

use pathfinding::directed::bfs::bfs_reach;

const REPLICAS: usize = 3;
/// Number of ids: the initial replicas and the one that runs on the replacement disk.
const IDS: usize = REPLICAS + 1;
const MAX_RECORDS: usize = 4;
const MAX_TERMS: usize = 5;

/// Limits on the explored events.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Highest term.
    pub terms: u8,
    /// Maximum number of records in a log, up to four.
    pub records: u8,
    /// Number of distinct edits.
    pub edits: u8,
    /// Maximum number of times that one log contains the same edit because its client resent it.
    pub copies: u8,
    /// Maximum number of crashes.
    pub crashes: u8,
    /// Whether one disk may be replaced by an empty one.
    pub replaces_disk: bool,
}

/// A protocol rule that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A replica sends its vote before syncing it.
    VoteBeforeSync,
    /// A replica with an empty disk keeps its predecessor's id and votes in its place.
    EmptyDiskVotes,
    /// A leader commits a record of an earlier term by counting the replicas that hold it.
    CommitOlderTerm,
    /// A resent edit is applied again.
    ReapplyResentEdit,
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A term has two leaders.
    TwoLeaders,
    /// A committed record was replaced by a different one.
    CommittedChanged,
    /// An edit was applied twice.
    AppliedTwice,
}

/// Result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of states visited.
    pub states: usize,
    /// Number of states in which a committed record has removed the replica of the replaced disk.
    pub repaired_states: usize,
    /// The first violation found, at which the search stopped.
    pub violation: Option<Violation>,
}

/// Visits all states within `bounds`, or until one violates an invariant.
pub fn explore(bounds: Bounds, fault: Option<Fault>) -> Report {
    let specification = Specification { bounds, fault };
    let mut report = Report {
        states: 0,
        repaired_states: 0,
        violation: None,
    };
    for state in bfs_reach(State::new(), |state| specification.successors(state)) {
        report.states += 1;
        report.repaired_states += usize::from(state.is_repaired());
        if state.violation.is_some() {
            report.violation = state.violation;
            return report;
        }
    }
    report
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Payload {
    Edit(u8),
    /// Adds the replica on the replacement disk as a voter.
    Add,
    /// Removes the replica whose disk was replaced.
    Remove(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Record {
    term: u8,
    payload: Payload,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Log {
    records: [Option<Record>; MAX_RECORDS],
}

impl Log {
    fn iter(&self) -> impl Iterator<Item = Record> {
        self.records.iter().copied().flatten()
    }

    fn len(&self) -> usize {
        self.iter().count()
    }

    /// Term and index of the last record, by which logs are compared in an election.
    fn last(&self) -> (u8, usize) {
        let term = self.iter().last().map_or(0, |record| record.term);
        (term, self.len())
    }

    fn push(&mut self, record: Record) {
        let end = self.len();
        self.records[end] = Some(record);
    }

    fn shared_prefix(&self, other: &Self) -> usize {
        self.iter()
            .zip(other.iter())
            .take_while(|(a, b)| a == b)
            .count()
    }

    fn prefix(&self, length: usize) -> Self {
        let mut prefix = *self;
        prefix.records[length..].fill(None);
        prefix
    }

    /// Ids of the voters. A membership change takes effect as soon as it is in the log.
    fn voters(&self) -> ReplicaIds {
        let start = ReplicaIds((1 << REPLICAS) - 1);
        self.iter()
            .fold(start, |voters, record| match record.payload {
                Payload::Edit(_) => voters,
                Payload::Add => voters.with(REPLICAS),
                Payload::Remove(id) => voters.without(usize::from(id)),
            })
    }
}

/// A set of replica ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ReplicaIds(u8);

impl ReplicaIds {
    fn with(self, id: usize) -> Self {
        Self(self.0 | 1 << id)
    }

    fn without(self, id: usize) -> Self {
        Self(self.0 & !(1 << id))
    }

    fn contains(self, id: usize) -> bool {
        self.0 & 1 << id != 0
    }

    fn has_majority_of(self, voters: Self) -> bool {
        2 * (self.0 & voters.0).count_ones() > voters.0.count_ones()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Role {
    #[default]
    Follower,
    Candidate,
    Leader,
}

/// The term and vote that a replica persists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct HardState {
    term: u8,
    vote: Option<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Replica {
    id: u8,
    hard_state: HardState,
    synced_hard_state: HardState,
    log: Log,
    role: Role,
    votes: ReplicaIds,
    /// Number of records that each replica, by id, has acknowledged to this leader.
    matched: [u8; IDS],
    commit: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: [Replica; REPLICAS],
    crashes: u8,
    /// Index in `replicas` of the replica whose disk was replaced.
    replaced: Option<u8>,
    leaders: [Option<u8>; MAX_TERMS],
    /// All records that any leader has committed.
    committed: Log,
    violation: Option<Violation>,
}

impl State {
    fn new() -> Self {
        let mut replicas = [Replica::default(); REPLICAS];
        for (id, replica) in (0..).zip(&mut replicas) {
            replica.id = id;
        }
        Self {
            replicas,
            crashes: 0,
            replaced: None,
            leaders: [None; MAX_TERMS],
            committed: Log::default(),
            violation: None,
        }
    }
}

impl State {
    fn is_repaired(&self) -> bool {
        self.committed
            .iter()
            .any(|record| matches!(record.payload, Payload::Remove(_)))
    }
}

impl Replica {
    fn become_follower(&mut self, term: u8) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
        }
        self.reset_role();
    }

    fn reset_role(&mut self) {
        self.role = Role::Follower;
        self.votes = ReplicaIds::default();
        self.matched = [0; IDS];
        self.commit = 0;
    }
}

struct Specification {
    bounds: Bounds,
    fault: Option<Fault>,
}

impl Specification {
    fn successors(&self, state: &State) -> Vec<State> {
        if state.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for slot in 0..REPLICAS {
            next.extend(self.start_election(state, slot));
            next.extend(sync(state, slot));
            next.extend(self.crash(state, slot));
            next.extend(self.replace_disk(state, slot));
            next.extend(self.change_members(state, slot));
            for edit in 0..self.bounds.edits {
                next.extend(self.propose(state, slot, edit));
            }
            for other in (0..REPLICAS).filter(|other| *other != slot) {
                next.extend(self.handle_vote_request(state, slot, other));
                next.extend(self.handle_vote(state, slot, other));
                next.extend(self.append(state, slot, other));
                next.extend(self.handle_acknowledgement(state, slot, other));
            }
        }
        next
    }

    /// A voter starts an election. A leader that does so has lost its quorum.
    fn start_election(&self, state: &State, slot: usize) -> Option<State> {
        let mut next = *state;
        let replica = &mut next.replicas[slot];
        let is_voter = replica.log.voters().contains(usize::from(replica.id));
        if replica.hard_state.term >= self.bounds.terms || !is_voter {
            return None;
        }
        replica.reset_role();
        replica.hard_state = HardState {
            term: replica.hard_state.term + 1,
            vote: Some(replica.id),
        };
        replica.role = Role::Candidate;
        self.sync_without_crashes(&mut next, slot);
        Some(next)
    }

    /// Syncs at once if no crash is possible: a later sync is then equivalent to a later change.
    fn sync_without_crashes(&self, state: &mut State, slot: usize) {
        if self.bounds.crashes == 0 {
            sync_now(state, slot);
        }
    }

    /// The vote request of the candidate at `other` reaches the replica at `slot`.
    fn handle_vote_request(&self, state: &State, slot: usize, other: usize) -> Option<State> {
        let candidate = state.replicas[other];
        let mut next = *state;
        let voter = &mut next.replicas[slot];
        let is_requesting = candidate.role == Role::Candidate
            && candidate.synced_hard_state == candidate.hard_state;
        if !is_requesting || candidate.hard_state.term < voter.hard_state.term {
            return None;
        }
        if candidate.hard_state.term > voter.hard_state.term {
            voter.become_follower(candidate.hard_state.term);
        }
        let has_not_voted = voter.hard_state.vote.is_none();
        if has_not_voted && candidate.log.last() >= voter.log.last() {
            voter.hard_state.vote = Some(candidate.id);
        }
        self.sync_without_crashes(&mut next, slot);
        (next != *state).then_some(next)
    }

    /// The vote of the replica at `other` reaches the candidate at `slot`.
    fn handle_vote(&self, state: &State, slot: usize, other: usize) -> Option<State> {
        let candidate = state.replicas[slot];
        let voter = state.replicas[other];
        let hard_state = match self.fault {
            Some(Fault::VoteBeforeSync) => voter.hard_state,
            _ => voter.synced_hard_state,
        };
        let wanted = HardState {
            term: candidate.hard_state.term,
            vote: Some(candidate.id),
        };
        let is_new = !candidate.votes.contains(usize::from(voter.id));
        if candidate.role != Role::Candidate || hard_state != wanted || !is_new {
            return None;
        }
        let mut next = *state;
        let candidate = &mut next.replicas[slot];
        candidate.votes = candidate.votes.with(usize::from(voter.id));
        elect(&mut next, slot);
        Some(next)
    }

    /// A client's new or resent edit reaches a leader.
    fn propose(&self, state: &State, slot: usize, edit: u8) -> Option<State> {
        let payload = Payload::Edit(edit);
        let log = &state.replicas[slot].log;
        let copies = log
            .iter()
            .filter(|record| record.payload == payload)
            .count();
        if copies >= usize::from(self.bounds.copies) {
            return None;
        }
        self.append_as_leader(state, slot, payload)
    }

    /// A leader adds the replica on the replacement disk as a voter once it has the whole log, then
    /// removes its predecessor.
    fn change_members(&self, state: &State, slot: usize) -> Option<State> {
        let leader = state.replicas[slot];
        let replaced = state.replaced?;
        let length = leader.log.len();
        let is_term_committed = leader
            .log
            .iter()
            .last()
            .is_some_and(|record| record.term == leader.hard_state.term);
        if usize::from(leader.commit) < length || !is_term_committed {
            return None;
        }
        let voters = leader.log.voters();
        if !voters.contains(REPLICAS) {
            let is_caught_up = usize::from(leader.matched[REPLICAS]) == length;
            return is_caught_up
                .then(|| self.append_as_leader(state, slot, Payload::Add))
                .flatten();
        }
        if !voters.contains(usize::from(replaced)) {
            return None;
        }
        self.append_as_leader(state, slot, Payload::Remove(replaced))
    }

    fn append_as_leader(&self, state: &State, slot: usize, payload: Payload) -> Option<State> {
        let mut next = *state;
        let leader = &mut next.replicas[slot];
        if leader.role != Role::Leader || leader.log.len() >= usize::from(self.bounds.records) {
            return None;
        }
        let term = leader.hard_state.term;
        leader.log.push(Record { term, payload });
        Some(next)
    }

    /// The leader at `slot` sends the next record to `other`, where it replaces a conflicting one.
    fn append(&self, state: &State, slot: usize, other: usize) -> Option<State> {
        let leader = state.replicas[slot];
        let mut next = *state;
        let follower = &mut next.replicas[other];
        if leader.role != Role::Leader || follower.hard_state.term > leader.hard_state.term {
            return None;
        }
        follower.become_follower(leader.hard_state.term);
        let shared = leader.log.shared_prefix(&follower.log);
        if shared < leader.log.len() {
            follower.log = leader.log.prefix(shared + 1);
        }
        // A record is synced together with the leader's term.
        if follower.log != state.replicas[other].log {
            follower.synced_hard_state = follower.hard_state;
        }
        self.sync_without_crashes(&mut next, other);
        (next != *state).then_some(next)
    }

    /// The leader at `slot` learns how many records `other` has synced.
    fn handle_acknowledgement(&self, state: &State, slot: usize, other: usize) -> Option<State> {
        let leader = state.replicas[slot];
        let follower = state.replicas[other];
        let is_following = follower.synced_hard_state.term == leader.hard_state.term;
        if leader.role != Role::Leader || !is_following {
            return None;
        }
        let shared = u8::try_from(leader.log.shared_prefix(&follower.log)).ok()?;
        let mut next = *state;
        let matched = &mut next.replicas[slot].matched[usize::from(follower.id)];
        *matched = (*matched).max(shared);
        self.commit(&mut next, slot);
        (next != *state).then_some(next)
    }

    /// A leader commits the records that a majority of the voters holds.
    fn commit(&self, state: &mut State, slot: usize) {
        let leader = state.replicas[slot];
        let voters = leader.log.voters();
        let length = (usize::from(leader.commit) + 1..=leader.log.len())
            .rev()
            .find(|length| {
                let holders = (0..IDS)
                    .filter(|id| {
                        let is_own = *id == usize::from(leader.id);
                        is_own || usize::from(leader.matched[*id]) >= *length
                    })
                    .fold(ReplicaIds::default(), ReplicaIds::with);
                let term = leader.log.records[length - 1].map(|record| record.term);
                let is_own_term = term == Some(leader.hard_state.term);
                let may_count = is_own_term || self.fault == Some(Fault::CommitOlderTerm);
                may_count && holders.has_majority_of(voters)
            });
        let Some(length) = length else {
            return;
        };
        state.replicas[slot].commit = u8::try_from(length).unwrap_or(u8::MAX);
        let committed = leader.log.prefix(length);
        let shared = committed.shared_prefix(&state.committed);
        if shared < state.committed.len().min(length) {
            state.violation = Some(Violation::CommittedChanged);
        } else if length > state.committed.len() {
            state.committed = committed;
        }
        if self.applies_an_edit_twice(&committed) {
            state.violation = Some(Violation::AppliedTwice);
        }
    }

    /// Applies a log and returns whether any edit was applied twice.
    fn applies_an_edit_twice(&self, log: &Log) -> bool {
        let mut applied = [0_u8; MAX_RECORDS];
        for record in log.iter() {
            if let Payload::Edit(edit) = record.payload {
                let count = &mut applied[usize::from(edit)];
                let is_repeated = *count > 0;
                if !is_repeated || self.fault == Some(Fault::ReapplyResentEdit) {
                    *count += 1;
                }
            }
        }
        applied.iter().any(|count| *count > 1)
    }

    fn crash(&self, state: &State, slot: usize) -> Option<State> {
        if state.crashes >= self.bounds.crashes {
            return None;
        }
        let mut next = *state;
        next.crashes += 1;
        let replica = &mut next.replicas[slot];
        replica.reset_role();
        replica.hard_state = replica.synced_hard_state;
        Some(next)
    }

    fn replace_disk(&self, state: &State, slot: usize) -> Option<State> {
        if !self.bounds.replaces_disk || state.replaced.is_some() {
            return None;
        }
        let mut next = *state;
        let slot_number = u8::try_from(slot).ok()?;
        let id = match self.fault {
            Some(Fault::EmptyDiskVotes) => slot_number,
            _ => u8::try_from(REPLICAS).ok()?,
        };
        next.replaced = Some(slot_number);
        next.replicas[slot] = Replica {
            id,
            ..Replica::default()
        };
        Some(next)
    }
}

fn sync(state: &State, slot: usize) -> Option<State> {
    let mut next = *state;
    sync_now(&mut next, slot);
    (next != *state).then_some(next)
}

fn sync_now(state: &mut State, slot: usize) {
    let replica = &mut state.replicas[slot];
    replica.synced_hard_state = replica.hard_state;
    if replica.role == Role::Candidate {
        replica.votes = replica.votes.with(usize::from(replica.id));
    }
}

/// Makes the candidate leader if it has a majority.
fn elect(state: &mut State, slot: usize) {
    let candidate = &mut state.replicas[slot];
    if !candidate.votes.has_majority_of(candidate.log.voters()) {
        return;
    }
    candidate.role = Role::Leader;
    candidate.votes = ReplicaIds::default();
    let leader = &mut state.leaders[usize::from(candidate.hard_state.term)];
    if leader.is_some_and(|first| first != candidate.id) {
        state.violation = Some(Violation::TwoLeaders);
    }
    *leader = Some(candidate.id);
}
