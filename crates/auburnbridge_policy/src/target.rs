//! State of one target on one entry.

use std::net::SocketAddr;

use auburnbridge_types::{DataCentre, Incarnation, Millis, Slots, TargetId, Timestamp};
use strum::Display;

use crate::evidence::{RecentCounter, RemoteEvidence};
use crate::health::{MAX_SUSPICION, in_flight_evidence};
use crate::{Health, Observation};

/// State of a target's lease, from its announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Presence {
    /// The lease is valid.
    #[strum(serialize = "ready")]
    Fresh,
    /// The lease expired at this time.
    Stale(Timestamp),
}

/// A target as the membership lists it, which omits leaving targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the target.
    pub id: TargetId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Incarnation number, which changes with each restart.
    pub incarnation: Incarnation,
    /// Number of requests that it runs concurrently.
    pub slots: Slots,
    /// State of its lease.
    pub presence: Presence,
}

/// Whether a target gets requests from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceState {
    /// The target gets its share of the requests.
    InUse,
    /// The target gets no requests until the given time.
    Ejected {
        /// End of the ejection.
        until: Timestamp,
    },
    /// The target gets one idempotent request at a time.
    Trial {
        /// Successes so far.
        successes: u32,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) member: Member,
    pub(crate) state: ServiceState,
    pub(crate) health: Health,
    /// Start of each request in flight, oldest first.
    pub(crate) starts: Vec<Timestamp>,
    pub(crate) recent_observations: RecentCounter,
    pub(crate) remote: RemoteEvidence,
    pub(crate) ejections: u32,
    /// Start of the period after which `ejections` decreases by one: the latest start of use or
    /// decrease. A target that replaces another one because of the floor keeps the earlier start.
    pub(crate) decay_period_start: Timestamp,
    pub(crate) shed_until: Timestamp,
    /// Until this time slow answers are no evidence, since a freshly started target is cold.
    pub(crate) cold_until: Timestamp,
    /// Until this time non-idempotent requests avoid the target, since it was ejected before.
    pub(crate) probation_until: Timestamp,
    pub(crate) last_ejection_duration: Millis,
    /// Earliest time of the next report that the floor prevents an ejection.
    pub(crate) next_keep_report: Timestamp,
}

impl Target {
    pub(crate) fn new(now: Timestamp, member: Member) -> Self {
        Self {
            member,
            state: ServiceState::InUse,
            health: Health::default(),
            starts: Vec::new(),
            recent_observations: RecentCounter::default(),
            remote: RemoteEvidence::default(),
            ejections: 0,
            decay_period_start: now,
            shed_until: Timestamp(0),
            cold_until: Timestamp(0),
            probation_until: Timestamp(0),
            last_ejection_duration: Millis(0),
            next_keep_report: Timestamp(0),
        }
    }

    pub(crate) fn in_use(&self) -> bool {
        self.state == ServiceState::InUse
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.starts.len()).unwrap_or(u32::MAX)
    }

    /// Requests in flight from this entry per slot, including the next one.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight() + 1) / f64::from(self.member.slots.0.max(1))
    }

    /// Evidence of this entry, including that of the requests in flight, in nats.
    pub(crate) fn suspicion(&self, now: Timestamp, slow_limit_ms: f64) -> f64 {
        let suspicion = self.health.suspicion();
        let oldest_age = self.starts.first().map_or(Millis(0), |s| now.since(*s));
        if in_flight_evidence(oldest_age, slow_limit_ms) <= 0.0 || now < self.cold_until {
            return suspicion;
        }
        let in_flight: f64 = self
            .starts
            .iter()
            .map(|start| in_flight_evidence(now.since(*start), slow_limit_ms))
            .sum();
        (suspicion + in_flight).min(MAX_SUSPICION)
    }

    /// Removes a request from those in flight. The result doesn't identify its request, so the best
    /// match is removed: by latency for an answer, else the oldest or newest by kind of failure.
    pub(crate) fn end_request(&mut self, now: Timestamp, observation: Observation) {
        if self.starts.is_empty() {
            return;
        }
        let index = match observation {
            Observation::Answered(time) => {
                let start = now.0.saturating_sub(time.0);
                (0..self.starts.len())
                    .min_by_key(|index| self.starts[*index].0.abs_diff(start))
                    .unwrap_or(0)
            }
            Observation::TimedOut | Observation::InvalidAnswer | Observation::ServerError => 0,
            Observation::ConnectFailed | Observation::Shed | Observation::NotAttributable => {
                self.starts.len() - 1
            }
        };
        self.starts.remove(index);
    }
}
