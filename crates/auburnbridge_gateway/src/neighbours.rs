//! Reports between gateways, in UDP datagrams that may be lost.
//!
//! Each gateway reports to all others, unless the fleet is large for its links: then the gateways
//! form cells (see [`crate::cell_reports`]).

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::UdpSocket;
use auburnbridge_messages::GatewayLocation;
use auburnbridge_peer::codec;
use auburnbridge_policy::SuspectReport;
use auburnbridge_policy::balance::{CellPlace, GatewayHost, LoadReport, ReportedFinding};
use auburnbridge_types::{ByteSize, DataCentre, LinkRate, Millis, Timestamp, VmId};
use futures_lite::FutureExt;
use log::{debug, warn};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::cell_reports::{CellReports, Outgoing, Reported};
use crate::gateway::Gateway;
use crate::suspect_resends::{MAX_REPORTS, SuspectResends};

/// Maximum datagram size. A larger datagram would be fragmented.
const DATAGRAM_LIMIT: ByteSize = ByteSize(1_400);
/// Receive buffer size. It exceeds the limit so that an oversized datagram is detected, not truncated.
const RECEIVE_BUFFER_BYTES: usize = 2_800;
/// Maximum number of findings in one datagram.
const MAX_FINDINGS: usize = 64;
/// Maximum number of targets whose in-flight requests are reported in one datagram.
const MAX_LOADS: usize = 128;
/// Interval of load reports to gateways of the same data centre.
const LOCAL_REPORT_INTERVAL: Millis = Millis(100);
/// Load reports to the same data centre for each one to other data centres, whose targets serve only
/// as a reserve.
const LOCAL_REPORTS_PER_REMOTE: u32 = 8;
/// Interval of load reports to all gateways while a service is crowded, for up to
/// [`GATEWAYS_PER_CROWDED_INTERVAL`] gateways; it grows with their number.
const CROWDED_REPORT_INTERVAL: Millis = Millis(40);
/// Number of gateways per step of [`CROWDED_REPORT_INTERVAL`].
const GATEWAYS_PER_CROWDED_INTERVAL: u64 = 16;
/// Delay before findings are sent, which batches those of one event.
const BATCH_DELAY: Millis = Millis(2);

/// Report of one gateway to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// VM of the sender.
    pub from: VmId,
    /// Findings about targets.
    pub findings: Vec<ReportedFinding>,
    /// Requests that crash targets.
    pub suspects: Vec<SuspectReport>,
    /// In-flight requests by target; absent if the report carries only findings or suspects.
    pub load: Option<LoadReport>,
}

/// Kind of a datagram, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportKind {
    /// Requests in flight, and findings that were made meanwhile.
    Load,
    /// Findings only.
    Findings,
    /// Findings of other gateways, or for gateways outside the cell.
    Relayed,
    /// Requests that crash targets.
    Crashes,
}

impl ReportKind {
    /// The kind of a received report, which doesn't show whether it was relayed.
    fn of(report: &GatewayReport) -> Self {
        if !report.suspects.is_empty() {
            Self::Crashes
        } else if report.load.is_some() {
            Self::Load
        } else {
            Self::Findings
        }
    }
}

/// Exchanges reports with the other gateways, in all data centres.
pub struct GatewayReporter {
    vm: VmId,
    data_centre: DataCentre,
    socket: UdpSocket,
    others: Mutex<Vec<GatewayLocation>>,
    cell_reports: Mutex<CellReports>,
    /// Reports to all gateways while they form no cells.
    suspect_resends: Mutex<SuspectResends>,
}

impl GatewayReporter {
    /// Binds the UDP socket for reports of other gateways.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        vm: VmId,
        data_centre: DataCentre,
        address: SocketAddr,
    ) -> std::io::Result<Self> {
        let own = GatewayHost {
            vm: vm.clone(),
            data_centre: data_centre.clone(),
        };
        Ok(Self {
            vm,
            data_centre,
            socket: UdpSocket::bind(address).await?,
            others: Mutex::default(),
            cell_reports: Mutex::new(CellReports::new(own, None)),
            suspect_resends: Mutex::default(),
        })
    }

    /// Sets the rate of the VM's link, to a share of which reports are kept (default none).
    #[must_use]
    pub fn with_link_rate(self, link_rate: Option<LinkRate>) -> Self {
        let own = GatewayHost {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
        };
        *self.cell_reports.lock() = CellReports::new(own, link_rate);
        self
    }

    /// Computes the cells from the running gateways, and returns the cell of this one, or `None` if
    /// the gateways form no cells.
    pub fn update_cells(&self, now: Timestamp) -> Option<CellPlace> {
        let others = self.others.lock().clone();
        self.cell_reports.lock().update(now, &others)
    }

    /// Replaces the set of running gateways, and returns all of them but this one.
    pub fn set_gateways(&self, mut gateways: Vec<GatewayLocation>) -> Vec<GatewayHost> {
        gateways.retain(|gateway| gateway.vm != self.vm);
        let hosts = gateways
            .iter()
            .map(|gateway| GatewayHost {
                vm: gateway.vm.clone(),
                data_centre: gateway.data_centre.clone(),
            })
            .collect();
        *self.others.lock() = gateways;
        hosts
    }

    /// Applies the reports of other gateways until the process ends.
    pub async fn receive(self: Arc<Self>, gateway: Arc<Gateway>) {
        let mut buf = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(error) => {
                    // A datagram sent to a gateway that has ended makes a later receive fail.
                    debug!("failed to receive a datagram: {error}");
                    gateway.clock.sleep(BATCH_DELAY).await;
                    continue;
                }
            };
            match codec::decode::<GatewayReport>(&buf[..length], DATAGRAM_LIMIT) {
                Ok(report) => {
                    let kind = ReportKind::of(&report).into();
                    gateway.metrics.record_report("received", kind, length);
                    let now = gateway.clock.now();
                    let outgoing = self.cell_reports.lock().pass_on(now, &report);
                    let corrections = apply(&gateway, &report);
                    self.send_corrections(&gateway, &report.from, corrections)
                        .await;
                    self.send_all(&gateway, outgoing).await;
                }
                Err(error) => {
                    debug!("discarded an invalid datagram of {length} bytes from {from}: {error}");
                }
            }
        }
    }

    /// Reports findings to the other gateways immediately, and in-flight requests at intervals.
    pub async fn broadcast(self: Arc<Self>, gateway: Arc<Gateway>) {
        let mut reports_made: u32 = 0;
        let mut next_report = gateway.clock.now();
        let mut is_crowded = false;
        let mut sent_load_to: HashSet<VmId> = HashSet::new();
        loop {
            let urgent_report = gateway.urgent_report.listen();
            let suspect_report = gateway.suspects.listen_for_reports();
            let now = gateway.clock.now();
            let wait = next_report.since(now);
            if wait > Millis(0) {
                let is_urgent = async {
                    urgent_report.or(suspect_report).await;
                    true
                };
                let is_due = async {
                    gateway.clock.sleep(wait).await;
                    false
                };
                if is_urgent.or(is_due).await {
                    gateway.clock.sleep(BATCH_DELAY).await;
                }
            }
            let now = gateway.clock.now();
            let load = (now >= next_report).then(|| {
                is_crowded = !self.cell_reports.lock().is_active()
                    && gateway
                        .services
                        .dispatchers()
                        .iter()
                        .any(|dispatcher| dispatcher.is_crowded());
                next_report = now.after(self.interval(is_crowded));
                reports_made = reports_made.wrapping_add(1);
                load_report(&gateway)
            });
            if self.cell_reports.lock().is_active() {
                self.send_in_cells(&gateway, load).await;
                continue;
            }
            self.send_suspects(&gateway).await;
            let includes_remote =
                is_crowded || reports_made.is_multiple_of(LOCAL_REPORTS_PER_REMOTE);
            self.send_reports(&gateway, load, includes_remote, &mut sent_load_to)
                .await;
        }
    }

    fn interval(&self, is_crowded: bool) -> Millis {
        if !is_crowded {
            return LOCAL_REPORT_INTERVAL;
        }
        let gateways = self.others.lock().len() as u64 + 1;
        Millis(CROWDED_REPORT_INTERVAL.0 * gateways.div_ceil(GATEWAYS_PER_CROWDED_INTERVAL))
    }

    async fn send_reports(
        &self,
        gateway: &Gateway,
        load: Option<LoadReport>,
        includes_remote: bool,
        sent_load_to: &mut HashSet<VmId>,
    ) {
        let mut report = GatewayReport {
            from: self.vm.clone(),
            findings: take_findings(gateway),
            suspects: Vec::new(),
            load: None,
        };
        let has_urgent = !report.findings.is_empty();
        let has_load = load.as_ref().is_some_and(|load| !load.in_flight.is_empty());
        // Every gateway gets one of these two datagrams, so each is encoded only once.
        let urgent_kind = ReportKind::of(&report);
        let urgent_datagram = has_urgent.then(|| encode(&report)).flatten();
        let is_due = load.is_some();
        report.load = load;
        let full_datagram = is_due.then(|| encode(&report)).flatten();
        let others = self.others.lock().clone();
        for other in others {
            let is_local = other.data_centre == self.data_centre;
            let is_scheduled = is_due && (is_local || includes_remote);
            // An empty load report is sent only once after a non-empty one, to withdraw it.
            let gets_load = is_scheduled && (has_load || sent_load_to.contains(&other.vm));
            if gets_load && has_load {
                sent_load_to.insert(other.vm.clone());
            } else if gets_load {
                sent_load_to.remove(&other.vm);
            }
            let datagram = if gets_load {
                &full_datagram
            } else {
                &urgent_datagram
            };
            let kind = if gets_load {
                ReportKind::Load
            } else {
                urgent_kind
            };
            if let Some(datagram) = datagram {
                self.send(gateway, kind, other.address, datagram).await;
            }
        }
    }

    /// Sends the reports about requests that crash targets that are due to all gateways.
    async fn send_suspects(&self, gateway: &Gateway) {
        let now = gateway.clock.now();
        let due = {
            let mut resends = self.suspect_resends.lock();
            resends.add(now, gateway.take_suspect_reports());
            resends.due(now)
        };
        let suspects: Vec<SuspectReport> = due.into_values().flatten().collect();
        for suspects in suspects.chunks(MAX_REPORTS) {
            let report = GatewayReport {
                from: self.vm.clone(),
                findings: Vec::new(),
                suspects: suspects.to_vec(),
                load: None,
            };
            let Some(datagram) = encode(&report) else {
                continue;
            };
            let others = self.others.lock().clone();
            for other in others {
                self.send(gateway, ReportKind::Crashes, other.address, &datagram)
                    .await;
            }
        }
    }

    /// Answers a gateway that sent a request to a target which this one refuses.
    async fn send_corrections(&self, gateway: &Gateway, to: &VmId, suspects: Vec<SuspectReport>) {
        let address = {
            let others = self.others.lock();
            let other = others.iter().find(|other| other.vm == *to);
            other.map(|other| other.address)
        };
        let Some(address) = address.filter(|_| !suspects.is_empty()) else {
            return;
        };
        let report = GatewayReport {
            from: self.vm.clone(),
            findings: Vec::new(),
            suspects,
            load: None,
        };
        if let Some(datagram) = encode(&report) {
            self.send(gateway, ReportKind::Crashes, address, &datagram)
                .await;
        }
    }

    async fn send_in_cells(&self, gateway: &Gateway, load: Option<LoadReport>) {
        let reported = Reported {
            findings: take_findings(gateway),
            suspects: gateway.take_suspect_reports(),
            load,
        };
        let now = gateway.clock.now();
        let outgoing = self.cell_reports.lock().outgoing(now, reported);
        self.send_all(gateway, outgoing).await;
    }

    async fn send_all(&self, gateway: &Gateway, outgoing: Vec<Outgoing>) {
        for outgoing in outgoing {
            for to in outgoing.to {
                self.send(gateway, outgoing.kind, to, &outgoing.datagram)
                    .await;
            }
        }
    }

    async fn send(&self, gateway: &Gateway, kind: ReportKind, to: SocketAddr, datagram: &[u8]) {
        let bytes = datagram.len();
        gateway.metrics.record_report("sent", kind.into(), bytes);
        if let Err(error) = self.socket.send_to(datagram, to).await {
            debug!("failed to send a datagram to {to}: {error}");
        }
    }
}

pub(crate) fn encode(report: &GatewayReport) -> Option<Vec<u8>> {
    codec::encode(report, DATAGRAM_LIMIT)
        .inspect_err(|error| warn!(error:% = error; "a report is too long for a datagram"))
        .ok()
}

/// Takes the findings of all services that have not been reported yet.
fn take_findings(gateway: &Gateway) -> Vec<ReportedFinding> {
    let mut findings: Vec<ReportedFinding> = gateway
        .services
        .dispatchers()
        .iter()
        .flat_map(|dispatcher| dispatcher.take_unreported())
        .collect();
    truncate_list(&mut findings, MAX_FINDINGS, "findings");
    findings
}

/// Drops the elements that don't fit into a datagram: findings, or targets with requests in flight.
/// Logged, since the other gateways miss them.
fn truncate_list<T>(list: &mut Vec<T>, max_len: usize, what: &str) {
    if list.len() > max_len {
        warn!(what = what, dropped = list.len() - max_len; "report shortened");
        list.truncate(max_len);
    }
}

fn load_report(gateway: &Gateway) -> LoadReport {
    let mut in_flight: Vec<_> = gateway
        .services
        .dispatchers()
        .iter()
        .flat_map(|dispatcher| dispatcher.load_report().in_flight)
        .collect();
    truncate_list(&mut in_flight, MAX_LOADS, "requests in flight");
    LoadReport { in_flight }
}

/// Applies a report, and returns what its sender has to know of requests that crash targets.
fn apply(gateway: &Gateway, report: &GatewayReport) -> Vec<SuspectReport> {
    gateway
        .services
        .apply_report(&report.from, &report.findings, report.load.as_ref());
    let suspects = report.suspects.iter();
    suspects
        .filter_map(|suspect| gateway.record_suspect(suspect))
        .collect()
}
