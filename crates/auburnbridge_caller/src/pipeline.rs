//! HTTP pipelining: the requests of a connection are handled concurrently and answered in order.
//!
//! One future reads requests ahead, another writes the responses in request order. Reading
//! continues while requests are handled, so that a caller's disconnect is noticed even behind
//! requests that it sent ahead.
//!
//! A connection is closed only after its last response: a dispatched request is answered on it, and
//! a request that arrives while it is closing is dropped before it reaches the service.

use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use auburnbridge_http::{
    ByteCounter, Connection, KeepAlive, Limits, Request, RequestInfo, Response, UnreadRequest,
    encode_response_start,
};
use auburnbridge_types::{ByteRate, ByteSize, ErrorKind, Millis, Timestamp};
use futures_lite::FutureExt;
use futures_lite::future::zip;
use log::debug;

use crate::disconnect::DisconnectSignal;
use crate::held_bytes::{ConnectionMemory, HeldBody};
use crate::listener::{LINGER_TIMEOUT, ListenerState, drain_input, log_unread, unread_response};
use crate::tracker::TaskGuard;
use crate::transfer::{TransferPace, count_from_now, wait_until_expired};
use crate::{Disconnect, Phase, Problem};

/// Default of the minimum rate of bodies.
const DEFAULT_MIN_RATE: ByteRate = ByteRate(8 * 1024);
/// Default limit on the bodies that one connection holds.
const DEFAULT_CONNECTION_MEMORY: ByteSize = ByteSize(1024 * 1024);
/// Longest body of a refused request that is skipped to keep the connection; after a longer one, the
/// connection is closed.
const MAX_SKIPPED_BODY: ByteSize = ByteSize(256 * 1024);
/// Interval at which the reader checks whether all responses are written.
const PENDING_CHECK_INTERVAL: Millis = Millis(50);

/// Limits that may change while connections are open.
pub trait LimitSource: Send + Sync {
    /// Limits on one request.
    fn limits(&self) -> Limits;

    /// Time from the first byte of a request within which its whole head must arrive.
    fn request_timeout(&self) -> Millis;

    /// Time after which a connection without a request is closed.
    fn idle_timeout(&self) -> Millis;

    /// Slowest transfer of a request's body that is still waited for.
    fn body_pace(&self) -> TransferPace {
        TransferPace {
            max_pause: self.request_timeout(),
            min_rate: DEFAULT_MIN_RATE,
        }
    }

    /// Limit on the bodies that one connection holds.
    fn connection_memory(&self) -> ByteSize {
        DEFAULT_CONNECTION_MEMORY
    }

    /// Counts a request that was refused because it could not be read.
    fn record_unread(&self, _kind: ErrorKind) {}
}

/// A request whose response is not written yet.
struct PendingResponse {
    info: RequestInfo,
    /// `Close` if the connection must close after this response.
    requested_keep_alive: KeepAlive,
    response_rx: Receiver<HeldResponse>,
    _count: PendingCount,
    _guard: Option<TaskGuard>,
}

/// Counts a response as pending until it is dropped: written, or queued for a writer that has ended.
struct PendingCount(Arc<AtomicUsize>);

impl PendingCount {
    fn new(pending: &Arc<AtomicUsize>) -> Self {
        pending.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(pending))
    }
}

impl Drop for PendingCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A response with the memory that its body holds.
struct HeldResponse {
    response: Response,
    _held: HeldBody,
}

/// What follows the head of a request on the connection.
enum NextRequest {
    /// The request was read whole, or refused; its response is written next.
    Pending(PendingResponse),
    /// The request was refused; the body of this length is skipped.
    Refused(PendingResponse, ByteSize),
    /// No further response is written.
    Ended,
}

/// The parts of a connection that reads requests.
struct RequestReader<'a> {
    connection: Connection<TcpStream>,
    caller: SocketAddr,
    limits: &'a dyn LimitSource,
    signal: DisconnectSignal,
    disconnect: Disconnect,
    state: &'a PipelineState,
}

/// State shared by the reader and the writer of a connection.
struct PipelineState {
    /// Number of requests whose responses are not written yet.
    pending: Arc<AtomicUsize>,
    /// Whether the connection closes after the last response; no further request is dispatched.
    is_closing: AtomicBool,
    memory: ConnectionMemory,
}

/// How the wait for the next request ended.
enum NextEvent {
    RequestStarted,
    ConnectionEnded,
}

impl ListenerState {
    pub(crate) async fn serve_pipelined(
        &self,
        mut stream: TcpStream,
        caller: SocketAddr,
        limits: &dyn LimitSource,
    ) {
        let (pending_tx, pending_rx) = async_channel::bounded(self.options.pipeline_depth);
        let state = PipelineState {
            pending: Arc::default(),
            is_closing: AtomicBool::new(false),
            memory: ConnectionMemory::new(limits.connection_memory()),
        };
        let reading = self.read_requests(stream.clone(), caller, limits, pending_tx, &state);
        let writing = self.write_responses(stream.clone(), caller, limits, pending_rx, &state);
        zip(reading, writing).await;
        drain_input(&mut stream, self.options.clock.as_ref()).await;
    }

    async fn read_requests(
        &self,
        stream: TcpStream,
        caller: SocketAddr,
        limits: &dyn LimitSource,
        pending_tx: Sender<PendingResponse>,
        state: &PipelineState,
    ) {
        let (signal, disconnect) = Disconnect::new();
        let mut reader = RequestReader {
            connection: Connection::new(stream),
            caller,
            limits,
            signal,
            disconnect,
            state,
        };
        loop {
            match self
                .wait_for_next(&mut reader.connection, limits, state)
                .await
            {
                NextEvent::RequestStarted => {}
                NextEvent::ConnectionEnded => break,
            }
            let (pending_response, skipped) = match self.read_next(&mut reader).await {
                NextRequest::Pending(pending_response) => (pending_response, ByteSize(0)),
                NextRequest::Refused(pending_response, skipped) => (pending_response, skipped),
                NextRequest::Ended => break,
            };
            let requested_keep_alive = pending_response.requested_keep_alive;
            if pending_tx.send(pending_response).await.is_err()
                || requested_keep_alive == KeepAlive::Close
            {
                break;
            }
            if !self.skip_body(&mut reader, skipped).await {
                state.is_closing.store(true, Ordering::SeqCst);
                break;
            }
        }
        drop(pending_tx);
        self.watch_for_disconnect(&mut reader.connection, &reader.signal, state)
            .await;
    }

    /// Reads a request and dispatches it, unless it is refused.
    async fn read_next(&self, reader: &mut RequestReader<'_>) -> NextRequest {
        let limits = reader.limits.limits();
        let head = match self.read_head(reader, &limits).await {
            Ok(head) => head,
            Err(kind) => return reject_unread(kind, reader),
        };
        let arrived = self.options.clock.now();
        if !head.has_body() {
            return self
                .read_and_dispatch(reader, head, &limits, arrived, None)
                .await;
        }
        let body_deadline = match self.service.admit(&head, arrived) {
            Ok(deadline) => deadline,
            Err(response) => return self.refuse(&head, *response, reader),
        };
        if !self.wait_for_room(reader, &head).await {
            return NextRequest::Ended;
        }
        self.read_and_dispatch(reader, head, &limits, arrived, body_deadline)
            .await
    }

    /// Reads the head of a request; an error without a kind gets no response.
    async fn read_head(
        &self,
        reader: &mut RequestReader<'_>,
        limits: &Limits,
    ) -> Result<UnreadRequest, Option<ErrorKind>> {
        let caller = reader.caller;
        let timeout = reader.limits.request_timeout();
        let read = async {
            let read = reader.connection.read_request_head(limits).await;
            read.map_err(|error| log_unread(caller, error))
        };
        let timer = async {
            self.options.clock.sleep(timeout).await;
            Err(Some(ErrorKind::RequestTimeout))
        };
        read.or(timer).await
    }

    /// Reads the body of a request, unless it is too slow, and dispatches the request.
    async fn read_and_dispatch(
        &self,
        reader: &mut RequestReader<'_>,
        head: UnreadRequest,
        limits: &Limits,
        arrived: Timestamp,
        body_deadline: Option<Timestamp>,
    ) -> NextRequest {
        let caller = reader.caller;
        let clock = self.options.clock.as_ref();
        let moved = count_from_now(reader.connection.received_counter());
        let pace = reader.limits.body_pace();
        let read = async {
            let read = reader.connection.read_request_body(head, limits).await;
            read.map_err(|error| log_unread(caller, error))
        };
        let too_slow = async {
            wait_until_expired(clock, pace, moved).await;
            Err(Some(ErrorKind::RequestTimeout))
        };
        let too_late = async {
            match body_deadline {
                Some(deadline) => clock.sleep(deadline.since(clock.now())).await,
                None => std::future::pending().await,
            }
            Err(Some(ErrorKind::RequestTimeout))
        };
        match read.or(too_slow).or(too_late).await {
            Ok(req) => self.dispatch(req, arrived, reader),
            Err(kind) => reject_unread(kind, reader),
        }
    }

    /// Waits until the connection may hold the body of this request; `false` if the connection ends
    /// or closes first.
    async fn wait_for_room(&self, reader: &mut RequestReader<'_>, head: &UnreadRequest) -> bool {
        let state = reader.state;
        let bytes = head.body_length().unwrap_or_default();
        loop {
            // Bytes that were sent ahead may hide the end of the stream after a failed write.
            if state.is_closing.load(Ordering::SeqCst) {
                return false;
            }
            // An interim response must not precede the responses to earlier requests.
            let is_in_turn = !head.awaits_continue() || state.pending.load(Ordering::SeqCst) == 0;
            if is_in_turn && state.memory.has_room(bytes) {
                return true;
            }
            let is_open = async {
                state.memory.wait_for_release().await;
                true
            };
            let recheck = async {
                self.options.clock.sleep(PENDING_CHECK_INTERVAL).await;
                true
            };
            let ended = async {
                while matches!(reader.connection.wait_for_more().await, Ok(true)) {}
                false
            };
            if !is_open.or(recheck).or(ended).await {
                reader.signal.report();
                return false;
            }
        }
    }

    /// Refuses a request before its body is read.
    fn refuse(
        &self,
        head: &UnreadRequest,
        response: Response,
        reader: &RequestReader<'_>,
    ) -> NextRequest {
        if reader.state.is_closing.load(Ordering::SeqCst) {
            return NextRequest::Ended;
        }
        // Whether the body follows is unknown if the caller waits for `100 Continue`.
        let skipped = head
            .body_length()
            .filter(|length| *length <= MAX_SKIPPED_BODY && !head.awaits_continue());
        let keep_alive = match skipped {
            Some(_) => head.request().keep_alive,
            None => KeepAlive::Close,
        };
        let info = RequestInfo::from(head.request());
        let pending_response = PendingResponse {
            _guard: self.lifecycle.begin_request(),
            ..answered(response, info, keep_alive, reader.state)
        };
        NextRequest::Refused(pending_response, skipped.unwrap_or_default())
    }

    /// Skips the body of a refused request; `false` if it doesn't arrive whole.
    async fn skip_body(&self, reader: &mut RequestReader<'_>, length: ByteSize) -> bool {
        let clock = self.options.clock.as_ref();
        let moved = count_from_now(reader.connection.received_counter());
        let pace = reader.limits.body_pace();
        let skip = async { reader.connection.skip_bytes(length.0).await.is_ok() };
        let too_slow = async {
            wait_until_expired(clock, pace, moved).await;
            false
        };
        skip.or(too_slow).await
    }

    /// Waits for the first byte of a request, or for the end of the connection.
    async fn wait_for_next(
        &self,
        connection: &mut Connection<TcpStream>,
        limits: &dyn LimitSource,
        state: &PipelineState,
    ) -> NextEvent {
        loop {
            if state.is_closing.load(Ordering::SeqCst) {
                return NextEvent::ConnectionEnded;
            }
            let bytes = async {
                match connection.wait_for_bytes().await {
                    Ok(true) => Some(NextEvent::RequestStarted),
                    Ok(false) | Err(_) => Some(NextEvent::ConnectionEnded),
                }
            };
            let idle = async {
                self.options.clock.sleep(limits.idle_timeout()).await;
                let is_idle = state.pending.load(Ordering::SeqCst) == 0;
                is_idle.then_some(NextEvent::ConnectionEnded)
            };
            let closing = async {
                self.lifecycle.wait_closing().await;
                self.options.clock.sleep(LINGER_TIMEOUT).await;
                Some(NextEvent::ConnectionEnded)
            };
            if let Some(next) = bytes.or(idle).or(closing).await {
                return next;
            }
        }
    }

    /// Passes a request to the service, unless the connection is already closing.
    fn dispatch(
        &self,
        req: Request,
        arrived: Timestamp,
        reader: &RequestReader<'_>,
    ) -> NextRequest {
        let state = reader.state;
        let count = PendingCount::new(&state.pending);
        if state.is_closing.load(Ordering::SeqCst) {
            return NextRequest::Ended;
        }
        let info = RequestInfo::from(&req);
        let requested_keep_alive = req.keep_alive;
        let Some(guard) = self.lifecycle.begin_request() else {
            let problem = Problem::new(ErrorKind::ShuttingDown, "the process is shutting down");
            let response = problem.for_possible_resend().to_response();
            return NextRequest::Pending(answered(response, info, KeepAlive::Close, state));
        };
        let (tx, response_rx) = async_channel::bounded(1);
        let service = Arc::clone(&self.service);
        let (caller, disconnect) = (reader.caller, reader.disconnect.clone());
        let memory = state.memory.clone();
        let held = memory.hold(req.body.len());
        task::spawn(async move {
            let response = service
                .respond_since(req, arrived, caller, disconnect)
                .await;
            drop(held);
            send_response(&tx, response, &memory);
        });
        NextRequest::Pending(PendingResponse {
            info,
            requested_keep_alive,
            response_rx,
            _count: count,
            _guard: Some(guard),
        })
    }

    async fn write_responses(
        &self,
        mut stream: TcpStream,
        caller: SocketAddr,
        limits: &dyn LimitSource,
        pending_rx: Receiver<PendingResponse>,
        state: &PipelineState,
    ) {
        let mut closing = Shutdown::Both;
        while let Ok(next) = pending_rx.recv().await {
            let Ok(held) = next.response_rx.recv().await else {
                break;
            };
            let keep_alive = self.next_keep_alive(next.requested_keep_alive, state);
            let min_rate = limits.body_pace().min_rate;
            let written = self
                .write_response(&mut stream, &held.response, next.info, keep_alive, min_rate)
                .await;
            if let Err(error) = written {
                debug!("can't write the response to {caller}: {error}");
                break;
            }
            if keep_alive == KeepAlive::Close {
                closing = Shutdown::Write;
                break;
            }
        }
        state.is_closing.store(true, Ordering::SeqCst);
        // Closing both directions also ends the reader.
        if let Err(error) = stream.shutdown(closing) {
            debug!("can't close the connection of {caller}: {error}");
        }
    }

    /// Writes a response, unless the caller accepts it too slowly.
    async fn write_response(
        &self,
        stream: &mut TcpStream,
        response: &Response,
        info: RequestInfo,
        keep_alive: KeepAlive,
        min_rate: ByteRate,
    ) -> std::io::Result<()> {
        let mut start = Vec::new();
        let rest = encode_response_start(response, info, keep_alive, &mut start);
        let written = ByteCounter::default();
        let write = async {
            write_counted(stream, &start, &written).await?;
            write_counted(stream, rest, &written).await
        };
        let pace = TransferPace {
            max_pause: self.options.write_timeout,
            min_rate,
        };
        let too_slow = async {
            wait_until_expired(self.options.clock.as_ref(), pace, || written.get()).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        write.or(too_slow).await
    }

    /// Decides whether the response that is written next closes the connection, and stops
    /// dispatching requests if the connection is to close.
    fn next_keep_alive(&self, requested_keep_alive: KeepAlive, state: &PipelineState) -> KeepAlive {
        if requested_keep_alive == KeepAlive::Reuse
            && self.lifecycle.phase() == Phase::Serving
            && !state.is_closing.load(Ordering::SeqCst)
        {
            return KeepAlive::Reuse;
        }
        state.is_closing.store(true, Ordering::SeqCst);
        // Requests dispatched after this one must still be answered.
        if state.pending.load(Ordering::SeqCst) > 1 {
            return KeepAlive::Reuse;
        }
        KeepAlive::Close
    }

    /// Reports the caller's disconnect to the requests in flight.
    async fn watch_for_disconnect(
        &self,
        connection: &mut Connection<TcpStream>,
        signal: &DisconnectSignal,
        state: &PipelineState,
    ) {
        while state.pending.load(Ordering::SeqCst) > 0 {
            let ended = async {
                // Bytes that were sent ahead hide the end of the stream behind them.
                matches!(connection.wait_for_more().await, Ok(false) | Err(_))
            };
            let recheck = async {
                self.options.clock.sleep(PENDING_CHECK_INTERVAL).await;
                false
            };
            if ended.or(recheck).await {
                signal.report();
                return;
            }
        }
    }
}

/// Refuses a request that could not be read; an error without a kind gets no response.
fn reject_unread(kind: Option<ErrorKind>, reader: &RequestReader<'_>) -> NextRequest {
    let Some(kind) = kind else {
        return NextRequest::Ended;
    };
    reader.limits.record_unread(kind);
    let (response, info) = (unread_response(kind), RequestInfo::default());
    NextRequest::Pending(answered(response, info, KeepAlive::Close, reader.state))
}

/// A request whose response is ready.
fn answered(
    response: Response,
    info: RequestInfo,
    requested_keep_alive: KeepAlive,
    state: &PipelineState,
) -> PendingResponse {
    let (tx, response_rx) = async_channel::bounded(1);
    send_response(&tx, response, &state.memory);
    PendingResponse {
        info,
        requested_keep_alive,
        response_rx,
        _count: PendingCount::new(&state.pending),
        _guard: None,
    }
}

fn send_response(tx: &Sender<HeldResponse>, response: Response, memory: &ConnectionMemory) {
    let held = HeldResponse {
        _held: memory.hold(response.body.len()),
        response,
    };
    if tx.try_send(held).is_err() {
        debug!("dropped a response: its connection has ended");
    }
}

async fn write_counted(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    written: &ByteCounter,
) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let count = stream.write(bytes).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        written.add(count as u64);
        bytes = &bytes[count..];
    }
    Ok(())
}
