//! Target selection of a [`Balancer`].
//!
//! A target is *usable* if it is not suspected, or if it is suspected, but not strongly, and needed
//! to reach the floor's share of targets. The first send of an idempotent request *explores*: it
//! prefers targets without a recent proof and may detect that one has begun to fail, since the
//! request can be retried.

use auburnbridge_types::{Millis, Timestamp};
use rand::Rng;
use strum::IntoStaticStr;

use super::balancer::{Balancer, Pick};
use super::evidence::STRONG_THRESHOLD;
use super::target::{BalancedKey, BalancedTarget, SUSPECT_THRESHOLD};
use crate::RequestClass;

/// Time without requests or findings after which an idempotent request may try a weakly suspected
/// target, or one whose latest finding was an answer.
const WEAK_TRIAL_INTERVAL: Millis = Millis(150);
/// The same for a strongly suspected target.
const STRONG_TRIAL_INTERVAL: Millis = Millis(700);
/// Time without use after which a target is tried by the gateway that has it in its subset.
const UNUSED_AFTER: Millis = Millis(600);
/// The same for a strongly suspected target.
const STRONG_UNUSED_AFTER: Millis = Millis(1_000);
/// The same for an at-most-once request, which is lost if the target fails.
const ONCE_UNUSED_AFTER: Millis = Millis(1_000);
/// Addition to these times for the other gateways of the data centre, and the longest further one.
const OTHERS_DELAY: Millis = Millis(100);
const UNUSED_SPREAD: Millis = Millis(400);
/// Age from which even the newest proof in its subset makes a gateway prefer other targets of its data
/// centre, if they have given a recent proof.
const OLD_PROOF_AGE: Millis = Millis(500);
/// Age up to which a proof counts as recent.
const RECENT_PROOF_AGE: Millis = Millis(250);
/// Requests that a target receives beyond its slots. The target's own queue ignores priorities, and
/// a request that waits there delays all requests behind it.
const MAX_QUEUED: u32 = 1;
/// Free slots beyond which a target gets no more weight, which keeps its weight in range.
const MAX_WEIGHTED_SLOTS: u32 = 1 << 9;
/// Exponent with which the weight of a target decreases with its proof age, for requests that must
/// not fail.
const PROOF_AGE_EXPONENT: u32 = 3;

/// Preference for a target, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Tier {
    /// Free, in this data centre, and unused for so long that a request should find out whether it
    /// works.
    Due,
    /// Usable, not suspected and free, with a free slot of this gateway's own.
    OwnFree,
    /// Usable, not suspected and free, in the subset of this gateway.
    SubsetFree,
    /// Usable, not suspected and free, in this data centre; traffic between data centres costs
    /// more.
    LocalFree,
    /// Usable, not suspected and free, in another data centre.
    RemoteFree,
    /// Suspected and free, usable only because of the floor.
    FloorFree,
    /// Weakly suspected but free, for a request that can be retried on another target.
    SuspectFree,
    /// Usable but busy: the request would wait in the target's own queue.
    Busy,
    /// Suspected but free, where the request is likely to fail or can't be retried.
    Risky,
    /// Down, suspected and busy, or with a request in its own queue already.
    LastResort,
}

impl Balancer {
    /// Picks a target with a free slot and counts the request as in flight on it; `None` means that
    /// the request should wait for a slot.
    pub fn pick(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let worst = match class {
            RequestClass::Idempotent => Tier::SuspectFree,
            // At-most-once requests can't be retried after a failure.
            RequestClass::Once => Tier::FloorFree,
        };
        self.pick_up_to(now, class, worst, tried, rng)
    }

    /// Picks a suspected target with a free slot that is due for a trial, for an idempotent request
    /// that has not been sent yet. This takes no slots from other requests, which avoid the target.
    pub fn pick_trial(&mut self, now: Timestamp) -> Option<Pick> {
        let key = self.suspect_to_try(now)?;
        Some(self.start(now, key))
    }

    /// Picks the best available target, up to a usable one whose slots are in use but whose own
    /// queue is almost empty, for a request that has waited for a long time.
    pub fn pick_busy(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        self.pick_up_to(now, class, Tier::Busy, tried, rng)
    }

    /// Picks the best available target even if it is down or suspected, for use when all are.
    pub fn pick_any(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        self.pick_up_to(now, class, Tier::LastResort, tried, rng)
    }

    fn pick_up_to(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        worst: Tier,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let key = self.draw_up_to(now, class, worst, tried, rng)?;
        Some(self.start(now, key))
    }

    fn start(&mut self, now: Timestamp, key: BalancedKey) -> Pick {
        let own_slot = self.targets[key].has_own_slot();
        let target = &mut self.targets[key];
        target.start(now);
        Pick {
            key,
            target: target.member.id.clone(),
            address: target.member.address,
            incarnation: target.member.incarnation,
            in_flight: target.in_flight(now),
            requests_per_slot: target.in_flight(now).div_ceil(target.member.slots.0.max(1)),
            suspicion: target.suspicion(now),
            estimate: target.load_estimate(now, own_slot),
        }
    }

    /// The suspected target that is due for a trial and has had none for the longest time. Only
    /// idempotent requests are used for trials, since they can be retried on another target. If no
    /// idempotent request comes, the target returns to use once the evidence against it has decayed,
    /// within seconds.
    fn suspect_to_try(&self, now: Timestamp) -> Option<BalancedKey> {
        self.targets
            .iter()
            .filter(|(_, target)| target.is_suspect(now))
            .filter(|(_, target)| !target.is_down(now) && !target.is_paused(now))
            .filter(|(_, target)| target.own_in_flight == 0 && target.free_slots(now) > 0)
            .filter(|(_, target)| self.is_due_for_trial(now, target))
            .min_by_key(|(_, target)| target.last_activity)
            .map(|(key, _)| key)
    }

    /// Whether a suspected target is due for a trial by this gateway. The trials of a target are made by
    /// the gateway that has it in its subset. In a small service that gateway may get no request in
    /// time, so while many requests are lost, the others of the data centre make one if the target has
    /// been unused for longer.
    fn is_due_for_trial(&self, now: Timestamp, target: &BalancedTarget) -> bool {
        if target.in_subset {
            return now.since(target.last_activity) >= self.trial_interval(now, target);
        }
        !self.prefers_subset
            && self.loses_own(now)
            && self.is_local(target)
            && self.is_unused(now, RequestClass::Idempotent, target)
    }

    pub(super) fn is_local(&self, target: &BalancedTarget) -> bool {
        target.member.data_centre == self.options.own.data_centre
    }

    /// Time between trials, spread per gateway and target up to twice the minimum. Otherwise two
    /// gateways that both have the target in their subset would try it at the same moment.
    fn trial_interval(&self, now: Timestamp, target: &BalancedTarget) -> Millis {
        let min_interval = if target.answered_last || target.suspicion(now) < STRONG_THRESHOLD {
            WEAK_TRIAL_INTERVAL
        } else {
            STRONG_TRIAL_INTERVAL
        };
        let spread = (self.options.seed ^ u64::from(target.hash.0)) % min_interval.0;
        Millis(min_interval.0 + spread)
    }

    /// Selects a target of the best tier, up to `worst`. In a subset of this gateway alone this is the
    /// target with the latest proof, or the one with the oldest proof for a request that explores. In
    /// other tiers it is drawn at random, weighted by free slots, so that gateways with
    /// the same view pick different targets. With even load, unless targets often begin to fail, it is
    /// selected by the expected load instead.
    fn draw_up_to(
        &self,
        now: Timestamp,
        class: RequestClass,
        worst: Tier,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<BalancedKey> {
        let floor_limit = self.floor_limit(now);
        let explores = class == RequestClass::Idempotent && tried.is_empty();
        let tries_due = self.tries_due(now, class, tried);
        let mut best = worst;
        let mut candidates: Vec<BalancedKey> = Vec::new();
        for (key, target) in &self.targets {
            if tried.contains(&key) || target.is_paused(now) {
                continue;
            }
            let tier = if tries_due && self.is_due(now, class, target) {
                Tier::Due
            } else {
                self.tier(now, class, target, floor_limit)
            };
            if tier > best {
                continue;
            }
            if tier < best {
                best = tier;
                candidates.clear();
            }
            candidates.push(key);
        }
        if self.options.even_load && !self.fails_often(now) {
            match best {
                Tier::OwnFree => return self.most_spare_own(now, explores, &candidates),
                Tier::SubsetFree | Tier::LocalFree | Tier::RemoteFree => {
                    return self.draw_spare(now, &candidates, rng);
                }
                _ => {}
            }
        }
        if best == Tier::OwnFree || (best == Tier::SubsetFree && !self.shares_subset) {
            let proofs = candidates
                .iter()
                .map(|key| (self.targets[*key].proof_age(now), *key));
            let (age, key) = if explores { proofs.max() } else { proofs.min() }?;
            if explores || age <= OLD_PROOF_AGE {
                return Some(key);
            }
            candidates = self.recently_proven(now, class, tried, floor_limit);
            if candidates.is_empty() {
                return Some(key);
            }
            best = Tier::LocalFree;
        }
        let weights: Vec<u32> = candidates
            .iter()
            .map(|key| weight(now, explores, best, &self.targets[*key]))
            .collect();
        let total = weights
            .iter()
            .fold(0_u32, |total, weight| total.saturating_add(*weight));
        if total == 0 {
            return None;
        }
        let mut drawn = rng.random_range(0..total);
        candidates
            .into_iter()
            .zip(weights)
            .find_map(|(key, weight)| {
                if drawn < weight {
                    return Some(key);
                }
                drawn -= weight;
                None
            })
    }

    /// The local targets of other subsets that have at least two free slots, one of which its own gateway
    /// may take at the same moment, and a recent proof from any gateway.
    fn recently_proven(
        &self,
        now: Timestamp,
        class: RequestClass,
        tried: &[BalancedKey],
        floor_limit: f64,
    ) -> Vec<BalancedKey> {
        self.targets
            .iter()
            .filter(|(key, target)| !tried.contains(key) && !target.is_paused(now))
            .filter(|(_, target)| {
                target.proof_age(now) <= RECENT_PROOF_AGE && target.free_slots(now) >= 2
            })
            .filter(|(_, target)| self.tier(now, class, target, floor_limit) == Tier::LocalFree)
            .map(|(key, _)| key)
            .collect()
    }

    /// Whether a request goes to a target that is due before all others, which happens only while many
    /// requests are lost. Idempotent requests do so unless the gateway prefers its subset, where they go
    /// to the target with the oldest proof anyway. A service without idempotent requests uses
    /// at-most-once requests, since targets that have recovered are not found otherwise.
    fn tries_due(&self, now: Timestamp, class: RequestClass, tried: &[BalancedKey]) -> bool {
        match class {
            RequestClass::Idempotent => {
                tried.is_empty() && !self.prefers_subset && self.loses_own(now)
            }
            RequestClass::Once => !self.may_have_idempotent_requests(now) && self.loses_many(now),
        }
    }

    /// Whether the target is free and has been unused for so long that it should be tried. Suspected
    /// targets are left to trials, where idempotent requests make some.
    fn is_due(&self, now: Timestamp, class: RequestClass, target: &BalancedTarget) -> bool {
        let max_suspicion = match class {
            RequestClass::Idempotent => SUSPECT_THRESHOLD,
            RequestClass::Once => STRONG_THRESHOLD,
        };
        self.is_local(target)
            && !target.is_down(now)
            && now >= target.shed_until
            && target.free_slots(now) > 0
            && target.suspicion(now) < max_suspicion
            && self.is_unused(now, class, target)
    }

    /// Whether no gateway has used the target for some time, as far as it is known. The gateway that has
    /// it in its subset comes first, and the time of the others differs, so that they don't all try it
    /// before they hear of each other's requests.
    fn is_unused(&self, now: Timestamp, class: RequestClass, target: &BalancedTarget) -> bool {
        let after = if target.suspicion(now) >= STRONG_THRESHOLD {
            STRONG_UNUSED_AFTER
        } else if class == RequestClass::Once {
            ONCE_UNUSED_AFTER
        } else {
            UNUSED_AFTER
        };
        let delay = if target.in_subset {
            0
        } else {
            OTHERS_DELAY.0 + (self.options.seed ^ u64::from(target.hash.0)) % UNUSED_SPREAD.0
        };
        now.since(target.last_used) >= Millis(after.0 + delay)
    }

    pub(super) fn tier(
        &self,
        now: Timestamp,
        class: RequestClass,
        target: &BalancedTarget,
        floor_limit: f64,
    ) -> Tier {
        let suspicion = target.suspicion(now);
        let is_strong = suspicion >= STRONG_THRESHOLD;
        let is_clear = suspicion < SUSPECT_THRESHOLD;
        let is_usable = is_clear || (suspicion <= floor_limit && !is_strong);
        let is_risky = class == RequestClass::Once || is_strong;
        if target.is_down(now) {
            return Tier::LastResort;
        }
        let is_free = target.free_slots(now) > 0 && now >= target.shed_until;
        let is_own = target.has_own_slot() && self.uses_own_slots(now, class);
        match (is_usable, is_free) {
            (true, true) if !is_clear => Tier::FloorFree,
            (true, true) if is_own => Tier::OwnFree,
            (true, true) if target.in_subset && self.prefers_subset => Tier::SubsetFree,
            (true, true) if self.is_local(target) => Tier::LocalFree,
            (true, true) => Tier::RemoteFree,
            (false, true) if is_risky => Tier::Risky,
            (false, true) => Tier::SuspectFree,
            (true, false) if target.in_flight(now) < target.capacity(now) + MAX_QUEUED => {
                Tier::Busy
            }
            (true | false, false) => Tier::LastResort,
        }
    }

    /// Suspicion up to which targets have to be used so that the floor's share of them receives
    /// requests. Strongly suspected targets provide no capacity and stay excluded regardless of the
    /// floor.
    pub(super) fn floor_limit(&self, now: Timestamp) -> f64 {
        let mut suspicions: Vec<f64> = self
            .targets
            .values()
            .filter(|target| !target.is_down(now) && !target.is_paused(now))
            .map(|target| target.suspicion(now))
            .collect();
        if suspicions.is_empty() {
            return SUSPECT_THRESHOLD;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a share of a count of targets"
        )]
        let floor = (suspicions.len() as f64 * self.options.floor_share).ceil() as usize;
        let last = floor.clamp(1, suspicions.len()) - 1;
        *suspicions.select_nth_unstable_by(last, f64::total_cmp).1
    }
}

/// Weight of a candidate in the random selection. It increases with the square of its free slots.
/// For a request that explores it increases with the proof age, otherwise it decreases with the
/// proof age (see [`PROOF_AGE_EXPONENT`]). The factor of 1,024 keeps precision in the integer
/// divisions.
fn weight(now: Timestamp, explores: bool, tier: Tier, target: &BalancedTarget) -> u32 {
    match tier {
        Tier::Due
        | Tier::OwnFree
        | Tier::SubsetFree
        | Tier::LocalFree
        | Tier::RemoteFree
        | Tier::FloorFree
        | Tier::SuspectFree
        | Tier::Risky => {
            let free = target.free_slots(now).min(MAX_WEIGHTED_SLOTS);
            // Load of other gateways is known with a delay, so targets that they use get less
            // weight: it is divided by the square of one plus the number of their requests, of which
            // at most seven count.
            let crowding = (1 + target.others_in_flight(now)).min(8);
            let weight = free * free * 1_024 / (crowding * crowding);
            let steps = proof_steps(target.proof_age(now));
            if explores {
                // A failing target costs such a request only one send.
                return (weight / 16 * (1 + steps)).max(1);
            }
            (weight / (1 + steps).pow(PROOF_AGE_EXPONENT)).max(1)
        }
        Tier::Busy | Tier::LastResort => 1,
    }
}

/// Proof age in steps of 60 ms, at most 15. Targets begin to fail at any moment, so the probability
/// that one has done so grows with the time since its last proof.
fn proof_steps(age: Millis) -> u32 {
    const STEP: Millis = Millis(60);
    u32::try_from(age.0 / STEP.0).unwrap_or(u32::MAX).min(15)
}
