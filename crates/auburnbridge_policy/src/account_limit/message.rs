//! Messages between gateways about the limits of accounts.
//!
//! Each fits into one datagram and may be lost, late or doubled.

use auburnbridge_types::{AccountId, ConfigVersion, Millis, RequestRate, Timestamp, VmId};
use serde::{Deserialize, Serialize};

use super::ranking;

/// Identifies a gateway by the hash of its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayId(pub u64);

impl GatewayId {
    /// The id of the gateway on this VM.
    pub fn of(vm: &VmId) -> Self {
        Self(ranking::hash(vm.as_str()))
    }
}

/// Identifies an account by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountHash(pub u64);

impl AccountHash {
    /// The hash of this account.
    pub fn of(account: &AccountId) -> Self {
        Self(ranking::hash(account.as_str()))
    }
}

/// Limit of an account, and the configuration that it is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitTerms {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Rate at which requests are allowed.
    pub rate: RequestRate,
    /// Requests that may come at once beyond the rate.
    pub burst: u64,
}

impl LimitTerms {
    #[expect(
        clippy::cast_precision_loss,
        reason = "an imprecision of a huge rate is far below the overage"
    )]
    pub(super) fn rate_per_ms(self) -> f64 {
        self.rate.0 as f64 / 1_000_000.0
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "an imprecision of a huge burst is far below the overage"
    )]
    pub(super) fn burst(self) -> f64 {
        self.burst as f64
    }
}

/// Random number of one life of a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerTerm(pub u64);

/// Number of a message of one life of its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SentNumber(pub u64);

/// Time by the clock of the owner, which counts a lease from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Life of the owner whose clock it is.
    pub term: OwnerTerm,
    /// The time.
    pub time: Timestamp,
}

/// A message with the life and the number by which its receiver recognizes a doubled one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// Life of the sender.
    pub term: OwnerTerm,
    /// Number of the message.
    pub number: SentNumber,
    /// Content of the message.
    pub payload: Payload,
}

/// Content of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Leases parts of the sender's shares, instead of those leased before.
    Lease(Lease),
    /// Confirms a lease.
    LeaseAck(LeaseAck),
    /// Asks an owner to admit requests.
    Ask(Ask),
    /// Replies to an ask.
    Grant(Grant),
    /// Gives back a permit whose request was not passed on.
    GiveBack(GiveBack),
}

/// Leases parts of the sender's shares to the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Latest time that the receiver stated; the lease is counted from it. Without it nothing is
    /// leased, and the message only asks for an acknowledgement.
    pub echo: Option<Echo>,
    /// Duration of the lease.
    pub duration: Millis,
    /// Number of gateways among which the sender takes limits to be shared.
    pub gateways: u32,
    /// Leased parts, one bit for each part and group.
    pub parts: u32,
}

/// Confirms a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAck {
    /// Number of the message that is confirmed.
    pub number: SentNumber,
    /// Time by the clock of the receiver of the lease.
    pub time: Timestamp,
    /// Number of gateways that it counts.
    pub gateways: u32,
    /// Time for which it has counted the sender of the lease.
    pub counted_for: Millis,
    /// Whether it leases shares itself.
    pub has_started: bool,
    /// Time until the lease of a former life of the sender ends.
    pub former_lease_left: Millis,
}

/// Asks an owner to admit requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The account.
    pub account: AccountHash,
    /// Its limit in the configuration of the sender.
    pub terms: LimitTerms,
    /// Number of requests.
    pub requests: u32,
}

/// Wait stated by an owner that can't tell when there is room, such as one without a share.
pub(super) const UNKNOWN_WAIT: Millis = Millis(u64::MAX);

/// Replies to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the ask.
    pub number: SentNumber,
    /// The account.
    pub account: AccountHash,
    /// Number of requests that are admitted.
    pub admitted: u32,
    /// Time by the owner's clock.
    pub time: Timestamp,
    /// Time until the next request can be admitted.
    pub retry_after: Millis,
}

/// Gives back the permit of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveBack {
    /// The account.
    pub account: AccountHash,
    /// Time of the grant by the owner's clock.
    pub granted: Echo,
}
