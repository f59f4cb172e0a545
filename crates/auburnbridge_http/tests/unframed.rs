//! Guards responses whose body ends with their connection: whole after a close, broken after a
//! reset, refused unless they were asked for.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_std::io::Read;
use async_std::task::block_on;
use auburnbridge_http::{Connection, FramingError, Limits, RequestInfo, Response, Verdict};
use auburnbridge_types::ByteSize;

/// Gives some bytes and then the end of the stream, or an error.
struct Stream {
    bytes: &'static [u8],
    end: Option<io::ErrorKind>,
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // Three bytes at a time cross the border between head and body.
        let count = self.bytes.len().min(buf.len()).min(3);
        if count == 0 {
            return Poll::Ready(self.end.map_or(Ok(0), |kind| Err(kind.into())));
        }
        buf[..count].copy_from_slice(&self.bytes[..count]);
        self.bytes = &self.bytes[count..];
        Poll::Ready(Ok(count))
    }
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nwhole body";

fn read(end: Option<io::ErrorKind>, limits: &Limits) -> Result<Response, FramingError> {
    let mut connection = Connection::new(Stream { bytes: ANSWER, end });
    block_on(connection.read_response(RequestInfo::default(), limits))
}

#[test]
fn unframed_body_is_whole_after_a_close() {
    let limits = Limits::default().with_unframed_responses();
    let response = read(None, &limits).unwrap();
    assert_eq!(&*response.body, b"whole body");
    assert_eq!(response.verdict, Verdict::Retire);
}

#[test]
fn unframed_body_is_broken_after_a_reset() {
    let limits = Limits::default().with_unframed_responses();
    let error = read(Some(io::ErrorKind::ConnectionReset), &limits).unwrap_err();
    assert_eq!(error, FramingError::Io(io::ErrorKind::ConnectionReset));
}

#[test]
fn unframed_body_is_bounded() {
    let limits = Limits::default()
        .with_unframed_responses()
        .with_body_bytes(ByteSize(9));
    assert_eq!(read(None, &limits).unwrap_err(), FramingError::BodyTooLarge);
}

#[test]
fn unframed_body_is_refused_by_default() {
    let error = read(None, &Limits::default()).unwrap_err();
    assert_eq!(error, FramingError::LengthMissing);
}
