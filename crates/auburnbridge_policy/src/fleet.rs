//! One entry's state of the targets of one service.
//!
//! The floor is the minimum number of slots that ejections leave in use. It holds by construction:
//! [`Fleet`] ejects a target only if the slots that stay in use are at least the effective floor,
//! `min(floor, slots of all members)`, and reinstates the least suspicious ejected targets when a
//! departure violates it. Each entry maintains the effective floor independently, so the union of
//! the targets that the entries use maintains it without coordination.

use std::collections::HashMap;
use std::net::SocketAddr;

use auburnbridge_types::{DataCentre, Incarnation, Millis, Slots, TargetId, Timestamp, VmId};
use rand::Rng;
use slotmap::{SlotMap, new_key_type};

use crate::RequestClass;
use crate::decision::{Action, Decision, Reason};
use crate::evidence::{
    EvidenceReport, MAX_REPORTS, OwnEvidence, REPORT_LIFETIME, REPORT_THRESHOLD, suspect_weight,
};
use crate::health::{Observation, slow_limit_ms};
use crate::policy::EjectionPolicy;
use crate::target::{Member, Presence, ServiceState, Target};

new_key_type! {
    /// Handle of a target within its [`Fleet`].
    pub struct TargetKey;
}

/// Time for which a target that shed a request gets no further ones, unless no other is free.
const SHED_BACKOFF: Millis = Millis(20);
/// Time after a shed during which slots count as scarce.
const SCARCITY_TIME: Millis = Millis(1_000);
/// Time for which a slot that an answer freed is assumed to stay free.
const FREED_SLOT_LIFETIME: Millis = Millis(2);
/// Time for which a target whose lease expired stays in use without a successful request.
const LEASE_GRACE: Millis = Millis(2_000);
/// Difference in suspicion at which an ejected target replaces one that the floor keeps in use, in
/// nats.
const SUBSTITUTION_MARGIN: f64 = 2.0;

/// Suspicion from which non-idempotent requests avoid a target, in nats: that of one slow answer.
const AVOID_THRESHOLD: f64 = 1.9;
/// Time after the last failure for which a suspected target is avoided. It is limited so that a service
/// with only non-idempotent requests detects that the target has recovered.
const AVOID_TIME: Millis = Millis(30_000);
/// Time after its start for which slow answers of a target are no evidence.
const COLD_TIME: Millis = Millis(30_000);
/// Number of results after which the median latency, which changes slowly, is computed again.
const MEDIAN_LATENCY_INTERVAL: u32 = 32;
/// Minimum interval between reports that the floor keeps a target in use.
const KEEP_REPORT_INTERVAL: Millis = Millis(1_000);
/// Upper bound of the factor by which earlier ejections lengthen a trial.
const MAX_TRIAL_FACTOR: u32 = 8;

/// The target chosen for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Handle for [`Fleet::finish`].
    pub key: TargetKey,
    /// Name of the target.
    pub target: TargetId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Incarnation number of the target.
    pub incarnation: Incarnation,
    /// Requests in flight from this entry per slot, including this one.
    pub load: f64,
    /// Evidence against the target, in nats.
    pub suspicion: f64,
    /// Number of targets in use that were eligible.
    pub candidates: usize,
}

/// State of one target, for status reports.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The target as the membership lists it.
    pub member: Member,
    /// Whether it gets requests.
    pub state: ServiceState,
    /// Evidence against it, in nats.
    pub suspicion: f64,
    /// Requests in flight from this entry.
    pub in_flight: u32,
    /// Count of earlier ejections, which falls while the target is healthy.
    pub ejections: u32,
    /// Time of the last complete answer.
    pub last_success: Option<Timestamp>,
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct Fleet {
    policy: EjectionPolicy,
    data_centre: Option<DataCentre>,
    targets: SlotMap<TargetKey, Target>,
    by_id: HashMap<TargetId, TargetKey>,
    /// Median of the targets' average latencies.
    median_latency_ms: Option<f64>,
    results_until_median: u32,
    last_shed: Timestamp,
    /// Target whose slot the last answer freed, and when.
    freed_slot: Option<(TargetKey, Timestamp)>,
    /// Buffer of [`Fleet::choose`], reused to avoid an allocation per request.
    candidates: Vec<TargetKey>,
}

impl Fleet {
    /// Creates a fleet without targets.
    pub fn new(policy: EjectionPolicy) -> Self {
        Self {
            policy,
            data_centre: None,
            targets: SlotMap::with_key(),
            by_id: HashMap::new(),
            median_latency_ms: None,
            results_until_median: 0,
            last_shed: Timestamp(0),
            freed_slot: None,
            candidates: Vec::new(),
        }
    }

    /// Sets the entry's data centre, without which no evidence is exchanged.
    #[must_use]
    pub fn with_data_centre(mut self, data_centre: DataCentre) -> Self {
        self.data_centre = Some(data_centre);
        self
    }

    /// Replaces the policy and reinstates targets if the new floor requires it.
    pub fn set_policy(&mut self, now: Timestamp, policy: EjectionPolicy) -> Vec<Decision> {
        self.policy = policy;
        self.restore_floor(now)
    }

    /// Updates the targets to the current members; targets that are not listed are removed.
    pub fn reconcile(&mut self, now: Timestamp, members: &[Member]) -> Vec<Decision> {
        let mut decisions = Vec::new();
        // An entry that has just started can't tell which targets are cold.
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
            let target = self
                .targets
                .remove(key)
                .expect("`by_id` holds only keys of existing targets");
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
        let previous_presence = target.member.presence;
        target.member = member.clone();
        if let (Presence::Stale(_), Presence::Stale(_)) = (previous_presence, member.presence) {
            // The lease expired when its expiry was first observed.
            target.member.presence = previous_presence;
        }
        if restarted {
            target.health.clear_suspicion();
            target.remote.clear();
            target.cold_until = cold_until;
            if !target.in_use() {
                // Requires a trial, since a target in a crash loop also restarts.
                target.state = ServiceState::Trial { successes: 0 };
                decisions.push(self.decision(&self.targets[key], Action::Trial, Reason::Restarted));
            }
        }
    }

    /// Chooses a target and counts the request as in flight on it; `None` if no target is eligible.
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

    /// Returns the target whose slot has just become free, while slots are scarce: a random target is
    /// probably full then, and each shed costs a round trip.
    fn freed_candidate(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        candidates: &[TargetKey],
    ) -> Option<TargetKey> {
        let (key, freed) = self.freed_slot.take()?;
        let is_scarce = now.since(self.last_shed) < SCARCITY_TIME;
        if !is_scarce || now.since(freed) > FREED_SLOT_LIFETIME || !candidates.contains(&key) {
            return None;
        }
        let is_risky = class == RequestClass::Once
            && is_avoided(now, &self.targets[key], self.slow_limit_ms());
        (!is_risky).then_some(key)
    }

    /// Chooses among the targets in use. Non-idempotent requests avoid suspected targets as long as the
    /// others don't shed; this takes less evidence than an ejection. Idempotent requests ignore the
    /// suspicion, since their results are the evidence that confirms or refutes it.
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
        let mut preferred = 0;
        for at in 0..candidates.len() {
            if !is_avoided(now, &self.targets[candidates[at]], slow_limit_ms) {
                candidates.swap(preferred, at);
                preferred += 1;
            }
        }
        self.choose_of_two(now, &candidates[..preferred], rng)
            .filter(|key| self.targets[*key].shed_until <= now)
            .or_else(|| self.choose_of_two(now, candidates, rng))
    }

    /// Returns an idle target in its trial, which gets only idempotent requests.
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

    /// Power of two random choices, which spreads load without a shared counter.
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

    /// Cost of a choice: a target that shed recently costs more than any other, then load decides.
    fn cost(&self, now: Timestamp, key: TargetKey) -> (bool, f64) {
        let target = &self.targets[key];
        (target.shed_until > now, target.load())
    }

    /// Records the end of a request on a target and its result as evidence.
    pub fn finish(
        &mut self,
        now: Timestamp,
        key: TargetKey,
        observation: Observation,
    ) -> Vec<Decision> {
        let median_latency = self.median_latency();
        let Some(target) = self.targets.get_mut(key) else {
            return Vec::new();
        };
        target.end_request(now, observation);
        if observation == Observation::Shed {
            target.shed_until = now.after(SHED_BACKOFF);
            self.last_shed = now;
        } else if matches!(observation, Observation::Answered(_)) {
            self.freed_slot = Some((key, now));
        }
        let peer_latency = median_latency.filter(|_| now >= target.cold_until);
        let before = target.health.observations();
        target.health.observe(now, observation, peer_latency);
        if target.health.observations() == before {
            return Vec::new();
        }
        target.recent_observations.add(now);
        let succeeded = matches!(observation, Observation::Answered(_));
        match target.state {
            ServiceState::InUse => self.eject_if_suspected(now, key),
            ServiceState::Trial { successes } => {
                self.finish_trial_request(now, key, successes, succeeded)
            }
            ServiceState::Ejected { .. } => Vec::new(),
        }
    }

    /// Returns the median of the targets' average latencies, computed at intervals.
    fn median_latency(&mut self) -> Option<f64> {
        if self.results_until_median > 0 {
            self.results_until_median -= 1;
            return self.median_latency_ms;
        }
        self.results_until_median = MEDIAN_LATENCY_INTERVAL;
        let mut averages: Vec<f64> = self
            .targets
            .values()
            .filter_map(|target| target.health.latency_ms())
            .collect();
        averages.sort_by(f64::total_cmp);
        // Of an even number, takes the lower middle, so that of two targets the slow one doesn't set
        // its own slow limit.
        let middle = averages.len().saturating_sub(1) / 2;
        self.median_latency_ms = averages.get(middle).copied();
        self.median_latency_ms
    }

    fn slow_limit_ms(&self) -> f64 {
        slow_limit_ms(self.median_latency_ms)
    }

    fn eject_if_suspected(&mut self, now: Timestamp, key: TargetKey) -> Vec<Decision> {
        let target = &self.targets[key];
        if target.suspicion(now, self.slow_limit_ms()) >= self.policy.sensitivity.threshold() {
            return self.try_eject(now, key, Reason::Suspicion);
        }
        if target.remote.shared_suspicion >= self.policy.sensitivity.shared_threshold() {
            return self.try_eject(now, key, Reason::SharedSuspicion);
        }
        Vec::new()
    }

    /// Returns the reports that are due for the other entries, about targets that this or another entry
    /// suspects, and records them as sent.
    pub fn due_reports(&mut self, now: Timestamp) -> Vec<EvidenceReport> {
        let Some(data_centre) = self.data_centre.clone() else {
            return Vec::new();
        };
        let slow_limit_ms = self.slow_limit_ms();
        let mut reports = Vec::new();
        for target in self.targets.values_mut() {
            target.remote.expire(now);
            let suspicion = target.suspicion(now, slow_limit_ms);
            let last_fault = target.health.last_fault();
            // The suspicion exceeds that of `health` if requests in flight are overdue.
            let is_recent = last_fault.is_some_and(|fault| now.since(fault) < REPORT_LIFETIME)
                || suspicion > target.health.suspicion();
            let is_suspected = suspicion >= REPORT_THRESHOLD && is_recent;
            let reported = if is_suspected { suspicion } else { 0.0 };
            if !target.remote.needs_report(now, reported) {
                continue;
            }
            reports.push(EvidenceReport {
                target: target.member.id.clone(),
                incarnation: target.member.incarnation,
                suspicion: reported,
                observations: target.recent_observations.get(now),
                data_centre: data_centre.clone(),
            });
        }
        reports.sort_by(|a, b| b.suspicion.total_cmp(&a.suspicion));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Merges the reports of the entry `from` and ejects targets whose shared suspicion suffices.
    pub fn merge_evidence(
        &mut self,
        now: Timestamp,
        from: &VmId,
        reports: &[EvidenceReport],
    ) -> Vec<Decision> {
        let mut changed = Vec::new();
        for report in reports.iter().take(MAX_REPORTS) {
            let Some(&key) = self.by_id.get(&report.target) else {
                continue;
            };
            let target = &mut self.targets[key];
            if target.member.incarnation == report.incarnation {
                target.remote.merge(now, from, report);
                changed.push(key);
            }
        }
        self.update_report_weights(now, from);
        let mut decisions = Vec::new();
        for key in changed {
            self.update_shared_suspicion(now, key);
            if self.targets[key].in_use() {
                decisions.extend(self.eject_if_suspected(now, key));
            }
        }
        decisions
    }

    /// Sets the weight of an entry's reports by the number of targets that it suspects. The number is
    /// taken over all its unexpired messages, since an unchanged report is not repeated in each.
    fn update_report_weights(&mut self, now: Timestamp, from: &VmId) {
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

    fn update_shared_suspicion(&mut self, now: Timestamp, key: TargetKey) {
        let slow_limit_ms = self.slow_limit_ms();
        let target = &mut self.targets[key];
        if !target.in_use() {
            return;
        }
        target.remote.expire(now);
        let own = OwnEvidence {
            suspicion: target.suspicion(now, slow_limit_ms),
            observations: target.recent_observations.get(now),
            data_centre: self.data_centre.as_ref(),
        };
        // At half of the threshold, an ejection takes at least two other entries.
        let entry_cap = self.policy.sensitivity.shared_threshold() / 2.0;
        target.remote.shared_suspicion = target.remote.combine(&own, entry_cap).unwrap_or(0.0);
    }

    fn finish_trial_request(
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
        let factor = target.ejections.clamp(1, MAX_TRIAL_FACTOR);
        if successes < self.policy.trial_successes.saturating_mul(factor) {
            target.state = ServiceState::Trial { successes };
            return Vec::new();
        }
        target.health.clear_suspicion();
        target.remote.clear();
        target.state = ServiceState::InUse;
        target.decay_period_start = now;
        target.probation_until = now.after(target.last_ejection_duration);
        vec![self.decision(&self.targets[key], Action::Reinstate, Reason::TrialPassed)]
    }

    /// Makes the time-dependent decisions: ends of ejections, expired leases, decay of the ejection
    /// counts and requests in flight for too long.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let keys: Vec<TargetKey> = self.targets.keys().collect();
        for key in keys {
            decisions.extend(self.tick_target(now, key));
        }
        decisions.extend(self.restore_floor(now));
        decisions
    }

    fn tick_target(&mut self, now: Timestamp, key: TargetKey) -> Vec<Decision> {
        let ejection_decay_time = self.policy.ejection_decay_time;
        let target = &mut self.targets[key];
        match target.state {
            ServiceState::Ejected { until } if now >= until => {
                target.state = ServiceState::Trial { successes: 0 };
                vec![self.decision(&self.targets[key], Action::Trial, Reason::EjectionOver)]
            }
            ServiceState::InUse => {
                if target.ejections > 0
                    && now.since(target.decay_period_start) >= ejection_decay_time
                {
                    target.ejections -= 1;
                    target.decay_period_start = now;
                }
                self.update_shared_suspicion(now, key);
                let decisions = self.eject_if_suspected(now, key);
                if !decisions.is_empty() {
                    return decisions;
                }
                let target = &self.targets[key];
                match target.member.presence {
                    Presence::Stale(since) if lease_is_lost(now, since, target) => {
                        self.try_eject(now, key, Reason::LeaseLost)
                    }
                    Presence::Stale(_) | Presence::Fresh => Vec::new(),
                }
            }
            ServiceState::Ejected { .. } | ServiceState::Trial { .. } => Vec::new(),
        }
    }

    /// Ejects a target if the floor allows it or a less suspicious ejected target can replace it.
    fn try_eject(&mut self, now: Timestamp, key: TargetKey, reason: Reason) -> Vec<Decision> {
        let slots = self.targets[key].member.slots;
        if self.slots_in_use().0.saturating_sub(slots.0) >= self.effective_floor().0 {
            self.set_ejected(now, key);
            return vec![self.decision(&self.targets[key], Action::Eject, reason)];
        }
        let Some(substitute) = self.find_substitute(key) else {
            return self.report_kept(now, key);
        };
        self.targets[substitute].state = ServiceState::InUse;
        let reinstated = self.decision(&self.targets[substitute], Action::Reinstate, Reason::Floor);
        self.set_ejected(now, key);
        vec![
            reinstated,
            self.decision(&self.targets[key], Action::Eject, reason),
        ]
    }

    /// Returns a report that the floor prevents an ejection, at most once per [`KEEP_REPORT_INTERVAL`].
    fn report_kept(&mut self, now: Timestamp, key: TargetKey) -> Vec<Decision> {
        let target = &mut self.targets[key];
        if now < target.next_keep_report {
            return Vec::new();
        }
        target.next_keep_report = now.after(KEEP_REPORT_INTERVAL);
        vec![self.decision(&self.targets[key], Action::Keep, Reason::Floor)]
    }

    /// Returns the least suspicious target out of service that is clearly less suspicious than `key` and
    /// has enough slots to hold the floor in its place.
    fn find_substitute(&self, key: TargetKey) -> Option<TargetKey> {
        let suspect = &self.targets[key];
        let remaining = self.slots_in_use().0.saturating_sub(suspect.member.slots.0);
        self.targets
            .iter()
            .filter(|(_, target)| !target.in_use())
            .filter(|(_, target)| remaining + target.member.slots.0 >= self.effective_floor().0)
            .filter(|(_, target)| {
                overall_suspicion(target) + SUBSTITUTION_MARGIN <= overall_suspicion(suspect)
            })
            .min_by(|a, b| overall_suspicion(a.1).total_cmp(&overall_suspicion(b.1)))
            .map(|(key, _)| key)
    }

    fn set_ejected(&mut self, now: Timestamp, key: TargetKey) {
        let doublings = self.targets[key].ejections.min(16);
        let time = Millis(
            self.policy
                .base_ejection_time
                .0
                .saturating_mul(1 << doublings)
                .min(self.policy.max_ejection_time.0),
        );
        let target = &mut self.targets[key];
        target.ejections += 1;
        target.last_ejection_duration = time;
        target.state = ServiceState::Ejected {
            until: now.after(time),
        };
    }

    /// Reinstates the least suspicious targets until the effective floor holds.
    fn restore_floor(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while self.slots_in_use() < self.effective_floor() {
            let key = self
                .targets
                .iter()
                .filter(|(_, target)| !target.in_use())
                .min_by(|a, b| overall_suspicion(a.1).total_cmp(&overall_suspicion(b.1)))
                .map(|(key, _)| key)
                .expect("below the effective floor some targets are not in use");
            let target = &mut self.targets[key];
            target.state = ServiceState::InUse;
            target.decay_period_start = now;
            decisions.push(self.decision(&self.targets[key], Action::Reinstate, Reason::Floor));
        }
        decisions
    }

    /// Total slots of the targets in use.
    pub fn slots_in_use(&self) -> Slots {
        Slots(
            self.targets
                .values()
                .filter(|target| target.in_use())
                .map(|target| target.member.slots.0)
                .sum(),
        )
    }

    /// Slots that must stay in use: the floor, or all slots if they are fewer.
    pub fn effective_floor(&self) -> Slots {
        let all = self
            .targets
            .values()
            .map(|target| target.member.slots.0)
            .sum();
        Slots(self.policy.floor.0.min(all))
    }

    /// State of all targets, for status reports.
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
            in_use: self.slots_in_use(),
            floor: self.policy.floor,
        }
    }
}

/// Whether non-idempotent requests avoid the target: during its probation after an ejection, or if
/// it is suspected by two other entries, by this entry and another one, or by this entry alone for
/// a recent reason. Old suspicion of this entry alone doesn't count (see [`AVOID_TIME`]).
fn is_avoided(now: Timestamp, target: &Target, slow_limit_ms: f64) -> bool {
    if now < target.probation_until {
        return true;
    }
    let own = target.suspicion(now, slow_limit_ms);
    if own < AVOID_THRESHOLD {
        return target.remote.suspecting_entries() >= 2;
    }
    // If the suspicion of `health` is below the threshold, requests that are overdue now exceed it.
    let is_recent = target.health.suspicion() < AVOID_THRESHOLD
        || (target.health.last_fault()).is_some_and(|fault| now.since(fault) < AVOID_TIME);
    is_recent || target.remote.suspecting_entries() >= 1
}

/// The greater of this entry's suspicion and the shared suspicion, to compare targets.
fn overall_suspicion(target: &Target) -> f64 {
    target
        .health
        .suspicion()
        .max(target.remote.shared_suspicion)
}

fn lease_is_lost(now: Timestamp, since: Timestamp, target: &Target) -> bool {
    let last_success = target.health.last_success().unwrap_or(since).max(since);
    now.since(last_success) >= LEASE_GRACE
}
