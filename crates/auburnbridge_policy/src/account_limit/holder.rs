//! Requests that wait for the decision of an owner.
//!
//! The requests of an account that arrive while an ask is outstanding are put into the next one, so an
//! account has at most one ask at a time, however many requests it sends. Nothing is asked for in
//! advance: a grant is used at once, or not at all.

use std::collections::{BTreeMap, VecDeque};

use auburnbridge_types::{Millis, Timestamp};

use super::ASK_TIMEOUT;
use super::message::{
    AccountHash, Ask, Echo, GatewayId, Grant, LimitTerms, SentNumber, UNKNOWN_WAIT,
};
use super::node::Permit;

/// Largest number of requests in one ask.
const MAX_ASKED: usize = 10_000;
/// `Retry-After` while no owner replies.
const SILENT_WAIT: Millis = Millis(500);

/// A request that waits, as numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusedReason {
    /// The account has used up its limit.
    OverLimit,
    /// No owner replied.
    NoOwner,
}

/// Refusal of a request, which has not been passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why it is refused.
    pub reason: RefusedReason,
    /// Time until there is room.
    pub retry_after: Millis,
    /// The owner that refused it, if one replied.
    pub owner: Option<GatewayId>,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be passed on.
    Admitted(Permit),
    /// The request is refused.
    Refused(Refused),
}

/// An ask to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OutgoingAsk {
    pub(super) to: GatewayId,
    pub(super) ask: Ask,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    owner: GatewayId,
    number: SentNumber,
    sent: Timestamp,
}

/// Requests for which owners are asked, one after the other.
#[derive(Clone, Debug)]
struct Batch {
    waiters: VecDeque<Waiter>,
    /// Owners to ask.
    owners: VecDeque<GatewayId>,
    /// Owners that left the first ask without a reply, which are asked once more.
    silent: Vec<GatewayId>,
    is_second_round: bool,
    outstanding: Option<Outstanding>,
    /// Shortest wait that an owner stated.
    refusal: Option<(Millis, GatewayId)>,
}

#[derive(Clone, Debug)]
struct Queue {
    terms: LimitTerms,
    waiting: VecDeque<Waiter>,
    batch: Option<Batch>,
    /// Time until which the account is over its limit, and the owner that stated it.
    closed: Option<(Timestamp, GatewayId)>,
}

impl Queue {
    fn is_idle(&self, now: Timestamp) -> bool {
        let is_open = self.closed.is_none_or(|(until, _)| until <= now);
        self.batch.is_none() && self.waiting.is_empty() && is_open
    }

    fn refusal(&self, now: Timestamp) -> Option<Refused> {
        let (until, owner) = self.closed.filter(|(until, _)| now < *until)?;
        Some(Refused {
            reason: RefusedReason::OverLimit,
            retry_after: until.since(now),
            owner: Some(owner),
        })
    }
}

/// State of a gateway that asks owners.
#[derive(Clone, Debug, Default)]
pub(super) struct Holder {
    queues: BTreeMap<AccountHash, Queue>,
    /// Number of batches, from a start of each gateway's own. The owners are asked first in turn, so
    /// that the loss of one leaves the other with tokens.
    batches: u64,
    decided: Vec<(Waiter, Admission)>,
}

impl Holder {
    pub(super) fn new(own: GatewayId) -> Self {
        Self {
            batches: own.0,
            ..Self::default()
        }
    }

    /// Adds a request.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        account: AccountHash,
        terms: LimitTerms,
        waiter: Waiter,
    ) {
        let queue = self.queues.entry(account).or_insert_with(|| Queue {
            terms,
            waiting: VecDeque::new(),
            batch: None,
            closed: None,
        });
        if terms.version > queue.terms.version {
            queue.terms = terms;
            queue.closed = None;
        }
        match queue.refusal(now) {
            Some(refused) => self.decided.push((waiter, Admission::Refused(refused))),
            None => queue.waiting.push_back(waiter),
        }
    }

    /// The next ask about an account, which the caller sends and records; `None` if one is
    /// outstanding or no request waits.
    pub(super) fn next_ask(
        &mut self,
        now: Timestamp,
        account: AccountHash,
        owners: impl Fn() -> Vec<GatewayId>,
    ) -> Option<OutgoingAsk> {
        let queue = self.queues.get_mut(&account)?;
        loop {
            let batch = match &mut queue.batch {
                Some(batch) if batch.outstanding.is_some() => return None,
                Some(batch) if !batch.waiters.is_empty() => batch,
                _ => {
                    queue.batch = None;
                    let refusal = queue.refusal(now);
                    if let Some(refused) = refusal {
                        let refused = Admission::Refused(refused);
                        self.decided
                            .extend(queue.waiting.drain(..).map(|waiter| (waiter, refused)));
                    }
                    if queue.waiting.is_empty() {
                        return None;
                    }
                    let count = queue.waiting.len().min(MAX_ASKED);
                    let mut owners: VecDeque<GatewayId> = owners().into();
                    self.batches = self.batches.wrapping_add(1);
                    if self.batches.is_multiple_of(2) {
                        owners.rotate_left(1.min(owners.len()));
                    }
                    queue.batch.insert(Batch {
                        waiters: queue.waiting.drain(..count).collect(),
                        owners,
                        silent: Vec::new(),
                        is_second_round: false,
                        outstanding: None,
                        refusal: None,
                    })
                }
            };
            if let Some(to) = batch.owners.pop_front() {
                let ask = Ask {
                    account,
                    terms: queue.terms,
                    requests: u32::try_from(batch.waiters.len()).unwrap_or(u32::MAX),
                };
                return Some(OutgoingAsk { to, ask });
            }
            if !batch.is_second_round && !batch.silent.is_empty() {
                batch.is_second_round = true;
                batch.owners.extend(batch.silent.drain(..));
                continue;
            }
            if let Some((wait, owner)) = batch.refusal {
                queue.closed = Some((now.after(wait), owner));
            }
            let refused = Admission::Refused(refusal_of(batch));
            self.decided
                .extend(batch.waiters.drain(..).map(|waiter| (waiter, refused)));
        }
    }

    /// Records the number under which an ask was sent.
    pub(super) fn record_sent(&mut self, now: Timestamp, sent: &OutgoingAsk, number: SentNumber) {
        let queue = self.queues.get_mut(&sent.ask.account);
        if let Some(batch) = queue.and_then(|queue| queue.batch.as_mut()) {
            batch.outstanding = Some(Outstanding {
                owner: sent.to,
                number,
                sent: now,
            });
        }
    }

    /// Applies the reply of an owner. A late one is ignored, and what it grants is lost.
    pub(super) fn apply_grant(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        granted: Echo,
        grant: &Grant,
    ) {
        let queue = self.queues.get_mut(&grant.account);
        let Some(batch) = queue.and_then(|queue| queue.batch.as_mut()) else {
            return;
        };
        let is_expected = batch.outstanding.is_some_and(|ask| {
            ask.owner == from && ask.number == grant.number && now.since(ask.sent) < ASK_TIMEOUT
        });
        if !is_expected {
            return;
        }
        batch.outstanding = None;
        let admitted = batch.waiters.len().min(grant.admitted as usize);
        let permit = Permit {
            account: grant.account,
            owner: from,
            granted,
        };
        let admission = Admission::Admitted(permit);
        self.decided.extend(
            batch
                .waiters
                .drain(..admitted)
                .map(|waiter| (waiter, admission)),
        );
        let is_shortest = batch
            .refusal
            .is_none_or(|(wait, _)| grant.retry_after < wait);
        // An owner that holds no share doesn't know whether the account is over its limit.
        let is_known = grant.retry_after != UNKNOWN_WAIT;
        if !batch.waiters.is_empty() && is_known && is_shortest {
            batch.refusal = Some((grant.retry_after, from));
        }
    }

    /// Ends the asks that got no reply in time. Returns their accounts and the silent owners.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<(AccountHash, GatewayId)> {
        self.queues.retain(|_, queue| !queue.is_idle(now));
        let mut expired = Vec::new();
        for (account, queue) in &mut self.queues {
            let Some(batch) = &mut queue.batch else {
                continue;
            };
            let ask = batch
                .outstanding
                .filter(|ask| now.since(ask.sent) >= ASK_TIMEOUT);
            if let Some(ask) = ask {
                batch.outstanding = None;
                batch.silent.push(ask.owner);
                expired.push((*account, ask.owner));
            }
        }
        expired
    }

    /// Takes the decisions made since the last call.
    pub(super) fn take_decided(&mut self) -> Vec<(Waiter, Admission)> {
        std::mem::take(&mut self.decided)
    }
}

fn refusal_of(batch: &Batch) -> Refused {
    match batch.refusal {
        Some((retry_after, owner)) => Refused {
            reason: RefusedReason::OverLimit,
            retry_after,
            owner: Some(owner),
        },
        None => Refused {
            reason: RefusedReason::NoOwner,
            retry_after: SILENT_WAIT,
            owner: None,
        },
    }
}
