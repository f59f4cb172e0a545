//! Frames on a stream: the length of the body in four bytes, big-endian, then the body.
//!
//! The length is needed on the streams of calls too. A stream whose sender is dropped ends as if it
//! were complete, so without the length a cancelled call could arrive as a shorter one.

use auburnbridge_types::ByteSize;
use bytes::Bytes;
use quinn::{
    ConnectionError, ReadError, ReadExactError, RecvStream, SendStream, VarInt, WriteError,
};

const LENGTH_BYTES: usize = 4;

/// Step by which the buffer of a body grows, so that a length that is only claimed costs little.
const GROWTH_BYTES: usize = 64 << 10;

/// Version of the stream layout, which the server sends as soon as it has accepted a client.
pub(crate) const GREETING: [u8; 1] = [1];

/// Reset code: the handler gave no reply.
pub(crate) const NO_REPLY: VarInt = VarInt::from_u32(1);
/// Stop code: the body is over the receiver's limit and was not handled.
pub(crate) const TOO_LARGE: VarInt = VarInt::from_u32(2);
/// Reset code: the reply is over the limit.
pub(crate) const REPLY_TOO_LARGE: VarInt = VarInt::from_u32(3);
/// Reset code: the server has no memory left for the call and did not handle it.
pub(crate) const OVERLOADED: VarInt = VarInt::from_u32(6);
/// Reset code: the server is stopping and did not handle the call.
pub(crate) const STOPPING: VarInt = VarInt::from_u32(5);
/// Close code: the process stops.
pub(crate) const CLOSING: VarInt = VarInt::from_u32(0);
/// Close code: the certificate is valid but not acceptable.
pub(crate) const NOT_ACCEPTED: VarInt = VarInt::from_u32(4);

/// Reason why a frame could not be read.
pub(crate) enum FrameError {
    /// The frame is over the limit.
    TooLarge,
    /// The stream ended inside a frame, or goes on after its only one.
    Incomplete,
    /// The sender reset the stream.
    Reset(VarInt),
    /// The connection broke.
    Lost(ConnectionError),
}

impl From<ReadExactError> for FrameError {
    fn from(error: ReadExactError) -> Self {
        match error {
            ReadExactError::FinishedEarly(_) => Self::Incomplete,
            ReadExactError::ReadError(error) => error.into(),
        }
    }
}

impl From<ReadError> for FrameError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Reset(code) => Self::Reset(code),
            ReadError::ConnectionLost(error) => Self::Lost(error),
            ReadError::ClosedStream
            | ReadError::IllegalOrderedRead
            | ReadError::ZeroRttRejected => Self::Incomplete,
        }
    }
}

/// Writes one frame; `body` must be within the message limit, which fits four bytes.
///
/// Both parts go out in one write, which otherwise wakes the connection's task twice.
pub(crate) async fn write_frame(stream: &mut SendStream, body: Vec<u8>) -> Result<(), WriteError> {
    let length = u32::try_from(body.len()).map_err(|_| WriteError::ClosedStream)?;
    let mut parts = [
        Bytes::copy_from_slice(&length.to_be_bytes()),
        Bytes::from(body),
    ];
    stream.write_all_chunks(&mut parts).await
}

/// Reads the length of the next frame, or `None` at the end of the stream.
pub(crate) async fn read_length(
    stream: &mut RecvStream,
    limit: ByteSize,
) -> Result<Option<ByteSize>, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    match stream.read_exact(&mut length).await {
        Ok(()) => {}
        Err(ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(error.into()),
    }
    let length = ByteSize(u32::from_be_bytes(length).into());
    if length > limit {
        return Err(FrameError::TooLarge);
    }
    Ok(Some(length))
}

/// Reads the body of a frame. Memory grows with the bytes that arrive.
pub(crate) async fn read_body(
    stream: &mut RecvStream,
    length: ByteSize,
) -> Result<Vec<u8>, FrameError> {
    let length = usize::try_from(length.0).map_err(|_| FrameError::TooLarge)?;
    let mut body = Vec::new();
    while body.len() < length {
        let start = body.len();
        body.resize(length.min(start + GROWTH_BYTES), 0);
        stream.read_exact(&mut body[start..]).await?;
    }
    Ok(body)
}

/// Reads the body of the only frame of a stream, up to the end of the stream.
///
/// A stream that is dropped before its end was read tells its sender to stop, which costs a packet.
pub(crate) async fn read_last_body(
    stream: &mut RecvStream,
    length: ByteSize,
) -> Result<Vec<u8>, FrameError> {
    let body = read_body(stream, length).await?;
    match stream.read(&mut [0]).await? {
        None => Ok(body),
        Some(_) => Err(FrameError::Incomplete),
    }
}
