//! Target announcements, leases, departures and their gossip between entries.
//!
//! A [`Membership`] is the pure state of one entry: it performs no I/O and is given the time. The
//! same rules serve targets ([`Members`]) and the entries themselves ([`Entries`]).
//!
//! Announcements of one id have a total order: incarnation, leaving, address, sequence, and the
//! remaining content as a tie-break. Each entry keeps the highest, so any order, loss or
//! duplication of messages ends in the same state. The address stands before the sequence so that
//! two processes that claim one id can't take turns: in one incarnation the higher address wins,
//! and the other is reported as [`Verdict::Conflict`].
//!
//! A lease runs on the receiver's clock from the first receipt of each newer sequence. Without a
//! lease a target is stale, and it is forgotten after [`FORGET_AFTER`]. Departed and forgotten ids
//! are remembered for [`DEPARTED_MEMORY`], so that copies which still travel can't bring them back.
//!
//! Rumours spread new announcements (see [`Gossip`]), and anti-entropy repairs what they miss (see
//! [`SyncMessage`]). Two rules keep a dead target from living on in entries that start later: a
//! stale announcement is passed on as stale, and only by an entry that had it fresh; and the
//! memory of a departure is sent only to an entry that still lists the target.

mod announcement;
mod gossip;
mod membership;
mod sync;

pub use announcement::{Announced, Announcement, EntryAnnouncement, State};
pub use gossip::{Gossip, MAX_PENDING_RUMOURS};
pub use membership::{Liveness, Membership, Verdict};
pub use sync::{GroupDigest, GroupVersions, Offer, SyncMessage, Version};

use auburnbridge_types::Millis;

/// The targets that an entry knows, grouped by service.
pub type Members = Membership<Announcement>;

/// The entries that an entry knows, grouped by data centre.
pub type Entries = Membership<EntryAnnouncement>;

/// Duration of a lease; targets announce themselves every second.
pub const LEASE: Millis = Millis(5_000);

/// Time without a newer sequence after which a stale id is forgotten.
pub const FORGET_AFTER: Millis = Millis(10 * 60 * 1000);

/// Time for which a departed or forgotten id is remembered.
///
/// It exceeds the hour for which regions lose contact with each other, plus [`FORGET_AFTER`].
pub const DEPARTED_MEMORY: Millis = Millis(2 * 60 * 60 * 1000);

/// Number of services or data centres.
pub const MAX_GROUPS: usize = 4_096;

/// Number of ids that are present; the design scale has 54,000 targets.
pub const MAX_PRESENT: usize = 65_536;

/// Number of remembered departures; the oldest is dropped first.
pub const MAX_DEPARTED: usize = 65_536;

/// Number of announcements or versions in one message of the anti-entropy exchange.
pub const MAX_PER_MESSAGE: usize = 4_096;
