//! Evidence about targets that entries exchange.
//!
//! An entry reports only its own observations, so that evidence is never counted twice. It reports the
//! targets that it suspects and, as counter-evidence, targets that others suspect and that work for it.
//!
//! The reports are summed up, failures against the target and healthy observations in its favour, so
//! that the result depends on how many entries see the problem and how many don't. A single entry
//! never suffices, since its link may be bad, and the contribution of each is capped. The greater of
//! two sums counts:
//!
//! - The sum of this entry's data centre, since a target may be unhealthy for one data centre only.
//! - The sum of all data centres, where each other one counts at most as much as one entry. Without
//!   that cap, one random failure in each other data centre spread the ejection to all of them.
//!   Without the healthy observations of all data centres, random failures ejected targets about 8
//!   times a day at the setting `careful`.

use auburnbridge_types::{DataCentre, Incarnation, Millis, TargetId, Timestamp, VmId};
use serde::{Deserialize, Serialize};

use crate::health::{MAX_SUSPICION, success_evidence};

/// Maximum number of reports in a message; the most suspicious targets come first.
pub(crate) const MAX_REPORTS: usize = 32;
/// Suspicion from which an entry reports a target, in nats: that of one slow answer.
pub(crate) const REPORT_THRESHOLD: f64 = 1.9;
/// Time after which a report expires.
pub(crate) const REPORT_LIFETIME: Millis = Millis(3_000);
/// Interval at which an unchanged report is repeated.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// Change of the suspicion from which it is reported at once, in nats.
const MIN_REPORTED_CHANGE: f64 = 1.0;
/// Maximum number of entries whose reports are kept per target; 13 to 16 entries send to it.
const MAX_REPORTERS: usize = 32;
/// Number of targets that an entry may suspect at the same time with full weight. With more, the
/// weight of each falls, since an entry that suspects many targets may have a bad link itself.
const FULL_WEIGHT_SUSPECTS: f64 = 2.0;
/// Maximum number of healthy observations that count per report.
const MAX_COUNTED_OBSERVATIONS: u32 = 8;

/// Evidence of one entry about one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The target.
    pub target: TargetId,
    /// The observed incarnation of the target.
    pub incarnation: Incarnation,
    /// The reporting entry's own evidence against the target, in nats.
    pub suspicion: f64,
    /// Number of the reporting entry's observations in the last 3 seconds.
    pub observations: u32,
    /// Data centre of the reporting entry.
    pub data_centre: DataCentre,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    reporter: VmId,
    received_at: Timestamp,
    suspicion: f64,
    weight: f64,
    observations: u32,
    data_centre: DataCentre,
}

/// Reports of other entries about one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteEvidence {
    reports: Vec<ReceivedReport>,
    /// Suspicion and time of this entry's last report.
    reported: Option<(f64, Timestamp)>,
    /// Last result of [`RemoteEvidence::combine`], kept while the target is out of service.
    pub(crate) shared_suspicion: f64,
}

/// This entry's own evidence about the target.
pub(crate) struct OwnEvidence<'a> {
    pub(crate) suspicion: f64,
    pub(crate) observations: u32,
    pub(crate) data_centre: Option<&'a DataCentre>,
}

impl RemoteEvidence {
    /// Records a report, which replaces an earlier one of the same entry.
    pub(crate) fn merge(&mut self, now: Timestamp, from: &VmId, report: &EvidenceReport) {
        if !report.suspicion.is_finite() {
            return;
        }
        self.expire(now);
        self.reports.retain(|report| report.reporter != *from);
        if self.reports.len() >= MAX_REPORTERS {
            return;
        }
        self.reports.push(ReceivedReport {
            reporter: from.clone(),
            received_at: now,
            suspicion: report.suspicion,
            weight: 1.0,
            observations: report.observations,
            data_centre: report.data_centre.clone(),
        });
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.reports
            .retain(|report| now.since(report.received_at) < REPORT_LIFETIME);
    }

    /// Whether this entry has to report `suspicion` (zero for none); if so, records it as reported.
    pub(crate) fn needs_report(&mut self, now: Timestamp, suspicion: f64) -> bool {
        let was_suspected = self.reported.is_some_and(|(last, _)| last > 0.0);
        if suspicion <= 0.0 && !was_suspected && self.suspecting_entries() == 0 {
            self.reported = None;
            return false;
        }
        let is_unchanged = self.reported.is_some_and(|(last, at)| {
            (suspicion - last).abs() < MIN_REPORTED_CHANGE && now.since(at) < REPORT_INTERVAL
        });
        if !is_unchanged {
            self.reported = Some((suspicion, now));
        }
        !is_unchanged
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether the last report of the entry `from` suspects the target.
    pub(crate) fn is_suspected_by(&self, from: &VmId) -> bool {
        self.suspicious_reports()
            .any(|report| report.reporter == *from)
    }

    /// Sets the weight of the report of the entry `from`.
    pub(crate) fn set_weight(&mut self, from: &VmId, weight: f64) {
        for report in &mut self.reports {
            if report.reporter == *from {
                report.weight = weight;
            }
        }
    }

    fn suspicious_reports(&self) -> impl Iterator<Item = &ReceivedReport> {
        self.reports
            .iter()
            .filter(|report| report.suspicion >= REPORT_THRESHOLD)
    }

    /// Number of other entries that suspect the target.
    pub(crate) fn suspecting_entries(&self) -> usize {
        self.suspicious_reports().count()
    }

    /// Combines all reports with this entry's own evidence, in nats; `entry_cap` bounds the suspicion
    /// that each report contributes. Returns `None` unless at least two entries, counting this one,
    /// suspect the target.
    pub(crate) fn combine(&self, own: &OwnEvidence, entry_cap: f64) -> Option<f64> {
        let own_centre = own.data_centre?;
        let is_suspected_here = own.suspicion >= REPORT_THRESHOLD;
        if self.suspecting_entries() + usize::from(is_suspected_here) < 2 {
            return None;
        }
        let own_evidence = if is_suspected_here {
            own.suspicion
        } else {
            healthy_evidence(own.observations)
        };
        let local_sum = own_evidence + self.sum_for(own_centre, entry_cap);
        let local_suspicious = self
            .suspicious_reports()
            .filter(|report| report.data_centre == *own_centre)
            .count();
        let local = if local_suspicious + usize::from(is_suspected_here) < 2 {
            0.0
        } else {
            local_sum
        };
        let mut global_sum = local_sum;
        let mut counted_centres: Vec<&DataCentre> = vec![own_centre];
        for report in &self.reports {
            let centre = &report.data_centre;
            if !counted_centres.contains(&centre) {
                counted_centres.push(centre);
                global_sum += self.sum_for(centre, entry_cap).min(entry_cap);
            }
        }
        Some(local.max(global_sum).clamp(0.0, MAX_SUSPICION))
    }

    /// Sum of the reports from one data centre, in nats.
    fn sum_for(&self, centre: &DataCentre, entry_cap: f64) -> f64 {
        self.reports
            .iter()
            .filter(|report| report.data_centre == *centre)
            .map(|report| {
                if report.suspicion >= REPORT_THRESHOLD {
                    report.suspicion.min(entry_cap) * report.weight
                } else {
                    healthy_evidence(report.observations)
                }
            })
            .sum()
    }
}

/// Weight of each report of an entry that suspects `suspects` targets.
pub(crate) fn suspect_weight(suspects: u32) -> f64 {
    (FULL_WEIGHT_SUSPECTS / f64::from(suspects.max(1))).min(1.0)
}

fn healthy_evidence(observations: u32) -> f64 {
    f64::from(observations.min(MAX_COUNTED_OBSERVATIONS)) * success_evidence()
}

/// Sliding-window counter of observations in the last [`REPORT_LIFETIME`], to within half of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCounter {
    start: Timestamp,
    current: u32,
    previous: u32,
}

impl RecentCounter {
    pub(crate) fn add(&mut self, now: Timestamp) {
        self.rotate(now);
        self.current += 1;
    }

    pub(crate) fn get(&self, now: Timestamp) -> u32 {
        let mut rotated = self.clone();
        rotated.rotate(now);
        rotated.current + rotated.previous
    }

    fn rotate(&mut self, now: Timestamp) {
        let half = REPORT_LIFETIME.0 / 2;
        let age = now.since(self.start).0;
        if age < half {
            return;
        }
        self.previous = if age < 2 * half { self.current } else { 0 };
        self.current = 0;
        self.start = now;
    }
}
