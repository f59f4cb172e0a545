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
    Connection, KeepAlive, Limits, Request, RequestInfo, Response, encode_response,
};
use auburnbridge_types::{ErrorKind, Millis};
use futures_lite::FutureExt;
use futures_lite::future::zip;
use log::debug;

use crate::disconnect::DisconnectSignal;
use crate::listener::{LINGER_TIMEOUT, ListenerState, drain_input, unread_response};
use crate::tracker::TaskGuard;
use crate::{Disconnect, Phase, Problem};

/// Interval at which the reader checks whether all responses are written.
const PENDING_CHECK_INTERVAL: Millis = Millis(50);

/// Limits that may change while connections are open.
pub trait LimitSource: Send + Sync {
    /// Limits on one request.
    fn limits(&self) -> Limits;

    /// Time from the first byte of a request within which the whole request must arrive.
    fn request_timeout(&self) -> Millis;

    /// Time after which a connection without a request is closed.
    fn idle_timeout(&self) -> Millis;
}

/// A request whose response is not written yet.
struct PendingResponse {
    info: RequestInfo,
    /// `Close` if the connection must close after this response.
    requested_keep_alive: KeepAlive,
    response_rx: Receiver<Response>,
    _guard: Option<TaskGuard>,
}

/// State shared by the reader and the writer of a connection.
#[derive(Default)]
struct PipelineState {
    /// Number of requests whose responses are not written yet.
    pending: AtomicUsize,
    /// Whether the connection closes after the last response; no further request is dispatched.
    is_closing: AtomicBool,
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
        let state = PipelineState::default();
        let reading = self.read_requests(stream.clone(), caller, limits, pending_tx, &state);
        let writing = self.write_responses(stream.clone(), caller, pending_rx, &state);
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
        let mut connection = Connection::new(stream);
        let (signal, disconnect) = Disconnect::new();
        loop {
            match self.wait_for_next(&mut connection, limits, state).await {
                NextEvent::RequestStarted => {}
                NextEvent::ConnectionEnded => break,
            }
            let (request_limits, timeout) = (limits.limits(), limits.request_timeout());
            let read = self.read_request(&mut connection, caller, &request_limits, timeout);
            let pending_response = match read.await {
                Ok(req) => self.dispatch(req, caller, &disconnect, state),
                Err(Some(kind)) => Some(reject_unread(kind, state)),
                Err(None) => break,
            };
            let Some(pending_response) = pending_response else {
                break;
            };
            let requested_keep_alive = pending_response.requested_keep_alive;
            if pending_tx.send(pending_response).await.is_err()
                || requested_keep_alive == KeepAlive::Close
            {
                break;
            }
        }
        drop(pending_tx);
        self.watch_for_disconnect(&mut connection, &signal, state)
            .await;
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
        caller: SocketAddr,
        disconnect: &Disconnect,
        state: &PipelineState,
    ) -> Option<PendingResponse> {
        state.pending.fetch_add(1, Ordering::SeqCst);
        if state.is_closing.load(Ordering::SeqCst) {
            state.pending.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        let (tx, response_rx) = async_channel::bounded(1);
        let info = RequestInfo::from(&req);
        let requested_keep_alive = req.keep_alive;
        let Some(guard) = self.lifecycle.begin_request() else {
            let problem = Problem::new(ErrorKind::ShuttingDown, "the process is shutting down");
            send_response(&tx, problem.for_possible_resend().to_response());
            return Some(PendingResponse {
                info,
                requested_keep_alive: KeepAlive::Close,
                response_rx,
                _guard: None,
            });
        };
        let service = Arc::clone(&self.service);
        let disconnect = disconnect.clone();
        task::spawn(async move {
            let response = service.respond(req, caller, disconnect).await;
            send_response(&tx, response);
        });
        Some(PendingResponse {
            info,
            requested_keep_alive,
            response_rx,
            _guard: Some(guard),
        })
    }

    async fn write_responses(
        &self,
        mut stream: TcpStream,
        caller: SocketAddr,
        pending_rx: Receiver<PendingResponse>,
        state: &PipelineState,
    ) {
        let mut closing = Shutdown::Both;
        while let Ok(next) = pending_rx.recv().await {
            let Ok(response) = next.response_rx.recv().await else {
                break;
            };
            let keep_alive = self.next_keep_alive(next.requested_keep_alive, state);
            let mut buf = Vec::new();
            encode_response(&response, next.info, keep_alive, &mut buf);
            let write = async { stream.write_all(&buf).await };
            let timer = async {
                self.options.clock.sleep(self.options.write_timeout).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            let written = write.or(timer).await;
            state.pending.fetch_sub(1, Ordering::SeqCst);
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

    /// Decides whether the response that is written next closes the connection, and stops
    /// dispatching requests if the connection is to close.
    fn next_keep_alive(&self, requested_keep_alive: KeepAlive, state: &PipelineState) -> KeepAlive {
        if requested_keep_alive == KeepAlive::Reuse && self.lifecycle.phase() == Phase::Serving {
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

fn reject_unread(kind: ErrorKind, state: &PipelineState) -> PendingResponse {
    state.pending.fetch_add(1, Ordering::SeqCst);
    let (tx, response_rx) = async_channel::bounded(1);
    send_response(&tx, unread_response(kind));
    PendingResponse {
        info: RequestInfo::default(),
        requested_keep_alive: KeepAlive::Close,
        response_rx,
        _guard: None,
    }
}

fn send_response(tx: &Sender<Response>, response: Response) {
    if tx.try_send(response).is_err() {
        debug!("dropped a response: its connection has ended");
    }
}
