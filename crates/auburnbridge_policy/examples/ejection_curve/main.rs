//! Measures ejection under injected faults: detection time, false ejections and slots in use.
//!
//! `cargo run --release -p auburnbridge_policy --example ejection_curve -- MODE [LOAD] [INTERVAL_MS]`
//!
//! The mode `faults` runs each fault for 30 s, with the sensitivity of each service and with the
//! baselines. `noise` runs 24 simulated hours of random failures at the setting `careful`. `curve` sweeps
//! the sensitivity. `LOAD` is the share of capacity in `faults` (default 0.4), `INTERVAL_MS` the interval
//! at which entries exchange evidence (default 250). The seeds are printed. Time is simulated and there
//! is no network.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "reported values are far below the limits of their types"
)]

mod fault;
mod selector;
mod simulation;

use std::sync::atomic::{AtomicUsize, Ordering};

use auburnbridge_policy::Sensitivity;
use fault::Fault;
use selector::Algorithm;
use simulation::{Outcome, Scenario, Service, run};

const SEEDS: usize = 30;
/// Number of seeds for the runs of 24 simulated hours, which take minutes each.
const DAY_SEEDS: usize = 8;
/// Number of threads for the runs, since the machine is shared.
const THREADS: usize = 3;
/// Arrivals in the daytime, as a share of capacity.
const DAY_LOAD: f64 = 0.4;
/// Mean arrivals over 24 hours, as a share of capacity.
const MEAN_LOAD: f64 = 0.1;
/// Interval at which entries exchange evidence.
const SHARE_INTERVAL_US: u64 = 250_000;
const FAULT_WINDOW_US: u64 = 30_000_000;
const HOUR_US: u64 = 3_600_000_000;
/// Simulated time of random failures per seed in the sweep of the sensitivity.
const CURVE_WINDOW_US: u64 = HOUR_US / 6;

/// Services of both users. The floors are about 70% of the slots.
const SERVICES: [Service; 4] = [
    Service {
        name: "ponnani-25",
        targets: 25,
        slots: 3,
        floor: 54,
        data_centres: 4,
        delay_us: 1_500,
    },
    Service {
        name: "ponnani-8",
        targets: 8,
        slots: 3,
        floor: 15,
        data_centres: 4,
        delay_us: 1_500,
    },
    Service {
        name: "glenfarrow-20",
        targets: 20,
        slots: 4,
        floor: 56,
        data_centres: 3,
        delay_us: 500,
    },
    Service {
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

/// Sensitivity that the service's user has configured: `careful` at Ponnani, `fast` at Glenfarrow.
fn sensitivity_of(service: Service) -> Sensitivity {
    if service.name.starts_with("ponnani") {
        Sensitivity::CAREFUL
    } else {
        Sensitivity::FAST
    }
}

fn measure_faults(load: f64, share_interval_us: u64) {
    println!("load {load} of capacity, {FAULT_WINDOW_US} us after the fault");
    println!("detection: ms until the last affected non-idempotent dispatch, median [min..max]");
    for service in SERVICES {
        for fault in Fault::ALL {
            for (label, algorithm, shares_evidence) in [
                ("fleet", Algorithm::Fleet, false),
                ("fleet+evidence", Algorithm::Fleet, true),
                ("round-robin", Algorithm::RoundRobin, false),
                ("5-in-a-row", Algorithm::ConsecutiveFailures, false),
            ] {
                let scenario = Scenario {
                    service,
                    fault,
                    algorithm,
                    sensitivity: sensitivity_of(service),
                    load,
                    window_us: FAULT_WINDOW_US,
                    share_interval_us: shares_evidence.then_some(share_interval_us),
                };
                report(
                    &format!("{} {fault:?} {label}", service.name),
                    scenario,
                    SEEDS,
                );
            }
        }
    }
}

fn measure_noise() {
    println!("load {MEAN_LOAD} of capacity, 24 simulated hours, {DAY_SEEDS} seeds, careful");
    for service in SERVICES {
        let scenario = noise_scenario(service, Sensitivity::CAREFUL, true, 24 * HOUR_US);
        report(
            &format!("{} Noise fleet+evidence", service.name),
            scenario,
            DAY_SEEDS,
        );
    }
}

fn measure_curve() {
    println!("detection of HalfAnswers at load {DAY_LOAD}; false ejections of all entries in");
    println!("24 simulated hours of noise at load {MEAN_LOAD}, mean of 30 seeds of 10 minutes");
    for service in SERVICES {
        for step in (0..=100).step_by(50) {
            let sensitivity: Sensitivity = step
                .to_string()
                .parse()
                .expect("the sensitivity is within 0 to 100");
            for shares_evidence in [false, true] {
                let noise = noise_scenario(service, sensitivity, shares_evidence, CURVE_WINDOW_US);
                let outcomes = run_seeds(noise, SEEDS);
                let false_ejections: u32 = outcomes.iter().map(|o| o.false_ejections).sum();
                let per_day = f64::from(false_ejections) * 144.0 / SEEDS as f64;
                let faulty = Scenario {
                    fault: Fault::HalfAnswers,
                    load: DAY_LOAD,
                    window_us: FAULT_WINDOW_US,
                    ..noise
                };
                let outcomes = run_seeds(faulty, SEEDS);
                let detection = spread(&outcomes, |o| o.detection_us / 1_000);
                let ejection = spread(&outcomes, |o| o.ejection_us / 1_000);
                let marker = if sensitivity == sensitivity_of(service) {
                    " <- user"
                } else {
                    ""
                };
                println!(
                    "{:14} sensitivity={step:3} evidence={shares_evidence:5} detection_ms={detection:22} ejection_ms={ejection:22} false_per_24h={per_day:.1}{marker}",
                    service.name
                );
            }
        }
    }
}

fn noise_scenario(
    service: Service,
    sensitivity: Sensitivity,
    shares_evidence: bool,
    window_us: u64,
) -> Scenario {
    Scenario {
        service,
        fault: Fault::Noise,
        algorithm: Algorithm::Fleet,
        sensitivity,
        load: MEAN_LOAD,
        window_us,
        share_interval_us: shares_evidence.then_some(SHARE_INTERVAL_US),
    }
}

fn report(label: &str, scenario: Scenario, seeds: usize) {
    let outcomes = run_seeds(scenario, seeds);
    let requests: u64 = outcomes.iter().map(|o| o.requests).sum();
    println!(
        "{label:44} detection_ms={:22} once_affected={:16} false={:14} true={:14} least_in_use={} floor={} reports={} requests={requests}",
        spread(&outcomes, |o| o.detection_us / 1_000),
        spread(&outcomes, |o| u64::from(o.once_affected)),
        spread(&outcomes, |o| u64::from(o.false_ejections)),
        spread(&outcomes, |o| u64::from(o.true_ejections)),
        outcomes.iter().map(|o| o.least_in_use).min().unwrap_or(0),
        scenario.service.floor,
        spread(&outcomes, |o| o.reports),
    );
}

/// Median, minimum and maximum of a metric.
fn spread(outcomes: &[Outcome], metric: impl Fn(&Outcome) -> u64) -> String {
    let mut values: Vec<u64> = outcomes.iter().map(metric).collect();
    values.sort_unstable();
    let median = values[values.len() / 2];
    format!("{median} [{}..{}]", values[0], values[values.len() - 1])
}

fn run_seeds(scenario: Scenario, seeds: usize) -> Vec<Outcome> {
    let next_seed = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let run_next = || {
            let mut outcomes = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
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
