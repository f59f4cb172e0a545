//! Figures of the design scale, as `docs/design.md` states them, and the assumptions beside them.

pub const NODES: f64 = 5_300.0;
pub const TARGETS: f64 = 54_000.0;
pub const SERVICES: f64 = 1_400.0;
pub const REQUESTS_PER_SECOND: f64 = 700_000.0;
pub const DATA_CENTRES: f64 = 27.0;
pub const CHANGES_PER_DAY: f64 = 11_000.0;
pub const RESTARTS_PER_DAY: f64 = 18_000.0;

/// Limits on the control plane, per node.
pub const CPU_LIMIT_PERCENT: f64 = 1.6;
pub const MEMORY_LIMIT_MB: f64 = 128.0;
pub const WIRE_LIMIT: f64 = 2_000.0;
/// Time within which a change is in force everywhere, in seconds.
pub const CHANGE_LIMIT: f64 = 10.0;
/// VMs that serve nothing but the control plane.
pub const DEDICATED_VMS: f64 = 14.0;
/// Connections that a target accepts.
pub const CONNECTIONS_PER_TARGET: f64 = 350.0;

pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Peers that a rumour goes to, and rounds of rumours per second, as the entry has them.
pub const FANOUT: f64 = 4.0;
pub const ROUNDS_PER_SECOND: f64 = 5.0;
/// Passes per second in which an entry takes over the members of every service.
pub const PLACEMENTS_PER_SECOND: f64 = 10.0;
/// Polls for rules per second and entry.
pub const POLLS_PER_SECOND: f64 = 2.0;
/// Silence of the leader, in milliseconds, after which a keeper may stand for election.
pub const ELECTION_MS: f64 = 300.0;
/// Log records between two snapshots by default, and keys that a group holds by default.
pub const SNAPSHOT_EVERY: f64 = 10_000.0;
pub const KEYS_PER_GROUP: f64 = 1_000_000.0;

/// Children of a relay.
pub const CHILDREN: f64 = 20.0;
/// Assumption: 5 of the dedicated VMs are keepers and 9 are the first level of relays.
pub const FIRST_RELAYS: f64 = 9.0;
/// Assumption: keep-alives each 10 s, which the bytes of an idle connection follow.
pub const KEEP_ALIVE_SECONDS: f64 = 10.0;
/// Assumption: one-way latency between regions, in seconds.
pub const REGION_LATENCY: f64 = 0.1;
/// Assumption: entries that hold the lease of a target, and the interval of its renewals.
pub const LEASE_HOLDERS: f64 = 3.0;
pub const RENEWAL_SECONDS: f64 = 30.0;
/// Assumption: each target restarts once a day, which takes two announcements.
pub const TARGET_CHANGES_PER_DAY: f64 = 2.0 * TARGETS;
/// Assumption: replicas of a group of the ledger, and heap of a VM for them, in GB.
pub const REPLICAS: f64 = 3.0;
pub const KEEPER_HEAP_GB: f64 = 16.0;
