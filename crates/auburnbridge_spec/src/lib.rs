//! Small specifications of the core protocols and their exhaustive search.

pub mod ledger;
pub mod log;
