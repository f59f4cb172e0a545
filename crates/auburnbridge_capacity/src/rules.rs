//! Measures the rules: parsing, memory, lookup, and changes of one line.

use std::sync::Arc;

use auburnbridge_config::{Change, Delta, Edit, EditId, EditReply, RulesCopy, RulesState};
use auburnbridge_messages::{Reply, Request};
use auburnbridge_rules::{Method, Rules};
use auburnbridge_types::{IdempotencyKey, Revision, Timestamp};

use crate::fixtures::{self, START};
use crate::measure::{Metric, Report, heap_bytes, nanos_once, nanos_per_call};

pub const SIZES: [u32; 3] = [1_000, 10_000, 86_000];
const LINES: &str = "lines";

pub const TEXT: Metric = metric("R1", "rules text", "B");
pub const MEMORY: Metric = metric("R2", "heap of parsed rules, text included", "B");
pub const PARSE: Metric = metric("R3", "parse the whole file", "µs");
pub const LOOKUP: Metric = metric("R4", "look up a route", "µs");
pub const EDIT: Metric = metric("R5", "keeper applies an edit of one line", "µs");
pub const APPLY: Metric = metric("R6", "entry applies a delta of one line", "µs");
pub const DELTA_BYTES: Metric = metric("R7", "reply that carries a delta of one line", "B");
pub const WHOLE_BYTES: Metric = metric("R8", "reply that carries the whole rules", "B");
pub const POLL_BYTES: Metric = metric("R9", "poll and its reply without news", "B");
pub const APPLY_BATCH: Metric = metric("R10", "entry applies a delta of 100 lines", "µs");
pub const PEAK: Metric = metric(
    "R11",
    "further heap while a delta is applied, at its end",
    "B",
);

const BATCH_LINES: u32 = 100;

const fn metric(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: LINES,
        unit,
    }
}

pub fn measure(report: &mut Report) {
    for lines in SIZES {
        measure_size(report, lines);
    }
}

fn measure_size(report: &mut Report, lines: u32) {
    let text = fixtures::rules_text(lines);
    report.record(TEXT, lines, as_f64(text.len()));
    let (rules, bytes) = heap_bytes(|| Rules::parse(&text).expect("the rules are valid"));
    report.record(MEMORY, lines, bytes);
    report.record(PARSE, lines, nanos_per_call(|| Rules::parse(&text)) / 1e3);
    report.record(LOOKUP, lines, lookup_nanos(&rules, lines) / 1e3);
    drop(rules);
    measure_changes(report, lines, text);
}

fn lookup_nanos(rules: &Rules, lines: u32) -> f64 {
    let paths: Vec<String> = (0..1_000)
        .map(|number| fixtures::path(number * 7_919 % lines))
        .collect();
    let mut index = 0;
    nanos_per_call(|| {
        index = (index + 1) % paths.len();
        rules.route(Method::Get, &paths[index]).is_some()
    })
}

fn measure_changes(report: &mut Report, lines: u32, text: String) {
    let mut config = RulesState::default();
    apply(&mut config, 0, Change::ReplaceAll(text));
    let mut copy = RulesCopy::default();
    copy.apply_delta(&config.whole())
        .expect("the rules are valid");
    let whole = Reply::Rules(config.whole())
        .encode()
        .expect("the reply is within the size limit");
    report.record(WHOLE_BYTES, lines, as_f64(whole.len()));

    let ((), edit) = nanos_once(|| {
        for number in 1..=BATCH_LINES {
            apply(&mut config, number, change(number, lines));
        }
    });
    report.record(EDIT, lines, edit / f64::from(BATCH_LINES) / 1e3);

    let batch = config.delta_since(copy.revision());
    let mut batch_copy = copy.clone();
    let (_, batch_nanos) = nanos_once(|| {
        batch_copy
            .apply_delta(&batch)
            .expect("the delta follows the copy's revision")
    });
    report.record(APPLY_BATCH, lines, batch_nanos / 1e3);

    let deltas = single_deltas(&config, lines);
    let one = Reply::Rules(deltas[0].clone())
        .encode()
        .expect("the reply is within the size limit");
    report.record(DELTA_BYTES, lines, as_f64(one.len()));
    let old = Arc::clone(batch_copy.rules());
    let (_, kept) = heap_bytes(|| {
        batch_copy
            .apply_delta(&deltas[0])
            .expect("the delta follows the copy's revision")
    });
    report.record(PEAK, lines, kept);
    drop(old);
    let ((), apply) = nanos_once(|| {
        for delta in &deltas[1..] {
            batch_copy
                .apply_delta(delta)
                .expect("the delta follows the copy's revision");
        }
    });
    report.record(APPLY, lines, apply / as_f64(deltas.len() - 1) / 1e3);
    report.record(POLL_BYTES, lines, poll_bytes(batch_copy.revision()));
}

/// Returns consecutive deltas of one line each, starting at the revision of `config`.
fn single_deltas(config: &RulesState, lines: u32) -> Vec<Delta> {
    let mut config = config.clone();
    (1..=21)
        .map(|number| {
            let have = config.revision();
            apply(
                &mut config,
                BATCH_LINES + number,
                change(BATCH_LINES + number, lines),
            );
            config.delta_since(have)
        })
        .collect()
}

fn change(number: u32, lines: u32) -> Change {
    let line = number * 7_919 % lines;
    let line = if line.is_multiple_of(61) {
        line + 1
    } else {
        line
    };
    Change::SetLine {
        replaces: None,
        text: fixtures::route_line(line, 3_000 + number),
    }
}

fn apply(config: &mut RulesState, number: u32, change: Change) {
    let now = Timestamp(START.0 + u64::from(number));
    let mut random = [3; 10];
    random[..4].copy_from_slice(&number.to_be_bytes());
    let edit = Edit {
        id: EditId::from(IdempotencyKey::from_parts(now, random)),
        author: "Meera, ward office".parse().expect("the name is valid"),
        expected: None,
        change,
    };
    let reply = config.apply(now, edit);
    assert!(
        matches!(reply, EditReply::Accepted { .. }),
        "the edit is valid: {reply:?}"
    );
}

fn poll_bytes(revision: Revision) -> f64 {
    let request = Request::FetchRules {
        have: revision,
        data_centre: "region-1-dc-1".parse().expect("the name is valid"),
    };
    let reply = Reply::Rules(Delta::Current { revision });
    let request = request
        .encode()
        .expect("the request is within the size limit");
    let reply = reply.encode().expect("the reply is within the size limit");
    as_f64(request.len() + reply.len())
}

fn as_f64(count: usize) -> f64 {
    count as f64
}
