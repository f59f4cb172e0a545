//! Errors when a data folder is opened or written.

use std::fmt;
use std::io;

use auburnbridge_log::LogIndex;

/// Reason why a data folder can't be opened or written.
#[derive(Debug)]
pub enum StoreError {
    /// A file operation failed.
    Io {
        /// The file, relative to the folder.
        file: String,
        /// The operation, as a verb that goes before the file name.
        action: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// Another process has the folder open.
    Locked,
    /// A file has content that no crash of this program can leave behind.
    Damaged {
        /// The file, relative to the folder.
        file: String,
        /// Byte offset of the damage in the file.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A newer version of this program wrote the file.
    NewerVersion {
        /// The file, relative to the folder.
        file: String,
        /// Its format version.
        version: u8,
    },
    /// The records to append don't start at the index after the last one.
    Gap {
        /// The next index of the log.
        expected: LogIndex,
        /// Index of the first record to append.
        found: LogIndex,
    },
    /// An earlier operation failed, so the state of the files is unknown.
    Unusable,
}

impl StoreError {
    pub(crate) fn damaged(file: &str, offset: u64, reason: &'static str) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset,
            reason,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io {
                file,
                action,
                source,
            } => write!(f, "can't {action} `{file}`: {source}"),
            Self::Locked => {
                f.write_str("the data folder is in use by another process; stop that one first")
            }
            Self::Damaged {
                file,
                offset,
                reason,
            } => write!(
                f,
                "`{file}` is damaged at offset {offset}: {reason}; replace the data folder by an \
                 empty one and add it to the group as a new member"
            ),
            Self::NewerVersion { file, version } => write!(
                f,
                "`{file}` has format version {version}, this program reads up to {}; use the \
                 newer program",
                crate::FORMAT_VERSION
            ),
            Self::Gap { expected, found } => {
                write!(
                    f,
                    "record {found} doesn't follow the log, which expects {expected}"
                )
            }
            Self::Unusable => {
                f.write_str("an earlier write or sync failed; restart to recover the folder")
            }
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
