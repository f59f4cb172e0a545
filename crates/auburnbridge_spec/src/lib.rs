//! Small specifications of the core protocols and their exhaustive search.

pub mod log;
