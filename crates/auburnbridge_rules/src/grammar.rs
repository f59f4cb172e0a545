//! Declarations of every kind of line and every option of the rules file.

use auburnbridge_types::{ByteSize, Millis, RatePerSecond, Slots};

use crate::model::{EjectionSensitivity, Percent};
pub use crate::reference::reference;
pub use crate::value::ValueKind;

/// Default of `slots-per-target`.
pub const DEFAULT_SLOTS_PER_TARGET: Slots = Slots(3);
/// Default and upper bound of `most-targets`.
pub const DEFAULT_MOST_TARGETS: u32 = 4_096;
/// Default of `ejection`.
pub const DEFAULT_EJECTION: EjectionSensitivity = EjectionSensitivity::BALANCED;
/// Default of `retry-percent`, as a share of the service's requests.
pub const DEFAULT_RETRY_PERCENT: Percent = Percent(10);
/// Default of `retry-rate`, on top of the share; above zero so that services with few requests can
/// retry at all.
pub const DEFAULT_RETRY_RATE: RatePerSecond = RatePerSecond(3);
/// Default of `queue`, in waiting requests per entry.
pub const DEFAULT_QUEUE: u32 = 256;
/// Default of `lookup-share`.
pub const DEFAULT_LOOKUP_SHARE: Percent = Percent(10);
/// Default of `timeout`.
pub const DEFAULT_ROUTE_TIMEOUT: Millis = Millis(2_000);
/// Default of `largest-answer`.
pub const DEFAULT_LARGEST_ANSWER: ByteSize = ByteSize(1 << 20);
/// Rate limit of an account without a line if there is no `account default` line.
pub const DEFAULT_ACCOUNT_LIMIT: RatePerSecond = RatePerSecond(100);
/// Burst, in requests, of an account without a line if there is no `account default` line.
pub const DEFAULT_ACCOUNT_BURST: u32 = 200;
/// Retention of idempotency keys if there is no `keys` line.
pub const DEFAULT_KEY_RETENTION: Millis = Millis(24 * HOUR_MS);
/// Account whose limits apply to accounts without a line.
pub const DEFAULT_ACCOUNT: &str = "default";

const SECOND_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600 * SECOND_MS;
const MAX_SLOTS_PER_TARGET: u64 = 1_024;

/// A keyword or an argument at a fixed position of a line.
#[derive(Clone, Copy, Debug)]
pub enum Part {
    /// A literal word.
    Keyword(&'static str),
    /// A value.
    Argument(&'static ArgumentSpec),
}

/// A value at a fixed position.
#[derive(Clone, Copy, Debug)]
pub struct ArgumentSpec {
    /// Placeholder in the reference, such as `SERVICE`.
    pub name: &'static str,
    /// Kind of the value.
    pub kind: ValueKind,
    /// Description in the reference.
    pub description: &'static str,
}

/// A named value after the arguments; options may be in any order.
#[derive(Clone, Copy, Debug)]
pub struct OptionSpec {
    /// Keyword before the value.
    pub name: &'static str,
    /// Kind of the value.
    pub kind: ValueKind,
    /// Value used if the line lacks the option; `None` makes the option required.
    pub default: Option<u64>,
    /// Description in the reference.
    pub description: &'static str,
}

/// One kind of line.
#[derive(Clone, Copy, Debug)]
pub struct LineSpec {
    /// First word.
    pub name: &'static str,
    /// Keywords and arguments that follow the first word.
    pub parts: &'static [Part],
    /// Options that follow the parts.
    pub options: &'static [&'static OptionSpec],
    /// Number of leading words that identify the line; they must be unique in the file.
    pub key_word_count: usize,
    /// Index of the word that names the service to which the line belongs, counted from 0.
    pub service_word_index: Option<usize>,
    /// Description in the reference, which continues "A line of kind `NAME`".
    pub description: &'static str,
    /// A valid line.
    pub example: &'static str,
}

const SERVICE: ArgumentSpec = ArgumentSpec {
    name: "SERVICE",
    kind: ValueKind::Name,
    description: "name of the service, as its targets announce it",
};
const METHOD: ArgumentSpec = ArgumentSpec {
    name: "METHOD",
    kind: ValueKind::Method,
    description: "method of the requests",
};
const PATH: ArgumentSpec = ArgumentSpec {
    name: "PATH",
    kind: ValueKind::Path,
    description: "path of the requests; an exact path wins over a wildcard, a longer wildcard over a shorter one",
};
const CLASS: ArgumentSpec = ArgumentSpec {
    name: "CLASS",
    kind: ValueKind::Class,
    description: "`idempotent` requests may be retried; `once` requests run at most once and need an `Idempotency-Key`",
};
const ACCOUNT: ArgumentSpec = ArgumentSpec {
    name: "ACCOUNT",
    kind: ValueKind::Name,
    description: "name of the account; `default` applies to every account without its own line",
};
const TEAM: ArgumentSpec = ArgumentSpec {
    name: "TEAM",
    kind: ValueKind::Name,
    description: "name of the team, as in the operator keys",
};
const TEAM_SCOPE: ArgumentSpec = ArgumentSpec {
    name: "SERVICE",
    kind: ValueKind::NameOrAll,
    description: "service whose `service` and `route` lines the team may change; `*` for every line",
};
const RETENTION: ArgumentSpec = ArgumentSpec {
    name: "DURATION",
    kind: ValueKind::Duration(HOUR_MS, 7 * 24 * HOUR_MS),
    description: "how long after its creation an idempotency key is accepted and remembered",
};

/// Slots that stay in use despite ejections.
pub const SLOTS_FLOOR: OptionSpec = OptionSpec {
    name: "slots-floor",
    kind: ValueKind::Count(1, 10_000_000),
    default: None,
    description: "slots that stay in use despite ejections, as long as that many are announced",
};
/// Slots expected per target.
pub const SLOTS_PER_TARGET: OptionSpec = OptionSpec {
    name: "slots-per-target",
    kind: ValueKind::Count(1, MAX_SLOTS_PER_TARGET),
    default: Some(DEFAULT_SLOTS_PER_TARGET.0 as u64),
    description: "slots that each target is expected to announce",
};
/// Largest expected number of targets.
pub const MOST_TARGETS: OptionSpec = OptionSpec {
    name: "most-targets",
    kind: ValueKind::Count(1, DEFAULT_MOST_TARGETS as u64),
    default: Some(DEFAULT_MOST_TARGETS as u64),
    description: "largest number of targets that the service is expected to have; limits the floor",
};
/// Trade-off between false ejections and detection time.
pub const EJECTION: OptionSpec = OptionSpec {
    name: "ejection",
    kind: ValueKind::Sensitivity,
    default: Some(DEFAULT_EJECTION.0 as u64),
    description: "trade-off between few false ejections and fast detection",
};
/// Retry budget as a share of the requests.
pub const RETRY_PERCENT: OptionSpec = OptionSpec {
    name: "retry-percent",
    kind: ValueKind::Percent(0, 100),
    default: Some(DEFAULT_RETRY_PERCENT.0 as u64),
    description: "retries and hedged requests, as a share of the requests",
};
/// Retries allowed on top of the share.
pub const RETRY_RATE: OptionSpec = OptionSpec {
    name: "retry-rate",
    kind: ValueKind::Rate(0, 10_000),
    default: Some(DEFAULT_RETRY_RATE.0 as u64),
    description: "retries and hedged requests that one entry may send on top of that share",
};
/// Limit of the queue.
pub const QUEUE: OptionSpec = OptionSpec {
    name: "queue",
    kind: ValueKind::Count(0, 65_536),
    default: Some(DEFAULT_QUEUE as u64),
    description: "requests that may wait for a slot on one entry; further requests are refused immediately",
};
/// Share of the slots guaranteed to idempotent requests.
pub const LOOKUP_SHARE: OptionSpec = OptionSpec {
    name: "lookup-share",
    kind: ValueKind::Percent(1, 90),
    default: Some(DEFAULT_LOOKUP_SHARE.0 as u64),
    description: "share of the slots guaranteed to `idempotent` requests while `once` requests wait",
};
/// Time allowed for a request.
pub const TIMEOUT: OptionSpec = OptionSpec {
    name: "timeout",
    kind: ValueKind::Duration(10, HOUR_MS),
    default: Some(DEFAULT_ROUTE_TIMEOUT.0),
    description: "time allowed for a request, counted from its arrival",
};
/// Largest response body.
pub const LARGEST_ANSWER: OptionSpec = OptionSpec {
    name: "largest-answer",
    kind: ValueKind::Size(1, 64 << 20),
    default: Some(DEFAULT_LARGEST_ANSWER.0),
    description: "largest response body that is forwarded",
};
/// Sustained request rate of an account.
pub const LIMIT: OptionSpec = OptionSpec {
    name: "limit",
    kind: ValueKind::Rate(1, 1_000_000),
    default: None,
    description: "sustained rate of the account's requests on one entry",
};
/// Burst of an account.
pub const BURST: OptionSpec = OptionSpec {
    name: "burst",
    kind: ValueKind::Count(1, 1_000_000),
    default: None,
    description: "largest burst of requests after an idle period",
};

/// The `service` line.
pub const SERVICE_LINE: LineSpec = LineSpec {
    name: "service",
    parts: &[Part::Argument(&SERVICE)],
    options: &[
        &SLOTS_FLOOR,
        &SLOTS_PER_TARGET,
        &MOST_TARGETS,
        &EJECTION,
        &RETRY_PERCENT,
        &RETRY_RATE,
        &QUEUE,
        &LOOKUP_SHARE,
    ],
    key_word_count: 2,
    service_word_index: Some(1),
    description: "declares a service and its limits",
    example: "service stock slots-floor 24 ejection careful # asked by Meera, ward office",
};
/// The `route` line.
pub const ROUTE_LINE: LineSpec = LineSpec {
    name: "route",
    parts: &[
        Part::Argument(&METHOD),
        Part::Argument(&PATH),
        Part::Keyword("to"),
        Part::Argument(&SERVICE),
        Part::Argument(&CLASS),
    ],
    options: &[&TIMEOUT, &LARGEST_ANSWER],
    key_word_count: 3,
    service_word_index: Some(4),
    description: "sends requests to a service",
    example: "route GET /bins/* to stock idempotent timeout 2s # asked by Meera, ward office",
};
/// The `account` line.
pub const ACCOUNT_LINE: LineSpec = LineSpec {
    name: "account",
    parts: &[Part::Argument(&ACCOUNT)],
    options: &[&LIMIT, &BURST],
    key_word_count: 2,
    service_word_index: None,
    description: "limits the requests of an account",
    example: "account default limit 50/s burst 100 # asked by Jonas, operations",
};
/// The `keys` line.
pub const KEYS_LINE: LineSpec = LineSpec {
    name: "keys",
    parts: &[Part::Keyword("remember"), Part::Argument(&RETENTION)],
    options: &[],
    key_word_count: 1,
    service_word_index: None,
    description: "sets the retention of idempotency keys",
    example: "keys remember 24h # asked by Jonas, operations",
};
/// The `team` line.
pub const TEAM_LINE: LineSpec = LineSpec {
    name: "team",
    parts: &[
        Part::Argument(&TEAM),
        Part::Keyword("may"),
        Part::Keyword("change"),
        Part::Argument(&TEAM_SCOPE),
    ],
    options: &[],
    key_word_count: 5,
    service_word_index: None,
    description: "lets a team change the lines of a service",
    example: "team warehouse may change stock # asked by Jonas, operations",
};

/// Every kind of line.
pub const LINES: &[&LineSpec] = &[
    &SERVICE_LINE,
    &ROUTE_LINE,
    &ACCOUNT_LINE,
    &KEYS_LINE,
    &TEAM_LINE,
];
