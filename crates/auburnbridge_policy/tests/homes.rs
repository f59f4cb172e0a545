//! Guards the choice of home gateways.

use std::collections::{HashMap, HashSet};

use auburnbridge_policy::balance::{GatewayPlace, TargetHash, home_targets};
use auburnbridge_types::{DataCentre, Incarnation};

const GATEWAYS: usize = 11;
const TARGETS: usize = 94;

fn data_centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

fn gateways(count: usize) -> Vec<GatewayPlace> {
    (0..count)
        .map(|number| GatewayPlace {
            vm: format!("10.1.0.{}", number + 10).parse().unwrap(),
            data_centre: data_centre("north"),
        })
        .collect()
}

fn targets(count: usize) -> Vec<TargetHash> {
    (0..count)
        .map(|number| TargetHash::of(&format!("t-{number}").parse().unwrap(), Incarnation(1)))
        .collect()
}

/// The home of each target, by the lists that every gateway has.
fn homes(gateways: &[GatewayPlace], targets: &[TargetHash]) -> HashMap<TargetHash, GatewayPlace> {
    let north = data_centre("north");
    let mut homes = HashMap::new();
    for own in gateways {
        let listed = targets.iter().map(|target| (*target, &north));
        for target in home_targets(own, gateways, listed) {
            let earlier = homes.insert(target, own.clone());
            assert_eq!(earlier, None, "{target} has two homes");
        }
    }
    homes
}

/// Guards against targets that no gateway or two gateways prefer, and against a gateway with far
/// fewer slots than its callers need.
#[test]
fn each_target_has_one_home_and_homes_are_even() {
    let homes = homes(&gateways(GATEWAYS), &targets(TARGETS));
    assert_eq!(homes.len(), TARGETS);
    let mut counts: HashMap<String, usize> = HashMap::new();
    for home in homes.values() {
        *counts.entry(home.vm.to_string()).or_default() += 1;
    }
    assert_eq!(counts.len(), GATEWAYS);
    let most = (TARGETS * 125).div_ceil(100 * GATEWAYS);
    assert!(counts.values().all(|count| *count <= most), "{counts:?}");
}

/// Guards against a change of one gateway that moves the homes of most targets, whose connections
/// and evidence would then be of no use.
#[test]
fn few_homes_move_when_a_gateway_leaves() {
    let targets = targets(TARGETS);
    let all = gateways(GATEWAYS);
    let before = homes(&all, &targets);
    let after = homes(&all[1..], &targets);
    let lost = before.values().filter(|home| **home == all[0]).count();
    let moved = targets
        .iter()
        .filter(|target| before[target] != after[target])
        .count();
    assert!(moved >= lost);
    assert!(moved <= TARGETS / 3, "{moved} moved, {lost} had to");
}

/// Guards against homes across data centres, whose traffic costs more.
#[test]
fn homes_stay_within_the_data_centre() {
    let south = data_centre("south");
    let own = &gateways(1)[0];
    let targets = targets(3);
    let listed = targets.iter().map(|target| (*target, &south));
    assert_eq!(home_targets(own, &gateways(1), listed), HashSet::new());
}
