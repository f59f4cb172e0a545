//! State of one target, as known to one gateway.
//!
//! A target has given a *proof* that it works when a request from some gateway has been answered or
//! has run for [`PROOF_TIME`] without failing. The proof dates from the start of that request. For
//! an answer this is approximated by the start of the latest request of this gateway, also if
//! another request was answered or another gateway reported the answer.

use std::net::SocketAddr;

use auburnbridge_types::{DataCentre, Incarnation, Millis, Slots, TargetId, Timestamp};
use slotmap::new_key_type;

use super::even::{LoadEstimate, ReportedLoad};
use super::evidence::{Evidence, Finding, Origin, PROOF_TIME};
use super::report::TargetHash;

new_key_type! {
    /// Handle of a target within its [`super::Balancer`].
    pub struct BalancedKey;
}

/// Evidence from which a target is suspected, in nats: it receives at-most-once requests only if no
/// other target has room. One server error or one broken answer within the last seconds is enough.
pub(super) const SUSPECT_THRESHOLD: f64 = 1.5;
/// Backoff after a target refused a connection; it doubles with each further refusal.
const INITIAL_BACKOFF: Millis = Millis(400);
/// Upper limit of the backoff.
const MAX_BACKOFF: Millis = Millis(3_000);
/// Duration after a target shed a request in which other targets are preferred.
const SHED_PAUSE: Millis = Millis(60);
/// Duration after a target joins or restarts in which only half of its slots are used.
pub(super) const WARMUP_TIME: Millis = Millis(3_000);

/// A target that accepts requests, as announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancedMember {
    /// ID of the target.
    pub id: TargetId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Incarnation of the target process.
    pub incarnation: Incarnation,
    /// Number of requests that it runs concurrently.
    pub slots: Slots,
}

#[derive(Clone, Debug)]
pub(super) struct BalancedTarget {
    pub(super) member: BalancedMember,
    pub(super) hash: TargetHash,
    /// Whether the target is in the subset of this gateway.
    pub(super) in_subset: bool,
    /// Requests in flight from this gateway.
    pub(super) own_in_flight: u32,
    /// Requests in flight from the other gateways, by their reports.
    pub(super) reported_in_flight: u32,
    /// The same with even load, where reports lose weight with their age.
    pub(super) reported_load: Option<ReportedLoad>,
    /// Slots that this gateway uses before those of others; only with even load.
    pub(super) own_slots: u32,
    pub(super) evidence: Evidence,
    /// Evidence about the path from this gateway to the target.
    pub(super) path_evidence: Evidence,
    pub(super) down_until: Timestamp,
    backoff: Millis,
    pub(super) shed_until: Timestamp,
    /// Instant until which the target asked this gateway to send no requests.
    pub(super) paused_until: Timestamp,
    pub(super) warmup_until: Timestamp,
    /// When this gateway last sent a request, or a finding of any gateway arrived.
    pub(super) last_activity: Timestamp,
    /// When a gateway last had a request on it or a finding about it, as far as it is known.
    pub(super) last_used: Timestamp,
    /// Whether the last finding was an answer.
    pub(super) answered_last: bool,
    /// Whether another target now uses its address.
    pub(super) is_replaced: bool,
    /// Start of the latest request that has given a proof, as far as it is known.
    pub(super) proven_at: Timestamp,
    /// Start of the latest request from this gateway.
    pub(super) last_started_at: Timestamp,
}

impl BalancedTarget {
    pub(super) fn new(member: BalancedMember, warmup_until: Timestamp) -> Self {
        Self {
            hash: TargetHash::of(&member.id, member.incarnation),
            member,
            in_subset: false,
            own_in_flight: 0,
            reported_in_flight: 0,
            reported_load: None,
            own_slots: 0,
            evidence: Evidence::default(),
            path_evidence: Evidence::default(),
            down_until: Timestamp(0),
            backoff: INITIAL_BACKOFF,
            shed_until: Timestamp(0),
            paused_until: Timestamp(0),
            warmup_until,
            last_activity: Timestamp(0),
            last_used: Timestamp(0),
            answered_last: false,
            is_replaced: false,
            proven_at: Timestamp(0),
            last_started_at: Timestamp(0),
        }
    }

    pub(super) fn in_flight(&self, now: Timestamp) -> u32 {
        self.own_in_flight + self.others_in_flight(now)
    }

    /// Requests of the other gateways.
    pub(super) fn others_in_flight(&self, now: Timestamp) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the sum of counts of 8 bits is neither negative nor above the maximum"
        )]
        match &self.reported_load {
            Some(load) => load.value(now).round() as u32,
            None => self.reported_in_flight,
        }
    }

    /// Counts the requests of another gateway's report of the time `reported_at`.
    pub(super) fn add_reported(
        &mut self,
        now: Timestamp,
        in_flight: u32,
        reported_at: Timestamp,
        answer_time: Millis,
    ) {
        self.reported_in_flight += in_flight;
        if let Some(load) = &mut self.reported_load {
            load.add(now, in_flight, reported_at, answer_time);
        }
    }

    /// Forgets the requests of the other gateways.
    pub(super) fn clear_reported(&mut self) {
        self.reported_in_flight = 0;
        self.reported_load = self.reported_load.map(|_| ReportedLoad::default());
    }

    /// Slots that are expected to be free, less than none if it is overrun; only with even load.
    pub(super) fn spare(&self, now: Timestamp) -> f64 {
        let reported = self.reported_load.map_or(0.0, |load| load.value(now));
        f64::from(self.capacity(now)) - f64::from(self.own_in_flight) - reported
    }

    /// The load by which it was picked, for logs; only with even load.
    pub(super) fn load_estimate(&self, now: Timestamp, own_slot: bool) -> Option<LoadEstimate> {
        let reported = self.reported_load?;
        Some(LoadEstimate {
            in_flight: f64::from(self.own_in_flight) + reported.value(now),
            report_age: reported.newest_age(now),
            own_slot,
        })
    }

    /// Whether a slot of this gateway's own is free.
    pub(super) fn has_own_slot(&self) -> bool {
        self.own_in_flight < self.own_slots
    }

    /// Number of requests to send to it at a time: its slots, or half of them while it warms up.
    pub(super) fn capacity(&self, now: Timestamp) -> u32 {
        let slots = self.member.slots.0.max(1);
        if now < self.warmup_until {
            slots.div_ceil(2)
        } else {
            slots
        }
    }

    pub(super) fn free_slots(&self, now: Timestamp) -> u32 {
        self.capacity(now).saturating_sub(self.in_flight(now))
    }

    /// Evidence against the target and the path to it, in nats.
    pub(super) fn suspicion(&self, now: Timestamp) -> f64 {
        self.evidence.value(now) + self.path_evidence.value(now)
    }

    pub(super) fn is_down(&self, now: Timestamp) -> bool {
        self.is_replaced || now < self.down_until
    }

    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Counts a request that this gateway starts now.
    pub(super) fn start(&mut self, now: Timestamp) {
        // Keeps the proof of the previous request, whose start time is overwritten.
        self.proven_at = Timestamp(now.0.saturating_sub(self.proof_age(now).0));
        self.own_in_flight += 1;
        self.last_started_at = now;
        self.last_activity = now;
        self.last_used = now;
    }

    pub(super) fn is_suspect(&self, now: Timestamp) -> bool {
        self.suspicion(now) >= SUSPECT_THRESHOLD
    }

    /// Time since the latest proof.
    pub(super) fn proof_age(&self, now: Timestamp) -> Millis {
        let is_proof = self.own_in_flight > 0 && now.since(self.last_started_at) >= PROOF_TIME;
        let proven_at = if is_proof {
            self.proven_at.max(self.last_started_at)
        } else {
            self.proven_at
        };
        now.since(proven_at)
    }

    pub(super) fn observe(&mut self, now: Timestamp, finding: Finding, origin: Origin) {
        self.evidence.add(now, finding.target_evidence());
        self.last_activity = now;
        self.last_used = now;
        self.answered_last = finding == Finding::Answered;
        if origin == Origin::Own {
            self.path_evidence.add(now, finding.path_evidence());
        }
        match finding {
            Finding::Refused => {
                // Other gateways report refusals as well; only the first one after a backoff
                // increases the next backoff.
                if now >= self.down_until {
                    self.down_until = now.after(self.backoff);
                    self.backoff = Millis(self.backoff.0 * 2).min(MAX_BACKOFF);
                }
            }
            Finding::Answered => {
                self.backoff = INITIAL_BACKOFF;
                self.down_until = Timestamp(0);
                self.proven_at = self.proven_at.max(self.last_started_at);
            }
            Finding::Shed => self.shed_until = now.after(SHED_PAUSE),
            Finding::Replaced => self.is_replaced = true,
            Finding::Broken | Finding::ServerError | Finding::Silent => {
                self.proven_at = Timestamp(0);
                self.last_started_at = Timestamp(0);
            }
            Finding::Slow | Finding::Interrupted | Finding::Unreachable => {}
        }
    }

    /// Replaces the target by a new incarnation and discards the evidence against the earlier one.
    pub(super) fn restart(&mut self, now: Timestamp, member: BalancedMember) {
        self.hash = TargetHash::of(&member.id, member.incarnation);
        self.member = member;
        self.clear_reported();
        self.evidence.clear();
        self.path_evidence.clear();
        self.down_until = Timestamp(0);
        self.backoff = INITIAL_BACKOFF;
        self.shed_until = Timestamp(0);
        self.paused_until = Timestamp(0);
        self.proven_at = Timestamp(0);
        self.last_started_at = Timestamp(0);
        self.warmup_until = now.after(WARMUP_TIME);
        self.is_replaced = false;
    }
}
