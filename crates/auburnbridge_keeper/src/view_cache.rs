//! A copy of the committed view on disk, for the time between the start of a keeper and its group's
//! first election.
//!
//! After a loss of power everywhere the gateways know nothing, and an election takes about a second.
//! What the file holds was committed when it was written, so gateways may begin with it; it is never
//! given to operators as the newest, and the group's own state replaces it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError};
use std::thread;

use auburnbridge_config::VersionedDocument;
use auburnbridge_membership::Announcement;
use log::{debug, warn};
use serde::{Deserialize, Serialize};

const FILE: &str = "view.cache";
const NEW_FILE: &str = "view.cache.new";
/// Bytes of the checksum in front of the view.
const CHECKSUM_BYTES: usize = 4;

/// The committed view of one keeper.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedView {
    /// The published document.
    pub document: Option<VersionedDocument>,
    /// Announcements of targets, departures included.
    pub targets: Vec<Announcement>,
}

/// Writes views on a thread of its own, since a disk may stall.
pub struct ViewCache(SyncSender<CachedView>);

impl ViewCache {
    /// Starts the thread that writes into `folder`.
    pub fn start(folder: &Path) -> io::Result<Self> {
        let (tx, rx) = std::sync::mpsc::sync_channel(1);
        let folder = folder.to_owned();
        thread::Builder::new()
            .name("view-cache".to_owned())
            .spawn(move || write_views(&folder, &rx))?;
        Ok(Self(tx))
    }

    /// Hands a view over; `false` if an earlier one is still being written.
    pub fn store(&self, view: CachedView) -> bool {
        match self.0.try_send(view) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => false,
            Err(TrySendError::Disconnected(_)) => {
                debug!("the view is not cached: the writing thread has ended");
                true
            }
        }
    }
}

fn write_views(folder: &Path, views: &Receiver<CachedView>) {
    while let Ok(view) = views.recv() {
        if let Err(error) = write(folder, &view) {
            warn!("the view can't be cached: {error}");
        }
    }
}

fn write(folder: &Path, view: &CachedView) -> io::Result<()> {
    let encoded = postcard::to_stdvec(view).map_err(io::Error::other)?;
    let new: PathBuf = folder.join(NEW_FILE);
    let mut file = File::create(&new)?;
    file.write_all(&crc32fast::hash(&encoded).to_be_bytes())?;
    file.write_all(&encoded)?;
    file.sync_data()?;
    fs::rename(&new, folder.join(FILE))
}

/// Reads the cached view; a file that is missing or torn gives none.
pub fn read_view(folder: &Path) -> Option<CachedView> {
    let bytes = match fs::read(folder.join(FILE)) {
        Ok(bytes) => bytes,
        Err(error) => {
            debug!("there is no cached view: {error}");
            return None;
        }
    };
    let (checksum, encoded) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    if checksum != crc32fast::hash(encoded).to_be_bytes() {
        warn!("the cached view is torn and not used");
        return None;
    }
    postcard::from_bytes(encoded)
        .inspect_err(|error| warn!("the cached view can't be decoded: {error}"))
        .ok()
}
