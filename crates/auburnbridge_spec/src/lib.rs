//! Executable models of the core protocols, checked by exhaustive state-space search.

pub mod ledger;
pub mod log;
