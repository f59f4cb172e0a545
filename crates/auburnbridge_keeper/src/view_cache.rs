//! On-disk copy of a keeper's view of the document and the targets, used between the start of the
//! keeper and the first election of its group.
//!
//! After a complete power loss the gateways have no configuration, and an election takes about a
//! second. The file holds the document and the departures that were committed, and the targets that
//! were known, when it was written, so gateways may start with it. Operators never get it as the
//! current state, and the group's own state replaces it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError};
use std::thread;

use auburnbridge_config::VersionedDocument;
use auburnbridge_membership::Announcement;
use log::{debug, warn};
use serde::{Deserialize, Serialize};

const FILE_NAME: &str = "view.cache";
const TEMP_FILE_NAME: &str = "view.cache.new";
/// Size of the CRC-32 in front of the encoded view.
const CHECKSUM_BYTES: usize = 4;

/// One keeper's view of the committed document, the targets and their committed departures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedView {
    /// The published document.
    pub document: Option<VersionedDocument>,
    /// Announcements of targets, including departures.
    pub targets: Vec<Announcement>,
}

/// Writes views on a separate thread, since the disk may stall.
pub struct ViewCache(SyncSender<CachedView>);

impl ViewCache {
    /// Starts the thread that writes to `folder`. Fails if the thread can't be started.
    pub fn start(folder: &Path) -> io::Result<Self> {
        let (tx, rx) = std::sync::mpsc::sync_channel(1);
        let folder = folder.to_owned();
        thread::Builder::new()
            .name("view-cache".to_owned())
            .spawn(move || write_views(&folder, &rx))?;
        Ok(Self(tx))
    }

    /// Queues a view for writing. Returns `false` if an earlier one is still waiting to be written.
    pub fn store(&self, view: CachedView) -> bool {
        match self.0.try_send(view) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => false,
            Err(TrySendError::Disconnected(_)) => {
                debug!("can't cache the view: the writer thread has ended");
                true
            }
        }
    }
}

fn write_views(folder: &Path, views: &Receiver<CachedView>) {
    while let Ok(view) = views.recv() {
        if let Err(error) = write_view(folder, &view) {
            warn!("can't cache the view: {error}");
        }
    }
}

fn write_view(folder: &Path, view: &CachedView) -> io::Result<()> {
    let encoded = postcard::to_stdvec(view).map_err(io::Error::other)?;
    let temp_path: PathBuf = folder.join(TEMP_FILE_NAME);
    let mut file = File::create(&temp_path)?;
    file.write_all(&crc32fast::hash(&encoded).to_be_bytes())?;
    file.write_all(&encoded)?;
    file.sync_data()?;
    fs::rename(&temp_path, folder.join(FILE_NAME))
}

/// Reads the cached view. Returns `None` if the file is missing or damaged.
pub fn read_view(folder: &Path) -> Option<CachedView> {
    let bytes = match fs::read(folder.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(error) => {
            debug!("can't read the cached view: {error}");
            return None;
        }
    };
    let (checksum, encoded) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    if checksum != crc32fast::hash(encoded).to_be_bytes() {
        warn!("ignoring the cached view: its checksum does not match");
        return None;
    }
    postcard::from_bytes(encoded)
        .inspect_err(|error| warn!("can't decode the cached view: {error}"))
        .ok()
}
