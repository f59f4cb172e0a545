//! Measures announcements: memory, rumours, merging and the comparison of two entries.

use auburnbridge_http::{
    KeepAlive, Request as HttpRequest, RequestInfo, Response, encode_request, encode_response,
};
use auburnbridge_membership::{Announced, EntryMembership, Gossip, Membership, TargetMembership};
use auburnbridge_messages::{Reply, Request};
use auburnbridge_types::{Millis, Timestamp};

use crate::fixtures::{self, START};
use crate::measure::{Metric, Report, heap_bytes, nanos_once, nanos_per_call};

const TARGET_SIZES: [u32; 4] = [100, 1_000, 10_000, 54_000];
const ENTRY_SIZES: [u32; 3] = [100, 1_000, 5_300];
/// Maximum number of requests in one comparison; a new entry needs more than one comparison to
/// learn all targets.
const MAX_REQUESTS: usize = 16;
const MAX_COMPARISONS: u32 = 64;
/// Packets of one exchange: request, reply and acknowledgement, each with IPv4 and TCP headers.
const HTTP_PACKETS: usize = 3;
const TCP_HEADER_BYTES: usize = 40;

pub const TARGET_MEMORY: Metric = targets("G1", "heap of the membership", "B");
pub const TARGET_RUMOUR_BYTES: Metric = targets("G2", "rumour of one round, encoded", "B");
pub const TARGET_MERGE_NEW: Metric = targets("G3", "merge a round of newer announcements", "µs");
pub const TARGET_MERGE_KNOWN: Metric = targets("G4", "merge a round of known announcements", "µs");
pub const TARGET_ENCODE: Metric = targets("G5", "queue and encode a round", "µs");
pub const TARGET_DECODE: Metric = targets("G6", "decode a round", "µs");
pub const TARGET_SAME: Metric = targets("G7", "comparison of equal entries", "B");
pub const TARGET_ONE_BYTES: Metric = targets("G8", "comparison with one difference", "B");
pub const TARGET_ONE_TIME: Metric =
    targets("G9", "comparison with one difference, both sides", "µs");
pub const TARGET_LEARN_BYTES: Metric = targets("G10", "a new entry learns all", "B");
pub const TARGET_LEARN_ROUNDS: Metric = targets("G11", "a new entry learns all", "comparisons");
pub const TARGET_KEPT: Metric = targets("G12", "share of a round that the rumour queue keeps", "");
pub const TARGET_EXPIRE: Metric = targets("G13", "expire", "µs");
pub const ENTRY_MEMORY: Metric = entries("E1", "heap of the membership", "B");
pub const ENTRY_RUMOUR_BYTES: Metric = entries("E2", "rumour of one round, encoded", "B");
pub const ENTRY_MERGE_NEW: Metric = entries("E3", "merge a round of newer announcements", "µs");
pub const ENTRY_MERGE_KNOWN: Metric = entries("E4", "merge a round of known announcements", "µs");
pub const ENTRY_ENCODE: Metric = entries("E5", "queue and encode a round", "µs");
pub const ENTRY_DECODE: Metric = entries("E6", "decode a round", "µs");
pub const HTTP_BYTES: Metric = targets(
    "G14",
    "announcement over a kept-alive HTTP connection, both directions",
    "B",
);

const fn targets(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "targets",
        unit,
    }
}

const fn entries(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "entries",
        unit,
    }
}

struct RumourMetrics {
    memory: Metric,
    bytes: Metric,
    merge_new: Metric,
    merge_known: Metric,
    encode: Metric,
    decode: Metric,
}

const TARGET_METRICS: RumourMetrics = RumourMetrics {
    memory: TARGET_MEMORY,
    bytes: TARGET_RUMOUR_BYTES,
    merge_new: TARGET_MERGE_NEW,
    merge_known: TARGET_MERGE_KNOWN,
    encode: TARGET_ENCODE,
    decode: TARGET_DECODE,
};

const ENTRY_METRICS: RumourMetrics = RumourMetrics {
    memory: ENTRY_MEMORY,
    bytes: ENTRY_RUMOUR_BYTES,
    merge_new: ENTRY_MERGE_NEW,
    merge_known: ENTRY_MERGE_KNOWN,
    encode: ENTRY_ENCODE,
    decode: ENTRY_DECODE,
};

pub fn measure(report: &mut Report) {
    for size in TARGET_SIZES {
        let announcements_at = |sequence| {
            (0..size)
                .map(|n| fixtures::announcement(n, sequence))
                .collect()
        };
        let members: TargetMembership =
            measure_rumours(report, size, &TARGET_METRICS, announcements_at, |targets| {
                Request::EntryGossip {
                    targets,
                    entries: Vec::new(),
                }
            });
        measure_queue(report, size);
        measure_comparisons(report, size, members);
        report.record(HTTP_BYTES, size, http_bytes(size - 1));
    }
    for size in ENTRY_SIZES {
        let announcements_at = |sequence| {
            (0..size)
                .map(|n| fixtures::entry_announcement(n, sequence))
                .collect()
        };
        let _: EntryMembership =
            measure_rumours(report, size, &ENTRY_METRICS, announcements_at, |entries| {
                Request::EntryGossip {
                    targets: Vec::new(),
                    entries,
                }
            });
    }
}

/// Measures a round in which every sender has a newer announcement. Returns the membership.
fn measure_rumours<A: Announced>(
    report: &mut Report,
    size: u32,
    metrics: &RumourMetrics,
    announcements_at: impl Fn(u64) -> Vec<A>,
    request: impl Fn(Vec<A>) -> Request,
) -> Membership<A> {
    let (mut membership, bytes) = heap_bytes(|| {
        let mut membership = Membership::default();
        membership.merge(START, &announcements_at(1));
        membership
    });
    report.record(metrics.memory, size, bytes);
    let mut sequence = 1;
    let merge_new = {
        let rounds: Vec<Vec<A>> = (0..rounds_per_batch(size))
            .map(|round| announcements_at(u64::from(round) + 2))
            .collect();
        sequence += u64::from(rounds_per_batch(size));
        let ((), nanos) = nanos_once(|| {
            for round in &rounds {
                membership.merge(START, round);
            }
        });
        nanos / f64::from(rounds_per_batch(size))
    };
    report.record(metrics.merge_new, size, merge_new / 1e3);
    let known = announcements_at(sequence);
    let merge_known = nanos_per_call(|| membership.merge(START, &known).len());
    report.record(metrics.merge_known, size, merge_known / 1e3);

    let encoded = request(known.clone())
        .encode()
        .expect("the message is within the size limit");
    report.record(metrics.bytes, size, encoded.len() as f64);
    let encode = nanos_per_call(|| {
        let mut gossip = Gossip::new(4, 1);
        gossip.push(known.clone());
        request(gossip.take_pending())
            .encode()
            .map(|body| body.len())
    });
    report.record(metrics.encode, size, encode / 1e3);
    let decode = nanos_per_call(|| Request::decode(&encoded).is_ok());
    report.record(metrics.decode, size, decode / 1e3);
    membership
}

/// Returns the number of rounds merged in one timed batch; small rounds need more to be measurable.
fn rounds_per_batch(size: u32) -> u32 {
    (200_000 / size).clamp(2, 500)
}

fn measure_queue(report: &mut Report, size: u32) {
    let mut gossip = Gossip::new(4, 1);
    gossip.push((0..size).map(|n| fixtures::announcement(n, 1)).collect());
    let kept = gossip.take_pending().len();
    report.record(TARGET_KEPT, size, kept as f64 / f64::from(size));
}

fn measure_comparisons(report: &mut Report, size: u32, members: TargetMembership) {
    let mut local = members;
    let mut remote = local.clone();
    let now = START;
    report.record(
        TARGET_SAME,
        size,
        run_comparison(now, &mut local, &mut remote),
    );
    let expire = nanos_per_call(|| local.expire(now));
    report.record(TARGET_EXPIRE, size, expire / 1e3);

    let mut changed = fixtures::announcement(size / 2, 1_000_000);
    changed.incarnation.0 += 10;
    remote.announce(now, changed);
    let (bytes, nanos) = nanos_once(|| run_comparison(now, &mut local, &mut remote));
    report.record(TARGET_ONE_BYTES, size, bytes);
    report.record(TARGET_ONE_TIME, size, nanos / 1e3);

    let mut new_entry = TargetMembership::default();
    let mut bytes = 0.0;
    let mut rounds = 0;
    while new_entry.len() < local.len() && rounds < MAX_COMPARISONS {
        bytes += run_comparison(now.after(Millis(1)), &mut new_entry, &mut local);
        rounds += 1;
    }
    assert_eq!(
        new_entry.len(),
        local.len(),
        "the new entry has learnt every target"
    );
    report.record(TARGET_LEARN_BYTES, size, bytes);
    report.record(TARGET_LEARN_ROUNDS, size, f64::from(rounds));
}

/// Runs one comparison between two entries with encoded messages and returns the bytes of the
/// messages.
fn run_comparison(
    now: Timestamp,
    caller: &mut TargetMembership,
    server: &mut TargetMembership,
) -> f64 {
    let mut bytes = 0;
    let mut message = Some(caller.open_exchange());
    for _ in 0..MAX_REQUESTS {
        let Some(next) = message.take() else { break };
        let request = Request::SyncTargets(next)
            .encode()
            .expect("the message is within the size limit");
        bytes += request.len();
        let Ok(Request::SyncTargets(received)) = Request::decode(&request) else {
            unreachable!("an encoded message decodes to the same variant")
        };
        let (reply, _) = server.handle_message(now, received);
        let reply = Reply::SyncTargets(reply)
            .encode()
            .expect("the message is within the size limit");
        bytes += reply.len();
        let Ok(Reply::SyncTargets(received)) = Reply::decode(&reply) else {
            unreachable!("an encoded message decodes to the same variant")
        };
        message = received.and_then(|reply| caller.handle_message(now, reply).0);
    }
    bytes as f64
}

fn http_bytes(number: u32) -> f64 {
    let mut request = HttpRequest::new("POST", "/auburnbridge/announce");
    request.headers.append("Host", "auburnbridge");
    request.headers.append("Content-Type", "application/json");
    let announcement = fixtures::announcement(number, 1_000);
    let body = serde_json::to_vec(&announcement).expect("the announcement can be serialized");
    request.body = body.into();
    let mut encoded = Vec::new();
    encode_request(&request, &mut encoded);
    let mut response = Response::new(200);
    response.headers.append("Content-Type", "application/json");
    response.body = br#"{"verdict":"accepted"}"#.to_vec().into();
    let info = RequestInfo::default();
    encode_response(&response, info, KeepAlive::Reuse, &mut encoded);
    (encoded.len() + HTTP_PACKETS * TCP_HEADER_BYTES) as f64
}
