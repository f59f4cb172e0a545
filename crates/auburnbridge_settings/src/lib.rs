//! JSON settings of each role.
