//! Command line of auburnbridge: parses arguments, calls a role's library and maps the result to an
//! exit code.

fn main() {}
