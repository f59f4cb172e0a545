//! Shares of the client accounts in the starts of one service on one gateway.
//!
//! Waiting requests start by start-time fair queuing: each flow, the requests of one account with one
//! priority, has a *tag* that each start advances by the inverse of its weight, and the flow with the
//! lowest tag starts next. The *virtual time* of a priority is the highest tag at which a request has
//! started. A flow that has been idle continues a few requests before it, so it can't save up more
//! starts than these.
//!
//! The weight of a flow is its usual rate on this gateway, learned while the service has room, and at
//! least the mean of all flows. Requests without an account are one flow. State exists for accounts that
//! have sent a request in the last minutes, and for at most [`MAX_FLOWS`] flows.

use std::collections::{BTreeMap, HashMap};

use auburnbridge_types::{AccountId, Millis, Timestamp};
use slotmap::{SlotMap, new_key_type};

use super::wait_queue::{count_to_f64, millis_to_f64};

/// Most flows with state; the one that has sent least makes room for another.
const MAX_FLOWS: usize = 512;
/// Time constant of the exponential decay of arrivals, for the estimates of waits.
const ARRIVAL_TIME_CONSTANT: Millis = Millis(1_000);
/// Time constant of the exponential decay of the counts that show how much of a flow is served.
const SERVED_TIME_CONSTANT: Millis = Millis(5_000);
/// Time constant of the exponential decay of the usual requests of a flow.
const USUAL_TIME_CONSTANT: Millis = Millis(60_000);
/// Usual requests of a priority from which the flows are weighted by them.
const MIN_USUAL_REQUESTS: f64 = 60.0;
/// Requests that a flow may start ahead of its share, since the requests of a small account come in
/// bursts.
const BURST_REQUESTS: f64 = 6.0;
/// Recent requests below which an idle flow is forgotten.
const MIN_RECENT_REQUESTS: f64 = 0.05;
/// Fraction of the served share of all requests below which a flow starts first. No account may be
/// served less than a quarter as often as all; the rest is a margin for the differing views of gateways.
const MIN_SERVED_SHARE: f64 = 0.3;

new_key_type! {
    /// Handle of a flow.
    pub struct FlowKey;
}

/// Hash that identifies a client account.
///
/// Among 400,000 accounts two collide with a probability below one in a hundred million. On a collision
/// they have one share together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(u64);

impl AccountKey {
    /// Hashes the name of an account.
    pub fn of(account: &AccountId) -> Self {
        // FNV-1a, whose result is the same in every build.
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let bytes = account.as_str().bytes();
        Self(bytes.fold(OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        }))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FlowId {
    priority: u32,
    account: Option<AccountKey>,
}

/// Requests of one account, or of none, with one priority.
#[derive(Clone, Debug)]
struct Flow {
    id: FlowId,
    /// Decayed count of the requests that came while none waited, see [`USUAL_TIME_CONSTANT`].
    usual: f64,
    /// Tag of the next request to start.
    tag: f64,
    waiting: usize,
    /// Decayed count of arrivals, see [`ARRIVAL_TIME_CONSTANT`].
    arrivals: f64,
    /// Decayed counts of requests and of those that started, see [`SERVED_TIME_CONSTANT`].
    requests: f64,
    starts: f64,
}

/// State of the flows of one priority together.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    virtual_time: f64,
    requests: f64,
    starts: f64,
    usual: f64,
    flows: usize,
}

impl Level {
    /// Weight of a flow: its usual requests, or the mean of all flows if that is more. Before enough
    /// requests have been seen, all accounts have the same weight, and the requests without an account,
    /// whose callers can't be told apart, as much as all accounts together.
    fn weight(&self, flow: &Flow) -> f64 {
        let flows = count_to_f64(self.flows.max(1));
        if self.usual >= MIN_USUAL_REQUESTS {
            return flow.usual.max(self.usual / flows);
        }
        match flow.id.account {
            Some(_) => 1.0,
            None => (flows - 1.0).max(1.0),
        }
    }

    /// Tag at which the next request of a flow starts. A flow of which too little is served goes first.
    fn start_tag(&self, flow: &Flow) -> f64 {
        let earliest = self.virtual_time - BURST_REQUESTS / self.weight(flow);
        let is_underserved = flow.starts < MIN_SERVED_SHARE * self.served_share() * flow.requests;
        if is_underserved {
            earliest
        } else {
            flow.tag.max(earliest)
        }
    }

    /// Waiting requests of a flow that start before the virtual time has advanced by `lag`.
    fn starts_before(&self, flow: &Flow, lag: f64) -> usize {
        let lead = lag - (self.start_tag(flow) - self.virtual_time);
        if lead < 0.0 {
            return 0;
        }
        whole(lead * self.weight(flow) + 1.0).min(flow.waiting)
    }

    fn served_share(&self) -> f64 {
        self.starts / self.requests.max(1.0)
    }
}

/// What starts before a request of a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rank {
    /// Waiting requests of other flows of the priority that start earlier.
    pub(super) ahead: usize,
    /// Waiting requests of other flows of the priority that start later.
    pub(super) behind: usize,
}

/// Flows of all priorities of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountShares {
    flows: SlotMap<FlowKey, Flow>,
    by_id: HashMap<FlowId, FlowKey>,
    levels: BTreeMap<u32, Level>,
    decayed_at: Timestamp,
}

impl AccountShares {
    /// Counts the arrival of a request, whether it waits or not. The usual rate of an account is learned
    /// only while the service is not short of room.
    pub(super) fn record_arrival(
        &mut self,
        now: Timestamp,
        priority: u32,
        account: Option<AccountKey>,
        is_short_of_room: bool,
    ) {
        self.decay(now);
        let Some(key) = self.flow(priority, account) else {
            return;
        };
        let flow = &mut self.flows[key];
        flow.arrivals += 1.0;
        flow.requests += 1.0;
        let level = self.levels.entry(priority).or_default();
        level.requests += 1.0;
        if !is_short_of_room {
            flow.usual += 1.0;
            level.usual += 1.0;
        }
    }

    /// The flow of an account, created if it is new; `None` if all others have waiting requests and
    /// there is no room for it.
    pub(super) fn flow(&mut self, priority: u32, account: Option<AccountKey>) -> Option<FlowKey> {
        let id = FlowId { priority, account };
        if let Some(key) = self.by_id.get(&id).copied() {
            return Some(key);
        }
        if self.flows.len() >= MAX_FLOWS {
            self.forget_least_active()?;
        }
        let level = self.levels.entry(priority).or_default();
        let key = self.flows.insert(Flow {
            id,
            usual: 0.0,
            tag: f64::NEG_INFINITY,
            waiting: 0,
            arrivals: 0.0,
            requests: 0.0,
            starts: 0.0,
        });
        level.flows += 1;
        self.by_id.insert(id, key);
        Some(key)
    }

    fn forget_least_active(&mut self) -> Option<()> {
        let idle = self.flows.iter().filter(|(_, flow)| flow.waiting == 0);
        let (key, _) = idle.min_by(|(_, a), (_, b)| a.requests.total_cmp(&b.requests))?;
        self.forget(key);
        Some(())
    }

    fn forget(&mut self, key: FlowKey) {
        let Some(flow) = self.flows.remove(key) else {
            return;
        };
        self.by_id.remove(&flow.id);
        let Some(level) = self.levels.get_mut(&flow.id.priority) else {
            return;
        };
        level.requests = (level.requests - flow.requests).max(0.0);
        level.starts = (level.starts - flow.starts).max(0.0);
        level.usual = (level.usual - flow.usual).max(0.0);
        level.flows -= 1;
    }

    /// Applies the decay of all counts up to `now`, and forgets idle flows.
    fn decay(&mut self, now: Timestamp) {
        if now <= self.decayed_at {
            return;
        }
        let age = millis_to_f64(now.since(self.decayed_at));
        self.decayed_at = now;
        let arrivals = (-age / millis_to_f64(ARRIVAL_TIME_CONSTANT)).exp();
        let served = (-age / millis_to_f64(SERVED_TIME_CONSTANT)).exp();
        let usual = (-age / millis_to_f64(USUAL_TIME_CONSTANT)).exp();
        let mut idle = Vec::new();
        for (key, flow) in &mut self.flows {
            flow.arrivals *= arrivals;
            flow.requests *= served;
            flow.starts *= served;
            flow.usual *= usual;
            if flow.waiting == 0 && flow.requests.max(flow.usual) < MIN_RECENT_REQUESTS {
                idle.push(key);
            }
        }
        for level in self.levels.values_mut() {
            level.requests *= served;
            level.starts *= served;
            level.usual *= usual;
        }
        for key in idle {
            self.forget(key);
        }
    }

    fn level(&self, priority: u32) -> Level {
        self.levels.get(&priority).copied().unwrap_or_default()
    }

    /// Tag at which the next request of a flow starts.
    pub(super) fn tag(&self, key: FlowKey) -> f64 {
        let flow = &self.flows[key];
        self.level(flow.id.priority).start_tag(flow)
    }

    /// Records that a request of a flow starts; `is_first` tells it from a resend.
    pub(super) fn record_start(&mut self, key: FlowKey, is_first: bool) {
        let flow = &self.flows[key];
        let mut level = self.level(flow.id.priority);
        let tag = level.start_tag(flow);
        let end = tag + 1.0 / level.weight(flow);
        level.virtual_time = level.virtual_time.max(tag);
        let first = if is_first { 1.0 } else { 0.0 };
        level.starts += first;
        let flow = &mut self.flows[key];
        flow.tag = flow.tag.max(end);
        flow.starts += first;
        self.levels.insert(flow.id.priority, level);
    }

    /// Adds a waiting request to a flow.
    pub(super) fn add_waiting(&mut self, key: FlowKey) {
        self.flows[key].waiting += 1;
    }

    /// Removes a waiting request from a flow.
    pub(super) fn remove_waiting(&mut self, key: FlowKey) {
        let waiting = &mut self.flows[key].waiting;
        *waiting = waiting.saturating_sub(1);
    }

    /// Waiting requests of a flow.
    pub(super) fn waiting(&self, key: FlowKey) -> usize {
        self.flows[key].waiting
    }

    /// Number of accounts and priorities with waiting requests.
    pub(super) fn waiting_accounts(&self) -> usize {
        let flows = self.flows.values();
        flows
            .filter(|flow| flow.waiting > 0 && flow.id.account.is_some())
            .count()
    }

    /// Whether this flow is the only one of its priority.
    pub(super) fn is_alone(&self, key: FlowKey) -> bool {
        self.flows
            .iter()
            .all(|(other, flow)| other == key || flow.id.priority != self.flows[key].id.priority)
    }

    /// Whether a flow has used up its share and its burst, and others send requests.
    pub(super) fn is_above_share(&self, key: FlowKey) -> bool {
        !self.is_alone(key) && self.lag(key, 0) >= 0.0
    }

    /// Share of the recent requests that are of this account, with any priority.
    pub(super) fn request_share(&self, account: Option<AccountKey>) -> f64 {
        let (mut own, mut total) = (0.0, 0.0);
        for (priority, level) in &self.levels {
            total += level.requests;
            own += self
                .find(*priority, account)
                .map_or(0.0, |flow| self.flows[flow].requests);
        }
        if total > 0.0 { own / total } else { 1.0 }
    }

    /// Virtual time that passes before a request of the flow with `own_ahead` others of it ahead starts.
    fn lag(&self, key: FlowKey, own_ahead: usize) -> f64 {
        let flow = &self.flows[key];
        let level = self.level(flow.id.priority);
        let start = level.start_tag(flow) - level.virtual_time;
        start + count_to_f64(own_ahead) / level.weight(flow)
    }

    /// The flow of an account, if it has sent requests recently.
    pub(super) fn find(&self, priority: u32, account: Option<AccountKey>) -> Option<FlowKey> {
        self.by_id.get(&FlowId { priority, account }).copied()
    }

    /// What starts before a request of the flow that has `own_ahead` others of it ahead.
    pub(super) fn rank(&self, key: FlowKey, own_ahead: usize) -> Rank {
        self.rank_at(key, self.lag(key, own_ahead))
    }

    /// Waiting requests of other flows that would start before a request of the flow if it had neither
    /// used its share nor others waiting.
    pub(super) fn rank_without_lag(&self, key: FlowKey) -> usize {
        self.rank_at(key, 0.0).ahead
    }

    fn rank_at(&self, key: FlowKey, lag: f64) -> Rank {
        let priority = self.flows[key].id.priority;
        let level = self.level(priority);
        let mut rank = Rank {
            ahead: 0,
            behind: 0,
        };
        for (other, flow) in &self.flows {
            if flow.waiting == 0 || other == key || flow.id.priority != priority {
                continue;
            }
            let ahead = level.starts_before(flow, lag);
            rank.ahead += ahead;
            rank.behind += flow.waiting - ahead;
        }
        rank
    }

    /// Expected requests of other flows of the priority that arrive within `wait` and start before a
    /// request of the flow that has `own_ahead` others of it ahead.
    pub(super) fn overtaking(&self, key: FlowKey, own_ahead: usize, wait: Millis) -> f64 {
        let lag = self.lag(key, own_ahead);
        if lag <= 0.0 {
            return 0.0;
        }
        let priority = self.flows[key].id.priority;
        let level = self.level(priority);
        let window = millis_to_f64(wait) / millis_to_f64(ARRIVAL_TIME_CONSTANT);
        let mut overtaking = 0.0;
        for (other, flow) in &self.flows {
            if other == key || flow.id.priority != priority {
                continue;
            }
            let lead = lag - (level.start_tag(flow) - level.virtual_time);
            let room = lead * level.weight(flow) - count_to_f64(flow.waiting);
            overtaking += (flow.arrivals * window).min(room.max(0.0));
        }
        overtaking
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn whole(value: f64) -> usize {
    value.clamp(0.0, f64::from(u32::MAX)) as usize
}
