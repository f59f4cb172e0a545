//! Counters and timers, sent to a statsd server.
//!
//! All metrics are declared here and listed in `docs/OPERATIONS.md`; their names have the prefix
//! `auburnbridge`. Without an address, nothing is sent. Sending never blocks a request: a full
//! queue drops metrics.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::panic::RefUnwindSafe;

use auburnbridge_types::Millis;
use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use log::debug;
use strum::{Display, EnumIter, IntoStaticStr};

const PREFIX: &str = "auburnbridge";
/// Maximum number of metrics that wait to be sent.
const QUEUED_METRICS: usize = 8_192;

/// Counters of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Answers of targets that were forwarded to callers, by `service` and `class`.
    RequestAnswered,
    /// Refused requests, by `service`, `kind` and `outcome`.
    RequestRefused,
    /// Exchanges with targets, by `service` and `result`.
    Exchange,
    /// Retries of idempotent requests, by `service`.
    Retry,
    /// Changes of a target's state, by `service`, `action` and `reason`.
    Placement,
    /// Replies of the ledger, by `command` and `reply`.
    Ledger,
    /// Requests that crashed a target.
    Crash,
    /// Disk syncs of a keeper's log.
    Sync,
    /// Log records that these syncs made durable.
    Record,
}

/// Timers of durations in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timer {
    /// Time from the arrival of a request to its answer, by `service` and `class`.
    RequestTime,
    /// Time of an exchange with a target, by `service`.
    ExchangeTime,
    /// Time from a command to the reply of the ledger, by `command`.
    LedgerTime,
}

/// Client that sends metrics.
pub struct Metrics {
    client: StatsdClient,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates a client that sends to the statsd server at `address`, or discards all metrics if it
    /// is `None`.
    ///
    /// Fails if no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self::with_sink(NopMetricSink));
        };
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        Ok(Self::with_sink(QueuingMetricSink::with_capacity(
            sink,
            QUEUED_METRICS,
        )))
    }

    /// Creates a client that sends to `sink`, for example in a test.
    pub fn with_sink(
        sink: impl cadence::MetricSink + Sync + Send + RefUnwindSafe + 'static,
    ) -> Self {
        let client = StatsdClient::builder(PREFIX, sink)
            .with_error_handler(|error| debug!("a metric was not sent: {error}"))
            .build();
        Self { client }
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter, tags: &[(&'static str, &str)]) {
        self.count_many(counter, 1, tags);
    }

    /// Counts several events.
    pub fn count_many(&self, counter: Counter, events: u64, tags: &[(&'static str, &str)]) {
        let name: &'static str = counter.into();
        let mut metric = self.client.count_with_tags(name, events);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Records one duration.
    pub fn time(&self, timer: Timer, time: Millis, tags: &[(&'static str, &str)]) {
        let name: &'static str = timer.into();
        let mut metric = self.client.time_with_tags(name, time.0);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }
}
