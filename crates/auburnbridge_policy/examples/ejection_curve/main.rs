//! Measures ejection under scripted faults: detection time, false ejections and slots in use.
//!
//! `cargo run --release -p auburnbridge_policy --example ejection_curve -- MODE [LOAD] [INTERVAL_MS]`
//!
//! The mode `faults` runs each fault at each setup's sensitivity and the baselines, 30 s after the fault;
//! `noise` runs 24 simulated hours of ordinary noise at the careful setting; `curve` sweeps the sensitivity.
//! `LOAD` is the share of capacity in `faults` (0.4), `INTERVAL_MS` the interval at which entries
//! exchange evidence (250). The seeds are printed. Pure decisions are driven under simulated time: nothing here is a network.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures of a report are far below the limits of their types"
)]

mod fault;
mod selector;
mod simulation;

use std::sync::atomic::{AtomicUsize, Ordering};

use auburnbridge_policy::Sensitivity;
use fault::Fault;
use selector::Kind;
use simulation::{Outcome, Plan, Setup, run};

const SEEDS: usize = 30;
/// Seeds of the runs of 24 simulated hours, which take minutes each.
const DAY_SEEDS: usize = 8;
/// Threads of the runs; the machine is shared.
const THREADS: usize = 3;
/// Arrivals as a share of capacity by day.
const DAY_LOAD: f64 = 0.4;
/// Mean of arrivals as a share of capacity over 24 hours.
const MEAN_LOAD: f64 = 0.1;
/// Interval at which entries exchange evidence.
const SHARE_INTERVAL_US: u64 = 250_000;
const FAULT_WINDOW_US: u64 = 30_000_000;
const HOUR_US: u64 = 3_600_000_000;
/// Noise of each seed in the sweep of the sensitivity.
const CURVE_WINDOW_US: u64 = HOUR_US / 6;

/// The services of both users. Floors are about 70% of the slots.
const SETUPS: [Setup; 4] = [
    Setup {
        name: "ponnani-25",
        targets: 25,
        slots: 3,
        floor: 54,
        data_centres: 4,
        delay_us: 1_500,
    },
    Setup {
        name: "ponnani-8",
        targets: 8,
        slots: 3,
        floor: 15,
        data_centres: 4,
        delay_us: 1_500,
    },
    Setup {
        name: "glenfarrow-20",
        targets: 20,
        slots: 4,
        floor: 56,
        data_centres: 3,
        delay_us: 500,
    },
    Setup {
        name: "glenfarrow-6",
        targets: 6,
        slots: 4,
        floor: 16,
        data_centres: 3,
        delay_us: 500,
    },
];

fn main() {
    let mode = std::env::args().nth(1).unwrap_or_default();
    println!("seeds 0 to {}, {} entries", SEEDS - 1, simulation::ENTRIES);
    let load = argument(2).unwrap_or(DAY_LOAD);
    let share_interval_us = argument(3).map_or(SHARE_INTERVAL_US, |ms| (ms * 1_000.0) as u64);
    println!("evidence is shared every {share_interval_us} us");
    match mode.as_str() {
        "faults" => measure_faults(load, share_interval_us),
        "noise" => measure_noise(),
        "curve" => measure_curve(),
        _ => println!("usage: ejection_curve faults|noise|curve [LOAD] [INTERVAL_MS]"),
    }
}

fn argument(at: usize) -> Option<f64> {
    let text = std::env::args().nth(at)?;
    Some(text.parse().expect("the argument is a number"))
}

/// The users' points on the curve: Ponnani is careful, Glenfarrow is fast.
fn sensitivity_of(setup: Setup) -> Sensitivity {
    if setup.name.starts_with("ponnani") {
        Sensitivity::CAREFUL
    } else {
        Sensitivity::FAST
    }
}

fn measure_faults(load: f64, share_interval_us: u64) {
    println!("load {load} of capacity, {FAULT_WINDOW_US} us after the fault");
    println!("detection: ms until the last affected non-idempotent dispatch, median [min..max]");
    for setup in SETUPS {
        for fault in Fault::ALL {
            for (label, kind, shares_evidence) in [
                ("fleet", Kind::Fleet, false),
                ("fleet+evidence", Kind::Fleet, true),
                ("round-robin", Kind::RoundRobin, false),
                ("5-in-a-row", Kind::FailuresInARow, false),
            ] {
                let plan = Plan {
                    setup,
                    fault,
                    kind,
                    sensitivity: sensitivity_of(setup),
                    load,
                    window_us: FAULT_WINDOW_US,
                    share_interval_us: shares_evidence.then_some(share_interval_us),
                };
                report(&format!("{} {fault:?} {label}", setup.name), plan, SEEDS);
            }
        }
    }
}

fn measure_noise() {
    println!("load {MEAN_LOAD} of capacity, 24 simulated hours, {DAY_SEEDS} seeds, careful");
    for setup in SETUPS {
        let plan = noise_plan(setup, Sensitivity::CAREFUL, true, 24 * HOUR_US);
        report(
            &format!("{} Noise fleet+evidence", setup.name),
            plan,
            DAY_SEEDS,
        );
    }
}

fn measure_curve() {
    println!("detection of HalfAnswers at load {DAY_LOAD}; false ejections of all entries in");
    println!("24 simulated hours of noise at load {MEAN_LOAD}, mean of 30 seeds of 10 minutes");
    for setup in SETUPS {
        for step in (0..=100).step_by(50) {
            let sensitivity: Sensitivity = step
                .to_string()
                .parse()
                .expect("the sensitivity has 0 to 100");
            for shares_evidence in [false, true] {
                let noise = noise_plan(setup, sensitivity, shares_evidence, CURVE_WINDOW_US);
                let outcomes = run_seeds(noise, SEEDS);
                let false_ejections: u32 = outcomes.iter().map(|o| o.false_ejections).sum();
                let per_day = f64::from(false_ejections) * 144.0 / SEEDS as f64;
                let sick = Plan {
                    fault: Fault::HalfAnswers,
                    load: DAY_LOAD,
                    window_us: FAULT_WINDOW_US,
                    ..noise
                };
                let outcomes = run_seeds(sick, SEEDS);
                let detection = spread(&outcomes, |o| o.detection_us / 1_000);
                let ejection = spread(&outcomes, |o| o.ejection_us / 1_000);
                let mark = if sensitivity == sensitivity_of(setup) {
                    " <- user"
                } else {
                    ""
                };
                println!(
                    "{:14} sensitivity={step:3} evidence={shares_evidence:5} detection_ms={detection:22} ejection_ms={ejection:22} false_per_24h={per_day:.1}{mark}",
                    setup.name
                );
            }
        }
    }
}

fn noise_plan(
    setup: Setup,
    sensitivity: Sensitivity,
    shares_evidence: bool,
    window_us: u64,
) -> Plan {
    Plan {
        setup,
        fault: Fault::Noise,
        kind: Kind::Fleet,
        sensitivity,
        load: MEAN_LOAD,
        window_us,
        share_interval_us: shares_evidence.then_some(SHARE_INTERVAL_US),
    }
}

fn report(label: &str, plan: Plan, seeds: usize) {
    let outcomes = run_seeds(plan, seeds);
    let requests: u64 = outcomes.iter().map(|o| o.requests).sum();
    println!(
        "{label:44} detection_ms={:22} once_affected={:16} false={:14} true={:14} least_in_use={} floor={} reports={} requests={requests}",
        spread(&outcomes, |o| o.detection_us / 1_000),
        spread(&outcomes, |o| u64::from(o.once_affected)),
        spread(&outcomes, |o| u64::from(o.false_ejections)),
        spread(&outcomes, |o| u64::from(o.true_ejections)),
        outcomes.iter().map(|o| o.least_in_use).min().unwrap_or(0),
        plan.setup.floor,
        spread(&outcomes, |o| o.reports),
    );
}

/// Median, least and greatest of a figure.
fn spread(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> u64) -> String {
    let mut values: Vec<u64> = outcomes.iter().map(figure).collect();
    values.sort_unstable();
    let median = values[values.len() / 2];
    format!("{median} [{}..{}]", values[0], values[values.len() - 1])
}

fn run_seeds(plan: Plan, seeds: usize) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let work = || {
            let mut outcomes = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return outcomes;
                }
                outcomes.push(run(plan, seed as u64));
            }
        };
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run does not panic"))
            .collect()
    })
}
