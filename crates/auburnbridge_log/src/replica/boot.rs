//! The boot check: a restarted replica votes and counts only after its peers have confirmed that
//! its start is new to them. Otherwise a restored copy of the folder could forget a vote or a
//! record that the group relies on.
//!
//! A start is confirmed by a majority of the other voters, of which any two share a replica, so that
//! an old copy meets one that knows a later start. With one of three voters lost for good, the
//! others could never restart under this rule. After [`GRACE_TIMEOUTS`] a start is therefore
//! confirmed by a quorum that includes the replica itself. An old copy then passes only if each
//! peer that answers was out of its reach for all of the later start; a single refusal at any time
//! is final.

use std::collections::BTreeSet;

use auburnbridge_types::{Millis, Timestamp, VmId};

use super::Replica;
use crate::hard_state::MAX_PEERS;
use crate::{Body, Boot, Output, PeerBoot, ReplicaId};

/// Election timeouts for which a start waits for a majority of the other voters.
const GRACE_TIMEOUTS: u64 = 10;

/// Election timeouts between two announcements to members that have not answered, once a quorum
/// has.
const ANNOUNCE_TIMEOUTS: u64 = 10;

#[derive(Clone, Debug)]
pub(super) struct BootState {
    accepted_by: BTreeSet<ReplicaId>,
    next_check: Timestamp,
    started: Timestamp,
}

impl BootState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            accepted_by: BTreeSet::new(),
            next_check: now,
            started: now,
        }
    }
}

impl Replica {
    /// Whether this replica votes, stands for election and counts towards the quorum.
    pub(super) fn counts(&self) -> bool {
        self.hard.boot.confirmed && !self.hard.superseded
    }

    /// Asks the members that have not recorded this start.
    pub(super) fn check_boot(&mut self) {
        self.confirm_boot_by_quorum();
        if self.now < self.boot.next_check || self.hard.superseded {
            return;
        }
        let timeouts = if self.counts() { ANNOUNCE_TIMEOUTS } else { 1 };
        let interval = Millis(self.config.election_timeout.0 * timeouts);
        self.boot.next_check = self.now.after(interval);
        let boot = self.hard.boot.clone();
        let unasked: Vec<_> = self
            .members()
            .iter()
            .filter(|member| member.replica != self.id)
            .filter(|member| !self.boot.accepted_by.contains(&member.replica))
            .map(|member| (member.vm.clone(), member.replica))
            .collect();
        for (vm, replica) in unasked {
            let body = Body::BootCheck {
                counter: boot.counter,
                nonce: boot.nonce,
                attempts: boot.attempts.clone(),
            };
            self.send(vm, replica, body);
        }
    }

    /// Confirms the boot if enough of the present members have accepted it.
    fn confirm_boot_by_quorum(&mut self) {
        let members = self.members();
        if members.is_empty() {
            return;
        }
        let accepted = members
            .voters()
            .filter(|member| self.boot.accepted_by.contains(&member.replica))
            .count();
        let grace = Millis(self.config.election_timeout.0 * GRACE_TIMEOUTS);
        let needed = if self.now < self.boot.started.after(grace) {
            members.majority_of_others(self.id)
        } else {
            members.quorum() - 1
        };
        let enough = accepted >= needed;
        // The process that creates a folder knows that it is no copy.
        let first = self.hard.boot.counter == 1 && self.hard.boot.attempts.is_empty();
        if enough || first {
            self.confirm_boot();
        }
    }

    fn confirm_boot(&mut self) {
        if self.hard.boot.confirmed || self.hard.superseded {
            return;
        }
        self.hard.boot.confirmed = true;
        self.writer.mark_hard_state();
        self.outputs.push(Output::BootConfirmed);
    }

    pub(super) fn handle_boot_check(
        &mut self,
        from: &VmId,
        sender: ReplicaId,
        counter: u64,
        nonce: u64,
        attempts: Vec<u64>,
    ) {
        if self.hard.superseded || !self.make_room_for_peer(sender) {
            return;
        }
        let known = self.hard.peers.get(&sender).copied();
        let boot = Boot {
            counter,
            nonce,
            attempts,
            confirmed: false,
        };
        let accepted = boot.is_new_to(known);
        let peer = PeerBoot { counter, nonce };
        if accepted && known != Some(peer) {
            self.hard.peers.insert(sender, peer);
            self.writer.mark_hard_state();
        }
        let reply = Body::BootReply {
            counter,
            nonce,
            accepted,
        };
        self.send_synced(from.clone(), sender, reply);
    }

    /// Makes sure that the table of peers has a place for `sender`; members displace others.
    fn make_room_for_peer(&mut self, sender: ReplicaId) -> bool {
        let peers = &self.hard.peers;
        if peers.contains_key(&sender) || peers.len() < MAX_PEERS {
            return true;
        }
        if self.members().get(sender).is_none() {
            return false;
        }
        let members = self.members();
        let stranger = peers
            .keys()
            .copied()
            .find(|peer| members.get(*peer).is_none());
        if let Some(stranger) = stranger {
            self.hard.peers.remove(&stranger);
        }
        stranger.is_some()
    }

    pub(super) fn handle_boot_reply(
        &mut self,
        sender: ReplicaId,
        counter: u64,
        nonce: u64,
        accepted: bool,
    ) {
        let boot = &self.hard.boot;
        if (counter, nonce) != (boot.counter, boot.nonce) || self.hard.superseded {
            return;
        }
        if accepted {
            self.boot.accepted_by.insert(sender);
            return self.confirm_boot_by_quorum();
        }
        self.hard.superseded = true;
        self.writer.mark_hard_state();
        self.outputs.push(Output::FolderSuperseded);
        self.become_follower(self.hard.term);
    }
}
