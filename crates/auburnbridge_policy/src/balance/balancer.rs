//! The targets of one service, and what is known about them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use auburnbridge_types::{Incarnation, Millis, TargetId, Timestamp, VmId};
use slotmap::SlotMap;

use super::answer_times::AnswerTimes;
use super::evidence::{Finding, Origin};
use super::homes::{GatewayPlace, home_targets};
use super::report::{LoadReport, ReportedFinding, TargetHash, TargetLoad};
use super::target::{BalancedKey, BalancedMember, BalancedTarget, COLD_TIME};

/// Time after which a gateway's report of its requests in flight no longer counts.
const REPORT_LIFETIME: Millis = Millis(1_500);
/// Resolution of the ages of proofs in reports.
const PROOF_STEP_MS: u64 = 8;
/// Share of the slots from which a service is crowded.
const CROWDED_SHARE: f64 = 0.6;
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

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(super) options: BalancerOptions,
    /// All gateways, this one included.
    gateways: Vec<GatewayPlace>,
    /// Whether this gateway has enough targets of its own to send most work there.
    pub(super) prefers_homes: bool,
    pub(super) targets: SlotMap<BalancedKey, BalancedTarget>,
    by_id: HashMap<TargetId, BalancedKey>,
    by_hash: HashMap<TargetHash, BalancedKey>,
    /// Last report of each other gateway.
    reports: HashMap<VmId, (Timestamp, LoadReport)>,
    answer_times: AnswerTimes,
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
            answer_times: AnswerTimes::default(),
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
        self.gateways = gateways;
        self.assign_homes();
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

    /// Takes an answer after `time` into the answer times; gives the finding that it is.
    pub fn judge_answer(&mut self, time: Millis, was_silent: bool) -> Finding {
        self.answer_times.judge(time, was_silent)
    }

    /// Answer times of the service.
    pub fn answer_times(&self) -> AnswerTimes {
        self.answer_times
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
