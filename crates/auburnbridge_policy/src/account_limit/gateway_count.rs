//! Gateways that are known, and the number of them among which limits are shared.
//!
//! A gateway that is missing from the list of running ones may only be cut off, and still admit
//! requests from its share. It therefore counts for a long time, while the time in which no list
//! arrives at all doesn't matter.

use std::collections::{BTreeMap, BTreeSet};

use auburnbridge_types::{Millis, Timestamp};

use super::message::GatewayId;

/// Time for which a gateway counts that is not in the list any more.
const HOLD_TIME: Millis = Millis(10 * 60 * 1_000);
/// Time for which a gateway is still contacted that is not in the list any more. A keeper that has
/// just started may send an incomplete list.
const CONTACT_TIME: Millis = Millis(10_000);
/// Least time between two gateways that stop counting, so that shares grow slowly.
const RELEASE_INTERVAL: Millis = Millis(10_000);
/// Time for which the count of another gateway is heeded. It may hold a gateway that is missing from the
/// list and comes back while this one is cut off.
const REPORT_TIME: Millis = HOLD_TIME;
/// A reported count above this many times the own one is ignored.
const MAX_REPORT_FACTOR: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct Known {
    since: Timestamp,
    /// Time since when the gateway is missing from the list.
    missing_since: Option<Timestamp>,
}

/// Counts the gateways other than this one.
#[derive(Clone, Debug, Default)]
pub struct GatewayCount {
    others: BTreeMap<GatewayId, Known>,
    reported: BTreeMap<GatewayId, (Timestamp, u32)>,
    last_release: Timestamp,
}

impl GatewayCount {
    /// Replaces the list of the other running gateways. Returns whether there is a new one.
    pub fn set_listed(&mut self, now: Timestamp, listed: &[GatewayId]) -> bool {
        let listed: BTreeSet<GatewayId> = listed.iter().copied().collect();
        for (gateway, known) in &mut self.others {
            if listed.contains(gateway) {
                known.missing_since = None;
            } else {
                known.missing_since.get_or_insert(now);
            }
        }
        let known = self.others.len();
        for gateway in listed {
            self.others.entry(gateway).or_insert(Known {
                since: now,
                missing_since: None,
            });
        }
        self.others.len() > known
    }

    /// Ends the count of a gateway that has been missing for long, and old reports.
    pub fn expire(&mut self, now: Timestamp) {
        self.reported
            .retain(|_, (time, _)| now.since(*time) < REPORT_TIME);
        if now.since(self.last_release) < RELEASE_INTERVAL {
            return;
        }
        let is_gone = |known: &Known| {
            let missing = known.missing_since;
            missing.is_some_and(|since| now.since(since) > HOLD_TIME)
        };
        let gone = self.others.iter().find(|(_, known)| is_gone(known));
        if let Some(gateway) = gone.map(|(gateway, _)| *gateway) {
            self.others.remove(&gateway);
            self.last_release = now;
        }
    }

    /// Records the count of another gateway, which may hold gateways that this one has never seen.
    pub fn record_report(&mut self, now: Timestamp, from: GatewayId, gateways: u32) {
        if gateways <= self.own().saturating_mul(MAX_REPORT_FACTOR) {
            self.reported.insert(from, (now, gateways));
        }
    }

    /// The gateways to contact.
    pub fn contacts(&self, now: Timestamp) -> Vec<GatewayId> {
        let is_contact = |known: &Known| {
            let missing = known.missing_since;
            missing.is_none_or(|since| now.since(since) < CONTACT_TIME)
        };
        self.others
            .iter()
            .filter(|(_, known)| is_contact(known))
            .map(|(gateway, _)| *gateway)
            .collect()
    }

    /// Whether a gateway counts.
    pub fn is_known(&self, gateway: GatewayId) -> bool {
        self.others.contains_key(&gateway)
    }

    /// Time for which a gateway has counted.
    pub fn counted_for(&self, now: Timestamp, gateway: GatewayId) -> Millis {
        let known = self.others.get(&gateway);
        known.map_or(Millis(0), |known| now.since(known.since))
    }

    /// Number of gateways that this one has seen itself, including itself.
    pub fn own(&self) -> u32 {
        u32::try_from(self.others.len() + 1).unwrap_or(u32::MAX)
    }

    /// Number of gateways among which limits are shared. It heeds the counts of others, but isn't
    /// reported itself, so that gateways don't keep up a count among each other.
    pub fn shared_among(&self) -> u32 {
        let reported = self.reported.values().map(|(_, gateways)| *gateways);
        reported.max().unwrap_or(0).max(self.own())
    }
}
