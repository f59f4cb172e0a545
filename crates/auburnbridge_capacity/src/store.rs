//! Measures the durable log: syncs, bytes on disk and recovery, in a real folder.
//!
//! The folder is created in the system's temporary folder; set `TMPDIR` to measure another disk.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use auburnbridge_ledger::Command;
use auburnbridge_log::{LogIndex, Payload, Record, Term};
use auburnbridge_store::Store;
use tempfile::TempDir;

use crate::fixtures::{self, log_time};
use crate::measure::{Metric, Report, nanos_once, wall_seconds};

const BATCH_SIZES: [u32; 4] = [1, 10, 100, 1_000];
const SYNCS: u32 = 20;
const RECOVERY_SIZES: [u32; 3] = [1_000, 10_000, 100_000];

pub const SYNC: Metric = Metric {
    id: "S1",
    name: "append a batch and sync it, wall time",
    size_unit: "records",
    unit: "ms",
};
pub const DISK: Metric = recovery("S2", "log on disk, half grants and half conclusions", "B");
pub const RECOVER_WALL: Metric = recovery("S3", "open the folder, wall time", "ms");
pub const RECOVER_CPU: Metric = recovery("S4", "open the folder, CPU", "ms");

const fn recovery(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "records",
        unit,
    }
}

pub fn measure(report: &mut Report) {
    for batch in BATCH_SIZES {
        let folder = TempDir::new().expect("a temporary folder can be created");
        let (mut store, _) = Store::open(folder.path()).expect("the folder opens");
        let batches: Vec<Vec<Record>> = (0..SYNCS)
            .map(|number| records(number * batch, batch))
            .collect();
        let ((), seconds) = wall_seconds(|| {
            for records in &batches {
                store.append(records).expect("the disk has room");
                store.sync().expect("the disk syncs");
            }
        });
        report.record(SYNC, batch, seconds * 1e3 / f64::from(SYNCS));
    }
    for count in RECOVERY_SIZES {
        let folder = TempDir::new().expect("a temporary folder can be created");
        let (mut store, _) = Store::open(folder.path()).expect("the folder opens");
        store.append(&records(0, count)).expect("the disk has room");
        store.sync().expect("the disk syncs");
        drop(store);
        report.record(DISK, count, folder_bytes(folder.path()));
        let ((recovered, cpu), wall) =
            wall_seconds(|| nanos_once(|| Store::open(folder.path()).expect("the folder opens").1));
        assert_eq!(
            recovered.records.len(),
            count as usize,
            "all records are recovered"
        );
        report.record(RECOVER_WALL, count, wall * 1e3);
        report.record(RECOVER_CPU, count, cpu / 1e6);
    }
}

/// Returns records that alternate between the grant and the conclusion of a key.
fn records(first: u32, count: u32) -> Vec<Record> {
    (first..first + count)
        .map(|number| {
            let key = number / 2;
            let command: Command = if number.is_multiple_of(2) {
                fixtures::grant(key)
            } else {
                fixtures::conclude(key)
            };
            let data = postcard::to_stdvec(&command).expect("the command can be encoded");
            Record {
                index: LogIndex(u64::from(number) + 1),
                term: Term(1),
                time: log_time(key),
                payload: Payload::Data(Arc::from(data)),
            }
        })
        .collect()
}

fn folder_bytes(folder: &Path) -> f64 {
    let files = fs::read_dir(folder).expect("the folder can be listed");
    let bytes: u64 = files
        .flatten()
        .filter_map(|file| file.metadata().ok())
        .map(|metadata| metadata.len())
        .sum();
    bytes as f64
}
