//! Limits of client accounts that hold over all gateways together.
//!
//! Every gateway holds an equal *share* of every limit, and leases it, in two halves, to two *owners*
//! of the account's group: the gateways that rank highest by rendezvous hashing. A gateway that
//! receives a request asks an owner, which admits requests from a token bucket whose rate and
//! capacity are the sum of the shares that are leased to it.
//!
//! A half is leased to one owner at a time, so owners on two sides of a network partition, an owner
//! that was suspended, and one that has restarted together never hand out more than the whole
//! limit. No owner is elected, and nothing is stored.
//!
//! The module does no I/O and reads no clock. [`LimitNode`] is the state of one gateway; the caller
//! delivers its messages.

mod bucket;
mod delegation;
mod gateway_count;
mod holder;
mod message;
mod node;
mod owner;
mod ranking;
mod replay;
mod tolerance;

pub use gateway_count::GatewayCount;
pub use holder::{Admission, Refused, RefusedReason, Waiter};
pub use message::{
    AccountHash, Ask, Echo, GatewayId, GiveBack, Grant, Lease, LeaseAck, LimitMessage, LimitTerms,
    OwnerTerm, Payload, SentNumber,
};
pub use node::{LimitEvent, LimitNode, LimitNodeOptions, Output, Permit};
pub use tolerance::LimitTolerance;

use auburnbridge_types::Millis;

/// Number of groups that accounts are divided into. All accounts of a group have the same owners.
const GROUPS: usize = 16;
/// Number of parts of a share of a group, each of which is leased by itself.
const PARTS: u8 = 2;
/// Number of owners of a group, each of which gets one part of every share.
const OWNERS: usize = PARTS as usize;
/// Time after which an ask is put to the next owner, and a grant can't be used any more.
const ASK_TIMEOUT: Millis = Millis(80);
/// Interval at which [`LimitNode::tick`] is due.
pub const TICK_INTERVAL: Millis = Millis(40);
