//! Settings of each role: JSON files with one declaration per option.
//!
//! A declaration gives the type, default, range and description of an option; parsing, range checks,
//! errors and the reference in `docs/settings.md` derive from it. Loading reads one file and nothing
//! else: it opens no socket, creates no folder and resolves no name. All errors of a file are
//! reported together, each with its line, the offending text and what to write instead.

mod check;
mod control;
mod declare;
mod document;
mod entry;
mod error;
mod gateway;
mod keeper;
mod lists;
mod reference;
mod value;

pub use check::Checks;
pub use control::ControlSettings;
pub use declare::{Declaration, Presence, Range, Settings};
pub use entry::EntrySettings;
pub use error::{Problem, SettingsError};
pub use gateway::GatewaySettings;
pub use keeper::KeeperSettings;
pub use lists::{KeyDigest, OperatorKey, PeerLocation, ServiceScope};
pub use reference::reference;
pub use value::{Share, Value};
