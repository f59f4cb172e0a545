//! Projections to the design scale from the measured cost per unit.
//!
//! Bytes per second count what a node sends; in gossip it receives the same amount. MB and KB are
//! decimal, and heap figures exclude allocator overhead.

use crate::design_scale as scale;
use crate::measure::{Report, format_figure};
use crate::{account_limits, choice, gossip, http, keeper, ledger, peer, rules, store};

/// Prints all projections as Markdown tables.
pub fn print(report: &Report) {
    println!();
    println!("| id | figure | value | unit | from | limit | within |");
    println!("|---|---|---:|---|---|---:|---|");
    print_gossip(report);
    print_connections(report);
    print_subsets(report);
    print_relay_tree(report);
    print_changes(report);
    print_restarts(report);
    print_entry(report);
    print_ledger(report);
}

fn row(id: &str, name: &str, value: f64, unit: &str, from: &str) {
    println!(
        "| {id} | {name} | {} | {unit} | {from} | – | – |",
        format_figure(value)
    );
}

/// Prints a figure with its upper limit.
fn bounded(id: &str, name: &str, value: f64, unit: &str, from: &str, limit: f64) {
    let verdict = if value <= limit { "yes" } else { "**no**" };
    println!(
        "| {id} | {name} | {} | {unit} | {from} | {} | {verdict} |",
        format_figure(value),
        format_figure(limit)
    );
}

/// Returns the bytes of a one-way message besides its body, with its share of acknowledgements.
fn message_overhead(report: &Report) -> f64 {
    report.median(peer::MESSAGE_BYTES, 64) - 64.0
}

/// Returns the CPU microseconds for sending one byte and receiving another, measured with an echoed
/// body.
fn transport_micros_per_byte(report: &Report) -> f64 {
    report.median(peer::PARALLEL_CPU, 16_384) / (2.0 * 16_384.0)
}

fn print_gossip(report: &Report) {
    let data_centre_nodes = scale::NODES / scale::DATA_CENTRES;
    let data_centre_targets = scale::TARGETS / scale::DATA_CENTRES;
    let cases = [
        ("1", "16 entries, 54 targets", 16.0, 54.0),
        (
            "2",
            "one data centre",
            data_centre_nodes,
            data_centre_targets,
        ),
        (
            "3",
            "whole fleet, unbounded queue",
            scale::NODES,
            scale::TARGETS,
        ),
    ];
    for (number, name, entries, targets) in cases {
        let heartbeats = entries * scale::ROUNDS_PER_SECOND;
        let messages = scale::FANOUT * scale::ROUNDS_PER_SECOND;
        let bytes = scale::FANOUT
            * (targets * report.per_unit(gossip::TARGET_RUMOUR_BYTES)
                + heartbeats * report.per_unit(gossip::ENTRY_RUMOUR_BYTES))
            + messages * message_overhead(report);
        bounded(
            &format!("CG{number}a"),
            &format!("gossip sent per entry: {name}"),
            bytes,
            "B/s",
            "G2 E2 P7",
            scale::SEND_LIMIT_BYTES_PER_SECOND,
        );
        let transport = messages * report.median(peer::PARALLEL_CPU, 64)
            + bytes * transport_micros_per_byte(report);
        let micros =
            targets * target_micros(report) + heartbeats * entry_micros(report) + transport;
        bounded(
            &format!("CG{number}b"),
            &format!("gossip CPU per entry, with the transport at most: {name}"),
            percent(micros),
            "% of a core",
            "G3–G6 E3–E6 P9",
            scale::CPU_LIMIT_PERCENT,
        );
    }
    let queue = report.largest(gossip::TARGET_KEPT) * scale::TARGETS * scale::ROUNDS_PER_SECOND;
    row(
        "CG4",
        "renewals that the rumour queue passes, of 54,000 a second",
        queue,
        "1/s",
        "G12",
    );
    let place = report.median(choice::PLACE, 54) / 54.0;
    for (id, name, targets) in [
        ("CG5", "a data centre's targets", data_centre_targets),
        ("CG6", "all targets", scale::TARGETS),
    ] {
        bounded(
            id,
            &format!("placement passes, 10 a second: {name}"),
            percent(targets * place * scale::PLACEMENTS_PER_SECOND),
            "% of a core",
            "D2",
            scale::CPU_LIMIT_PERCENT,
        );
    }
}

/// Returns the CPU microseconds per target announcement, which an entry receives four times and
/// forwards once.
fn target_micros(report: &Report) -> f64 {
    report.per_unit(gossip::TARGET_ENCODE)
        + scale::FANOUT * report.per_unit(gossip::TARGET_DECODE)
        + report.per_unit(gossip::TARGET_MERGE_NEW)
        + (scale::FANOUT - 1.0) * report.per_unit(gossip::TARGET_MERGE_KNOWN)
}

/// Returns the CPU microseconds per entry announcement, received and forwarded as those of targets.
fn entry_micros(report: &Report) -> f64 {
    report.per_unit(gossip::ENTRY_ENCODE)
        + scale::FANOUT * report.per_unit(gossip::ENTRY_DECODE)
        + report.per_unit(gossip::ENTRY_MERGE_NEW)
        + (scale::FANOUT - 1.0) * report.per_unit(gossip::ENTRY_MERGE_KNOWN)
}

/// Converts CPU microseconds per second to a percentage of one core.
fn percent(micros_per_second: f64) -> f64 {
    micros_per_second / 1e4
}

fn print_connections(report: &Report) {
    let idle = report.per_unit(peer::IDLE);
    row(
        "CP1",
        "an idle connection, both directions",
        idle,
        "B/s",
        "P1",
    );
    row(
        "CP2",
        "idle connections that fill the limit",
        scale::SEND_LIMIT_BYTES_PER_SECOND / idle,
        "",
        "CP1",
    );
    let mesh = scale::NODES / scale::DATA_CENTRES - 1.0;
    bounded(
        "CP3",
        "idle connections to every entry of a data centre",
        mesh * idle,
        "B/s",
        "CP1",
        scale::SEND_LIMIT_BYTES_PER_SECOND,
    );
    let poll = report.median(peer::CALL_BYTES, 64);
    bounded(
        "CP4",
        "polls for rules, 2 a second, both directions",
        scale::POLLS_PER_SECOND * poll,
        "B/s",
        "P4",
        scale::SEND_LIMIT_BYTES_PER_SECOND,
    );
    let calls = scale::NODES * scale::POLLS_PER_SECOND;
    row(
        "CP5",
        "cores for the polls of all nodes at the keepers, at most",
        calls * report.median(peer::PARALLEL_CPU, 64) / 1e6,
        "cores",
        "P9",
    );
}

fn print_subsets(report: &Report) {
    let held = scale::CONNECTIONS_PER_TARGET * scale::TARGETS / scale::NODES;
    row(
        "CS1",
        "targets that an entry may connect to, at 350 connections a target",
        held,
        "",
        "design scale",
    );
    row(
        "CS2",
        "of these per service, if an entry serves every service",
        held / scale::SERVICES,
        "",
        "CS1",
    );
    let announcement = report.largest(gossip::HTTP_BYTES);
    bounded(
        "CS3",
        "announcements if each entry holds the leases of CS1, each second",
        held * announcement,
        "B/s",
        "G14",
        scale::SEND_LIMIT_BYTES_PER_SECOND,
    );
    let leases = scale::TARGETS * scale::LEASE_HOLDERS / scale::NODES;
    bounded(
        "CS4",
        "announcements with 3 lease holders a target, each second",
        leases * announcement,
        "B/s",
        "G14",
        scale::SEND_LIMIT_BYTES_PER_SECOND,
    );
    bounded(
        "CS5",
        "announcements with 3 lease holders a target, each 30 s",
        leases * announcement / scale::RENEWAL_SECONDS,
        "B/s",
        "G14",
        scale::SEND_LIMIT_BYTES_PER_SECOND,
    );
    bounded(
        "CS6",
        "placement passes over the targets of CS1",
        percent(held * report.median(choice::PLACE, 54) / 54.0 * scale::PLACEMENTS_PER_SECOND),
        "% of a core",
        "D2",
        scale::CPU_LIMIT_PERCENT,
    );
}

/// Returns the number of hops from a keeper to the farthest node.
fn hops(children: f64) -> f64 {
    let mut level = scale::FIRST_RELAYS;
    let mut nodes = 0.0;
    let mut count = 1.0;
    while nodes < scale::NODES {
        level *= children;
        nodes += level;
        count += 1.0;
    }
    count
}

fn print_relay_tree(report: &Report) {
    let change = report.per_unit(gossip::TARGET_RUMOUR_BYTES) + message_overhead(report);
    let targets = scale::TARGET_CHANGES_PER_DAY / scale::SECONDS_PER_DAY * change;
    let local = targets / scale::DATA_CENTRES;
    let delta = report.largest(rules::DELTA_BYTES) + message_overhead(report);
    let rules = scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY * delta;
    let idle = report.per_unit(peer::IDLE);
    let keep_alives = idle / scale::KEEP_ALIVE_SECONDS;
    let poll = report.median(peer::CALL_BYTES, 64);
    row(
        "CT1",
        "a link: target changes of the fleet",
        targets,
        "B/s",
        "G2 P7",
    );
    row(
        "CT2",
        "a link: target changes of a data centre",
        local,
        "B/s",
        "CT1",
    );
    row("CT3", "a link: pushed rules deltas", rules, "B/s", "R7 P7");
    row(
        "CT4",
        "a link: keep-alives each 10 s, if bytes follow them",
        keep_alives,
        "B/s",
        "P1",
    );
    let relay = |id, name, bytes, from| {
        bounded(
            id,
            name,
            bytes,
            "B/s",
            from,
            scale::SEND_LIMIT_BYTES_PER_SECOND,
        );
    };
    let children = scale::CHILDREN;
    relay(
        "CT5",
        "inner relay whose 20 children poll each second",
        children * poll,
        "P4",
    );
    relay(
        "CT6",
        "inner relay, 20 children, keep-alives each second",
        children * (targets + rules + idle),
        "CT1 CT3 P1",
    );
    let whole = scale::RESTARTS_PER_DAY / scale::SECONDS_PER_DAY / scale::NODES
        * report.largest(rules::WHOLE_BYTES);
    relay(
        "CT7",
        "the downloads of whole rules by 20 children, alone",
        children * whole,
        "CR2",
    );
    let own = leases_bytes(report) + whole;
    let fleet = targets + rules + keep_alives;
    let in_data_centre = local + rules + keep_alives;
    relay(
        "CT8",
        "leaf: CT1, CT3, CT4, leases (CS5), own downloads",
        fleet + own,
        "CS5 CR2",
    );
    relay(
        "CT9",
        "leaf: the same with CT2 for CT1",
        in_data_centre + own,
        "CS5 CR2",
    );
    let child_capacity =
        |link: f64| ((scale::SEND_LIMIT_BYTES_PER_SECOND - own - link) / link).floor();
    row(
        "CT10",
        "children that fit beside CT8",
        child_capacity(fleet),
        "",
        "CT8",
    );
    row(
        "CT11",
        "children that fit beside CT9",
        child_capacity(in_data_centre),
        "",
        "CT9",
    );
    row(
        "CT12",
        "hops to the farthest node with the children of CT11",
        hops(child_capacity(in_data_centre)),
        "",
        "CT11",
    );
}

fn leases_bytes(report: &Report) -> f64 {
    scale::TARGETS * scale::LEASE_HOLDERS / scale::NODES / scale::RENEWAL_SECONDS
        * report.largest(gossip::HTTP_BYTES)
}

fn print_changes(report: &Report) {
    let apply = report.largest(rules::APPLY) / 1e6;
    let edit = report.largest(rules::EDIT) / 1e6;
    let per_second = scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY;
    bounded(
        "CC1",
        "changes on a node, daily mean",
        per_second * apply * 100.0,
        "% of a core",
        "R6",
        scale::CPU_LIMIT_PERCENT,
    );
    row(
        "CC2",
        "changes on a keeper, daily mean",
        per_second * edit * 100.0,
        "% of a core",
        "R5",
    );
    row(
        "CC3",
        "hops from the keepers to the farthest node",
        hops(scale::CHILDREN),
        "",
        "20 children",
    );
    for (id, interval) in [("CC4", 0.5), ("CC5", 1.0), ("CC6", 2.0)] {
        let seconds =
            hops(scale::CHILDREN) * (interval + scale::REGION_LATENCY_SECONDS * 2.0 + apply);
        bounded(
            &format!("{id}a"),
            &format!("time until a change is in force, a delta at most each {interval} s"),
            seconds,
            "s",
            "CC3 R6",
            scale::CHANGE_LIMIT_SECONDS,
        );
        bounded(
            &format!("{id}b"),
            &format!("CPU of a node in a burst, a delta at most each {interval} s"),
            apply / interval * 100.0,
            "% of a core",
            "R6",
            scale::CPU_LIMIT_PERCENT,
        );
    }
    let budget = scale::CHANGE_LIMIT_SECONDS
        - hops(scale::CHILDREN) * (1.0 + scale::REGION_LATENCY_SECONDS * 2.0 + apply);
    row(
        "CC7",
        "edits at once that a keeper applies in the rest of the 10 s, deltas each 1 s",
        budget / edit,
        "edits",
        "R5 CC5a",
    );
    row(
        "CC8",
        "time of a keeper for a burst of 1,000 edits",
        1_000.0 * edit,
        "s",
        "R5",
    );
}

fn print_restarts(report: &Report) {
    let whole = report.largest(rules::WHOLE_BYTES);
    let per_second = scale::RESTARTS_PER_DAY / scale::SECONDS_PER_DAY;
    row(
        "CR1",
        "downloads of whole rules, fleet",
        per_second * whole / 1e6,
        "MB/s",
        "R8",
    );
    row(
        "CR2",
        "the same per node, mean",
        per_second * whole / scale::NODES,
        "B/s",
        "R8",
    );
    row(
        "CR3",
        "a data centre restarts: downloads",
        scale::NODES / scale::DATA_CENTRES * whole / 1e9,
        "GB",
        "R8",
    );
    row(
        "CR4",
        "parse after a download, daily mean per node",
        per_second / scale::NODES * report.largest(rules::PARSE) / 1e4,
        "% of a core",
        "R3",
    );
    let learn = report.largest(gossip::TARGET_LEARN_BYTES);
    row(
        "CR5",
        "a restarted entry learns all targets by comparison",
        learn / 1e6,
        "MB",
        "G10",
    );
    row(
        "CR6",
        "the same per node, mean",
        per_second * learn / scale::NODES,
        "B/s",
        "G10",
    );
}

fn print_entry(report: &Report) {
    let requests = scale::REQUESTS_PER_SECOND / scale::NODES;
    let guard = [
        http::READ_REQUEST,
        http::WRITE_REQUEST,
        http::READ_RESPONSE,
        http::WRITE_RESPONSE,
    ]
    .map(|metric| report.median(metric, 4_096));
    let micros = guard.iter().sum::<f64>()
        + report.largest(rules::LOOKUP)
        + report.largest(account_limits::ADMIT)
        + report.median(choice::CHOOSE, 54);
    row(
        "CE1",
        "requests per entry, mean",
        requests,
        "1/s",
        "design scale",
    );
    row(
        "CE2",
        "guard, lookup, limits and choice per request",
        micros,
        "µs",
        "H1–H4 R4 A2 D1",
    );
    row(
        "CE3",
        "the same per entry",
        percent(requests * micros),
        "% of a core",
        "CE1 CE2",
    );
    let per_target = report.median(choice::MEMORY, 54) / 54.0;
    let parts = [
        ("CM1", "rules", report.largest(rules::MEMORY), "R2"),
        (
            "CM2",
            "second copy while a delta is applied",
            report.largest(rules::PEAK),
            "R11",
        ),
        (
            "CM3",
            "54,000 targets",
            report.largest(gossip::TARGET_MEMORY),
            "G1",
        ),
        (
            "CM4",
            "5,300 entries",
            report.largest(gossip::ENTRY_MEMORY),
            "E1",
        ),
        (
            "CM5",
            "400,000 accounts",
            report.largest(account_limits::MEMORY),
            "A1",
        ),
        (
            "CM6",
            "fleets of 54,000 targets",
            scale::TARGETS * per_target,
            "D3",
        ),
    ];
    for (id, name, bytes, from) in parts {
        row(id, name, bytes / 1e6, "MB", from);
    }
    let total: f64 = parts.iter().map(|(_, _, bytes, _)| bytes).sum();
    bounded(
        "CM7",
        "sum",
        total / 1e6,
        "MB",
        "CM1–CM6",
        scale::MEMORY_LIMIT_MB,
    );
}

fn print_ledger(report: &Report) {
    let heap = report.per_unit(ledger::MEMORY);
    let snapshot = report.per_unit(ledger::SNAPSHOT_BYTES);
    let disk = report.per_unit(store::DISK);
    row(
        "CL1",
        "heap of one key with an answer of 256 B",
        heap,
        "B",
        "L2",
    );
    row("CL2", "one key in a snapshot", snapshot, "B", "L3");
    row(
        "CL3",
        "log on disk per key, two records",
        2.0 * disk,
        "B",
        "S2",
    );
    let per_second = 1e6 / report.largest(ledger::APPLY);
    row(
        "CL4",
        "keys per second that one core applies, at most",
        per_second,
        "1/s",
        "L1",
    );
    let synced = 1_000.0 / report.largest(store::SYNC) * 1_000.0 / 2.0;
    row(
        "CL5",
        "keys per second that the disk syncs, at most",
        synced,
        "1/s",
        "S1",
    );
    let snapshot_ms = report.largest(ledger::SNAPSHOT_TIME) / scale::KEYS_PER_GROUP;
    row(
        "CL6",
        "keys whose snapshot takes the shortest election timeout, CPU alone",
        scale::ELECTION_TIMEOUT_MS / snapshot_ms,
        "keys",
        "L4",
    );
    row(
        "CL7",
        "keys per second of one group, end to end on this machine",
        report.largest(keeper::RATE),
        "1/s",
        "K1",
    );
    println!();
    println!(
        "| keyed share | retention | keys/s | keys held | groups | heap, GB | VMs | with 9 relays within 14 | CPU, cores | snapshot CPU, % | snapshot writes, MB/s |"
    );
    println!("|---:|---:|---:|---:|---:|---:|---:|---|---:|---:|---:|");
    for share in [0.005, 0.02, 0.1] {
        for (name, seconds) in [("24 h", 86_400.0), ("1 h", 3_600.0), ("10 min", 600.0)] {
            print_retention(report, share, name, seconds);
        }
    }
}

/// Prints the ledger projection for one share of keyed requests and one retention; snapshot figures
/// are per replica.
fn print_retention(report: &Report, share: f64, name: &str, seconds: f64) {
    let rate = share * scale::REQUESTS_PER_SECOND;
    let keys = rate * seconds;
    let groups_by_rate = rate / report.largest(keeper::RATE);
    let groups = (keys / scale::KEYS_PER_GROUP).max(groups_by_rate).ceil();
    let heap = keys * report.per_unit(ledger::MEMORY) * scale::REPLICAS / 1e9;
    let snapshots = rate / groups * 2.0 / scale::RECORDS_PER_SNAPSHOT;
    let cores = rate * report.largest(keeper::CPU) / 1e6;
    let vms = (heap / scale::KEEPER_HEAP_GB).ceil().max(scale::REPLICAS);
    let fits = vms + scale::FIRST_RELAYS <= scale::DEDICATED_VMS;
    let verdict = if fits { "yes" } else { "**no**" };
    println!(
        "| {}% | {name} | {} | {} | {} | {} | {vms} | {verdict} | {} | {} | {} |",
        share * 100.0,
        format_figure(rate),
        format_figure(keys),
        groups,
        format_figure(heap),
        format_figure(cores),
        format_figure(snapshots * report.largest(ledger::SNAPSHOT_TIME) / 10.0),
        format_figure(snapshots * report.largest(ledger::SNAPSHOT_BYTES) / 1e6),
    );
}
