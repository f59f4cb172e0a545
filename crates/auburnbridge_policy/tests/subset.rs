//! Tests of the assignment of targets to the subsets of gateways.

use std::collections::{HashMap, HashSet};

use auburnbridge_policy::balance::{GatewayHost, TargetHash, gateway_subset};
use auburnbridge_types::{DataCentre, Incarnation};

const GATEWAYS: usize = 11;
const TARGETS: usize = 94;

fn data_centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}

fn gateways(count: usize) -> Vec<GatewayHost> {
    (0..count)
        .map(|number| GatewayHost {
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

/// The gateway to whose subset each target is assigned, as computed by every gateway.
fn gateway_by_target(
    gateways: &[GatewayHost],
    targets: &[TargetHash],
) -> HashMap<TargetHash, GatewayHost> {
    let north = data_centre("north");
    let mut gateway_by_target = HashMap::new();
    for own in gateways {
        let listed = targets.iter().map(|target| (*target, &north));
        for target in gateway_subset(own, gateways, listed) {
            let previous = gateway_by_target.insert(target, own.clone());
            assert_eq!(previous, None, "{target} is in two subsets");
        }
    }
    gateway_by_target
}

/// A target must not be in no subset or in two, and no gateway may be left with far fewer slots
/// than its callers need.
#[test]
fn each_target_is_in_one_subset_and_subsets_are_even() {
    let gateway_by_target = gateway_by_target(&gateways(GATEWAYS), &targets(TARGETS));
    assert_eq!(gateway_by_target.len(), TARGETS);
    let mut counts: HashMap<String, usize> = HashMap::new();
    for gateway in gateway_by_target.values() {
        *counts.entry(gateway.vm.to_string()).or_default() += 1;
    }
    assert_eq!(counts.len(), GATEWAYS);
    let max_targets = (TARGETS * 125).div_ceil(100 * GATEWAYS);
    assert!(
        counts.values().all(|count| *count <= max_targets),
        "{counts:?}"
    );
}

/// The loss of one gateway must not reassign most targets, since the connections and evidence of
/// reassigned targets are of no further use.
#[test]
fn few_targets_change_subset_when_a_gateway_leaves() {
    let targets = targets(TARGETS);
    let all = gateways(GATEWAYS);
    let before = gateway_by_target(&all, &targets);
    let after = gateway_by_target(&all[1..], &targets);
    let orphaned = before
        .values()
        .filter(|gateway| **gateway == all[0])
        .count();
    let reassigned = targets
        .iter()
        .filter(|target| before[target] != after[target])
        .count();
    assert!(reassigned >= orphaned);
    assert!(
        reassigned <= TARGETS / 3,
        "{reassigned} targets were reassigned, {orphaned} had to be"
    );
}

/// A subset must not contain targets of other data centres, since traffic between them costs more.
#[test]
fn subset_excludes_other_data_centres() {
    let south = data_centre("south");
    let own = &gateways(1)[0];
    let targets = targets(3);
    let listed = targets.iter().map(|target| (*target, &south));
    assert_eq!(gateway_subset(own, &gateways(1), listed), HashSet::new());
}
