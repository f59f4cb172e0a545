//! Files in a folder of the operating system's file system.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::Files;

const LOCK_FILE: &str = "lock";

/// Files in a folder of the operating system's file system.
#[derive(Debug)]
pub struct OsFiles {
    folder: PathBuf,
    lock: Option<File>,
    /// Name and handle of the last file that was appended to, truncated or synced. It stays open
    /// because a segment is appended to many times.
    append_handle: Option<(String, File)>,
}

impl OsFiles {
    /// Uses the files in `folder`, which is created if it does not exist.
    pub fn new(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        if let Some(parent) = folder.parent().filter(|path| !path.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            folder: folder.to_owned(),
            lock: None,
            append_handle: None,
        })
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let reusable = self
            .append_handle
            .take()
            .filter(|(open_name, _)| open_name == name);
        let file = match reusable {
            Some((_, file)) => file,
            None => OpenOptions::new()
                .append(true)
                .open(self.folder.join(name))?,
        };
        Ok(&mut self.append_handle.insert((name.to_owned(), file)).1)
    }
}

impl Files for OsFiles {
    fn lock(&mut self) -> io::Result<bool> {
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(self.folder.join(LOCK_FILE))?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                Ok(true)
            }
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.folder.join(name))?;
        file.write_all(data)?;
        self.append_handle = None;
        Ok(())
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(data)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_for_append(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.append_handle = None;
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.append_handle = None;
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
