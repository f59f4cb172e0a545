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
    /// The connection closed inside a head.
    ClosedInHead,
    /// The connection closed inside a body.
    ClosedInBody,
    /// Reading or writing the stream failed.
    Io(io::ErrorKind),
    /// A line ends in a bare CR or LF, or a CR stands inside a line.
    LineEnding,
    /// The request or status line is malformed.
    StartLine,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    Version,
    /// The method is one that an intermediary can't forward as a message.
    Method,
    /// The request target is not a path, or `*` with `OPTIONS`.
    RequestTarget,
    /// The status lies outside 100 to 599.
    Status,
    /// A header continues on the next line.
    FoldedHeader,
    /// White space stands between a header's name and its colon.
    SpaceBeforeColon,
    /// A header's name is not a token.
    HeaderName,
    /// A header's value holds a control character.
    HeaderValue,
    /// An HTTP/1.1 request has no `Host`.
    HostMissing,
    /// A request has more than one `Host`.
    HostRepeated,
    /// The `Host` is not a host and port, or differs from the request target's.
    HostInvalid,
    /// `Content-Length` is not a number of digits that fits 64 bits.
    LengthInvalid,
    /// More than one `Content-Length`.
    LengthRepeated,
    /// Both `Content-Length` and `Transfer-Encoding`.
    LengthAndCoding,
    /// A response has neither `Content-Length` nor `Transfer-Encoding`.
    LengthMissing,
    /// A transfer coding other than a single `chunked`, or any in HTTP/1.0.
    TransferCoding,
    /// A body is announced for a status that has none.
    BodyForbidden,
    /// A chunk's size is not hexadecimal digits that fit 64 bits.
    ChunkSize,
    /// A chunk's extension holds a control character.
    ChunkExtension,
    /// A chunk is not followed by CR LF.
    ChunkEnd,
    /// `Connection` names a header that is meant for all recipients.
    ConnectionOption,
    /// `Expect` holds something else than `100-continue`.
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
    /// The memory budget for bodies is used up.
    MemoryExhausted,
}

impl FramingError {
    /// The answer to a caller whose request has this fault, or `None` when the caller is gone.
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

    /// The answer to a caller whose target gave a response with this fault.
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
