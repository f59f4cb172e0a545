//! The published configuration document. The one with the highest version is current.

use std::sync::Arc;

use auburnbridge_types::ConfigVersion;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// A configuration document with its version; also the command that publishes it.
///
/// Clones share the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document, in a format that is opaque to this crate.
    pub document: Arc<[u8]>,
}

/// Reply to the publication of a [`VersionedDocument`]; after either variant it need not be sent
/// again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PublishReply {
    /// The document has become the current one.
    Accepted,
    /// The current document has the same or a higher version and stays.
    Superseded,
}

/// The state machine of the published document, which is empty at first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    current: Option<VersionedDocument>,
}

impl PublishedConfig {
    /// Applies a committed command: makes `proposed` current if its version is higher.
    pub fn apply(&mut self, proposed: VersionedDocument) -> PublishReply {
        if self
            .version()
            .is_some_and(|current| proposed.version <= current)
        {
            return PublishReply::Superseded;
        }
        self.current = Some(proposed);
        PublishReply::Accepted
    }

    /// Version of the current document.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|current| current.version)
    }

    /// The current document.
    pub fn current(&self) -> Option<&VersionedDocument> {
        self.current.as_ref()
    }
}
