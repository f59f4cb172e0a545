//! Connections whose requests are handled at the same time and answered in their order.
//!
//! One half reads requests ahead, the other writes the answers in turn. Reading goes on while
//! requests are handled, so that a caller's disconnect is seen whatever it has sent ahead.
//!
//! A connection is closed only behind its last answer: a request that was taken is answered on it,
//! and one that crosses the close is dropped before it is handed on.

use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use auburnbridge_http::{
    Connection, Limits, Request, RequestInfo, Response, Verdict, encode_response,
};
use auburnbridge_types::{ErrorKind, Millis};
use futures_lite::FutureExt;
use futures_lite::future::zip;
use log::debug;

use crate::disconnect::DisconnectSignal;
use crate::listener::{LINGER, Shared, drain, unread_response};
use crate::tracker::TaskGuard;
use crate::{Disconnect, Phase, Problem};

/// Interval at which the reading half looks whether all answers are written.
const RECHECK: Millis = Millis(50);

/// Limits that may change while connections are open.
pub trait LimitSource: Send + Sync {
    /// Limits of one request.
    fn limits(&self) -> Limits;

    /// Time between the first byte of a request and the end of its head, or of a step of its body.
    fn request_timeout(&self) -> Millis;

    /// Time after which a connection without a request is closed.
    fn idle_timeout(&self) -> Millis;
}

/// A request whose answer is due.
struct Due {
    info: RequestInfo,
    asked: Verdict,
    answer: Receiver<Response>,
    _guard: Option<TaskGuard>,
}

/// State that both halves of a connection share.
#[derive(Default)]
struct Halves {
    /// Requests whose answers are not written yet.
    due: AtomicUsize,
    /// Whether the last answer closes the connection: no further request is taken.
    is_closing: AtomicBool,
}

enum Next {
    Request,
    Over,
}

impl Shared {
    pub(crate) async fn serve_pipelined(
        &self,
        mut stream: TcpStream,
        caller: SocketAddr,
        limits: &dyn LimitSource,
    ) {
        let (due_tx, due_rx) = async_channel::bounded(self.options.pipeline_depth);
        let halves = Halves::default();
        let reading = self.read_requests(stream.clone(), caller, limits, due_tx, &halves);
        let writing = self.write_answers(stream.clone(), caller, due_rx, &halves);
        zip(reading, writing).await;
        drain(&mut stream, self.options.clock.as_ref()).await;
    }

    async fn read_requests(
        &self,
        stream: TcpStream,
        caller: SocketAddr,
        limits: &dyn LimitSource,
        due: Sender<Due>,
        halves: &Halves,
    ) {
        let mut connection = Connection::new(stream);
        let (signal, disconnect) = Disconnect::new();
        loop {
            match self.wait_for_next(&mut connection, limits, halves).await {
                Next::Request => {}
                Next::Over => break,
            }
            let (request_limits, timeout) = (limits.limits(), limits.request_timeout());
            let read = self.read_request(&mut connection, caller, &request_limits, timeout);
            let taken = match read.await {
                Ok(req) => self.take(req, caller, &disconnect, halves),
                Err(Some(kind)) => Some(refuse_unread(kind, halves)),
                Err(None) => break,
            };
            let Some(taken) = taken else {
                break;
            };
            let asked = taken.asked;
            if due.send(taken).await.is_err() || asked == Verdict::Retire {
                break;
            }
        }
        drop(due);
        self.watch_for_disconnect(&mut connection, &signal, halves)
            .await;
    }

    /// Waits for the first byte of a request while the connection is kept.
    async fn wait_for_next(
        &self,
        connection: &mut Connection<TcpStream>,
        limits: &dyn LimitSource,
        halves: &Halves,
    ) -> Next {
        loop {
            if halves.is_closing.load(Ordering::SeqCst) {
                return Next::Over;
            }
            let bytes = async {
                match connection.wait_for_bytes().await {
                    Ok(true) => Some(Next::Request),
                    Ok(false) | Err(_) => Some(Next::Over),
                }
            };
            let idle = async {
                self.options.clock.sleep(limits.idle_timeout()).await;
                let is_idle = halves.due.load(Ordering::SeqCst) == 0;
                is_idle.then_some(Next::Over)
            };
            let closing = async {
                self.lifecycle.wait_closing().await;
                self.options.clock.sleep(LINGER).await;
                Some(Next::Over)
            };
            if let Some(next) = bytes.or(idle).or(closing).await {
                return next;
            }
        }
    }

    /// Hands a request to the service, unless it crossed the close of its connection.
    fn take(
        &self,
        req: Request,
        caller: SocketAddr,
        disconnect: &Disconnect,
        halves: &Halves,
    ) -> Option<Due> {
        halves.due.fetch_add(1, Ordering::SeqCst);
        if halves.is_closing.load(Ordering::SeqCst) {
            halves.due.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        let (tx, answer) = async_channel::bounded(1);
        let info = RequestInfo::from(&req);
        let asked = req.verdict;
        let Some(guard) = self.lifecycle.begin_request() else {
            let problem = Problem::new(ErrorKind::ShuttingDown, "the process is shutting down");
            send_answer(&tx, problem.for_possible_resend().to_response());
            return Some(Due {
                info,
                asked: Verdict::Retire,
                answer,
                _guard: None,
            });
        };
        let service = Arc::clone(&self.service);
        let disconnect = disconnect.clone();
        task::spawn(async move {
            let response = service.respond(req, caller, disconnect).await;
            send_answer(&tx, response);
        });
        Some(Due {
            info,
            asked,
            answer,
            _guard: Some(guard),
        })
    }

    async fn write_answers(
        &self,
        mut stream: TcpStream,
        caller: SocketAddr,
        due: Receiver<Due>,
        halves: &Halves,
    ) {
        let mut closing = Shutdown::Both;
        while let Ok(next) = due.recv().await {
            let Ok(response) = next.answer.recv().await else {
                break;
            };
            let verdict = self.verdict(next.asked, halves);
            let mut buf = Vec::new();
            encode_response(&response, next.info, verdict, &mut buf);
            let write = async { stream.write_all(&buf).await };
            let late = async {
                self.options.clock.sleep(self.options.write_timeout).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            let written = write.or(late).await;
            halves.due.fetch_sub(1, Ordering::SeqCst);
            if let Err(error) = written {
                debug!("can't write the response to {caller}: {error}");
                break;
            }
            if verdict == Verdict::Retire {
                closing = Shutdown::Write;
                break;
            }
        }
        halves.is_closing.store(true, Ordering::SeqCst);
        // Closing both directions also ends the reading half.
        if let Err(error) = stream.shutdown(closing) {
            debug!("can't close the connection of {caller}: {error}");
        }
    }

    /// Whether the answer that is written next closes the connection.
    fn verdict(&self, asked: Verdict, halves: &Halves) -> Verdict {
        if asked == Verdict::Reuse && self.lifecycle.phase() == Phase::Serving {
            return Verdict::Reuse;
        }
        halves.is_closing.store(true, Ordering::SeqCst);
        // Requests behind this one that were taken are still to be answered.
        if halves.due.load(Ordering::SeqCst) > 1 {
            return Verdict::Reuse;
        }
        Verdict::Retire
    }

    /// Reports the caller's disconnect to the requests in flight.
    async fn watch_for_disconnect(
        &self,
        connection: &mut Connection<TcpStream>,
        signal: &DisconnectSignal,
        halves: &Halves,
    ) {
        while halves.due.load(Ordering::SeqCst) > 0 {
            let ended = async {
                // Bytes that were sent ahead hide the end of the stream behind them.
                matches!(connection.wait_for_more().await, Ok(false) | Err(_))
            };
            let recheck = async {
                self.options.clock.sleep(RECHECK).await;
                false
            };
            if ended.or(recheck).await {
                signal.report();
                return;
            }
        }
    }
}

fn refuse_unread(kind: ErrorKind, halves: &Halves) -> Due {
    halves.due.fetch_add(1, Ordering::SeqCst);
    let (tx, answer) = async_channel::bounded(1);
    send_answer(&tx, unread_response(kind));
    Due {
        info: RequestInfo::default(),
        asked: Verdict::Retire,
        answer,
        _guard: None,
    }
}

fn send_answer(tx: &Sender<Response>, response: Response) {
    if tx.try_send(response).is_err() {
        debug!("an answer was dropped: its connection has ended");
    }
}
