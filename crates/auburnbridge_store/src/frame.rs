//! File headers and checksummed frames.
//!
//! A header has 8 bytes: the four bytes `ABRG` as magic number, the kind of file, the format
//! version and two zero bytes. A frame has the length of its body, a CRC-32 of all its other bytes,
//! an index, the length of the file that was synced before the frame was written, and the body.
//! Numbers are little-endian.

use crate::{FORMAT_VERSION, StoreError};

const MAGIC: [u8; 4] = *b"ABRG";

/// Size of a file header.
pub(crate) const HEADER_BYTES: usize = 8;

/// Size of a frame without its body.
pub(crate) const FRAME_HEADER_BYTES: usize = 4 + 4 + 8 + 8;

/// Kind of a file, as stated in its header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Identity = 1,
    HardState = 2,
    Snapshot = 3,
    Segment = 4,
}

/// Encodes the header of a file.
pub(crate) fn header(kind: FileKind) -> [u8; HEADER_BYTES] {
    let [a, b, c, d] = MAGIC;
    [a, b, c, d, kind as u8, FORMAT_VERSION, 0, 0]
}

/// Checks the magic number, the kind and the format version in the header of `file`.
pub(crate) fn check_header(file: &str, data: &[u8], kind: FileKind) -> Result<(), StoreError> {
    if data.len() < HEADER_BYTES || data[..4] != MAGIC || data[4] != kind as u8 {
        return Err(StoreError::damaged(
            file,
            0,
            "the header has the wrong magic number or file kind",
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

/// A decoded frame, or one to encode.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Frame<'a> {
    pub(crate) index: u64,
    /// Synced length of the file before this frame was written.
    pub(crate) synced_length: u64,
    pub(crate) body: &'a [u8],
}

impl<'a> Frame<'a> {
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let length =
            u32::try_from(self.body.len()).expect("callers limit the body to less than 4 GiB");
        let start = buf.len();
        buf.extend_from_slice(&length.to_le_bytes());
        buf.extend_from_slice(&[0; 4]);
        buf.extend_from_slice(&self.index.to_le_bytes());
        buf.extend_from_slice(&self.synced_length.to_le_bytes());
        buf.extend_from_slice(self.body);
        let checksum = checksum(length, &buf[start + 8..]);
        buf[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
    }

    /// Decodes the frame at the start of `data`; `None` if it is incomplete or its checksum is
    /// wrong.
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
            synced_length: u64::from_le_bytes(rest[8..16].try_into().ok()?),
            body: &rest[16..],
        })
    }

    /// Encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        FRAME_HEADER_BYTES + self.body.len()
    }
}

/// Reads the synced length of the frame at the start of `data` without verifying its checksum.
pub(crate) fn peek_synced_length(data: &[u8]) -> Option<u64> {
    let field = data.get(FRAME_HEADER_BYTES - 8..FRAME_HEADER_BYTES)?;
    Some(u64::from_le_bytes(field.try_into().ok()?))
}

fn checksum(length: u32, rest: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(rest);
    hasher.finalize()
}

/// Encodes a file that has a single frame.
pub(crate) fn encode_file(kind: FileKind, index: u64, body: &[u8]) -> Vec<u8> {
    let mut buf = header(kind).to_vec();
    Frame {
        index,
        synced_length: 0,
        body,
    }
    .encode(&mut buf);
    buf
}

/// Decodes a file that has a single frame and returns the body of the frame.
pub(crate) fn decode_file<'a>(
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
