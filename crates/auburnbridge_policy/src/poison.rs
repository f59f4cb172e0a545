//! Requests that crash each target that runs them.
//!
//! A request is known by the whole digest of its account, method, path and body, so no other request
//! is refused in its place. The table is bounded; when it is full the oldest report goes first.

use std::collections::{HashMap, VecDeque};

use auburnbridge_types::{BodyDigest, Incarnation, Millis, TargetId, Timestamp};
use serde::{Deserialize, Serialize};

/// Distinct targets that a request may crash before it is refused.
pub const CRASH_LIMIT: usize = 2;
/// Time for which crashes are remembered and a poisoned request is refused.
pub const POISON_TIME: Millis = Millis(10 * 60 * 1000);
/// Requests with a remembered crash.
const TABLE_LIMIT: usize = 4_096;

/// A crash of a target while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: BodyDigest,
    /// The target that crashed.
    pub target: TargetId,
    /// The life of the target that ended.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Crashes {
    lives: Vec<(TargetId, Incarnation)>,
    last: Timestamp,
}

/// The crashes that one entry knows of.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    requests: HashMap<BodyDigest, Crashes>,
    // Holds each request once per report; stale positions are skipped when they come up.
    order: VecDeque<(Timestamp, BodyDigest)>,
}

impl PoisonTable {
    /// Takes over a report of this or another entry; a repeated one changes nothing.
    pub fn record(&mut self, now: Timestamp, report: CrashReport) {
        self.expire(now);
        let crashes = self.requests.entry(report.request).or_insert(Crashes {
            lives: Vec::new(),
            last: now,
        });
        let life = (report.target, report.incarnation);
        if crashes.lives.contains(&life) || crashes.lives.len() >= CRASH_LIMIT {
            return;
        }
        crashes.lives.push(life);
        crashes.last = now;
        self.order.push_back((now, report.request));
        while self.requests.len() > TABLE_LIMIT {
            let Some((_, oldest)) = self.order.pop_front() else {
                return;
            };
            self.requests.remove(&oldest);
        }
    }

    /// Whether the request has crashed enough targets to be refused.
    pub fn is_poisoned(&self, now: Timestamp, request: &BodyDigest) -> bool {
        self.requests.get(request).is_some_and(|crashes| {
            crashes.lives.len() >= CRASH_LIMIT && now.since(crashes.last) < POISON_TIME
        })
    }

    /// Number of requests with a remembered crash.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((reported, request)) = self.order.front().copied() {
            if now.since(reported) < POISON_TIME {
                return;
            }
            self.order.pop_front();
            let over = self
                .requests
                .get(&request)
                .is_some_and(|crashes| now.since(crashes.last) >= POISON_TIME);
            if over {
                self.requests.remove(&request);
            }
        }
    }
}
