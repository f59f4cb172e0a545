//! In-memory files for tests, which lose unsynced changes on a simulated crash.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::Files;

/// In-memory files. Clones share the same files, as a restarted process uses the same disk.
///
/// A crash keeps all synced changes and an arbitrary part of the others: any prefix of the unsynced
/// changes to the folder, and any prefix of the unsynced bytes of each file.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles {
    disk: Arc<Mutex<Disk>>,
    /// Number of crashes before this handle was created; changes through an older handle fail.
    generation: u64,
}

#[derive(Debug, Default)]
struct Disk {
    contents: Vec<FileContent>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced_changes: Vec<NameChange>,
    locked: bool,
    crashes: u64,
    operations: u64,
    fail_from: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct FileContent {
    data: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Debug)]
enum NameChange {
    Set(String, usize),
    Rename(String, String),
    Remove(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Set(name, content) => {
                names.insert(name.clone(), *content);
            }
            Self::Rename(from, to) => {
                if let Some(content) = names.remove(from) {
                    names.insert(to.clone(), content);
                }
            }
            Self::Remove(name) => {
                names.remove(name);
            }
        }
    }
}

impl FileContent {
    /// Content after a crash: the unchanged synced bytes, then an arbitrary prefix of the bytes
    /// written since. An unsynced truncation may also be lost.
    fn after_crash(&self, choose: &mut impl FnMut(usize) -> usize) -> Vec<u8> {
        if self.data == self.synced {
            return self.synced.clone();
        }
        let common = self
            .data
            .iter()
            .zip(&self.synced)
            .take_while(|(a, b)| a == b)
            .count();
        let was_truncated = common < self.synced.len();
        if was_truncated && choose(2) == 0 {
            return self.synced.clone();
        }
        let kept = choose(self.data.len() - common + 1);
        self.data[..common + kept].to_vec()
    }
}

impl MemoryFiles {
    /// Creates an empty folder.
    pub fn new() -> Self {
        Self::default()
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of writes, truncations, syncs, renamings and removals so far.
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// Fails the operation with this number and all later ones. A write that fails at this number
    /// still writes half of its bytes.
    pub fn fail_from(&self, operation: u64) {
        self.disk().fail_from = Some(operation);
    }

    /// Simulates a crash and returns the files as the restarted process finds them. `choose`
    /// returns a number below its argument and decides which unsynced changes survive.
    #[must_use]
    pub fn crash(&self, mut choose: impl FnMut(usize) -> usize) -> Self {
        let mut disk = self.disk();
        let mut names = disk.synced_names.clone();
        let kept = choose(disk.unsynced_changes.len() + 1);
        for change in &disk.unsynced_changes[..kept] {
            change.apply(&mut names);
        }
        for content in &mut disk.contents {
            let data = content.after_crash(&mut choose);
            content.synced.clone_from(&data);
            content.data = data;
        }
        disk.synced_names.clone_from(&names);
        disk.names = names;
        disk.unsynced_changes.clear();
        disk.locked = false;
        disk.fail_from = None;
        disk.crashes += 1;
        let generation = disk.crashes;
        drop(disk);
        Self {
            disk: Arc::clone(&self.disk),
            generation,
        }
    }

    /// An independent copy of the synced state of the folder, as a backup would have it.
    #[must_use]
    pub fn copy_synced(&self) -> Self {
        let disk = self.disk();
        let mut contents = disk.contents.clone();
        for content in &mut contents {
            content.data.clone_from(&content.synced);
        }
        Self {
            disk: Arc::new(Mutex::new(Disk {
                contents,
                names: disk.synced_names.clone(),
                synced_names: disk.synced_names.clone(),
                ..Disk::default()
            })),
            generation: 0,
        }
    }

    /// Flips bits of the byte at `offset`, to simulate corruption on disk.
    pub fn damage(&self, name: &str, offset: usize) {
        let mut disk = self.disk();
        if let Some(content) = disk.names.get(name).copied() {
            let content = &mut disk.contents[content];
            content.data[offset] ^= 0x55;
            content.synced.clone_from(&content.data);
        }
    }

    /// Counts an operation. `Err(true)` if this operation is the first to fail, `Err(false)` if an
    /// earlier one failed or the handle is from before a crash.
    fn begin_operation(&self, disk: &mut Disk) -> Result<(), bool> {
        if self.generation != disk.crashes {
            return Err(false);
        }
        disk.operations += 1;
        match disk.fail_from {
            Some(first) if disk.operations == first => Err(true),
            Some(first) if disk.operations > first => Err(false),
            Some(_) | None => Ok(()),
        }
    }

    fn change(&self, action: impl FnOnce(&mut Disk) -> io::Result<()>) -> io::Result<()> {
        let mut disk = self.disk();
        self.begin_operation(&mut disk)
            .map_err(|_| stopped_error())?;
        action(&mut disk)
    }
}

fn stopped_error() -> io::Error {
    io::Error::other("the simulated process has stopped")
}

fn not_found(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, name.to_owned())
}

impl Disk {
    fn content(&mut self, name: &str) -> io::Result<&mut FileContent> {
        let content = *self.names.get(name).ok_or_else(|| not_found(name))?;
        Ok(&mut self.contents[content])
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_changes.push(change);
    }

    fn create(&mut self, name: &str, data: &[u8]) {
        if let Ok(content) = self.content(name) {
            content.data = data.to_vec();
            return;
        }
        let content = self.contents.len();
        self.contents.push(FileContent {
            data: data.to_vec(),
            synced: Vec::new(),
        });
        self.change_name(NameChange::Set(name.to_owned(), content));
    }
}

impl Files for MemoryFiles {
    fn lock(&mut self) -> io::Result<bool> {
        let mut disk = self.disk();
        Ok(!std::mem::replace(&mut disk.locked, true))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.disk().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.disk().content(name)?.data.clone())
    }

    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        match self.begin_operation(&mut disk) {
            Ok(()) => {
                disk.create(name, data);
                Ok(())
            }
            Err(is_first_failure) => {
                if is_first_failure {
                    disk.create(name, &data[..data.len() / 2]);
                }
                Err(stopped_error())
            }
        }
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        let result = self.begin_operation(&mut disk);
        let written = match result {
            Ok(()) => data,
            Err(true) => &data[..data.len() / 2],
            Err(false) => return Err(stopped_error()),
        };
        disk.content(name)?.data.extend_from_slice(written);
        result.map_err(|_| stopped_error())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let length = usize::try_from(length).map_err(io::Error::other)?;
        self.change(|disk| {
            disk.content(name)?.data.truncate(length);
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.change(|disk| {
            let content = disk.content(name)?;
            content.synced.clone_from(&content.data);
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.change(|disk| {
            disk.content(from)?;
            disk.change_name(NameChange::Rename(from.to_owned(), to.to_owned()));
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.change(|disk| {
            disk.content(name)?;
            disk.change_name(NameChange::Remove(name.to_owned()));
            Ok(())
        })
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.change(|disk| {
            disk.synced_names = disk.names.clone();
            disk.unsynced_changes.clear();
            Ok(())
        })
    }
}
