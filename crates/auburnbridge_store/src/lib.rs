//! Durable storage of one replica of the log.
