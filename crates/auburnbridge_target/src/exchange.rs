//! One request and its answer on one connection, and the result.

use std::io;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use auburnbridge_http::{Connection, FramingError, KeepAlive, Limits, RequestInfo, Response};
use auburnbridge_types::ErrorKind;
use futures_lite::future::or;

/// The result of one exchange and the kind of connection that it used.
#[derive(Debug)]
pub struct Exchange {
    /// The outcome for the request.
    pub result: ExchangeResult,
    /// Whether the connection had been used by an earlier exchange.
    pub reused: bool,
}

/// The outcome of an exchange for its request.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The target sent a whole answer.
    Answered(Response),
    /// No byte of the request was written: it did not run.
    NotSent(NotSentReason),
    /// At least one byte was written and no whole answer arrived: the request may have run.
    Unknown {
        /// What ended the exchange.
        reason: UnknownReason,
        /// Whether any byte of an answer arrived.
        answer_started: bool,
    },
}

/// Why no byte of a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The target refused the connection.
    Refused,
    /// The connection was not established within the connect timeout.
    ConnectTimeout,
    /// Connecting failed in another way.
    ConnectFailed(io::ErrorKind),
    /// The target closed the new connection before the first byte was written.
    Closed,
    /// The deadline passed while all connections to the target were in use.
    AllInUse,
    /// The deadline passed before the first byte was written.
    Deadline,
}

/// Why no whole answer arrived after at least one byte was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection was closed or failed, or the answer violates a framing rule or limit.
    Framing(FramingError),
    /// A reused connection returned a 408 and closes.
    ///
    /// Servers close idle connections in this way, so the 408 may have been sent before the
    /// request arrived, and is not treated as its answer.
    IdleTimeout,
    /// A reused connection returned an answer without the request's id.
    ///
    /// It may be another copy of the answer to an earlier request.
    Unattributed,
    /// The deadline passed.
    Deadline,
}

impl NotSentReason {
    /// The error kind for the caller when no other target is tried.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::AllInUse | Self::Deadline => ErrorKind::DeadlineBeforeDispatch,
            Self::Refused | Self::ConnectTimeout | Self::ConnectFailed(_) | Self::Closed => {
                ErrorKind::NoTarget
            }
        }
    }

    /// Whether the failure says nothing about the target's health, such as a lack of file
    /// descriptors or ports in this process.
    pub const fn is_local(self) -> bool {
        match self {
            Self::Refused | Self::ConnectTimeout | Self::Closed => false,
            Self::AllInUse | Self::Deadline => true,
            Self::ConnectFailed(kind) => !matches!(
                kind,
                io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::TimedOut
            ),
        }
    }
}

impl UnknownReason {
    /// The error kind for the caller when the request is not resent.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::Framing(error) => error.response_kind(),
            Self::IdleTimeout | Self::Unattributed => ErrorKind::AnswerIncomplete,
            Self::Deadline => ErrorKind::DeadlineAfterDispatch,
        }
    }

    /// Whether the failure says nothing about the target's health: this process ran out of memory
    /// for answers, or the target closed an idle connection.
    pub const fn is_local(self) -> bool {
        match self {
            Self::Framing(error) => matches!(error, FramingError::MemoryExhausted),
            Self::IdleTimeout => true,
            Self::Unattributed | Self::Deadline => false,
        }
    }
}

/// An encoded request with what is needed to read its answer.
pub(crate) struct OutgoingRequest<'a> {
    /// Head and start of the body, which take one write.
    pub(crate) start: &'a [u8],
    /// Rest of a large body.
    pub(crate) rest: &'a [u8],
    pub(crate) info: RequestInfo,
    /// Name and value of the request header that the target repeats in its answer.
    pub(crate) echo: Option<(&'static str, &'a [u8])>,
    pub(crate) on_reused_connection: bool,
}

/// The request to which a response belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attribution {
    This,
    Earlier,
    Unknown,
}

impl OutgoingRequest<'_> {
    /// Determines the request that a response answers. Only the first response on a connection needs
    /// no id.
    fn attribute(&self, response: &Response, is_first: bool) -> Attribution {
        let Some((name, value)) = self.echo else {
            return Attribution::This;
        };
        match response.headers.get(name) {
            Some(echoed) if echoed == value => Attribution::This,
            Some(_) => Attribution::Earlier,
            None if is_first => Attribution::This,
            None => Attribution::Unknown,
        }
    }
}

pub(crate) const REQUEST_TIMEOUT_STATUS: u16 = 408;
/// Most late answers to earlier requests that are skipped before the answer to this one.
const MAX_STRAY_ANSWERS: usize = 4;

/// Reads the answer to the request; returns as well whether stray answers came before it.
async fn read_answer(
    connection: &mut Connection<TcpStream>,
    request: &OutgoingRequest<'_>,
    limits: &Limits,
) -> Result<(Response, bool), UnknownReason> {
    for strays in 0..=MAX_STRAY_ANSWERS {
        let response = connection
            .read_response(request.info, limits)
            .await
            .map_err(UnknownReason::Framing)?;
        let is_first = !request.on_reused_connection && strays == 0;
        match request.attribute(&response, is_first) {
            Attribution::This => return Ok((response, strays > 0)),
            Attribution::Earlier => {}
            Attribution::Unknown if response.status == REQUEST_TIMEOUT_STATUS => {
                return Err(UnknownReason::IdleTimeout);
            }
            Attribution::Unknown => return Err(UnknownReason::Unattributed),
        }
    }
    Err(UnknownReason::Framing(FramingError::TooManyInterim))
}

/// The outcome of writing a request and reading its answer on one connection.
pub(crate) enum RoundTrip {
    /// A whole answer, and whether the connection may be used again.
    Answered(Response, KeepAlive),
    /// The connection was closed before a byte was written.
    Closed,
    /// A byte was written, then the answer failed.
    Failed(UnknownReason),
}

/// Writes the encoded request and reads the answer at the same time, since a target may answer
/// before it has read the whole request.
///
/// Sets `written` as soon as the kernel has accepted a byte.
pub(crate) async fn round_trip(
    connection: &mut Connection<TcpStream>,
    request: &OutgoingRequest<'_>,
    limits: &Limits,
    written: &AtomicBool,
) -> RoundTrip {
    enum Step {
        Wrote(io::Result<()>),
        Read(Result<(Response, bool), UnknownReason>),
    }

    let stream = connection.get_ref().clone();
    let write_failure = connection.write_failure();
    let mut write = pin!(async {
        write_request(stream, request, written)
            .await
            .inspect_err(|error| write_failure.record(error))
    });
    let mut read = pin!(read_answer(connection, request, limits));
    let step = or(async { Step::Wrote(write.as_mut().await) }, async {
        Step::Read(read.as_mut().await)
    })
    .await;
    let (answer, is_fully_written) = match step {
        Step::Wrote(Ok(())) => (read.await, true),
        Step::Wrote(Err(_)) if !written.load(Ordering::Relaxed) => return RoundTrip::Closed,
        // A target that closes the connection early may have answered first.
        Step::Wrote(Err(_)) => (read.await, false),
        Step::Read(answer) => (answer, false),
    };
    match answer {
        // No byte of the request was written, so what was read can't be its answer.
        _ if !written.load(Ordering::Relaxed) => RoundTrip::Closed,
        Ok((response, false)) if is_fully_written => {
            let keep_alive = response.keep_alive;
            RoundTrip::Answered(response, keep_alive)
        }
        Ok((response, _)) => RoundTrip::Answered(response, KeepAlive::Close),
        Err(reason) => RoundTrip::Failed(reason),
    }
}

async fn write_request(
    mut stream: TcpStream,
    request: &OutgoingRequest<'_>,
    written: &AtomicBool,
) -> io::Result<()> {
    write_all(&mut stream, request.start, written).await?;
    write_all(&mut stream, request.rest, written).await
}

async fn write_all(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    written: &AtomicBool,
) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = stream.write(bytes).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        written.store(true, Ordering::Relaxed);
        bytes = &bytes[count..];
    }
    Ok(())
}
