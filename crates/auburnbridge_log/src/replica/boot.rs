//! Boot check: a restarted replica votes and counts towards the quorum only after its peers have
//! confirmed that its boot, that is, this start from its data folder, is new to them. Without the
//! check, a replica restored from an outdated copy of its data folder could lack a vote or a record
//! that the group relies on.
//!
//! A boot is confirmed by a majority of the other voters. Any two such majorities share a replica,
//! so an outdated copy reaches a peer that knows the later boot. Under this rule alone, if one of
//! three voters is lost permanently, the other two could never restart. After
//! [`GRACE_ELECTION_TIMEOUTS`], fewer confirmations therefore suffice: the replica counts itself
//! towards a quorum. An outdated copy then passes only if no peer that replies has heard of a later
//! boot, that is, if each was unreachable for as long as the replica ran after that boot. A single
//! rejection at any time is final.

use std::collections::BTreeSet;

use auburnbridge_types::{Millis, Timestamp, VmId};

use super::Replica;
use crate::hard_state::MAX_PEERS;
use crate::{Body, Boot, Output, PeerBoot, ReplicaId};

/// Time for which a boot waits for a majority of the other voters, in election timeouts.
const GRACE_ELECTION_TIMEOUTS: u64 = 10;

/// Interval at which the check of a confirmed boot is resent to members that have not accepted it,
/// in election timeouts.
const RECHECK_ELECTION_TIMEOUTS: u64 = 10;

#[derive(Clone, Debug)]
pub(super) struct BootState {
    accepted_by: BTreeSet<ReplicaId>,
    next_check: Timestamp,
    started_at: Timestamp,
}

impl BootState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            accepted_by: BTreeSet::new(),
            next_check: now,
            started_at: now,
        }
    }
}

impl Replica {
    /// Whether this replica may vote, become a candidate and count towards the quorum.
    pub(super) fn counts_in_quorum(&self) -> bool {
        self.hard_state.boot.confirmed && !self.hard_state.superseded
    }

    /// Confirms the boot if possible, and sends a check to the members that have not accepted it.
    pub(super) fn advance_boot_check(&mut self) {
        self.confirm_boot_if_accepted();
        if self.monotonic_now < self.boot.next_check || self.hard_state.superseded {
            return;
        }
        let timeouts = if self.counts_in_quorum() {
            RECHECK_ELECTION_TIMEOUTS
        } else {
            1
        };
        let interval = Millis(self.config.election_timeout.0 * timeouts);
        self.boot.next_check = self.monotonic_now.after(interval);
        let boot = self.hard_state.boot.clone();
        let not_accepted: Vec<_> = self
            .members()
            .iter()
            .filter(|member| member.replica != self.id)
            .filter(|member| !self.boot.accepted_by.contains(&member.replica))
            .map(|member| (member.vm.clone(), member.replica))
            .collect();
        for (vm, replica) in not_accepted {
            let body = Body::BootCheck {
                counter: boot.counter,
                nonce: boot.nonce,
                unconfirmed_nonces: boot.unconfirmed_nonces.clone(),
            };
            self.send(vm, replica, body);
        }
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
        let grace = Millis(self.config.election_timeout.0 * GRACE_ELECTION_TIMEOUTS);
        let required = if self.monotonic_now < self.boot.started_at.after(grace) {
            members.majority_of_others(self.id)
        } else {
            members.quorum() - 1
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
        }
        let reply = Body::BootReply {
            counter,
            nonce,
            accepted,
        };
        self.send_after_sync(from.clone(), sender, reply);
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
