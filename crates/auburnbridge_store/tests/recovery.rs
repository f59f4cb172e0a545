//! Crashes at each write, sync and rename, and damaged files.

use std::sync::Arc;

use auburnbridge_log::{
    HardState, LogIndex, Members, Payload, Persist, Record, RecoveredState, ReplicaId, Snapshot,
    SnapshotMeta, Term,
};
use auburnbridge_store::{Files, MemoryFiles, RealFiles, Store, StoreError};
use auburnbridge_types::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Numbers that depend only on the seed.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed ^ (mixed >> 27)
    }

    fn below(&mut self, limit: usize) -> usize {
        usize::try_from(self.next() % limit as u64).unwrap()
    }
}

/// What the folder should hold.
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

    /// A next write: a vote, records, a replaced suffix, a snapshot of the log or a received one.
    fn next_write(&self, numbers: &mut Numbers) -> Persist {
        let mut persist = Persist::default();
        let mut term = self.hard.term;
        let mut last = self.last();
        match numbers.below(10) {
            0 => {
                term = term.next();
                persist.hard_state = Some(HardState {
                    term,
                    vote: Some(ReplicaId(numbers.next().into())),
                    ..self.hard.clone()
                });
            }
            1 if !self.records.is_empty() => {
                term = term.next();
                let dropped = 1 + numbers.below(self.records.len().min(6)) as u64;
                last -= dropped;
                persist.truncate_from = Some(LogIndex(last + 1));
                persist.hard_state = Some(HardState {
                    term,
                    ..self.hard.clone()
                });
            }
            2 if !self.records.is_empty() => {
                let record = &self.records[numbers.below(self.records.len())];
                persist.snapshot = Some(snapshot(record.index, record.term));
            }
            3 => {
                term = term.next();
                last += numbers.below(4) as u64;
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
        for index in last + 1..=last + numbers.below(4) as u64 {
            let data = vec![7; numbers.below(90)];
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

fn open(files: &MemoryFiles, numbers: &mut Numbers) -> Result<(Store, RecoveredState), StoreError> {
    let random = || (u128::from(numbers.next()) << 64) | u128::from(numbers.next());
    let (mut store, recovered) = Store::open_files(Box::new(files.clone()), random)?;
    // Small segments, so that the crash points include the start and removal of segments.
    store.set_segment_bytes(400);
    Ok((store, recovered))
}

/// Writes until `writes` are done or the process stops. Returns the state before and after the
/// write that was cut short, which are equal if none was.
fn run(files: &MemoryFiles, writes: usize, seed: u64) -> (Model, Model) {
    let mut numbers = Numbers(seed);
    let mut model = Model::default();
    let Ok((mut store, recovered)) = open(files, &mut numbers) else {
        return (model.clone(), model);
    };
    model.hard = recovered.hard_state;
    for _ in 0..writes {
        let persist = model.next_write(&mut numbers);
        let before = model.clone();
        model.apply(&persist);
        if store.persist(&persist).is_err() {
            assert!(
                matches!(store.sync(), Err(StoreError::Unusable)),
                "a store must refuse all work after a failed write or sync"
            );
            return (before, model);
        }
    }
    (model.clone(), model)
}

/// Checks that the folder holds every synced change and nothing that was never written.
fn check(recovered: &RecoveredState, before: &Model, after: &Model) {
    let hard = (recovered.hard_state.term, recovered.hard_state.vote);
    let known = [before, after].map(|model| (model.hard.term, model.hard.vote));
    assert!(
        known.contains(&hard),
        "term and vote: {hard:?}, not in {known:?}"
    );
    let snapshots = [&before.snapshot, &after.snapshot];
    assert!(
        snapshots.contains(&&recovered.snapshot),
        "a snapshot that was never written"
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
    let shared = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let replaced = recovered.snapshot != before.snapshot && !old.is_empty() && new.is_empty();
    assert!(
        replaced || found.len() >= shared,
        "a synced record is missing"
    );
    assert!(
        old.starts_with(found) || new.starts_with(found),
        "a record that was never written: found {found:?}, old {old:?}, new {new:?}"
    );
}

/// Stops at `operation`, crashes and checks the recovery, also when it is stopped in turn.
fn crash_at(operation: u64, writes: usize, seed: u64) {
    let files = MemoryFiles::new();
    files.stop_at(operation);
    let (before, after) = run(&files, writes, seed);
    let mut choice = Numbers(operation ^ seed);
    let mut files = files.crash(|limit| choice.below(limit));
    for stop in 1..4 {
        files.stop_at(files.operations() + stop);
        let _ = open(&files, &mut choice);
        files = files.crash(|limit| choice.below(limit));
    }
    let (mut store, recovered) = open(&files, &mut choice).expect("a crash leaves a whole folder");
    check(&recovered, &before, &after);
    let mut model = Model {
        hard: recovered.hard_state,
        snapshot: recovered.snapshot,
        records: recovered.records,
    };
    let persist = model.next_write(&mut choice);
    store
        .persist(&persist)
        .expect("a recovered folder can be written");
    model.apply(&persist);
    let files = files.crash(|_| 0);
    let (_, recovered) = open(&files, &mut choice).expect("the folder is whole");
    check(&recovered, &model, &model);
}

/// Guards against a crash point at which a synced change is lost, an unwritten one appears, or the
/// folder can't be opened.
#[test]
fn recovers_from_a_crash_at_each_operation() {
    for seed in 0..6 {
        let files = MemoryFiles::new();
        run(&files, 40, seed);
        for operation in 1..=files.operations() {
            crash_at(operation, 40, seed);
        }
    }
}

/// Guards against recovery that works only for short logs.
#[test]
fn recovers_from_a_crash_after_a_thousand_changes() {
    let seed = 1;
    let files = MemoryFiles::new();
    run(&files, 1_000, seed);
    let end = files.operations();
    for operation in end - 40..=end + 1 {
        crash_at(operation, 1_000, seed);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1), cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against sequences of writes that the fixed seeds don't reach.
    #[test]
    fn recovers_from_any_crash(seed: u64, operation in 1..300_u64) {
        crash_at(operation, 80, seed);
    }
}

fn synced_records(count: u64) -> MemoryFiles {
    let files = MemoryFiles::new();
    let (mut store, _) = open(&files, &mut Numbers(9)).unwrap();
    store.set_segment_bytes(1 << 20);
    for index in 1..=count {
        store
            .append(&[record(index, Term(1), vec![3; 20])])
            .unwrap();
        store.sync().unwrap();
    }
    files.crash(|_| 0)
}

/// Guards against serving from a damaged log or identity instead of refusing it.
#[test]
fn refuses_damage() {
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
        let files = synced_records(20);
        files.damage(name, offset);
        let error = open(&files, &mut Numbers(2))
            .err()
            .expect("damage must be refused");
        match error {
            StoreError::Damaged {
                file, offset: at, ..
            } => {
                assert_eq!(file, name);
                assert!(at <= offset as u64, "{name}: {at} lies after {offset}");
            }
            other => panic!("{name} at {offset}: {other}"),
        }
    }
}

/// Guards against a torn last write that stops the replica from starting, at each length.
#[test]
fn cuts_a_torn_tail() {
    let whole = synced_records(4).read("log-00000000000000000001").unwrap();
    let shorter = synced_records(3).read("log-00000000000000000001").unwrap();
    for length in shorter.len()..whole.len() {
        let mut files = synced_records(3);
        files
            .append("log-00000000000000000001", &whole[shorter.len()..length])
            .unwrap();
        files.sync("log-00000000000000000001").unwrap();
        let (_, recovered) = open(&files, &mut Numbers(2)).expect("a torn tail is cut");
        assert_eq!(recovered.records.len(), 3, "length {length}");
    }
}

/// Guards against reading a newer format as if it were known.
#[test]
fn refuses_a_newer_version() {
    for name in ["identity", "hard-state", "log-00000000000000000001"] {
        let mut files = synced_records(2);
        let mut data = files.read(name).unwrap();
        data[5] = 2;
        files.create(name, &data).unwrap();
        let error = open(&files, &mut Numbers(2))
            .err()
            .expect("a newer version is refused");
        assert!(matches!(error, StoreError::NewerVersion { file, version: 2 } if file == name));
    }
}

/// Guards against a replica that forgets its votes when a file goes missing.
#[test]
fn refuses_a_log_without_hard_state() {
    for name in ["identity", "hard-state"] {
        let mut files = synced_records(2);
        files.remove(name).unwrap();
        assert!(matches!(
            open(&files, &mut Numbers(2)),
            Err(StoreError::Damaged { .. })
        ));
    }
}

/// Guards against two processes that write to one folder, and against differences between the
/// files of the system and those in memory.
#[test]
fn keeps_a_real_folder_to_one_process() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    let (mut store, first) = Store::open(&path).unwrap();
    let mut numbers = Numbers(4);
    let mut model = Model {
        hard: first.hard_state,
        ..Model::default()
    };
    store.set_segment_bytes(400);
    for _ in 0..60 {
        let persist = model.next_write(&mut numbers);
        store.persist(&persist).unwrap();
        model.apply(&persist);
    }
    assert!(matches!(Store::open(&path), Err(StoreError::Locked)));
    drop(store);
    assert!(
        RealFiles::new(&path)
            .unwrap()
            .list()
            .unwrap()
            .contains(&"identity".to_owned())
    );
    let (_store, second) = Store::open(&path).unwrap();
    assert_eq!(second.replica, first.replica);
    check(&second, &model, &model);
}
