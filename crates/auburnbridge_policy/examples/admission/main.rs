//! Compares ways to share slots between entries and to prioritize non-idempotent requests.
//!
//! `cargo run --release -p auburnbridge_policy --example admission`
//!
//! 14 entries send to 25 targets with 3 slots each; service times are log-normal with a median of
//! 30 ms. A target without a free slot sheds at once. The entry then tries up to 3 targets without a
//! queue, or returns the request to the head of its queue. Lookups are the idempotent requests. Time
//! is simulated; the seeds are printed.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "reported values are far below the limits of their types"
)]

mod simulation;

use std::sync::atomic::{AtomicUsize, Ordering};

use auburnbridge_policy::Reservation;
use simulation::{Outcome, Scenario, Sharing, run};

const SEEDS: usize = 30;
/// Number of threads for the runs, since the machine is shared.
const THREADS: usize = 3;
/// Non-idempotent arrivals, as a share of capacity.
const ONCE_LOAD: f64 = 0.1;
/// Lookups under normal load, as a share of capacity.
const NORMAL_LOOKUP_LOAD: f64 = 0.2;
/// Lookups under overload, as a share of capacity.
const OVERLOAD_LOOKUP_LOAD: f64 = 3.0;

fn main() {
    println!(
        "seeds 0 to {}, {ONCE_LOAD} of capacity is non-idempotent",
        SEEDS - 1
    );
    println!("median [min..max] over the seeds; `unserved` in per mille of the class");
    let queue = |reservation| Sharing::Queue(reservation);
    for is_unequal in [false, true] {
        for (label, sharing) in [
            ("two choices", Sharing::TwoChoices),
            ("two choices, shed feedback", Sharing::ShedFeedback),
            ("leased equal shares", Sharing::Leases),
            ("queue, no reservation", queue(Reservation::None)),
            ("queue, fixed 20%", queue(Reservation::Fixed(0.2))),
            ("queue, look-ahead", queue(Reservation::LookAhead)),
        ] {
            for lookup_load in [NORMAL_LOOKUP_LOAD, OVERLOAD_LOOKUP_LOAD] {
                let scenario = Scenario {
                    sharing,
                    is_unequal,
                    once_load: ONCE_LOAD,
                    lookup_load,
                };
                report(label, scenario, &run_seeds(scenario));
            }
        }
    }
}

fn report(label: &str, scenario: Scenario, outcomes: &[Outcome]) {
    let load = if scenario.is_unequal {
        "unequal"
    } else {
        "equal"
    };
    println!(
        "{load:8} {label:27} lookups={:.1} once_p50_ms={:14} once_p99_ms={:16} once_unserved={:14} lookup_p99_ms={:18} lookup_unserved={:14} busy_slots_permille={:14} sheds_per_1000={}",
        scenario.lookup_load,
        spread(outcomes, |o| o.once_p50_ms),
        spread(outcomes, |o| o.once_p99_ms),
        spread(outcomes, |o| o.once_unserved),
        spread(outcomes, |o| o.lookup_p99_ms),
        spread(outcomes, |o| o.lookup_unserved),
        spread(outcomes, |o| o.busy_slots),
        spread(outcomes, |o| o.sheds),
    );
}

/// Median, minimum and maximum of a metric.
fn spread(outcomes: &[Outcome], metric: impl Fn(&Outcome) -> u64) -> String {
    let mut values: Vec<u64> = outcomes.iter().map(metric).collect();
    values.sort_unstable();
    let median = values[values.len() / 2];
    format!("{median} [{}..{}]", values[0], values[values.len() - 1])
}

fn run_seeds(scenario: Scenario) -> Vec<Outcome> {
    let next_seed = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let run_next = || {
            let mut outcomes = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= SEEDS {
                    return outcomes;
                }
                outcomes.push(run(scenario, seed as u64));
            }
        };
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run_next)).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run does not panic"))
            .collect()
    })
}
