//! The rules file: grammar, checks, differences and route lookup.
//!
//! The file holds one rule per line, and each rule ends in a comment that names who asked for it.
//! [`grammar`] declares every kind of line and every option once; the parser, the error messages
//! and the reference in `docs/rules.md` are derived from it. A file is accepted or refused as a
//! whole, and a refusal lists every error.

mod check;
mod difference;
mod digest;
mod edit;
mod error;
pub mod grammar;
mod line;
mod model;
mod nearest;
mod path;
mod reference;
mod route_table;
mod rule;
mod rule_line;
mod rules;
mod value;

pub use difference::{ChangedLine, RuleChange, difference};
pub use digest::TextDigest;
pub use edit::LineEdit;
pub use error::RuleError;
pub use line::{MAX_LINE_BYTES, file_lines};
pub use model::{
    Account, EjectionSensitivity, Method, Percent, Route, RouteClass, Service, Team, TeamScope,
};
pub use path::{InvalidPath, PathPattern, normalize};
pub use rule_line::{LineKey, RuleLine, rule_lines};
pub use rules::{MAX_TEXT_BYTES, Rules};
