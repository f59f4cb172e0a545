//! Frames on a stream: the length of the body in four bytes, big-endian, then the body.
//!
//! The length is needed on the streams of calls too. A stream whose sender is dropped ends as if it
//! were complete, so without the length a cancelled call could arrive as a shorter one.

use auburnbridge_types::ByteSize;
use quinn::{
    ConnectionError, ReadError, ReadExactError, ReadToEndError, RecvStream, SendStream, VarInt,
    WriteError,
};

const LENGTH_BYTES: usize = 4;

/// Version of the stream layout, which the server sends as soon as it has accepted a client.
pub(crate) const GREETING: [u8; 1] = [1];

/// Reset code: the handler gave no reply.
pub(crate) const NO_REPLY: VarInt = VarInt::from_u32(1);
/// Stop code: the body is over the receiver's limit and was not handled.
pub(crate) const TOO_LARGE: VarInt = VarInt::from_u32(2);
/// Reset code: the reply is over the limit.
pub(crate) const REPLY_TOO_LARGE: VarInt = VarInt::from_u32(3);
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
    /// The stream ended inside a frame, or holds more than one.
    Incomplete,
    /// The sender reset the stream.
    Reset(VarInt),
    /// The connection broke.
    Lost(ConnectionError),
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
pub(crate) async fn write_frame(stream: &mut SendStream, body: &[u8]) -> Result<(), WriteError> {
    let length = u32::try_from(body.len()).map_err(|_| WriteError::ClosedStream)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(body).await
}

/// Reads the only frame of a stream. Memory grows with the bytes that arrive.
pub(crate) async fn read_single_frame(
    stream: &mut RecvStream,
    limit: ByteSize,
) -> Result<Vec<u8>, FrameError> {
    let limit = usize::try_from(limit.0).unwrap_or(usize::MAX);
    let mut frame = match stream.read_to_end(limit.saturating_add(LENGTH_BYTES)).await {
        Ok(frame) => frame,
        Err(ReadToEndError::TooLong) => return Err(FrameError::TooLarge),
        Err(ReadToEndError::Read(error)) => return Err(error.into()),
    };
    let Some((length, body)) = frame.split_first_chunk::<LENGTH_BYTES>() else {
        return Err(FrameError::Incomplete);
    };
    if u32::from_be_bytes(*length) as usize != body.len() {
        return Err(FrameError::Incomplete);
    }
    frame.drain(..LENGTH_BYTES);
    Ok(frame)
}

/// Reads the next frame of a stream, or `None` at its end.
pub(crate) async fn read_next_frame(
    stream: &mut RecvStream,
    limit: ByteSize,
) -> Result<Option<Vec<u8>>, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    match stream.read_exact(&mut length).await {
        Ok(()) => {}
        Err(ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(ReadExactError::FinishedEarly(_)) => return Err(FrameError::Incomplete),
        Err(ReadExactError::ReadError(error)) => return Err(error.into()),
    }
    let length = u32::from_be_bytes(length);
    if u64::from(length) > limit.0 {
        return Err(FrameError::TooLarge);
    }
    let mut body = vec![0; length as usize];
    match stream.read_exact(&mut body).await {
        Ok(()) => Ok(Some(body)),
        Err(ReadExactError::FinishedEarly(_)) => Err(FrameError::Incomplete),
        Err(ReadExactError::ReadError(error)) => Err(error.into()),
    }
}
