//! The reports of a gateway in a cell: who gets which datagram, and when.
//!
//! Load and findings go to the cell, failures in batches to one gateway of each other cell and of
//! each other data centre, which passes them on. Crashes go the same way without delay, several
//! times and through different gateways, since they have to reach all gateways even if datagrams
//! are lost or a relay has ended. All but findings of this gateway and crashes is subject to a
//! budget of bytes per second.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use auburnbridge_messages::GatewayLocation;
use auburnbridge_policy::SuspectReport;
use auburnbridge_policy::balance::{
    CellPlace, CellSwitch, Cells, GatewayHost, LoadReport, Proximity, RelayQueue, ReportBudget,
    ReportedFinding,
};
use auburnbridge_types::{LinkRate, Millis, Timestamp, VmId};
use log::{info, warn};

use crate::neighbours::{GatewayReport, ReportKind, encode};
use crate::suspect_resends::{MAX_REPORTS, RESEND_INTERVAL, SuspectResends};

/// Time for which the same report isn't passed on again, shorter than [`RESEND_INTERVAL`]. Gateways
/// whose lists differ could otherwise pass it around in circles.
const PASS_ON_INTERVAL: Millis = Millis(RESEND_INTERVAL.0 * 5 / 6);
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Kind of its contents.
    pub kind: ReportKind,
    /// Recipients.
    pub to: Vec<SocketAddr>,
    /// The encoded [`GatewayReport`].
    pub datagram: Vec<u8>,
}

impl Outgoing {
    /// Bytes on the link, headers included.
    pub fn size(&self) -> u64 {
        let size = self.to.len() * (self.datagram.len() + HEADER_BYTES);
        u64::try_from(size).unwrap_or(u64::MAX)
    }
}

/// Budgets of the reports that can wait.
struct Budgets {
    load: ReportBudget,
    relays: ReportBudget,
}

/// What a gateway reports at one moment.
#[derive(Clone, Debug, Default)]
pub struct Reported {
    /// Its new findings.
    pub findings: Vec<ReportedFinding>,
    /// What it knows of requests that crash targets.
    pub suspects: Vec<SuspectReport>,
    /// Present if a load report is due.
    pub load: Option<LoadReport>,
}

/// State of the reports of a gateway that forms cells with others.
pub struct CellReports {
    own: GatewayHost,
    switch: CellSwitch,
    /// Other gateways from which `cells` was computed.
    others: Vec<GatewayHost>,
    addresses: HashMap<VmId, SocketAddr>,
    cells: Option<Cells>,
    budgets: Option<Budgets>,
    link_rate: Option<LinkRate>,
    relays: RelayQueue,
    suspects: SuspectResends,
    /// Reports of other gateways that were passed on within [`PASS_ON_INTERVAL`].
    passed_on: Vec<(Timestamp, SuspectReport)>,
    /// Round of batches, which selects the relays.
    round: u64,
    sent_load_to: HashSet<VmId>,
}

impl CellReports {
    /// Creates the state of a gateway without others; it never forms cells if there is no link rate.
    pub fn new(own: GatewayHost, link_rate: Option<LinkRate>) -> Self {
        Self {
            own,
            switch: CellSwitch::new(link_rate),
            others: Vec::new(),
            addresses: HashMap::new(),
            cells: None,
            budgets: None,
            link_rate,
            relays: RelayQueue::default(),
            suspects: SuspectResends::default(),
            passed_on: Vec::new(),
            round: 0,
            sent_load_to: HashSet::new(),
        }
    }

    /// Computes the cells from the other gateways, and returns the own one.
    pub fn update(&mut self, now: Timestamp, others: &[GatewayLocation]) -> Option<CellPlace> {
        let hosts: Vec<GatewayHost> = others.iter().map(host).collect();
        let mut all = hosts.clone();
        all.push(self.own.clone());
        if !self.switch.update(now, &all) {
            if self.cells.take().is_some() {
                info!(gateways = all.len(); "reports go to all gateways");
            }
            return None;
        }
        self.addresses = others
            .iter()
            .map(|other| (other.vm.clone(), other.address))
            .collect();
        if self.cells.is_none() || self.others != hosts {
            let cells = Cells::new(&self.own, &hosts);
            self.log_change(&cells, all.len());
            self.others = hosts;
            self.cells = Some(cells);
        }
        self.cells.as_ref().map(Cells::place)
    }

    /// Logs a change of the own cell, not one of other cells.
    fn log_change(&self, cells: &Cells, gateways: usize) {
        let peers: Vec<&str> = cells.peers().map(VmId::as_str).collect();
        let previous = self.cells.as_ref();
        let is_same = previous.is_some_and(|previous| {
            previous.place() == cells.place() && previous.peers().eq(cells.peers())
        });
        if !is_same {
            let place = cells.place();
            info!(
                cell = place.number, cells = place.count, gateways = gateways, peers:? = peers;
                "cell changed"
            );
        }
    }

    /// Whether the gateways form cells.
    pub fn is_active(&self) -> bool {
        self.cells.is_some()
    }

    /// The datagrams to send now.
    pub fn outgoing(&mut self, now: Timestamp, reported: Reported) -> Vec<Outgoing> {
        let Some(cells) = self.cells.take() else {
            return Vec::new();
        };
        self.relays.add(now, None, &reported.findings);
        self.suspects.add(now, reported.suspects);
        let mut outgoing = self.suspect_datagrams(now, &cells);
        let urgent = self.urgent_datagram(&cells, &reported.findings);
        // A due load report carries the findings along if the budget allows it.
        let load = reported.load.and_then(|load| {
            self.relay_datagrams(now, &cells, &mut outgoing);
            self.load_datagram(now, &cells, &reported.findings, load)
        });
        if let Some(urgent) = load.is_none().then_some(urgent).flatten() {
            self.budgets(now).load.take_urgent(now, urgent.size());
            outgoing.push(urgent);
        }
        outgoing.extend(load);
        self.cells = Some(cells);
        outgoing
    }

    /// The datagrams that pass a report of another gateway on at once; its findings are queued.
    pub fn pass_on(&mut self, now: Timestamp, report: &GatewayReport) -> Vec<Outgoing> {
        let Some(cells) = &self.cells else {
            return Vec::new();
        };
        let proximity = cells.proximity(&report.from);
        if proximity == Proximity::Cell {
            return Vec::new();
        }
        self.relays.add(now, Some(proximity), &report.findings);
        let mut to: Vec<&VmId> = cells.peers().collect();
        if proximity == Proximity::Remote {
            to.extend(cells.local_relays(self.round));
        }
        let to = self.addresses_of(to);
        let suspects = self.not_passed_on(now, &report.suspects);
        let outgoing = self.suspect_reports(&suspects, &to);
        self.charge(now, &outgoing);
        outgoing
    }

    /// The reports that this gateway has not passed on lately, which counts as passing them on.
    fn not_passed_on(&mut self, now: Timestamp, reports: &[SuspectReport]) -> Vec<SuspectReport> {
        self.passed_on
            .retain(|(at, _)| now.since(*at) < PASS_ON_INTERVAL);
        let is_new =
            |report: &&SuspectReport| !self.passed_on.iter().any(|(_, known)| known == *report);
        let new: Vec<SuspectReport> = reports.iter().filter(is_new).cloned().collect();
        self.passed_on
            .extend(new.iter().map(|report| (now, report.clone())));
        new
    }

    fn suspect_datagrams(&mut self, now: Timestamp, cells: &Cells) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for (sends, suspects) in self.suspects.due(now) {
            let round = self.round.wrapping_add(u64::from(sends));
            let relays = cells.local_relays(round).chain(cells.remote_relays(round));
            let to = self.addresses_of(cells.peers().chain(relays));
            outgoing.extend(self.suspect_reports(&suspects, &to));
        }
        self.charge(now, &outgoing);
        outgoing
    }

    fn suspect_reports(&self, suspects: &[SuspectReport], to: &[SocketAddr]) -> Vec<Outgoing> {
        suspects
            .chunks(MAX_REPORTS)
            .filter_map(|suspects| self.datagram(ReportKind::Crashes, to, &[], suspects, None))
            .collect()
    }

    /// The datagram for findings of this gateway that aren't sent with a load report.
    fn urgent_datagram(&self, cells: &Cells, findings: &[ReportedFinding]) -> Option<Outgoing> {
        if findings.is_empty() {
            return None;
        }
        let to = self.addresses_of(cells.peers());
        self.datagram(ReportKind::Findings, &to, findings, &[], None)
    }

    /// The load report for the cell, if the budget allows it. An empty one is sent only once after a
    /// non-empty one, to withdraw it.
    fn load_datagram(
        &mut self,
        now: Timestamp,
        cells: &Cells,
        findings: &[ReportedFinding],
        load: LoadReport,
    ) -> Option<Outgoing> {
        let has_load = !load.in_flight.is_empty();
        let has_findings = !findings.is_empty();
        let recipients: Vec<&VmId> = cells
            .peers()
            .filter(|peer| has_load || has_findings || self.sent_load_to.contains(*peer))
            .collect();
        let to = self.addresses_of(recipients.iter().copied());
        let outgoing = self.datagram(ReportKind::Load, &to, findings, &[], Some(load))?;
        if !self.budgets(now).load.take(now, outgoing.size()) {
            return None;
        }
        self.sent_load_to = if has_load {
            recipients.into_iter().cloned().collect()
        } else {
            HashSet::new()
        };
        Some(outgoing)
    }

    /// Adds the batch of failures for other cells and data centres, if one is due and the budget
    /// allows it.
    fn relay_datagrams(&mut self, now: Timestamp, cells: &Cells, outgoing: &mut Vec<Outgoing>) {
        let Some(batch) = self.relays.due(now) else {
            return;
        };
        let kind = ReportKind::Relayed;
        let cell = self.addresses_of(cells.peers());
        let local = self.addresses_of(cells.local_relays(self.round));
        let remote = self.addresses_of(cells.remote_relays(self.round));
        let datagrams: Vec<Outgoing> = [
            self.datagram(kind, &cell, &batch.cell, &[], None),
            self.datagram(kind, &local, &batch.local, &[], None),
            self.datagram(kind, &remote, &batch.remote, &[], None),
        ]
        .into_iter()
        .flatten()
        .collect();
        let size = datagrams.iter().map(Outgoing::size).sum();
        if !self.budgets(now).relays.take(now, size) {
            return;
        }
        let dropped = self.relays.sent(now);
        if dropped > 0 {
            warn!(dropped = dropped; "failures not passed on to other cells");
        }
        self.round = self.round.wrapping_add(1);
        outgoing.extend(datagrams);
    }

    fn datagram(
        &self,
        kind: ReportKind,
        to: &[SocketAddr],
        findings: &[ReportedFinding],
        suspects: &[SuspectReport],
        load: Option<LoadReport>,
    ) -> Option<Outgoing> {
        if to.is_empty() || (findings.is_empty() && suspects.is_empty() && load.is_none()) {
            return None;
        }
        let report = GatewayReport {
            from: self.own.vm.clone(),
            findings: findings.to_vec(),
            suspects: suspects.to_vec(),
            load,
        };
        Some(Outgoing {
            kind,
            to: to.to_vec(),
            datagram: encode(&report)?,
        })
    }

    fn addresses_of<'a>(&self, vms: impl IntoIterator<Item = &'a VmId>) -> Vec<SocketAddr> {
        vms.into_iter()
            .filter_map(|vm| self.addresses.get(vm).copied())
            .collect()
    }

    fn charge(&mut self, now: Timestamp, outgoing: &[Outgoing]) {
        let size = outgoing.iter().map(Outgoing::size).sum();
        self.budgets(now).load.take_urgent(now, size);
    }

    fn budgets(&mut self, now: Timestamp) -> &mut Budgets {
        let link_rate = self.link_rate.unwrap_or_default();
        self.budgets.get_or_insert_with(|| Budgets {
            load: ReportBudget::for_load(now, link_rate),
            relays: ReportBudget::for_relays(now, link_rate),
        })
    }
}

fn host(location: &GatewayLocation) -> GatewayHost {
    GatewayHost {
        vm: location.vm.clone(),
        data_centre: location.data_centre.clone(),
    }
}
