//! Settings of a replica.

use auburnbridge_types::Millis;

/// Settings of a replica, made by [`Config::builder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub(crate) election_timeout: Millis,
    pub(crate) heartbeat_interval: Millis,
    pub(crate) snapshot_after_records: u64,
    pub(crate) retained_records: u64,
    pub(crate) max_append_bytes: usize,
    pub(crate) max_pending_records: u64,
    pub(crate) lease_reads: bool,
}

impl Config {
    /// Returns a builder with the default settings.
    pub fn builder() -> ConfigBuilder {
        ConfigBuilder {
            config: Self {
                election_timeout: Millis(300),
                heartbeat_interval: Millis(75),
                snapshot_after_records: 10_000,
                retained_records: 1_000,
                max_append_bytes: 1024 * 1024,
                max_pending_records: 8_192,
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

/// Builder for a [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    config: Config,
}

impl ConfigBuilder {
    /// Minimum election timeout; a replica draws its timeout at random between this value and twice
    /// this value. Default: 300 ms.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Millis) -> Self {
        self.config.election_timeout = timeout;
        self
    }

    /// Interval between two heartbeats of a leader. Default: 75 ms.
    #[must_use]
    pub fn heartbeat_interval(mut self, interval: Millis) -> Self {
        self.config.heartbeat_interval = interval;
        self
    }

    /// Number of records applied since the last snapshot after which a new one is requested.
    /// Default: 10,000.
    #[must_use]
    pub fn snapshot_after_records(mut self, records: u64) -> Self {
        self.config.snapshot_after_records = records;
        self
    }

    /// Number of records before the snapshot that stay in memory for slow followers. Default:
    /// 1,000.
    #[must_use]
    pub fn retained_records(mut self, records: u64) -> Self {
        self.config.retained_records = records;
        self
    }

    /// Maximum size of the record data in an append message, in bytes. A single larger record is
    /// sent alone. Default: 1 MiB.
    #[must_use]
    pub fn max_append_bytes(mut self, bytes: usize) -> Self {
        self.config.max_append_bytes = bytes;
        self
    }

    /// Number of uncommitted records at which a leader rejects proposals, and of pending reads at
    /// which it rejects reads. Default: 8,192.
    #[must_use]
    pub fn max_pending_records(mut self, records: u64) -> Self {
        self.config.max_pending_records = records;
        self
    }

    /// Whether a leader that holds a lease serves reads without a heartbeat round. Default: false.
    ///
    /// A lease is sound only if the clock passed to `step` runs at the same rate on all replicas. A
    /// wall clock that is being adjusted does not guarantee this.
    #[must_use]
    pub fn lease_reads(mut self, enabled: bool) -> Self {
        self.config.lease_reads = enabled;
        self
    }

    /// Builds the settings.
    pub fn build(self) -> Config {
        self.config
    }
}
