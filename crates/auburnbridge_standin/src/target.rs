//! A stand-in target that serves requests on a real socket.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use auburnbridge_http::{
    Connection, KeepAlive, Limits, Request, RequestInfo, Response, encode_response,
};
use auburnbridge_types::{Clock, DataCentre, Millis, RuntimeClock, ServiceName, Slots, TargetId};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use serde_json::json;

use crate::Fault;
use crate::announcer::{AnnouncementState, announce};

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Request header that sets the simulated processing time in milliseconds.
const WORK_HEADER: &str = "Standin-Work-Ms";

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    pub(crate) id: TargetId,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: DataCentre,
    pub(crate) slots: Slots,
    pub(crate) work: Millis,
    pub(crate) announce_to: Vec<SocketAddr>,
    pub(crate) exits_on_crash: bool,
}

impl TargetOptions {
    /// Creates a builder. The defaults are a free loopback port, 3 slots and a processing time of
    /// 5 ms.
    pub fn builder(id: TargetId, service: ServiceName) -> TargetOptionsBuilder {
        TargetOptionsBuilder(Self {
            id,
            service,
            address: ([127, 0, 0, 1], 0).into(),
            data_centre: "east".parse().expect("the data centre name is valid"),
            slots: Slots(3),
            work: Millis(5),
            announce_to: Vec::new(),
            exits_on_crash: false,
        })
    }
}

/// Builds [`TargetOptions`].
#[derive(Clone, Debug)]
pub struct TargetOptionsBuilder(TargetOptions);

impl TargetOptionsBuilder {
    /// Sets the address to listen on.
    #[must_use]
    pub fn address(mut self, address: SocketAddr) -> Self {
        self.0.address = address;
        self
    }

    /// Sets the data centre.
    #[must_use]
    pub fn data_centre(mut self, data_centre: DataCentre) -> Self {
        self.0.data_centre = data_centre;
        self
    }

    /// Sets the number of slots.
    #[must_use]
    pub fn slots(mut self, slots: Slots) -> Self {
        self.0.slots = slots;
        self
    }

    /// Sets the simulated processing time of a request.
    #[must_use]
    pub fn work(mut self, work: Millis) -> Self {
        self.0.work = work;
        self
    }

    /// Sets the entries that receive the announcements.
    #[must_use]
    pub fn announce_to(mut self, entries: Vec<SocketAddr>) -> Self {
        self.0.announce_to = entries;
        self
    }

    /// Sets whether a crash ends the process instead of closing the sockets.
    #[must_use]
    pub fn exits_on_crash(mut self, exits: bool) -> Self {
        self.0.exits_on_crash = exits;
        self
    }

    /// Returns the options.
    pub fn build(self) -> TargetOptions {
        self.0
    }
}

/// A running stand-in target.
#[derive(Debug)]
pub struct Target {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    options: TargetOptions,
    address: SocketAddr,
    incarnation: u64,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    is_crashed: AtomicBool,
    /// Channel that is closed on a crash, which stops the listener at once.
    crashed: (Sender<()>, Receiver<()>),
    in_flight: AtomicU32,
    fault: Mutex<Fault>,
    executions: Mutex<BTreeMap<String, u32>>,
    /// Streams of accepted connections, shut down on a crash.
    streams: Mutex<Vec<TcpStream>>,
}

impl Target {
    /// Binds the listener and starts to accept connections and send announcements.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(options: TargetOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let shared = Arc::new(Shared {
            address: listener.local_addr()?,
            incarnation: RuntimeClock.now().0,
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_crashed: AtomicBool::new(false),
            crashed: async_channel::bounded(1),
            in_flight: AtomicU32::new(0),
            fault: Mutex::default(),
            executions: Mutex::default(),
            streams: Mutex::default(),
            options,
        });
        let tasks = vec![
            task::spawn(accept_connections(listener, Arc::clone(&shared))),
            task::spawn(announce_periodically(Arc::clone(&shared))),
        ];
        Ok(Self { shared, tasks })
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the number of executions per idempotency key, or per path for requests without one.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.shared.executions.lock().clone()
    }

    /// Sets the fault to simulate from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.shared.fault.lock() = fault;
    }

    /// Announces to all entries that the target is leaving.
    pub async fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
        self.shared.announce().await;
    }

    /// Closes all sockets and stops announcing immediately.
    pub async fn crash(&mut self) {
        self.shared.close_sockets();
        for task in self.tasks.drain(..) {
            task.cancel().await;
        }
    }
}

impl Shared {
    fn serve_connection(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if *self.fault.lock() == Fault::CloseAtOnce {
            return;
        }
        self.streams.lock().push(stream.clone());
        task::spawn(serve(Connection::new(stream), Arc::clone(self)));
    }

    async fn announce(&self) {
        let state = AnnouncementState {
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst),
            is_leaving: self.is_leaving.load(Ordering::SeqCst),
        };
        announce(&self.options, self.address, state).await;
    }

    fn close_sockets(&self) {
        self.is_crashed.store(true, Ordering::SeqCst);
        self.crashed.0.close();
        for stream in self.streams.lock().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn crash(&self) {
        if self.options.exits_on_crash {
            std::process::exit(101);
        }
        self.close_sockets();
    }
}

async fn announce_periodically(shared: Arc<Shared>) {
    while !shared.is_crashed.load(Ordering::SeqCst) {
        shared.announce().await;
        task::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    let crash = shared.crashed.1.clone();
    let accepting = async {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                shared.serve_connection(stream);
            }
        }
    };
    let crashed = async { while crash.recv().await.is_ok() {} };
    accepting.or(crashed).await;
}

async fn serve(mut connection: Connection<TcpStream>, shared: Arc<Shared>) {
    let limits = Limits::default();
    while let Ok(req) = connection.read_request(&limits).await {
        let keep_alive = req.keep_alive;
        match shared.respond(&mut connection, &req).await {
            Some(response) => {
                let info = RequestInfo::from(&req);
                let written = connection.write_response(&response, info, keep_alive).await;
                if written.is_err() || keep_alive == KeepAlive::Close {
                    break;
                }
            }
            None => break,
        }
    }
    let _ = connection.get_ref().shutdown(std::net::Shutdown::Both);
}

impl Shared {
    /// Returns the response to write, or `None` to close the connection without a response.
    async fn respond(
        &self,
        connection: &mut Connection<TcpStream>,
        req: &Request,
    ) -> Option<Response> {
        match req.path.as_str() {
            "/standin/executions" => {
                return Some(json_response(200, &json!(*self.executions.lock())));
            }
            "/standin/fault" => return Some(self.change_fault(req)),
            "/health" => return Some(json_response(200, &json!({"status": "ok"}))),
            _ => {}
        }
        let fault = self.fault.lock().clone();
        if matches!(&fault, Fault::CrashOn { path } if req.path.contains(path.as_str())) {
            self.record_execution(req);
            self.crash();
            return None;
        }
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let response = if fault == Fault::Shed || in_flight >= self.options.slots.0 {
            Some(shed_response())
        } else {
            self.run(connection, req, fault).await
        };
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        response
    }

    async fn run(
        &self,
        connection: &mut Connection<TcpStream>,
        req: &Request,
        fault: Fault,
    ) -> Option<Response> {
        if fault == Fault::ServerError {
            return Some(json_response(500, &json!({"error": "internal"})));
        }
        let execution = self.record_execution(req);
        let mut work_ms = req
            .headers
            .text(WORK_HEADER)
            .and_then(|text| text.parse().ok())
            .unwrap_or(self.options.work.0);
        if let Fault::Slow { ms } = fault {
            work_ms += ms;
        }
        if !self.simulate_work(connection, work_ms).await {
            log::info!("target={} cancelled path={}", self.options.id, req.path);
            return None;
        }
        let response = json_response(
            200,
            &json!({
                "target": self.options.id.as_str(),
                "path": req.path,
                "execution": execution,
                "echo": String::from_utf8_lossy(&req.body),
            }),
        );
        match fault {
            Fault::HalfAnswer => {
                let mut buf = Vec::new();
                encode_response(
                    &response,
                    RequestInfo::from(req),
                    KeepAlive::Reuse,
                    &mut buf,
                );
                let _ = connection.get_mut().write_all(&buf[..buf.len() - 10]).await;
                None
            }
            Fault::Silent => {
                while let Ok(true) = connection.wait_for_bytes().await {}
                None
            }
            Fault::CloseAfterRun => None,
            _ => Some(response),
        }
    }

    /// Simulates `ms` milliseconds of processing. Returns `false` if the entry closes the
    /// connection before the end.
    async fn simulate_work(&self, connection: &mut Connection<TcpStream>, ms: u64) -> bool {
        let work = async {
            task::sleep(Duration::from_millis(ms)).await;
            true
        };
        let cancelled = async {
            if let Ok(true) = connection.wait_for_bytes().await {
                std::future::pending::<()>().await;
            }
            false
        };
        work.or(cancelled).await
    }

    fn record_execution(&self, req: &Request) -> u32 {
        let key = req
            .headers
            .text("Idempotency-Key")
            .unwrap_or(&req.path)
            .to_owned();
        let mut executions = self.executions.lock();
        let count = executions.entry(key.clone()).or_default();
        *count += 1;
        log::info!(
            "target={} execution={count} key={key} path={} attempt={}",
            self.options.id,
            req.path,
            req.headers.text("Auburnbridge-Attempt").unwrap_or("-")
        );
        *count
    }

    fn change_fault(&self, req: &Request) -> Response {
        match serde_json::from_slice(&req.body) {
            Ok(fault) => {
                *self.fault.lock() = fault;
                json_response(200, &json!({}))
            }
            Err(error) => json_response(400, &json!({"error": error.to_string()})),
        }
    }
}

fn shed_response() -> Response {
    let mut response = json_response(503, &json!({"error": "no slot is free"}));
    response.headers.append("Auburnbridge-Shed", "1");
    response
}

fn json_response(status: u16, body: &serde_json::Value) -> Response {
    let mut response = Response::new(status);
    response.headers.append("Content-Type", "application/json");
    response.body = body.to_string().into_bytes().into();
    response
}
