//! Settings of each role: JSON files with one declaration per option.
//!
//! A declaration gives the type, default, range and description of an option; parsing, range
//! checks, error messages and the reference in `docs/settings.md` are derived from it. Loading only
//! reads the file: it opens no sockets, creates no folders and resolves no names. All errors of a
//! file are reported together, each with its line, the offending text and a fix.

mod control;
mod declare;
mod document;
mod entry;
mod error;
mod gateway;
mod keeper;
mod lists;
mod reference;
mod validator;
mod value;

pub use control::ControlSettings;
pub use declare::{Declaration, Presence, Range, Settings};
pub use entry::EntrySettings;
pub use error::{Problem, SettingsError};
pub use gateway::GatewaySettings;
pub use keeper::KeeperSettings;
pub use lists::{KeyDigest, OperatorKey, PeerLocation, ServiceScope};
pub use reference::reference;
pub use validator::Validator;
pub use value::{Share, Value};
