//! Counters and timers, sent to a statsd server.
//!
//! Each metric is declared once with its meaning; `docs/OPERATIONS.md` lists them under the prefix
//! `auburnbridge`. Without an address nothing is sent. Sending never blocks a request: a full queue
//! drops metrics.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::panic::RefUnwindSafe;

use auburnbridge_types::Millis;
use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use log::debug;
use strum::{Display, EnumIter, IntoStaticStr};

const PREFIX: &str = "auburnbridge";
/// Metrics that wait to be sent.
const QUEUE: usize = 8_192;

/// Metrics that count events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Answers of targets that went to callers, by `service` and `class`.
    RequestAnswered,
    /// Rejections, by `service`, `kind` and `outcome`.
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
    /// Syncs of a keeper's disk.
    Sync,
    /// Records that those syncs carried.
    Record,
}

/// Metrics that measure durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timer {
    /// From a request's arrival to its answer, by `service` and `class`.
    RequestTime,
    /// One exchange with a target, by `service`.
    ExchangeTime,
    /// From a command to the ledger's reply, by `command`.
    LedgerTime,
}

/// Sends metrics.
pub struct Metrics {
    client: StatsdClient,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Sends to the statsd server at `address`, or nowhere.
    pub fn new(address: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self::over(NopMetricSink));
        };
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        Ok(Self::over(QueuingMetricSink::with_capacity(sink, QUEUE)))
    }

    /// Sends to any sink, such as one of a test.
    pub fn over(sink: impl cadence::MetricSink + Sync + Send + RefUnwindSafe + 'static) -> Self {
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
