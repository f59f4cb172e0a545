//! Segments of the log and their recovery.

use auburnbridge_log::{LogIndex, Record, Term};

use crate::StoreError;
use crate::frame::{FileKind, Frame, HEADER_BYTES, check_header, synced_field};

const PREFIX: &str = "log-";

/// A segment: consecutive records in one file.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) first: LogIndex,
    /// Offset and term of each record.
    pub(crate) places: Vec<(u64, Term)>,
    /// Bytes in the file.
    pub(crate) length: u64,
    /// Bytes that are synced.
    pub(crate) synced: u64,
}

/// What a segment file holds.
pub(crate) struct Scan {
    pub(crate) segment: Segment,
    pub(crate) records: Vec<Record>,
    /// The file has unsynced bytes after the last whole record.
    pub(crate) is_torn: bool,
}

impl Segment {
    pub(crate) fn new(first: LogIndex) -> Self {
        Self {
            name: format!("{PREFIX}{first:020}", first = first.0),
            first,
            places: Vec::new(),
            length: HEADER_BYTES as u64,
            synced: 0,
        }
    }

    /// Index of the first record, if `name` is that of a segment.
    pub(crate) fn parse_name(name: &str) -> Option<LogIndex> {
        name.strip_prefix(PREFIX)?.parse().ok()
    }

    /// Index after the last record.
    pub(crate) fn end(&self) -> LogIndex {
        LogIndex(self.first.0 + self.places.len() as u64)
    }

    pub(crate) fn place(&self, index: LogIndex) -> Option<(u64, Term)> {
        let position = usize::try_from(index.0.checked_sub(self.first.0)?).ok()?;
        self.places.get(position).copied()
    }
}

/// Reads a segment. Bytes after the last whole record are taken for a torn write unless a later
/// frame shows that they were synced.
pub(crate) fn scan(first: LogIndex, data: &[u8]) -> Result<Scan, StoreError> {
    let mut segment = Segment::new(first);
    check_header(&segment.name, data, FileKind::Segment)?;
    let mut records = Vec::new();
    let mut offset = HEADER_BYTES;
    while let Some(frame) = Frame::decode(&data[offset..]) {
        let record = decode_record(&segment, &frame, offset)?;
        segment.places.push((offset as u64, record.term));
        records.push(record);
        offset += frame.size();
    }
    if let Some(proof) = find_frame_synced_after(&data[offset..], offset) {
        return Err(StoreError::damaged(&segment.name, offset as u64, proof));
    }
    segment.length = offset as u64;
    segment.synced = offset as u64;
    Ok(Scan {
        segment,
        records,
        is_torn: offset < data.len(),
    })
}

fn decode_record(segment: &Segment, frame: &Frame, offset: usize) -> Result<Record, StoreError> {
    let damaged = |reason| StoreError::damaged(&segment.name, offset as u64, reason);
    let record: Record =
        postcard::from_bytes(frame.body).map_err(|_| damaged("the record can't be decoded"))?;
    if record.index != segment.end() || frame.index != record.index.0 {
        return Err(damaged("the record's index doesn't follow the one before"));
    }
    Ok(record)
}

/// Looks behind a bad frame at `offset` for a whole one that was written after a sync of that
/// offset. A batch is one write, which a crash may leave in any state, so a whole frame of the
/// same batch proves nothing.
fn find_frame_synced_after(data: &[u8], offset: usize) -> Option<&'static str> {
    let is_proof = |start: usize| {
        let claims = synced_field(&data[start..])
            .is_some_and(|synced| synced > offset as u64 && synced <= (offset + start) as u64);
        claims && Frame::decode(&data[start..]).is_some()
    };
    (1..data.len())
        .any(is_proof)
        .then_some("a record is damaged, and records that were written later are whole")
}
