//! The file operations that the store uses.

use std::io;

/// Operations on the files of one folder, by name. Nothing is durable until it is synced: content
/// by `sync`, and creation, renaming and removal by `sync_folder`.
pub trait Files: Send {
    /// Keeps other processes out until this value is dropped; false if another one is in.
    fn lock(&mut self) -> io::Result<bool>;

    /// Names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Content of a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file with this content, or replaces its content.
    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Adds to the end of a file.
    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()>;

    /// Shortens a file.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing the one with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creations, renamings and removals durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}
