//! Checks which version of the configuration is in force on each gateway; each version has its own
//! path.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::Soak;
use super::schedule::Role;
use crate::platform_fleet::{FleetAddresses, send_to};

const CHECK_INTERVAL: Duration = Duration::from_millis(80);
/// Time after its acknowledgement within which a version must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Newest version seen in force on a gateway.
#[derive(Clone, Copy)]
struct Seen {
    version: u32,
    at: Instant,
}

/// Starts the thread that checks one gateway.
pub fn start(soak: &Arc<Soak>, addresses: &FleetAddresses, gateway: u8) -> JoinHandle<()> {
    let (soak, addresses) = (Arc::clone(soak), addresses.clone());
    thread::spawn(move || check_versions(&soak, &addresses, gateway))
}

fn check_versions(soak: &Soak, addresses: &FleetAddresses, gateway: u8) {
    let address = addresses.gateways[usize::from(gateway)];
    let is_in_force = |version: u32| {
        let path = format!("/v{version}/probe");
        send_to(address, "POST", &path) == Some(200)
    };
    let mut seen: Option<Seen> = None;
    while !soak.is_over() {
        thread::sleep(CHECK_INTERVAL);
        let newest = soak.record.newest_acknowledged();
        let asked_at = Instant::now();
        if newest > 0 && is_in_force(newest) {
            seen = Some(Seen {
                version: newest,
                at: asked_at,
            });
        }
        let Some(newest_seen) = seen else {
            continue;
        };
        let Some(older) = soak.record.last_acknowledged_below(newest_seen.version) else {
            continue;
        };
        if !is_in_force(older) {
            continue;
        }
        // A restarted gateway begins with the first version that it is sent, which may be older.
        let is_this_gateway = |role, number| role == Role::Gateway && number == gateway;
        if soak.record.had_fault_since(newest_seen.at, is_this_gateway) {
            seen = None;
        } else {
            soak.record.record_violation(format!(
                "gateway {gateway} went back from version {} to {older}",
                newest_seen.version
            ));
        }
        let is_overdue = soak
            .record
            .was_acknowledged_for(newest_seen.version, IN_FORCE_LIMIT);
        let from = asked_at
            .checked_sub(super::record::FAULT_FREE_TIME)
            .unwrap_or(asked_at);
        if is_overdue
            && !soak
                .record
                .had_fault_since(from, |role, _| role != Role::Target)
        {
            soak.record.record_violation(format!(
                "gateway {gateway} serves version {older} long after {} was acknowledged",
                newest_seen.version
            ));
        }
    }
}
