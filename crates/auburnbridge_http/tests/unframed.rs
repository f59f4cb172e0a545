//! Tests responses whose body ends with the connection: accepted after a close, rejected after a
//! reset or a failed write, and rejected by default.

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

fn connection(bytes: &'static [u8], end: Option<io::ErrorKind>) -> Connection<Stream> {
    Connection::new(Stream { bytes, end })
}

fn read(end: Option<io::ErrorKind>, limits: &Limits) -> Result<Response, FramingError> {
    block_on(connection(RESPONSE, end).read_response(RequestInfo::default(), limits))
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

/// Guards against an end of the stream that is taken for a close although a write was told that the
/// connection failed. A broken pipe is no such failure: the peer had ended its direction before.
#[test]
fn unframed_body_is_rejected_after_a_failed_write() {
    let limits = Limits::default().with_unframed_responses();
    for (kind, is_accepted) in [
        (io::ErrorKind::ConnectionReset, false),
        (io::ErrorKind::ConnectionAborted, false),
        (io::ErrorKind::TimedOut, false),
        (io::ErrorKind::HostUnreachable, false),
        (io::ErrorKind::BrokenPipe, true),
    ] {
        let mut connection = connection(RESPONSE, None);
        connection.write_failure().record(&kind.into());
        // The first failure tells why the connection ended.
        connection
            .write_failure()
            .record(&io::ErrorKind::BrokenPipe.into());
        let result = block_on(connection.read_response(RequestInfo::default(), &limits));
        let body = result.map(|response| response.body.to_vec());
        let expected = if is_accepted {
            Ok(b"whole body".to_vec())
        } else {
            Err(FramingError::Io(kind))
        };
        assert_eq!(body, expected);
    }
}

/// Guards against losing a response that a target sent before it closed the connection early.
#[test]
fn framed_body_is_accepted_after_a_failed_write() {
    let responses: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nwhole body",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nwhole body\r\n0\r\n\r\n",
    ];
    for response in responses {
        let mut connection = connection(response, None);
        connection
            .write_failure()
            .record(&io::ErrorKind::ConnectionReset.into());
        let limits = Limits::default();
        let result = block_on(connection.read_response(RequestInfo::default(), &limits));
        assert_eq!(&*result.unwrap().body, b"whole body");
    }
}

/// Guards against taking a head that breaks off for a whole one with an empty or short body.
#[test]
fn cut_head_is_rejected() {
    let limits = Limits::default().with_unframed_responses();
    let head_bytes = RESPONSE.len() - b"whole body".len();
    for cut in 1..head_bytes {
        let mut connection = connection(&RESPONSE[..cut], None);
        let result = block_on(connection.read_response(RequestInfo::default(), &limits));
        assert_eq!(
            result.unwrap_err(),
            FramingError::ClosedInHead,
            "cut at {cut}"
        );
    }
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
