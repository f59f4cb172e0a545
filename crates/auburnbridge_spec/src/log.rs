//! Specification of the replicated log: votes, append and repair, with an empty disk and repeated
//! edits.
//!
//! Three replicas start as voters. A replica writes its term and vote in two steps (change, sync),
//! so that a crash can fall between them; a record is written and synced in one step, which is the
//! same as a message that arrives later. A message is a step that reads the sender's state, so that
//! loss, delay and reordering are steps that happen never, later or in another order.
//!
//! One disk may be replaced by an empty one. Its replica has a new id, receives the log, and is
//! added by one record and its predecessor removed by another. A client may send an edit again.
//!
//! [`explore`] visits each reachable state. With a [`Fault`] one rule is left out, and the search
//! must find a state that breaks an invariant.

use pathfinding::directed::bfs::bfs_reach;

const REPLICAS: usize = 3;
/// Ids of the three replicas and of the one that follows a replaced disk.
const IDS: usize = REPLICAS + 1;
const MAX_RECORDS: usize = 4;
const MAX_TERMS: usize = 5;

/// Bounds of the search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Highest term.
    pub terms: u8,
    /// Records in a log, at most four.
    pub records: u8,
    /// Different edits.
    pub edits: u8,
    /// Times that an edit may be in one log, because its client has sent it again.
    pub copies: u8,
    /// Crashes.
    pub crashes: u8,
    /// Whether a disk may be replaced.
    pub replaces_disk: bool,
}

/// A rule that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A vote is sent before it is synced.
    VoteBeforeSync,
    /// A replica with an empty disk keeps the id of the one before and votes in its place.
    AmnesiacVote,
    /// A leader commits a record of an earlier term by counting its copies.
    CommitOlderTerm,
    /// A repeated edit takes effect again.
    EffectPerCopy,
}

/// A broken invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A term has two leaders.
    TwoLeaders,
    /// A committed record was replaced by another.
    CommittedChanged,
    /// An edit took effect twice.
    EffectTwice,
}

/// Result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// States visited.
    pub states: usize,
    /// States in which the replica of a replaced disk is removed by a committed record.
    pub repaired_states: usize,
    /// First violation found; the search ends there.
    pub violation: Option<Violation>,
}

/// Visits all states within `bounds`, or until one breaks an invariant.
pub fn explore(bounds: Bounds, fault: Option<Fault>) -> Report {
    let spec = Spec { bounds, fault };
    let mut report = Report {
        states: 0,
        repaired_states: 0,
        violation: None,
    };
    for state in bfs_reach(State::new(), |state| spec.successors(state)) {
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
enum Content {
    Edit(u8),
    /// Adds the replica that follows the replaced disk.
    Add,
    /// Removes the replica whose disk was replaced.
    Remove(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Record {
    term: u8,
    content: Content,
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

    /// Term and number of the last record, by which logs are compared in a vote.
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

    /// The voters by id. A member list is in force as soon as it is in the log.
    fn voters(&self) -> Ids {
        let start = Ids((1 << REPLICAS) - 1);
        self.iter()
            .fold(start, |voters, record| match record.content {
                Content::Edit(_) => voters,
                Content::Add => voters.with(REPLICAS),
                Content::Remove(id) => voters.without(usize::from(id)),
            })
    }
}

/// A set of replica ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Ids(u8);

impl Ids {
    fn with(self, id: usize) -> Self {
        Self(self.0 | 1 << id)
    }

    fn without(self, id: usize) -> Self {
        Self(self.0 & !(1 << id))
    }

    fn has(self, id: usize) -> bool {
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

/// Term and vote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Ballot {
    term: u8,
    vote: Option<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Replica {
    id: u8,
    ballot: Ballot,
    synced_ballot: Ballot,
    log: Log,
    role: Role,
    votes: Ids,
    /// Records that each member has confirmed to this leader.
    matched: [u8; IDS],
    commit: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: [Replica; REPLICAS],
    crashes: u8,
    /// Slot of the replaced disk.
    replaced: Option<u8>,
    leaders: [Option<u8>; MAX_TERMS],
    /// Everything that any leader has committed.
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
            .any(|record| matches!(record.content, Content::Remove(_)))
    }
}

impl Replica {
    fn follow(&mut self, term: u8) {
        if term > self.ballot.term {
            self.ballot = Ballot { term, vote: None };
        }
        self.stop_leading();
    }

    fn stop_leading(&mut self) {
        self.role = Role::Follower;
        self.votes = Ids::default();
        self.matched = [0; IDS];
        self.commit = 0;
    }
}

struct Spec {
    bounds: Bounds,
    fault: Option<Fault>,
}

impl Spec {
    fn successors(&self, state: &State) -> Vec<State> {
        if state.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for slot in 0..REPLICAS {
            next.extend(self.stand(state, slot));
            next.extend(sync(state, slot));
            next.extend(self.crash(state, slot));
            next.extend(self.replace_disk(state, slot));
            next.extend(self.change_members(state, slot));
            for edit in 0..self.bounds.edits {
                next.extend(self.propose(state, slot, edit));
            }
            for other in (0..REPLICAS).filter(|other| *other != slot) {
                next.extend(self.vote(state, slot, other));
                next.extend(self.receive_vote(state, slot, other));
                next.extend(self.append(state, slot, other));
                next.extend(self.confirm(state, slot, other));
            }
        }
        next
    }

    /// A voter stands for election; one that leads has lost its quorum.
    fn stand(&self, state: &State, slot: usize) -> Option<State> {
        let mut next = *state;
        let replica = &mut next.replicas[slot];
        let is_voter = replica.log.voters().has(usize::from(replica.id));
        if replica.ballot.term >= self.bounds.terms || !is_voter {
            return None;
        }
        replica.stop_leading();
        replica.ballot = Ballot {
            term: replica.ballot.term + 1,
            vote: Some(replica.id),
        };
        replica.role = Role::Candidate;
        self.sync_without_crashes(&mut next, slot);
        Some(next)
    }

    /// Without crashes, a sync that happens later is the same as a change that happens later.
    fn sync_without_crashes(&self, state: &mut State, slot: usize) {
        if self.bounds.crashes == 0 {
            sync_now(state, slot);
        }
    }

    /// The request of the candidate in `other` reaches the replica in `slot`.
    fn vote(&self, state: &State, slot: usize, other: usize) -> Option<State> {
        let candidate = state.replicas[other];
        let mut next = *state;
        let voter = &mut next.replicas[slot];
        let is_asking =
            candidate.role == Role::Candidate && candidate.synced_ballot == candidate.ballot;
        if !is_asking || candidate.ballot.term < voter.ballot.term {
            return None;
        }
        if candidate.ballot.term > voter.ballot.term {
            voter.follow(candidate.ballot.term);
        }
        let is_free = voter.ballot.vote.is_none();
        if is_free && candidate.log.last() >= voter.log.last() {
            voter.ballot.vote = Some(candidate.id);
        }
        self.sync_without_crashes(&mut next, slot);
        (next != *state).then_some(next)
    }

    /// The vote of `other` reaches the candidate in `slot`.
    fn receive_vote(&self, state: &State, slot: usize, other: usize) -> Option<State> {
        let candidate = state.replicas[slot];
        let voter = state.replicas[other];
        let ballot = match self.fault {
            Some(Fault::VoteBeforeSync) => voter.ballot,
            _ => voter.synced_ballot,
        };
        let wanted = Ballot {
            term: candidate.ballot.term,
            vote: Some(candidate.id),
        };
        let is_new = !candidate.votes.has(usize::from(voter.id));
        if candidate.role != Role::Candidate || ballot != wanted || !is_new {
            return None;
        }
        let mut next = *state;
        let candidate = &mut next.replicas[slot];
        candidate.votes = candidate.votes.with(usize::from(voter.id));
        elect(&mut next, slot);
        Some(next)
    }

    /// A client's edit reaches a leader, perhaps again.
    fn propose(&self, state: &State, slot: usize, edit: u8) -> Option<State> {
        let content = Content::Edit(edit);
        let log = &state.replicas[slot].log;
        let copies = log
            .iter()
            .filter(|record| record.content == content)
            .count();
        if copies >= usize::from(self.bounds.copies) {
            return None;
        }
        self.append_own(state, slot, content)
    }

    /// A leader adds the follower of a replaced disk once it has the whole log, then removes the
    /// one before.
    fn change_members(&self, state: &State, slot: usize) -> Option<State> {
        let leader = state.replicas[slot];
        let replaced = state.replaced?;
        let length = leader.log.len();
        let is_term_committed = leader
            .log
            .iter()
            .last()
            .is_some_and(|record| record.term == leader.ballot.term);
        if usize::from(leader.commit) < length || !is_term_committed {
            return None;
        }
        let voters = leader.log.voters();
        if !voters.has(REPLICAS) {
            let is_caught_up = usize::from(leader.matched[REPLICAS]) == length;
            return is_caught_up
                .then(|| self.append_own(state, slot, Content::Add))
                .flatten();
        }
        if !voters.has(usize::from(replaced)) {
            return None;
        }
        self.append_own(state, slot, Content::Remove(replaced))
    }

    fn append_own(&self, state: &State, slot: usize, content: Content) -> Option<State> {
        let mut next = *state;
        let leader = &mut next.replicas[slot];
        if leader.role != Role::Leader || leader.log.len() >= usize::from(self.bounds.records) {
            return None;
        }
        let term = leader.ballot.term;
        leader.log.push(Record { term, content });
        Some(next)
    }

    /// The leader in `slot` sends `other` its next record, which replaces a different one.
    fn append(&self, state: &State, slot: usize, other: usize) -> Option<State> {
        let leader = state.replicas[slot];
        let mut next = *state;
        let follower = &mut next.replicas[other];
        if leader.role != Role::Leader || follower.ballot.term > leader.ballot.term {
            return None;
        }
        follower.follow(leader.ballot.term);
        let shared = leader.log.shared_prefix(&follower.log);
        if shared < leader.log.len() {
            follower.log = leader.log.prefix(shared + 1);
        }
        // A record is synced with the term of its leader.
        if follower.log != state.replicas[other].log {
            follower.synced_ballot = follower.ballot;
        }
        self.sync_without_crashes(&mut next, other);
        (next != *state).then_some(next)
    }

    /// The leader in `slot` learns how many records `other` has synced.
    fn confirm(&self, state: &State, slot: usize, other: usize) -> Option<State> {
        let leader = state.replicas[slot];
        let follower = state.replicas[other];
        let is_following = follower.synced_ballot.term == leader.ballot.term;
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

    /// A leader commits what a majority of the voters holds.
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
                    .fold(Ids::default(), Ids::with);
                let term = leader.log.records[length - 1].map(|record| record.term);
                let is_own_term = term == Some(leader.ballot.term);
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
        if self.has_repeated_effect(&committed) {
            state.violation = Some(Violation::EffectTwice);
        }
    }

    /// Applies a log and says whether an edit took effect twice.
    fn has_repeated_effect(&self, log: &Log) -> bool {
        let mut effects = [0_u8; MAX_RECORDS];
        for record in log.iter() {
            if let Content::Edit(edit) = record.content {
                let effect = &mut effects[usize::from(edit)];
                let is_repeated = *effect > 0;
                if !is_repeated || self.fault == Some(Fault::EffectPerCopy) {
                    *effect += 1;
                }
            }
        }
        effects.iter().any(|effect| *effect > 1)
    }

    fn crash(&self, state: &State, slot: usize) -> Option<State> {
        if state.crashes >= self.bounds.crashes {
            return None;
        }
        let mut next = *state;
        next.crashes += 1;
        let replica = &mut next.replicas[slot];
        replica.stop_leading();
        replica.ballot = replica.synced_ballot;
        Some(next)
    }

    fn replace_disk(&self, state: &State, slot: usize) -> Option<State> {
        if !self.bounds.replaces_disk || state.replaced.is_some() {
            return None;
        }
        let mut next = *state;
        let slot_number = u8::try_from(slot).ok()?;
        let id = match self.fault {
            Some(Fault::AmnesiacVote) => slot_number,
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
    replica.synced_ballot = replica.ballot;
    if replica.role == Role::Candidate {
        replica.votes = replica.votes.with(usize::from(replica.id));
    }
}

/// Makes a candidate with a majority the leader.
fn elect(state: &mut State, slot: usize) {
    let candidate = &mut state.replicas[slot];
    if !candidate.votes.has_majority_of(candidate.log.voters()) {
        return;
    }
    candidate.role = Role::Leader;
    candidate.votes = Ids::default();
    let leader = &mut state.leaders[usize::from(candidate.ballot.term)];
    if leader.is_some_and(|first| first != candidate.id) {
        state.violation = Some(Violation::TwoLeaders);
    }
    *leader = Some(candidate.id);
}
