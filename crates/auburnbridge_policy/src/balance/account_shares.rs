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

/// What the shares of the flows of a priority depend on.
#[derive(Clone, Copy, Debug)]
struct Terms {
    virtual_time: f64,
    /// Whether enough requests have been seen for the flows to be weighted by their usual requests.
    is_learned: bool,
    /// Least weight of an account.
    min_weight: f64,
    /// Weight of the requests without an account before enough have been seen.
    public_weight: f64,
    /// Least share of a flow's requests that is to be served.
    min_served_share: f64,
}

impl Level {
    fn terms(&self) -> Terms {
        let flows = count_to_f64(self.flows.max(1));
        let is_learned = self.usual >= MIN_USUAL_REQUESTS;
        Terms {
            virtual_time: self.virtual_time,
            is_learned,
            min_weight: if is_learned { self.usual / flows } else { 1.0 },
            public_weight: (flows - 1.0).max(1.0),
            min_served_share: MIN_SERVED_SHARE * self.starts / self.requests.max(1.0),
        }
    }
}

impl Terms {
    /// Weight of a flow: its usual requests, or the mean of all flows if that is more. Before enough
    /// requests have been seen, all accounts have the same weight, and the requests without an account,
    /// whose callers can't be told apart, as much as all accounts together.
    fn weight(&self, flow: &Flow) -> f64 {
        if self.is_learned {
            flow.usual.max(self.min_weight)
        } else if flow.id.account.is_some() {
            self.min_weight
        } else {
            self.public_weight
        }
    }

    /// Virtual time that passes before the next request of a flow starts, negative if the flow has not
    /// used up its burst.
    fn lag(&self, flow: &Flow) -> f64 {
        self.used(flow) / self.weight(flow)
    }

    /// Requests that a flow has started beyond its share, negative if it has not used up its burst. A
    /// flow of which too little is served goes first.
    fn used(&self, flow: &Flow) -> f64 {
        if flow.starts < self.min_served_share * flow.requests {
            return -BURST_REQUESTS;
        }
        ((flow.tag - self.virtual_time) * self.weight(flow)).max(-BURST_REQUESTS)
    }

    /// Requests of a flow that start before the virtual time has advanced by `lag`, if so many wait.
    fn starts_within(&self, flow: &Flow, lag: f64) -> f64 {
        (lag * self.weight(flow) - self.used(flow) + 1.0).max(0.0)
    }
}

/// What starts before a request of a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Rank {
    /// Waiting requests of other flows of the priority that start earlier.
    pub(super) ahead: usize,
    /// Waiting requests of other flows of the priority that start later.
    pub(super) behind: usize,
    /// Those that would start earlier if the flow had used up its burst, but nothing beyond its share.
    pub(super) ahead_of_unused: usize,
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

    fn terms(&self, priority: u32) -> Terms {
        self.levels
            .get(&priority)
            .copied()
            .unwrap_or_default()
            .terms()
    }

    /// Virtual time that passes before the next request of a flow starts.
    pub(super) fn lag(&self, key: FlowKey) -> f64 {
        let flow = &self.flows[key];
        self.terms(flow.id.priority).lag(flow)
    }

    /// Records that a request of a flow starts; `is_first` tells it from a resend.
    pub(super) fn record_start(&mut self, key: FlowKey, is_first: bool) {
        let flow = &mut self.flows[key];
        let level = self.levels.entry(flow.id.priority).or_default();
        let terms = level.terms();
        let start = terms.virtual_time + terms.lag(flow);
        flow.tag = flow.tag.max(start + 1.0 / terms.weight(flow));
        level.virtual_time = level.virtual_time.max(start);
        if is_first {
            flow.starts += 1.0;
            level.starts += 1.0;
        }
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
        !self.is_alone(key) && self.lag(key) >= 0.0
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
    fn lag_behind(&self, key: FlowKey, own_ahead: usize) -> f64 {
        let flow = &self.flows[key];
        let terms = self.terms(flow.id.priority);
        terms.lag(flow) + count_to_f64(own_ahead) / terms.weight(flow)
    }

    /// The flow of an account, if it has sent requests recently.
    pub(super) fn find(&self, priority: u32, account: Option<AccountKey>) -> Option<FlowKey> {
        self.by_id.get(&FlowId { priority, account }).copied()
    }

    /// What starts before a request of the flow that has `own_ahead` others of it ahead.
    pub(super) fn rank(&self, key: FlowKey, own_ahead: usize) -> Rank {
        let lag = self.lag_behind(key, own_ahead);
        let priority = self.flows[key].id.priority;
        let terms = self.terms(priority);
        let mut rank = Rank::default();
        for (other, flow) in &self.flows {
            if flow.waiting == 0 || other == key || flow.id.priority != priority {
                continue;
            }
            let starts = |lag| whole(terms.starts_within(flow, lag)).min(flow.waiting);
            let ahead = starts(lag);
            rank.ahead += ahead;
            rank.behind += flow.waiting - ahead;
            rank.ahead_of_unused += starts(0.0);
        }
        rank
    }

    /// Expected requests of other flows of the priority that arrive within `wait` and start before a
    /// request of the flow that has `own_ahead` others of it ahead.
    pub(super) fn overtaking(&self, key: FlowKey, own_ahead: usize, wait: Millis) -> f64 {
        let lag = self.lag_behind(key, own_ahead);
        if lag <= 0.0 {
            return 0.0;
        }
        let priority = self.flows[key].id.priority;
        let terms = self.terms(priority);
        let window = millis_to_f64(wait) / millis_to_f64(ARRIVAL_TIME_CONSTANT);
        let mut overtaking = 0.0;
        for (other, flow) in &self.flows {
            if other == key || flow.id.priority != priority {
                continue;
            }
            let room = terms.starts_within(flow, lag) - 1.0 - count_to_f64(flow.waiting);
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
pub(super) fn whole(value: f64) -> usize {
    value.clamp(0.0, f64::from(u32::MAX)) as usize
}
