//! What gateways tell each other, in datagrams that may be lost.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::UdpSocket;
use auburnbridge_messages::GatewayLocation;
use auburnbridge_peer::codec;
use auburnbridge_policy::CrashReport;
use auburnbridge_policy::balance::{GatewayPlace, LoadReport, ReportedFinding};
use auburnbridge_types::{ByteSize, DataCentre, Millis, VmId};
use futures_lite::FutureExt;
use log::{debug, warn};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::gateway::Gateway;

/// Longest datagram; a larger one would be fragmented.
const DATAGRAM_LIMIT: ByteSize = ByteSize(1_400);
/// Room for a received datagram, above the limit so that a longer one is seen to be longer.
const RECEIVE_BYTES: usize = 2_800;
/// Findings in one datagram.
const MOST_FINDINGS: usize = 64;
/// Targets with requests in flight in one datagram.
const MOST_LOADS: usize = 128;
/// Interval of the reports of requests in flight within a data centre.
const NEAR_INTERVAL: Millis = Millis(100);
/// Reports within a data centre for each one to the others, whose targets are used as a reserve.
const REPORTS_PER_FAR: u32 = 8;
/// Interval of the reports to all while a service is crowded, for so many gateways; it grows with
/// their number.
const CROWDED_INTERVAL: Millis = Millis(40);
const CROWDED_GATEWAYS: u64 = 16;
/// Pause between two datagrams with findings, which gathers those of one event.
const GATHER: Millis = Millis(2);

/// What one gateway tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// The sender's VM.
    pub from: VmId,
    /// What it found out about targets.
    pub findings: Vec<ReportedFinding>,
    /// Requests that crashed a target.
    pub crashes: Vec<CrashReport>,
    /// What it has in flight, in some of the reports.
    pub load: Option<LoadReport>,
}

/// The other gateways.
pub struct Neighbours {
    vm: VmId,
    data_centre: DataCentre,
    socket: UdpSocket,
    others: Mutex<Vec<GatewayLocation>>,
}

impl Neighbours {
    /// Binds the socket for datagrams of other gateways.
    pub async fn bind(
        vm: VmId,
        data_centre: DataCentre,
        address: SocketAddr,
    ) -> std::io::Result<Self> {
        Ok(Self {
            vm,
            data_centre,
            socket: UdpSocket::bind(address).await?,
            others: Mutex::default(),
        })
    }

    /// Takes over the gateways that are running; gives those that are not this one.
    pub fn set_gateways(&self, mut gateways: Vec<GatewayLocation>) -> Vec<GatewayPlace> {
        gateways.retain(|gateway| gateway.vm != self.vm);
        let places = gateways
            .iter()
            .map(|gateway| GatewayPlace {
                vm: gateway.vm.clone(),
                data_centre: gateway.data_centre.clone(),
            })
            .collect();
        *self.others.lock() = gateways;
        places
    }

    /// Takes in the reports of the others until the process ends.
    pub async fn receive(self: Arc<Self>, gateway: Arc<Gateway>) {
        let mut buf = vec![0; RECEIVE_BYTES];
        loop {
            let length = match self.socket.recv_from(&mut buf).await {
                Ok((length, _)) => length,
                Err(error) => {
                    // A datagram to a gateway that has ended comes back as an error.
                    debug!("can't receive a datagram: {error}");
                    gateway.clock.sleep(GATHER).await;
                    continue;
                }
            };
            match codec::decode::<GatewayReport>(&buf[..length], DATAGRAM_LIMIT) {
                Ok(report) => take(&gateway, report),
                Err(error) => debug!("refused a datagram: {error}"),
            }
        }
    }

    /// Tells the others of findings at once and of requests in flight at intervals.
    pub async fn tell(self: Arc<Self>, gateway: Arc<Gateway>) {
        let mut turn: u32 = 0;
        let mut next_report = gateway.clock.now();
        let mut is_crowded = false;
        let mut told: HashSet<VmId> = HashSet::new();
        loop {
            let news = gateway.news.listen();
            let now = gateway.clock.now();
            let wait = next_report.since(now);
            if wait > Millis(0) {
                let is_news = async {
                    news.await;
                    true
                };
                let is_due = async {
                    gateway.clock.sleep(wait).await;
                    false
                };
                if is_news.or(is_due).await {
                    gateway.clock.sleep(GATHER).await;
                }
            }
            let now = gateway.clock.now();
            let load = (now >= next_report).then(|| {
                is_crowded = gateway
                    .services
                    .gates()
                    .iter()
                    .any(|gate| gate.is_crowded());
                next_report = now.after(self.interval(is_crowded));
                turn = turn.wrapping_add(1);
                load_of(&gateway)
            });
            let is_far_turn = is_crowded || turn.is_multiple_of(REPORTS_PER_FAR);
            self.send_reports(&gateway, load, is_far_turn, &mut told)
                .await;
        }
    }

    fn interval(&self, is_crowded: bool) -> Millis {
        if !is_crowded {
            return NEAR_INTERVAL;
        }
        let gateways = self.others.lock().len() as u64 + 1;
        Millis(CROWDED_INTERVAL.0 * gateways.div_ceil(CROWDED_GATEWAYS))
    }

    async fn send_reports(
        &self,
        gateway: &Gateway,
        load: Option<LoadReport>,
        is_far_turn: bool,
        told: &mut HashSet<VmId>,
    ) {
        let mut findings: Vec<ReportedFinding> = gateway
            .services
            .gates()
            .iter()
            .flat_map(|gate| gate.take_unreported())
            .collect();
        shorten(&mut findings, MOST_FINDINGS, "findings");
        let mut report = GatewayReport {
            from: self.vm.clone(),
            findings,
            crashes: gateway.take_unreported_crashes(),
            load: None,
        };
        let has_news = !report.findings.is_empty() || !report.crashes.is_empty();
        let has_load = load.as_ref().is_some_and(|load| !load.in_flight.is_empty());
        // All gateways get one of these two, so each is encoded once.
        let news = has_news.then(|| encode(&report)).flatten();
        let is_due = load.is_some();
        report.load = load;
        let news_and_load = is_due.then(|| encode(&report)).flatten();
        let others = self.others.lock().clone();
        for other in others {
            let is_near = other.data_centre == self.data_centre;
            let is_in_turn = is_due && (is_near || is_far_turn);
            // An empty report is news only after one that was not.
            let gets_load = is_in_turn && (has_load || told.contains(&other.vm));
            if gets_load && has_load {
                told.insert(other.vm.clone());
            } else if gets_load {
                told.remove(&other.vm);
            }
            let datagram = if gets_load { &news_and_load } else { &news };
            if let Some(datagram) = datagram {
                self.send(other.address, datagram).await;
            }
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Err(error) = self.socket.send_to(datagram, to).await {
            debug!("can't send a datagram to {to}: {error}");
        }
    }
}

fn encode(report: &GatewayReport) -> Option<Vec<u8>> {
    codec::encode(report, DATAGRAM_LIMIT)
        .inspect_err(|error| warn!(error:% = error; "a report is too long for a datagram"))
        .ok()
}

/// Drops what has no room in a datagram; the log says so, since other gateways don't hear of it.
fn shorten<T>(list: &mut Vec<T>, most: usize, what: &str) {
    if list.len() > most {
        warn!(what = what, dropped = list.len() - most; "report shortened");
        list.truncate(most);
    }
}

fn load_of(gateway: &Gateway) -> LoadReport {
    let mut in_flight: Vec<_> = gateway
        .services
        .gates()
        .iter()
        .flat_map(|gate| gate.load_report().in_flight)
        .collect();
    shorten(&mut in_flight, MOST_LOADS, "requests in flight");
    LoadReport { in_flight }
}

fn take(gateway: &Gateway, report: GatewayReport) {
    gateway
        .services
        .hear(&report.from, &report.findings, report.load.as_ref());
    for crash in report.crashes {
        gateway.record_crash(crash);
    }
}
