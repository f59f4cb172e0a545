//! Evidence shared between entries.
//!
//! Each entry reports only what it saw itself, so that reports never echo. An entry reports a target
//! that it suspects, and, as counter-evidence, a target that others suspect and that works for it.
//!
//! Reports are summed up, failures against and healthy observations in favour of the target, so that
//! the number of entries that see the problem and of those that see none decides. One entry alone
//! never counts, since its link may be bad, and the share of each is capped. The greater of two sums
//! is taken:
//!
//! - The own data centre alone, since a target may be sick for one data centre only.
//! - All data centres, where another one counts at most as much as one entry. Without that cap, one
//!   failure by chance in each other data centre spread the ejection to all of them; and without the
//!   healthy observations of all data centres, failures by chance ejected targets about 8 times a day
//!   at the careful setting.

use auburnbridge_types::{DataCentre, Incarnation, Millis, TargetId, Timestamp, VmId};
use serde::{Deserialize, Serialize};

use crate::health::{SUSPICION_LIMIT, success_evidence};

/// Reports of one message; the most suspicious targets come first.
pub(crate) const REPORT_LIMIT: usize = 32;
/// Suspicion from which an entry reports a target, in nats: one slow answer.
pub(crate) const REPORT_MINIMUM: f64 = 1.9;
/// Time after which a report no longer counts.
pub(crate) const REPORT_LIFETIME: Millis = Millis(3_000);
/// Interval at which an unchanged report is repeated.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// Change of the suspicion that is reported at once, in nats.
const REPORT_CHANGE: f64 = 1.0;
/// Entries whose reports are kept for one target; there are 13 to 16 entries in front of it.
const WITNESS_LIMIT: usize = 32;
/// Targets that one entry suspects at the same time and that count in full; with more, their weight
/// falls, because an entry that suspects many targets may have a bad link itself.
const FULL_WEIGHT_SUSPECTS: f64 = 2.0;
/// Healthy observations of one report that count.
const COUNTED_OBSERVATIONS: u32 = 8;

/// What one entry saw of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The target.
    pub target: TargetId,
    /// The life of the target that was observed.
    pub incarnation: Incarnation,
    /// The entry's own evidence against the target, in nats.
    pub suspicion: f64,
    /// The entry's observations in the last seconds.
    pub observations: u32,
    /// Data centre of the observing entry.
    pub data_centre: DataCentre,
}

#[derive(Clone, Debug)]
struct Received {
    from: VmId,
    at: Timestamp,
    suspicion: f64,
    weight: f64,
    observations: u32,
    data_centre: DataCentre,
}

/// Reports of other entries about one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteEvidence {
    received: Vec<Received>,
    /// Last report of this entry: its suspicion, and when it was written.
    reported: Option<(f64, Timestamp)>,
    /// Evidence of the last assessment, kept while the target is out of service.
    pub(crate) assessed: f64,
}

/// This entry's own view of the target.
pub(crate) struct OwnEvidence<'a> {
    pub(crate) suspicion: f64,
    pub(crate) observations: u32,
    pub(crate) data_centre: Option<&'a DataCentre>,
}

impl RemoteEvidence {
    /// Takes over a report; a later one of the same entry replaces it.
    pub(crate) fn merge(&mut self, now: Timestamp, from: &VmId, report: &EvidenceReport) {
        if !report.suspicion.is_finite() {
            return;
        }
        self.expire(now);
        self.received.retain(|received| received.from != *from);
        if self.received.len() >= WITNESS_LIMIT {
            return;
        }
        self.received.push(Received {
            from: from.clone(),
            at: now,
            suspicion: report.suspicion,
            weight: 1.0,
            observations: report.observations,
            data_centre: report.data_centre.clone(),
        });
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.received
            .retain(|received| now.since(received.at) < REPORT_LIFETIME);
    }

    /// Whether this entry has to report its suspicion (zero for none); it then counts as reported.
    pub(crate) fn needs_report(&mut self, now: Timestamp, suspicion: f64) -> bool {
        let is_taken_back = self.reported.is_some_and(|(last, _)| last > 0.0);
        if suspicion <= 0.0 && !is_taken_back && self.witness_count() == 0 {
            self.reported = None;
            return false;
        }
        let is_known = self.reported.is_some_and(|(last, at)| {
            (suspicion - last).abs() < REPORT_CHANGE && now.since(at) < REPORT_INTERVAL
        });
        if !is_known {
            self.reported = Some((suspicion, now));
        }
        !is_known
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether this entry's last report is a suspicion.
    pub(crate) fn is_suspected_by(&self, from: &VmId) -> bool {
        self.witnesses().any(|witness| witness.from == *from)
    }

    /// Sets the weight of an entry's report.
    pub(crate) fn set_weight(&mut self, from: &VmId, weight: f64) {
        for received in &mut self.received {
            if received.from == *from {
                received.weight = weight;
            }
        }
    }

    fn witnesses(&self) -> impl Iterator<Item = &Received> {
        self.received
            .iter()
            .filter(|received| received.suspicion >= REPORT_MINIMUM)
    }

    /// Number of other entries that suspect the target.
    pub(crate) fn witness_count(&self) -> usize {
        self.witnesses().count()
    }

    /// Weighs all reports and the entry's own view; `None` without a second witness.
    pub(crate) fn assess(&self, own: &OwnEvidence, share_limit: f64) -> Option<f64> {
        let own_centre = own.data_centre?;
        let own_is_witness = own.suspicion >= REPORT_MINIMUM;
        if self.witness_count() + usize::from(own_is_witness) < 2 {
            return None;
        }
        let own_part = if own_is_witness {
            own.suspicion
        } else {
            healthy_evidence(own.observations)
        };
        let here = own_part + self.sum_of(own_centre, share_limit);
        let witnesses_here = self
            .witnesses()
            .filter(|witness| witness.data_centre == *own_centre)
            .count();
        let alone = if witnesses_here + usize::from(own_is_witness) < 2 {
            0.0
        } else {
            here
        };
        let mut everywhere = here;
        let mut counted: Vec<&DataCentre> = vec![own_centre];
        for received in &self.received {
            let centre = &received.data_centre;
            if !counted.contains(&centre) {
                counted.push(centre);
                everywhere += self.sum_of(centre, share_limit).min(share_limit);
            }
        }
        Some(alone.max(everywhere).clamp(0.0, SUSPICION_LIMIT))
    }

    /// Sum of the reports from one data centre.
    fn sum_of(&self, centre: &DataCentre, share_limit: f64) -> f64 {
        self.received
            .iter()
            .filter(|received| received.data_centre == *centre)
            .map(|received| {
                if received.suspicion >= REPORT_MINIMUM {
                    received.suspicion.min(share_limit) * received.weight
                } else {
                    healthy_evidence(received.observations)
                }
            })
            .sum()
    }
}

/// Weight of each suspicion of an entry that suspects so many targets.
pub(crate) fn suspect_weight(suspects: u32) -> f64 {
    (FULL_WEIGHT_SUSPECTS / f64::from(suspects.max(1))).min(1.0)
}

fn healthy_evidence(observations: u32) -> f64 {
    f64::from(observations.min(COUNTED_OBSERVATIONS)) * success_evidence()
}

/// Number of observations in the last [`REPORT_LIFETIME`], to within half of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCount {
    start: Timestamp,
    current: u32,
    previous: u32,
}

impl RecentCount {
    pub(crate) fn add(&mut self, now: Timestamp) {
        self.roll(now);
        self.current += 1;
    }

    pub(crate) fn get(&self, now: Timestamp) -> u32 {
        let mut rolled = self.clone();
        rolled.roll(now);
        rolled.current + rolled.previous
    }

    fn roll(&mut self, now: Timestamp) {
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
