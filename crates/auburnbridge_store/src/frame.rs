//! File headers and checksummed frames.
//!
//! A header is the four bytes `ABRG`, the kind of file, the format version and two zero bytes. A
//! frame is its body's length, a checksum of all that follows, an index, the length of the file
//! that was synced before the frame was written, and the body; numbers are little-endian.

use crate::{FORMAT_VERSION, StoreError};

const MAGIC: [u8; 4] = *b"ABRG";

/// Bytes of a file header.
pub(crate) const HEADER_BYTES: usize = 8;

/// Bytes of a frame before its body.
pub(crate) const FRAME_HEADER_BYTES: usize = 4 + 4 + 8 + 8;

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Identity = 1,
    HardState = 2,
    Snapshot = 3,
    Segment = 4,
}

pub(crate) fn header(kind: FileKind) -> [u8; HEADER_BYTES] {
    let [a, b, c, d] = MAGIC;
    [a, b, c, d, kind as u8, FORMAT_VERSION, 0, 0]
}

/// Checks the header of `file`.
pub(crate) fn check_header(file: &str, data: &[u8], kind: FileKind) -> Result<(), StoreError> {
    if data.len() < HEADER_BYTES || data[..4] != MAGIC || data[4] != kind as u8 {
        return Err(StoreError::damaged(
            file,
            0,
            "the header is not one of this kind of file",
        ));
    }
    let version = data[5];
    if version > FORMAT_VERSION {
        return Err(StoreError::NewerVersion {
            file: file.to_owned(),
            version,
        });
    }
    if version == 0 {
        return Err(StoreError::damaged(file, 5, "the format version is zero"));
    }
    Ok(())
}

/// A frame in a buffer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Frame<'a> {
    pub(crate) index: u64,
    /// Length of the file that was synced before this frame was written.
    pub(crate) synced: u64,
    pub(crate) body: &'a [u8],
}

impl<'a> Frame<'a> {
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let length =
            u32::try_from(self.body.len()).expect("the callers bound the body below 4 GiB");
        let start = buf.len();
        buf.extend_from_slice(&length.to_le_bytes());
        buf.extend_from_slice(&[0; 4]);
        buf.extend_from_slice(&self.index.to_le_bytes());
        buf.extend_from_slice(&self.synced.to_le_bytes());
        buf.extend_from_slice(self.body);
        let checksum = checksum(length, &buf[start + 8..]);
        buf[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
    }

    /// The frame at the start of `data`; `None` if it is incomplete or its checksum is wrong.
    pub(crate) fn decode(data: &'a [u8]) -> Option<Self> {
        let length = u32::from_le_bytes(data.get(..4)?.try_into().ok()?);
        let expected = u32::from_le_bytes(data.get(4..8)?.try_into().ok()?);
        let end = FRAME_HEADER_BYTES.checked_add(usize::try_from(length).ok()?)?;
        let rest = data.get(8..end)?;
        if checksum(length, rest) != expected {
            return None;
        }
        Some(Self {
            index: u64::from_le_bytes(rest[..8].try_into().ok()?),
            synced: u64::from_le_bytes(rest[8..16].try_into().ok()?),
            body: &rest[16..],
        })
    }

    pub(crate) fn size(&self) -> usize {
        FRAME_HEADER_BYTES + self.body.len()
    }
}

/// The synced length that a frame at the start of `data` would state, without checking it.
pub(crate) fn synced_field(data: &[u8]) -> Option<u64> {
    let field = data.get(FRAME_HEADER_BYTES - 8..FRAME_HEADER_BYTES)?;
    Some(u64::from_le_bytes(field.try_into().ok()?))
}

fn checksum(length: u32, rest: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(rest);
    hasher.finalize()
}

/// Content of a file that holds one frame.
pub(crate) fn whole_file(kind: FileKind, index: u64, body: &[u8]) -> Vec<u8> {
    let mut buf = header(kind).to_vec();
    Frame {
        index,
        synced: 0,
        body,
    }
    .encode(&mut buf);
    buf
}

/// Body of a file that holds one frame.
pub(crate) fn read_whole_file<'a>(
    file: &str,
    data: &'a [u8],
    kind: FileKind,
) -> Result<&'a [u8], StoreError> {
    check_header(file, data, kind)?;
    let offset = HEADER_BYTES as u64;
    let frame = Frame::decode(&data[HEADER_BYTES..])
        .filter(|frame| frame.size() + HEADER_BYTES == data.len());
    frame
        .map(|frame| frame.body)
        .ok_or_else(|| StoreError::damaged(file, offset, "the checksum or the length is wrong"))
}
