//! What one entry knows about one target.

use std::net::SocketAddr;

use auburnbridge_types::{DataCentre, Incarnation, Slots, TargetId, Timestamp};
use strum::Display;

use crate::Health;

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
    pub(crate) in_flight: u32,
    pub(crate) ejections: u32,
    pub(crate) healthy_since: Timestamp,
    pub(crate) shed_until: Timestamp,
}

impl Target {
    pub(crate) fn new(now: Timestamp, member: Member) -> Self {
        Self {
            member,
            state: ServiceState::InUse,
            health: Health::default(),
            in_flight: 0,
            ejections: 0,
            healthy_since: now,
            shed_until: Timestamp(0),
        }
    }

    pub(crate) fn in_use(&self) -> bool {
        self.state == ServiceState::InUse
    }

    /// Requests in flight from this entry per slot, counting the next one.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight + 1) / f64::from(self.member.slots.0.max(1))
    }
}
