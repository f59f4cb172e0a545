//! Settings of a replica.

use auburnbridge_types::Millis;

/// Settings of a replica, made by [`Config::builder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub(crate) election_timeout: Millis,
    pub(crate) heartbeat_interval: Millis,
    pub(crate) snapshot_after_records: u64,
    pub(crate) retained_records: u64,
    pub(crate) append_bytes: usize,
    pub(crate) pending_records: u64,
    pub(crate) lease_reads: bool,
}

impl Config {
    /// Starts from the defaults.
    pub fn builder() -> ConfigBuilder {
        ConfigBuilder {
            config: Self {
                election_timeout: Millis(300),
                heartbeat_interval: Millis(75),
                snapshot_after_records: 10_000,
                retained_records: 1_000,
                append_bytes: 1024 * 1024,
                pending_records: 8_192,
                lease_reads: false,
            },
        }
    }
}

impl Default for Config {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Builder of a [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    config: Config,
}

impl ConfigBuilder {
    /// Shortest election timeout; a replica draws one between this and twice this. Default 300 ms.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Millis) -> Self {
        self.config.election_timeout = timeout;
        self
    }

    /// Time between two heartbeats of a leader. Default 75 ms.
    #[must_use]
    pub fn heartbeat_interval(mut self, interval: Millis) -> Self {
        self.config.heartbeat_interval = interval;
        self
    }

    /// Applied records after which a snapshot is asked for. Default 10,000.
    #[must_use]
    pub fn snapshot_after_records(mut self, records: u64) -> Self {
        self.config.snapshot_after_records = records;
        self
    }

    /// Records before the snapshot that stay in memory for slow followers. Default 1,000.
    #[must_use]
    pub fn retained_records(mut self, records: u64) -> Self {
        self.config.retained_records = records;
        self
    }

    /// Bytes of data after which an append message is full. Default 1 MiB.
    #[must_use]
    pub fn append_bytes(mut self, bytes: usize) -> Self {
        self.config.append_bytes = bytes;
        self
    }

    /// Uncommitted records after which a leader rejects proposals. Default 8,192.
    #[must_use]
    pub fn pending_records(mut self, records: u64) -> Self {
        self.config.pending_records = records;
        self
    }

    /// Whether a leader with a lease answers reads without a round of messages. Default no.
    ///
    /// A lease is sound only if the clock passed to `step` runs at the same rate on all replicas,
    /// which a wall clock that is being corrected doesn't promise.
    #[must_use]
    pub fn lease_reads(mut self, enabled: bool) -> Self {
        self.config.lease_reads = enabled;
        self
    }

    /// The settings.
    pub fn build(self) -> Config {
        self.config
    }
}
