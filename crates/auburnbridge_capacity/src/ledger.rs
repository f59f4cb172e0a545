//! Measures the ledger: commands, memory and snapshots.

use auburnbridge_ledger::{Ledger, Limits, Reply};
use auburnbridge_types::ByteSize;

use crate::fixtures::{self, log_time};
use crate::measure::{Metric, Report, heap_bytes, nanos_once, nanos_per_call};

pub const SIZES: [u32; 3] = [1_000, 100_000, 1_000_000];
/// Maximum number of keys whose commands are timed.
const MAX_TIMED: u32 = 10_000;
/// Higher than the default limits, which the largest size reaches.
const LIMITS: Limits = Limits {
    max_records: 4_000_000,
    max_stored_size: ByteSize(4 << 30),
};

pub const APPLY: Metric = metric("L1", "grant and conclude of one key", "µs");
pub const MEMORY: Metric = metric("L2", "heap, with answers of 256 B", "B");
pub const SNAPSHOT_BYTES: Metric = metric("L3", "snapshot", "B");
pub const SNAPSHOT_TIME: Metric = metric("L4", "take a snapshot", "ms");
pub const RESTORE_TIME: Metric = metric("L5", "restore a snapshot", "ms");

const fn metric(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "keys",
        unit,
    }
}

pub fn measure(report: &mut Report) {
    for keys in SIZES {
        let ((ledger, apply), bytes) = heap_bytes(|| fill(keys));
        report.record(APPLY, keys, apply / 1e3);
        report.record(MEMORY, keys, bytes);
        let mut snapshot = ledger.snapshot();
        report.record(SNAPSHOT_BYTES, keys, snapshot.len() as f64);
        let take = nanos_per_call(|| snapshot = ledger.snapshot());
        report.record(SNAPSHOT_TIME, keys, take / 1e6);
        let restore = nanos_per_call(|| {
            Ledger::restore(&snapshot)
                .expect("the snapshot is complete")
                .len()
        });
        report.record(RESTORE_TIME, keys, restore / 1e6);
    }
}

/// Returns a ledger with `keys` concluded keys and the mean nanoseconds per key of the last ones.
///
/// The commands are timed before any snapshot is restored: memory freed in small pieces slows down
/// later calls of the allocator, which would distort the cost of the ledger.
fn fill(keys: u32) -> (Ledger, f64) {
    let mut ledger = Ledger::new(LIMITS);
    let timed = MAX_TIMED.min(keys / 2);
    for number in 0..keys - timed {
        let granted = ledger.apply(log_time(number), fixtures::grant(number));
        assert_eq!(granted, Reply::Granted, "the key is new");
        let concluded = ledger.apply(log_time(number), fixtures::conclude(number));
        assert_eq!(concluded, Reply::Done, "the attempt holds the key");
    }
    let commands: Vec<_> = (keys - timed..keys)
        .map(|number| (number, fixtures::grant(number), fixtures::conclude(number)))
        .collect();
    let ((), nanos) = nanos_once(|| {
        for (number, grant, conclude) in commands {
            ledger.apply(log_time(number), grant);
            ledger.apply(log_time(number), conclude);
        }
    });
    assert_eq!(ledger.len(), keys as usize, "every key was granted");
    (ledger, nanos / f64::from(timed))
}
