//! Durable storage of one replica of the replicated log.
//!
//! A data folder holds:
//!
//! - `identity`: the replica id, drawn at random when the folder is created;
//! - `hard-state`: term, vote and boots, replaced as one file;
//! - `snapshot-INDEX`: the latest snapshot;
//! - `log-INDEX`: segments of the log, named after the index of their first record;
//! - `lock`: locked while a process has the folder open.
//!
//! Files other than segments are replaced atomically: written under a temporary name, synced and
//! renamed, then the folder is synced. Records are appended to the last segment. Each file starts
//! with a header that has a format version, and each frame in it has a length, a checksum and an
//! index.
//!
//! After a failed write or sync the store refuses all further operations: the state of the disk is
//! then unknown, and a later sync may succeed without having written the lost data.

mod error;
mod files;
mod frame;
mod memory;
mod os;
mod segment;
mod store;

pub use error::StoreError;
pub use files::Files;
pub use memory::MemoryFiles;
pub use os::OsFiles;
pub use store::{FORMAT_VERSION, Store};
