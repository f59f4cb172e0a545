//! Tests the reports between gateways, with sockets in place of two other gateways.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::UdpSocket;
use async_std::task::{self, block_on};
use auburnbridge_gateway::{GatewayReport, GatewayReporter};
use auburnbridge_messages::GatewayLocation;
use auburnbridge_peer::codec;
use auburnbridge_policy::balance::Finding;
use auburnbridge_types::ByteSize;

use crate::targets::{Behaviour, listen, send, start_gateway, start_target};

const MAX_WAIT: Duration = Duration::from_secs(5);

fn location(vm: &str, data_centre: &str, socket: &UdpSocket) -> GatewayLocation {
    GatewayLocation {
        vm: vm.parse().unwrap(),
        address: socket.local_addr().unwrap(),
        data_centre: data_centre.parse().unwrap(),
    }
}

/// Receives reports up to and including the first one with a finding.
async fn reports_to_first_finding(socket: UdpSocket) -> Vec<GatewayReport> {
    let mut reports: Vec<GatewayReport> = Vec::new();
    let mut buf = [0; 1_400];
    while reports.last().is_none_or(|last| last.findings.is_empty()) {
        let (length, _) = timeout(MAX_WAIT, socket.recv_from(&mut buf))
            .await
            .unwrap()
            .unwrap();
        reports.push(codec::decode(&buf[..length], ByteSize(1_400)).unwrap());
    }
    reports
}

/// Guards against gateways that receive no findings about a failing target or no load reports, and
/// against load reports that are all sent to other data centres as well.
#[test]
fn findings_reach_all_gateways_and_load_reports_mostly_local_ones() {
    block_on(async {
        let silent = start_target("t-silent", Behaviour::Hang).await;
        let gateway = start_gateway(&[&silent]);
        let address = listen(&gateway).await;
        let local = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let remote = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let reporter = GatewayReporter::bind(
            "gateway-1".parse().unwrap(),
            "north".parse().unwrap(),
            "127.0.0.1:0".parse().unwrap(),
        );
        let reporter = Arc::new(reporter.await.unwrap());
        let others = vec![
            location("gateway-2", "north", &local),
            location("gateway-3", "south", &remote),
        ];
        assert_eq!(reporter.set_gateways(others).len(), 2);
        let request = task::spawn(async move { send(address, "/order/1", 1_000).await });
        let broadcasting = task::spawn(reporter.broadcast(gateway));
        let local = reports_to_first_finding(local).await;
        let remote = reports_to_first_finding(remote).await;
        assert_eq!(request.await.status, 504);
        for reports in [&local, &remote] {
            let findings = &reports.last().unwrap().findings;
            assert_eq!(findings[0].finding, Finding::Silent);
        }
        let loads = |reports: &[GatewayReport]| -> Vec<u8> {
            let loads = reports.iter().filter_map(|report| report.load.as_ref());
            loads
                .flat_map(|load| load.in_flight.iter().map(|load| load.in_flight))
                .collect()
        };
        assert!(loads(&local).iter().all(|in_flight| *in_flight == 1));
        assert!(loads(&local).len() > loads(&remote).len());
        broadcasting.cancel().await;
    });
}
