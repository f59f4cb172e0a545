//! Owner of accounts: admits requests from the shares that gateways lease to it.
//!
//! A part of a share that is newly leased adds its rate and its capacity, but no tokens, since its
//! former owner may just have used them. Once the part has been leased for longer than a window, it
//! *matures*: no window holds requests of both owners any more, and its whole burst is credited.

use std::collections::{BTreeMap, HashMap};

use auburnbridge_types::{Millis, Timestamp};

use super::bucket::{BucketSize, TokenBucket, slot_length};
use super::message::{
    AccountHash, Ask, Echo, GatewayId, GiveBack, Lease, LimitTerms, OwnerTerm, SentNumber,
    UNKNOWN_WAIT,
};
use super::ranking::AccountGroup;
use super::tolerance::{LimitTolerance, milliseconds};
use super::{GROUPS, OWNERS, PARTS};

/// Largest number of accounts of a group that an owner keeps a bucket for.
const MAX_BUCKETS: usize = 32_768;
/// Least time between two attempts to make room for further buckets.
const MAKE_ROOM_INTERVAL: Millis = Millis(1_000);
/// Longest `Retry-After`.
const MAX_WAIT: Millis = Millis(60_000);
/// Longest duration of a lease that is accepted.
const MAX_LEASE: Millis = Millis(120_000);

/// One leased part of a share.
#[derive(Clone, Copy, Debug)]
struct LeasedPart {
    since: Timestamp,
    is_mature: bool,
}

/// What a gateway leases to this owner.
#[derive(Clone, Debug)]
struct GatewayLease {
    term: OwnerTerm,
    number: SentNumber,
    expires: Timestamp,
    /// Share of the limit of one part.
    share: f64,
    parts: [[Option<LeasedPart>; OWNERS]; GROUPS],
}

impl GatewayLease {
    /// The leased parts of a group.
    fn parts_of(&self, group: AccountGroup) -> impl Iterator<Item = LeasedPart> {
        self.parts[group.0].into_iter().flatten()
    }

    /// The sum of the shares of a group.
    fn share_of(&self, group: AccountGroup) -> f64 {
        self.parts_of(group).map(|_| self.share).sum()
    }
}

#[derive(Clone, Debug)]
struct AccountBucket {
    terms: LimitTerms,
    bucket: TokenBucket,
}

/// Accounts of a group, and the sum of the shares of it that are leased.
#[derive(Clone, Debug, Default)]
struct Group {
    share: f64,
    buckets: HashMap<AccountHash, AccountBucket>,
    /// Time of the latest attempt to make room.
    made_room: Timestamp,
}

/// Requests that an owner admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Admitted {
    pub(super) requests: u32,
    pub(super) retry_after: Millis,
}

/// State of a gateway as an owner.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    term: OwnerTerm,
    tolerance: LimitTolerance,
    slot: Millis,
    leases: BTreeMap<GatewayId, GatewayLease>,
    groups: Vec<Group>,
    /// Time of the next expiry of a lease or maturity of a part.
    next_change: Option<Timestamp>,
}

impl Owner {
    pub(super) fn new(term: OwnerTerm, tolerance: LimitTolerance) -> Self {
        Self {
            term,
            tolerance,
            slot: slot_length(tolerance.window),
            leases: BTreeMap::new(),
            groups: vec![Group::default(); GROUPS],
            next_change: None,
        }
    }

    /// Replaces what a gateway leases. A lease of a former life of this owner, without an echo or
    /// older than the current one is ignored.
    pub(super) fn apply_lease(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        sender: (OwnerTerm, SentNumber),
        lease: &Lease,
    ) {
        self.advance(now);
        let Some(echo) = lease.echo.filter(|echo| echo.term == self.term) else {
            return;
        };
        let (term, number) = sender;
        let former = self.leases.get(&from);
        let is_outdated =
            former.is_some_and(|former| former.term == term && former.number >= number);
        let expires = echo.time.after(lease.duration.min(MAX_LEASE));
        if is_outdated || echo.time > now || expires <= now || lease.gateways == 0 {
            return;
        }
        let newly = LeasedPart {
            since: now,
            is_mature: false,
        };
        let mut parts = [[None; OWNERS]; GROUPS];
        for group in AccountGroup::all() {
            for (at, part) in parts[group.0].iter_mut().enumerate() {
                if lease.parts & group.bit(at) != 0 {
                    let former = former.and_then(|former| former.parts[group.0][at]);
                    *part = Some(former.unwrap_or(newly));
                }
            }
        }
        let renewed = GatewayLease {
            term,
            number,
            expires,
            share: 1.0 / (f64::from(lease.gateways) * f64::from(PARTS)),
            parts,
        };
        self.leases.insert(from, renewed);
        self.update_shares(now);
    }

    /// Time until the lease of a former life of a gateway ends.
    pub(super) fn former_lease_left(
        &self,
        now: Timestamp,
        from: GatewayId,
        term: OwnerTerm,
    ) -> Millis {
        let lease = self.leases.get(&from).filter(|lease| lease.term != term);
        lease.map_or(Millis(0), |lease| lease.expires.since(now))
    }

    /// Ends the leases that have expired and matures parts, each at its time.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while let Some(change) = self.next_change.filter(|change| *change <= now) {
            self.mature_parts(change);
            self.leases.retain(|_, lease| lease.expires > change);
            self.update_shares(change);
        }
    }

    /// Admits up to as many requests as an ask is for.
    pub(super) fn admit(&mut self, now: Timestamp, ask: &Ask) -> Admitted {
        self.advance(now);
        let Some(bucket) = self.bucket(now, ask.account, ask.terms) else {
            return Admitted {
                requests: 0,
                retry_after: UNKNOWN_WAIT,
            };
        };
        let requests = bucket.take(now, ask.requests);
        Admitted {
            requests,
            retry_after: bucket
                .wait()
                .map_or(UNKNOWN_WAIT, |wait| wait.min(MAX_WAIT)),
        }
    }

    /// Takes back the permit of a request that was not passed on.
    pub(super) fn take_back(&mut self, now: Timestamp, given: &GiveBack) {
        self.advance(now);
        let Echo { term, time } = given.granted;
        let group = AccountGroup::of(given.account);
        let state = self.groups[group.0].buckets.get_mut(&given.account);
        if let Some(state) = state.filter(|_| term == self.term) {
            state.bucket.give_back(now, time);
        }
    }

    /// Sum of the shares of a group that are leased at a time.
    pub(super) fn leased_share(&self, now: Timestamp, group: AccountGroup) -> f64 {
        let leases = self.leases.values().filter(|lease| lease.expires > now);
        leases.map(|lease| lease.share_of(group)).sum()
    }

    /// The bucket of an account, under the newest limit that is known.
    fn bucket(
        &mut self,
        now: Timestamp,
        account: AccountHash,
        terms: LimitTerms,
    ) -> Option<&mut TokenBucket> {
        let group = AccountGroup::of(account);
        if !self.groups[group.0].buckets.contains_key(&account) {
            self.make_room(now, group);
            if self.groups[group.0].buckets.len() >= MAX_BUCKETS {
                return None;
            }
            let bucket = self.untouched_bucket(now, group, terms);
            let state = AccountBucket { terms, bucket };
            self.groups[group.0].buckets.insert(account, state);
        }
        let size = self.size(self.groups[group.0].share, terms);
        let state = self.groups[group.0].buckets.get_mut(&account)?;
        if terms.version > state.terms.version {
            state.terms = terms;
            state.bucket.resize(now, size);
        }
        Some(&mut state.bucket)
    }

    /// Forgets the accounts with as many tokens as an account that has sent no request.
    fn make_room(&mut self, now: Timestamp, group: AccountGroup) {
        let is_recent = now.since(self.groups[group.0].made_room) < MAKE_ROOM_INTERVAL;
        if self.groups[group.0].buckets.len() < MAX_BUCKETS || is_recent {
            return;
        }
        self.groups[group.0].made_room = now;
        let mut buckets = std::mem::take(&mut self.groups[group.0].buckets);
        buckets.retain(|_, state| {
            state.bucket.settle(now);
            state.bucket.level() < self.untouched_bucket(now, group, state.terms).level()
        });
        self.groups[group.0].buckets = buckets;
    }

    /// The bucket of an account that has sent no request: full, except that a part that is not
    /// mature has only filled since it was leased.
    fn untouched_bucket(
        &self,
        now: Timestamp,
        group: AccountGroup,
        terms: LimitTerms,
    ) -> TokenBucket {
        let mut bucket = TokenBucket::new(now, 0.0, self.slot);
        for lease in self.leases.values() {
            let size = self.size(lease.share, terms);
            for part in lease.parts_of(group) {
                let accrued = size.rate * milliseconds(now.since(part.since));
                let level = if part.is_mature {
                    size.capacity
                } else {
                    accrued.min(size.capacity)
                };
                bucket.add_capacity(self.credited_since(part), size.capacity, level);
            }
        }
        bucket.resize(now, self.size(self.groups[group.0].share, terms));
        bucket
    }

    fn size(&self, share: f64, terms: LimitTerms) -> BucketSize {
        BucketSize {
            rate: share * self.tolerance.admitted_rate(terms),
            capacity: share * self.tolerance.admitted_burst(terms),
        }
    }

    /// The time from which the burst of a part counts once it is mature: that of the first slot in
    /// which the part was leased all the time.
    fn credited_since(&self, part: LeasedPart) -> Timestamp {
        part.since.after(self.slot)
    }

    fn matures_at(&self, part: LeasedPart) -> Timestamp {
        self.credited_since(part).after(self.tolerance.window)
    }

    fn mature_parts(&mut self, now: Timestamp) {
        let mut matured: Vec<(AccountGroup, LeasedPart, f64)> = Vec::new();
        for lease in self.leases.values() {
            for group in AccountGroup::all() {
                let parts = lease.parts_of(group);
                let due = parts.filter(|part| !part.is_mature && self.matures_at(*part) <= now);
                matured.extend(due.map(|part| (group, part, lease.share)));
            }
        }
        for (group, part, share) in matured {
            let since = self.credited_since(part);
            let mut buckets = std::mem::take(&mut self.groups[group.0].buckets);
            for state in buckets.values_mut() {
                let burst = self.size(share, state.terms).capacity;
                state.bucket.credit(now, since, burst);
            }
            self.groups[group.0].buckets = buckets;
        }
        let (window, slot) = (self.tolerance.window, self.slot);
        let parts = self.leases.values_mut().flat_map(|lease| &mut lease.parts);
        for part in parts.flatten().flatten() {
            part.is_mature |= part.since.after(slot).after(window) <= now;
        }
    }

    /// Adapts the buckets to the leases from `now` on.
    fn update_shares(&mut self, now: Timestamp) {
        self.next_change = self.next_change();
        for group in AccountGroup::all() {
            let share: f64 = self
                .leases
                .values()
                .map(|lease| lease.share_of(group))
                .sum();
            // Sums in another order differ by rounding.
            if (self.groups[group.0].share - share).abs() < 1e-9 {
                continue;
            }
            let mut buckets = std::mem::take(&mut self.groups[group.0].buckets);
            for state in buckets.values_mut() {
                let size = self.size(share, state.terms);
                state.bucket.resize(now, size);
            }
            self.groups[group.0].buckets = buckets;
            self.groups[group.0].share = share;
        }
    }

    fn next_change(&self) -> Option<Timestamp> {
        let expiries = self.leases.values().map(|lease| lease.expires);
        let parts = self
            .leases
            .values()
            .flat_map(|lease| lease.parts.iter().flatten().flatten());
        let immature = parts.filter(|part| !part.is_mature);
        expiries
            .chain(immature.map(|part| self.matures_at(*part)))
            .min()
    }
}
