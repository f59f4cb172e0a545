//! The published configuration: one whole document, of which the highest version is in force.

use std::sync::Arc;

use auburnbridge_types::ConfigVersion;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// A document with its version. Clones share the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document; its format is opaque here.
    pub document: Arc<[u8]>,
}

/// Reply to a [`Publish`]; both mean that the order is dealt with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PublishReply {
    /// The document is in force.
    Accepted,
    /// A document of the same or a higher version is in force already, and stays.
    Superseded,
}

/// The published document, if there is one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    current: Option<Publish>,
}

impl Published {
    /// Applies a committed order.
    pub fn apply(&mut self, order: Publish) -> PublishReply {
        if self.version().is_some_and(|held| order.version <= held) {
            return PublishReply::Superseded;
        }
        self.current = Some(order);
        PublishReply::Accepted
    }

    /// Version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|current| current.version)
    }

    /// The document in force.
    pub fn current(&self) -> Option<&Publish> {
        self.current.as_ref()
    }
}
