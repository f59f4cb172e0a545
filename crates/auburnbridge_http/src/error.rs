//! The framing rules whose violation rejects a message.

use std::io;

use auburnbridge_types::ErrorKind;
use strum::{Display, IntoStaticStr};

/// The rule that a message violates; its `Display` is a stable name for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FramingError {
    /// The peer closed the connection between messages.
    ClosedBetweenMessages,
    /// The connection was closed inside a head.
    ClosedInHead,
    /// The connection was closed inside a body.
    ClosedInBody,
    /// Reading or writing the stream failed.
    Io(io::ErrorKind),
    /// A line ends in a bare CR or LF, or contains a CR.
    LineEnding,
    /// The request or status line is malformed.
    StartLine,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    Version,
    /// The method is `CONNECT`, which an intermediary can't forward as a message.
    Method,
    /// The request target is neither a path, an `http` URI with a path, nor `*` with `OPTIONS`.
    RequestTarget,
    /// The status is outside 100 to 599.
    Status,
    /// A header continues on the next line.
    FoldedHeader,
    /// Whitespace precedes the colon after a header's name.
    SpaceBeforeColon,
    /// A header's name is not a token.
    HeaderName,
    /// A header's value contains a control character.
    HeaderValue,
    /// An HTTP/1.1 request has no `Host`.
    HostMissing,
    /// A request has more than one `Host`.
    HostRepeated,
    /// `Host` is not a host and port, or differs from the host in the request target.
    HostInvalid,
    /// `Content-Length` is not a decimal number that fits 64 bits.
    LengthInvalid,
    /// More than one `Content-Length`.
    LengthRepeated,
    /// Both `Content-Length` and `Transfer-Encoding`.
    LengthAndCoding,
    /// A response has neither `Content-Length` nor `Transfer-Encoding`.
    LengthMissing,
    /// A transfer coding other than a single `chunked`, or any in HTTP/1.0.
    TransferCoding,
    /// The head announces a body for a status that has none.
    BodyForbidden,
    /// A chunk's size is not a hexadecimal number that fits 64 bits, or its line is too long.
    ChunkSize,
    /// A chunk's extension contains a control character.
    ChunkExtension,
    /// A chunk is not followed by CR LF.
    ChunkEnd,
    /// `Connection` holds an option that is not a token or names a protected header.
    ConnectionOption,
    /// `Expect` holds anything other than `100-continue`.
    Expectation,
    /// The response switches protocols, which no request asks for.
    UpgradeUnrequested,
    /// More interim responses than the limit.
    TooManyInterim,
    /// The head is longer than the limit.
    HeadTooLarge,
    /// More headers than the limit.
    TooManyHeaders,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The memory budget for bodies is exhausted.
    MemoryExhausted,
}

impl FramingError {
    /// The error kind for a caller whose request failed in this way; `None` if the caller is gone.
    pub const fn request_kind(self) -> Option<ErrorKind> {
        match self {
            Self::ClosedBetweenMessages | Self::ClosedInHead | Self::ClosedInBody | Self::Io(_) => {
                None
            }
            Self::HeadTooLarge | Self::TooManyHeaders => Some(ErrorKind::HeadTooLarge),
            Self::BodyTooLarge => Some(ErrorKind::RequestTooLarge),
            Self::MemoryExhausted => Some(ErrorKind::Overloaded),
            _ => Some(ErrorKind::MalformedRequest),
        }
    }

    /// The error kind for a caller whose target's response failed in this way.
    pub const fn response_kind(self) -> ErrorKind {
        match self {
            Self::BodyTooLarge | Self::MemoryExhausted => ErrorKind::AnswerTooLarge,
            _ => ErrorKind::AnswerIncomplete,
        }
    }
}

impl std::error::Error for FramingError {}

impl From<io::Error> for FramingError {
    fn from(error: io::Error) -> Self {
        Self::Io(error.kind())
    }
}
