//! Files in memory that lose unsynced data on a crash, for tests.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::Files;

/// Files in memory. Clones share the files, as a restarted process shares a disk.
///
/// A crash keeps what was synced and an arbitrary part of the rest: any prefix of the unsynced
/// changes to the folder, and any prefix of the unsynced bytes of each file.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles {
    disk: Arc<Mutex<Disk>>,
    /// Number of crashes that this handle has seen; an older handle can do nothing more.
    life: u64,
}

#[derive(Debug, Default)]
struct Disk {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced_changes: Vec<NameChange>,
    locked: bool,
    crashes: u64,
    operations: u64,
    stop_at: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Content {
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

impl Content {
    /// Synced bytes, then some of what was written since.
    fn after_crash(&self, choose: &mut impl FnMut(usize) -> usize) -> Vec<u8> {
        if self.data == self.synced {
            return self.synced.clone();
        }
        let shared = self
            .data
            .iter()
            .zip(&self.synced)
            .take_while(|(a, b)| a == b)
            .count();
        let was_cut = shared < self.synced.len();
        if was_cut && choose(2) == 0 {
            return self.synced.clone();
        }
        let kept = choose(self.data.len() - shared + 1);
        self.data[..shared + kept].to_vec()
    }
}

impl MemoryFiles {
    /// An empty folder.
    pub fn new() -> Self {
        Self::default()
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of writes, syncs, renamings and removals so far.
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// Stops at the operation with this number and fails all later ones. A stopped write leaves
    /// half of its bytes.
    pub fn stop_at(&self, operation: u64) {
        self.disk().stop_at = Some(operation);
    }

    /// Ends the present process and returns the files as the next one finds them. `choose` returns
    /// a number below its argument and decides what survives of the unsynced changes.
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
        disk.stop_at = None;
        disk.crashes += 1;
        let life = disk.crashes;
        drop(disk);
        Self {
            disk: Arc::clone(&self.disk),
            life,
        }
    }

    /// An independent copy of the folder as it is on disk, such as a backup.
    #[must_use]
    pub fn copy(&self) -> Self {
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
            life: 0,
        }
    }

    /// Changes a byte on disk, as bit rot would.
    pub fn damage(&self, name: &str, offset: usize) {
        let mut disk = self.disk();
        if let Some(content) = disk.names.get(name).copied() {
            let content = &mut disk.contents[content];
            content.data[offset] ^= 0x55;
            content.synced.clone_from(&content.data);
        }
    }

    /// Counts an operation; `Err(true)` if the process stops during it.
    fn begin(&self, disk: &mut Disk) -> Result<(), bool> {
        if self.life != disk.crashes {
            return Err(false);
        }
        disk.operations += 1;
        match disk.stop_at {
            Some(stop) if disk.operations == stop => Err(true),
            Some(stop) if disk.operations > stop => Err(false),
            Some(_) | None => Ok(()),
        }
    }

    fn change(&self, action: impl FnOnce(&mut Disk) -> io::Result<()>) -> io::Result<()> {
        let mut disk = self.disk();
        self.begin(&mut disk).map_err(|_| stopped())?;
        action(&mut disk)
    }
}

fn stopped() -> io::Error {
    io::Error::other("the process was stopped")
}

fn missing(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, name.to_owned())
}

impl Disk {
    fn content(&mut self, name: &str) -> io::Result<&mut Content> {
        let content = *self.names.get(name).ok_or_else(|| missing(name))?;
        Ok(&mut self.contents[content])
    }

    fn rename_entry(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_changes.push(change);
    }

    fn create(&mut self, name: &str, data: &[u8]) {
        if let Ok(content) = self.content(name) {
            content.data = data.to_vec();
            return;
        }
        let content = self.contents.len();
        self.contents.push(Content {
            data: data.to_vec(),
            synced: Vec::new(),
        });
        self.rename_entry(NameChange::Set(name.to_owned(), content));
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
        match self.begin(&mut disk) {
            Ok(()) => {
                disk.create(name, data);
                Ok(())
            }
            Err(during) => {
                if during {
                    disk.create(name, &data[..data.len() / 2]);
                }
                Err(stopped())
            }
        }
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        let begun = self.begin(&mut disk);
        let written = match begun {
            Ok(()) => data,
            Err(true) => &data[..data.len() / 2],
            Err(false) => return Err(stopped()),
        };
        disk.content(name)?.data.extend_from_slice(written);
        begun.map_err(|_| stopped())
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
            disk.rename_entry(NameChange::Rename(from.to_owned(), to.to_owned()));
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.change(|disk| {
            disk.content(name)?;
            disk.rename_entry(NameChange::Remove(name.to_owned()));
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
