//! The pool of connections to all targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_lock::SemaphoreGuardArc;
use async_std::net::TcpStream;
use auburnbridge_http::{
    Connection, KeepAlive, Limits, Request, RequestInfo, encode_request_start,
};
use auburnbridge_types::{Clock, Millis, Timestamp};
use futures_lite::future::or;
use parking_lot::Mutex;

use crate::connect::connect;
use crate::exchange::{
    Exchange, ExchangeResult, NotSentReason, OutgoingRequest, REQUEST_TIMEOUT_STATUS, RoundTrip,
    UnknownReason, round_trip,
};
use crate::idle::TargetConnections;

const DEFAULT_CONNECT_TIMEOUT: Millis = Millis(250);
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(30_000);
/// Shorter than the idle timeout of common servers, a few seconds, usually 5 or more.
const DEFAULT_MAX_REUSE_IDLE: Millis = Millis(1_000);
/// A target accepts about 350 connections, which 13 to 16 entries share.
const DEFAULT_CONNECTIONS_PER_TARGET: usize = 20;

/// Settings of a [`Pool`].
pub struct PoolBuilder {
    clock: Arc<dyn Clock>,
    connect_timeout: Millis,
    idle_timeout: Millis,
    max_reuse_idle: Millis,
    connections_per_target: usize,
    echo_header: Option<&'static str>,
}

impl PoolBuilder {
    /// Limits the time to open a connection (default 250 ms).
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Millis) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the idle time after which a connection is closed (default 30 s).
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Millis) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Limits the idle time of a connection that [`Pool::exchange_on_recent`] reuses (default 1 s).
    #[must_use]
    pub fn max_reuse_idle(mut self, max_idle_time: Millis) -> Self {
        self.max_reuse_idle = max_idle_time;
        self
    }

    /// Limits the connections to one target, and thus its concurrent exchanges (default 20).
    #[must_use]
    pub fn connections_per_target(mut self, limit: usize) -> Self {
        self.connections_per_target = limit;
        self
    }

    /// Sets the request header whose value targets repeat in the answer (default none).
    ///
    /// An answer that repeats another value is a late answer to an earlier request and is skipped. One
    /// without a value is taken for the answer only if it is the first on its connection.
    #[must_use]
    pub fn echo_header(mut self, name: &'static str) -> Self {
        self.echo_header = Some(name);
        self
    }

    /// Creates the pool.
    pub fn build(self) -> Pool {
        Pool {
            options: self,
            targets: Mutex::new(HashMap::new()),
        }
    }
}

/// Connections to all targets.
pub struct Pool {
    options: PoolBuilder,
    targets: Mutex<HashMap<SocketAddr, Arc<TargetConnections>>>,
}

/// A connection in use and the semaphore permit of its exchange.
struct Lease {
    connection: Connection<TcpStream>,
    is_reused: bool,
    _permit: SemaphoreGuardArc,
}

impl Pool {
    /// Starts from the default settings.
    pub fn builder(clock: Arc<dyn Clock>) -> PoolBuilder {
        PoolBuilder {
            clock,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            max_reuse_idle: DEFAULT_MAX_REUSE_IDLE,
            connections_per_target: DEFAULT_CONNECTIONS_PER_TARGET,
            echo_header: None,
        }
    }

    /// Sends one request to the target at `address` and reads its answer before `deadline`.
    ///
    /// `limits` applies to the answer. Waiting for a free connection counts towards the deadline.
    /// Dropping the future closes the connection, which cancels the request at the target.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &Request,
        limits: &Limits,
        deadline: Timestamp,
    ) -> Exchange {
        let max_idle_time = self.options.idle_timeout;
        self.exchange_within(address, request, limits, deadline, max_idle_time)
            .await
    }

    /// Like [`Pool::exchange`], for a request that must not be resent.
    ///
    /// Reuses only recently used connections, since a target may close one that has been idle for
    /// longer while the request is in transit, which leaves the outcome unknown.
    pub async fn exchange_on_recent(
        &self,
        address: SocketAddr,
        request: &Request,
        limits: &Limits,
        deadline: Timestamp,
    ) -> Exchange {
        let max_idle_time = self.options.max_reuse_idle.min(self.options.idle_timeout);
        self.exchange_within(address, request, limits, deadline, max_idle_time)
            .await
    }

    /// Closes the connections that exceed the idle timeout, and removes unused targets.
    ///
    /// Must be called periodically, since no exchange closes the connections of a departed target.
    pub fn close_expired(&self) {
        let now = self.options.clock.now();
        self.targets.lock().retain(|_, target| {
            target.close_expired(now, self.options.idle_timeout);
            target.idle_count() > 0 || Arc::strong_count(target) > 1
        });
    }

    /// Closes the idle connections to the target at `address`, for example when it is leaving.
    pub fn close_idle(&self, address: SocketAddr) {
        let target = self.targets.lock().get(&address).cloned();
        if let Some(target) = target {
            target.close_idle();
        }
    }

    /// The number of idle connections to the target at `address`.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        let target = self.targets.lock().get(&address).cloned();
        target.map_or(0, |target| target.idle_count())
    }

    async fn exchange_within(
        &self,
        address: SocketAddr,
        request: &Request,
        limits: &Limits,
        deadline: Timestamp,
        max_idle_time: Millis,
    ) -> Exchange {
        let mut start = Vec::new();
        let rest = encode_request_start(request, &mut start);
        let target = self.target(address);
        loop {
            let lease = match self.lease(address, &target, deadline, max_idle_time).await {
                Ok(lease) => lease,
                Err(reason) => return Exchange::not_sent(reason),
            };
            let is_reused = lease.is_reused;
            let outgoing = OutgoingRequest {
                start: &start,
                rest,
                info: RequestInfo::from(request),
                echo: self
                    .options
                    .echo_header
                    .and_then(|name| Some((name, request.headers.get(name)?))),
                on_reused_connection: is_reused,
            };
            let exchange = self
                .exchange_on_lease(lease, &target, &outgoing, limits, deadline)
                .await;
            match exchange.result {
                // The target closed the idle connection before a byte was written, so another
                // connection can be used.
                ExchangeResult::NotSent(NotSentReason::Closed) if is_reused => {}
                _ => return exchange,
            }
        }
    }

    fn target(&self, address: SocketAddr) -> Arc<TargetConnections> {
        let limit = self.options.connections_per_target;
        let mut targets = self.targets.lock();
        let target = targets
            .entry(address)
            .or_insert_with(|| Arc::new(TargetConnections::new(limit)));
        Arc::clone(target)
    }

    async fn lease(
        &self,
        address: SocketAddr,
        target: &TargetConnections,
        deadline: Timestamp,
        max_idle_time: Millis,
    ) -> Result<Lease, NotSentReason> {
        if self.options.clock.now() >= deadline {
            return Err(NotSentReason::Deadline);
        }
        let acquiring = async { Ok(target.exchange_permits.acquire_arc().await) };
        let permit = or(acquiring, self.fail_at(deadline, NotSentReason::AllInUse)).await?;
        let now = self.options.clock.now();
        if now >= deadline {
            return Err(NotSentReason::AllInUse);
        }
        if let Some(connection) = target.take_usable(now, max_idle_time) {
            return Ok(Lease {
                connection,
                is_reused: true,
                _permit: permit,
            });
        }
        let connecting = connect(address, self.options.connect_timeout, &*self.options.clock);
        let connection = or(connecting, self.fail_at(deadline, NotSentReason::Deadline))
            .await
            .map_err(|reason| self.prefer_deadline(reason, deadline))?;
        Ok(Lease {
            connection,
            is_reused: false,
            _permit: permit,
        })
    }

    /// Reports `Deadline` rather than a connect timeout if both have passed: a delay of this
    /// process lets both timers fire at once and must not count as a timeout of the target.
    fn prefer_deadline(&self, reason: NotSentReason, deadline: Timestamp) -> NotSentReason {
        if reason == NotSentReason::ConnectTimeout && self.options.clock.now() >= deadline {
            return NotSentReason::Deadline;
        }
        reason
    }

    async fn exchange_on_lease(
        &self,
        mut lease: Lease,
        target: &TargetConnections,
        outgoing: &OutgoingRequest<'_>,
        limits: &Limits,
        deadline: Timestamp,
    ) -> Exchange {
        // The process may have been suspended while it connected.
        if self.options.clock.now() >= deadline {
            return Exchange::not_sent(NotSentReason::Deadline);
        }
        let received = lease.connection.bytes_received();
        let written = AtomicBool::new(false);
        let running = round_trip(&mut lease.connection, outgoing, limits, &written);
        let run = or(async { Some(running.await) }, async {
            self.sleep_until(deadline).await;
            None
        })
        .await;
        let answer_started = lease.connection.bytes_received() > received;
        let unknown = |reason| ExchangeResult::Unknown {
            reason,
            answer_started,
        };
        let result = match run {
            Some(RoundTrip::Answered(response, KeepAlive::Close))
                if lease.is_reused && response.status == REQUEST_TIMEOUT_STATUS =>
            {
                unknown(UnknownReason::IdleTimeout)
            }
            Some(RoundTrip::Answered(response, keep_alive)) => {
                if keep_alive == KeepAlive::Reuse {
                    target.put_back(lease.connection, self.options.clock.now());
                }
                ExchangeResult::Answered(response)
            }
            Some(RoundTrip::Closed) => ExchangeResult::NotSent(NotSentReason::Closed),
            Some(RoundTrip::Failed(reason)) => unknown(reason),
            None if written.load(Ordering::Relaxed) => unknown(UnknownReason::Deadline),
            None => ExchangeResult::NotSent(NotSentReason::Deadline),
        };
        Exchange {
            result,
            reused: lease.is_reused,
        }
    }

    async fn fail_at<T>(
        &self,
        deadline: Timestamp,
        reason: NotSentReason,
    ) -> Result<T, NotSentReason> {
        self.sleep_until(deadline).await;
        Err(reason)
    }

    async fn sleep_until(&self, deadline: Timestamp) {
        let left = deadline.since(self.options.clock.now());
        self.options.clock.sleep(left).await;
    }
}

impl Exchange {
    fn not_sent(reason: NotSentReason) -> Self {
        Self {
            result: ExchangeResult::NotSent(reason),
            reused: false,
        }
    }
}
