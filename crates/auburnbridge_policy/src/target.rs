//! What one entry knows about one target.

use std::net::SocketAddr;

use auburnbridge_types::{DataCentre, Incarnation, Millis, Slots, TargetId, Timestamp};
use strum::Display;

use crate::evidence::{RecentCount, RemoteEvidence};
use crate::health::{SUSPICION_LIMIT, in_flight_evidence};
use crate::{Health, Observation};

/// What the announcements say about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Presence {
    /// Its lease holds.
    Ready,
    /// Its lease ran out at this time.
    Stale(Timestamp),
}

/// A target as the membership describes it; a leaving target is not listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The target's name.
    pub id: TargetId,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Number of its life.
    pub incarnation: Incarnation,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Whether its lease holds.
    pub presence: Presence,
}

/// Whether a target gets work from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceState {
    /// Gets its share of the work.
    InUse,
    /// Gets none until the given time.
    Ejected {
        /// End of the ejection.
        until: Timestamp,
    },
    /// Gets one idempotent request at a time.
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
    pub(crate) recent: RecentCount,
    pub(crate) remote: RemoteEvidence,
    pub(crate) ejections: u32,
    pub(crate) healthy_since: Timestamp,
    pub(crate) shed_until: Timestamp,
    /// Until then slow answers are no evidence, since a started target is cold.
    pub(crate) cold_until: Timestamp,
    /// Until then non-idempotent work goes elsewhere, since the target was ejected before.
    pub(crate) probation_until: Timestamp,
    pub(crate) last_ejection: Millis,
    /// Until then the floor's refusal of an ejection is not reported again.
    pub(crate) keep_reported_until: Timestamp,
}

impl Target {
    pub(crate) fn new(now: Timestamp, member: Member) -> Self {
        Self {
            member,
            state: ServiceState::InUse,
            health: Health::default(),
            starts: Vec::new(),
            recent: RecentCount::default(),
            remote: RemoteEvidence::default(),
            ejections: 0,
            healthy_since: now,
            shed_until: Timestamp(0),
            cold_until: Timestamp(0),
            probation_until: Timestamp(0),
            last_ejection: Millis(0),
            keep_reported_until: Timestamp(0),
        }
    }

    pub(crate) fn in_use(&self) -> bool {
        self.state == ServiceState::InUse
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.starts.len()).unwrap_or(u32::MAX)
    }

    /// Requests in flight from this entry per slot, counting the next one.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight() + 1) / f64::from(self.member.slots.0.max(1))
    }

    /// Evidence of this entry, with that of the requests in flight.
    pub(crate) fn suspicion(&self, now: Timestamp, slow_limit_ms: f64) -> f64 {
        let suspicion = self.health.suspicion();
        if self.starts.is_empty() || now < self.cold_until {
            return suspicion;
        }
        let in_flight: f64 = self
            .starts
            .iter()
            .map(|start| in_flight_evidence(now.since(*start), slow_limit_ms))
            .sum();
        (suspicion + in_flight).min(SUSPICION_LIMIT)
    }

    /// Takes a request out of those in flight. The result doesn't name its request, so the one that
    /// fits best is taken: by the answer time, or the oldest or newest one by kind of failure.
    pub(crate) fn end_request(&mut self, now: Timestamp, observation: Observation) {
        if self.starts.is_empty() {
            return;
        }
        let at = match observation {
            Observation::Answered(time) => {
                let start = now.0.saturating_sub(time.0);
                (0..self.starts.len())
                    .min_by_key(|at| self.starts[*at].0.abs_diff(start))
                    .unwrap_or(0)
            }
            Observation::TimedOut | Observation::AnswerBroken | Observation::ServerError => 0,
            Observation::ConnectFailed | Observation::Shed | Observation::NotAttributable => {
                self.starts.len() - 1
            }
        };
        self.starts.remove(at);
    }
}
