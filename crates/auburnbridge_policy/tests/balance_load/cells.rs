//! Large fleets whose gateways form cells.
//!
//! The load: 162 gateways in three data centres with five requests a second each for a service of 201
//! targets of four slots, of which each fails most requests for a third of the time.

use std::collections::HashMap;

use auburnbridge_policy::RequestClass;

use super::simulation::{Outcome, RequestKind, Scenario};
use super::{
    FLOOR_SHARE, LOOKUP, ORDER, floor_windows, lost_share, never, run_scenarios_with, scenario,
};

const SEEDS: [u64; 2] = [1, 2];
/// Longest idle time of a connection that is reused for an order, and for a lookup.
const ONCE_MAX_IDLE_MS: u64 = 200;
const MAX_IDLE_MS: u64 = 4_000;

fn large_fleet() -> Scenario {
    Scenario {
        gateways: 162,
        targets: 201,
        slots: 4,
        data_centres: 3,
        duration_ms: 9_000,
        counted_from_ms: 2_000,
        failure_share: never,
        report_interval_ms: 100,
        local_reports_per_remote: 8,
        kinds: vec![
            RequestKind {
                class: RequestClass::Idempotent,
                priority: 2,
                work_ms: 200,
                objective_ms: 800,
                deadline_ms: 1_200,
                per_second: |_| 321.0,
            },
            RequestKind {
                class: RequestClass::Once,
                priority: 1,
                work_ms: 260,
                objective_ms: 800,
                deadline_ms: 1_500,
                per_second: |_| 539.0,
            },
        ],
        cells: true,
        ..scenario(|_| 0.0, |_| 0.0)
    }
}

fn flapping_targets(target: usize, at_ms: u64) -> f64 {
    let offset = target as u64 * 7_919;
    if (at_ms + offset) % 9_000 < 2_700 {
        0.85
    } else {
        0.0
    }
}

/// Gateways of one data centre get half as much again as the others.
fn one_data_centre_in_demand(gateway: usize) -> f64 {
    if gateway.is_multiple_of(3) { 1.5 } else { 1.0 }
}

fn runs(make: impl Fn() -> Scenario) -> Vec<(Scenario, Outcome)> {
    run_scenarios_with(SEEDS, make)
}

/// While all targets work, no request may be lost because its cell knows only its own load.
#[test]
fn cells_serve_all_requests_of_working_targets() {
    for (_, outcome) in runs(large_fleet) {
        for tally in &outcome.tallies {
            assert_eq!(tally.refused + tally.failed, 0, "{tally:?}");
            assert!(tally.objective_share() > 0.99, "{tally:?}");
        }
    }
}

/// The demand of one data centre at half as much again must be served, by its own targets.
#[test]
fn cells_serve_a_data_centre_in_demand() {
    let make = || Scenario {
        gateway_weight: Some(one_data_centre_in_demand),
        ..large_fleet()
    };
    for (_, outcome) in runs(make) {
        assert!(lost_share([&outcome]) < 0.001);
        let sends = outcome.sends.iter();
        let far = sends
            .filter(|send| send.gateway % 3 != send.target % 3)
            .count();
        assert!(
            far * 50 < outcome.sends.len(),
            "{far} of {}",
            outcome.sends.len()
        );
    }
}

/// All targets of one cell fail. Others of the data centre must take over within two seconds, so that
/// the requests that come later are served.
#[test]
fn other_targets_take_over_for_a_cell_whose_targets_all_fail() {
    let (_, outcome) = &run_scenarios_with([1], large_fleet)[0];
    // The targets that the gateways of one cell used while all worked.
    let cell = outcome.cell_of(0);
    let used: Vec<usize> = (0..201)
        .filter(|target| {
            let sends = outcome.sends.iter().filter(|send| send.target == *target);
            let (own, all) = sends.fold((0, 0), |(own, all), send| {
                (own + usize::from(cell.contains(&send.gateway)), all + 1)
            });
            own * 2 > all
        })
        .collect();
    assert!(used.len() >= 4, "{used:?}");
    FAILING.set(used).unwrap();
    let make = || Scenario {
        failure_share: |target, at_ms| {
            let is_failing = at_ms >= 4_000 && FAILING.get().unwrap().contains(&target);
            f64::from(u8::from(is_failing))
        },
        counted_from_ms: 6_000,
        ..large_fleet()
    };
    for (_, outcome) in runs(make) {
        let lost = outcome.lost_ms.iter().filter(|at| **at >= 6_000).count();
        let arrivals = outcome
            .arrivals_ms
            .iter()
            .filter(|at| **at >= 6_000)
            .count();
        println!("lost {lost} of {arrivals} after two seconds");
        // The cell gets one request in 27.
        assert!(lost * 27 * 10 < arrivals, "{lost} of {arrivals}");
    }
}

static FAILING: std::sync::OnceLock<Vec<usize>> = std::sync::OnceLock::new();

/// Three in ten targets fail three quarters of their requests: the bound of the mesh on at-most-once
/// requests that go to targets known to fail must hold in cells.
#[test]
fn cells_divert_at_most_once_requests_within_a_second() {
    let make = || Scenario {
        failure_share: super::three_in_ten_fail,
        duration_ms: 12_000,
        ..large_fleet()
    };
    for (_, outcome) in runs(make) {
        let mut first_sends: HashMap<usize, u64> = HashMap::new();
        for send in outcome.sends.iter().filter(|send| send.at_ms >= 5_000) {
            first_sends.entry(send.target).or_insert(send.at_ms);
        }
        let once = || {
            let sends = outcome.sends.iter();
            sends.filter(|send| send.class == RequestClass::Once && send.at_ms > 6_000)
        };
        let late = once()
            .filter(|send| send.target % 10 < 3 && send.at_ms > first_sends[&send.target] + 1_000);
        let share = late.count() as f64 / once().count() as f64;
        println!("{share:.4} of the orders went to failing targets");
        assert!(
            share < 0.01,
            "{share:.4} of the orders went to failing targets"
        );
    }
}

/// While each target fails for a third of the time, the floor's share of the working ones must
/// receive requests.
#[test]
fn cells_use_the_floor_while_many_requests_are_lost() {
    let make = || Scenario {
        failure_share: flapping_targets,
        duration_ms: 12_000,
        ..large_fleet()
    };
    for (scenario, outcome) in runs(make) {
        for window in floor_windows(&scenario, &outcome, 0.03, 2_000) {
            assert!(window.used >= FLOOR_SHARE, "{:.2}", window.used);
        }
    }
}

/// Figures of one run about what a gateway knows of the targets that it uses.
struct Figures {
    /// Share of the orders and of the lookups that find a connection to reuse.
    order_reuse: f64,
    lookup_reuse: f64,
    /// Median time since the start of the latest answered request of the gateway, and of its cell, to
    /// the same target.
    own_proof_ms: u64,
    cell_proof_ms: u64,
}

fn figures(outcome: &Outcome) -> Figures {
    let mut sends: Vec<_> = outcome.sends.iter().collect();
    sends.sort_by_key(|send| send.at_ms);
    let mut own: HashMap<(usize, usize), Vec<(u64, u64)>> = HashMap::new();
    let mut reused = [0, 0];
    let mut counts = [0, 0];
    let (mut own_ages, mut cell_ages) = (Vec::new(), Vec::new());
    for send in sends {
        let known = |gateway: usize| -> Option<(u64, u64)> {
            let answers = own.get(&(gateway, send.target))?;
            let earlier = answers.iter().rev();
            earlier
                .copied()
                .find(|(_, answered)| *answered <= send.at_ms)
        };
        let class = usize::from(send.class == RequestClass::Once);
        let max_idle = [MAX_IDLE_MS, ONCE_MAX_IDLE_MS][class];
        let previous = known(send.gateway);
        if send.at_ms >= 4_000 {
            let is_reuse = previous.is_some_and(|(_, at)| send.at_ms - at < max_idle);
            reused[class] += u32::from(is_reuse);
            counts[class] += 1;
            let age = |proof: Option<(u64, u64)>| proof.map_or(u64::MAX, |(at, _)| send.at_ms - at);
            let cell = outcome
                .cell_of(send.gateway)
                .into_iter()
                .map(|mate| age(known(mate)));
            own_ages.push(age(previous));
            cell_ages.push(cell.min().unwrap().min(age(previous)));
        }
        if let Some(answered) = send.answered_at_ms {
            let answers = own.entry((send.gateway, send.target)).or_default();
            answers.push((send.at_ms, answered));
        }
    }
    own_ages.sort_unstable();
    cell_ages.sort_unstable();
    let share = |class: usize| f64::from(reused[class]) / f64::from(counts[class]);
    Figures {
        order_reuse: share(ORDER),
        lookup_reuse: share(LOOKUP),
        own_proof_ms: own_ages[own_ages.len() / 2],
        cell_proof_ms: cell_ages[cell_ages.len() / 2],
    }
}

/// Prints connection reuse, the age of proofs and losses, with a mesh and with cells.
#[test]
#[ignore = "prints figures; run it by hand with --nocapture"]
fn print_results_of_cells() {
    let patterns = [
        ("working", never as fn(usize, u64) -> f64),
        ("flapping", flapping_targets),
    ];
    for (name, failure_share) in patterns {
        for cells in [false, true] {
            let make = || Scenario {
                failure_share,
                cells,
                duration_ms: 12_000,
                ..large_fleet()
            };
            for (_, outcome) in runs(make) {
                let figures = figures(&outcome);
                println!(
                    "{name} cells={cells} lost={:.2}% lookups={:.4} orders={:.4} order_ms={:.0} \
                     reuse: orders {:.3} lookups {:.3} proof: own {} ms cell {} ms",
                    100.0 * lost_share([&outcome]),
                    outcome.tallies[LOOKUP].objective_share(),
                    outcome.tallies[ORDER].objective_share(),
                    outcome.tallies[ORDER].mean_answer_ms(),
                    figures.order_reuse,
                    figures.lookup_reuse,
                    figures.own_proof_ms,
                    figures.cell_proof_ms,
                );
            }
        }
    }
}
