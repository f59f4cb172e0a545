//! Files of the operating system.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::Files;

const LOCK_FILE: &str = "lock";

/// Files in a folder of the operating system.
#[derive(Debug)]
pub struct RealFiles {
    folder: PathBuf,
    lock: Option<File>,
    /// The file that was written last, kept open since a segment is appended to many times.
    open: Option<(String, File)>,
}

impl RealFiles {
    /// Uses `folder`, which is created if it is missing.
    pub fn new(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        if let Some(parent) = folder.parent().filter(|path| !path.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            folder: folder.to_owned(),
            lock: None,
            open: None,
        })
    }

    fn opened(&mut self, name: &str) -> io::Result<&mut File> {
        let reusable = self.open.take().filter(|(open, _)| open == name);
        let file = match reusable {
            Some((_, file)) => file,
            None => OpenOptions::new()
                .append(true)
                .open(self.folder.join(name))?,
        };
        Ok(&mut self.open.insert((name.to_owned(), file)).1)
    }
}

impl Files for RealFiles {
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
        self.open = None;
        Ok(())
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.opened(name)?.write_all(data)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.opened(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.opened(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
