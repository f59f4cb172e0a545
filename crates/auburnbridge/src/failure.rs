//! Error message of a failed command, printed to standard error.

use std::fmt;

/// Error message that a command prints before it exits with a failure status.
#[derive(Debug)]
pub(crate) struct Failure(String);

impl Failure {
    pub(crate) fn new(message: impl Into<String>) -> Self {
        Self(message.into())
    }

    /// Joins the contexts and printable attachments of a report, outermost first.
    pub(crate) fn from_report<C: std::error::Error>(report: &error_stack::Report<C>) -> Self {
        let mut messages: Vec<String> = Vec::new();
        for frame in report.frames() {
            let text = match frame.kind() {
                error_stack::FrameKind::Context(context) => context.to_string(),
                error_stack::FrameKind::Attachment(error_stack::AttachmentKind::Printable(
                    attachment,
                )) => attachment.to_string(),
                error_stack::FrameKind::Attachment(_) => continue,
            };
            messages.push(text);
        }
        Self(messages.join(": "))
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
