//! Boot check: a restarted replica votes and counts towards the quorum only after its peers have
//! confirmed that its boot, that is, this start from its data folder, is new to them. Without the
//! check, a replica restored from an outdated copy of its data folder could lack a vote or a record
//! that the group relies on.
//!
//! A boot is confirmed by a majority of the other voters. Any two such majorities share a replica,
//! so an outdated copy reaches a peer that knows the later boot. Under this rule alone, if one of
//! three voters is lost permanently, the other two could never restart. Fewer confirmations, with
//! which the replica counts itself towards a quorum, therefore suffice if both hold:
//!
//! - It has asked the other voters for [`GRACE_ELECTION_TIMEOUTS`].
//! - None of them has a live leader. As long as the group has one, it has a quorum without this
//!   replica, which can wait for the peers that do not reply.
//!
//! An outdated copy then passes only if the group has no leader, and each peer that has heard of a
//! later boot is unreachable. A single rejection at any time is final.

use std::collections::BTreeSet;

use auburnbridge_types::{Millis, Timestamp, VmId};
use rand::Rng;

use super::Replica;
use crate::hard_state::MAX_PEERS;
use crate::{Body, Boot, Output, PeerBoot, ReplicaId};

/// Time for which a boot waits for a majority of the other voters, in election timeouts. An election
/// and the replacement of a lost member follow it, and together they must be faster than the next
/// loss (see `replacement_limit` of the control settings).
const GRACE_ELECTION_TIMEOUTS: u64 = 6;

/// Time after the last notice of a live leader from which the group counts as leaderless, in election
/// timeouts.
const LEADERLESS_ELECTION_TIMEOUTS: u64 = 2;

/// Interval at which the check of a confirmed boot is resent to members that have not accepted it,
/// in election timeouts.
const RECHECK_ELECTION_TIMEOUTS: u64 = 10;

#[derive(Clone, Debug)]
pub(super) struct BootState {
    accepted_by: BTreeSet<ReplicaId>,
    next_check: Timestamp,
    started_at: Timestamp,
    /// Time of the latest notice that a peer has a live leader.
    live_leader_noticed_at: Option<Timestamp>,
    /// Voters that the latest [`Output::BootUnconfirmed`] named.
    reported_missing: Vec<VmId>,
}

impl BootState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            accepted_by: BTreeSet::new(),
            next_check: now,
            started_at: now,
            live_leader_noticed_at: None,
            reported_missing: Vec::new(),
        }
    }
}

impl Replica {
    /// Whether this replica may vote, become a candidate and count towards the quorum.
    pub(super) fn counts_in_quorum(&self) -> bool {
        self.hard_state.boot.confirmed && !self.hard_state.superseded
    }

    /// Confirms the boot if possible, and sends the check: to all members while the boot is
    /// unconfirmed, since those that have accepted it also tell whether the group has a leader, and
    /// then to the members that have not accepted it.
    pub(super) fn advance_boot_check(&mut self) {
        self.confirm_boot_if_accepted();
        if self.monotonic_now < self.boot.next_check || self.hard_state.superseded {
            return;
        }
        let is_confirmed = self.counts_in_quorum();
        let timeouts = if is_confirmed {
            RECHECK_ELECTION_TIMEOUTS
        } else {
            1
        };
        self.boot.next_check = self.monotonic_now.after(self.election_timeouts(timeouts));
        let boot = self.hard_state.boot.clone();
        let receivers: Vec<_> = self
            .members()
            .iter()
            .filter(|member| member.replica != self.id)
            .filter(|member| !is_confirmed || !self.boot.accepted_by.contains(&member.replica))
            .map(|member| (member.vm.clone(), member.replica))
            .collect();
        for (vm, replica) in receivers {
            let body = Body::BootCheck {
                counter: boot.counter,
                nonce: boot.nonce,
                unconfirmed_nonces: boot.unconfirmed_nonces.clone(),
            };
            self.send(vm, replica, body);
        }
        self.report_unconfirmed();
    }

    fn election_timeouts(&self, count: u64) -> Millis {
        Millis(self.config.election_timeout.0 * count)
    }

    /// Outputs the voters that have not accepted the boot, if they have changed.
    fn report_unconfirmed(&mut self) {
        if self.counts_in_quorum() || !self.has_asked_for(1) {
            return;
        }
        let missing: Vec<_> = self
            .members()
            .voters()
            .filter(|member| member.replica != self.id)
            .filter(|member| !self.boot.accepted_by.contains(&member.replica))
            .map(|member| member.vm.clone())
            .collect();
        if missing != self.boot.reported_missing {
            self.boot.reported_missing.clone_from(&missing);
            self.outputs.push(Output::BootUnconfirmed { missing });
        }
    }

    /// Whether the other voters have been asked for this number of election timeouts.
    fn has_asked_for(&self, election_timeouts: u64) -> bool {
        let asked = self.monotonic_now.since(self.boot.started_at);
        asked >= self.election_timeouts(election_timeouts)
    }

    fn group_has_leader(&self) -> bool {
        let limit = self.election_timeouts(LEADERLESS_ELECTION_TIMEOUTS);
        let noticed = self.boot.live_leader_noticed_at;
        self.knows_live_leader()
            || noticed.is_some_and(|noticed| self.monotonic_now.since(noticed) < limit)
    }

    /// Confirms the boot if enough of the current voters have accepted it.
    fn confirm_boot_if_accepted(&mut self) {
        let members = self.members();
        if members.is_empty() {
            return;
        }
        let accepted = members
            .voters()
            .filter(|member| self.boot.accepted_by.contains(&member.replica))
            .count();
        let is_reduced = self.has_asked_for(GRACE_ELECTION_TIMEOUTS) && !self.group_has_leader();
        let required = if is_reduced {
            members.quorum() - 1
        } else {
            members.majority_of_others(self.id)
        };
        let enough = accepted >= required;
        // The process that created the data folder knows that it is not a copy.
        let is_first_boot =
            self.hard_state.boot.counter == 1 && self.hard_state.boot.unconfirmed_nonces.is_empty();
        if enough || is_first_boot {
            self.confirm_boot();
        }
    }

    fn confirm_boot(&mut self) {
        if self.hard_state.boot.confirmed || self.hard_state.superseded {
            return;
        }
        self.hard_state.boot.confirmed = true;
        self.writes.mark_hard_state_dirty();
        self.outputs.push(Output::BootConfirmed);
        self.advance_election_deadline();
    }

    /// Starts the next election soon if there is no leader. The group may have waited for this boot,
    /// and the election deadlines that passed in the meantime had no effect.
    fn advance_election_deadline(&mut self) {
        if self.has_live_leader() {
            return;
        }
        // Replicas whose boots are confirmed at the same time would split the votes.
        let delay = self
            .rng
            .random_range(0..=self.config.election_timeout.0 / 2);
        let deadline = self.monotonic_now.after(Millis(delay));
        self.election_deadline = self.election_deadline.min(deadline);
    }

    pub(super) fn handle_boot_check(
        &mut self,
        from: &VmId,
        sender: ReplicaId,
        counter: u64,
        nonce: u64,
        unconfirmed_nonces: Vec<u64>,
    ) {
        if self.hard_state.superseded || !self.reserve_peer_slot(sender) {
            return;
        }
        let known = self.hard_state.peers.get(&sender).copied();
        let boot = Boot {
            counter,
            nonce,
            unconfirmed_nonces,
            confirmed: false,
        };
        let accepted = boot.is_new_to(known);
        let peer = PeerBoot { counter, nonce };
        if accepted && known != Some(peer) {
            self.hard_state.peers.insert(sender, peer);
            self.writes.mark_hard_state_dirty();
            // Requests from before its start could not be answered.
            self.unanswered.forget(sender);
        }
        let reply = Body::BootReply {
            counter,
            nonce,
            accepted,
        };
        self.send_after_sync(from.clone(), sender, reply);
        if accepted && self.knows_live_leader() {
            self.send(from.clone(), sender, Body::LiveLeader);
        }
    }

    pub(super) fn handle_live_leader(&mut self, sender: ReplicaId) {
        if self.members().is_voter(sender) {
            self.boot.live_leader_noticed_at = Some(self.monotonic_now);
        }
    }

    /// Ensures that the boot table can hold `sender`, evicting a non-member for a member if it is
    /// full. Returns whether it can.
    fn reserve_peer_slot(&mut self, sender: ReplicaId) -> bool {
        let peers = &self.hard_state.peers;
        if peers.contains_key(&sender) || peers.len() < MAX_PEERS {
            return true;
        }
        if self.members().get(sender).is_none() {
            return false;
        }
        let members = self.members();
        let non_member = peers
            .keys()
            .copied()
            .find(|peer| members.get(*peer).is_none());
        if let Some(non_member) = non_member {
            self.hard_state.peers.remove(&non_member);
        }
        non_member.is_some()
    }

    pub(super) fn handle_boot_reply(
        &mut self,
        sender: ReplicaId,
        counter: u64,
        nonce: u64,
        accepted: bool,
    ) {
        let boot = &self.hard_state.boot;
        if (counter, nonce) != (boot.counter, boot.nonce) || self.hard_state.superseded {
            return;
        }
        if accepted {
            self.boot.accepted_by.insert(sender);
            return self.confirm_boot_if_accepted();
        }
        self.hard_state.superseded = true;
        self.writes.mark_hard_state_dirty();
        self.outputs.push(Output::FolderSuperseded);
        self.become_follower(self.hard_state.term);
    }
}
