//! Figures of the design scale from `docs/design.md`, and further assumptions.

pub const NODES: f64 = 5_300.0;
pub const TARGETS: f64 = 54_000.0;
pub const SERVICES: f64 = 1_400.0;
pub const REQUESTS_PER_SECOND: f64 = 700_000.0;
pub const DATA_CENTRES: f64 = 27.0;
pub const CHANGES_PER_DAY: f64 = 11_000.0;
pub const RESTARTS_PER_DAY: f64 = 18_000.0;

/// Limits on the control plane's use of CPU, memory and sent bytes per node.
pub const CPU_LIMIT_PERCENT: f64 = 1.6;
pub const MEMORY_LIMIT_MB: f64 = 128.0;
pub const SEND_LIMIT_BYTES_PER_SECOND: f64 = 2_000.0;
/// Maximum time in seconds until a change is in force on every node.
pub const CHANGE_LIMIT_SECONDS: f64 = 10.0;
/// VMs dedicated to the control plane.
pub const DEDICATED_VMS: f64 = 14.0;
/// Maximum number of connections that a target accepts.
pub const CONNECTIONS_PER_TARGET: f64 = 350.0;

pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Number of peers that a rumour is sent to, and rumour rounds per second, as set in the entry.
pub const FANOUT: f64 = 4.0;
pub const ROUNDS_PER_SECOND: f64 = 5.0;
/// Passes per second in which an entry updates the members of every service.
pub const PLACEMENTS_PER_SECOND: f64 = 10.0;
/// Polls for rules per second and entry.
pub const POLLS_PER_SECOND: f64 = 2.0;
/// Shortest time without contact from the leader after which a keeper may start an election.
pub const ELECTION_TIMEOUT_MS: f64 = 300.0;
/// Default number of log records between two snapshots, and default number of keys per group.
pub const RECORDS_PER_SNAPSHOT: f64 = 10_000.0;
pub const KEYS_PER_GROUP: f64 = 1_000_000.0;

/// Number of children per relay.
pub const CHILDREN: f64 = 20.0;
/// Assumption: 5 of the dedicated VMs are keepers and 9 are the first level of relays.
pub const FIRST_RELAYS: f64 = 9.0;
/// Assumption: one keep-alive every 10 s, with the bytes of an idle connection proportional to
/// keep-alives.
pub const KEEP_ALIVE_SECONDS: f64 = 10.0;
/// Assumption: one-way latency between regions, in seconds.
pub const REGION_LATENCY_SECONDS: f64 = 0.1;
/// Assumption: number of entries that hold a lease of a target, and its renewal interval.
pub const LEASE_HOLDERS: f64 = 3.0;
pub const RENEWAL_SECONDS: f64 = 30.0;
/// Assumption: each target restarts once a day, which causes two announcements.
pub const TARGET_CHANGES_PER_DAY: f64 = 2.0 * TARGETS;
/// Assumption: replicas per ledger group, and heap in GB that a VM provides for them.
pub const REPLICAS: f64 = 3.0;
pub const KEEPER_HEAP_GB: f64 = 16.0;
