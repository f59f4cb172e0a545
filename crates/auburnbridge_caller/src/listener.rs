//! Accepts connections and serves the requests on each connection in sequence.

use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use auburnbridge_http::{
    Connection, FramingError, KeepAlive, Limits, Request, RequestInfo, Response, UnreadRequest,
};
use auburnbridge_types::{BoxFuture, Clock, ErrorKind, Millis, RuntimeClock, Timestamp};
use futures_lite::FutureExt;
use log::{debug, info, warn};

use crate::{Disconnect, Lifecycle, LimitSource, Phase, Problem};

/// Delay after a failed accept, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Millis = Millis(20);
/// Time for which an idle connection is still read after the shutdown began, so that a request in
/// transit gets a response, and for which a closed connection's input is drained.
pub(crate) const LINGER_TIMEOUT: Millis = Millis(500);

/// Longest time for which a closed connection's input is drained.
const MAX_DRAIN_TIME: Millis = Millis(3_000);
/// Most input of a closed connection that is drained.
const MAX_DRAINED_BYTES: usize = 1024 * 1024;
const DRAIN_READ_BYTES: usize = 4 * 1024;

/// Handles whole requests.
pub trait Service: Send + Sync + 'static {
    /// Returns the response to `req`; `disconnect` completes when the caller disconnects.
    fn respond(
        &self,
        req: Request,
        caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response>;

    /// Decides from its head whether a request's body is read, on a pipelined connection. Returns
    /// the instant by which the body must have arrived, if there is one, or the response that
    /// refuses the request.
    fn admit(
        &self,
        _head: &UnreadRequest,
        _arrived: Timestamp,
    ) -> Result<Option<Timestamp>, Box<Response>> {
        Ok(None)
    }

    /// Like [`Service::respond`], for a request whose head arrived at `arrived`.
    fn respond_since(
        &self,
        req: Request,
        _arrived: Timestamp,
        caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        self.respond(req, caller, disconnect)
    }
}

/// Settings of a [`Listener`].
#[derive(Clone)]
pub struct ListenerOptions {
    limits: Limits,
    pub(crate) clock: Arc<dyn Clock>,
    idle_timeout: Millis,
    request_timeout: Millis,
    pub(crate) write_timeout: Millis,
    connection_limit: usize,
    pub(crate) pipeline_depth: usize,
    limit_source: Option<Arc<dyn LimitSource>>,
}

impl ListenerOptions {
    /// Starts with the defaults.
    pub fn builder() -> ListenerOptionsBuilder {
        ListenerOptionsBuilder(Self {
            limits: Limits::default(),
            clock: Arc::new(RuntimeClock),
            idle_timeout: Millis(60_000),
            request_timeout: Millis(15_000),
            write_timeout: Millis(15_000),
            connection_limit: 10_000,
            pipeline_depth: 1,
            limit_source: None,
        })
    }
}

/// Builds [`ListenerOptions`].
pub struct ListenerOptionsBuilder(ListenerOptions);

impl ListenerOptionsBuilder {
    /// Sets the limits on requests.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Sets the clock for all timeouts.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.0.clock = clock;
        self
    }

    /// Sets the time after which a connection without a request is closed.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Millis) -> Self {
        self.0.idle_timeout = timeout;
        self
    }

    /// Sets the time within which a whole request must arrive, unless the connection is pipelined.
    #[must_use]
    pub fn request_timeout(mut self, timeout: Millis) -> Self {
        self.0.request_timeout = timeout;
        self
    }

    /// Sets the time within which the caller must accept a whole response. On a pipelined
    /// connection, a caller that accepts bytes at the minimum rate has longer.
    #[must_use]
    pub fn write_timeout(mut self, timeout: Millis) -> Self {
        self.0.write_timeout = timeout;
        self
    }

    /// Sets the number of connections beyond which new ones are closed immediately.
    #[must_use]
    pub fn connection_limit(mut self, limit: usize) -> Self {
        self.0.connection_limit = limit;
        self
    }

    /// Handles up to this many requests of a connection concurrently, with limits that may change
    /// while it is open. By default, requests are handled in sequence.
    #[must_use]
    pub fn pipelined(mut self, depth: usize, limits: Arc<dyn LimitSource>) -> Self {
        self.0.pipeline_depth = depth.max(1);
        self.0.limit_source = Some(limits);
        self
    }

    /// Returns the options.
    pub fn build(self) -> ListenerOptions {
        self.0
    }
}

/// A listening socket and the service that handles its requests.
pub struct Listener {
    socket: TcpListener,
    state: Arc<ListenerState>,
}

pub(crate) struct ListenerState {
    pub(crate) service: Arc<dyn Service>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) options: ListenerOptions,
    connections: AtomicUsize,
}

impl Listener {
    /// Starts to listen on `address`.
    pub async fn bind(
        address: SocketAddr,
        service: Arc<dyn Service>,
        lifecycle: Arc<Lifecycle>,
        options: ListenerOptions,
    ) -> std::io::Result<Self> {
        Ok(Self {
            socket: TcpListener::bind(address).await?,
            state: Arc::new(ListenerState {
                service,
                lifecycle,
                options,
                connections: AtomicUsize::new(0),
            }),
        })
    }

    /// The local address of the socket.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts connections until the phase `Closing`.
    pub async fn run(self) {
        let accept = async {
            loop {
                self.accept_connection().await;
            }
        };
        accept.or(self.state.lifecycle.wait_closing()).await;
    }

    async fn accept_connection(&self) {
        let (stream, caller) = match self.socket.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("can't accept a connection: {error}");
                self.state.options.clock.sleep(ACCEPT_RETRY_DELAY).await;
                return;
            }
        };
        let state = Arc::clone(&self.state);
        if state.connections.fetch_add(1, Ordering::SeqCst) >= state.options.connection_limit {
            state.connections.fetch_sub(1, Ordering::SeqCst);
            warn!("closed the connection of {caller}: the connection limit is reached");
            return;
        }
        task::spawn(async move {
            // With Nagle's algorithm, small responses wait about 40 ms for the peer's delayed ACK.
            if let Err(error) = stream.set_nodelay(true) {
                debug!("can't set TCP_NODELAY for {caller}: {error}");
            }
            match &state.options.limit_source {
                Some(limits) => {
                    let limits = Arc::clone(limits);
                    state.serve_pipelined(stream, caller, &*limits).await;
                }
                None => {
                    state
                        .serve_connection(Connection::new(stream), caller)
                        .await;
                }
            }
            state.connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// How the wait for a request ended.
enum IdleOutcome {
    RequestStarted,
    ConnectionEnded,
}

impl ListenerState {
    async fn serve_connection(&self, mut connection: Connection<TcpStream>, caller: SocketAddr) {
        while let IdleOutcome::RequestStarted = self.wait_for_request(&mut connection).await {
            match self.serve_request(&mut connection, caller).await {
                KeepAlive::Reuse => {}
                KeepAlive::Close => break,
            }
        }
        close_gracefully(&mut connection, self.options.clock.as_ref()).await;
    }

    async fn wait_for_request(&self, connection: &mut Connection<TcpStream>) -> IdleOutcome {
        let clock = &self.options.clock;
        let bytes = async {
            match connection.wait_for_bytes().await {
                Ok(true) => IdleOutcome::RequestStarted,
                Ok(false) | Err(_) => IdleOutcome::ConnectionEnded,
            }
        };
        let idle = async {
            clock.sleep(self.options.idle_timeout).await;
            IdleOutcome::ConnectionEnded
        };
        let closing = async {
            self.lifecycle.wait_closing().await;
            clock.sleep(LINGER_TIMEOUT).await;
            IdleOutcome::ConnectionEnded
        };
        bytes.or(idle).or(closing).await
    }

    async fn serve_request(
        &self,
        connection: &mut Connection<TcpStream>,
        caller: SocketAddr,
    ) -> KeepAlive {
        let (limits, timeout) = (&self.options.limits, self.options.request_timeout);
        let req = match self.read_request(connection, caller, limits, timeout).await {
            Ok(req) => req,
            Err(kind) => {
                if let Some(kind) = kind {
                    let info = RequestInfo::default();
                    let _ = connection
                        .write_response(&unread_response(kind), info, KeepAlive::Close)
                        .await;
                }
                return KeepAlive::Close;
            }
        };
        let info = RequestInfo::from(&req);
        let requested_keep_alive = req.keep_alive;
        let Some(_in_flight) = self.lifecycle.begin_request() else {
            let response = Problem::new(ErrorKind::ShuttingDown, "the entry is shutting down")
                .for_possible_resend()
                .to_response();
            let _ = connection
                .write_response(&response, info, KeepAlive::Close)
                .await;
            return KeepAlive::Close;
        };
        let response = self.respond(connection, req, caller).await;
        let keep_alive = if self.lifecycle.phase() == Phase::Serving {
            requested_keep_alive
        } else {
            KeepAlive::Close
        };
        // A caller that reads nothing would keep the request in flight and delay a shutdown.
        let write = connection.write_response(&response, info, keep_alive);
        let timer = async {
            self.options.clock.sleep(self.options.write_timeout).await;
            Err(FramingError::Io(std::io::ErrorKind::TimedOut))
        };
        match write.or(timer).await {
            Ok(()) => keep_alive,
            Err(error) => {
                debug!("can't write the response to {caller}: {error}");
                KeepAlive::Close
            }
        }
    }

    /// Reads a request within `timeout`; an error without a kind gets no response.
    async fn read_request(
        &self,
        connection: &mut Connection<TcpStream>,
        caller: SocketAddr,
        limits: &Limits,
        timeout: Millis,
    ) -> Result<Request, Option<ErrorKind>> {
        let read = async {
            connection
                .read_request(limits)
                .await
                .map_err(|error| log_unread(caller, error))
        };
        let timer = async {
            self.options.clock.sleep(timeout).await;
            Err(Some(ErrorKind::RequestTimeout))
        };
        read.or(timer).await
    }

    /// Runs the service and watches the connection for the caller's disconnect.
    async fn respond(
        &self,
        connection: &mut Connection<TcpStream>,
        req: Request,
        caller: SocketAddr,
    ) -> Response {
        // A caller that asked to close the connection after this response may already have closed
        // its sending side, which is not a disconnect.
        let may_half_close = req.keep_alive == KeepAlive::Close;
        let (signal, disconnect) = Disconnect::new();
        let watch = async {
            let bytes = connection.wait_for_bytes().await;
            match bytes {
                Ok(false) if !may_half_close => signal.report(),
                Err(_) => signal.report(),
                Ok(_) => {}
            }
            std::future::pending::<Response>().await
        };
        self.service
            .respond(req, caller, disconnect)
            .or(watch)
            .await
    }
}

/// Logs why a request could not be read, and returns the error kind for the caller.
pub(crate) fn log_unread(caller: SocketAddr, error: FramingError) -> Option<ErrorKind> {
    info!("request refused caller={caller} framing={error}");
    error.request_kind()
}

/// The response to a request that could not be read. The request may be a resend of one that ran:
/// its idempotency key is unknown, and another process may have other limits.
pub(crate) fn unread_response(kind: ErrorKind) -> Response {
    Problem::new(kind, "the request could not be read")
        .for_possible_resend()
        .to_response()
}

/// Closes the sending side and waits until the caller has read the response.
async fn close_gracefully(connection: &mut Connection<TcpStream>, clock: &dyn Clock) {
    let stream = connection.get_mut();
    if stream.shutdown(Shutdown::Write).is_ok() {
        drain_input(stream, clock).await;
    }
}

/// Reads and discards input in transit, since the kernel would otherwise reset the connection
/// before the caller has read the last response.
///
/// Ends when the caller closes its side or pauses, and after a part of a body that is too large.
pub(crate) async fn drain_input(stream: &mut TcpStream, clock: &dyn Clock) {
    let mut buf = vec![0; DRAIN_READ_BYTES];
    let mut drained = 0;
    let draining = async {
        while drained < MAX_DRAINED_BYTES {
            let reading = async { stream.read(&mut buf).await.unwrap_or(0) };
            let pause = async {
                clock.sleep(LINGER_TIMEOUT).await;
                0
            };
            match reading.or(pause).await {
                0 => return,
                read => drained += read,
            }
        }
    };
    draining.or(clock.sleep(MAX_DRAIN_TIME)).await;
}
