//! Leases of this gateway's share to the owners of each group.
//!
//! The owner counts a lease from a time that it stated itself, and this gateway from the later time at
//! which it sent the lease. So the lease ends at the owner first, however late a message arrives and
//! however long either of them was suspended. A part is leased to another owner only afterwards.

use std::collections::BTreeMap;

use auburnbridge_types::{Millis, Timestamp};

use super::message::{Echo, GatewayId, Lease, LeaseAck, OwnerTerm, SentNumber};
use super::ranking::{AccountGroup, Ranking};
use super::{GROUPS, OWNERS};

/// Duration of a lease in a fleet of up to [`GATEWAYS_PER_STEP`] gateways. It grows with their
/// number, since an owner hears from all of them.
const LEASE_DURATION: Millis = Millis(2_100);
/// Renewals per duration of a lease.
const RENEWALS: u64 = 3;
/// Number of gateways per step of [`LEASE_DURATION`].
const GATEWAYS_PER_STEP: u64 = 256;
/// Time for which this gateway takes a lease to last longer than its owner. It covers clocks that run
/// at slightly different speeds.
const EXPIRY_MARGIN: Millis = Millis(50);
/// Interval at which an unanswered lease is sent again.
const RESEND_INTERVAL: Millis = Millis(120);
/// Time without an answer after which a gateway counts as silent.
const SILENCE: Millis = Millis(400);
/// Time in which the other gateways learn of a new one.
const LISTING_TIME: Millis = Millis(2_900);
/// Time without a new gateway in the list after which it is taken to be complete.
const QUIET_TIME: Millis = Millis(1_000);
/// Number of gateways from which on a start isn't confirmed by each of them.
const MAX_CONFIRMING: usize = 256;
/// Number of gateways of each group that are kept in contact.
const CONTACTS: usize = OWNERS + 1;

/// Another gateway as an owner.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Latest time that it stated.
    echo: Option<Echo>,
    last_sent: Option<Timestamp>,
    last_number: SentNumber,
    /// Time of the first message since its latest answer.
    unanswered_since: Option<Timestamp>,
    has_answered: bool,
    /// Parts of the latest lease.
    parts: u32,
    /// Whether a lease is due at once.
    is_urgent: bool,
}

impl Peer {
    fn is_silent(&self, now: Timestamp) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= SILENCE)
    }

    fn is_due(&self, now: Timestamp, renewal: Millis) -> bool {
        let is_resend = self.unanswered_since.is_some() && !self.is_silent(now);
        let interval = if is_resend { RESEND_INTERVAL } else { renewal };
        self.is_urgent
            || self
                .last_sent
                .is_none_or(|sent| now.since(sent) >= interval)
    }
}

/// One part of this gateway's share of a group.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    owner: Option<GatewayId>,
    /// The owner of its latest lease.
    last_owner: Option<GatewayId>,
    /// Time at which the latest lease has ended for certain.
    free_at: Timestamp,
}

/// State of a gateway that leases its share to owners.
#[derive(Clone, Debug)]
pub(super) struct Delegator {
    own: GatewayId,
    /// Time of the first up-to-date list of gateways, or of the latest one with new gateways before
    /// the start.
    listed_at: Option<Timestamp>,
    /// Times from which the shares of other gateways, and what a former life of this one leased to
    /// them, leave room for the share of this one.
    clear_at: BTreeMap<GatewayId, Timestamp>,
    /// Whether shares are leased.
    has_started: bool,
    others: Vec<GatewayId>,
    ranking: Ranking,
    peers: BTreeMap<GatewayId, Peer>,
    parts: [[Part; OWNERS]; GROUPS],
    silent: Vec<GatewayId>,
}

impl Delegator {
    pub(super) fn new(own: GatewayId) -> Self {
        Self {
            own,
            listed_at: None,
            clear_at: BTreeMap::new(),
            has_started: false,
            others: Vec::new(),
            ranking: Ranking::of(&[own]),
            peers: BTreeMap::new(),
            parts: [[Part::default(); OWNERS]; GROUPS],
            silent: Vec::new(),
        }
    }

    /// Records that a list of gateways arrived, whether it has new ones, and whether it is up to date.
    pub(super) fn record_list(&mut self, now: Timestamp, has_new: bool, is_fresh: bool) {
        let is_first = self.listed_at.is_none() && is_fresh;
        let is_longer = self.listed_at.is_some() && has_new && !self.has_started;
        if is_first || is_longer {
            self.listed_at = Some(now);
        }
    }

    /// Whether shares are leased.
    pub(super) fn has_started(&self) -> bool {
        self.has_started
    }

    /// Starts to lease once the other gateways count this one, their leases of a greater share have
    /// ended, and so have the leases of a former life of this one: when all of them have confirmed
    /// it, or else after the time that it takes at most.
    fn start(&mut self, now: Timestamp, gateways: u32) {
        let Some(listed_at) = self.listed_at else {
            return;
        };
        let listed_for = now.since(listed_at);
        let is_clear = |other| self.clear_at.get(other).is_some_and(|time| *time <= now);
        let is_confirmed = listed_for >= QUIET_TIME && self.others.iter().all(is_clear);
        let longest = Millis(LISTING_TIME.0 + lease_duration(gateways).0);
        // One that none answers may not know of gateways that count although they aren't listed.
        let has_answer = self.others.is_empty() || !self.clear_at.is_empty();
        self.has_started |= is_confirmed || (has_answer && listed_for >= longest);
    }

    /// Records until when an owner holds what leaves no room for the share of this gateway.
    fn record_clear_time(&mut self, now: Timestamp, from: GatewayId, ack: &LeaseAck) {
        let greater_share_left = if ack.has_started {
            Millis(
                lease_duration(ack.gateways)
                    .0
                    .saturating_sub(ack.counted_for.0),
            )
        } else {
            Millis(0)
        };
        let left = greater_share_left.max(ack.former_lease_left);
        let clear_at = now.after(left).after(EXPIRY_MARGIN);
        let time = self.clear_at.entry(from).or_insert(clear_at);
        *time = clear_at.max(*time);
    }

    /// Replaces the gateways that may be owners. Returns whether they have changed.
    pub(super) fn set_gateways(&mut self, mut others: Vec<GatewayId>) -> bool {
        others.sort_unstable();
        if self.others == others {
            return false;
        }
        self.peers.retain(|gateway, _| others.contains(gateway));
        self.silent.retain(|gateway| others.contains(gateway));
        self.others.clone_from(&others);
        others.push(self.own);
        self.ranking = Ranking::of(&others);
        true
    }

    /// The gateways to ask about accounts of a group, best first.
    pub(super) fn owners(&self, now: Timestamp, group: AccountGroup) -> Vec<GatewayId> {
        self.best(group, OWNERS, |gateway| !self.is_silent(now, gateway))
    }

    /// Records the answer of an owner.
    pub(super) fn record_ack(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        term: OwnerTerm,
        ack: &LeaseAck,
    ) {
        if !self.has_started {
            self.record_clear_time(now, from, ack);
        }
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if ack.number == peer.last_number {
            peer.unanswered_since = None;
            peer.has_answered = true;
        }
        let former = peer.echo;
        let is_same_life = former.is_some_and(|echo| echo.term == term);
        if is_same_life && former.is_some_and(|echo| echo.time >= ack.time) {
            return;
        }
        peer.echo = Some(Echo {
            term,
            time: ack.time,
        });
        if !is_same_life {
            // It holds no lease of this gateway.
            peer.is_urgent = true;
        }
    }

    /// Sends a lease soon, since the gateway left an ask without a reply.
    pub(super) fn probe(&mut self, silent: GatewayId) {
        if let Some(peer) = self.peers.get_mut(&silent) {
            peer.is_urgent |= peer.unanswered_since.is_none();
        }
    }

    /// Gives all gateways time to answer, after this one was suspended.
    pub(super) fn excuse_silence(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut() {
            if peer.unanswered_since.is_some() {
                peer.unanswered_since = Some(now);
                peer.is_urgent = true;
            }
        }
    }

    /// The leases to other gateways that are due, in a fleet of `gateways`.
    pub(super) fn due_leases(
        &mut self,
        now: Timestamp,
        used: &[bool; GROUPS],
        gateways: u32,
    ) -> Vec<(GatewayId, Lease)> {
        self.start(now, gateways);
        let mut recipients: Vec<GatewayId> = Vec::new();
        if !self.has_started && self.others.len() < MAX_CONFIRMING {
            recipients.clone_from(&self.others);
        }
        for group in AccountGroup::all().filter(|group| used[group.0]) {
            self.assign_parts(now, group);
            recipients.extend(self.best(group, CONTACTS, |_| true));
            recipients.extend(self.best(group, CONTACTS, |gateway| !self.is_silent(now, gateway)));
        }
        recipients.extend(self.parts.iter().flatten().filter_map(|part| part.owner));
        recipients.extend(
            self.peers
                .iter()
                .filter(|(_, peer)| peer.parts != 0)
                .map(|(to, _)| *to),
        );
        recipients.sort_unstable();
        recipients.dedup();
        recipients.retain(|to| *to != self.own);
        let mut due = Vec::new();
        for to in recipients {
            if let Some(lease) = self.due_lease(now, to, gateways) {
                due.push((to, lease));
            }
        }
        due
    }

    /// The lease of this gateway to itself, without an echo.
    pub(super) fn own_lease(&mut self, now: Timestamp, gateways: u32) -> Lease {
        let lease = Lease {
            echo: None,
            duration: lease_duration(gateways),
            gateways,
            parts: self.parts_of(self.own),
        };
        self.extend(now, &lease);
        lease
    }

    /// Records the number under which a lease was sent.
    pub(super) fn record_sent(&mut self, now: Timestamp, to: GatewayId, number: SentNumber) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.last_number = number;
            peer.last_sent = Some(now);
            peer.unanswered_since.get_or_insert(now);
        }
    }

    /// Gateways that became silent, or answered again, since the last call.
    pub(super) fn contact_changes(&mut self, now: Timestamp) -> Vec<(GatewayId, bool)> {
        let peers = self.peers.iter();
        let silent: Vec<GatewayId> = peers
            .filter(|(_, peer)| peer.is_silent(now))
            .map(|(gateway, _)| *gateway)
            .collect();
        let former = std::mem::replace(&mut self.silent, silent);
        let appeared = self
            .silent
            .iter()
            .filter(|gateway| !former.contains(gateway));
        let ended = former
            .iter()
            .filter(|gateway| !self.silent.contains(gateway));
        let appeared = appeared.map(|gateway| (*gateway, true));
        appeared
            .chain(ended.map(|gateway| (*gateway, false)))
            .collect()
    }

    fn is_silent(&self, now: Timestamp, gateway: GatewayId) -> bool {
        let peer = self.peers.get(&gateway);
        peer.is_some_and(|peer| peer.is_silent(now))
    }

    /// Whether a gateway may get a part: this one, or one that answers.
    fn is_responsive(&self, now: Timestamp, gateway: GatewayId) -> bool {
        let peer = self.peers.get(&gateway);
        gateway == self.own || peer.is_some_and(|peer| peer.has_answered && !peer.is_silent(now))
    }

    /// The highest ranked gateways of a group that are suitable; this gateway if none is.
    fn best(
        &self,
        group: AccountGroup,
        count: usize,
        is_suitable: impl Fn(GatewayId) -> bool,
    ) -> Vec<GatewayId> {
        let candidates = self.ranking.candidates(group).iter().copied();
        let suitable = candidates.filter(|gateway| is_suitable(*gateway));
        let mut best: Vec<GatewayId> = suitable.take(count).collect();
        if best.is_empty() {
            best.push(self.own);
        }
        best
    }

    /// Assigns the parts of a group to the best owners. A part stays with an owner that is still one
    /// of them, and gets another one only when its lease has ended.
    fn assign_parts(&mut self, now: Timestamp, group: AccountGroup) {
        if !self.has_started {
            return;
        }
        let owners = self.best(group, OWNERS, |gateway| self.is_responsive(now, gateway));
        for at in 0..OWNERS {
            let others: Vec<GatewayId> = (0..OWNERS)
                .filter(|other| *other != at)
                .filter_map(|other| self.parts[group.0][other].owner)
                .collect();
            let part = &mut self.parts[group.0][at];
            let is_taken = |owner: &GatewayId| others.contains(owner);
            let may_double = owners.len() < OWNERS;
            let is_suitable =
                |owner: &GatewayId| owners.contains(owner) && (may_double || !is_taken(owner));
            if part.owner.as_ref().is_some_and(is_suitable) {
                continue;
            }
            part.owner = if now < part.free_at {
                part.last_owner.filter(is_suitable)
            } else {
                let free = owners.iter().find(|owner| !is_taken(owner));
                free.or(owners.first().filter(|_| may_double)).copied()
            };
        }
    }

    fn due_lease(&mut self, now: Timestamp, to: GatewayId, gateways: u32) -> Option<Lease> {
        let lease = Lease {
            echo: None,
            duration: lease_duration(gateways),
            gateways,
            parts: self.parts_of(to),
        };
        let peer = self.peers.entry(to).or_default();
        if !peer.is_due(now, Millis(lease.duration.0 / RENEWALS)) && peer.parts == lease.parts {
            return None;
        }
        peer.parts = lease.parts;
        peer.is_urgent = false;
        let lease = Lease {
            echo: peer.echo,
            ..lease
        };
        if lease.echo.is_some() {
            self.extend(now, &lease);
        }
        Some(lease)
    }

    fn parts_of(&self, owner: GatewayId) -> u32 {
        let mut parts = 0;
        for group in AccountGroup::all() {
            for (at, part) in self.parts[group.0].iter().enumerate() {
                if part.owner == Some(owner) {
                    parts |= group.bit(at);
                }
            }
        }
        parts
    }

    /// Records that the parts of a lease are in use until it ends.
    fn extend(&mut self, now: Timestamp, lease: &Lease) {
        let free_at = now.after(lease.duration).after(EXPIRY_MARGIN);
        for group in AccountGroup::all() {
            for (at, part) in self.parts[group.0].iter_mut().enumerate() {
                if lease.parts & group.bit(at) != 0 {
                    part.free_at = part.free_at.max(free_at);
                    part.last_owner = part.owner;
                }
            }
        }
    }
}

fn lease_duration(gateways: u32) -> Millis {
    let steps = u64::from(gateways).div_ceil(GATEWAYS_PER_STEP).max(1);
    Millis(LEASE_DURATION.0 * steps)
}
