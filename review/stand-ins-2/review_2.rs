//! Cases 6 to 10 of the second review: a small fleet of real processes on loopback, and stand-ins for
//! clients, servers, the operator and the platform. Uses the standard library only.
//!
//! `review_2 CASE FOLDER` runs a case and writes `record.txt` into FOLDER. `review_2 server ...` is a
//! stand-in server, which a case starts as a separate process so that it can be killed.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = "target/release/auburnbridge";
const HOST: &str = "shop.example";
/// Requests that a server queues beyond its slots.
const SERVER_QUEUE: usize = 12;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Bounds of `sites/pmhu-gateway.toml`.
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

mod cases;

type Fallible<T> = Result<T, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("server") => {
            serve(&args[1..]);
            ExitCode::SUCCESS
        }
        Some(case) if args.len() == 2 => match run_case(case, Path::new(&args[1])) {
            Ok(true) => ExitCode::from(1),
            Ok(false) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("the case could not run: {error}");
                ExitCode::from(2)
            }
        },
        _ => ExitCode::from(2),
    }
}

/// Runs a case; returns whether its rule was broken.
fn run_case(case: &str, folder: &Path) -> Fallible<bool> {
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(folder)?);
    record.note(&format!("case {case}, trouble {with_trouble}"));
    let broken = match case {
        "6" => cases::drained_server_of_a_removed_service(&record, with_trouble),
        "7" => cases::odd_entry_hides_a_departure(&record, with_trouble),
        "8" => cases::crashes_refuse_a_shared_path(&record, with_trouble),
        "9" => cases::restarts_forget_crashes(&record, with_trouble),
        "10" => cases::departed_client_keeps_its_lookups(&record, with_trouble),
        _ => Err(format!("no case {case}")),
    };
    match &broken {
        Ok(broken) => record.note(if *broken { "RULE BROKEN" } else { "rule held" }),
        Err(error) => record.note(&format!("could not run: {error}")),
    }
    broken
}

// ---------------------------------------------------------------------------------------------------
// Record

/// Writes what happened, with seconds since the start.
struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn create(folder: &Path) -> Fallible<Self> {
        let file = File::create(folder.join("record.txt")).map_err(text)?;
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    fn note(&self, line: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {line}");
        println!("{seconds:8.3} {line}");
    }

    /// Writes a line to the record only.
    fn detail(&self, line: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {line}");
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_secs() * 1_000 + u64::from(now.subsec_millis())
}

// ---------------------------------------------------------------------------------------------------
// Stand-in server

/// Slots of a server: running requests and queued ones.
#[derive(Default)]
struct Slots {
    state: Mutex<(usize, usize)>,
    freed: Condvar,
}

/// `server ID ADDRESS SLOTS LOG`: serves requests until it is killed, and logs those that arrive.
///
/// `Work-Ms` of a request is its work in milliseconds, which ends early if its connection closes. A path
/// that contains `/crash` ends the process.
fn serve(args: &[String]) {
    let [id, address, slots, log] = args else {
        panic!("server ID ADDRESS SLOTS LOG");
    };
    let slots: usize = slots.parse().unwrap();
    let listener = TcpListener::bind(address.as_str()).unwrap();
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .unwrap();
    let log = Arc::new(Mutex::new(log));
    let state = Arc::new(Slots::default());
    for stream in listener.incoming().flatten() {
        let (id, log, state) = (id.clone(), Arc::clone(&log), Arc::clone(&state));
        thread::spawn(move || {
            let _ = serve_connection(stream, &id, slots, &state, &log);
        });
    }
}

fn serve_connection(
    stream: TcpStream,
    id: &str,
    slots: usize,
    state: &Slots,
    log: &Mutex<File>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(message) = Message::read(&mut reader)? {
        let attempt = message.header("Attempt-Id").unwrap_or("-").to_owned();
        let path = message.start.split(' ').nth(1).unwrap_or("/").to_owned();
        let write_log = |event: &str| {
            let line = format!("{} {event} {id} {attempt} {path}\n", unix_millis());
            let _ = log.lock().unwrap().write_all(line.as_bytes());
        };
        let rejected = |stream: &mut TcpStream, status: &str| {
            let head = format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(head.as_bytes())
        };
        if message
            .header("Expect-Instance")
            .is_some_and(|expected| expected != id)
        {
            write_log("misdirected");
            rejected(&mut stream, "421 Misdirected Request")?;
            continue;
        }
        write_log("arrived");
        if !state.enter(slots) {
            write_log("shed");
            rejected(&mut stream, "503 Service Unavailable")?;
            continue;
        }
        write_log("run");
        if path.contains("/crash") {
            std::process::exit(101);
        }
        let work = message
            .header("Work-Ms")
            .and_then(|value| value.parse().ok());
        let finished = work_unless_closed(&stream, Duration::from_millis(work.unwrap_or(5)))?;
        state.leave();
        if !finished {
            write_log("cancelled");
            return Ok(());
        }
        let body = format!("{id} {path}\n");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nUpstream-Seal: {id}.{attempt}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes())?;
        write_log("answered");
    }
    Ok(())
}

impl Slots {
    /// Waits for a slot; `false` if the queue is full.
    fn enter(&self, slots: usize) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.0 >= slots {
            if state.1 >= SERVER_QUEUE {
                return false;
            }
            state.1 += 1;
            while state.0 >= slots {
                state = self.freed.wait(state).unwrap();
            }
            state.1 -= 1;
        }
        state.0 += 1;
        true
    }

    fn leave(&self) {
        self.state.lock().unwrap().0 -= 1;
        self.freed.notify_all();
    }
}

/// Works for `time`; `false` if the sender closes the connection before.
fn work_unless_closed(stream: &TcpStream, time: Duration) -> io::Result<bool> {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            stream.set_read_timeout(None)?;
            return Ok(true);
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.peek(&mut [0]) {
            Ok(0) => return Ok(false),
            // Bytes of a further request wait for their turn.
            Ok(_) => thread::sleep(left),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
            Err(_) => return Ok(false),
        }
    }
}

// ---------------------------------------------------------------------------------------------------
// HTTP

/// A request or response with a body of known length.
struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` at the end of the connection.
    fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut start = String::new();
        if reader.read_line(&mut start)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let mut message = Self {
            start: start.trim_end().to_owned(),
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("Content-Length")
            .and_then(|value| value.parse().ok());
        message.body.resize(length.unwrap_or(0), 0);
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

/// Sends one request on a new connection and reads the response.
fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    Message::read(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// Sends one request as a client; returns the status, or 0 without an answer.
fn send(
    gateway: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    work_ms: u64,
    deadline_ms: u64,
) -> u16 {
    let headers =
        format!("Attempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\nWork-Ms: {work_ms}\r\n");
    let limit = Duration::from_millis(deadline_ms + 1_000);
    call(gateway, method, path, &headers, "", limit).map_or(0, |answer| answer.status())
}

// ---------------------------------------------------------------------------------------------------
// Fleet

/// A process that is killed at the end.
struct Process(Child);

impl Process {
    fn signal(&self, name: &str) -> Fallible<()> {
        let pid = self.0.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        match status {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("can't send {name}")),
        }
    }

    fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A server as the platform knows it.
#[derive(Clone)]
struct Server {
    id: String,
    service: String,
    address: SocketAddr,
    slots: usize,
    born: u64,
}

impl Server {
    fn heartbeat(&self, state: &str, seq_no: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"z1\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq_no\":{seq_no},\"warmup_remaining\":\"0ms\"}}}}",
            self.address, self.born, self.service, self.slots
        )
    }
}

/// Servers that send heartbeats, shared with the thread that sends them.
#[derive(Default)]
struct Beats {
    servers: Mutex<Vec<Server>>,
    seq_no: AtomicU64,
    ended: AtomicBool,
}

struct Fleet {
    record: Arc<Record>,
    folder: PathBuf,
    /// First two octets of the addresses of this fleet.
    net: String,
    ports: [u16; 5],
    controls: Vec<Option<Process>>,
    gateways: Vec<Option<Process>>,
    servers: Vec<(Server, Option<Process>)>,
    next_server: usize,
    beats: Arc<Beats>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.beats.ended.store(true, Ordering::SeqCst);
        self.controls.clear();
        self.gateways.clear();
        self.servers.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    fn new(record: &Arc<Record>) -> Fallible<Self> {
        let pid = std::process::id();
        let net = format!("127.{}", 64 + pid % 128);
        let folder = std::env::temp_dir().join(format!("auburnbridge-review-{pid}"));
        fs::create_dir_all(&folder).map_err(text)?;
        let mut ports = [0; 5];
        let mut held = Vec::new();
        for port in &mut ports {
            let listener = TcpListener::bind("0.0.0.0:0").map_err(text)?;
            *port = listener.local_addr().map_err(text)?.port();
            held.push(listener);
        }
        Ok(Self {
            record: Arc::clone(record),
            folder,
            net,
            ports,
            controls: Vec::new(),
            gateways: Vec::new(),
            servers: Vec::new(),
            next_server: 0,
            beats: Arc::default(),
        })
    }

    /// Starts control processes and gateways, with the settings that `deploy/*.json` yield for
    /// `sites/pmhu-gateway.toml`.
    fn start(record: &Arc<Record>, controls: usize, gateways: usize) -> Fallible<Self> {
        let mut fleet = Self::new(record)?;
        for number in 0..controls {
            let process = fleet.start_control(number)?;
            fleet.controls.push(Some(process));
        }
        for number in 0..gateways {
            let process = fleet.start_gateway(number)?;
            fleet.gateways.push(Some(process));
        }
        Ok(fleet)
    }

    fn control(&self, number: usize) -> SocketAddr {
        format!("{}.0.{}:{}", self.net, 10 + number, self.ports[0])
            .parse()
            .unwrap()
    }

    fn gateway(&self, number: usize) -> SocketAddr {
        format!("{}.1.{}:{}", self.net, 10 + number, self.ports[1])
            .parse()
            .unwrap()
    }

    fn readiness(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateway(number).ip(), self.ports[2])
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.control(seed)))
            .collect();
        seeds.join(",")
    }

    fn start_control(&self, number: usize) -> Fallible<Process> {
        let [_, _, _, first, second] = self.ports;
        let (address, ip) = (self.control(number), self.control(number).ip());
        let settings = format!(
            "{{\"vm_address\":\"{ip}\",\"data_centre\":\"z1\",\"peer_port\":{first},\"control_address\":\"{address}\",\"data_folder\":\"{}\",\"seeds\":[{}],\"founds_group\":true,\"tolerated_losses\":1,\"replacement_limit\":\"4s\",\"metrics_address\":\"{ip}:{second}\"}}",
            self.folder.join(format!("data-{number}")).display(),
            self.seeds()
        );
        self.start_program("control", number, &settings)
    }

    fn start_gateway(&self, number: usize) -> Fallible<Process> {
        let [_, _, _, first, second] = self.ports;
        let (callers, ready) = (self.gateway(number), self.readiness(number));
        let ip = callers.ip();
        let settings = format!(
            "{{\"vm_address\":\"{ip}\",\"data_centre\":\"z1\",\"caller_address\":\"{callers}\",\"readiness_address\":\"{ready}\",\"peer_port\":{second},\"keeper_port\":{first},\"seeds\":[{}],\"stop_limit\":\"6s\",\"vm_memory\":\"624MiB\",\"floor_share\":0.7,\"resend_share\":0.2,\"resend_allowance\":60,\"resend_window\":\"10s\",\"link_rate\":\"2400.0Mbit/s\",\"metrics_address\":\"{ip}:{second}\"}}",
            self.seeds()
        );
        self.start_program("gateway", number, &settings)
    }

    fn start_program(&self, role: &str, number: usize, settings: &str) -> Fallible<Process> {
        let path = self.folder.join(format!("{role}-{number}.json"));
        fs::write(&path, settings).map_err(text)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{role}-{number}.log")))
            .map_err(text)?;
        let errors = log.try_clone().map_err(text)?;
        let child = Command::new(PROGRAM)
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("can't start {PROGRAM}: {error}"))?;
        self.record
            .note(&format!("started {role} {number}, process {}", child.id()));
        Ok(Process(child))
    }

    /// Starts a server, which sends heartbeats from now on. Returns its position.
    fn add_server(&mut self, service: &str, slots: usize) -> Fallible<usize> {
        let position = self.servers.len();
        let address = format!("{}.2.{}:{}", self.net, 10 + position, self.ports[1])
            .parse()
            .unwrap();
        let server = self.new_server(service, address, slots);
        let process = self.start_server(&server)?;
        self.servers.push((server, Some(process)));
        Ok(position)
    }

    fn new_server(&mut self, service: &str, address: SocketAddr, slots: usize) -> Server {
        self.next_server += 1;
        Server {
            id: format!("i-{:04}", self.next_server),
            service: service.to_owned(),
            address,
            slots,
            born: unix_millis(),
        }
    }

    fn start_server(&self, server: &Server) -> Fallible<Process> {
        let program = std::env::current_exe().map_err(text)?;
        let child = Command::new(program)
            .args([
                "server",
                &server.id,
                &server.address.to_string(),
                &server.slots.to_string(),
            ])
            .arg(self.server_log())
            .stdin(Stdio::null())
            .spawn()
            .map_err(text)?;
        self.record.detail(&format!(
            "started server {} of {} at {}",
            server.id, server.service, server.address
        ));
        self.beats.servers.lock().unwrap().push(server.clone());
        Ok(Process(child))
    }

    /// Stops the heartbeats of a server.
    fn silence(&self, id: &str) {
        let mut servers = self.beats.servers.lock().unwrap();
        servers.retain(|server| server.id != id);
    }

    /// Starts a new incarnation with a new id at the address of a server that has ended.
    fn restart_server(&mut self, position: usize) -> Fallible<()> {
        let old = self.servers[position].0.clone();
        let server = self.new_server(&old.service, old.address, old.slots);
        let process = self.start_server(&server)?;
        self.servers[position] = (server, Some(process));
        Ok(())
    }

    fn server_log(&self) -> PathBuf {
        self.folder.join("servers.log")
    }

    /// What the servers have logged: time, event, server, attempt, path.
    fn server_events(&self) -> Vec<(u64, String, String, String, String)> {
        let log = fs::read_to_string(self.server_log()).unwrap_or_default();
        let parse = |line: &str| {
            let words: Vec<&str> = line.split(' ').collect();
            let [at, event, id, attempt, path] = words.as_slice() else {
                return None;
            };
            let at = at.parse().ok()?;
            Some((
                at,
                (*event).to_owned(),
                (*id).to_owned(),
                (*attempt).to_owned(),
                (*path).to_owned(),
            ))
        };
        log.lines().filter_map(parse).collect()
    }

    fn all_controls(&self) -> Vec<SocketAddr> {
        (0..self.controls.len())
            .map(|number| self.control(number))
            .collect()
    }

    /// Calls one control process after another until one gives the status or `limit` has passed.
    /// Returns whether one did.
    fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            for control in self.all_controls() {
                let status = call(
                    control,
                    method,
                    path,
                    "Content-Type: application/json\r\n",
                    body,
                    Duration::from_secs(1),
                )
                .map_or(0, |answer| answer.status());
                if status == 200 {
                    return true;
                }
                self.record
                    .detail(&format!("{method} {path} at {control}: {status}"));
            }
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    fn configure(&self, document: &str) -> Fallible<()> {
        let acknowledged = self.order("PUT", "/config", document, Duration::from_secs(20));
        if !acknowledged {
            return Err("a configuration was not acknowledged in 20 s".to_owned());
        }
        self.record
            .note(&format!("acknowledged configuration {document}"));
        Ok(())
    }

    /// Sends the heartbeats of all servers until the fleet ends.
    fn start_heartbeats(&self) {
        let (beats, controls) = (Arc::clone(&self.beats), self.all_controls());
        thread::spawn(move || {
            let mut next = 0;
            while !beats.ended.load(Ordering::SeqCst) {
                let servers = beats.servers.lock().unwrap().clone();
                for server in servers {
                    let seq_no = beats.seq_no.fetch_add(1, Ordering::SeqCst) + 1;
                    let body = server.heartbeat("ready", seq_no);
                    let still_beats = {
                        let servers = beats.servers.lock().unwrap();
                        servers.iter().any(|known| known.id == server.id)
                    };
                    if !still_beats {
                        continue;
                    }
                    for _ in 0..controls.len() {
                        next = (next + 1) % controls.len();
                        let path = format!("/instances/{}", server.id);
                        let answer = call(
                            controls[next],
                            "PUT",
                            &path,
                            "Content-Type: application/json\r\n",
                            &body,
                            Duration::from_secs(1),
                        );
                        if answer.is_ok_and(|answer| answer.status() == 200) {
                            break;
                        }
                    }
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    /// Waits until all gateways report that they are ready and serve `path`.
    fn await_service(&self, path: &str) -> Fallible<()> {
        let end = Instant::now() + Duration::from_secs(15);
        for number in 0..self.gateways.len() {
            let mut attempt = 0;
            loop {
                attempt += 1;
                let is_ready = call(
                    self.readiness(number),
                    "GET",
                    "/readiness",
                    "",
                    "",
                    Duration::from_secs(1),
                )
                .is_ok_and(|answer| answer.status() == 200);
                let id = format!("first-{number}-{attempt}");
                if is_ready && send(self.gateway(number), "GET", path, &id, 5, 1_500) == 200 {
                    break;
                }
                if Instant::now() >= end {
                    return Err(format!("gateway {number} serves nothing after 15 s"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.note("all gateways serve");
        Ok(())
    }
}

#[derive(Clone, Copy)]
struct Route<'a> {
    prefix: &'a str,
    kind: &'a str,
    service: &'a str,
    target_latency: &'a str,
    timeout: &'a str,
    max_attempts: u32,
}

fn document(version: u32, routes: &[Route<'_>], services: &[&str]) -> String {
    let rules: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, route)| {
            format!(
                "{{\"name\":\"r{number}\",\"kind\":\"{}\",\"target_latency\":\"{}\",\"priority\":1,\"match\":{{\"path_prefix\":\"{}\"}},\"action\":{{\"service\":\"{}\",\"timeout\":\"{}\",\"max_attempts\":{}}}}}",
                route.kind, route.target_latency, route.prefix, route.service, route.timeout, route.max_attempts
            )
        })
        .collect();
    let clusters: Vec<String> = services
        .iter()
        .map(|service| {
            format!("{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        rules.join(","),
        clusters.join(",")
    )
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}
