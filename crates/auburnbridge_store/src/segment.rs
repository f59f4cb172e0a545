//! Segment files of the log and their recovery after a crash.

use auburnbridge_log::{LogIndex, Record, Term};

use crate::StoreError;
use crate::frame::{FileKind, Frame, HEADER_BYTES, check_header, peek_synced_length};

const PREFIX: &str = "log-";

/// A file of consecutive records.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) first: LogIndex,
    /// File offset and term of each record.
    pub(crate) positions: Vec<(u64, Term)>,
    /// Length of the file in bytes.
    pub(crate) length: u64,
    /// Length that is known to be synced, in bytes.
    pub(crate) synced_length: u64,
}

/// A segment and the records read from its file.
pub(crate) struct ScannedSegment {
    pub(crate) segment: Segment,
    pub(crate) records: Vec<Record>,
    /// The file has bytes after the last complete record, left by a torn write.
    pub(crate) is_torn: bool,
}

impl Segment {
    pub(crate) fn new(first: LogIndex) -> Self {
        Self {
            name: format!("{PREFIX}{first:020}", first = first.0),
            first,
            positions: Vec::new(),
            length: HEADER_BYTES as u64,
            synced_length: 0,
        }
    }

    /// Parses the index of the first record from the file name; `None` if it is not a segment's.
    pub(crate) fn parse_name(name: &str) -> Option<LogIndex> {
        name.strip_prefix(PREFIX)?.parse().ok()
    }

    /// Index after the last record.
    pub(crate) fn end(&self) -> LogIndex {
        LogIndex(self.first.0 + self.positions.len() as u64)
    }

    pub(crate) fn position(&self, index: LogIndex) -> Option<(u64, Term)> {
        let position = usize::try_from(index.0.checked_sub(self.first.0)?).ok()?;
        self.positions.get(position).copied()
    }
}

/// Decodes a segment file. Bytes after the last valid record count as a torn write, unless a later
/// frame shows that they were synced: then the segment is damaged.
pub(crate) fn scan(first: LogIndex, data: &[u8]) -> Result<ScannedSegment, StoreError> {
    let mut segment = Segment::new(first);
    check_header(&segment.name, data, FileKind::Segment)?;
    let mut records = Vec::new();
    let mut offset = HEADER_BYTES;
    while let Some(frame) = Frame::decode(&data[offset..]) {
        let record = decode_record(&segment, &frame, offset)?;
        segment.positions.push((offset as u64, record.term));
        records.push(record);
        offset += frame.size();
    }
    if let Some(reason) = find_frame_synced_after(&data[offset..], offset) {
        return Err(StoreError::damaged(&segment.name, offset as u64, reason));
    }
    segment.length = offset as u64;
    segment.synced_length = offset as u64;
    Ok(ScannedSegment {
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
        return Err(damaged(
            "the record's index doesn't follow the previous one",
        ));
    }
    Ok(record)
}

/// Searches `data`, which starts with an invalid frame at file offset `offset`, for a valid frame
/// that was written after a sync of that offset, and returns the reason to report.
///
/// A batch is written at once, and a crash may leave any part of it, so a valid frame of the same
/// batch does not show that the invalid one was synced.
fn find_frame_synced_after(data: &[u8], offset: usize) -> Option<&'static str> {
    let shows_earlier_sync = |start: usize| {
        let states_later_length = peek_synced_length(&data[start..])
            .is_some_and(|synced| synced > offset as u64 && synced <= (offset + start) as u64);
        states_later_length && Frame::decode(&data[start..]).is_some()
    };
    (1..data.len())
        .any(shows_earlier_sync)
        .then_some("a record is damaged, but a later record shows that it was synced")
}
