//! Tests responses whose body ends with the connection: accepted after a close, rejected after a
//! reset, and rejected by default.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_std::io::Read;
use async_std::task::block_on;
use auburnbridge_http::{Connection, FramingError, KeepAlive, Limits, RequestInfo, Response};
use auburnbridge_types::ByteSize;

/// A stream that returns some bytes and then its end, or an error.
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
        // Reads of three bytes span the boundary between head and body.
        let count = self.bytes.len().min(buf.len()).min(3);
        if count == 0 {
            return Poll::Ready(self.end.map_or(Ok(0), |kind| Err(kind.into())));
        }
        buf[..count].copy_from_slice(&self.bytes[..count]);
        self.bytes = &self.bytes[count..];
        Poll::Ready(Ok(count))
    }
}

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nwhole body";

fn read(end: Option<io::ErrorKind>, limits: &Limits) -> Result<Response, FramingError> {
    let mut connection = Connection::new(Stream {
        bytes: RESPONSE,
        end,
    });
    block_on(connection.read_response(RequestInfo::default(), limits))
}

#[test]
fn unframed_body_is_accepted_after_a_close() {
    let limits = Limits::default().with_unframed_responses();
    let response = read(None, &limits).unwrap();
    assert_eq!(&*response.body, b"whole body");
    assert_eq!(response.keep_alive, KeepAlive::Close);
}

#[test]
fn unframed_body_is_rejected_after_a_reset() {
    let limits = Limits::default().with_unframed_responses();
    let error = read(Some(io::ErrorKind::ConnectionReset), &limits).unwrap_err();
    assert_eq!(error, FramingError::Io(io::ErrorKind::ConnectionReset));
}

#[test]
fn unframed_body_is_limited() {
    let limits = Limits::default()
        .with_unframed_responses()
        .with_body_bytes(ByteSize(9));
    assert_eq!(read(None, &limits).unwrap_err(), FramingError::BodyTooLarge);
}

#[test]
fn unframed_body_is_rejected_by_default() {
    let error = read(None, &Limits::default()).unwrap_err();
    assert_eq!(error, FramingError::LengthMissing);
}
