//! The failure of a write, for the reads of the same stream.

use std::io;
use std::sync::{Arc, OnceLock};

/// The error of the first failed write to a stream; clones share it.
///
/// The operating system reports the failure of a connection to one operation only. If that is a
/// write, the reads that follow return the bytes received so far and then a regular end of the
/// stream, which a [`Connection`](crate::Connection) would take for the end of a body.
#[derive(Clone, Debug, Default)]
pub struct WriteFailure(Arc<OnceLock<io::ErrorKind>>);

impl WriteFailure {
    /// Records the error of a write. Later errors are ignored.
    pub fn record(&self, error: &io::Error) {
        self.0.get_or_init(|| error.kind());
    }

    /// The error that a read at the end of the stream would have returned in place of the end.
    ///
    /// A broken pipe hides none: the peer had ended its direction before it reset the connection, so
    /// the end is its own.
    pub(crate) fn hidden_from_reads(&self) -> Option<io::ErrorKind> {
        self.0
            .get()
            .copied()
            .filter(|kind| *kind != io::ErrorKind::BrokenPipe)
    }
}
