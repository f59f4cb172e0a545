//! Evidence shared between entries.
//!
//! Each entry reports only what it saw itself, so that reports never echo. An entry reports a target
//! that it suspects, and, as counter-evidence, a target that others suspect and that works for it.
//!
//! Reports are weighed as one sum of evidence, under three rules. One other entry alone never counts,
//! since its link may be bad. Its share is capped, so that the number of witnesses decides and not
//! the loudest one. A problem seen only in other data centres counts from two of them on, and
//! counter-evidence counts only from data centres that see the problem or are this entry's own, since
//! a target may be sick for one data centre only.

use auburnbridge_types::{DataCentre, Incarnation, Millis, TargetId, Timestamp, VmId};
use serde::{Deserialize, Serialize};

use crate::health::success_evidence;

/// Reports of one message; the most suspicious targets come first.
pub(crate) const REPORT_LIMIT: usize = 32;
/// Suspicion from which an entry reports a target, in nats: one slow answer.
pub(crate) const REPORT_MINIMUM: f64 = 1.9;
/// Time after which a report no longer counts.
pub(crate) const REPORT_LIFETIME: Millis = Millis(3_000);
/// Entries whose reports are kept for one target; there are 13 to 16 entries in front of it.
const WITNESS_LIMIT: usize = 32;
/// Healthy observations of one report that count.
const COUNTED_OBSERVATIONS: u32 = 4;

/// What one entry saw of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The target.
    pub target: TargetId,
    /// The life of the target that was observed.
    pub incarnation: Incarnation,
    /// The entry's own evidence against the target, in nats.
    pub suspicion: f64,
    /// The entry's observations since others reported the problem.
    pub observations: u32,
    /// Data centre of the observing entry.
    pub data_centre: DataCentre,
}

#[derive(Clone, Debug)]
struct Received {
    from: VmId,
    at: Timestamp,
    suspicion: f64,
    observations: u32,
    data_centre: DataCentre,
}

/// Reports of other entries about one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteEvidence {
    received: Vec<Received>,
    /// Own observations when the first report arrived.
    observations_before: u64,
    /// Evidence of the last assessment, kept while the target is out of service.
    pub(crate) assessed: f64,
}

/// This entry's own view of the target.
pub(crate) struct OwnEvidence<'a> {
    pub(crate) suspicion: f64,
    pub(crate) observations: u64,
    pub(crate) data_centre: Option<&'a DataCentre>,
}

impl RemoteEvidence {
    /// Takes over a report; a later one of the same entry replaces it.
    pub(crate) fn merge(
        &mut self,
        now: Timestamp,
        from: &VmId,
        report: &EvidenceReport,
        own_observations: u64,
    ) {
        if !report.suspicion.is_finite() {
            return;
        }
        self.expire(now);
        if self.received.is_empty() {
            self.observations_before = own_observations;
        }
        self.received.retain(|received| received.from != *from);
        if self.received.len() >= WITNESS_LIMIT {
            return;
        }
        self.received.push(Received {
            from: from.clone(),
            at: now,
            suspicion: report.suspicion,
            observations: report.observations,
            data_centre: report.data_centre.clone(),
        });
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.received
            .retain(|received| now.since(received.at) < REPORT_LIFETIME);
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether another entry suspects the target.
    pub(crate) fn is_contested(&self) -> bool {
        self.received
            .iter()
            .any(|received| received.suspicion >= REPORT_MINIMUM)
    }

    /// Own observations since the first report.
    pub(crate) fn own_observations(&self, observations: u64) -> u32 {
        u32::try_from(observations.saturating_sub(self.observations_before)).unwrap_or(u32::MAX)
    }

    /// Weighs all reports and the entry's own view; `None` without a second witness.
    pub(crate) fn assess(&self, own: &OwnEvidence, share_limit: f64) -> Option<f64> {
        let own_centre = own.data_centre?;
        let own_is_witness = own.suspicion >= REPORT_MINIMUM;
        let witnesses = || {
            self.received
                .iter()
                .filter(|received| received.suspicion >= REPORT_MINIMUM)
        };
        let count = witnesses().count() + usize::from(own_is_witness);
        let sees_problem = |centre: &DataCentre| {
            (own_is_witness && centre == own_centre)
                || witnesses().any(|witness| witness.data_centre == *centre)
        };
        let first_centre = witnesses().next().map(|witness| &witness.data_centre)?;
        let in_one_centre = witnesses().all(|witness| witness.data_centre == *first_centre);
        if count < 2 || (in_one_centre && !sees_problem(own_centre)) {
            return None;
        }
        let against: f64 = witnesses()
            .map(|witness| witness.suspicion.min(share_limit))
            .sum();
        let healthy: u32 = self
            .received
            .iter()
            .filter(|received| received.suspicion < REPORT_MINIMUM)
            .filter(|received| {
                received.data_centre == *own_centre || sees_problem(&received.data_centre)
            })
            .map(|received| received.observations.min(COUNTED_OBSERVATIONS))
            .sum();
        let own_healthy = if own_is_witness {
            0
        } else {
            self.own_observations(own.observations)
                .min(COUNTED_OBSERVATIONS)
        };
        let favour = f64::from(healthy + own_healthy) * success_evidence();
        Some((own.suspicion + against + favour).max(0.0))
    }
}
