//! The targets of one service as one entry sees them.
//!
//! The floor is kept by construction: [`Fleet`] ejects a target only if the slots that stay in use
//! are at or above `min(floor, slots of all members)`, and reinstates the least suspicious ejected
//! targets whenever a departure breaks that bound. Each entry keeps the bound for itself, so the
//! fleet's capacity in use, the union over its entries, keeps it without any agreement.

use std::collections::HashMap;
use std::net::SocketAddr;

use auburnbridge_types::{DataCentre, Incarnation, Millis, Slots, TargetId, Timestamp, VmId};
use rand::Rng;
use slotmap::{SlotMap, new_key_type};

use crate::RequestClass;
use crate::decision::{Action, Decision, Reason};
use crate::evidence::{
    EvidenceReport, OwnEvidence, REPORT_LIFETIME, REPORT_LIMIT, REPORT_MINIMUM, suspect_weight,
};
use crate::health::{Observation, slow_limit_ms};
use crate::policy::ServicePolicy;
use crate::target::{Member, Presence, ServiceState, Target};

new_key_type! {
    /// Handle of a target within its [`Fleet`].
    pub struct TargetKey;
}

/// Time that a target gets no further work after it shed a request, unless no other is free.
const SHED_PAUSE: Millis = Millis(20);
/// Time after a shed for which slots count as scarce.
const SCARCITY_TIME: Millis = Millis(1_000);
/// Time for which a slot that an answer freed is taken to be free.
const FREED_TIME: Millis = Millis(2);
/// Time that a target without a lease stays in use without a success.
const STALE_GRACE: Millis = Millis(2_000);
/// Lead in nats that an ejected target needs to replace one that the floor keeps in use.
const SWAP_MARGIN: f64 = 2.0;

/// Evidence from which non-idempotent work goes to other targets, in nats: one slow answer.
const AVOID_SUSPICION: f64 = 1.9;
/// Time after the last fault for which a suspected target is avoided. The end lets a service that
/// has only non-idempotent work find out whether the target is well again.
const AVOID_TIME: Millis = Millis(30_000);
/// Time for which slow answers of a started target are no evidence.
const COLD_TIME: Millis = Millis(30_000);
/// Results after which the typical answer time is computed again; it changes slowly.
const TYPICAL_LATENCY_INTERVAL: u32 = 32;
/// Interval of the reports that the floor keeps a target in use.
const KEEP_REPORT_INTERVAL: Millis = Millis(1_000);
/// Bound of the factor by which earlier ejections lengthen a trial.
const TRIAL_FACTOR_LIMIT: u32 = 8;

/// The target chosen for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Handle for [`Fleet::finish`].
    pub key: TargetKey,
    /// The target's name.
    pub target: TargetId,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Number of its life.
    pub incarnation: Incarnation,
    /// Requests in flight from this entry per slot, with this one.
    pub load: f64,
    /// Evidence against the target, in nats.
    pub suspicion: f64,
    /// Number of targets that could have been chosen.
    pub candidates: usize,
}

/// One target for status reports.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// What the announcements say.
    pub member: Member,
    /// Whether it gets work.
    pub state: ServiceState,
    /// Evidence against it, in nats.
    pub suspicion: f64,
    /// Requests in flight from this entry.
    pub in_flight: u32,
    /// Ejections that are not forgiven yet.
    pub ejections: u32,
    /// Time of the last whole answer.
    pub last_success: Option<Timestamp>,
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct Fleet {
    policy: ServicePolicy,
    data_centre: Option<DataCentre>,
    targets: SlotMap<TargetKey, Target>,
    by_id: HashMap<TargetId, TargetKey>,
    /// Median of the targets' average answer times.
    typical_latency_ms: Option<f64>,
    results_until_median: u32,
    last_shed: Timestamp,
    /// Target whose slot the last answer freed.
    freed: Option<(TargetKey, Timestamp)>,
    /// Buffer of [`Fleet::choose`], kept to save an allocation per request.
    candidates: Vec<TargetKey>,
}

impl Fleet {
    /// Creates a fleet without targets.
    pub fn new(policy: ServicePolicy) -> Self {
        Self {
            policy,
            data_centre: None,
            targets: SlotMap::with_key(),
            by_id: HashMap::new(),
            typical_latency_ms: None,
            results_until_median: 0,
            last_shed: Timestamp(0),
            freed: None,
            candidates: Vec::new(),
        }
    }

    /// Names the entry's data centre, without which no evidence is shared.
    #[must_use]
    pub fn with_data_centre(mut self, data_centre: DataCentre) -> Self {
        self.data_centre = Some(data_centre);
        self
    }

    /// Replaces the policy after a change of the rules.
    pub fn set_policy(&mut self, now: Timestamp, policy: ServicePolicy) -> Vec<Decision> {
        self.policy = policy;
        self.restore_floor(now)
    }

    /// Takes over the present members; targets that are not listed have left.
    pub fn reconcile(&mut self, now: Timestamp, members: &[Member]) -> Vec<Decision> {
        let mut decisions = Vec::new();
        // An entry that starts can't tell which targets are cold.
        let cold_until = match self.by_id.len() {
            0 => Timestamp(0),
            _ => now.after(COLD_TIME),
        };
        for member in members {
            self.reconcile_member(cold_until, now, member, &mut decisions);
        }
        let listed: std::collections::HashSet<&TargetId> =
            members.iter().map(|member| &member.id).collect();
        let departed: Vec<TargetKey> = self
            .by_id
            .iter()
            .filter(|(id, _)| !listed.contains(id))
            .map(|(_, key)| *key)
            .collect();
        for key in departed {
            let target = self.targets.remove(key).expect("listed keys are live");
            self.by_id.remove(&target.member.id);
            decisions.push(self.decision(&target, Action::Remove, Reason::Departed));
        }
        decisions.extend(self.restore_floor(now));
        decisions
    }

    fn reconcile_member(
        &mut self,
        cold_until: Timestamp,
        now: Timestamp,
        member: &Member,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(&key) = self.by_id.get(&member.id) else {
            let mut target = Target::new(now, member.clone());
            target.cold_until = cold_until;
            let key = self.targets.insert(target);
            self.by_id.insert(member.id.clone(), key);
            decisions.push(self.decision(&self.targets[key], Action::Add, Reason::Announced));
            return;
        };
        let target = &mut self.targets[key];
        let restarted = target.member.incarnation != member.incarnation;
        let earlier_presence = target.member.presence;
        target.member = member.clone();
        if let (Presence::Stale(_), Presence::Stale(_)) = (earlier_presence, member.presence) {
            // The lease ended when it was first seen to have ended.
            target.member.presence = earlier_presence;
        }
        if restarted {
            target.health.clear_suspicion();
            target.remote.clear();
            target.cold_until = cold_until;
            if !target.in_use() {
                // A restarted target proves itself in a trial, since a crash loop also restarts.
                target.state = ServiceState::Trial { successes: 0 };
                decisions.push(self.decision(&self.targets[key], Action::Trial, Reason::Restarted));
            }
        }
    }

    /// Chooses a target and counts the request as in flight on it.
    pub fn choose(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        exclude: &[TargetKey],
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let in_use = self
            .targets
            .iter()
            .filter(|(key, target)| target.in_use() && !exclude.contains(key));
        candidates.extend(in_use.map(|(key, _)| key));
        let key = self
            .trial_candidate(class, exclude)
            .or_else(|| self.freed_candidate(now, class, &candidates))
            .or_else(|| self.choose_in_use(now, class, &mut candidates, rng));
        let count = candidates.len();
        self.candidates = candidates;
        let key = key?;
        let slow_limit_ms = self.slow_limit_ms();
        let target = &mut self.targets[key];
        target.starts.push(now);
        Some(Choice {
            key,
            target: target.member.id.clone(),
            address: target.member.address,
            incarnation: target.member.incarnation,
            load: f64::from(target.in_flight()) / f64::from(target.member.slots.0.max(1)),
            suspicion: target.suspicion(now, slow_limit_ms),
            candidates: count,
        })
    }

    /// The target whose slot has just become free, while slots are scarce: a random target is
    /// probably full then, and each shed costs a round trip.
    fn freed_candidate(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        candidates: &[TargetKey],
    ) -> Option<TargetKey> {
        let (key, freed) = self.freed.take()?;
        let is_scarce = now.since(self.last_shed) < SCARCITY_TIME;
        if !is_scarce || now.since(freed) > FREED_TIME || !candidates.contains(&key) {
            return None;
        }
        let is_risky = class == RequestClass::Once
            && is_avoided(now, &self.targets[key], self.slow_limit_ms());
        (!is_risky).then_some(key)
    }

    /// Non-idempotent work avoids targets under suspicion as long as the others don't shed, which
    /// needs less certainty than an ejection. Idempotent work is not steered by suspicion: its
    /// results are the evidence that clears or condemns a target.
    fn choose_in_use(
        &self,
        now: Timestamp,
        class: RequestClass,
        candidates: &mut [TargetKey],
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        if class == RequestClass::Idempotent {
            return self.choose_of_two(now, candidates, rng);
        }
        let slow_limit_ms = self.slow_limit_ms();
        let mut trusted = 0;
        for at in 0..candidates.len() {
            if !is_avoided(now, &self.targets[candidates[at]], slow_limit_ms) {
                candidates.swap(trusted, at);
                trusted += 1;
            }
        }
        self.choose_of_two(now, &candidates[..trusted], rng)
            .filter(|key| self.targets[*key].shed_until <= now)
            .or_else(|| self.choose_of_two(now, candidates, rng))
    }

    /// An idle target in its trial; only idempotent requests are risked on it.
    fn trial_candidate(&self, class: RequestClass, exclude: &[TargetKey]) -> Option<TargetKey> {
        if class != RequestClass::Idempotent {
            return None;
        }
        self.targets
            .iter()
            .find(|(key, target)| {
                matches!(target.state, ServiceState::Trial { .. })
                    && target.starts.is_empty()
                    && !exclude.contains(key)
            })
            .map(|(key, _)| key)
    }

    /// The better of two random candidates, which spreads load without a shared counter.
    fn choose_of_two(
        &self,
        now: Timestamp,
        candidates: &[TargetKey],
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        if candidates.is_empty() {
            return None;
        }
        let first = rng.random_range(0..candidates.len());
        let second = match candidates.len() {
            1 => first,
            count => (first + rng.random_range(1..count)) % count,
        };
        let (first, second) = (candidates[first], candidates[second]);
        Some(if self.cost(now, second) < self.cost(now, first) {
            second
        } else {
            first
        })
    }

    /// Order of preference: free of a recent shed, then low load.
    fn cost(&self, now: Timestamp, key: TargetKey) -> (bool, f64) {
        let target = &self.targets[key];
        (target.shed_until > now, target.load())
    }

    /// Ends a request on a target and takes its result as evidence.
    pub fn finish(
        &mut self,
        now: Timestamp,
        key: TargetKey,
        observation: Observation,
    ) -> Vec<Decision> {
        let typical_latency = self.typical_latency();
        let Some(target) = self.targets.get_mut(key) else {
            return Vec::new();
        };
        target.end_request(now, observation);
        if observation == Observation::Shed {
            target.shed_until = now.after(SHED_PAUSE);
            self.last_shed = now;
        } else if matches!(observation, Observation::Answered(_)) {
            self.freed = Some((key, now));
        }
        let peer_latency = typical_latency.filter(|_| now >= target.cold_until);
        let before = target.health.observations();
        target.health.observe(now, observation, peer_latency);
        if target.health.observations() == before {
            return Vec::new();
        }
        target.recent.add(now);
        let succeeded = matches!(observation, Observation::Answered(_));
        match target.state {
            ServiceState::InUse => self.judge(now, key),
            ServiceState::Trial { successes } => self.judge_trial(now, key, successes, succeeded),
            ServiceState::Ejected { .. } => Vec::new(),
        }
    }

    /// Median of the targets' average answer times, computed at intervals.
    fn typical_latency(&mut self) -> Option<f64> {
        if self.results_until_median > 0 {
            self.results_until_median -= 1;
            return self.typical_latency_ms;
        }
        self.results_until_median = TYPICAL_LATENCY_INTERVAL;
        let mut averages: Vec<f64> = self
            .targets
            .values()
            .filter_map(|target| target.health.latency_ms())
            .collect();
        averages.sort_by(f64::total_cmp);
        // Of two, the lower one: a slow target must not set the standard by which it is judged.
        let middle = averages.len().saturating_sub(1) / 2;
        self.typical_latency_ms = averages.get(middle).copied();
        self.typical_latency_ms
    }

    fn slow_limit_ms(&self) -> f64 {
        slow_limit_ms(self.typical_latency_ms)
    }

    fn judge(&mut self, now: Timestamp, key: TargetKey) -> Vec<Decision> {
        let target = &self.targets[key];
        if target.suspicion(now, self.slow_limit_ms()) >= self.policy.sensitivity.threshold() {
            return self.try_eject(now, key, Reason::Suspicion);
        }
        if target.remote.assessed >= self.policy.sensitivity.shared_threshold() {
            return self.try_eject(now, key, Reason::SharedSuspicion);
        }
        Vec::new()
    }

    /// What this entry saw of the targets that it or others suspect, for the other entries.
    pub fn evidence(&mut self, now: Timestamp) -> Vec<EvidenceReport> {
        let Some(data_centre) = self.data_centre.clone() else {
            return Vec::new();
        };
        let slow_limit_ms = self.slow_limit_ms();
        let mut reports = Vec::new();
        for target in self.targets.values_mut() {
            target.remote.expire(now);
            let suspicion = target.suspicion(now, slow_limit_ms);
            let last_fault = target.health.last_fault();
            let is_recent = last_fault.is_some_and(|fault| now.since(fault) < REPORT_LIFETIME)
                || suspicion > target.health.suspicion();
            let is_suspected = suspicion >= REPORT_MINIMUM && is_recent;
            let reported = if is_suspected { suspicion } else { 0.0 };
            if !target.remote.needs_report(now, reported) {
                continue;
            }
            reports.push(EvidenceReport {
                target: target.member.id.clone(),
                incarnation: target.member.incarnation,
                suspicion: reported,
                observations: target.recent.get(now),
                data_centre: data_centre.clone(),
            });
        }
        reports.sort_by(|a, b| b.suspicion.total_cmp(&a.suspicion));
        reports.truncate(REPORT_LIMIT);
        reports
    }

    /// Takes over another entry's reports and decides on the targets that they concern.
    pub fn merge_evidence(
        &mut self,
        now: Timestamp,
        from: &VmId,
        reports: &[EvidenceReport],
    ) -> Vec<Decision> {
        let mut changed = Vec::new();
        for report in reports.iter().take(REPORT_LIMIT) {
            let Some(&key) = self.by_id.get(&report.target) else {
                continue;
            };
            let target = &mut self.targets[key];
            if target.member.incarnation == report.incarnation {
                target.remote.merge(now, from, report);
                changed.push(key);
            }
        }
        self.weigh_reports(now, from);
        let mut decisions = Vec::new();
        for key in changed {
            self.assess(now, key);
            if self.targets[key].in_use() {
                decisions.extend(self.judge(now, key));
            }
        }
        decisions
    }

    /// Weighs an entry's suspicions by their number over all its messages that still count, since an
    /// unchanged report is not in every message.
    fn weigh_reports(&mut self, now: Timestamp, from: &VmId) {
        let mut suspects = 0;
        for target in self.targets.values_mut() {
            target.remote.expire(now);
            suspects += u32::from(target.remote.is_suspected_by(from));
        }
        let weight = suspect_weight(suspects);
        for target in self.targets.values_mut() {
            target.remote.set_weight(from, weight);
        }
    }

    fn assess(&mut self, now: Timestamp, key: TargetKey) {
        let slow_limit_ms = self.slow_limit_ms();
        let target = &mut self.targets[key];
        if !target.in_use() {
            return;
        }
        target.remote.expire(now);
        let own = OwnEvidence {
            suspicion: target.suspicion(now, slow_limit_ms),
            observations: target.recent.get(now),
            data_centre: self.data_centre.as_ref(),
        };
        // Half of the threshold: it takes two other entries at least.
        let share_limit = self.policy.sensitivity.shared_threshold() / 2.0;
        target.remote.assessed = target.remote.assess(&own, share_limit).unwrap_or(0.0);
    }

    fn judge_trial(
        &mut self,
        now: Timestamp,
        key: TargetKey,
        successes: u32,
        succeeded: bool,
    ) -> Vec<Decision> {
        if !succeeded {
            self.set_ejected(now, key);
            return vec![self.decision(&self.targets[key], Action::Eject, Reason::TrialFailed)];
        }
        let successes = successes + 1;
        let target = &mut self.targets[key];
        let factor = target.ejections.clamp(1, TRIAL_FACTOR_LIMIT);
        if successes < self.policy.trial_successes.saturating_mul(factor) {
            target.state = ServiceState::Trial { successes };
            return Vec::new();
        }
        target.health.clear_suspicion();
        target.remote.clear();
        target.state = ServiceState::InUse;
        target.healthy_since = now;
        target.probation_until = now.after(target.last_ejection);
        vec![self.decision(&self.targets[key], Action::Reinstate, Reason::TrialPassed)]
    }

    /// Makes the decisions that depend on time: ends of ejections, lost leases and forgiveness.
    pub fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let keys: Vec<TargetKey> = self.targets.keys().collect();
        for key in keys {
            decisions.extend(self.decide_target(now, key));
        }
        decisions.extend(self.restore_floor(now));
        decisions
    }

    fn decide_target(&mut self, now: Timestamp, key: TargetKey) -> Vec<Decision> {
        let forgive_after = self.policy.forgive_after;
        let target = &mut self.targets[key];
        match target.state {
            ServiceState::Ejected { until } if now >= until => {
                target.state = ServiceState::Trial { successes: 0 };
                vec![self.decision(&self.targets[key], Action::Trial, Reason::EjectionOver)]
            }
            ServiceState::InUse => {
                if target.ejections > 0 && now.since(target.healthy_since) >= forgive_after {
                    target.ejections -= 1;
                    target.healthy_since = now;
                }
                self.assess(now, key);
                let decisions = self.judge(now, key);
                if !decisions.is_empty() {
                    return decisions;
                }
                let target = &self.targets[key];
                match target.member.presence {
                    Presence::Stale(since) if lease_is_lost(now, since, target) => {
                        self.try_eject(now, key, Reason::LeaseLost)
                    }
                    Presence::Stale(_) | Presence::Ready => Vec::new(),
                }
            }
            ServiceState::Ejected { .. } | ServiceState::Trial { .. } => Vec::new(),
        }
    }

    /// Ejects a target unless the floor forbids it; then a less suspicious one may take its place.
    fn try_eject(&mut self, now: Timestamp, key: TargetKey, reason: Reason) -> Vec<Decision> {
        let slots = self.targets[key].member.slots;
        if self.in_use().0.saturating_sub(slots.0) >= self.bound().0 {
            self.set_ejected(now, key);
            return vec![self.decision(&self.targets[key], Action::Eject, reason)];
        }
        let Some(substitute) = self.substitute_for(key) else {
            return self.keep(now, key);
        };
        self.targets[substitute].state = ServiceState::InUse;
        let reinstated = self.decision(&self.targets[substitute], Action::Reinstate, Reason::Floor);
        self.set_ejected(now, key);
        vec![
            reinstated,
            self.decision(&self.targets[key], Action::Eject, reason),
        ]
    }

    /// Reports that the floor prevents an ejection, at most once per [`KEEP_REPORT_INTERVAL`].
    fn keep(&mut self, now: Timestamp, key: TargetKey) -> Vec<Decision> {
        let target = &mut self.targets[key];
        if now < target.keep_reported_until {
            return Vec::new();
        }
        target.keep_reported_until = now.after(KEEP_REPORT_INTERVAL);
        vec![self.decision(&self.targets[key], Action::Keep, Reason::Floor)]
    }

    /// An ejected target that is clearly less suspicious and has enough slots to hold the floor.
    fn substitute_for(&self, key: TargetKey) -> Option<TargetKey> {
        let sick = &self.targets[key];
        let without = self.in_use().0.saturating_sub(sick.member.slots.0);
        self.targets
            .iter()
            .filter(|(_, target)| !target.in_use())
            .filter(|(_, target)| without + target.member.slots.0 >= self.bound().0)
            .filter(|(_, target)| rank(target) + SWAP_MARGIN <= rank(sick))
            .min_by(|a, b| rank(a.1).total_cmp(&rank(b.1)))
            .map(|(key, _)| key)
    }

    fn set_ejected(&mut self, now: Timestamp, key: TargetKey) {
        let doublings = self.targets[key].ejections.min(16);
        let time = Millis(
            self.policy
                .ejection_time
                .0
                .saturating_mul(1 << doublings)
                .min(self.policy.ejection_limit.0),
        );
        let target = &mut self.targets[key];
        target.ejections += 1;
        target.last_ejection = time;
        target.state = ServiceState::Ejected {
            until: now.after(time),
        };
    }

    /// Reinstates the least suspicious targets until the floor holds again.
    fn restore_floor(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while self.in_use() < self.bound() {
            let key = self
                .targets
                .iter()
                .filter(|(_, target)| !target.in_use())
                .min_by(|a, b| rank(a.1).total_cmp(&rank(b.1)))
                .map(|(key, _)| key)
                .expect("slots below the bound belong to targets that are not in use");
            let target = &mut self.targets[key];
            target.state = ServiceState::InUse;
            target.healthy_since = now;
            decisions.push(self.decision(&self.targets[key], Action::Reinstate, Reason::Floor));
        }
        decisions
    }

    /// Slots of the targets in use.
    pub fn in_use(&self) -> Slots {
        Slots(
            self.targets
                .values()
                .filter(|target| target.in_use())
                .map(|target| target.member.slots.0)
                .sum(),
        )
    }

    /// Slots that must stay in use: the floor, or all slots if there are fewer.
    pub fn bound(&self) -> Slots {
        let all = self
            .targets
            .values()
            .map(|target| target.member.slots.0)
            .sum();
        Slots(self.policy.floor.0.min(all))
    }

    /// All targets, for status reports.
    pub fn view(&self) -> Vec<TargetView> {
        self.targets
            .values()
            .map(|target| TargetView {
                member: target.member.clone(),
                state: target.state,
                suspicion: target.health.suspicion(),
                in_flight: target.in_flight(),
                ejections: target.ejections,
                last_success: target.health.last_success(),
            })
            .collect()
    }

    fn decision(&self, target: &Target, action: Action, reason: Reason) -> Decision {
        Decision {
            target: target.member.id.clone(),
            action,
            reason,
            suspicion: target.health.suspicion(),
            threshold: self.policy.sensitivity.threshold(),
            in_use: self.in_use(),
            floor: self.policy.floor,
        }
    }
}

/// Whether non-idempotent work goes to other targets.
fn is_avoided(now: Timestamp, target: &Target, slow_limit_ms: f64) -> bool {
    if now < target.probation_until {
        return true;
    }
    let own = target.suspicion(now, slow_limit_ms);
    if own < AVOID_SUSPICION {
        return target.remote.witness_count() >= 2;
    }
    let is_recent = target.health.suspicion() < AVOID_SUSPICION
        || (target.health.last_fault()).is_some_and(|fault| now.since(fault) < AVOID_TIME);
    is_recent || target.remote.witness_count() >= 1
}

/// Evidence by which targets are compared, of this entry or of several together.
fn rank(target: &Target) -> f64 {
    target.health.suspicion().max(target.remote.assessed)
}

fn lease_is_lost(now: Timestamp, since: Timestamp, target: &Target) -> bool {
    let last_success = target.health.last_success().unwrap_or(since).max(since);
    now.since(last_success) >= STALE_GRACE
}
