//! The targets of one service and the choice among them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use auburnbridge_types::{Incarnation, Millis, TargetId, Timestamp, VmId};
use rand::Rng;
use slotmap::SlotMap;

use super::evidence::{Finding, Origin, STRONG_NATS};
use super::homes::{GatewayPlace, home_targets};
use super::report::{LoadReport, ReportedFinding, TargetHash, TargetLoad};
use super::target::{BalancedKey, BalancedMember, BalancedTarget, COLD_TIME, SUSPECT_NATS};
use crate::RequestClass;

/// Time after which a gateway's report of its requests in flight no longer counts.
const REPORT_LIFETIME: Millis = Millis(1_500);
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
/// Resolution of the ages of proofs in reports.
const PROOF_STEP_MS: u64 = 8;
/// Share of the slots from which a service is crowded.
const CROWDED_SHARE: f64 = 0.6;
/// Weight of the newest answer in the average answer time.
const LATENCY_WEIGHT: f64 = 0.05;
/// Answer time that is assumed before any was measured.
const ASSUMED_LATENCY_MS: f64 = 250.0;
/// Multiple of the average answer time from which an answer is slow. Rare long requests take five
/// times the usual time.
const SLOW_FACTOR: f64 = 3.0;

/// Targets of its own from which a gateway prefers them. With fewer, those that fail leave it too
/// little, and all gateways do better to share all targets.
const LEAST_HOMES: usize = 4;

/// Settings of a [`Balancer`].
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerOptions {
    /// The gateway.
    pub own: GatewayPlace,
    /// Share of the targets that get work even if they are suspected.
    pub floor_share: f64,
    /// Number by which this gateway's times differ from those of others.
    pub seed: u64,
}

/// The target picked for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Handle for [`Balancer::finish`].
    pub key: BalancedKey,
    /// Its name.
    pub target: TargetId,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Number of its life.
    pub incarnation: Incarnation,
    /// Requests in flight on it from all gateways, with this one.
    pub in_flight: u32,
    /// Evidence against it, in nats.
    pub suspicion: f64,
}

/// Counts of a service's targets, for logs and estimates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetSummary {
    /// Targets without suspicion.
    pub trusted: u32,
    /// Slots of the trusted targets.
    pub slots: u32,
    /// Requests in flight on all targets from all gateways.
    pub in_flight: u32,
}

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

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalancerOptions,
    /// All gateways, this one included.
    gateways: Vec<GatewayPlace>,
    /// Whether this gateway has enough targets of its own to send most work there.
    prefers_homes: bool,
    targets: SlotMap<BalancedKey, BalancedTarget>,
    by_id: HashMap<TargetId, BalancedKey>,
    by_hash: HashMap<TargetHash, BalancedKey>,
    /// Last report of each other gateway.
    reports: HashMap<VmId, (Timestamp, LoadReport)>,
    latency_ms: f64,
    /// Findings that the other gateways have not been told yet.
    unreported: Vec<ReportedFinding>,
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(options: BalancerOptions) -> Self {
        Self {
            gateways: vec![options.own.clone()],
            prefers_homes: false,
            options,
            targets: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            reports: HashMap::new(),
            latency_ms: ASSUMED_LATENCY_MS,
            unreported: Vec::new(),
        }
    }

    /// Takes over the targets that take work; those that are not listed have left.
    pub fn set_members(&mut self, now: Timestamp, members: &[BalancedMember]) {
        // A gateway that starts can't tell which targets are cold.
        let cold_until = match self.by_id.len() {
            0 => Timestamp(0),
            _ => now.after(COLD_TIME),
        };
        let listed: HashSet<&TargetId> = members.iter().map(|member| &member.id).collect();
        self.by_id.retain(|id, key| {
            let stays = listed.contains(id);
            if !stays {
                self.targets.remove(*key);
            }
            stays
        });
        for member in members {
            match self.by_id.get(&member.id) {
                None => {
                    let target = BalancedTarget::new(member.clone(), cold_until);
                    let key = self.targets.insert(target);
                    self.by_id.insert(member.id.clone(), key);
                }
                Some(key) => {
                    let target = &mut self.targets[*key];
                    if target.member.incarnation == member.incarnation {
                        target.member = member.clone();
                    } else {
                        target.restart(now, member.clone());
                    }
                }
            }
        }
        self.by_hash = self
            .targets
            .iter()
            .map(|(key, target)| (target.hash, key))
            .collect();
        self.count_reports(now);
        self.assign_homes();
    }

    /// Takes over the other gateways.
    pub fn set_gateways(&mut self, others: &[GatewayPlace]) {
        let mut gateways = vec![self.options.own.clone()];
        gateways.extend(others.iter().cloned());
        if gateways != self.gateways {
            self.gateways = gateways;
            self.assign_homes();
        }
    }

    /// Number of gateways, this one included.
    pub fn gateways(&self) -> usize {
        self.gateways.len()
    }

    fn assign_homes(&mut self) {
        let targets = self.targets.values();
        let homes = home_targets(
            &self.options.own,
            &self.gateways,
            targets.map(|target| (target.hash, &target.member.data_centre)),
        );
        self.prefers_homes = homes.len() >= LEAST_HOMES;
        for target in self.targets.values_mut() {
            target.is_home = homes.contains(&target.hash);
        }
    }

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
        let mut candidates: Vec<(BalancedKey, u32)> = Vec::new();
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
            candidates.push((key, weight(now, is_test, rank, target)));
        }
        if best == Rank::HomeFree {
            let proofs = candidates
                .iter()
                .map(|(key, _)| (self.targets[*key].proof_age(now), *key));
            let chosen = if is_test { proofs.max() } else { proofs.min() };
            return chosen.map(|(_, key)| key);
        }
        let total: u32 = candidates.iter().map(|(_, weight)| weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = rng.random_range(0..total);
        candidates.into_iter().find_map(|(key, weight)| {
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

    /// Ends a request on a target and takes what it says as evidence.
    pub fn finish(&mut self, now: Timestamp, key: BalancedKey, finding: Option<Finding>) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.own = target.own.saturating_sub(1);
        if let Some(finding) = finding {
            self.observe(now, key, finding);
        }
    }

    /// Takes a finding of this gateway as evidence.
    pub fn observe(&mut self, now: Timestamp, key: BalancedKey, finding: Finding) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        // A success is news for the others only if they may suspect the target too.
        let is_reported = finding.is_reported()
            || (matches!(finding, Finding::Answered | Finding::Slow)
                && target.evidence.nats(now) > 0.5);
        target.observe(now, finding, Origin::Own);
        if is_reported {
            self.unreported.push(ReportedFinding {
                target: target.hash,
                finding,
            });
        }
    }

    /// The finding that an answer after `time` is, and its part in the average answer time.
    pub fn judge_answer(&mut self, time: Millis) -> Finding {
        let time_ms = f64::from(u32::try_from(time.0).unwrap_or(u32::MAX));
        let is_slow = time_ms > self.latency_ms * SLOW_FACTOR;
        self.latency_ms += (time_ms - self.latency_ms) * LATENCY_WEIGHT;
        if is_slow {
            Finding::Slow
        } else {
            Finding::Answered
        }
    }

    /// Average answer time of the service.
    pub fn latency(&self) -> Millis {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an average of times is neither negative nor above their maximum"
        )]
        Millis(self.latency_ms as u64)
    }

    /// Takes over what another gateway found.
    pub fn hear_findings(&mut self, now: Timestamp, findings: &[ReportedFinding]) {
        for told in findings {
            if let Some(key) = self.by_hash.get(&told.target) {
                self.targets[*key].observe(now, told.finding, Origin::Reported);
            }
        }
    }

    /// Takes over what another gateway has in flight.
    pub fn hear_load(&mut self, now: Timestamp, from: &VmId, report: LoadReport) {
        for load in &report.in_flight {
            if load.proof_age < u8::MAX
                && let Some(key) = self.by_hash.get(&load.target)
            {
                let target = &mut self.targets[*key];
                let proven = now
                    .0
                    .saturating_sub(u64::from(load.proof_age) * PROOF_STEP_MS);
                target.proven = target.proven.max(Timestamp(proven));
            }
        }
        // Reports arrive hundreds of times a second, so only what changes is counted.
        let over = self
            .reports
            .extract_if(|vm, (at, _)| vm == from || now.since(*at) >= REPORT_LIFETIME);
        for (_, (_, earlier)) in over {
            for (key, in_flight) in known_loads(&self.by_hash, &earlier) {
                self.targets[key].others -= in_flight;
            }
        }
        for (key, in_flight) in known_loads(&self.by_hash, &report) {
            self.targets[key].others += in_flight;
        }
        self.reports.insert(from.clone(), (now, report));
    }

    /// Counts all reports anew, after the targets have changed.
    fn count_reports(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
        for target in self.targets.values_mut() {
            target.others = 0;
        }
        for (_, report) in self.reports.values() {
            for (key, in_flight) in known_loads(&self.by_hash, report) {
                self.targets[key].others += in_flight;
            }
        }
    }

    /// The findings since the last call, for the other gateways.
    pub fn take_unreported(&mut self) -> Vec<ReportedFinding> {
        std::mem::take(&mut self.unreported)
    }

    /// What this gateway has in flight.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        LoadReport {
            in_flight: self
                .targets
                .values()
                .filter(|target| target.own > 0)
                .map(|target| TargetLoad {
                    target: target.hash,
                    in_flight: u8::try_from(target.own).unwrap_or(u8::MAX),
                    proof_age: u8::try_from(target.proof_age(now).0 / PROOF_STEP_MS)
                        .unwrap_or(u8::MAX),
                })
                .collect(),
        }
    }

    /// Whether so many slots are taken that the gateways get in each other's way unless they know
    /// soon what the others do.
    pub fn is_crowded(&self, now: Timestamp) -> bool {
        let summary = self.summary(now);
        f64::from(summary.in_flight) >= f64::from(summary.slots) * CROWDED_SHARE
    }

    /// Counts of the targets.
    pub fn summary(&self, now: Timestamp) -> TargetSummary {
        let mut summary = TargetSummary::default();
        for target in self.targets.values() {
            summary.in_flight += target.in_flight();
            if !target.is_down(now) && !target.is_suspect(now) {
                summary.trusted += 1;
                summary.slots += target.member.slots.0;
            }
        }
        summary
    }
}

/// The requests in flight that a report states, on the targets that are known here.
fn known_loads(
    by_hash: &HashMap<TargetHash, BalancedKey>,
    report: &LoadReport,
) -> impl Iterator<Item = (BalancedKey, u32)> {
    report
        .in_flight
        .iter()
        .filter_map(|load| Some((*by_hash.get(&load.target)?, load.in_flight.into())))
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
