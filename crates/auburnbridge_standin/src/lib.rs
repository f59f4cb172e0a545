//! Stand-in targets and callers for tests, the quickstart and measurements.
