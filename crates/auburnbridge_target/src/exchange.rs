//! One exchange on one connection, and its result.

use std::io;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use auburnbridge_http::{Connection, FramingError, Limits, RequestInfo, Response, Verdict};
use auburnbridge_types::ErrorKind;
use futures_lite::future::or;

/// The result of one exchange and how it came about.
#[derive(Debug)]
pub struct Exchange {
    /// What became of the request.
    pub result: ExchangeResult,
    /// Whether the request was written on a connection that an earlier exchange had used.
    pub reused: bool,
}

/// What became of a request.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The target gave a whole answer.
    Answered(Response),
    /// No byte of the request was written: it did not run.
    NotSent(NotSent),
    /// At least one byte was written and no whole answer arrived: the request may have run.
    Unknown {
        /// What ended the exchange.
        reason: Unknown,
        /// Whether any byte of an answer arrived.
        answer_started: bool,
    },
}

/// Why no byte of a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// The target refused the connection.
    Refused,
    /// The connection was not established within the connect timeout.
    ConnectTimeout,
    /// Connecting failed in another way.
    ConnectFailed(io::ErrorKind),
    /// The target closed the new connection before the first byte.
    Closed,
    /// The deadline passed while all connections to the target were in use.
    AllInUse,
    /// The deadline passed before the first byte.
    Deadline,
}

/// Why no whole answer arrived after a byte was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// The connection closed or failed, or the answer violates a framing rule or limit.
    Framing(FramingError),
    /// A reused connection brought a 408 and closes.
    ///
    /// Servers close idle connections in this way, so it may have been on its way before the
    /// request was, and is not taken for the request's answer.
    IdleTimeout,
    /// The deadline passed.
    Deadline,
}

impl NotSent {
    /// The error kind for the caller when no other target is tried.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::AllInUse | Self::Deadline => ErrorKind::DeadlineBeforeDispatch,
            Self::Refused | Self::ConnectTimeout | Self::ConnectFailed(_) | Self::Closed => {
                ErrorKind::NoTarget
            }
        }
    }

    /// Whether the failure is no evidence about the target's health, such as a lack of file
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

impl Unknown {
    /// The error kind for the caller when the request is not resent.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::Framing(error) => error.response_kind(),
            Self::IdleTimeout => ErrorKind::AnswerIncomplete,
            Self::Deadline => ErrorKind::DeadlineAfterDispatch,
        }
    }

    /// Whether the failure is no evidence about the target's health: this process ran out of
    /// memory for answers, or the target closed an idle connection.
    pub const fn is_local(self) -> bool {
        match self {
            Self::Framing(error) => matches!(error, FramingError::MemoryExhausted),
            Self::IdleTimeout => true,
            Self::Deadline => false,
        }
    }
}

/// A request as it goes out.
pub(crate) struct Outgoing<'a> {
    pub(crate) encoded: &'a [u8],
    pub(crate) info: RequestInfo,
    /// Header whose value the answer repeats.
    pub(crate) echo: Option<(&'static str, &'a [u8])>,
}

impl Outgoing<'_> {
    /// Whether the response answers another request.
    fn is_stray(&self, response: &Response) -> bool {
        let Some((name, value)) = self.echo else {
            return false;
        };
        response
            .headers
            .get(name)
            .is_some_and(|echoed| echoed != value)
    }
}

/// Answers to earlier requests that are skipped before the right one.
const MOST_STRAYS: usize = 4;

/// Reads the response to the request; tells as well whether strays came before it.
async fn read_answer(
    connection: &mut Connection<TcpStream>,
    outgoing: &Outgoing<'_>,
    limits: &Limits,
) -> Result<(Response, bool), FramingError> {
    for strays in 0..=MOST_STRAYS {
        let response = connection.read_response(outgoing.info, limits).await?;
        if !outgoing.is_stray(&response) {
            return Ok((response, strays > 0));
        }
    }
    Err(FramingError::TooManyInterim)
}

/// How a run on one connection ended.
pub(crate) enum Run {
    /// A whole answer; the verdict tells whether the connection may be used again.
    Answered(Response, Verdict),
    /// The connection was closed before a byte was written.
    Closed,
    /// A byte was written, then the answer failed.
    Failed(FramingError),
}

/// Writes the encoded request and reads the answer at the same time, since a target may answer
/// before it has read the whole request.
///
/// Sets `written` as soon as the kernel has accepted a byte.
pub(crate) async fn run(
    connection: &mut Connection<TcpStream>,
    outgoing: &Outgoing<'_>,
    limits: &Limits,
    written: &AtomicBool,
) -> Run {
    enum Step {
        Wrote(io::Result<()>),
        Read(Result<(Response, bool), FramingError>),
    }

    let stream = connection.get_ref().clone();
    let mut write = pin!(write_all(stream, outgoing.encoded, written));
    let mut read = pin!(read_answer(connection, outgoing, limits));
    let step = or(async { Step::Wrote(write.as_mut().await) }, async {
        Step::Read(read.as_mut().await)
    })
    .await;
    let (answer, is_written_whole) = match step {
        Step::Wrote(Ok(())) => (read.await, true),
        Step::Wrote(Err(_)) if !written.load(Ordering::Relaxed) => return Run::Closed,
        // A target that closes early may have answered first.
        Step::Wrote(Err(_)) => (read.await, false),
        Step::Read(answer) => (answer, false),
    };
    match answer {
        // Nothing was asked yet, so these bytes answer no request of ours.
        _ if !written.load(Ordering::Relaxed) => Run::Closed,
        Ok((response, false)) if is_written_whole => {
            let verdict = response.verdict;
            Run::Answered(response, verdict)
        }
        Ok((response, _)) => Run::Answered(response, Verdict::Retire),
        Err(error) => Run::Failed(error),
    }
}

async fn write_all(
    mut stream: TcpStream,
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
