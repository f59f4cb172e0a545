//! The one line that a command prints before it exits with a failure.

use std::fmt;

/// Why a command failed.
#[derive(Debug)]
pub(crate) struct Failure(String);

impl Failure {
    pub(crate) fn new(message: impl Into<String>) -> Self {
        Self(message.into())
    }

    /// All contexts and attachments of a report, outermost first.
    pub(crate) fn from_report<C: std::error::Error>(report: &error_stack::Report<C>) -> Self {
        let mut parts: Vec<String> = Vec::new();
        for frame in report.frames() {
            let text = match frame.kind() {
                error_stack::FrameKind::Context(context) => context.to_string(),
                error_stack::FrameKind::Attachment(error_stack::AttachmentKind::Printable(
                    attachment,
                )) => attachment.to_string(),
                error_stack::FrameKind::Attachment(_) => continue,
            };
            parts.push(text);
        }
        Self(parts.join(": "))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl<E: std::error::Error> From<E> for Failure {
    fn from(error: E) -> Self {
        Self(error.to_string())
    }
}
