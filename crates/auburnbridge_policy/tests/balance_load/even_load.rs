//! Even load from old reports: many gateways choose at the same moment, by reports that are up to 100 ms
//! old within their data centre and 800 ms from others.
//!
//! In the patterns that state no other load, requests take four tenths of the slots. A request may meet
//! a full target while another one of its data centre has a free slot in one of a hundred cases; callers
//! may not wait longer for the start of work than without even load, and targets that fail are left
//! as soon.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use strum::IntoEnumIterator;

use crate::rules::Rule;
use crate::simulation::{Outcome, RequestKind, Scenario, run};
use crate::{
    FLOOR_SHARE, SEEDS, assert_orders_leave_failing_targets, floor_windows, lost_share, run_seeds,
};
use auburnbridge_policy::RequestClass;

/// A fleet whose zones each have a share of the gateways and targets; the requests take four tenths of
/// the slots.
fn fleet(gateways: usize, targets: usize, slots: u32, data_centres: usize) -> Scenario {
    Scenario {
        gateways,
        targets,
        slots,
        data_centres,
        duration_ms: 5_000,
        counted_from_ms: 1_000,
        finds_silence: true,
        report_interval_ms: 100,
        local_reports_per_remote: 8,
        report_delay_ms: 1,
        ..crate::scenario(|_| 0.0, |_| 0.0)
    }
}

fn with_load(mut scenario: Scenario, lookups: fn(u64) -> f64, orders: fn(u64) -> f64) -> Scenario {
    scenario.kinds = vec![
        RequestKind {
            class: RequestClass::Idempotent,
            priority: 2,
            work_ms: 200,
            objective_ms: 800,
            deadline_ms: 2_500,
            per_second: lookups,
        },
        RequestKind {
            class: RequestClass::Once,
            priority: 1,
            work_ms: 200,
            objective_ms: 800,
            deadline_ms: 3_000,
            per_second: orders,
        },
    ];
    scenario
}

/// The rate at which gaps cut to whole milliseconds give `per_second` arrivals.
fn rate(per_second: f64) -> f64 {
    1_000.0 * (per_second / 1_000.0).ln_1p()
}

/// 33 gateways before 77 targets with two slots: 40% of the slots are in use.
fn small_targets() -> Scenario {
    with_load(fleet(33, 77, 2, 4), |_| rate(100.0), |_| rate(210.0))
}

/// 33 gateways before 151 targets with two slots.
fn orders_alone() -> Scenario {
    with_load(fleet(33, 151, 2, 4), |_| 0.01, |_| rate(600.0))
}

/// 33 gateways before 34 targets with two slots.
fn few_targets() -> Scenario {
    with_load(fleet(33, 34, 2, 4), |_| rate(68.0), |_| rate(68.0))
}

/// 162 gateways before 201 targets with four slots.
fn many_gateways() -> Scenario {
    with_load(fleet(162, 201, 4, 3), |_| rate(600.0), |_| rate(1_000.0))
}

/// As [`many_gateways`], with zones whose demand swings by half against each other.
fn swinging_zones() -> Scenario {
    fn arrival_share(gateway: usize, at_ms: u64) -> f64 {
        let phase = (gateway % 3) as f64 / 3.0 + at_ms as f64 / 4_000.0;
        (1.0 + 0.5 * (phase * std::f64::consts::TAU).sin()) / 1.5
    }
    Scenario {
        arrival_share,
        ..many_gateways()
    }
}

/// As [`small_targets`], with a fifth of the targets at half the speed.
fn unequal_targets() -> Scenario {
    Scenario {
        work_time_factor: |target, _| if target % 5 == 0 { 2.0 } else { 1.0 },
        ..small_targets()
    }
}

/// As [`small_targets`], with a third of the gateways that get a quarter as many requests.
fn unequal_gateways() -> Scenario {
    Scenario {
        arrival_share: |gateway, _| if gateway % 3 == 0 { 0.25 } else { 1.0 },
        ..small_targets()
    }
}

/// As [`many_gateways`], calm for four seconds and then a burst.
fn burst_after_calm() -> Scenario {
    fn orders(at_ms: u64) -> f64 {
        if at_ms < 2_000 { 100.0 } else { rate(1_550.0) }
    }
    with_load(fleet(162, 201, 4, 3), |_| 50.0, orders)
}

type MakeScenario = fn() -> Scenario;

const PATTERNS: [(&str, MakeScenario); 8] = [
    ("small targets", small_targets),
    ("orders alone", orders_alone),
    ("few targets", few_targets),
    ("many gateways", many_gateways),
    ("swinging zones", swinging_zones),
    ("unequal targets", unequal_targets),
    ("unequal gateways", unequal_gateways),
    ("burst after calm", burst_after_calm),
];

fn percentile(values: &[u64], percent: usize) -> f64 {
    let mut values = values.to_vec();
    values.sort_unstable();
    values[(values.len() - 1) * percent / 100] as f64
}

/// Share of the requests that met a full target while another one of the data centre had a free slot, in
/// each run.
fn assert_few_meet_a_full_target(name: &str, make: fn() -> Scenario) {
    for outcome in run_seeds(|| even(make)) {
        let share = f64::from(outcome.met_full_needlessly) / outcome.start_ms.len() as f64;
        assert!(
            share < 0.01,
            "{name}: {:.2}% of the requests met a full target",
            100.0 * share
        );
    }
}

fn even(make: impl Fn() -> Scenario) -> Scenario {
    Scenario {
        even_load: true,
        ..make()
    }
}

/// Many gateways choose at the same moment on old reports.
#[test]
fn requests_of_many_gateways_seldom_meet_a_full_target() {
    assert_few_meet_a_full_target("many gateways", many_gateways);
    assert_few_meet_a_full_target("orders alone", orders_alone);
}

/// Zones whose demand swings against each other, with four tenths of the slots in use in the zone that has
/// the most requests.
#[test]
fn requests_seldom_meet_a_full_target_where_zones_swing() {
    let swinging = || Scenario {
        kinds: with_load(many_gateways(), |_| rate(400.0), |_| rate(670.0)).kinds,
        ..swinging_zones()
    };
    assert_few_meet_a_full_target("swinging zones", swinging);
}

/// A burst after a calm, in which no gateway knows much of any target.
#[test]
fn requests_of_a_burst_seldom_meet_a_full_target() {
    assert_few_meet_a_full_target("burst after calm", burst_after_calm);
}

/// Targets of two slots, some of them slow, and gateways that get unequal shares of the requests.
#[test]
fn requests_seldom_meet_a_full_target_of_two_slots() {
    assert_few_meet_a_full_target("small targets", small_targets);
    assert_few_meet_a_full_target("unequal targets", unequal_targets);
    assert_few_meet_a_full_target("unequal gateways", unequal_gateways);
}

/// A service whose targets have two slots for each gateway, so that many requests need one of another.
#[test]
fn requests_of_a_small_service_seldom_meet_a_full_target() {
    assert_few_meet_a_full_target("few targets", few_targets);
}

/// Waits of all seeds together for the start of work, with and without even load.
fn p99_waits(seeds: RangeInclusive<u64>, make: impl Fn() -> Scenario) -> (f64, f64) {
    let wait = |even_load| {
        let waits: Vec<u64> = seeds
            .clone()
            .flat_map(|seed| {
                let scenario = Scenario {
                    seed,
                    even_load,
                    ..make()
                };
                run(&scenario).start_ms
            })
            .collect();
        percentile(&waits, 99)
    };
    (wait(true), wait(false))
}

/// No load may make callers wait longer than without even load: those of this module, failing targets,
/// a burst to twice the capacity and nine tenths of the slots in use.
#[test]
fn no_load_waits_longer_than_without_even_load() {
    let nearly_full = || Scenario {
        targets: 11,
        slots: 4,
        ..crate::scenario(|_| 20.0, |_| 160.0)
    };
    let others: [(&str, MakeScenario); 7] = [
        ("light load", crate::light_load),
        ("burst", crate::burst),
        ("nearly full", nearly_full),
        ("partial failure", crate::partial_failure),
        ("staggered failures", crate::staggered_failures),
        ("small flapping fleet", crate::small_flapping_fleet),
        ("flapping orders", crate::flapping_orders),
    ];
    for (name, make) in PATTERNS.into_iter().chain(others) {
        // The waits of 13 gateways differ by a third from seed to seed in a burst.
        let last_seed = if make().gateways <= 13 { 20 } else { 5 };
        let (after, before) = p99_waits(1..=last_seed, make);
        assert!(after <= before, "{name}: {after} ms instead of {before} ms");
    }
}

/// Load reports that are lost, for a second or in one direction, must not cause longer waits than without
/// even load, nor refusals.
#[test]
fn lost_reports_delay_no_request() {
    let lost_for_a_second = || Scenario {
        loses_report: |_, _, at_ms| (2_000..3_000).contains(&at_ms),
        ..many_gateways()
    };
    let lost_one_way = || Scenario {
        loses_report: |from, to, _| from < 81 && to >= 81,
        ..many_gateways()
    };
    let losses: [(&str, MakeScenario); 2] = [
        ("for a second", lost_for_a_second),
        ("one way", lost_one_way),
    ];
    for (name, make) in losses {
        let (after, before) = p99_waits(1..=5, make);
        assert!(after <= before, "{name}: {after} ms instead of {before} ms");
        for outcome in run_seeds(|| even(make)) {
            assert!(lost_share([&outcome]) == 0.0, "{name}");
        }
    }
}

/// Targets that begin to fail must lose at-most-once requests within a second, and fleets whose targets
/// fail in turn must lose as few requests, as the other tests state it without even load.
#[test]
fn failing_targets_are_left_with_even_load() {
    for outcome in run_seeds(|| even(crate::partial_failure)) {
        assert_orders_leave_failing_targets(&outcome);
    }
    for outcome in run_seeds(|| even(crate::flapping_fleet)) {
        assert!(lost_share([&outcome]) <= 0.018);
    }
    let small_fleet = run_seeds(|| even(crate::small_flapping_fleet));
    assert!(lost_share(&small_fleet) <= 0.018);
    let orders = run_seeds(|| even(crate::flapping_orders));
    assert!(crate::order_credit(&orders) >= 0.93 / 0.988);
    let lost_answers = run_seeds(|| even(crate::lost_answers));
    assert!(crate::order_credit(&lost_answers) >= 0.93 / 0.988 - 0.03);
}

/// Working targets must receive requests while others lose many. Seeds that lose few have no window in
/// which the floor must hold.
#[test]
fn floor_is_used_with_even_load() {
    let patterns: [(MakeScenario, f64, u64); 3] = [
        (crate::flapping_start, 0.05, 0),
        (crate::small_service_with_lost_answers, 0.1, 2_000),
        (crate::small_service_with_a_short_timeout, 0.1, 2_000),
    ];
    for (make, lost, settle_ms) in patterns {
        let windows: Vec<_> = crate::run_scenarios(|| even(make))
            .iter()
            .flat_map(|(scenario, outcome)| floor_windows(scenario, outcome, lost, settle_ms))
            .collect();
        assert!(!windows.is_empty(), "no window lost enough requests");
        let least = windows.iter().map(|window| window.used).fold(1.0, f64::min);
        assert!(
            least >= FLOOR_SHARE,
            "{least:.2} of the working targets used"
        );
    }
}

/// Without even load the sends of a seed must stay those of the commit before it was added.
#[test]
fn sends_without_even_load_are_unchanged() {
    let digest = |make: fn() -> Scenario| {
        let outcome = run(&Scenario { seed: 1, ..make() });
        outcome
            .sends
            .iter()
            .fold(0xcbf2_9ce4_8422_2325, |hash, send| {
                let value = send.at_ms << 20 ^ (send.gateway as u64) << 10 ^ send.target as u64;
                (hash ^ value).wrapping_mul(0x0100_0000_01b3_u64)
            })
    };
    assert_eq!(digest(crate::light_load), 0xf01d_31e8_9ce4_84f4);
    assert_eq!(digest(crate::partial_failure), 0x51a1_fb72_960d_1bc3);
    assert_eq!(digest(crate::small_flapping_fleet), 0xb015_87bc_d679_32b0);
}

/// Figures of one run, in the order in which they are printed.
fn figures(scenario: &Scenario, outcome: &Outcome) -> Vec<(&'static str, f64)> {
    let started = outcome.start_ms.len() as f64;
    let far = outcome
        .sends
        .iter()
        .filter(|send| send.gateway % scenario.data_centres != send.target % scenario.data_centres);
    let windows = outcome.busiest_over_mean.len() as f64;
    vec![
        (
            "full%",
            100.0 * f64::from(outcome.met_full_needlessly) / started,
        ),
        ("anyfull%", 100.0 * f64::from(outcome.met_full) / started),
        (
            "own%",
            100.0 * f64::from(outcome.own_slots) / outcome.sends.len() as f64,
        ),
        (
            "busiest",
            outcome.busiest_over_mean.iter().sum::<f64>() / windows,
        ),
        ("p50", percentile(&outcome.start_ms, 50)),
        ("p99", percentile(&outcome.start_ms, 99)),
        (
            "far%",
            100.0 * far.count() as f64 / outcome.sends.len() as f64,
        ),
    ]
}

/// Median, least and greatest value of each figure over the seeds.
fn summary(make: impl Fn() -> Scenario) -> String {
    let mut values: BTreeMap<usize, (&str, Vec<f64>)> = BTreeMap::new();
    for seed in SEEDS {
        let scenario = Scenario { seed, ..make() };
        let outcome = run(&scenario);
        for (position, (name, value)) in figures(&scenario, &outcome).into_iter().enumerate() {
            let entry = values.entry(position).or_insert((name, Vec::new()));
            entry.1.push(value);
        }
    }
    let texts = values.into_values().map(|(name, mut values)| {
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        format!(
            "{name} {median:.2} ({:.2}-{:.2})",
            values[0],
            values[values.len() - 1]
        )
    });
    texts.collect::<Vec<_>>().join("  ")
}

/// Compares rules by load alone, the dispatchers as they are and with even load, for
/// docs/design/even-load.md.
#[test]
#[ignore = "prints figures; run it by hand with --nocapture"]
fn print_even_load_results() {
    for (name, make) in PATTERNS {
        for rule in Rule::iter() {
            let label: &str = rule.into();
            let result = summary(|| Scenario {
                rule: Some(rule),
                ..make()
            });
            println!("{name:16} {label:14} {result}");
        }
        for even_load in [false, true] {
            let result = summary(|| Scenario {
                even_load,
                ..make()
            });
            println!("{name:16} even={even_load:9} {result}");
        }
    }
}
