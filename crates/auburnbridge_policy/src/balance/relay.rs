//! Failures that a gateway passes on to gateways outside its cell.
//!
//! A report takes at most three steps: from the gateway that observed the failure to one gateway of
//! each other data centre, from there to one of each other cell, and from there to its cell. A
//! gateway decides by the sender's place what it passes on, and nothing that it got from its own
//! cell, so that reports don't circulate.

use std::collections::HashMap;

use auburnbridge_types::{Millis, Timestamp};

use super::cells::Proximity;
use super::evidence::Finding;
use super::report::{ReportedFinding, TargetHash};

/// Interval of batches, and time for which a repeated failure of the same kind isn't passed on.
const RELAY_INTERVAL: Millis = Millis(250);
/// Maximum number of failures that wait for the next batch.
const MAX_PENDING: usize = 64;

/// Failures for one batch, by recipients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayBatch {
    /// Failures for the gateway's own cell.
    pub cell: Vec<ReportedFinding>,
    /// Failures for one gateway of each other cell of the data centre.
    pub local: Vec<ReportedFinding>,
    /// Failures for one gateway of each other data centre.
    pub remote: Vec<ReportedFinding>,
}

/// Failures that wait to be passed on.
#[derive(Clone, Debug, Default)]
pub struct RelayQueue {
    /// Failures with the place of their sender; `None` if this gateway observed them.
    pending: Vec<(Option<Proximity>, ReportedFinding)>,
    /// When a failure of a kind was last added, by target.
    last_added: HashMap<(TargetHash, Finding), Timestamp>,
    next_batch: Timestamp,
    dropped: u64,
}

impl RelayQueue {
    /// Adds findings of this gateway (`from` is `None`) or of another one; only those that are
    /// always reported are passed on.
    pub fn add(&mut self, now: Timestamp, from: Option<Proximity>, findings: &[ReportedFinding]) {
        if from == Some(Proximity::Cell) {
            return;
        }
        self.last_added
            .retain(|_, at| now.since(*at) < RELAY_INTERVAL);
        for reported in findings.iter().filter(|found| found.finding.is_reported()) {
            let kind = (reported.target, reported.finding);
            if self.last_added.contains_key(&kind) {
                continue;
            }
            if self.pending.len() >= MAX_PENDING {
                self.dropped += 1;
                continue;
            }
            self.last_added.insert(kind, now);
            self.pending.push((from, *reported));
        }
    }

    /// The batch that is due, which stays queued until [`RelayQueue::sent`].
    pub fn due(&self, now: Timestamp) -> Option<RelayBatch> {
        if self.pending.is_empty() || now < self.next_batch {
            return None;
        }
        let mut batch = RelayBatch::default();
        for (from, reported) in &self.pending {
            if from.is_some() {
                batch.cell.push(*reported);
            }
            if from.is_none() || *from == Some(Proximity::Remote) {
                batch.local.push(*reported);
            }
            if from.is_none() {
                batch.remote.push(*reported);
            }
        }
        Some(batch)
    }

    /// Removes the batch after it has been sent, and returns the number of failures that found no
    /// room since the previous one.
    pub fn sent(&mut self, now: Timestamp) -> u64 {
        self.pending.clear();
        self.next_batch = now.after(RELAY_INTERVAL);
        std::mem::take(&mut self.dropped)
    }
}
