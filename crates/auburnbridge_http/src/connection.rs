//! A buffered connection that reads and writes whole messages.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;

use async_std::io::{Read, ReadExt, Write, WriteExt};

use crate::body::BodyBuilder;
use crate::chunked::parse_chunk_size;
use crate::encode::{CONTINUE, encode_request, encode_response};
use crate::head::{self, Framing};
use crate::{
    Body, FramingError, KeepAlive, Limits, Request, RequestInfo, Response, UnreadRequest,
    WriteFailure,
};

const READ_BYTES: usize = 8 * 1024;
/// Increment in which a body buffer grows; the budget is charged for it before its bytes arrive.
const BODY_GROWTH_BYTES: u64 = 16 * 1024;
/// An empty read buffer with a larger capacity than this is freed.
const MAX_RETAINED_BUFFER_BYTES: usize = 4 * READ_BYTES;
/// Longest chunk-size line, which also limits the chunk extension.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Most bytes buffered beyond the message that is being handled.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Most interim (1xx) responses skipped before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// A number of bytes that grows while a message is transferred; clones share it.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter(Arc<AtomicU64>);

impl ByteCounter {
    /// The number of bytes so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Adds bytes.
    pub fn add(&self, bytes: u64) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A byte stream with a buffer of the bytes read beyond the last message.
///
/// Reading a message is not cancellation safe: a read that is dropped before it completes leaves
/// the connection inside a message, and the connection must then be closed. Only
/// [`Connection::wait_for_bytes`] and [`Connection::wait_for_more`] may be dropped and repeated.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    buf: Vec<u8>,
    start: usize,
    bytes_received: ByteCounter,
    write_failure: WriteFailure,
}

impl<S> Connection<S> {
    /// Wraps a stream that is positioned at the start of a message.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            buf: Vec::new(),
            start: 0,
            bytes_received: ByteCounter::default(),
            write_failure: WriteFailure::default(),
        }
    }

    /// The underlying stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// The underlying stream, for reads and writes that bypass the buffer.
    pub fn get_mut(&mut self) -> &mut S {
        &mut self.stream
    }

    /// The bytes that were read but not consumed by a message yet.
    pub fn leftover(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// The number of bytes read from the stream so far.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received.get()
    }

    /// The count behind [`Connection::bytes_received`], to watch a read in progress.
    pub fn received_counter(&self) -> ByteCounter {
        self.bytes_received.clone()
    }

    /// Where writes that bypass the connection record their failure.
    pub fn write_failure(&self) -> WriteFailure {
        self.write_failure.clone()
    }

    fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start < self.buf.len() {
            return;
        }
        self.start = 0;
        self.buf.clear();
        if self.buf.capacity() > MAX_RETAINED_BUFFER_BYTES {
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
    /// With [`KeepAlive::Close`], the response carries `Connection: close`; closing the connection
    /// is up to the caller of this method.
    pub async fn write_response(
        &mut self,
        response: &Response,
        info: RequestInfo,
        keep_alive: KeepAlive,
    ) -> Result<(), FramingError> {
        let mut buf = Vec::new();
        encode_response(response, info, keep_alive, &mut buf);
        self.write(&buf).await
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), FramingError> {
        let written = async {
            self.stream.write_all(bytes).await?;
            self.stream.flush().await
        };
        Ok(written
            .await
            .inspect_err(|error| self.write_failure.record(error))?)
    }
}

impl<S: Read + Write + Unpin> Connection<S> {
    /// Reads a whole request. Answers `Expect: 100-continue` once the head is validated.
    pub async fn read_request(&mut self, limits: &Limits) -> Result<Request, FramingError> {
        let head = self.read_request_head(limits).await?;
        self.read_request_body(head, limits).await
    }

    /// Reads the body of a request whose head was just read. Sends `100 Continue` if the caller
    /// waits for it.
    pub async fn read_request_body(
        &mut self,
        head: UnreadRequest,
        limits: &Limits,
    ) -> Result<Request, FramingError> {
        if head.awaits_continue() && self.leftover().is_empty() {
            self.write(CONTINUE).await?;
        }
        let body = self.read_body(head.framing, limits).await?;
        Ok(head.with_body(body))
    }
}

impl<S: Read + Unpin> Connection<S> {
    /// Reads the head of a request, and rejects a body whose announced length exceeds the limit.
    ///
    /// [`Connection::read_request_body`] or [`Connection::skip_bytes`] must follow if there is a
    /// body.
    pub async fn read_request_head(
        &mut self,
        limits: &Limits,
    ) -> Result<UnreadRequest, FramingError> {
        let length = self.read_head(limits, true).await?;
        let head = head::parse_request_head(&self.leftover()[..length], limits)?;
        self.consume(length);
        check_announced_length(head.framing, limits)?;
        Ok(UnreadRequest::new(head))
    }

    /// Reads and discards exactly `count` bytes.
    pub async fn skip_bytes(&mut self, count: u64) -> Result<(), FramingError> {
        let mut remaining = count;
        loop {
            let buffered = self.leftover().len();
            let taken = usize::try_from(remaining).map_or(buffered, |left| left.min(buffered));
            self.consume(taken);
            remaining -= taken as u64;
            if remaining == 0 {
                return Ok(());
            }
            self.fill_within_body().await?;
        }
    }

    /// Reads the whole final response to the request of `info` and skips interim responses.
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
            check_announced_length(head.framing, limits)?;
            let body = self.read_body(head.framing, limits).await?;
            let keep_alive = if self.leftover().is_empty() {
                head.keep_alive
            } else {
                KeepAlive::Close
            };
            return Ok(Response {
                status: head.status,
                headers: head.headers,
                body,
                announced_length: head.announced_length,
                keep_alive,
            });
        }
        Err(FramingError::TooManyInterim)
    }

    /// Waits until a byte of the next message is buffered; `false` at the end of the stream.
    ///
    /// Cancellation safe: it may be dropped and repeated without losing bytes.
    pub async fn wait_for_bytes(&mut self) -> Result<bool, FramingError> {
        if !self.leftover().is_empty() {
            return Ok(true);
        }
        Ok(self.fill().await? > 0)
    }

    /// Waits for bytes beyond those that are buffered; `false` at the end of the stream.
    ///
    /// Cancellation safe: it may be dropped and repeated without losing bytes. The buffer grows by
    /// what arrives, up to 256 KiB in all; after that, it never completes.
    pub async fn wait_for_more(&mut self) -> Result<bool, FramingError> {
        if self.leftover().len() >= MAX_READ_AHEAD_BYTES {
            return std::future::pending().await;
        }
        Ok(self.fill().await? > 0)
    }

    /// Reads until the buffer holds a whole head, and returns the head's length.
    async fn read_head(
        &mut self,
        limits: &Limits,
        allows_empty_line: bool,
    ) -> Result<usize, FramingError> {
        let mut may_skip = allows_empty_line;
        let mut scanned = 0;
        loop {
            // Old clients send an empty line after a body; RFC 9112 asks servers to skip one.
            if may_skip && self.leftover().starts_with(b"\r\n") {
                self.consume(2);
                may_skip = false;
                scanned = 0;
            }
            let buffered = self.leftover();
            if buffered.starts_with(b"\r\n") {
                return Err(FramingError::StartLine);
            }
            if let Some(length) = head::find_head_end(buffered, scanned)? {
                if length > limits.max_head_bytes {
                    return Err(FramingError::HeadTooLarge);
                }
                return Ok(length);
            }
            scanned = buffered.len();
            if scanned >= limits.max_head_bytes {
                return Err(FramingError::HeadTooLarge);
            }
            if self.fill().await? == 0 {
                return Err(if scanned == 0 {
                    FramingError::ClosedBetweenMessages
                } else {
                    FramingError::ClosedInHead
                });
            }
        }
    }

    async fn read_body(&mut self, framing: Framing, limits: &Limits) -> Result<Body, FramingError> {
        let mut body = BodyBuilder::new(limits.budget.as_ref(), framing.announced_length());
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
            if buffered.len() as u64 > limits.max_body_bytes - body.len() {
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
            let line_length = self.read_line(MAX_CHUNK_LINE_BYTES).await?;
            let line = &self.leftover()[..line_length];
            let size = parse_chunk_size(line)?;
            extension_bytes += line.iter().skip_while(|byte| **byte != b';').count();
            if extension_bytes > limits.max_head_bytes {
                return Err(FramingError::HeadTooLarge);
            }
            self.consume(line_length + 2);
            if size == 0 {
                return self.skip_trailers(limits).await;
            }
            if size > limits.max_body_bytes - body.len() {
                return Err(FramingError::BodyTooLarge);
            }
            self.read_bytes(size, body).await?;
            while self.leftover().len() < 2 {
                self.fill_within_body().await?;
            }
            if !self.leftover().starts_with(b"\r\n") {
                return Err(FramingError::ChunkEnd);
            }
            self.consume(2);
        }
    }

    async fn skip_trailers(&mut self, limits: &Limits) -> Result<(), FramingError> {
        let mut scanned = 0;
        let length = loop {
            let buffered = self.leftover();
            if buffered.starts_with(b"\r\n") {
                break 2;
            }
            if let Some(length) = head::find_head_end(buffered, scanned)? {
                if length > limits.max_head_bytes {
                    return Err(FramingError::HeadTooLarge);
                }
                break length;
            }
            scanned = buffered.len();
            if scanned >= limits.max_head_bytes {
                return Err(FramingError::HeadTooLarge);
            }
            self.fill_within_body().await?;
        };
        head::validate_trailers(&self.leftover()[..length], limits)?;
        self.consume(length);
        Ok(())
    }

    /// Reads until the buffer holds a whole line, and returns its length without CR LF.
    async fn read_line(&mut self, limit: usize) -> Result<usize, FramingError> {
        loop {
            let buffered = self.leftover();
            if let Some(at) = buffered
                .iter()
                .position(|byte| matches!(byte, b'\r' | b'\n'))
            {
                match (buffered[at], buffered.get(at + 1)) {
                    (b'\r', Some(b'\n')) if at <= limit => return Ok(at),
                    (b'\r', Some(b'\n')) => return Err(FramingError::ChunkSize),
                    (b'\r', None) => {}
                    _ => return Err(FramingError::LineEnding),
                }
            }
            if buffered.len() > limit + 1 {
                return Err(FramingError::ChunkSize);
            }
            self.fill_within_body().await?;
        }
    }

    /// Reads exactly `count` bytes into the body.
    async fn read_bytes(&mut self, count: u64, body: &mut BodyBuilder) -> Result<(), FramingError> {
        let buffered = self.leftover();
        let take = usize::try_from(count).map_or(buffered.len(), |count| count.min(buffered.len()));
        body.append(&buffered[..take])?;
        self.consume(take);
        let mut remaining = count - take as u64;
        while remaining > 0 {
            let step =
                usize::try_from(remaining.min(BODY_GROWTH_BYTES)).expect("16 KiB fit a usize");
            let mut unfilled = body.extend_zeroed(step)?;
            while !unfilled.is_empty() {
                let read = self.stream.read(unfilled).await?;
                if read == 0 {
                    return Err(FramingError::ClosedInBody);
                }
                self.bytes_received.add(read as u64);
                unfilled = &mut unfilled[read..];
            }
            remaining -= step as u64;
        }
        Ok(())
    }

    /// Reads more bytes into the buffer; fails at the end of the stream.
    async fn fill_within_body(&mut self) -> Result<(), FramingError> {
        match self.fill().await? {
            0 => Err(FramingError::ClosedInBody),
            _ => Ok(()),
        }
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the stream, and fails there if a
    /// write has failed before.
    async fn fill(&mut self) -> Result<usize, FramingError> {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        // The zeroed space exists only within a poll, so that a dropped read leaves none of it.
        let read = poll_fn(|cx| {
            let filled = self.buf.len();
            self.buf.resize(filled + READ_BYTES, 0);
            let polled = Pin::new(&mut self.stream).poll_read(cx, &mut self.buf[filled..]);
            let read = match &polled {
                Poll::Ready(Ok(read)) => *read,
                Poll::Ready(Err(_)) | Poll::Pending => 0,
            };
            self.buf.truncate(filled + read);
            self.bytes_received.add(read as u64);
            polled
        })
        .await?;
        match self.write_failure.hidden_from_reads() {
            Some(kind) if read == 0 => Err(FramingError::Io(kind)),
            Some(_) | None => Ok(read),
        }
    }
}

/// Rejects a body whose `Content-Length` exceeds the limit before any of it is read.
fn check_announced_length(framing: Framing, limits: &Limits) -> Result<(), FramingError> {
    match framing {
        Framing::Sized(length) if length > limits.max_body_bytes => Err(FramingError::BodyTooLarge),
        Framing::Empty | Framing::Sized(_) | Framing::Chunked | Framing::UntilClose => Ok(()),
    }
}
