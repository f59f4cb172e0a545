//! The keeper role: the replicated log with its store, state machines and server.
