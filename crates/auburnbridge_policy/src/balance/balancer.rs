//! The targets of one service, with their load and the evidence against them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use auburnbridge_types::{Incarnation, Millis, TargetId, Timestamp, VmId};
use slotmap::SlotMap;

use super::answer_times::AnswerTimes;
use super::cells::CellPlace;
use super::even::{FAILURE_MEMORY, LoadEstimate, ReportedLoad};
use super::evidence::{Finding, Origin};
use super::report::{LoadReport, ReportedFinding, TargetHash, TargetLoad};
use super::subset::{GatewayHost, MIN_SUBSET_SIZE, cell_subset, gateway_subset};
use super::target::{BalancedKey, BalancedMember, BalancedTarget, WARMUP_TIME};
use super::wait_queue::EventRate;
use crate::RequestClass;

/// Time after which a gateway's load report expires.
const REPORT_LIFETIME: Millis = Millis(1_500);
/// Resolution of [`TargetLoad::proof_age`], in milliseconds.
const PROOF_AGE_STEP_MS: u64 = 8;
/// Share of the slots in use from which a service counts as crowded.
const CROWDED_SLOT_SHARE: f64 = 0.6;
/// Share of lost requests from which a service counts as losing many: operators expect the floor's share
/// of the targets to receive requests from there on.
const HEAVY_LOSS_SHARE: f64 = 0.1;
/// Share of its own requests whose loss makes a gateway try the targets that nobody uses, and the number
/// of recent losses below which the share says nothing.
const HEAVY_OWN_LOSS_SHARE: f64 = 0.2;
const MIN_OWN_LOSSES: f64 = 1.5;
/// Time constant with which outcomes of requests are forgotten.
const OUTCOME_MEMORY: Millis = Millis(3_000);
/// Rate of lost requests below which a service never counts as losing many, since single failures say
/// nothing about the share: two in a second.
const MIN_HEAVY_LOSS_PER_MS: f64 = 0.002;
/// Time without idempotent requests after which a service counts as having none.
const IDEMPOTENT_MEMORY: Millis = Millis(3_000);
/// Longest time over which the gateways return to a target after a pause.
const MAX_RETURN_SPREAD: Millis = Millis(1_000);

/// Settings of a [`Balancer`].
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerOptions {
    /// This gateway.
    pub own: GatewayHost,
    /// Minimum share of the targets that aren't down to use: the least suspected ones are used up
    /// to this share, except strongly suspected ones.
    pub floor_share: f64,
    /// Seed by which this gateway's trial intervals differ from those of other gateways.
    pub seed: u64,
    /// Whether load reports are aged and requests spread by the expected load.
    pub even_load: bool,
}

/// The target picked for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Handle for [`Balancer::finish`].
    pub key: BalancedKey,
    /// ID of the target.
    pub target: TargetId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Incarnation of the target process.
    pub incarnation: Incarnation,
    /// Requests in flight on it from all gateways, this request included.
    pub in_flight: u32,
    /// Requests in flight per slot, rounded up. With more than one, the request first waits in the
    /// target's own queue.
    pub requests_per_slot: u32,
    /// Evidence against it, in nats.
    pub suspicion: f64,
    /// The load by which it was picked; absent without even load.
    pub estimate: Option<LoadEstimate>,
}

impl Pick {
    /// Whether the request starts in a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.requests_per_slot <= 1
    }
}

/// Totals over a service's targets, for logs and estimates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetSummary {
    /// Targets that are neither suspected, down nor paused.
    pub unsuspected: u32,
    /// Slots of the unsuspected targets.
    pub slots: u32,
    /// Slots of the targets that are unsuspected but paused; the other totals leave them out.
    pub paused_slots: u32,
    /// Requests in flight on all targets from all gateways.
    pub in_flight: u32,
}

/// Selects targets of one service for requests of one gateway.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(super) options: BalancerOptions,
    /// All gateways, this one included.
    pub(super) gateways: Vec<GatewayHost>,
    /// Cell that shares the subset of this gateway, if the gateways form cells.
    pub(super) cell: Option<CellPlace>,
    /// Whether the subset of this gateway is large enough to be preferred.
    pub(super) prefers_subset: bool,
    /// Whether other gateways have targets of the subset in theirs.
    pub(super) shares_subset: bool,
    pub(super) targets: SlotMap<BalancedKey, BalancedTarget>,
    by_id: HashMap<TargetId, BalancedKey>,
    by_hash: HashMap<TargetHash, BalancedKey>,
    /// Latest report of each other gateway, with its time of receipt.
    reports: HashMap<VmId, (Timestamp, LoadReport)>,
    answer_times: AnswerTimes,
    /// Rate of failures on targets that were not suspected.
    surprises: EventRate,
    /// The same over a longer time, without server errors.
    pub(super) failures: EventRate,
    /// Requests of this gateway that were served, and those that were not.
    served: EventRate,
    lost: EventRate,
    /// When the first request was placed.
    first_placed: Option<Timestamp>,
    /// When an idempotent request was last placed.
    last_idempotent: Option<Timestamp>,
    /// Findings not yet reported to the other gateways.
    unreported: Vec<ReportedFinding>,
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(options: BalancerOptions) -> Self {
        Self {
            gateways: vec![options.own.clone()],
            cell: None,
            prefers_subset: false,
            shares_subset: false,
            options,
            targets: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            reports: HashMap::new(),
            answer_times: AnswerTimes::default(),
            surprises: EventRate::default(),
            failures: EventRate::with_time_constant(FAILURE_MEMORY),
            served: EventRate::with_time_constant(OUTCOME_MEMORY),
            lost: EventRate::with_time_constant(OUTCOME_MEMORY),
            first_placed: None,
            last_idempotent: None,
            unreported: Vec::new(),
        }
    }

    /// Replaces the set of targets that accept requests; targets that are not listed are removed.
    pub fn set_members(&mut self, now: Timestamp, members: &[BalancedMember]) {
        // After its own start a gateway can't tell which targets are still warming up.
        let warmup_until = match self.by_id.len() {
            0 => Timestamp(0),
            _ => now.after(WARMUP_TIME),
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
                    let mut target = BalancedTarget::new(member.clone(), warmup_until);
                    target.reported_load = self.options.even_load.then(ReportedLoad::default);
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
        self.recount_reported_load(now);
        self.update_subset();
    }

    /// Replaces the set of other gateways.
    pub fn set_gateways(&mut self, others: &[GatewayHost]) {
        let mut gateways = vec![self.options.own.clone()];
        gateways.extend(others.iter().cloned());
        self.gateways = gateways;
        self.update_subset();
    }

    /// Number of gateways, this one included.
    pub fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// Sets the cell of this gateway; `None` if the gateways form no cells.
    pub fn set_cell(&mut self, cell: Option<CellPlace>) {
        self.cell = cell;
        self.update_subset();
    }

    /// Number of targets in the subset of this gateway.
    pub fn subset_size(&self) -> usize {
        let targets = self.targets.values();
        targets.filter(|target| target.in_subset).count()
    }

    fn update_subset(&mut self) {
        let own = &self.options.own;
        let targets = self.targets.values();
        let targets = targets.map(|target| (target.hash, &target.member.data_centre));
        let subset = match self.cell {
            None => gateway_subset(own, &self.gateways, targets),
            Some(cell) => cell_subset(cell, &own.data_centre, targets),
        };
        self.prefers_subset = subset.len() >= MIN_SUBSET_SIZE;
        for target in self.targets.values_mut() {
            target.in_subset = subset.contains(&target.hash);
        }
        self.shares_subset = self.is_subset_shared();
        if self.options.even_load {
            self.share_slots();
        }
    }

    /// Ends a request on a target and records its finding as evidence.
    pub fn finish(&mut self, now: Timestamp, key: BalancedKey, finding: Option<Finding>) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.own_in_flight = target.own_in_flight.saturating_sub(1);
        if let Some(finding) = finding {
            self.observe(now, key, finding);
        }
    }

    /// Records a finding of this gateway as evidence.
    pub fn observe(&mut self, now: Timestamp, key: BalancedKey, finding: Finding) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        // Other gateways need a success only if they may suspect the target as well.
        let is_reported = finding.is_reported()
            || (matches!(finding, Finding::Answered | Finding::Slow)
                && target.evidence.value(now) > 0.5);
        let is_surprise =
            finding.is_failure() && !target.is_suspect(now) && is_reported_on(self.cell, target);
        target.observe(now, finding, Origin::Own);
        let target = target.hash;
        if is_surprise {
            self.record_surprise(now, finding);
        }
        if is_reported {
            self.unreported.push(ReportedFinding { target, finding });
        }
    }

    /// Adds an answer that took `time` to the average answer time and classifies it.
    pub fn record_answer(&mut self, time: Millis, was_silent: bool) -> Finding {
        self.answer_times.record(time, was_silent)
    }

    /// Answer times of the service.
    pub fn answer_times(&self) -> AnswerTimes {
        self.answer_times
    }

    /// Sends no requests to a target for `pause`, which it asked for when it shed a request, and a
    /// little longer. The addition differs by gateway and target, so that the return of the load is
    /// spread over up to a quarter of the pause and at most [`MAX_RETURN_SPREAD`].
    ///
    /// Other gateways are not told: a target asks each sender by itself, and may still have room for
    /// the others.
    pub fn pause(&mut self, now: Timestamp, key: BalancedKey, pause: Millis) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let max_spread = Millis(pause.0 / 4).min(MAX_RETURN_SPREAD);
        let spread = (self.options.seed ^ u64::from(target.hash.0)) % (max_spread.0 + 1);
        let until = now.after(pause).after(Millis(spread));
        target.paused_until = target.paused_until.max(until);
    }

    /// Time until the first unsuspected target returns from its pause, if there is one.
    pub fn pause_left(&self, now: Timestamp) -> Option<Millis> {
        self.targets
            .values()
            .filter(|target| !target.is_down(now) && !target.is_suspect(now))
            .filter(|target| target.is_paused(now))
            .map(|target| target.paused_until.since(now))
            .min()
    }

    /// Records findings reported by another gateway.
    pub fn apply_findings(&mut self, now: Timestamp, findings: &[ReportedFinding]) {
        for reported in findings {
            let Some(key) = self.by_hash.get(&reported.target) else {
                continue;
            };
            let target = &mut self.targets[*key];
            let is_surprise = reported.finding.is_failure()
                && !target.is_suspect(now)
                && is_reported_on(self.cell, target);
            target.observe(now, reported.finding, Origin::Reported);
            if is_surprise {
                self.record_surprise(now, reported.finding);
            }
        }
    }

    /// Records the failure of a target that was not suspected.
    fn record_surprise(&mut self, now: Timestamp, finding: Finding) {
        self.surprises.record(now);
        if finding != Finding::ServerError {
            self.failures.record(now);
        }
    }

    /// Records the requests in flight that another gateway reports.
    pub fn apply_load_report(&mut self, now: Timestamp, from: &VmId, report: LoadReport) {
        for load in &report.in_flight {
            let Some(key) = self.by_hash.get(&load.target) else {
                continue;
            };
            let target = &mut self.targets[*key];
            target.last_used = now;
            if load.proof_age < u8::MAX {
                let proven_at = now
                    .0
                    .saturating_sub(u64::from(load.proof_age) * PROOF_AGE_STEP_MS);
                target.proven_at = target.proven_at.max(Timestamp(proven_at));
            }
        }
        // Reports arrive hundreds of times a second, so the counts are updated incrementally.
        let superseded = self
            .reports
            .extract_if(|vm, (at, _)| vm == from || now.since(*at) >= REPORT_LIFETIME);
        let answer_time = self.answer_times.average();
        for (_, (at, previous)) in superseded {
            for (key, in_flight) in known_loads(&self.by_hash, &previous) {
                let target = &mut self.targets[key];
                target.reported_in_flight -= in_flight;
                if let Some(load) = &mut target.reported_load {
                    load.remove(now, in_flight, at, answer_time);
                }
            }
        }
        for (key, in_flight) in known_loads(&self.by_hash, &report) {
            self.targets[key].add_reported(now, in_flight, now, answer_time);
        }
        self.reports.insert(from.clone(), (now, report));
    }

    /// Recomputes the reported load of all targets, after the set of targets has changed.
    fn recount_reported_load(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
        for target in self.targets.values_mut() {
            target.clear_reported();
        }
        let answer_time = self.answer_times.average();
        for (at, report) in self.reports.values() {
            for (key, in_flight) in known_loads(&self.by_hash, report) {
                self.targets[key].add_reported(now, in_flight, *at, answer_time);
            }
        }
    }

    /// Removes and returns the findings to report to the other gateways.
    pub fn take_unreported(&mut self) -> Vec<ReportedFinding> {
        std::mem::take(&mut self.unreported)
    }

    /// Report of this gateway's requests in flight.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        LoadReport {
            in_flight: self
                .targets
                .values()
                .filter(|target| target.own_in_flight > 0)
                .map(|target| TargetLoad {
                    target: target.hash,
                    in_flight: u8::try_from(target.own_in_flight).unwrap_or(u8::MAX),
                    proof_age: u8::try_from(target.proof_age(now).0 / PROOF_AGE_STEP_MS)
                        .unwrap_or(u8::MAX),
                })
                .collect(),
        }
    }

    /// Whether the requests in flight take at least `CROWDED_SLOT_SHARE` (0.6) of the slots of
    /// unsuspected targets. Gateways would then pick the same free slots without frequent load
    /// reports.
    pub fn is_crowded(&self, now: Timestamp) -> bool {
        let summary = self.summary(now);
        f64::from(summary.in_flight) >= f64::from(summary.slots) * CROWDED_SLOT_SHARE
    }

    /// Notes that a request of this class is to be placed.
    pub(super) fn record_class(&mut self, now: Timestamp, class: RequestClass) {
        self.first_placed.get_or_insert(now);
        if class == RequestClass::Idempotent {
            self.last_idempotent = Some(now);
        }
    }

    /// Whether the service has idempotent requests, or has had too few requests to tell.
    pub(super) fn may_have_idempotent_requests(&self, now: Timestamp) -> bool {
        let is_recent =
            |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < IDEMPOTENT_MEMORY);
        self.first_placed.is_none()
            || is_recent(self.first_placed)
            || is_recent(self.last_idempotent)
    }

    /// Records whether a request of this gateway was served.
    pub(super) fn record_outcome(&mut self, now: Timestamp, is_served: bool) {
        let outcomes = if is_served {
            &mut self.served
        } else {
            &mut self.lost
        };
        outcomes.record(now);
    }

    /// Whether this gateway loses a fifth or more of its own requests to the service.
    pub(super) fn loses_own(&self, now: Timestamp) -> bool {
        let (lost, served) = (self.lost.count(now), self.served.count(now));
        lost >= MIN_OWN_LOSSES && lost >= HEAVY_OWN_LOSS_SHARE * (lost + served)
    }

    /// Whether the service loses so many requests on all gateways together that the operators' floor
    /// has to be used. The losses are the failures of targets that were not suspected; the served
    /// requests follow from those in flight and the average answer time.
    pub(super) fn loses_many(&self, now: Timestamp) -> bool {
        let lost_per_ms = self.surprises.per_ms(now);
        let reported_on = self
            .targets
            .values()
            .filter(|target| is_reported_on(self.cell, target));
        let in_flight: u32 = reported_on.map(|target| target.in_flight(now)).sum();
        let average_ms = u32::try_from(self.answer_times.average().0).unwrap_or(u32::MAX);
        let served_per_ms = f64::from(in_flight) / f64::from(average_ms.max(1));
        lost_per_ms >= MIN_HEAVY_LOSS_PER_MS
            && lost_per_ms > HEAVY_LOSS_SHARE * (lost_per_ms + served_per_ms)
    }

    /// Totals over all targets.
    pub fn summary(&self, now: Timestamp) -> TargetSummary {
        let mut summary = TargetSummary::default();
        for target in self.targets.values() {
            summary.in_flight += target.in_flight(now);
            if target.is_down(now) || target.is_suspect(now) {
                continue;
            }
            if target.is_paused(now) {
                summary.paused_slots = summary.paused_slots.saturating_add(target.member.slots.0);
            } else {
                summary.unsuspected += 1;
                summary.slots = summary.slots.saturating_add(target.member.slots.0);
            }
        }
        summary
    }
}

/// Whether the gateways that use the target report their load on it: in a cell, only its own targets.
fn is_reported_on(cell: Option<CellPlace>, target: &BalancedTarget) -> bool {
    cell.is_none() || target.in_subset
}

/// The reported requests in flight, for the targets that this gateway knows.
fn known_loads(
    by_hash: &HashMap<TargetHash, BalancedKey>,
    report: &LoadReport,
) -> impl Iterator<Item = (BalancedKey, u32)> {
    report
        .in_flight
        .iter()
        .filter_map(|load| Some((*by_hash.get(&load.target)?, load.in_flight.into())))
}
