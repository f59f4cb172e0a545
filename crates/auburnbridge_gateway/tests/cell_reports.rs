//! Tests of the reports of gateways in cells, without a network.
//!
//! The load that they answer: 162 gateways with 7 requests a second each, a third of a second long,
//! of which one in fifteen shows a failing target; links of 1.4 Mbit/s.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    reason = "counts of the tests are small"
)]

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use auburnbridge_gateway::{CellReports, GatewayReport, Outgoing, ReportKind, Reported};
use auburnbridge_messages::GatewayLocation;
use auburnbridge_peer::codec;
use auburnbridge_policy::balance::{
    CellPlace, Finding, GatewayHost, LoadReport, ReportedFinding, TargetHash, TargetLoad,
};
use auburnbridge_policy::poison::{CrashReport, RunHistory, SuspectReport};
use auburnbridge_types::{ByteSize, Incarnation, Millis, RunId, Timestamp};

const TICK_MS: u64 = 100;
const LINK: &str = "1.4Mbit/s";
/// Targets of the fleet.
const TARGETS: usize = 201;

/// Gateways that exchange reports in memory; datagrams arrive at once.
struct Fleet {
    locations: Vec<GatewayLocation>,
    gateways: Vec<CellReports>,
    places: Vec<Option<CellPlace>>,
    index_by_address: HashMap<SocketAddr, usize>,
    /// Gateways that have ended; the others still list them.
    ended: BTreeSet<usize>,
    /// Whether a datagram is lost, by its number, sender and recipient.
    is_lost: Box<dyn Fn(u64, usize, usize) -> bool>,
    /// Copies of each datagram that arrive.
    copies: usize,
    datagrams: u64,
    bytes_by_kind: HashMap<&'static str, u64>,
    bytes_by_gateway: Vec<u64>,
    now: u64,
    crash_seen: Vec<Option<u64>>,
    finding_seen: Vec<Option<u64>>,
}

fn location(data_centre: usize, number: usize) -> GatewayLocation {
    let address: SocketAddr = format!(
        "10.{}.{}.{}:7735",
        data_centre + 1,
        number / 200,
        number % 200
    )
    .parse()
    .unwrap();
    GatewayLocation {
        vm: address.ip().into(),
        address,
        data_centre: format!("dc-{data_centre}").parse().unwrap(),
    }
}

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

fn target(number: usize) -> TargetHash {
    TargetHash::of(&format!("t-{number}").parse().unwrap(), Incarnation(1))
}

fn failure(number: usize) -> ReportedFinding {
    ReportedFinding {
        target: target(number),
        finding: Finding::Broken,
    }
}

/// The failure whose way through the fleet is followed.
fn marker() -> ReportedFinding {
    failure(TARGETS + 1)
}

fn crash() -> SuspectReport {
    SuspectReport::Crashed(CrashReport {
        request: auburnbridge_types::RequestDigest([7; 32]),
        target: "t-1".parse().unwrap(),
        incarnation: Incarnation(1),
        run: RunId(1),
        history: RunHistory::default(),
        run_time: Millis(0),
    })
}

/// Requests in flight on two targets.
fn load(gateway: usize) -> LoadReport {
    let in_flight = [gateway, gateway + 1].map(|number| TargetLoad {
        target: target(number % TARGETS),
        in_flight: 1,
        proof_age: 3,
    });
    LoadReport {
        in_flight: in_flight.to_vec(),
    }
}

impl Fleet {
    fn new(sizes: &[usize]) -> Self {
        let locations: Vec<GatewayLocation> = sizes
            .iter()
            .enumerate()
            .flat_map(|(dc, size)| (0..*size).map(move |number| location(dc, number)))
            .collect();
        let gateways: Vec<CellReports> = locations
            .iter()
            .map(|own| {
                let host = GatewayHost {
                    vm: own.vm.clone(),
                    data_centre: own.data_centre.clone(),
                };
                CellReports::new(host, Some(LINK.parse().unwrap()))
            })
            .collect();
        let mut fleet = Self {
            index_by_address: locations
                .iter()
                .enumerate()
                .map(|(index, location)| (location.address, index))
                .collect(),
            places: vec![None; locations.len()],
            ended: BTreeSet::new(),
            is_lost: Box::new(|_, _, _| false),
            copies: 1,
            datagrams: 0,
            bytes_by_kind: HashMap::new(),
            bytes_by_gateway: vec![0; locations.len()],
            now: 0,
            crash_seen: vec![None; locations.len()],
            finding_seen: vec![None; locations.len()],
            locations,
            gateways,
        };
        let all = 0..fleet.locations.len();
        for gateway in all.clone() {
            fleet.list(gateway, all.clone());
        }
        fleet
    }

    /// Gives a gateway the list of the others among `listed`.
    fn list(&mut self, gateway: usize, listed: impl Iterator<Item = usize>) {
        let others: Vec<GatewayLocation> = listed
            .filter(|other| *other != gateway)
            .map(|other| self.locations[other].clone())
            .collect();
        self.places[gateway] = self.gateways[gateway].update(time(self.now), &others);
    }

    /// Gateways of the same cell, the given one included.
    fn cell(&self, gateway: usize) -> Vec<usize> {
        let is_mate = |other: &usize| {
            self.places[*other] == self.places[gateway]
                && self.locations[*other].data_centre == self.locations[gateway].data_centre
        };
        (0..self.locations.len()).filter(is_mate).collect()
    }

    /// Makes a gateway report, and delivers all datagrams that follow from it.
    fn report(&mut self, gateway: usize, reported: Reported) {
        if !reported.suspects.is_empty() {
            self.crash_seen[gateway].get_or_insert(self.now);
        }
        if reported.findings.contains(&marker()) {
            self.finding_seen[gateway].get_or_insert(self.now);
        }
        let mut queue = VecDeque::new();
        let outgoing = self.gateways[gateway].outgoing(time(self.now), reported);
        self.enqueue(&mut queue, gateway, outgoing);
        while let Some((to, datagram)) = queue.pop_front() {
            let report: GatewayReport = codec::decode(&datagram, ByteSize(1_400)).unwrap();
            if !report.suspects.is_empty() {
                self.crash_seen[to].get_or_insert(self.now);
            }
            if report.findings.contains(&marker()) {
                self.finding_seen[to].get_or_insert(self.now);
            }
            let passed_on = self.gateways[to].pass_on(time(self.now), &report);
            self.enqueue(&mut queue, to, passed_on);
        }
    }

    fn enqueue(
        &mut self,
        queue: &mut VecDeque<(usize, Vec<u8>)>,
        from: usize,
        outgoing: Vec<Outgoing>,
    ) {
        for outgoing in outgoing {
            *self.bytes_by_kind.entry(outgoing.kind.into()).or_default() += outgoing.size();
            self.bytes_by_gateway[from] += outgoing.size();
            for address in outgoing.to {
                self.datagrams += 1;
                let to = self.index_by_address[&address];
                let is_lost = (self.is_lost)(self.datagrams, from, to);
                if !is_lost && !self.ended.contains(&to) {
                    queue.extend((0..self.copies).map(|_| (to, outgoing.datagram.clone())));
                }
            }
        }
    }

    /// Lets all gateways report at intervals for some time; `findings` gives the new ones of a gateway.
    fn run(&mut self, ms: u64, findings: impl Fn(usize, u64) -> Vec<ReportedFinding>) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            for gateway in 0..self.gateways.len() {
                if self.ended.contains(&gateway) {
                    continue;
                }
                let reported = Reported {
                    findings: findings(gateway, self.now),
                    load: Some(load(gateway)),
                    ..Reported::default()
                };
                self.report(gateway, reported);
            }
        }
    }

    /// The latest time at which a running gateway has seen the crash; `None` if one hasn't.
    fn crash_known_at(&self) -> Option<u64> {
        self.known_at(&self.crash_seen)
    }

    fn known_at(&self, seen: &[Option<u64>]) -> Option<u64> {
        let running = (0..seen.len()).filter(|gateway| !self.ended.contains(gateway));
        let times: Option<Vec<u64>> = running.map(|gateway| seen[gateway]).collect();
        times.map(|times| times.into_iter().max().unwrap())
    }
}

fn none(_gateway: usize, _now: u64) -> Vec<ReportedFinding> {
    Vec::new()
}

/// Each gateway finds a failure every two seconds, at different times.
fn usual_failures(gateway: usize, now: u64) -> Vec<ReportedFinding> {
    let is_due = (now / TICK_MS + gateway as u64).is_multiple_of(20);
    let number = (gateway * 31 + (now / TICK_MS) as usize) % TARGETS;
    is_due.then(|| failure(number)).into_iter().collect()
}

fn crash_reported() -> Reported {
    Reported {
        suspects: vec![crash()],
        ..Reported::default()
    }
}

const FLEET: [usize; 3] = [53, 51, 58];

/// The bytes that a gateway sends must not grow with the number of gateways, which they do with the
/// square of it over the fleet if each reports to all others.
#[test]
fn bytes_per_gateway_stay_within_the_budget_at_any_size() {
    // One part in 64 of 1.4 Mbit/s, in bytes per second.
    let budget = 1_400_000.0 / 8.0 / 64.0;
    for sizes in [
        vec![20, 20, 20],
        FLEET.to_vec(),
        vec![100, 100, 100],
        vec![50; 24],
    ] {
        let mut fleet = Fleet::new(&sizes);
        let seconds = 20.0;
        fleet.run(20_000, usual_failures);
        let count = fleet.gateways.len();
        let mean = fleet.bytes_by_gateway.iter().sum::<u64>() as f64 / count as f64 / seconds;
        let most = *fleet.bytes_by_gateway.iter().max().unwrap() as f64 / seconds;
        let mut kinds: Vec<(&str, u64)> = fleet
            .bytes_by_kind
            .iter()
            .map(|(kind, bytes)| (*kind, bytes / count as u64 / 20))
            .collect();
        kinds.sort_unstable();
        println!("{count} gateways: {mean:.0} B/s, at most {most:.0} B/s, {kinds:?}");
        assert!(mean <= budget * 1.05, "{count} gateways send {mean:.0} B/s");
        assert!(
            most <= budget * 1.15,
            "{count} gateways: one sends {most:.0} B/s"
        );
    }
}

/// While a third of the targets fails, reports of failures must neither exceed the budget by much nor
/// stop the load reports in the cell.
#[test]
fn load_reports_go_on_while_many_targets_fail() {
    let mut fleet = Fleet::new(&FLEET);
    fleet.run(10_000, |gateway, now| {
        let is_due = (now / TICK_MS + gateway as u64).is_multiple_of(3);
        is_due.then(|| failure(gateway % 67)).into_iter().collect()
    });
    let count = fleet.gateways.len() as u64;
    let load_bytes = fleet.bytes_by_kind["load"] / count / 10;
    let all_bytes = fleet.bytes_by_gateway.iter().sum::<u64>() / count / 10;
    println!(
        "load {load_bytes} B/s, all {all_bytes} B/s: {:?}",
        fleet.bytes_by_kind
    );
    assert!(all_bytes < 3_500, "{all_bytes} B/s");
    // A report a second at least, to five gateways.
    assert!(load_bytes > 5 * 60, "{load_bytes} B/s");
}

/// A failing target must be known in the cell at once, in the data centre, whose gateways use it as a
/// reserve, within a second on average, and everywhere within three seconds, also while other
/// failures are reported.
#[test]
fn failures_reach_the_cell_at_once_and_all_gateways_in_seconds() {
    let mut delays = Vec::new();
    for gateway in [0, 17, 60, 110] {
        let mut fleet = Fleet::new(&FLEET);
        fleet.run(3_000, usual_failures);
        let reported = Reported {
            findings: vec![marker()],
            ..Reported::default()
        };
        fleet.report(gateway, reported);
        for mate in fleet.cell(gateway) {
            assert_eq!(fleet.finding_seen[mate], Some(3_000));
        }
        fleet.run(3_000, usual_failures);
        let known_at = fleet.known_at(&fleet.finding_seen);
        assert!(known_at.is_some_and(|at| at <= 6_000), "{known_at:?}");
        let local = (0..162).filter(|other| {
            fleet.locations[*other].data_centre == fleet.locations[gateway].data_centre
        });
        delays.extend(local.map(|other| fleet.finding_seen[other].unwrap() - 3_000));
    }
    let mean = delays.iter().sum::<u64>() / delays.len() as u64;
    println!("known in the data centre after {mean} ms on average");
    assert!(mean <= 1_000, "{mean} ms");
}

/// A request that crashes targets must be known everywhere in three seconds, even if one gateway of
/// each cell has ended and is still listed.
#[test]
fn crashes_reach_all_gateways_past_relays_that_have_ended() {
    let mut fleet = Fleet::new(&FLEET);
    let mut ended = BTreeSet::new();
    for gateway in 0..fleet.gateways.len() {
        let cell = fleet.cell(gateway);
        ended.insert(cell.into_iter().find(|mate| *mate != 0).unwrap());
    }
    fleet.ended = ended;
    fleet.report(0, crash_reported());
    fleet.run(3_000, none);
    assert!(fleet.crash_known_at().is_some_and(|at| at < 3_000));
}

/// Lost datagrams must not keep a crash from a gateway: each gateway misses the first datagram sent
/// to it, and the links lose one in forty at random.
#[test]
fn crashes_reach_all_gateways_despite_lost_datagrams() {
    for seed in 0..10_u64 {
        let mut fleet = Fleet::new(&FLEET);
        fleet.is_lost = Box::new(move |number, from, to| {
            let mixed = (number + seed * 7_919) ^ (from as u64) << 20 ^ (to as u64) << 40;
            mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 < u64::from(u32::MAX) / 40
        });
        fleet.report(0, crash_reported());
        fleet.run(3_000, none);
        assert!(
            fleet.crash_known_at().is_some_and(|at| at < 3_000),
            "seed {seed}"
        );
    }
    let mut fleet = Fleet::new(&FLEET);
    fleet.is_lost = Box::new(|number, _, _| number <= 15);
    fleet.report(0, crash_reported());
    fleet.run(3_000, none);
    assert!(fleet.crash_known_at().is_some_and(|at| at < 3_000));
}

/// A datagram that arrives twice must not be multiplied at each step.
#[test]
fn duplicated_datagrams_do_not_multiply() {
    let sent = |copies: usize| {
        let mut fleet = Fleet::new(&FLEET);
        fleet.copies = copies;
        fleet.report(0, crash_reported());
        assert_eq!(fleet.crash_known_at(), Some(0));
        fleet.datagrams
    };
    // At most three steps: the copies of the first two are passed on.
    assert!(sent(2) <= 4 * sent(1));
}

/// A data centre that is cut off must not stop reports in the others, and reports go there again
/// after it is back.
#[test]
fn reports_go_on_while_a_data_centre_is_cut_off() {
    let mut fleet = Fleet::new(&FLEET);
    let is_cut = |gateway: usize| gateway >= 104;
    fleet.is_lost = Box::new(move |_, from, to| is_cut(from) != is_cut(to));
    fleet.run(2_000, usual_failures);
    fleet.report(0, crash_reported());
    let seen = |fleet: &Fleet, cut: bool| {
        let side = (0..162).filter(|gateway| is_cut(*gateway) == cut);
        side.filter(|gateway| fleet.crash_seen[*gateway].is_some())
            .count()
    };
    assert_eq!((seen(&fleet, false), seen(&fleet, true)), (104, 0));
    fleet.run(1_000, usual_failures);
    fleet.is_lost = Box::new(|_, _, _| false);
    fleet.run(2_000, usual_failures);
    assert_eq!(seen(&fleet, true), 58);
}

/// Gateways whose lists differ for a second, here by a cell's worth of gateways that join, must not
/// pass reports around in circles, and the crash must still be known everywhere in three seconds.
#[test]
fn lists_that_differ_cause_neither_loops_nor_gaps() {
    let mut fleet = Fleet::new(&FLEET);
    let joined = 40..48;
    let without_joined: Vec<usize> = (0..162).filter(|other| !joined.contains(other)).collect();
    for gateway in (0..162).filter(|gateway| gateway % 2 == 0) {
        fleet.list(gateway, without_joined.iter().copied());
    }
    fleet.report(0, crash_reported());
    assert!(fleet.datagrams < 4 * 162, "{} datagrams", fleet.datagrams);
    fleet.run(1_000, usual_failures);
    for gateway in 0..162 {
        fleet.list(gateway, 0..162);
    }
    fleet.run(1_900, usual_failures);
    let missed: Vec<usize> = (0..162)
        .filter(|gateway| fleet.crash_seen[*gateway].is_none())
        .collect();
    assert!(missed.is_empty(), "{missed:?} missed the crash");
    let budget = 3 * 1_400_000 / 8 / 64;
    let most = *fleet.bytes_by_gateway.iter().max().unwrap();
    assert!(most < 2 * budget, "one gateway sent {most} bytes in 3 s");
}

/// Without a link rate, or with one that the mesh fits, a gateway sends no report of its own here, so
/// that the mesh is used as before.
#[test]
fn nothing_changes_without_cells() {
    for link in [None, Some("4.8Mbit/s")] {
        let own = location(0, 0);
        let host = GatewayHost {
            vm: own.vm,
            data_centre: own.data_centre,
        };
        let mut reports = CellReports::new(host, link.map(|link| link.parse().unwrap()));
        let others: Vec<GatewayLocation> =
            (1..54).map(|number| location(number % 6, number)).collect();
        assert_eq!(reports.update(time(0), &others), None);
        assert!(!reports.is_active());
        assert_eq!(reports.outgoing(time(0), crash_reported()), []);
    }
}

/// Gateways of an earlier build must understand the reports, in which nothing has changed.
#[test]
fn encoding_of_reports_is_unchanged() {
    let report = GatewayReport {
        from: "g-1".parse().unwrap(),
        findings: vec![ReportedFinding {
            target: TargetHash(5),
            finding: Finding::Broken,
        }],
        suspects: Vec::new(),
        load: Some(LoadReport {
            in_flight: vec![TargetLoad {
                target: TargetHash(6),
                in_flight: 2,
                proof_age: 9,
            }],
        }),
    };
    let encoded = codec::encode(&report, ByteSize(1_400)).unwrap();
    assert_eq!(encoded, [1, 3, b'g', b'-', b'1', 1, 5, 3, 0, 1, 1, 6, 2, 9]);
    let _: &'static str = ReportKind::Load.into();
}

/// Prints the bytes of the mesh by kind of message, from the encoder's sizes and the intervals of the
/// reporter, and the time to send and receive a report, for docs/CAPACITY.md.
#[test]
#[ignore = "prints figures; run it by hand with --nocapture"]
fn print_costs_of_reports() {
    const HEADERS: usize = 28;
    let report = |findings: &[ReportedFinding], load: Option<LoadReport>| GatewayReport {
        from: location(0, 10).vm,
        findings: findings.to_vec(),
        suspects: Vec::new(),
        load,
    };
    let size = |report: &GatewayReport| codec::encode(report, ByteSize(1_400)).unwrap().len();
    let load_size = size(&report(&[], Some(load(0)))) + HEADERS;
    let finding_size = size(&report(&[failure(0)], None)) + HEADERS;
    println!("load {load_size} B, finding {finding_size} B, headers included");
    for (local, all) in [(9_usize, 33_usize), (54, 162), (100, 300), (196, 5_300)] {
        let remote = all - local;
        let load_rate = (local - 1) as f64 * 10.0 + remote as f64 * 1.25;
        let finding_rate = 0.5 * (all - 1) as f64;
        println!(
            "{all} gateways in a mesh, each: load {load_rate:.0}/s {:.0} B/s, findings {finding_rate:.0}/s {:.0} B/s",
            load_rate * load_size as f64,
            finding_rate * finding_size as f64
        );
    }
    let locations: Vec<GatewayLocation> = (0..162)
        .map(|number| location(number % 3, number))
        .collect();
    let list = codec::encode(&locations, ByteSize(1 << 20)).unwrap().len();
    println!("list of 162 gateways in the reply of a keeper: {list} B");
    let encoded = codec::encode(&report(&[], Some(load(0))), ByteSize(1_400)).unwrap();
    let start = std::time::Instant::now();
    for _ in 0..100_000 {
        let decoded: GatewayReport = codec::decode(&encoded, ByteSize(1_400)).unwrap();
        std::hint::black_box(codec::encode(&decoded, ByteSize(1_400)).unwrap());
    }
    println!("decode and encode {:?}", start.elapsed() / 100_000);
}

/// Guards against crashes that reach no other gateway because a datagram is too short for them, however
/// many come at once and however long their ids are.
#[test]
fn many_crashes_at_once_are_all_sent() {
    let mut fleet = Fleet::new(&FLEET);
    let crashes: Vec<SuspectReport> = (0..100_u64)
        .map(|number| {
            SuspectReport::Crashed(CrashReport {
                request: auburnbridge_types::RequestDigest([255; 32]),
                target: format!("{number:0>64}").parse().unwrap(),
                incarnation: Incarnation(u64::MAX),
                run: RunId(u64::MAX),
                history: RunHistory {
                    answers: u32::MAX,
                    crashes: u32::MAX,
                    late_crashes: u32::MAX,
                    is_late: true,
                },
                run_time: Millis(u64::MAX),
            })
        })
        .collect();
    let reported = Reported {
        suspects: crashes.clone(),
        ..Reported::default()
    };
    let mut sent: Vec<SuspectReport> = Vec::new();
    for outgoing in fleet.gateways[0].outgoing(time(0), reported) {
        let report: GatewayReport = codec::decode(&outgoing.datagram, ByteSize(1_400)).unwrap();
        sent.extend(report.suspects);
    }
    assert_eq!(sent, crashes);
}
