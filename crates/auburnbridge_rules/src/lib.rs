//! The rules file: grammar, checks, differences and route lookup.
