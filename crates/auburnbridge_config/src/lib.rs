//! The replicated state machine that holds the rules and their revisions.
