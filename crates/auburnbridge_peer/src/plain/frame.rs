//! Frames of the plain transport: a length, a kind, a call number and a body. The length covers all
//! that follows it; numbers are big-endian.

use std::io;

use async_std::io::{Read, ReadExt};
use auburnbridge_types::ByteSize;

/// Size of the kind (1 byte) and the call number (8 bytes).
const KIND_AND_CALL_BYTES: usize = 9;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Identity of the client; first frame of a connection.
    Hello,
    /// One-way message.
    Message,
    /// Call, answered by a reply with the same call number.
    Call,
    /// Reply to a call.
    Reply,
    /// Answer to a call without a reply.
    NoReply,
    /// Liveness check, answered by a pong.
    Ping,
    /// Answer to a ping.
    Pong,
}

impl Kind {
    fn code(self) -> u8 {
        match self {
            Self::Hello => 0,
            Self::Message => 1,
            Self::Call => 2,
            Self::Reply => 3,
            Self::NoReply => 4,
            Self::Ping => 5,
            Self::Pong => 6,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        Some(match code {
            0 => Self::Hello,
            1 => Self::Message,
            2 => Self::Call,
            3 => Self::Reply,
            4 => Self::NoReply,
            5 => Self::Ping,
            6 => Self::Pong,
            _ => return None,
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Frame {
    pub(super) kind: Kind,
    /// Call number; zero in frames that belong to no call.
    pub(super) call: u64,
    pub(super) body: Vec<u8>,
}

impl Frame {
    pub(super) fn new(kind: Kind, call: u64, body: Vec<u8>) -> Self {
        Self { kind, call, body }
    }

    /// Appends the encoded frame to `buf`.
    pub(super) fn encode(&self, buf: &mut Vec<u8>) {
        let length = u32::try_from(self.body.len() + KIND_AND_CALL_BYTES)
            .expect("bodies are bounded by the message limit of 48 MiB");
        buf.extend_from_slice(&length.to_be_bytes());
        buf.push(self.kind.code());
        buf.extend_from_slice(&self.call.to_be_bytes());
        buf.extend_from_slice(&self.body);
    }

    /// Reads one frame. A body over `limit` is refused before it is read.
    pub(super) async fn read(
        stream: &mut (impl Read + Unpin),
        limit: ByteSize,
    ) -> io::Result<Self> {
        let mut head = [0; 4 + KIND_AND_CALL_BYTES];
        stream.read_exact(&mut head).await?;
        let [l0, l1, l2, l3, code, call @ ..] = head;
        let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
        let kind = Kind::from_code(code).ok_or(io::ErrorKind::InvalidData)?;
        let size = length
            .checked_sub(KIND_AND_CALL_BYTES)
            .filter(|size| *size as u64 <= limit.0)
            .ok_or(io::ErrorKind::InvalidData)?;
        let mut body = vec![0; size];
        stream.read_exact(&mut body).await?;
        Ok(Self::new(kind, u64::from_be_bytes(call), body))
    }
}
