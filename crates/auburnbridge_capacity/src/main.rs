//! Measures the resource costs of the auburnbridge crates and projects them to the design scale.
//!
//! The program prints two Markdown tables: the measurements, each with its median and spread over
//! several runs, and the projections to the design scale. `docs/CAPACITY.md` explains both. The
//! program is not shipped; `scripts/capacity` builds and runs it.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts are printed with three significant digits"
)]

mod account_limits;
mod choice;
mod design_scale;
mod fixtures;
mod gossip;
mod http;
mod keeper;
mod ledger;
mod measure;
mod peer;
mod poison;
mod projection;
mod rules;
mod store;

use std::alloc::System;

use argh::FromArgs;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use crate::measure::Report;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measure what the crates cost and work out the design scale.
#[derive(FromArgs)]
struct Arguments {
    /// number of runs of each measurement (default 5)
    #[argh(option, default = "5")]
    runs: usize,
    /// measure only the groups whose name contains this, and leave out the design scale
    #[argh(option)]
    only: Option<String>,
}

/// Takes one sample of each measurement in a group.
type Measure = fn(&mut Report);

const GROUPS: [(&str, Measure); 10] = [
    ("rules", rules::measure),
    ("gossip", gossip::measure),
    ("account-limits", account_limits::measure),
    ("choice", choice::measure),
    ("poison", poison::measure),
    ("http", http::measure),
    ("store", store::measure),
    ("ledger", ledger::measure),
    // Runs after the heap measurements, because its tasks continue to free memory for a while after
    // it ends, which the heap counter would include.
    ("peer", peer::measure),
    ("keeper", keeper::measure),
];

fn main() {
    let arguments: Arguments = argh::from_env();
    let mut report = Report::default();
    for run in 1..=arguments.runs {
        for (name, measure) in GROUPS {
            let filter = arguments.only.as_deref();
            if filter.is_none_or(|part| name.contains(part)) {
                eprintln!("run {run} of {}: {name}", arguments.runs);
                measure(&mut report);
            }
        }
    }
    report.print();
    if arguments.only.is_none() {
        projection::print(&report);
    }
}
