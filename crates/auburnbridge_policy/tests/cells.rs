//! Tests of the cells of gateways in large fleets, and of the targets that they share.
//!
//! The load that they answer: 162 gateways with 7 requests a second each in three data centres, whose
//! links carry 1.4 Mbit/s, in front of a service of 201 targets.

#![allow(clippy::cast_precision_loss, reason = "counts of the tests are small")]

use std::collections::{BTreeMap, BTreeSet, HashMap};

use auburnbridge_policy::balance::{
    CellPlace, CellSwitch, Cells, Finding, GatewayHost, Proximity, RelayQueue, ReportBudget,
    ReportedFinding, TargetHash, cell_subset, mesh_bytes_per_second,
};
use auburnbridge_types::{DataCentre, Incarnation, LinkRate, Timestamp, VmId};

const SIZES: [usize; 3] = [53, 51, 58];

fn data_centre(number: usize) -> DataCentre {
    format!("dc-{number}").parse().unwrap()
}

fn gateway(data_centre_number: usize, number: usize) -> GatewayHost {
    GatewayHost {
        vm: format!("10.{}.0.{}", data_centre_number + 1, number + 10)
            .parse()
            .unwrap(),
        data_centre: data_centre(data_centre_number),
    }
}

fn fleet(sizes: &[usize]) -> Vec<GatewayHost> {
    let data_centres = sizes.iter().enumerate();
    data_centres
        .flat_map(|(dc, size)| (0..*size).map(move |number| gateway(dc, number)))
        .collect()
}

fn cells_of(own: &GatewayHost, gateways: &[GatewayHost]) -> Cells {
    let others = gateways.iter().filter(|other| *other != own);
    Cells::new(own, &others.cloned().collect::<Vec<_>>())
}

/// The other gateways of the cell of each gateway of the first data centre.
fn peers_by_gateway(gateways: &[GatewayHost]) -> BTreeMap<VmId, BTreeSet<VmId>> {
    gateways
        .iter()
        .filter(|gateway| gateway.data_centre == data_centre(0))
        .map(|gateway| {
            let cells = cells_of(gateway, gateways);
            (gateway.vm.clone(), cells.peers().cloned().collect())
        })
        .collect()
}

fn targets(count: usize) -> Vec<TargetHash> {
    (0..count)
        .map(|number| TargetHash::of(&format!("t-{number}").parse().unwrap(), Incarnation(1)))
        .collect()
}

fn subset(number: usize, count: usize, targets: &[TargetHash]) -> BTreeSet<TargetHash> {
    let here = data_centre(0);
    let listed = targets.iter().map(|target| (*target, &here));
    cell_subset(CellPlace { number, count }, &here, listed)
        .into_iter()
        .collect()
}

/// A cell of one or two gateways would learn as little as a gateway alone, and one of many would
/// send as much as a mesh.
#[test]
fn cells_are_even_and_every_gateway_computes_the_same() {
    for size in 1..=200 {
        let gateways = fleet(&[size]);
        let peers = peers_by_gateway(&gateways);
        for (vm, cell) in &peers {
            assert!(cell.iter().all(|peer| peers[peer].contains(vm)));
            let members = cell.len() + 1;
            assert!(members <= 8, "{size} gateways: {members} in a cell");
            assert!(size < 9 || members >= 4, "{size} gateways: {members}");
        }
    }
}

/// Share of the gateways, except the one that leaves, whose cell gets another member or another
/// number, averaged over all of them leaving in turn.
fn moved_share(size: usize) -> f64 {
    let all = fleet(&[size]);
    let place = |own: &GatewayHost, all: &[GatewayHost]| cells_of(own, all).place().number;
    let mut moved = 0;
    for left in 0..size {
        let mut rest = all.clone();
        rest.remove(left);
        moved += rest
            .iter()
            .filter(|own| place(own, &all) != place(own, &rest))
            .count();
    }
    moved as f64 / (size * (size - 1)) as f64
}

/// A gateway that changes its cell starts without connections to its targets and without proofs, so
/// the loss of one of many must leave most gateways in their cells.
#[test]
fn few_gateways_change_cell_when_one_leaves() {
    for size in [53, 51, 58, 100] {
        let share = moved_share(size);
        println!("{size} gateways: {:.1}% change cell", 100.0 * share);
        assert!(share < 0.25, "{size} gateways: {share:.2} change cell");
    }
}

/// The targets of a service must be in one cell each, and none without, if there are enough of them;
/// cells of a small service must not be left with less capacity than failures may take.
#[test]
fn targets_are_shared_evenly_by_the_cells() {
    for (count, cells) in [
        (67, 9),
        (40, 9),
        (71, 9),
        (38, 9),
        (10, 9),
        (4, 9),
        (2, 3),
        (67, 7),
        (40, 7),
    ] {
        let targets = targets(count);
        let mut cells_by_target: HashMap<TargetHash, usize> = HashMap::new();
        let mut sizes = Vec::new();
        for number in 0..cells {
            let subset = subset(number, cells, &targets);
            sizes.push(subset.len());
            for target in subset {
                *cells_by_target.entry(target).or_default() += 1;
            }
        }
        let (min, max) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
        assert!(*min >= count.min(4), "{count} targets: {sizes:?}");
        assert!(max - min <= 1, "{count} targets: {sizes:?}");
        assert_eq!(cells_by_target.len(), count);
        let copies: BTreeSet<&usize> = cells_by_target.values().collect();
        assert_eq!(copies.len(), 1, "{count} targets are in {copies:?} cells");
        assert!(count < 4 * cells || copies == BTreeSet::from([&1]));
    }
}

/// A target that joins or leaves must not move the others, whose connections and proofs would be
/// lost.
#[test]
fn few_targets_change_cell_when_one_leaves() {
    let all = targets(67);
    let mut moved = 0;
    for left in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(left);
        for number in 0..9 {
            let (before, after) = (subset(number, 9, &all), subset(number, 9, &rest));
            moved += after.difference(&before).count();
        }
    }
    let share = moved as f64 / (67.0 * 66.0);
    println!("{:.1}% of the targets change cell", 100.0 * share);
    assert!(share < 0.25, "{share:.2} of the targets change cell");
}

/// Reports must be passed on to each other cell and data centre once, and a relay that has ended must
/// not take the reports of all rounds.
#[test]
fn relays_are_one_per_cell_and_differ_by_round() {
    let gateways = fleet(&SIZES);
    let cells = cells_of(&gateways[0], &gateways);
    let count = cells.place().count;
    let mut first_relays = BTreeSet::new();
    for round in 0..4 {
        let local: Vec<&VmId> = cells.local_relays(round).collect();
        let remote: Vec<&VmId> = cells.remote_relays(round).collect();
        assert_eq!((local.len(), remote.len()), (count - 1, 2));
        assert!(
            local
                .iter()
                .all(|vm| cells.proximity(vm) == Proximity::DataCentre)
        );
        assert!(
            remote
                .iter()
                .all(|vm| cells.proximity(vm) == Proximity::Remote)
        );
        first_relays.insert(local[0].clone());
    }
    assert_eq!(first_relays.len(), 4);
    assert!(
        cells
            .peers()
            .all(|vm| cells.proximity(vm) == Proximity::Cell)
    );
    assert!(cells.peers().all(|vm| *vm != gateways[0].vm));
}

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

fn link(text: &str) -> LinkRate {
    text.parse().unwrap()
}

/// Fleets whose mesh fits their links must keep it, and those without a link rate always. The fleets
/// are those of the deployments in service, with the fleet that has the least room last.
#[test]
fn only_fleets_that_are_large_for_their_links_form_cells() {
    let uses_cells = |rate: Option<&str>, sizes: &[usize]| {
        CellSwitch::new(rate.map(link)).update(time(0), &fleet(sizes))
    };
    assert!(!uses_cells(None, &[2_000, 3_300]));
    assert!(uses_cells(Some("1.4Mbit/s"), &SIZES));
    assert!(uses_cells(Some("1.4Mbit/s"), &[100, 100, 100]));
    assert!(!uses_cells(Some("1.4Mbit/s"), &[10, 10, 10]));
    assert!(!uses_cells(Some("2400Mbit/s"), &[6, 6, 4]));
    assert!(!uses_cells(Some("14Mbit/s"), &[9, 11, 8, 9]));
    assert!(!uses_cells(Some("5.1Mbit/s"), &[8, 9, 9, 9]));
    assert!(!uses_cells(Some("6.2Mbit/s"), &[12, 14, 12, 14]));
    assert!(!uses_cells(Some("4.8Mbit/s"), &[11, 11, 11, 9, 9, 9]));
    assert!(!uses_cells(Some("4.9Mbit/s"), &[12, 15, 14, 12]));
    let largest = mesh_bytes_per_second(&fleet(&[12, 15, 14, 12]));
    assert!(largest * 2 < link("4.9Mbit/s").bytes_per_second() / 16);
}

/// A fleet near the limit must not change between mesh and cells with each gateway that restarts,
/// and all gateways with the same list must come to the same answer.
#[test]
fn cells_are_kept_for_a_while_after_the_mesh_fits() {
    let mut switch = CellSwitch::new(Some(link("1.4Mbit/s")));
    let (large, small) = (fleet(&[20, 20, 20]), fleet(&[8, 8, 8]));
    assert!(!switch.update(time(0), &small));
    assert!(switch.update(time(100), &large));
    assert!(switch.update(time(200), &small));
    assert!(switch.update(time(20_000), &small));
    assert!(switch.update(time(20_100), &large));
    assert!(switch.update(time(30_300), &small));
    assert!(switch.update(time(60_200), &small));
    assert!(!switch.update(time(60_300), &small));
}

/// Reports must stay within the budget over any longer time, and urgent ones delay the others by at
/// most a second.
#[test]
fn budget_bounds_the_bytes_per_second() {
    let mut budget = ReportBudget::for_load(time(0), link("1.4Mbit/s"));
    let per_second = 175_000 * 2 / 256;
    let mut sent = 0;
    for tick in 0..600 {
        if budget.take(time(tick * 100), 500) {
            sent += 500;
        }
    }
    assert!(sent <= 61 * per_second, "{sent}");
    assert!(sent >= 55 * per_second, "{sent}");
    budget.take_urgent(time(60_000), 1_000_000);
    assert!(!budget.take(time(60_900), 1));
    assert!(budget.take(time(61_100), 1));
}

fn failure(number: usize) -> ReportedFinding {
    ReportedFinding {
        target: targets(number + 1)[number],
        finding: Finding::Broken,
    }
}

/// A target that fails many requests must not make many reports, findings of the cell must not be
/// sent back to it, and only failures concern other cells.
#[test]
fn failures_are_passed_on_in_batches_and_once() {
    let mut queue = RelayQueue::default();
    let answer = ReportedFinding {
        finding: Finding::Answered,
        ..failure(0)
    };
    queue.add(time(0), Some(Proximity::Cell), &[failure(0)]);
    queue.add(time(0), None, &[answer]);
    assert_eq!(queue.due(time(0)), None);
    queue.add(time(0), None, &[failure(0), failure(0)]);
    queue.add(time(0), Some(Proximity::DataCentre), &[failure(1)]);
    queue.add(time(0), Some(Proximity::Remote), &[failure(2)]);
    let batch = queue.due(time(0)).unwrap();
    assert_eq!(batch.cell, [failure(1), failure(2)]);
    assert_eq!(batch.local, [failure(0), failure(2)]);
    assert_eq!(batch.remote, [failure(0)]);
    assert_eq!(queue.sent(time(0)), 0);
    queue.add(time(200), None, &[failure(0), failure(3)]);
    assert_eq!(queue.due(time(240)), None);
    assert_eq!(queue.due(time(250)).unwrap().remote, [failure(3)]);
}

/// A failure of a whole data centre must not let the queue grow.
#[test]
fn failures_without_room_are_counted() {
    let mut queue = RelayQueue::default();
    let findings: Vec<ReportedFinding> = (0..100).map(failure).collect();
    queue.add(time(0), None, &findings);
    assert_eq!(queue.due(time(0)).unwrap().local.len(), 64);
    assert_eq!(queue.sent(time(0)), 36);
    assert_eq!(queue.sent(time(0)), 0);
}
