//! Measures what a gateway or an entry keeps about requests that crash targets.

use auburnbridge_policy::poison::{CrashReport, PoisonTable, RunHistory, SuspectReport};
use auburnbridge_types::{Incarnation, Millis, RequestDigest, RunId};

use crate::fixtures::START;
use crate::measure::{Metric, Report, heap_bytes, nanos_per_call};

/// Crashes, up to the number of requests and targets that the table keeps.
const SIZES: [u32; 3] = [64, 4_096, 4_096 * 32];
/// Number of requests that the table keeps.
const MAX_REQUESTS: u32 = 4_096;

pub const MEMORY: Metric = metric("X1", "heap of the table, ids of 12 characters", "B");
pub const VERDICT: Metric = metric("X2", "verdict on a request that crashed targets", "µs");

const fn metric(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "crashes",
        unit,
    }
}

pub fn measure(report: &mut Report) {
    for crashes in SIZES {
        let (table, bytes) = heap_bytes(|| fill(crashes));
        report.record(MEMORY, crashes, bytes);
        let request = digest(0);
        let verdict = nanos_per_call(|| table.verdict(START, &request));
        report.record(VERDICT, crashes, verdict / 1e3);
    }
}

fn fill(crashes: u32) -> PoisonTable {
    let mut table = PoisonTable::default();
    for crash in 0..crashes {
        let report = SuspectReport::Crashed(CrashReport {
            request: digest(crash % MAX_REQUESTS),
            target: format!("i-{crash:010}")
                .parse()
                .expect("the target id is valid"),
            incarnation: Incarnation(1),
            run: RunId(u64::from(crash)),
            history: RunHistory::default(),
            run_time: Millis(0),
        });
        table.record(START, &report);
    }
    table
}

fn digest(request: u32) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&request.to_be_bytes());
    RequestDigest(bytes)
}
