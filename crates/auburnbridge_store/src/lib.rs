//! Durable storage of one replica of the log.
//!
//! A data folder holds:
//!
//! - `identity`: the random id of the folder;
//! - `hard-state`: term, vote and boots, replaced as a whole;
//! - `snapshot-INDEX`: the latest snapshot;
//! - `log-INDEX`: segments of records, named by their first record;
//! - `lock`: keeps a second process out.
//!
//! Whole files are written under a temporary name, synced and renamed, and the folder is synced.
//! Records are appended to the last segment. Each file starts with a header that has a format
//! version, and each frame in it has a length, a checksum and an index.
//!
//! After a failed write or sync the store refuses all work: what the disk holds is then unknown,
//! and a later sync may succeed without having written the lost data.

mod error;
mod files;
mod frame;
mod memory;
mod real;
mod segment;
mod store;

pub use error::StoreError;
pub use files::Files;
pub use memory::MemoryFiles;
pub use real::RealFiles;
pub use store::{FORMAT_VERSION, Store};
