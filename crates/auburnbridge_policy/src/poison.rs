//! Detection of poison requests, which crash each target that runs them.
//!
//! A request is identified by a full digest that the process computes, so that no other request is
//! refused by mistake. Despite its type's name the digest covers more than the body: a gateway
//! hashes the host, method, path and body. The table is bounded; when it is full, the oldest report
//! is evicted.

use std::collections::{HashMap, VecDeque};

use auburnbridge_types::{Incarnation, Millis, RequestDigest, TargetId, Timestamp};
use serde::{Deserialize, Serialize};

/// Number of crashed target instances after which a request is refused.
pub const CRASH_LIMIT: usize = 2;
/// Time for which crashes are kept and a poisoned request is refused.
pub const POISON_TIME: Millis = Millis(10 * 60 * 1000);
/// Maximum number of requests in the table.
const MAX_REQUESTS: usize = 4_096;

/// A crash of a target while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: RequestDigest,
    /// The target that crashed.
    pub target: TargetId,
    /// Incarnation of the target that crashed.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Crashes {
    instances: Vec<(TargetId, Incarnation)>,
    last_crash: Timestamp,
}

/// The crash reports that one process knows of.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    requests: HashMap<RequestDigest, Crashes>,
    // One element per report, in order of arrival; stale elements are skipped.
    reports: VecDeque<(Timestamp, RequestDigest)>,
}

impl PoisonTable {
    /// Records a report of this or another process; a repeated report has no effect.
    pub fn record(&mut self, now: Timestamp, report: CrashReport) {
        self.expire(now);
        let crashes = self.requests.entry(report.request).or_insert(Crashes {
            instances: Vec::new(),
            last_crash: now,
        });
        let instance = (report.target, report.incarnation);
        if crashes.instances.contains(&instance) || crashes.instances.len() >= CRASH_LIMIT {
            return;
        }
        crashes.instances.push(instance);
        crashes.last_crash = now;
        self.reports.push_back((now, report.request));
        while self.requests.len() > MAX_REQUESTS {
            let Some((_, oldest)) = self.reports.pop_front() else {
                return;
            };
            self.requests.remove(&oldest);
        }
    }

    /// Whether the request has crashed [`CRASH_LIMIT`] targets and is to be refused.
    pub fn is_poisoned(&self, now: Timestamp, request: &RequestDigest) -> bool {
        self.requests.get(request).is_some_and(|crashes| {
            crashes.instances.len() >= CRASH_LIMIT && now.since(crashes.last_crash) < POISON_TIME
        })
    }

    /// Number of requests in the table.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((reported, request)) = self.reports.front().copied() {
            if now.since(reported) < POISON_TIME {
                return;
            }
            self.reports.pop_front();
            let is_expired = self
                .requests
                .get(&request)
                .is_some_and(|crashes| now.since(crashes.last_crash) >= POISON_TIME);
            if is_expired {
                self.requests.remove(&request);
            }
        }
    }
}
