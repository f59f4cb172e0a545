//! The choice among the targets of one service.

use auburnbridge_types::{Millis, Timestamp};
use rand::Rng;

use super::balancer::{Balancer, Pick};
use super::evidence::STRONG_NATS;
use super::target::{BalancedKey, BalancedTarget, SUSPECT_NATS};
use crate::RequestClass;

/// Time without news after which an idempotent request tests a target that is probably well, or has
/// just answered one.
const WEAK_TEST_INTERVAL: Millis = Millis(150);
/// The same for a target that probably fails.
const STRONG_TEST_INTERVAL: Millis = Millis(700);
/// Requests beyond its slots that a target gets. Its own queue knows no ranks, and what waits there
/// makes everything behind it late.
const MOST_QUEUED: u32 = 1;
/// Power of the age of a proof by which a target weighs less for work that a failure would lose.
const PROOF_POWER: u32 = 3;

/// Order in which targets are taken; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Trusted and free, and this gateway is its home.
    HomeFree,
    /// Trusted and free in this data centre; traffic between data centres costs more.
    NearFree,
    /// Trusted and free elsewhere.
    Free,
    /// Suspected and free, and trusted only because of the floor.
    FloorFree,
    /// Weakly suspected but free, for a request that can be sent again elsewhere.
    SuspectFree,
    /// Busy: the request would wait in the target's own queue.
    Busy,
    /// Suspected but free, where a failure is likely or would lose the request.
    Risky,
    /// Down or suspected and busy.
    Last,
}

impl Balancer {
    /// Picks a target with a free slot and counts the request as in flight on it; `None` means that
    /// the request should wait for one.
    pub fn pick(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let worst = match class {
            RequestClass::Idempotent => Rank::SuspectFree,
            // A suspected target would lose the request for good.
            RequestClass::Once => Rank::FloorFree,
        };
        self.pick_up_to(now, class, worst, tried, rng)
    }

    /// Picks a suspected target with a free slot that is due for a test, for an idempotent request
    /// that no target had yet. It takes no room from other requests, which don't go there.
    pub fn pick_test(&mut self, now: Timestamp) -> Option<Pick> {
        let key = self.suspect_to_test(now)?;
        Some(self.start(now, key))
    }

    /// Picks a trusted target whose slots are taken but in whose own queue hardly any request waits,
    /// for a request that has waited for long.
    pub fn pick_busy(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        self.pick_up_to(now, class, Rank::Busy, tried, rng)
    }

    /// Picks the least bad target, also one that is down or suspected, where none is trusted.
    pub fn pick_any(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        self.pick_up_to(now, class, Rank::Last, tried, rng)
    }

    fn pick_up_to(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        worst: Rank,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let key = self.draw_up_to(now, class, worst, tried, rng)?;
        Some(self.start(now, key))
    }

    fn start(&mut self, now: Timestamp, key: BalancedKey) -> Pick {
        let target = &mut self.targets[key];
        target.start(now);
        Pick {
            key,
            target: target.member.id.clone(),
            address: target.member.address,
            incarnation: target.member.incarnation,
            in_flight: target.in_flight(),
            suspicion: target.suspicion(now),
        }
    }

    /// A suspected target of this gateway that no request has tested for a while. Idempotent requests
    /// can be sent again elsewhere, so they are the ones that find out. Evidence against a target whose
    /// home doesn't test it fades within seconds.
    fn suspect_to_test(&self, now: Timestamp) -> Option<BalancedKey> {
        self.targets
            .iter()
            .filter(|(_, target)| target.is_home && !target.is_down(now))
            .filter(|(_, target)| target.is_suspect(now))
            .filter(|(_, target)| target.own == 0 && target.free(now) > 0)
            .filter(|(_, target)| now.since(target.last_news) >= self.test_interval(now, target))
            .min_by_key(|(_, target)| target.last_news)
            .map(|(key, _)| key)
    }

    fn is_near(&self, target: &BalancedTarget) -> bool {
        target.member.data_centre == self.options.own.data_centre
    }

    /// Two gateways that both take the target for theirs would test at the same moment, so each waits
    /// for a time of its own, up to twice the shortest one.
    fn test_interval(&self, now: Timestamp, target: &BalancedTarget) -> Millis {
        let shortest = if target.answered_last || target.suspicion(now) < STRONG_NATS {
            WEAK_TEST_INTERVAL
        } else {
            STRONG_TEST_INTERVAL
        };
        let spread = (self.options.seed ^ u64::from(target.hash.0)) % shortest.0;
        Millis(shortest.0 + spread)
    }

    /// The target with the latest proof among the gateway's own, or the one with the oldest for a
    /// request that may find out that a target has begun to fail. Among the others a random one,
    /// weighted by free slots, so that gateways with the same view don't all take the same one.
    fn draw_up_to(
        &self,
        now: Timestamp,
        class: RequestClass,
        worst: Rank,
        tried: &[BalancedKey],
        rng: &mut impl Rng,
    ) -> Option<BalancedKey> {
        let floor_limit = self.floor_limit(now);
        // The first send of an idempotent request may find out that a target has begun to fail.
        let is_test = class == RequestClass::Idempotent && tried.is_empty();
        let mut best = worst;
        let mut candidates: Vec<BalancedKey> = Vec::new();
        for (key, target) in &self.targets {
            if tried.contains(&key) {
                continue;
            }
            let rank = self.rank(now, class, target, floor_limit);
            if rank > best {
                continue;
            }
            if rank < best {
                best = rank;
                candidates.clear();
            }
            candidates.push(key);
        }
        if best == Rank::HomeFree {
            let proofs = candidates
                .iter()
                .map(|key| (self.targets[*key].proof_age(now), *key));
            let chosen = if is_test { proofs.max() } else { proofs.min() };
            return chosen.map(|(_, key)| key);
        }
        let weights: Vec<u32> = candidates
            .iter()
            .map(|key| weight(now, is_test, best, &self.targets[*key]))
            .collect();
        let total: u32 = weights.iter().sum();
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

    fn rank(
        &self,
        now: Timestamp,
        class: RequestClass,
        target: &BalancedTarget,
        floor_limit: f64,
    ) -> Rank {
        let suspicion = target.suspicion(now);
        let is_strong = suspicion >= STRONG_NATS;
        let is_clear = suspicion < SUSPECT_NATS;
        let is_trusted = is_clear || (suspicion <= floor_limit && !is_strong);
        let is_risky = class == RequestClass::Once || is_strong;
        if target.is_down(now) {
            return Rank::Last;
        }
        let is_free = target.free(now) > 0 && now >= target.shed_until;
        match (is_trusted, is_free) {
            (true, true) if !is_clear => Rank::FloorFree,
            (true, true) if target.is_home && self.prefers_homes => Rank::HomeFree,
            (true, true) if self.is_near(target) => Rank::NearFree,
            (true, true) => Rank::Free,
            (false, true) if is_risky => Rank::Risky,
            (false, true) => Rank::SuspectFree,
            (true, false) if target.in_flight() < target.capacity(now) + MOST_QUEUED => Rank::Busy,
            (true | false, false) => Rank::Last,
        }
    }

    /// Suspicion up to which targets must be trusted for the floor's share of them to get work. Those
    /// that probably fail are no capacity and stay out whatever the floor says.
    fn floor_limit(&self, now: Timestamp) -> f64 {
        let mut suspicions: Vec<f64> = self
            .targets
            .values()
            .filter(|target| !target.is_down(now))
            .map(|target| target.suspicion(now))
            .collect();
        if suspicions.is_empty() {
            return SUSPECT_NATS;
        }
        suspicions.sort_by(f64::total_cmp);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a share of a count of targets"
        )]
        let floor = (suspicions.len() as f64 * self.options.floor_share).ceil() as usize;
        suspicions[floor.clamp(1, suspicions.len()) - 1]
    }
}

/// Weight of a candidate in the draw.
fn weight(now: Timestamp, is_test: bool, rank: Rank, target: &BalancedTarget) -> u32 {
    match rank {
        Rank::HomeFree
        | Rank::NearFree
        | Rank::Free
        | Rank::FloorFree
        | Rank::SuspectFree
        | Rank::Risky => {
            let free = target.free(now);
            // What others have there is known late, so gateways do best to keep apart.
            let crowding = (1 + target.others).min(8);
            let weight = free * free * 1_024 / (crowding * crowding);
            let steps = proof_steps(target.proof_age(now));
            if is_test {
                // What a failing target costs here is one send.
                return (weight / 16 * (1 + steps)).max(1);
            }
            (weight / (1 + steps).pow(PROOF_POWER)).max(1)
        }
        Rank::Busy | Rank::Last => 1,
    }
}

/// Age of a proof in steps. Targets begin to fail at any moment, so the chance that one has begun
/// grows with the time since it was last seen to work.
fn proof_steps(age: Millis) -> u32 {
    const STEP: Millis = Millis(60);
    u32::try_from(age.0 / STEP.0).unwrap_or(u32::MAX).min(15)
}
