//! Shared parts of the review's scripts: processes of the project, stand-in upstreams, a stand-in
//! operator, callers and a TCP proxy. Uses the standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const DRAIN: Duration = Duration::from_millis(2000);
pub const CONTACT_WINDOW: Duration = Duration::from_millis(3000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2000);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signal numbers of Linux on x86-64 and arm64.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(time.as_millis()).unwrap()
}

pub fn sleep_ms(time: u64) {
    thread::sleep(Duration::from_millis(time));
}

/// Whether the disruption is part of this run.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes `record.txt`, with the seconds since the start of the script in front of each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be created");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let time = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{time:8.3} {text}");
    }

    /// Writes a line to `record.txt` and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the script as one that couldn't run.
pub fn cannot_run(record: &Record, reason: &str) -> ! {
    record.say(&format!("the case couldn't run: {reason}"));
    // A panic runs the destructors, which end the processes; `run` turns it into exit code 2.
    std::panic::panic_any(())
}

/// Runs a case and exits with 1 if it returns true (the rule was broken), 0 if not, 2 if it panics.
pub fn run(case: fn(&Record, &Path) -> bool) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("argument: folder of the case"));
    let record = Record::create(&folder);
    record.say(&format!("disruption: {}", if has_trouble() { "on" } else { "off" }));
    // The script must end within 120 seconds.
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(115));
        watchdog.say("the case couldn't run: it took too long");
        end_all();
        std::process::exit(2);
    });
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&record, &folder)));
    end_all();
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    record.say(&format!(
        "result: {}",
        ["the rule held", "the rule was broken", "could not run"][code as usize]
    ));
    std::process::exit(code);
}

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static TEMPORARY: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
    for folder in TEMPORARY.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// A process of the project.
pub struct Process {
    pub name: String,
    pid: i32,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

impl Process {
    fn start(name: &str, role: &'static str, settings: PathBuf, log: PathBuf) -> Self {
        let mut process = Self { name: name.to_owned(), pid: 0, role, settings, log };
        process.restart();
        process
    }

    pub fn restart(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log file");
        let child = Command::new("target/release/auburnbridge")
            .args([self.role, "--settings", self.settings.to_str().unwrap()])
            .env_clear()
            .envs(std::env::var("PATH").map(|path| ("PATH", path)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn()
            .expect("target/release/auburnbridge starts; build it first");
        self.pid = i32::try_from(child.id()).unwrap();
        CHILDREN.lock().unwrap().push(child);
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a process that this script started and has not reaped.
        unsafe { kill(self.pid, signal) };
    }

    /// Kills the process and waits for its end.
    pub fn end(&self) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some(at) = children.iter().position(|child| child.id() as i32 == self.pid) {
            let mut child = children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Exit code, if the process has ended.
    pub fn exit(&self) -> Option<String> {
        let mut children = CHILDREN.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() as i32 == self.pid)?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap().port()
}

/// Settings of a fleet, and its processes.
pub struct Fleet {
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
    pub folder: PathBuf,
    net: u8,
    pub control_port: u16,
    pub caller_port: u16,
    pub readiness_port: u16,
    pub peer_port: u16,
    pub gateway_peer_port: u16,
    /// Numbers of the control processes whose addresses the settings name as seeds.
    pub seeds: Vec<usize>,
    /// Peer port of a control process behind a proxy; see [`Fleet::start`].
    pub hidden_port: u16,
    hidden: Option<usize>,
}

impl Fleet {
    /// Starts control processes and gateways, each with an address of its own in 127.0.0.0/8.
    ///
    /// The control process `hidden` binds another peer port than the others. The script's proxies
    /// then carry all traffic between it and the other control processes.
    pub fn start(controls: usize, gateways: usize, hidden: Option<usize>) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).expect("temporary folder");
        TEMPORARY.lock().unwrap().push(folder.clone());
        let mut fleet = Self::new(folder, hidden);
        for number in 0..controls {
            fleet.start_control(number, true);
        }
        for number in 0..gateways {
            fleet.start_gateway(number);
        }
        fleet
    }

    fn new(folder: PathBuf, hidden: Option<usize>) -> Self {
        let mut ports = Vec::new();
        while ports.len() < 6 {
            let port = free_port();
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        Self {
            controls: Vec::new(),
            gateways: Vec::new(),
            folder,
            net: 100 + u8::try_from(std::process::id() % 100).unwrap(),
            control_port: ports[0],
            caller_port: ports[1],
            readiness_port: ports[2],
            peer_port: ports[3],
            gateway_peer_port: ports[4],
            seeds: vec![0, 1, 2],
            hidden_port: ports[5],
            hidden,
        }
    }

    pub fn control_ip(&self, number: usize) -> IpAddr {
        Ipv4Addr::new(127, 0, self.net, 1 + u8::try_from(number).unwrap()).into()
    }

    pub fn gateway_ip(&self, number: usize) -> IpAddr {
        Ipv4Addr::new(127, 0, self.net, 101 + u8::try_from(number).unwrap()).into()
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        (self.control_ip(number), self.control_port).into()
    }

    pub fn gateway(&self, number: usize) -> SocketAddr {
        (self.gateway_ip(number), self.caller_port).into()
    }

    fn seed_list(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|n| format!("\"{}\"", self.control(*n))).collect();
        seeds.join(", ")
    }

    fn write_control(&self, number: usize, founds: bool) -> PathBuf {
        let port = if self.hidden == Some(number) { self.hidden_port } else { self.peer_port };
        let data = self.data_folder(number);
        fs::create_dir_all(&data).unwrap();
        let text = format!(
            r#"{{"vm_address": "{ip}", "data_centre": "zone-a", "peer_port": {port}, "control_address": "{}",
"data_folder": {data:?}, "seeds": [{}], "founds_group": {founds}, "tolerated_losses": 1}}"#,
            self.control(number),
            self.seed_list(),
            ip = self.control_ip(number),
        );
        let path = self.folder.join(format!("control-{number}.json"));
        fs::write(&path, text).unwrap();
        path
    }

    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{number}"))
    }

    pub fn start_control(&mut self, number: usize, founds: bool) {
        let settings = self.write_control(number, founds);
        let log = self.folder.join(format!("control-{number}.log"));
        let process = Process::start(&format!("control-{number}"), "control", settings, log);
        self.controls.push(process);
    }

    /// Restarts a control process with an empty data folder, as after the loss of its disk.
    pub fn wipe_control(&mut self, number: usize) {
        self.controls[number].end();
        let _ = fs::remove_dir_all(self.data_folder(number));
        self.write_control(number, false);
        self.controls[number].restart();
    }

    pub fn restart_control(&mut self, number: usize) {
        self.write_control(number, false);
        self.controls[number].restart();
    }

    pub fn start_gateway(&mut self, number: usize) {
        let text = format!(
            r#"{{"vm_address": "{ip}", "data_centre": "zone-a", "caller_address": "{ip}:{}",
"readiness_address": "{ip}:{}", "peer_port": {}, "keeper_port": {}, "seeds": [{}], "floor_share": 0.7,
"resend_share": 0.2, "resend_allowance": 60, "resend_window": "10s"}}"#,
            self.caller_port,
            self.readiness_port,
            self.gateway_peer_port,
            self.peer_port,
            self.seed_list(),
            ip = self.gateway_ip(number),
        );
        let settings = self.folder.join(format!("gateway-{number}.json"));
        fs::write(&settings, text).unwrap();
        let log = self.folder.join(format!("gateway-{number}.log"));
        let process = Process::start(&format!("gateway-{number}"), "gateway", settings, log);
        self.gateways.push(process);
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let address = (self.gateway_ip(number), self.readiness_port).into();
        call(address, "GET", "/readiness", &[], b"", 1000).is_some_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self, record: &Record) {
        let start = Instant::now();
        while !(0..self.gateways.len()).all(|number| self.is_ready(number)) {
            if start.elapsed() > Duration::from_secs(20) {
                cannot_run(record, "the gateways don't get ready");
            }
            sleep_ms(100);
        }
    }

    /// Sends a configuration to the control processes in turn until one acknowledges it; returns the
    /// number of that process, or none after `limit`.
    pub fn publish(&self, record: &Record, document: &str, among: &[usize], limit: Duration) -> Option<usize> {
        let start = Instant::now();
        for number in among.iter().copied().cycle() {
            let answer = call(self.control(number), "PUT", "/config", &JSON, document.as_bytes(), 1000);
            if answer.is_some_and(|answer| answer.status == 200) {
                record.line(&format!("config acknowledged by control-{number}"));
                return Some(number);
            }
            if start.elapsed() > limit {
                return None;
            }
            sleep_ms(100);
        }
        None
    }
}

pub const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];

pub const HOST: &str = "shop.example";
pub const SERVICE: &str = "stock";
pub const SAFE_PATH: &str = "/look/";
pub const UNSAFE_PATH: &str = "/hold/";

/// A configuration with one safe and one unsafe route to one service.
pub fn configuration(version: u32) -> String {
    configuration_with(version, "")
}

/// Like [`configuration`], with further rules, each followed by a comma.
pub fn configuration_with(version: u32, rules: &str) -> String {
    let rule = |name: &str, kind: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","kind":"{kind}","target_latency":"800ms","priority":1,"match":{{"path_prefix":"{prefix}"}},"action":{{"service":"{SERVICE}","timeout":"2000ms","max_attempts":2}}}}"#
        )
    };
    format!(
        r#"{{"version":"{version:08x}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"listeners":[{{"host":"{HOST}","rules":[{rules}{},{}]}}],"clusters":[{{"name":"{SERVICE}","health_path":"/health","max_conns":330,"protocol":"h1","tls":false}}]}}"#,
        rule("look", "safe", SAFE_PATH),
        rule("hold", "unsafe", UNSAFE_PATH),
    )
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection; none without a whole answer within `limit_ms`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit_ms: u64,
) -> Option<Answer> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        request.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let (start_line, headers, body) = read_message(&mut stream)?;
    let status = start_line.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, headers, body })
}

/// Reads a message with a length: its first line, its headers with names in lower case, its body.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, BTreeMap<String, String>, Vec<u8>)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Sends a caller's request; returns its attempt id and its answer.
pub fn caller_request(record: &Record, gateway: SocketAddr, method: &str, path: &str) -> (String, Option<Answer>) {
    let number = NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst);
    let attempt = format!("{:08x}{number:08x}", std::process::id());
    let headers = [("Host", HOST), ("Attempt-Id", &*attempt), ("Deadline-Ms", "2000")];
    record.line(&format!("sent {attempt} {method} {path} to {gateway}"));
    let answer = call(gateway, method, path, &headers, b"", 2000);
    let status = answer.as_ref().map_or("none".to_owned(), |answer| answer.status.to_string());
    record.line(&format!("answered {attempt} {status}"));
    (attempt, answer)
}

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub at: Instant,
}

/// A stand-in upstream, which follows the pages on upstreams.
pub struct Upstream {
    pub id: String,
    pub born: u64,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    sequence: Arc<AtomicU64>,
    is_leaving: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    record: Record,
}

impl Upstream {
    /// Starts to serve on a free port; the upstream is not registered yet.
    pub fn start(record: &Record, id: &str, work_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).unwrap();
        let upstream = Self {
            id: id.to_owned(),
            born: unix_ms(),
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            sequence: Arc::default(),
            is_leaving: Arc::default(),
            has_ended: Arc::default(),
            record: record.clone(),
        };
        let (id, born, runs) = (upstream.id.clone(), upstream.born, Arc::clone(&upstream.runs));
        let has_ended = Arc::clone(&upstream.has_ended);
        let record = record.clone();
        thread::spawn(move || {
            while !has_ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (id, runs, ended) = (id.clone(), Arc::clone(&runs), Arc::clone(&has_ended));
                        let record = record.clone();
                        thread::spawn(move || serve(stream, &id, born, work_ms, &runs, &ended, &record));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => sleep_ms(2),
                    Err(_) => sleep_ms(2),
                }
            }
        });
        upstream.record.line(&format!("upstream {} born {} serves at {}", upstream.id, upstream.born, upstream.address));
        upstream
    }

    pub fn heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{SERVICE}","version":"v1","zone":"zone-a","slots":4}},"status":{{"state":"{state}","seq_no":{sequence},"warmup_remaining":"0ms"}}}}"#,
            self.address, self.born
        )
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    pub fn beat(&self, control: SocketAddr, state: &str) -> bool {
        let path = format!("/instances/{}", self.id);
        let body = self.heartbeat(state);
        let answer = call(control, "PUT", &path, &JSON, body.as_bytes(), 1000);
        answer.is_some_and(|answer| (200..300).contains(&answer.status))
    }

    /// Sends heartbeats to the first of the control processes that acknowledges them, until the
    /// upstream leaves.
    pub fn keep_beating(&self, controls: Vec<SocketAddr>) {
        let beating = Self {
            id: self.id.clone(),
            born: self.born,
            address: self.address,
            runs: Arc::clone(&self.runs),
            sequence: Arc::clone(&self.sequence),
            is_leaving: Arc::clone(&self.is_leaving),
            has_ended: Arc::clone(&self.has_ended),
            record: self.record.clone(),
        };
        thread::spawn(move || {
            while !beating.is_leaving.load(Ordering::SeqCst) {
                controls.iter().find(|control| beating.beat(**control, "ready"));
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    /// Says `draining` to the control processes in turn until one acknowledges it.
    pub fn drain(&self, controls: &[SocketAddr]) -> Option<Instant> {
        self.is_leaving.store(true, Ordering::SeqCst);
        let acked = controls.iter().any(|control| self.beat(*control, "draining"));
        self.record.line(&format!("upstream {} draining, acknowledged: {acked}", self.id));
        acked.then(Instant::now)
    }

    /// Says that it is gone, to the control processes in turn, until one acknowledges it; returns the
    /// position of that process and the time of the acknowledgement.
    pub fn delete(&self, controls: &[SocketAddr]) -> Option<(usize, Instant)> {
        self.is_leaving.store(true, Ordering::SeqCst);
        let path = format!("/instances/{}", self.id);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let at = controls.iter().position(|control| {
            let answer = call(*control, "DELETE", &path, &JSON, body.as_bytes(), 1000);
            let status = answer.map(|answer| answer.status);
            self.record.line(&format!("DELETE {} (born {}) at {control}: {status:?}", self.id, self.born));
            status.is_some_and(|status| (200..300).contains(&status))
        })?;
        Some((at, Instant::now()))
    }

    /// Ends the upstream: it takes no more connections and closes the open ones.
    pub fn end(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.has_ended.store(true, Ordering::SeqCst);
        self.record.line(&format!("upstream {} born {} ends", self.id, self.born));
        sleep_ms(100);
    }
}

fn serve(
    mut stream: TcpStream,
    id: &str,
    born: u64,
    work_ms: u64,
    runs: &Mutex<Vec<Run>>,
    has_ended: &AtomicBool,
    record: &Record,
) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    while let Some((first, headers, _)) = read_message(&mut stream) {
        if has_ended.load(Ordering::SeqCst) {
            return;
        }
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let attempt = headers.get("attempt-id").cloned().unwrap_or_default();
        let expected = headers.get("expect-instance");
        let answer = if path == "/health" {
            format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else if expected.is_some_and(|expected| expected != id) {
            format!("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n")
        } else {
            runs.lock().unwrap().push(Run { attempt: attempt.clone(), path, at: Instant::now() });
            record.line(&format!("run {attempt} at {id} born {born}"));
            sleep_ms(work_ms);
            format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nUpstream-Seal: seal-{attempt}\r\nContent-Length: 2\r\n\r\nok")
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A TCP proxy. While cut, it forwards nothing in either direction and closes nothing (silent cut).
#[derive(Clone, Default)]
pub struct Proxy {
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Forwards connections from `listen` to `to`. With `spares`, a connection whose first bytes
    /// contain this text is never cut.
    pub fn forward(&self, listen: SocketAddr, to: SocketAddr, spares: Option<&'static str>) {
        let listener = TcpListener::bind(listen).expect("the proxy's address is free");
        let is_cut = Arc::clone(&self.is_cut);
        thread::spawn(move || {
            while let Ok((client, _)) = listener.accept() {
                let is_cut = Arc::clone(&is_cut);
                thread::spawn(move || forward_connection(client, to, &is_cut, spares));
            }
        });
    }
}

fn forward_connection(mut client: TcpStream, to: SocketAddr, is_cut: &Arc<AtomicBool>, spares: Option<&str>) {
    let mut buf = vec![0; 16 * 1024];
    let Ok(read @ 1..) = client.read(&mut buf) else {
        return;
    };
    let first = buf[..read].to_vec();
    let is_spared = spares.is_some_and(|text| first.windows(text.len()).any(|bytes| bytes == text.as_bytes()));
    let is_cut = if is_spared { Arc::default() } else { Arc::clone(is_cut) };
    while is_cut.load(Ordering::SeqCst) {
        sleep_ms(20);
    }
    let Ok(mut server) = TcpStream::connect(to) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    if server.write_all(&first).is_err() {
        return;
    }
    let (back_from, back_to) = (server.try_clone().unwrap(), client.try_clone().unwrap());
    let back_cut = Arc::clone(&is_cut);
    thread::spawn(move || copy(back_from, back_to, &back_cut));
    copy(client, server, &is_cut);
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).unwrap_or(0);
        while is_cut.load(Ordering::SeqCst) {
            sleep_ms(20);
        }
        if read == 0 || to.write_all(&buf[..read]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
