//! Measures target selection and placement for one service.

use auburnbridge_policy::{EjectionPolicy, Fleet, Member, Observation, RequestClass};
use auburnbridge_types::{Millis, Slots};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{self, START};
use crate::measure::{Metric, Report, heap_bytes, nanos_per_call};

pub const SIZES: [u32; 4] = [6, 25, 54, 200];

pub const CHOOSE: Metric = metric("D1", "choose a target and finish the request", "µs");
pub const PLACE: Metric = metric("D2", "take over the members and decide", "µs");
pub const MEMORY: Metric = metric("D3", "heap of a fleet", "B");

const fn metric(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "targets",
        unit,
    }
}

pub fn measure(report: &mut Report) {
    for targets in SIZES {
        let members: Vec<Member> = (0..targets).map(fixtures::member).collect();
        let (mut fleet, bytes) = heap_bytes(|| {
            let policy = EjectionPolicy::builder().floor(Slots(targets)).build();
            let mut fleet = Fleet::new(policy);
            fleet.reconcile(START, &members);
            fleet
        });
        report.record(MEMORY, targets, bytes);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let choose = nanos_per_call(|| {
            let choice = fleet.choose(START, RequestClass::Once, &[], &mut rng);
            let key = choice.expect("targets are in use").key;
            fleet.finish(START, key, Observation::Answered(Millis(12)))
        });
        report.record(CHOOSE, targets, choose / 1e3);
        let place = nanos_per_call(|| {
            fleet.reconcile(START, &members);
            fleet.tick(START)
        });
        report.record(PLACE, targets, place / 1e3);
    }
}
