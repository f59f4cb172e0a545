//! An operator that publishes versions of the configuration and reads them back.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Soak;
use super::record::version_of;
use crate::platform_fleet::{FleetAddresses, call};
use crate::wire;

const READ_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before a version without a final answer is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(50);

/// Starts the operator's thread. After a third of the versions it sends an older version again, which
/// must be acknowledged and change nothing.
pub fn start(soak: &Arc<Soak>, addresses: &FleetAddresses, seed: u64) -> JoinHandle<()> {
    let (soak, addresses) = (Arc::clone(soak), addresses.clone());
    let rng = ChaCha8Rng::seed_from_u64(seed * 17 + 3);
    thread::spawn(move || run_operator(&soak, &addresses, rng))
}

fn run_operator(soak: &Soak, addresses: &FleetAddresses, mut rng: ChaCha8Rng) {
    let mut version = 0;
    while !soak.is_over() {
        version += rng.random_range(1..4);
        publish(soak, addresses, &mut rng, version);
        if let Some(older) = soak.record.last_acknowledged_below(version)
            && rng.random_range(0..3) == 0
        {
            publish(soak, addresses, &mut rng, older);
        }
        for _ in 0..3 {
            read_back(soak, addresses, &mut rng);
            thread::sleep(READ_INTERVAL);
        }
    }
}

fn publish(soak: &Soak, addresses: &FleetAddresses, rng: &mut ChaCha8Rng, version: u32) {
    let document = wire::versioned_document(version);
    while !soak.is_over() {
        let control = addresses.pick_control(rng);
        let status = call(control, "PUT", wire::CONFIG, &document).map(|response| response.status);
        match status {
            Some(200) => {
                soak.record.record_acknowledged(version);
                return;
            }
            Some(status) if (400..500).contains(&status) && status != 408 && status != 429 => {
                soak.record
                    .record_violation(format!("version {version} was refused with {status}"));
                return;
            }
            _ => thread::sleep(RESEND_DELAY),
        }
    }
}

/// Checks that a keeper returns a version at least as new as the newest one that was acknowledged
/// before the request.
fn read_back(soak: &Soak, addresses: &FleetAddresses, rng: &mut ChaCha8Rng) {
    let acknowledged = soak.record.newest_acknowledged();
    let control = addresses.pick_control(rng);
    let Some(response) = call(control, "GET", wire::CONFIG, "") else {
        return;
    };
    if response.status == 200 && version_of(&response.body) < acknowledged {
        let version = version_of(&response.body);
        soak.record.record_violation(format!(
            "{control} read back version {version} after {acknowledged} was acknowledged"
        ));
    }
}
