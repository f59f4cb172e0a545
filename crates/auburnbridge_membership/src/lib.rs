//! Target announcements, leases, departures and their gossip between entries.
