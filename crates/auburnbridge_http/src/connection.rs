//! A buffered connection that reads and writes whole messages.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use async_std::io::{Read, ReadExt, Write, WriteExt};

use crate::body::BodyBuilder;
use crate::chunked::parse_chunk_size;
use crate::encode::{CONTINUE, encode_request, encode_response};
use crate::head::{self, Framing};
use crate::{Body, FramingError, Limits, Request, RequestInfo, Response, Verdict};

const READ_BYTES: usize = 8 * 1024;
/// Bytes by which a body grows, and by which it is charged to the budget ahead of its arrival.
const BODY_STEP_BYTES: u64 = 16 * 1024;
/// A buffer that grew beyond this is given back when it is empty.
const KEPT_BUFFER_BYTES: usize = 4 * READ_BYTES;
/// Longest chunk-size line, which bounds a chunk's extension.
const CHUNK_LINE_BYTES: usize = 256;
/// Bytes that are read beyond the message that is being handled.
const READ_AHEAD_BYTES: usize = 256 * 1024;
/// Interim responses that are skipped before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// A byte stream with the bytes that were read beyond the last message.
///
/// A read that was dropped before it completed leaves the connection inside a message; the
/// connection must then be closed. Only [`Connection::wait_for_bytes`] may be dropped and repeated.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    buf: Vec<u8>,
    start: usize,
    received: u64,
}

impl<S> Connection<S> {
    /// Wraps a stream that stands at the start of a message.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            buf: Vec::new(),
            start: 0,
            received: 0,
        }
    }

    /// The stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// The stream, for reads and writes that bypass the buffer.
    pub fn get_mut(&mut self) -> &mut S {
        &mut self.stream
    }

    /// The bytes that were read but belong to no message yet.
    pub fn leftover(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// The number of bytes read from the stream so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start < self.buf.len() {
            return;
        }
        self.start = 0;
        self.buf.clear();
        if self.buf.capacity() > KEPT_BUFFER_BYTES {
            self.buf = Vec::new();
        }
    }
}

impl<S: Write + Unpin> Connection<S> {
    /// Writes a request in one write.
    pub async fn write_request(&mut self, request: &Request) -> Result<(), FramingError> {
        let mut buf = Vec::new();
        encode_request(request, &mut buf);
        self.write(&buf).await
    }

    /// Writes the response to the request of `info` in one write.
    ///
    /// With the verdict `Retire`, the peer is told that the connection closes; closing it is up to
    /// the caller.
    pub async fn write_response(
        &mut self,
        response: &Response,
        info: RequestInfo,
        verdict: Verdict,
    ) -> Result<(), FramingError> {
        let mut buf = Vec::new();
        encode_response(response, info, verdict, &mut buf);
        self.write(&buf).await
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), FramingError> {
        self.stream.write_all(bytes).await?;
        Ok(self.stream.flush().await?)
    }
}

impl<S: Read + Write + Unpin> Connection<S> {
    /// Reads a whole request. Answers `Expect: 100-continue` once the head is accepted.
    pub async fn read_request(&mut self, limits: &Limits) -> Result<Request, FramingError> {
        let length = self.read_head(limits, true).await?;
        let head = head::parse_request_head(&self.leftover()[..length], limits)?;
        self.consume(length);
        check_size(head.framing, limits)?;
        let awaits_continue = head.expects_continue && head.framing != Framing::Empty;
        if awaits_continue && self.leftover().is_empty() {
            self.write(CONTINUE).await?;
        }
        let body = self.read_body(head.framing, limits).await?;
        Ok(Request {
            method: head.method,
            path: head.path,
            headers: head.headers,
            body,
            verdict: head.verdict,
        })
    }
}

impl<S: Read + Unpin> Connection<S> {
    /// Reads the whole final response to the request of `info`, skipping interim responses.
    pub async fn read_response(
        &mut self,
        info: RequestInfo,
        limits: &Limits,
    ) -> Result<Response, FramingError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let length = self.read_head(limits, false).await?;
            let head = head::parse_response_head(&self.leftover()[..length], info, limits)?;
            self.consume(length);
            if head.status < 200 {
                continue;
            }
            check_size(head.framing, limits)?;
            let body = self.read_body(head.framing, limits).await?;
            let verdict = if self.leftover().is_empty() {
                head.verdict
            } else {
                Verdict::Retire
            };
            return Ok(Response {
                status: head.status,
                headers: head.headers,
                body,
                announced_length: head.announced_length,
                verdict,
            });
        }
        Err(FramingError::TooManyInterim)
    }

    /// Waits until a byte of the next message is there; `false` at the end of the stream.
    ///
    /// It may be dropped and repeated without losing bytes.
    pub async fn wait_for_bytes(&mut self) -> Result<bool, FramingError> {
        if !self.leftover().is_empty() {
            return Ok(true);
        }
        Ok(self.fill().await? > 0)
    }

    /// Waits for bytes beyond those that are buffered; `false` at the end of the stream.
    ///
    /// It may be dropped and repeated without losing bytes. The buffer grows by what arrives, at most
    /// by [`READ_AHEAD_BYTES`] in all; then it never completes.
    pub async fn wait_for_more(&mut self) -> Result<bool, FramingError> {
        if self.leftover().len() >= READ_AHEAD_BYTES {
            return std::future::pending().await;
        }
        Ok(self.fill().await? > 0)
    }

    /// Reads until the buffer holds a head, and gives the head's length.
    async fn read_head(
        &mut self,
        limits: &Limits,
        skips_empty_line: bool,
    ) -> Result<usize, FramingError> {
        let mut may_skip = skips_empty_line;
        let mut checked = 0;
        loop {
            // Old callers send an empty line after a body; RFC 9112 asks servers to skip one.
            if may_skip && self.leftover().starts_with(b"\r\n") {
                self.consume(2);
                may_skip = false;
                checked = 0;
            }
            let window = self.leftover();
            if window.starts_with(b"\r\n") {
                return Err(FramingError::StartLine);
            }
            if let Some(length) = head::find_head_end(window, checked)? {
                if length > limits.head_bytes {
                    return Err(FramingError::HeadTooLarge);
                }
                return Ok(length);
            }
            checked = window.len();
            if checked >= limits.head_bytes {
                return Err(FramingError::HeadTooLarge);
            }
            if self.fill().await? == 0 {
                return Err(if checked == 0 {
                    FramingError::ClosedBetweenMessages
                } else {
                    FramingError::ClosedInHead
                });
            }
        }
    }

    async fn read_body(&mut self, framing: Framing, limits: &Limits) -> Result<Body, FramingError> {
        let mut body = BodyBuilder::new(limits.budget.as_ref());
        match framing {
            Framing::Empty => {}
            Framing::Sized(length) => self.read_bytes(length, &mut body).await?,
            Framing::Chunked => self.read_chunks(limits, &mut body).await?,
            Framing::UntilClose => self.read_until_close(limits, &mut body).await?,
        }
        Ok(body.finish())
    }

    async fn read_until_close(
        &mut self,
        limits: &Limits,
        body: &mut BodyBuilder,
    ) -> Result<(), FramingError> {
        loop {
            let buffered = self.leftover();
            if buffered.len() as u64 > limits.body_bytes - body.len() {
                return Err(FramingError::BodyTooLarge);
            }
            let taken = buffered.len();
            body.append(buffered)?;
            self.consume(taken);
            if self.fill().await? == 0 {
                return Ok(());
            }
        }
    }

    async fn read_chunks(
        &mut self,
        limits: &Limits,
        body: &mut BodyBuilder,
    ) -> Result<(), FramingError> {
        let mut extension_bytes = 0;
        loop {
            let line = self.read_line(CHUNK_LINE_BYTES).await?;
            let text = &self.leftover()[..line];
            let size = parse_chunk_size(text)?;
            extension_bytes += text.iter().skip_while(|byte| **byte != b';').count();
            if extension_bytes > limits.head_bytes {
                return Err(FramingError::HeadTooLarge);
            }
            self.consume(line + 2);
            if size == 0 {
                return self.skip_trailers(limits).await;
            }
            if size > limits.body_bytes - body.len() {
                return Err(FramingError::BodyTooLarge);
            }
            self.read_bytes(size, body).await?;
            while self.leftover().len() < 2 {
                self.fill_body().await?;
            }
            if !self.leftover().starts_with(b"\r\n") {
                return Err(FramingError::ChunkEnd);
            }
            self.consume(2);
        }
    }

    async fn skip_trailers(&mut self, limits: &Limits) -> Result<(), FramingError> {
        let mut checked = 0;
        let length = loop {
            let window = self.leftover();
            if window.starts_with(b"\r\n") {
                break 2;
            }
            if let Some(length) = head::find_head_end(window, checked)? {
                if length > limits.head_bytes {
                    return Err(FramingError::HeadTooLarge);
                }
                break length;
            }
            checked = window.len();
            if checked >= limits.head_bytes {
                return Err(FramingError::HeadTooLarge);
            }
            self.fill_body().await?;
        };
        head::check_trailers(&self.leftover()[..length], limits)?;
        self.consume(length);
        Ok(())
    }

    /// Reads until the buffer holds a line, and gives the line's length without CR LF.
    async fn read_line(&mut self, limit: usize) -> Result<usize, FramingError> {
        loop {
            let window = self.leftover();
            if let Some(at) = window.iter().position(|byte| matches!(byte, b'\r' | b'\n')) {
                match (window[at], window.get(at + 1)) {
                    (b'\r', Some(b'\n')) if at <= limit => return Ok(at),
                    (b'\r', Some(b'\n')) => return Err(FramingError::ChunkSize),
                    (b'\r', None) => {}
                    _ => return Err(FramingError::LineEnding),
                }
            }
            if window.len() > limit + 1 {
                return Err(FramingError::ChunkSize);
            }
            self.fill_body().await?;
        }
    }

    /// Moves exactly `count` bytes into the body.
    async fn read_bytes(&mut self, count: u64, body: &mut BodyBuilder) -> Result<(), FramingError> {
        let buffered = self.leftover();
        let take = usize::try_from(count).map_or(buffered.len(), |count| count.min(buffered.len()));
        body.append(&buffered[..take])?;
        self.consume(take);
        let mut missing = count - take as u64;
        while missing > 0 {
            let step = usize::try_from(missing.min(BODY_STEP_BYTES)).expect("16 KiB fit a usize");
            let mut space = body.extend_zeroed(step)?;
            while !space.is_empty() {
                let read = self.stream.read(space).await?;
                if read == 0 {
                    return Err(FramingError::ClosedInBody);
                }
                self.received += read as u64;
                space = &mut space[read..];
            }
            missing -= step as u64;
        }
        Ok(())
    }

    async fn fill_body(&mut self) -> Result<(), FramingError> {
        match self.fill().await? {
            0 => Err(FramingError::ClosedInBody),
            _ => Ok(()),
        }
    }

    /// Reads more bytes into the buffer; gives 0 at the end of the stream.
    async fn fill(&mut self) -> Result<usize, FramingError> {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        // The spare room exists only within a poll, so that a dropped read leaves none behind.
        poll_fn(|cx| {
            let filled = self.buf.len();
            self.buf.resize(filled + READ_BYTES, 0);
            let polled = Pin::new(&mut self.stream).poll_read(cx, &mut self.buf[filled..]);
            let read = match &polled {
                Poll::Ready(Ok(read)) => *read,
                Poll::Ready(Err(_)) | Poll::Pending => 0,
            };
            self.buf.truncate(filled + read);
            self.received += read as u64;
            polled
        })
        .await
        .map_err(FramingError::from)
    }
}

/// Rejects a body that is announced to be too large before any of it is read.
fn check_size(framing: Framing, limits: &Limits) -> Result<(), FramingError> {
    match framing {
        Framing::Sized(length) if length > limits.body_bytes => Err(FramingError::BodyTooLarge),
        Framing::Empty | Framing::Sized(_) | Framing::Chunked | Framing::UntilClose => Ok(()),
    }
}
