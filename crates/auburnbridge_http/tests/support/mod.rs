//! A stream with scripted reads, and messages read from it.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::VecDeque;
use std::fmt::Debug;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_std::io::{Read, Write};
use async_std::task;
use auburnbridge_http::{Connection, FramingError, Limits, Request, RequestInfo, Response};
use auburnbridge_types::ByteSize;

/// The chunks of bytes that a stream returns, one per read, before its end.
#[derive(Clone, Debug)]
pub struct Parts(Vec<Vec<u8>>);

impl Parts {
    pub fn whole(raw: &[u8]) -> Self {
        Self(vec![raw.to_vec()])
    }

    pub fn of(parts: &[&[u8]]) -> Self {
        Self(parts.iter().map(|part| part.to_vec()).collect())
    }

    /// Every split into two reads, and the split into single bytes.
    pub fn all_splits(raw: &[u8]) -> Vec<Self> {
        let single_bytes = raw.iter().map(|byte| vec![*byte]).collect();
        (1..raw.len())
            .map(|at| Self(vec![raw[..at].to_vec(), raw[at..].to_vec()]))
            .chain([Self(single_bytes)])
            .collect()
    }
}

/// A stream that returns the parts, one per read, and records what is written.
pub struct ScriptedStream {
    parts: VecDeque<Vec<u8>>,
    written: Vec<u8>,
    writes: usize,
}

impl Read for ScriptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.parts.front().is_some_and(Vec::is_empty) {
            self.parts.pop_front();
        }
        let Some(part) = self.parts.front_mut() else {
            return Poll::Ready(Ok(0));
        };
        let count = part.len().min(buf.len());
        buf[..count].copy_from_slice(&part[..count]);
        part.drain(..count);
        Poll::Ready(Ok(count))
    }
}

impl Write for ScriptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.written.extend_from_slice(buf);
        self.writes += 1;
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// The result of reading one message, with the state of its connection.
pub struct Outcome<M> {
    pub message: Result<M, FramingError>,
    pub leftover: Vec<u8>,
    pub written: Vec<u8>,
}

impl<M: Debug> Outcome<M> {
    fn of(message: Result<M, FramingError>, connection: &Connection<ScriptedStream>) -> Self {
        Self {
            message,
            leftover: connection.leftover().to_vec(),
            written: connection.get_ref().written.clone(),
        }
    }

    pub fn describe(&self) -> String {
        match &self.message {
            Err(error) => format!("rejected: {error}"),
            Ok(message) => format!(
                "{message:?}, leftover \"{}\", wrote \"{}\"",
                self.leftover.escape_ascii(),
                self.written.escape_ascii()
            ),
        }
    }
}

/// Limits small enough for the test cases to exceed them.
pub fn small_limits() -> Limits {
    Limits::default()
        .with_head_bytes(ByteSize(160))
        .with_headers(8)
        .with_body_bytes(ByteSize(32))
}

fn connection(parts: Parts) -> Connection<ScriptedStream> {
    Connection::new(ScriptedStream {
        parts: parts.0.into(),
        written: Vec::new(),
        writes: 0,
    })
}

pub fn read_request(parts: Parts, limits: &Limits) -> Outcome<Request> {
    let mut connection = connection(parts);
    let message = task::block_on(connection.read_request(limits));
    Outcome::of(message, &connection)
}

pub fn read_response(parts: Parts, info: RequestInfo, limits: &Limits) -> Outcome<Response> {
    let mut connection = connection(parts);
    let message = task::block_on(connection.read_response(info, limits));
    Outcome::of(message, &connection)
}

/// Counts the writes to the stream that `write` makes.
pub fn count_writes(
    write: impl AsyncFnOnce(&mut Connection<ScriptedStream>) -> Result<(), FramingError>,
) -> usize {
    let mut connection = connection(Parts(Vec::new()));
    task::block_on(write(&mut connection)).unwrap();
    connection.get_ref().writes
}
