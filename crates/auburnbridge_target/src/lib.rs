//! The connection pool towards targets and single exchanges on it.
