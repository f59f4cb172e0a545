//! Guards what gateways tell each other, by sockets that stand in for two others.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::UdpSocket;
use async_std::task::{self, block_on};
use auburnbridge_gateway::{GatewayReport, Neighbours};
use auburnbridge_messages::GatewayLocation;
use auburnbridge_peer::codec;
use auburnbridge_policy::balance::Finding;
use auburnbridge_types::ByteSize;

use crate::targets::{Act, listen, send, start_gateway, start_target};

const LONGEST_WAIT: Duration = Duration::from_secs(5);

fn location(vm: &str, data_centre: &str, socket: &UdpSocket) -> GatewayLocation {
    GatewayLocation {
        vm: vm.parse().unwrap(),
        address: socket.local_addr().unwrap(),
        data_centre: data_centre.parse().unwrap(),
    }
}

/// The reports up to the one with a finding.
async fn reports_to_first_finding(socket: UdpSocket) -> Vec<GatewayReport> {
    let mut reports: Vec<GatewayReport> = Vec::new();
    let mut buf = [0; 1_400];
    while reports.last().is_none_or(|last| last.findings.is_empty()) {
        let (length, _) = timeout(LONGEST_WAIT, socket.recv_from(&mut buf))
            .await
            .unwrap()
            .unwrap();
        reports.push(codec::decode(&buf[..length], ByteSize(1_400)).unwrap());
    }
    reports
}

/// Guards against gateways that don't hear of a failing target or of the slots that are taken, and
/// against reports of requests in flight that cross data centres each time.
#[test]
fn findings_go_to_all_and_loads_mostly_within_the_data_centre() {
    block_on(async {
        let silent = start_target("t-silent", Act::Hang).await;
        let gateway = start_gateway(&[&silent]);
        let address = listen(&gateway).await;
        let near = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let far = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own = Neighbours::bind(
            "gateway-1".parse().unwrap(),
            "north".parse().unwrap(),
            "127.0.0.1:0".parse().unwrap(),
        );
        let own = Arc::new(own.await.unwrap());
        let others = vec![
            location("gateway-2", "north", &near),
            location("gateway-3", "south", &far),
        ];
        assert_eq!(own.set_gateways(others).len(), 2);
        let request = task::spawn(async move { send(address, "/order/1", 1_000).await });
        let telling = task::spawn(own.tell(gateway));
        let near = reports_to_first_finding(near).await;
        let far = reports_to_first_finding(far).await;
        assert_eq!(request.await.status, 504);
        for reports in [&near, &far] {
            let findings = &reports.last().unwrap().findings;
            assert_eq!(findings[0].finding, Finding::Silent);
        }
        let loads = |reports: &[GatewayReport]| -> Vec<u8> {
            let loads = reports.iter().filter_map(|report| report.load.as_ref());
            loads
                .flat_map(|load| load.in_flight.iter().map(|load| load.in_flight))
                .collect()
        };
        assert!(loads(&near).iter().all(|in_flight| *in_flight == 1));
        assert!(loads(&near).len() > loads(&far).len());
        telling.cancel().await;
    });
}
