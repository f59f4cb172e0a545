//! Frames on a stream: the length of the body as a big-endian number of four bytes, then the body.
//!
//! The streams of calls have the length too, although each has a single body. A stream whose sender
//! is dropped looks complete to the receiver, so without the length a cancelled call could arrive
//! as a shorter one.

use auburnbridge_types::ByteSize;
use bytes::Bytes;
use quinn::{
    ConnectionError, ReadError, ReadExactError, RecvStream, SendStream, VarInt, WriteError,
};

const LENGTH_BYTES: usize = 4;

/// Number of bytes by which the buffer of a body grows, so that a false length doesn't allocate
/// much memory.
const GROWTH_BYTES: usize = 64 << 10;

/// Version of the stream layout, sent by the server once it has accepted a client.
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
/// Close code: the process is stopping.
pub(crate) const CLOSING: VarInt = VarInt::from_u32(0);
/// Close code: the certificate passed the TLS handshake but was rejected afterwards.
pub(crate) const NOT_ACCEPTED: VarInt = VarInt::from_u32(4);

/// Error of reading a frame.
pub(crate) enum FrameError {
    /// The frame is over the limit.
    TooLarge,
    /// The stream ended within a frame, or has more bytes after its only frame.
    Incomplete,
    /// The sender reset the stream.
    Reset(VarInt),
    /// The connection was lost.
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

/// Writes one frame; `body` must be within the message limit, whose length fits in four bytes.
///
/// Length and body are written at once; two writes would wake the connection's task twice.
pub(crate) async fn write_frame(stream: &mut SendStream, body: Vec<u8>) -> Result<(), WriteError> {
    let length = u32::try_from(body.len()).map_err(|_| WriteError::ClosedStream)?;
    let mut parts = [
        Bytes::copy_from_slice(&length.to_be_bytes()),
        Bytes::from(body),
    ];
    stream.write_all_chunks(&mut parts).await
}

/// Reads the length of the next frame; `None` at the end of the stream.
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

/// Reads the body of a frame. Its buffer grows only as bytes arrive.
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

/// Reads the body of the only frame of a stream, and the end of the stream.
///
/// Dropping a stream before its end is read would send a packet that tells the sender to stop.
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
