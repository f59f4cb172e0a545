//! Even load from old reports, a setting of a gateway.
//!
//! What a gateway knows of the requests of others is as old as their reports, and many gateways
//! choose at the same moment. Two rules keep them from overrunning the same target in turn:
//!
//! - Each target's slots are shared out among gateways of its data centre. A gateway uses slots of its
//!   own first, which no other gateway uses unless it has none left, so these choices need no
//!   knowledge of the others.
//! - A report is evidence of its own time: the requests that it lists count for less the older it is.
//!   Of the other slots, a gateway takes one of the target with the fewest requests among a few drawn
//!   at random, so that gateways with the same view pick different targets.
//!
//! While targets often begin to fail, at-most-once requests go by the newest proof instead: a target that
//! has just begun to fail has few requests, and these requests would be lost on it.

use std::collections::HashMap;

use auburnbridge_types::{Millis, Slots, Timestamp, VmId};
use rand::Rng;

use super::balancer::Balancer;
use super::report::TargetHash;
use super::subset::{GatewayHost, mix, vm_hash};
use super::target::BalancedKey;
use crate::RequestClass;

/// Targets on which a gateway should have slots of its own, so that a few that fail leave it some.
const MIN_OWN_TARGETS: usize = 6;
/// Smallest number of them with which it prefers its own slots.
const MIN_PREFERRED: usize = 2;
/// Targets drawn at random when a gateway has no slot of its own left.
const DRAWN_TARGETS: usize = 3;
/// Time for which the failure of a target counts.
pub(super) const FAILURE_MEMORY: Millis = Millis(30_000);
/// Failures within this time, as a share of the targets, from which targets often begin to fail.
const FREQUENT_FAILURE_SHARE: f64 = 0.1;
/// Shares into which a target's slots are divided at most, whatever number of slots it states.
const MAX_SHARES: u32 = 64;

/// Load by which a target was picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Requests expected to be in flight on it, the picked one included.
    pub in_flight: f64,
    /// Age of the newest report of another gateway that lists it.
    pub report_age: Option<Millis>,
    /// Whether the request takes a slot of this gateway's own.
    pub own_slot: bool,
}

/// Requests of the other gateways on a target, by reports that lose weight with their age.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    /// Expected number of requests at the time `at`.
    value: f64,
    at: Timestamp,
    answer_time: Millis,
    /// Time of the newest report that lists the target.
    newest: Option<Timestamp>,
}

impl Default for ReportedLoad {
    fn default() -> Self {
        Self {
            value: 0.0,
            at: Timestamp(0),
            answer_time: Millis(1),
            newest: None,
        }
    }
}

impl ReportedLoad {
    /// Reported requests that are expected to be still in flight.
    pub(super) fn value(&self, now: Timestamp) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * remaining(now.since(self.at), self.answer_time)
    }

    /// Adds the requests of a report of the time `reported_at`, for an average answer time.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        requests: u32,
        reported_at: Timestamp,
        answer_time: Millis,
    ) {
        self.change(now, f64::from(requests), reported_at, answer_time);
        self.newest = self.newest.max(Some(reported_at));
    }

    /// Removes what is left of the requests of a report.
    pub(super) fn remove(
        &mut self,
        now: Timestamp,
        requests: u32,
        reported_at: Timestamp,
        answer_time: Millis,
    ) {
        self.change(now, -f64::from(requests), reported_at, answer_time);
    }

    fn change(
        &mut self,
        now: Timestamp,
        requests: f64,
        reported_at: Timestamp,
        answer_time: Millis,
    ) {
        let left = requests * remaining(now.since(reported_at), answer_time);
        // The average answer time may have changed since the requests were added.
        self.value = (self.value(now) + left).max(0.0);
        self.at = now;
        self.answer_time = answer_time;
    }

    /// Age of the newest report that lists the target.
    pub(super) fn newest_age(&self, now: Timestamp) -> Option<Millis> {
        self.newest.map(|newest| now.since(newest))
    }
}

/// Share of the requests in flight that are expected to be in flight after `age`.
pub(super) fn remaining(age: Millis, answer_time: Millis) -> f64 {
    let ratio = to_f64(age) / to_f64(answer_time).max(1.0);
    (-ratio).exp()
}

fn to_f64(time: Millis) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX))
}

impl Balancer {
    /// Shares the slots of the data centre's targets out among its gateways.
    pub(super) fn share_slots(&mut self) {
        let own = &self.options.own;
        let gateways: Vec<&VmId> = self
            .gateways
            .iter()
            .filter(|gateway| gateway.data_centre == own.data_centre)
            .map(|gateway| &gateway.vm)
            .collect();
        let targets: Vec<(TargetHash, Slots)> = self
            .targets
            .values()
            .filter(|target| self.is_local(target))
            .map(|target| (target.hash, target.member.slots))
            .collect();
        let mut own_slots = own_slots(&own.vm, &gateways, &targets);
        if own_slots.len() < MIN_PREFERRED {
            own_slots.clear();
        }
        for target in self.targets.values_mut() {
            let is_excluded = self.shares_subset && !target.in_subset;
            let slots = own_slots.get(&target.hash).filter(|_| !is_excluded);
            target.own_slots = slots.copied().unwrap_or(0);
        }
    }

    /// Whether the subset is larger than a division of the targets without sharing allows.
    pub(super) fn is_subset_shared(&self) -> bool {
        let is_local = |host: &&GatewayHost| host.data_centre == self.options.own.data_centre;
        let gateways = self.gateways.iter().filter(is_local).count();
        let targets = self.targets.values().filter(|target| self.is_local(target));
        let in_subset = self.targets.values().filter(|target| target.in_subset);
        self.prefers_subset && in_subset.count() * gateways >= 2 * targets.count()
    }

    /// Whether a request of this class uses slots of this gateway's own first. At-most-once requests go by proofs while
    /// targets often begin to fail, since one that has just begun to fail has few requests.
    pub(super) fn uses_own_slots(&self, now: Timestamp, class: RequestClass) -> bool {
        self.options.even_load && (class == RequestClass::Idempotent || !self.fails_often(now))
    }

    /// Whether many targets have begun to fail lately.
    pub(super) fn fails_often(&self, now: Timestamp) -> bool {
        let targets = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
        self.failures.count(now) >= FREQUENT_FAILURE_SHARE * f64::from(targets)
    }

    /// The target with the most spare slots, of those with a free slot of this gateway's own. Among
    /// equals it is the one with the latest proof, or the oldest for a request that explores.
    pub(super) fn most_spare_own(
        &self,
        now: Timestamp,
        explores: bool,
        candidates: &[BalancedKey],
    ) -> Option<BalancedKey> {
        candidates.iter().copied().max_by_key(|key| {
            let target = &self.targets[*key];
            let age = i64::try_from(target.proof_age(now).0).unwrap_or(i64::MAX);
            let preference = if explores { age } else { -age };
            (target.free_slots(now), preference)
        })
    }

    /// The target with the most spare slots among a few drawn at random.
    pub(super) fn draw_spare(
        &self,
        now: Timestamp,
        candidates: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<BalancedKey> {
        if candidates.is_empty() {
            return None;
        }
        (0..DRAWN_TARGETS)
            .map(|_| candidates[rng.random_range(0..candidates.len())])
            .max_by(|first, second| {
                let spare = |key: &BalancedKey| self.targets[*key].spare(now);
                spare(first).total_cmp(&spare(second))
            })
    }
}

/// The slots of each target that are `own`'s; `gateways` lists all that share the targets, `own`
/// included. The slots of a target are divided among the fewest gateways with which each gateway has
/// slots of [`MIN_OWN_TARGETS`] targets. Each of these shares goes to the first gateway in the order of
/// a hash that has no more shares than an equal division leaves it.
pub(super) fn own_slots(
    own: &VmId,
    gateways: &[&VmId],
    targets: &[(TargetHash, Slots)],
) -> HashMap<TargetHash, u32> {
    let mut shares = target_shares(gateways.len(), targets);
    // All gateways have to assign the shares in the same order, since the bound depends on it.
    shares.sort_unstable();
    let max_shares = shares.len().div_ceil(gateways.len().max(1));
    let mut left: Vec<(u64, usize)> = gateways
        .iter()
        .map(|gateway| (vm_hash(gateway), max_shares))
        .collect();
    let own = vm_hash(own);
    let mut own_slots: HashMap<TargetHash, u32> = HashMap::new();
    for (share, target, slots) in shares {
        let assigned = left
            .iter_mut()
            .filter(|(_, left)| *left > 0)
            .max_by_key(|(gateway, _)| mix(gateway ^ share));
        let Some((gateway, left)) = assigned else {
            break;
        };
        *left -= 1;
        if *gateway == own {
            *own_slots.entry(target).or_default() += slots;
        }
    }
    own_slots
}

/// The shares of all targets: a hash of the share, its target and its slots.
fn target_shares(gateways: usize, targets: &[(TargetHash, Slots)]) -> Vec<(u64, TargetHash, u32)> {
    let sharers = (MIN_OWN_TARGETS * gateways).div_ceil(targets.len().max(1));
    let sharers = u32::try_from(sharers)
        .unwrap_or(MAX_SHARES)
        .clamp(1, MAX_SHARES);
    let divided = targets.iter().flat_map(|(target, slots)| {
        let slots = slots.0.max(1);
        let count = sharers.min(slots);
        (0..count).map(move |number| {
            let hash = mix(u64::from(target.0) << 32 | u64::from(number));
            (
                hash,
                *target,
                slots / count + u32::from(number < slots % count),
            )
        })
    });
    divided.collect()
}
