//! The administration API for operators.
