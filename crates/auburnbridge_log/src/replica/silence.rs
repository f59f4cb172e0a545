//! Time for which other replicas have left requests unanswered.
//!
//! The time spans elections: a new leader continues with the requests that it sent as a candidate, or
//! to have its boot confirmed. If each election started the time anew, a group that loses its leader
//! again and again would never remove a lost member.
//!
//! Nothing is known of a replica that is not asked, as by a follower of a live leader, and of the
//! time in which this replica itself did not run. Such times don't count.

use std::collections::BTreeMap;

use auburnbridge_types::{Millis, Timestamp};

use crate::{Members, ReplicaId};

/// Requests to each replica since its latest reply.
#[derive(Clone, Debug)]
pub(super) struct UnansweredRequests {
    requests: BTreeMap<ReplicaId, RequestTimes>,
    /// Longest time between two requests that belong together.
    max_pause: Millis,
}

#[derive(Clone, Copy, Debug)]
struct RequestTimes {
    first: Timestamp,
    last: Timestamp,
}

impl UnansweredRequests {
    pub(super) fn new(max_pause: Millis) -> Self {
        Self {
            requests: BTreeMap::new(),
            max_pause,
        }
    }

    pub(super) fn record_request(&mut self, to: ReplicaId, now: Timestamp) {
        let new = RequestTimes {
            first: now,
            last: now,
        };
        let times = self.requests.entry(to).or_insert(new);
        if now.since(times.last) > self.max_pause {
            *times = new;
        }
        times.last = now;
    }

    /// Forgets the requests to a replica, which has replied or started again.
    pub(super) fn forget(&mut self, replica: ReplicaId) {
        self.requests.remove(&replica);
    }

    pub(super) fn retain_members(&mut self, members: &Members) {
        self.requests
            .retain(|replica, _| members.get(*replica).is_some());
    }

    /// Leaves `gap`, in which this replica did not run, out of all times.
    pub(super) fn exclude(&mut self, gap: Millis) {
        for times in self.requests.values_mut() {
            times.first = times.first.after(gap);
            times.last = times.last.after(gap);
        }
    }

    /// Returns the time since the first unanswered request to a replica; zero if there is none.
    pub(super) fn silence(&self, replica: ReplicaId, now: Timestamp) -> Millis {
        self.requests
            .get(&replica)
            .map_or(Millis(0), |times| now.since(times.first))
    }
}
