//! Opens a data folder and persists the changes of a replica.

use std::io;
use std::path::Path;

use auburnbridge_log::{
    HardState, LogIndex, Persist, Record, RecoveredState, ReplicaId, Snapshot, SnapshotMeta, Term,
};
use uuid::Uuid;

use crate::frame::{FileKind, Frame, HEADER_BYTES, decode_file, encode_file, header};
use crate::segment::{Segment, scan};
use crate::{Files, OsFiles, StoreError};

/// Version of the file format that this build writes, and the newest that it reads.
pub const FORMAT_VERSION: u8 = 1;

const IDENTITY_FILE: &str = "identity";
const HARD_STATE_FILE: &str = "hard-state";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Length in bytes at which a new segment starts. A snapshot frees only whole segments.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// The open data folder of one replica.
pub struct Store {
    files: Box<dyn Files>,
    segments: Vec<Segment>,
    snapshot: Option<SnapshotMeta>,
    segment_bytes: u64,
    folder_changed: bool,
    is_usable: bool,
}

impl Store {
    /// Opens the data folder, or creates one with a new replica id, and starts a new boot.
    ///
    /// Fails if another process has the folder open, a file is damaged or written by a newer
    /// version, or a file operation fails.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredState), StoreError> {
        let files = OsFiles::new(folder).map_err(|source| StoreError::Io {
            file: folder.display().to_string(),
            action: "create",
            source,
        })?;
        Self::open_files(Box::new(files), || Uuid::new_v4().as_u128())
    }

    /// Opens a data folder through `files`, with the errors of [`Store::open`]. `random` returns
    /// numbers that never repeat.
    pub fn open_files(
        files: Box<dyn Files>,
        mut random: impl FnMut() -> u128,
    ) -> Result<(Self, RecoveredState), StoreError> {
        let mut store = Self {
            files,
            segments: Vec::new(),
            snapshot: None,
            segment_bytes: SEGMENT_BYTES,
            folder_changed: false,
            is_usable: true,
        };
        if !store.run_operation("lock", "lock", Files::lock)? {
            return Err(StoreError::Locked);
        }
        let names = store.run_operation(".", "list", Files::list)?;
        store.remove_temporary_files(&names)?;
        let has = |file: &str| names.iter().any(|name| name == file);
        let has_state = names
            .iter()
            .any(|name| Segment::parse_name(name).is_some() || snapshot_index(name).is_some());
        if has_state && !(has(IDENTITY_FILE) && has(HARD_STATE_FILE)) {
            return Err(StoreError::damaged(
                HARD_STATE_FILE,
                0,
                "the folder has a log but no identity or no hard state",
            ));
        }
        let replica = if has(IDENTITY_FILE) {
            ReplicaId(store.read_value(IDENTITY_FILE, FileKind::Identity)?)
        } else {
            let replica = ReplicaId(random());
            store.write_value(IDENTITY_FILE, FileKind::Identity, &replica.0)?;
            replica
        };
        let hard_state: HardState = if has(HARD_STATE_FILE) {
            store.read_value(HARD_STATE_FILE, FileKind::HardState)?
        } else {
            HardState::default()
        };
        let snapshot = store.read_snapshot(&names)?;
        store.snapshot = snapshot.as_ref().map(|snapshot| snapshot.meta.clone());
        let records = store.read_segments(&names)?;
        let nonce = u64::try_from(random() >> 64).expect("a shifted u128 fits into 64 bits");
        let hard_state = hard_state.begin_boot(nonce);
        store.write_hard_state(&hard_state)?;
        let recovered = RecoveredState {
            replica,
            hard_state,
            snapshot,
            records,
        };
        Ok((store, recovered))
    }

    /// Sets the length in bytes at which a new segment starts.
    pub fn set_segment_bytes(&mut self, bytes: u64) {
        self.segment_bytes = bytes;
    }

    /// Writes all changes in `persist`; durable on return.
    pub fn persist(&mut self, persist: &Persist) -> Result<(), StoreError> {
        if let Some(hard_state) = &persist.hard_state {
            self.write_hard_state(hard_state)?;
        }
        if let Some(snapshot) = &persist.snapshot {
            self.write_snapshot(snapshot)?;
        }
        if let Some(from) = persist.truncate_from {
            self.truncate_suffix(from)?;
        }
        if let Some(snapshot) = &persist.snapshot {
            self.truncate_prefix(snapshot.meta.index)?;
        }
        self.append(&persist.records)?;
        self.sync()
    }

    /// Replaces term, vote and boots; durable on return.
    pub fn write_hard_state(&mut self, hard_state: &HardState) -> Result<(), StoreError> {
        self.write_value(HARD_STATE_FILE, FileKind::HardState, hard_state)
    }

    /// Appends records; durable after [`Store::sync`].
    ///
    /// Fails with [`StoreError::Gap`] if they don't start at the next index.
    pub fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        self.check_usable()?;
        let Some(first) = records.first() else {
            return Ok(());
        };
        let expected = self.next_index();
        if first.index != expected {
            return Err(StoreError::Gap {
                expected,
                found: first.index,
            });
        }
        self.start_segment_if_due(first.index)?;
        let Some(segment) = self.segments.last_mut() else {
            return Err(StoreError::Unusable);
        };
        let mut buf = Vec::new();
        let start = segment.length;
        for record in records {
            let body = postcard::to_stdvec(record).expect("all fields of a record can be encoded");
            segment
                .positions
                .push((start + buf.len() as u64, record.term));
            Frame {
                index: record.index.0,
                synced_length: segment.synced_length,
                body: &body,
            }
            .encode(&mut buf);
        }
        segment.length += buf.len() as u64;
        let name = segment.name.clone();
        self.run_operation(&name, "append to", |files| files.append(&name, &buf))
    }

    /// Makes all appended records durable.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.check_usable()?;
        let unsynced = self
            .segments
            .last()
            .filter(|segment| segment.synced_length < segment.length)
            .map(|segment| segment.name.clone());
        if let Some(name) = unsynced {
            self.run_operation(&name, "sync", |files| files.sync(&name))?;
            if let Some(segment) = self.segments.last_mut() {
                segment.synced_length = segment.length;
            }
        }
        self.sync_folder()
    }

    /// Writes a snapshot and removes the log if it doesn't continue the snapshot; durable on
    /// return.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let meta = &snapshot.meta;
        let name = format!("{SNAPSHOT_PREFIX}{:020}", meta.index.0);
        self.write_value(&name, FileKind::Snapshot, snapshot)?;
        let older = self.snapshot.replace(meta.clone());
        if let Some(older) = older.filter(|older| older.index != meta.index) {
            self.remove(&format!("{SNAPSHOT_PREFIX}{:020}", older.index.0))?;
        }
        if !self.continues_snapshot() {
            self.remove_segments_from(LogIndex(0))?;
        }
        self.sync_folder()
    }

    /// Removes the segments whose records all have indexes up to `through`, except the last
    /// segment.
    pub fn truncate_prefix(&mut self, through: LogIndex) -> Result<(), StoreError> {
        self.check_usable()?;
        while self.segments.len() > 1 && self.segments[0].end() <= through.next() {
            let segment = self.segments.remove(0);
            self.remove(&segment.name)?;
        }
        self.sync_folder()
    }

    /// Removes the records from index `from` on; durable on return.
    pub fn truncate_suffix(&mut self, from: LogIndex) -> Result<(), StoreError> {
        self.check_usable()?;
        self.remove_segments_from(from)?;
        let Some(segment) = self.segments.last_mut() else {
            return Ok(());
        };
        let Some((offset, _)) = segment.position(from) else {
            return Ok(());
        };
        let kept = usize::try_from(from.0 - segment.first.0).unwrap_or(usize::MAX);
        segment.positions.truncate(kept);
        segment.length = offset;
        segment.synced_length = offset;
        let name = segment.name.clone();
        self.run_operation(&name, "truncate", |files| files.truncate(&name, offset))?;
        self.run_operation(&name, "sync", |files| files.sync(&name))
    }

    fn next_index(&self) -> LogIndex {
        let after_snapshot = self
            .snapshot
            .as_ref()
            .map_or(LogIndex(1), |meta| meta.index.next());
        self.segments
            .last()
            .map_or(after_snapshot, |segment| segment.end().max(after_snapshot))
    }

    fn term(&self, index: LogIndex) -> Option<Term> {
        let segment = self
            .segments
            .iter()
            .rev()
            .find(|segment| segment.first <= index)?;
        segment.position(index).map(|(_, term)| term)
    }

    /// Whether the log contains the last record of the snapshot, or starts right after it.
    /// Otherwise its records predate a snapshot received from another replica and may conflict with
    /// the records that follow it.
    fn continues_snapshot(&self) -> bool {
        let (Some(meta), Some(first)) = (&self.snapshot, self.segments.first()) else {
            return true;
        };
        first.first == meta.index.next() || self.term(meta.index) == Some(meta.term)
    }

    fn start_segment_if_due(&mut self, first: LogIndex) -> Result<(), StoreError> {
        let is_due = self
            .segments
            .last()
            .is_none_or(|segment| segment.length >= self.segment_bytes);
        if !is_due {
            return Ok(());
        }
        self.sync()?;
        let segment = Segment::new(first);
        let name = segment.name.clone();
        self.segments.push(segment);
        self.folder_changed = true;
        self.run_operation(&name, "create", |files| {
            files.create(&name, &header(FileKind::Segment))
        })
    }

    fn remove_segments_from(&mut self, from: LogIndex) -> Result<(), StoreError> {
        while let Some(segment) = self.segments.pop_if(|segment| segment.first >= from) {
            self.remove(&segment.name)?;
        }
        self.sync_folder()
    }

    fn remove(&mut self, name: &str) -> Result<(), StoreError> {
        self.folder_changed = true;
        self.run_operation(name, "remove", |files| files.remove(name))
    }

    fn sync_folder(&mut self) -> Result<(), StoreError> {
        if !self.folder_changed {
            return Ok(());
        }
        self.run_operation(".", "sync", Files::sync_folder)?;
        self.folder_changed = false;
        Ok(())
    }

    fn remove_temporary_files(&mut self, names: &[String]) -> Result<(), StoreError> {
        for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
            self.remove(name)?;
        }
        self.sync_folder()
    }

    /// Replaces a file atomically by writing a temporary file and renaming it; durable on return.
    fn write_value<T: serde::Serialize>(
        &mut self,
        name: &str,
        kind: FileKind,
        value: &T,
    ) -> Result<(), StoreError> {
        self.check_usable()?;
        let body = postcard::to_stdvec(value).expect("all fields of the state can be encoded");
        let data = encode_file(kind, 0, &body);
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        self.run_operation(&temporary, "write", |files| files.create(&temporary, &data))?;
        self.run_operation(&temporary, "sync", |files| files.sync(&temporary))?;
        self.run_operation(name, "rename", |files| files.rename(&temporary, name))?;
        self.folder_changed = true;
        self.sync_folder()
    }

    fn read_value<T: serde::de::DeserializeOwned>(
        &mut self,
        name: &str,
        kind: FileKind,
    ) -> Result<T, StoreError> {
        let data = self.run_operation(name, "read", |files| files.read(name))?;
        let body = decode_file(name, &data, kind)?;
        postcard::from_bytes(body).map_err(|_| {
            StoreError::damaged(name, HEADER_BYTES as u64, "the content can't be decoded")
        })
    }

    /// Reads the latest snapshot and removes older ones, which a crash may have left behind.
    fn read_snapshot(&mut self, names: &[String]) -> Result<Option<Snapshot>, StoreError> {
        let mut indexes: Vec<_> = names
            .iter()
            .filter_map(|name| snapshot_index(name))
            .collect();
        indexes.sort_unstable();
        let Some(latest) = indexes.pop() else {
            return Ok(None);
        };
        let name = format!("{SNAPSHOT_PREFIX}{:020}", latest.0);
        let snapshot: Snapshot = self.read_value(&name, FileKind::Snapshot)?;
        if snapshot.meta.index != latest {
            return Err(StoreError::damaged(
                &name,
                0,
                "the snapshot's index differs from the one in the file name",
            ));
        }
        for older in indexes {
            self.remove(&format!("{SNAPSHOT_PREFIX}{:020}", older.0))?;
        }
        self.sync_folder()?;
        Ok(Some(snapshot))
    }

    /// Reads the segments, truncates a torn tail and returns the records after the snapshot.
    fn read_segments(&mut self, names: &[String]) -> Result<Vec<Record>, StoreError> {
        let mut first_indexes: Vec<_> = names
            .iter()
            .filter_map(|name| Segment::parse_name(name))
            .collect();
        first_indexes.sort_unstable();
        let mut records = Vec::new();
        let last = first_indexes.last().copied();
        for first in first_indexes {
            let name = Segment::new(first).name;
            let data = self.run_operation(&name, "read", |files| files.read(&name))?;
            let is_last = Some(first) == last;
            if is_last && is_torn_header(&data) {
                self.remove(&name)?;
                break;
            }
            let scan = scan(first, &data)?;
            if let Some(before) = self.segments.last()
                && before.end() != first
            {
                return Err(StoreError::damaged(
                    &name,
                    0,
                    "records between the previous segment and this one are missing",
                ));
            }
            if scan.is_torn {
                let offset = scan.segment.length;
                if !is_last {
                    return Err(StoreError::damaged(
                        &name,
                        offset,
                        "a record is damaged in a segment that is not the last one",
                    ));
                }
                self.run_operation(&name, "truncate", |files| files.truncate(&name, offset))?;
                self.run_operation(&name, "sync", |files| files.sync(&name))?;
            }
            self.segments.push(scan.segment);
            records.extend(scan.records);
        }
        self.sync_folder()?;
        self.keep_records_after_snapshot(records)
    }

    fn keep_records_after_snapshot(
        &mut self,
        records: Vec<Record>,
    ) -> Result<Vec<Record>, StoreError> {
        let after_snapshot = self
            .snapshot
            .as_ref()
            .map_or(LogIndex(1), |meta| meta.index.next());
        if let Some(first) = self.segments.first()
            && first.first > after_snapshot
        {
            return Err(StoreError::damaged(
                &first.name,
                0,
                "records between the snapshot and this segment are missing",
            ));
        }
        if !self.continues_snapshot() {
            self.remove_segments_from(LogIndex(0))?;
            return Ok(Vec::new());
        }
        Ok(records
            .into_iter()
            .filter(|record| record.index >= after_snapshot)
            .collect())
    }

    fn check_usable(&self) -> Result<(), StoreError> {
        if self.is_usable {
            Ok(())
        } else {
            Err(StoreError::Unusable)
        }
    }

    /// Runs a file operation. A failure makes the store unusable, because the state of the files is
    /// then unknown.
    fn run_operation<T>(
        &mut self,
        file: &str,
        action: &'static str,
        operation: impl FnOnce(&mut (dyn Files + 'static)) -> io::Result<T>,
    ) -> Result<T, StoreError> {
        operation(self.files.as_mut()).map_err(|source| {
            self.is_usable = false;
            StoreError::Io {
                file: file.to_owned(),
                action,
                source,
            }
        })
    }
}

/// Parses the index from the name of a snapshot file; `None` for other files.
fn snapshot_index(name: &str) -> Option<LogIndex> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()
}

/// Whether the header of a segment is incomplete or all zeros, because its creation was never
/// synced.
fn is_torn_header(data: &[u8]) -> bool {
    data.len() < HEADER_BYTES || data[..HEADER_BYTES] == [0; HEADER_BYTES]
}
