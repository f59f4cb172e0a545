//! The file system operations that the store needs.

use std::io;

/// Operations on the files of one folder, by file name.
///
/// A change is durable only after a sync: content after `sync`, creation, renaming and removal
/// after `sync_folder`.
pub trait Files: Send {
    /// Locks the folder until this value is dropped; returns `false` if another process holds the
    /// lock.
    fn lock(&mut self) -> io::Result<bool>;

    /// Lists the names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads the whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file with `data` as its content, or replaces the content of an existing one.
    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Appends `data` to a file.
    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Shortens a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file and replaces any file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creations, renamings and removals durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}
