//! An operator that publishes versions and reads them back.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Soak;
use super::record::version_of;
use crate::platform_fleet::{FleetAddresses, call};
use crate::wire;

const PAUSE: Duration = Duration::from_millis(300);
/// Pause before an order without a clear answer is sent again.
const RESEND: Duration = Duration::from_millis(50);

/// Starts the operator's thread. Now and then an older version is delivered again, which must be
/// acknowledged and change nothing.
pub fn start(soak: &Arc<Soak>, addresses: &FleetAddresses, seed: u64) -> JoinHandle<()> {
    let (soak, addresses) = (Arc::clone(soak), addresses.clone());
    let rng = ChaCha8Rng::seed_from_u64(seed * 17 + 3);
    thread::spawn(move || operate(&soak, &addresses, rng))
}

fn operate(soak: &Soak, addresses: &FleetAddresses, mut rng: ChaCha8Rng) {
    let mut version = 0;
    while !soak.is_over() {
        version += rng.random_range(1..4);
        publish(soak, addresses, &mut rng, version);
        if let Some(older) = soak.record.acknowledged_before(version)
            && rng.random_range(0..3) == 0
        {
            publish(soak, addresses, &mut rng, older);
        }
        for _ in 0..3 {
            read_back(soak, addresses, &mut rng);
            thread::sleep(PAUSE);
        }
    }
}

fn publish(soak: &Soak, addresses: &FleetAddresses, rng: &mut ChaCha8Rng, version: u32) {
    let document = wire::versioned_document(version);
    while !soak.is_over() {
        let control = addresses.controls[rng.random_range(0..addresses.controls.len())];
        let status = call(control, "PUT", wire::CONFIG, &document).map(|response| response.status);
        match status {
            Some(200) => {
                soak.record.note_acknowledged(version);
                return;
            }
            Some(status) if (400..500).contains(&status) && status != 408 && status != 429 => {
                soak.record
                    .violate(format!("version {version} was refused with {status}"));
                return;
            }
            _ => thread::sleep(RESEND),
        }
    }
}

/// What a keeper answers must be as new as what was acknowledged before the question.
fn read_back(soak: &Soak, addresses: &FleetAddresses, rng: &mut ChaCha8Rng) {
    let acknowledged = soak.record.newest_acknowledged();
    let control = addresses.controls[rng.random_range(0..addresses.controls.len())];
    let Some(response) = call(control, "GET", wire::CONFIG, "") else {
        return;
    };
    if response.status == 200 && version_of(&response.body) < acknowledged {
        let version = version_of(&response.body);
        soak.record.violate(format!(
            "{control} read back version {version} after {acknowledged} was acknowledged"
        ));
    }
}
