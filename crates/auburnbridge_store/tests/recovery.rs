//! Recovery after a crash at each file operation, and detection of damaged files.

use std::sync::Arc;

use auburnbridge_log::{
    HardState, LogIndex, Members, Payload, Persist, Record, RecoveredState, ReplicaId, Snapshot,
    SnapshotMeta, Term,
};
use auburnbridge_store::{Files, MemoryFiles, OsFiles, Store, StoreError};
use auburnbridge_types::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Random numbers that depend only on the seed.
struct SeededRng(u64);

impl SeededRng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed ^ (mixed >> 27)
    }

    fn below(&mut self, limit: usize) -> usize {
        usize::try_from(self.next() % limit as u64).unwrap()
    }
}

/// Expected content of the folder.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard: HardState,
    snapshot: Option<Snapshot>,
    records: Vec<Record>,
}

impl Model {
    fn start(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.meta.index.0)
    }

    fn last(&self) -> u64 {
        self.start() + self.records.len() as u64
    }

    fn apply(&mut self, persist: &Persist) {
        if let Some(hard) = &persist.hard_state {
            self.hard = hard.clone();
        }
        if let Some(snapshot) = &persist.snapshot {
            let meta = &snapshot.meta;
            let fits = self
                .records
                .iter()
                .any(|record| (record.index, record.term) == (meta.index, meta.term));
            if !fits {
                self.records.clear();
            }
            self.records.retain(|record| record.index > meta.index);
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(from) = persist.truncate_from {
            self.records.retain(|record| record.index < from);
        }
        self.records.extend(persist.records.iter().cloned());
    }

    /// Draws the next write: a vote, new records, a replaced suffix, a snapshot of the own log or
    /// one received from another replica.
    fn next_write(&self, rng: &mut SeededRng) -> Persist {
        let mut persist = Persist::default();
        let mut term = self.hard.term;
        let mut last = self.last();
        match rng.below(10) {
            0 => {
                term = term.next();
                persist.hard_state = Some(HardState {
                    term,
                    vote: Some(ReplicaId(rng.next().into())),
                    ..self.hard.clone()
                });
            }
            1 if !self.records.is_empty() => {
                term = term.next();
                let dropped = 1 + rng.below(self.records.len().min(6)) as u64;
                last -= dropped;
                persist.truncate_from = Some(LogIndex(last + 1));
                persist.hard_state = Some(HardState {
                    term,
                    ..self.hard.clone()
                });
            }
            2 if !self.records.is_empty() => {
                let record = &self.records[rng.below(self.records.len())];
                persist.snapshot = Some(snapshot(record.index, record.term));
            }
            3 => {
                term = term.next();
                last += rng.below(4) as u64;
                last = last.max(self.start() + 1);
                persist.truncate_from = Some(LogIndex(last + 1));
                persist.snapshot = Some(snapshot(LogIndex(last), term));
                persist.hard_state = Some(HardState {
                    term,
                    ..self.hard.clone()
                });
            }
            _ => {}
        }
        for index in last + 1..=last + rng.below(4) as u64 {
            let data = vec![7; rng.below(90)];
            persist.records.push(record(index, term, data));
        }
        persist
    }
}

fn record(index: u64, term: Term, data: Vec<u8>) -> Record {
    Record {
        index: LogIndex(index),
        term,
        time: Timestamp(index),
        payload: Payload::Data(data.into()),
    }
}

fn snapshot(index: LogIndex, term: Term) -> Snapshot {
    Snapshot {
        meta: SnapshotMeta {
            index,
            term,
            time: Timestamp(index.0),
            members: Members::default(),
        },
        data: Arc::from(index.0.to_le_bytes()),
    }
}

fn open(files: &MemoryFiles, rng: &mut SeededRng) -> Result<(Store, RecoveredState), StoreError> {
    let random = || (u128::from(rng.next()) << 64) | u128::from(rng.next());
    let (mut store, recovered) = Store::open_files(Box::new(files.clone()), random)?;
    // With small segments, the crash points include the creation and removal of segments.
    store.set_segment_bytes(400);
    Ok((store, recovered))
}

/// Performs `writes` writes, or fewer if the process stops. Returns the expected states before and
/// after the interrupted write; they are equal if none was interrupted.
fn write_until_stopped(files: &MemoryFiles, writes: usize, seed: u64) -> (Model, Model) {
    let mut rng = SeededRng(seed);
    let mut model = Model::default();
    let Ok((mut store, recovered)) = open(files, &mut rng) else {
        return (model.clone(), model);
    };
    model.hard = recovered.hard_state;
    for _ in 0..writes {
        let persist = model.next_write(&mut rng);
        let before = model.clone();
        model.apply(&persist);
        if store.persist(&persist).is_err() {
            assert!(
                matches!(store.sync(), Err(StoreError::Unusable)),
                "a store must refuse all operations after a failed write or sync"
            );
            return (before, model);
        }
    }
    (model.clone(), model)
}

/// Checks that the recovered state has every synced change and nothing that was never written.
fn check_recovered(recovered: &RecoveredState, before: &Model, after: &Model) {
    let hard = (recovered.hard_state.term, recovered.hard_state.vote);
    let known = [before, after].map(|model| (model.hard.term, model.hard.vote));
    assert!(
        known.contains(&hard),
        "recovered term and vote {hard:?}, expected one of {known:?}"
    );
    let snapshots = [&before.snapshot, &after.snapshot];
    assert!(
        snapshots.contains(&&recovered.snapshot),
        "recovered a snapshot that was never written"
    );
    let start = recovered
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.meta.index.0);
    let after_start = |model: &Model| -> Vec<Record> {
        let records = model.records.iter().filter(|record| record.index.0 > start);
        records.cloned().collect()
    };
    let (old, new) = (after_start(before), after_start(after));
    let found = &recovered.records;
    let common = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let replaced = recovered.snapshot != before.snapshot && !old.is_empty() && new.is_empty();
    assert!(
        replaced || found.len() >= common,
        "a synced record is missing"
    );
    assert!(
        old.starts_with(found) || new.starts_with(found),
        "recovered a record that was never written: found {found:?}, old {old:?}, new {new:?}"
    );
}

/// Stops at `operation`, crashes and checks the recovery, which is itself interrupted three times.
fn check_crash_at(operation: u64, writes: usize, seed: u64) {
    let files = MemoryFiles::new();
    files.fail_from(operation);
    let (before, after) = write_until_stopped(&files, writes, seed);
    let mut rng = SeededRng(operation ^ seed);
    let mut files = files.crash(|limit| rng.below(limit));
    for stop in 1..4 {
        files.fail_from(files.operations() + stop);
        let _ = open(&files, &mut rng);
        files = files.crash(|limit| rng.below(limit));
    }
    let (mut store, recovered) =
        open(&files, &mut rng).expect("a folder can be opened after a crash");
    check_recovered(&recovered, &before, &after);
    let mut model = Model {
        hard: recovered.hard_state,
        snapshot: recovered.snapshot,
        records: recovered.records,
    };
    let persist = model.next_write(&mut rng);
    store
        .persist(&persist)
        .expect("a recovered folder can be written to");
    model.apply(&persist);
    let files = files.crash(|_| 0);
    let (_, recovered) =
        open(&files, &mut rng).expect("a folder can be opened after a second crash");
    check_recovered(&recovered, &model, &model);
}

/// Guards against a crash point after which a synced change is lost, a change appears that was
/// never written, or the folder can't be opened.
#[test]
fn recovers_from_a_crash_at_each_operation() {
    for seed in 0..6 {
        let files = MemoryFiles::new();
        write_until_stopped(&files, 40, seed);
        for operation in 1..=files.operations() {
            check_crash_at(operation, 40, seed);
        }
    }
}

/// Guards against a recovery that works only for short logs.
#[test]
fn recovers_from_a_crash_after_a_thousand_writes() {
    let seed = 1;
    let files = MemoryFiles::new();
    write_until_stopped(&files, 1_000, seed);
    let end = files.operations();
    for operation in end - 40..=end + 1 {
        check_crash_at(operation, 1_000, seed);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1), cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Covers sequences of writes that the fixed seeds above don't reach.
    #[test]
    fn recovers_from_any_crash(seed: u64, operation in 1..300_u64) {
        check_crash_at(operation, 80, seed);
    }
}

fn folder_with_synced_records(count: u64) -> MemoryFiles {
    let files = MemoryFiles::new();
    let (mut store, _) = open(&files, &mut SeededRng(9)).unwrap();
    store.set_segment_bytes(1 << 20);
    for index in 1..=count {
        store
            .append(&[record(index, Term(1), vec![3; 20])])
            .unwrap();
        store.sync().unwrap();
    }
    files.crash(|_| 0)
}

/// Guards against opening a folder whose log, identity or hard state is damaged.
#[test]
fn refuses_damaged_files() {
    let cases = [
        ("identity", 10),
        ("identity", 0),
        ("hard-state", 9),
        ("hard-state", 30),
        ("log-00000000000000000001", 2),
        ("log-00000000000000000001", 8),
        ("log-00000000000000000001", 12),
        ("log-00000000000000000001", 300),
    ];
    for (name, offset) in cases {
        let files = folder_with_synced_records(20);
        files.damage(name, offset);
        let error = open(&files, &mut SeededRng(2))
            .err()
            .expect("damage must be refused");
        match error {
            StoreError::Damaged {
                file, offset: at, ..
            } => {
                assert_eq!(file, name);
                assert!(
                    at <= offset as u64,
                    "{name}: reported offset {at} is after the damage at {offset}"
                );
            }
            other => panic!("{name} damaged at {offset}: unexpected error: {other}"),
        }
    }
}

/// Guards against a torn last write, of any length, that prevents the replica from starting.
#[test]
fn truncates_a_torn_tail() {
    let whole = folder_with_synced_records(4)
        .read("log-00000000000000000001")
        .unwrap();
    let shorter = folder_with_synced_records(3)
        .read("log-00000000000000000001")
        .unwrap();
    for length in shorter.len()..whole.len() {
        let mut files = folder_with_synced_records(3);
        files
            .append("log-00000000000000000001", &whole[shorter.len()..length])
            .unwrap();
        files.sync("log-00000000000000000001").unwrap();
        let (_, recovered) = open(&files, &mut SeededRng(2)).expect("a torn tail is truncated");
        assert_eq!(recovered.records.len(), 3, "length {length}");
    }
}

/// Guards against decoding a newer file format as if it were the current one.
#[test]
fn refuses_a_newer_version() {
    for name in ["identity", "hard-state", "log-00000000000000000001"] {
        let mut files = folder_with_synced_records(2);
        let mut data = files.read(name).unwrap();
        data[5] = 2;
        files.create(name, &data).unwrap();
        let error = open(&files, &mut SeededRng(2))
            .err()
            .expect("a newer version must be refused");
        assert!(matches!(error, StoreError::NewerVersion { file, version: 2 } if file == name));
    }
}

/// Guards against a replica that starts without its earlier votes because a file is missing.
#[test]
fn refuses_a_log_without_hard_state() {
    for name in ["identity", "hard-state"] {
        let mut files = folder_with_synced_records(2);
        files.remove(name).unwrap();
        assert!(matches!(
            open(&files, &mut SeededRng(2)),
            Err(StoreError::Damaged { .. })
        ));
    }
}

/// Guards against two processes that write to one folder, and against differences between the
/// operating system's files and the in-memory files of the other tests.
#[test]
fn os_folder_is_locked_by_one_process() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    let (mut store, first) = Store::open(&path).unwrap();
    let mut rng = SeededRng(4);
    let mut model = Model {
        hard: first.hard_state,
        ..Model::default()
    };
    store.set_segment_bytes(400);
    for _ in 0..60 {
        let persist = model.next_write(&mut rng);
        store.persist(&persist).unwrap();
        model.apply(&persist);
    }
    assert!(matches!(Store::open(&path), Err(StoreError::Locked)));
    drop(store);
    assert!(
        OsFiles::new(&path)
            .unwrap()
            .list()
            .unwrap()
            .contains(&"identity".to_owned())
    );
    let (_store, second) = Store::open(&path).unwrap();
    assert_eq!(second.replica, first.replica);
    check_recovered(&second, &model, &model);
}
