//! Membership of targets and entries: announcements, leases, departures and gossip.
//!
//! A [`Membership`] is the state of one process: an entry, which is a proxy process between callers
//! and targets, or a keeper. It performs no I/O, and callers pass in the time.
//! The same rules apply to targets ([`TargetMembership`]) and to the entries themselves
//! ([`EntryMembership`]).
//!
//! Announcements of one id have a total order: incarnation, leaving state, address, sequence, and
//! the remaining fields as a tie-break. Each process keeps the highest one, so processes converge
//! under any reordering, loss or duplication of messages. The address precedes the sequence so that
//! two processes that claim one id do not alternate: within one incarnation the higher address
//! wins, and announcements of the other process yield [`Verdict::Conflict`].
//!
//! A lease is measured on the receiver's clock from the first receipt of each newer sequence. A
//! target without a lease is stale, and its record is removed after [`FORGET_AFTER`]. A target that
//! announced that it is leaving has departed. The ids of departed targets and of removed records
//! are kept as tombstones for [`TOMBSTONE_RETENTION`], so that delayed copies of their
//! announcements do not restore them.
//!
//! Rumours propagate new announcements (see [`Gossip`]), and anti-entropy repairs what they miss
//! (see [`SyncMessage`]). Two rules keep a dead target from persisting through entries that start
//! later: a stale announcement is forwarded as stale, and only by an entry that received it fresh;
//! and a tombstone is sent only to an entry that still lists the target.

mod announcement;
mod gossip;
mod membership;
mod sync;

pub use announcement::{Announced, AnnouncedState, Announcement, EntryAnnouncement};
pub use gossip::{Gossip, MAX_PENDING_RUMOURS};
pub use membership::{Liveness, Membership, Verdict};
pub use sync::{GroupDigest, GroupVersions, Offer, SyncMessage, Version};

use auburnbridge_types::Millis;

/// Membership of the targets, grouped by service.
pub type TargetMembership = Membership<Announcement>;

/// Membership of the entries, grouped by data centre.
pub type EntryMembership = Membership<EntryAnnouncement>;

/// Duration of a lease; targets send an announcement every second.
pub const LEASE: Millis = Millis(5_000);

/// Time without a newer sequence or a successful request after which a stale record is removed.
pub const FORGET_AFTER: Millis = Millis(10 * 60 * 1000);

/// Time for which the tombstone of a departed or removed id is kept.
///
/// Longer than a network partition of one hour between regions plus [`FORGET_AFTER`].
pub const TOMBSTONE_RETENTION: Millis = Millis(2 * 60 * 60 * 1000);

/// Maximum number of groups: services or data centres.
pub const MAX_GROUPS: usize = 4_096;

/// Maximum number of present ids; the design scale is 54,000 targets.
pub const MAX_PRESENT: usize = 65_536;

/// Maximum number of tombstones; the oldest is dropped first.
pub const MAX_TOMBSTONES: usize = 65_536;

/// Maximum number of announcements or versions in one anti-entropy message.
pub const MAX_PER_MESSAGE: usize = 4_096;
