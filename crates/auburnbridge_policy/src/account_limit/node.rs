//! State of one gateway: what it leases, owns and asks for.

use std::collections::HashMap;

use auburnbridge_types::{Millis, Timestamp};

use super::delegation::Delegator;
use super::gateway_count::GatewayCount;
use super::holder::{Admission, Holder, OutgoingAsk, Waiter};
use super::message::{
    AccountHash, Ask, Echo, GatewayId, GiveBack, Grant, Lease, LeaseAck, LimitMessage, LimitTerms,
    OwnerTerm, Payload, SentNumber,
};
use super::owner::Owner;
use super::ranking::AccountGroup;
use super::replay::ReplayWindow;
use super::tolerance::LimitTolerance;
use super::{GROUPS, TICK_INTERVAL};

/// Time without a call after which this gateway was suspended, so that others didn't leave it
/// without an answer.
const SUSPENDED_TIME: Millis = Millis(5 * TICK_INTERVAL.0);

/// What a [`LimitNode`] is created from.
#[derive(Clone, Copy, Debug)]
pub struct LimitNodeOptions {
    /// This gateway.
    pub own: GatewayId,
    /// Random number of this life of the process.
    pub term: OwnerTerm,
    /// Tolerance of all limits.
    pub tolerance: LimitTolerance,
}

/// Permission to pass on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Account of the request.
    pub account: AccountHash,
    /// Owner that admitted it.
    pub owner: GatewayId,
    /// Time of the grant by the owner's clock.
    pub granted: Echo,
}

/// A change that operators want to know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitEvent {
    /// An owner, or a gateway that may become one, does not answer.
    Silent(GatewayId),
    /// A silent gateway answers again.
    Answering(GatewayId),
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Receiver of the message.
        to: GatewayId,
        /// The message.
        message: LimitMessage,
    },
    /// Continue with a request.
    Decided {
        /// The request.
        waiter: Waiter,
        /// The decision about it.
        admission: Admission,
    },
    /// Log a change.
    Event(LimitEvent),
}

/// Limits of accounts at one gateway.
#[derive(Clone, Debug)]
pub struct LimitNode {
    options: LimitNodeOptions,
    count: GatewayCount,
    delegator: Delegator,
    owner: Owner,
    holder: Holder,
    replay: HashMap<GatewayId, ReplayWindow>,
    sent: u64,
    used_groups: [bool; GROUPS],
    called: Option<Timestamp>,
    outputs: Vec<Output>,
}

impl LimitNode {
    /// Creates the state of a gateway that knows no other.
    pub fn new(options: LimitNodeOptions) -> Self {
        Self {
            options,
            count: GatewayCount::default(),
            delegator: Delegator::new(options.own),
            owner: Owner::new(options.term, options.tolerance),
            holder: Holder::new(options.own),
            replay: HashMap::new(),
            sent: 0,
            used_groups: [false; GROUPS],
            called: None,
            outputs: Vec::new(),
        }
    }

    /// Replaces the list of the other running gateways. Nothing is leased before the first list from
    /// a keeper that `is_fresh`, that is, one whose list is up to date.
    pub fn set_gateways(&mut self, now: Timestamp, others: &[GatewayId], is_fresh: bool) {
        let has_new = self.count.set_listed(now, others);
        self.delegator.record_list(now, has_new, is_fresh);
        self.update_contacts(now);
    }

    /// Replaces the accounts that have a limit.
    pub fn set_accounts(&mut self, limited: impl Iterator<Item = AccountHash>) {
        self.used_groups = [false; GROUPS];
        for account in limited {
            self.used_groups[AccountGroup::of(account).0] = true;
        }
    }

    /// Whether messages of a gateway are heeded.
    pub fn is_known(&self, gateway: GatewayId) -> bool {
        self.count.is_known(gateway)
    }

    /// Whether an account has a limit. If not, no message is sent.
    pub fn is_used(&self) -> bool {
        self.used_groups.contains(&true)
    }

    /// Adds a request of an account with a limit. The decision may be among the outputs at once.
    pub fn request(
        &mut self,
        now: Timestamp,
        account: AccountHash,
        terms: LimitTerms,
        waiter: Waiter,
    ) {
        self.record_call(now);
        self.holder.add(now, account, terms, waiter);
        self.ask(now, account);
    }

    /// Gives back the permit of a request that was not passed on.
    pub fn give_back(&mut self, now: Timestamp, permit: &Permit) {
        let given = GiveBack {
            account: permit.account,
            granted: permit.granted,
        };
        if permit.owner == self.options.own {
            self.owner.take_back(now, &given);
        } else {
            self.send(permit.owner, Payload::GiveBack(given));
        }
    }

    /// Applies a message of another gateway.
    pub fn receive(&mut self, now: Timestamp, from: GatewayId, message: &LimitMessage) {
        if !self.count.is_known(from) {
            return;
        }
        self.record_call(now);
        let replay = self.replay.entry(from).or_default();
        if !replay.accept(now, message.term, message.number) {
            return;
        }
        match &message.payload {
            Payload::Lease(lease) => self.receive_lease(now, from, message, lease),
            Payload::LeaseAck(ack) => {
                self.count.record_report(now, from, ack.gateways);
                self.delegator.record_ack(now, from, message.term, ack);
            }
            Payload::Ask(ask) => self.receive_ask(now, from, message.number, ask),
            Payload::Grant(grant) => {
                let granted = Echo {
                    term: message.term,
                    time: grant.time,
                };
                self.holder.apply_grant(now, from, granted, grant);
                self.ask(now, grant.account);
            }
            Payload::GiveBack(given) => {
                self.owner.take_back(now, given);
            }
        }
    }

    /// Renews leases and ends what has expired; due every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    pub fn tick(&mut self, now: Timestamp) {
        self.record_call(now);
        self.owner.advance(now);
        self.count.expire(now);
        self.update_contacts(now);
        for (account, silent) in self.holder.expire(now) {
            self.delegator.probe(silent);
            self.ask(now, account);
        }
        if self.is_used() {
            self.renew_leases(now);
        }
        for (gateway, is_silent) in self.delegator.contact_changes(now) {
            let event = if is_silent {
                LimitEvent::Silent(gateway)
            } else {
                LimitEvent::Answering(gateway)
            };
            self.outputs.push(Output::Event(event));
        }
    }

    /// Takes the outputs since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let decided = self.holder.take_decided().into_iter();
        let decided = decided.map(|(waiter, admission)| Output::Decided { waiter, admission });
        self.outputs.extend(decided);
        std::mem::take(&mut self.outputs)
    }

    /// Sum of the shares of an account's limit that are leased to this gateway.
    pub fn leased_share(&self, now: Timestamp, account: AccountHash) -> f64 {
        self.owner.leased_share(now, AccountGroup::of(account))
    }

    /// The owners of an account, best first, as far as this gateway knows.
    pub fn owners(&self, now: Timestamp, account: AccountHash) -> Vec<GatewayId> {
        self.delegator.owners(now, AccountGroup::of(account))
    }

    fn record_call(&mut self, now: Timestamp) {
        let called = self.called.replace(now);
        if called.is_some_and(|called| now.since(called) > SUSPENDED_TIME) {
            self.delegator.excuse_silence(now);
        }
    }

    fn update_contacts(&mut self, now: Timestamp) {
        let contacts = self.count.contacts(now);
        if self.delegator.set_gateways(contacts) {
            self.replay
                .retain(|gateway, _| self.count.is_known(*gateway));
        }
    }

    fn receive_lease(
        &mut self,
        now: Timestamp,
        from: GatewayId,
        message: &LimitMessage,
        lease: &Lease,
    ) {
        let sender = (message.term, message.number);
        self.owner.apply_lease(now, from, sender, lease);
        let ack = LeaseAck {
            number: message.number,
            time: now,
            gateways: self.count.own(),
            counted_for: self.count.counted_for(now, from),
            has_started: self.delegator.has_started(),
            former_lease_left: self.owner.former_lease_left(now, from, message.term),
        };
        self.send(from, Payload::LeaseAck(ack));
    }

    fn receive_ask(&mut self, now: Timestamp, from: GatewayId, number: SentNumber, ask: &Ask) {
        let admitted = self.owner.admit(now, ask);
        let grant = Grant {
            number,
            account: ask.account,
            admitted: admitted.requests,
            time: now,
            retry_after: admitted.retry_after,
        };
        self.send(from, Payload::Grant(grant));
    }

    /// Asks the owners of an account until a reply of another gateway has to be awaited.
    fn ask(&mut self, now: Timestamp, account: AccountHash) {
        let group = AccountGroup::of(account);
        loop {
            let delegator = &self.delegator;
            let owners = || delegator.owners(now, group);
            let Some(next) = self.holder.next_ask(now, account, owners) else {
                return;
            };
            if next.to != self.options.own {
                let number = self.send(next.to, Payload::Ask(next.ask));
                self.holder.record_sent(now, &next, number);
                return;
            }
            self.ask_self(now, &next);
        }
    }

    fn ask_self(&mut self, now: Timestamp, next: &OutgoingAsk) {
        let number = self.next_number();
        self.holder.record_sent(now, next, number);
        let admitted = self.owner.admit(now, &next.ask);
        let grant = Grant {
            number,
            account: next.ask.account,
            admitted: admitted.requests,
            time: now,
            retry_after: admitted.retry_after,
        };
        let granted = Echo {
            term: self.options.term,
            time: now,
        };
        self.holder
            .apply_grant(now, self.options.own, granted, &grant);
    }

    fn renew_leases(&mut self, now: Timestamp) {
        let used = self.used_groups;
        let gateways = self.count.shared_among();
        let due = self.delegator.due_leases(now, &used, gateways);
        for (to, lease) in due {
            let number = self.send(to, Payload::Lease(lease));
            self.delegator.record_sent(now, to, number);
        }
        let mut own = self.delegator.own_lease(now, gateways);
        own.echo = Some(Echo {
            term: self.options.term,
            time: now,
        });
        let sender = (self.options.term, self.next_number());
        self.owner.apply_lease(now, self.options.own, sender, &own);
    }

    fn next_number(&mut self) -> SentNumber {
        self.sent += 1;
        SentNumber(self.sent)
    }

    fn send(&mut self, to: GatewayId, payload: Payload) -> SentNumber {
        let number = self.next_number();
        let message = LimitMessage {
            term: self.options.term,
            number,
            payload,
        };
        self.outputs.push(Output::Send { to, message });
        number
    }
}
