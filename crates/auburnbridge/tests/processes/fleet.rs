//! A small fleet of real keeper and entry processes, with stand-in targets in the test process.

use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use auburnbridge_http::{Request, Response};
use auburnbridge_standin::load::new_key;
use auburnbridge_standin::{SendError, Target, TargetOptions, send};

/// Time within which an expected state must be reached, or the test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
const OPERATOR_KEY: &str = "fleet-test-operator-key";
/// SHA-256 of the key above.
const OPERATOR_KEY_SHA256: &str =
    "3986b75529708a85e4d71692d177a8ec8ec8595120e1849c84be68e46e5197ff";

/// Rules that most tests use.
pub const RULES: &str = "\
service stock slots-floor 3 slots-per-target 3 ejection fast # asked by the tests
service dispatch slots-floor 3 slots-per-target 3 ejection careful # asked by the tests
route GET /bins/* to stock idempotent timeout 3s # asked by the tests
route POST /slips to dispatch once timeout 3s # asked by the tests
";

/// Offset of the next port to try. All ports are below the ephemeral range, so that no outgoing
/// connection takes one.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback port that is free for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let offset = NEXT_PORT_OFFSET.fetch_add(1, Ordering::SeqCst);
        // Test processes with adjacent ids start 61 ports apart.
        let start = u16::try_from(std::process::id() * 61 % 8_000).expect("an offset below 8,000");
        let port = 12_000 + (start + offset) % 16_000;
        let address = (Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

fn local(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// One process of the fleet.
pub struct Process {
    name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Creates the description of a process without starting it.
    pub fn new(name: &str, role: &'static str, settings: PathBuf, log: PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            role,
            settings,
            log,
            child: None,
        }
    }

    /// Starts the process and appends its output to its log.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_auburnbridge"))
            .args([self.role, "--settings"])
            .arg(&self.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.as_ref().expect("the process was started").id();
        let status = Command::new("kill")
            .args([format!("-{signal}"), pid.to_string()])
            .status()
            .unwrap();
        assert!(status.success(), "can't send {signal} to {}", self.name);
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Kills the process with SIGKILL without waiting; [`Process::kill`] reaps it later.
    pub fn crash(&self) {
        self.signal("KILL");
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Makes the process reload its settings with SIGHUP.
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Whether the process was started and has not ended.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Waits for the process to exit; returns whether it exited with success.
    pub fn wait(&mut self) -> bool {
        let mut child = self.child.take().expect("the process was started");
        child.wait().unwrap().success()
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        assert!(self.child.is_none(), "{} is still running", self.name);
        self.start();
    }

    /// Output of all starts of the process.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap()
    }
}

/// Keepers and entries as real processes, and targets in the test process.
pub struct Fleet {
    folder: tempfile::TempDir,
    pub keepers: Vec<Process>,
    pub entries: Vec<Process>,
    /// Targets by name.
    pub targets: BTreeMap<String, Target>,
    caller_ports: Vec<u16>,
    announce_ports: Vec<u16>,
    operator_ports: Vec<u16>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_processes(self.keepers.iter_mut().chain(&mut self.entries));
    }
}

/// Kills the processes of a fleet; prints their logs if the test has failed.
pub fn end_processes<'a>(processes: impl Iterator<Item = &'a mut Process>) {
    for process in processes {
        if std::thread::panicking() {
            eprintln!("== {}\n{}", process.name, process.log());
        }
        process.kill();
    }
}

impl Fleet {
    /// Starts three keepers and `entries` entries, without rules or targets.
    pub fn start(entries: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ports = |count: usize| -> Vec<u16> { (0..count).map(|_| free_port()).collect() };
        let keeper_ports = ports(3);
        let entry_ports = ports(entries);
        let mut fleet = Self {
            caller_ports: ports(entries),
            announce_ports: ports(entries),
            operator_ports: ports(3),
            folder,
            keepers: Vec::new(),
            entries: Vec::new(),
            targets: BTreeMap::new(),
        };
        run_command(&["keys", "authority", "--folder"], &fleet.path("authority"));
        let keepers = peer_settings("keeper", &keeper_ports);
        let seeds = peer_settings("entry", &entry_ports);
        for (index, port) in keeper_ports.iter().enumerate() {
            let role_settings = format!(
                r#""peer_address":"{}","operator_address":"{}","data_folder":"data/keeper-{index}",
                "members":[{}],"operator_keys":[{{"name":"tests","sha256":"{OPERATOR_KEY_SHA256}","services":["*"]}}]"#,
                local(*port),
                local(fleet.operator_ports[index]),
                keepers.join(","),
            );
            let process = fleet.start_process("keeper", index, &role_settings);
            fleet.keepers.push(process);
        }
        for (index, port) in entry_ports.iter().enumerate() {
            let others: Vec<String> = seeds
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .map(|(_, seed)| seed.clone())
                .collect();
            let role_settings = format!(
                r#""peer_address":"{}","caller_address":"{}","announce_address":"{}",
                "keepers":[{}],"entries":[{}],"balancer_lag":"300ms""#,
                local(*port),
                local(fleet.caller_ports[index]),
                local(fleet.announce_ports[index]),
                keepers.join(","),
                others.join(","),
            );
            let process = fleet.start_process("entry", index, &role_settings);
            fleet.entries.push(process);
        }
        fleet
    }

    /// Starts a fleet with [`RULES`] and two targets per service, and waits until every entry serves
    /// both services.
    pub fn ready(entries: usize) -> Self {
        let mut fleet = Self::start(entries);
        fleet.put_rules(RULES);
        for name in ["stock-0", "stock-1", "dispatch-0", "dispatch-1"] {
            fleet.add_target(name);
        }
        for entry in 0..entries {
            fleet.wait_until(&format!("entry {entry} serves lookups"), |fleet| {
                fleet
                    .get(entry, "/bins/1")
                    .is_ok_and(|response| response.status == 200)
            });
            fleet.wait_until(&format!("entry {entry} serves slips"), |fleet| {
                fleet
                    .post(entry, "/slips", &key(), "ready", "0")
                    .is_ok_and(|response| response.status == 200)
            });
        }
        fleet
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Issues the keys of a process, writes its settings and starts it.
    fn start_process(&self, role: &'static str, index: usize, role_settings: &str) -> Process {
        let name = format!("{role}-{index}");
        let keys = self.path(&format!("keys/{name}"));
        let authority = self.path("authority");
        let authority = authority.to_str().unwrap();
        run_command(
            &[
                "keys",
                "issue",
                "--authority",
                authority,
                "--vm",
                &name,
                "--role",
                role,
                "--folder",
            ],
            &keys,
        );
        let settings = self.path(&format!("{name}.json"));
        let text = format!(
            r#"{{"vm":"{name}","data_centre":"east","keys":"keys/{name}",{role_settings}}}"#
        );
        fs::write(&settings, text).unwrap();
        let mut process = Process {
            log: self.path(&format!("{name}.log")),
            name,
            role,
            settings,
            child: None,
        };
        process.start();
        process
    }

    /// Data folder of a keeper.
    pub fn data_folder(&self, keeper: usize) -> PathBuf {
        self.path(&format!("data/keeper-{keeper}"))
    }

    /// Starts a target; its name is its service, a hyphen and a number.
    pub fn add_target(&mut self, name: &str) {
        let (service, _) = name.split_once('-').expect("the name is SERVICE-NUMBER");
        let announce_to = self
            .announce_ports
            .iter()
            .map(|port| local(*port))
            .collect();
        let options = TargetOptions::builder(name.parse().unwrap(), service.parse().unwrap())
            .announce_to(announce_to)
            .build();
        let target = task::block_on(Target::start(options)).unwrap();
        self.targets.insert(name.to_owned(), target);
    }

    /// Polls until `is_reached` returns true; fails the test after [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, state: &str, mut is_reached: impl FnMut(&Self) -> bool) {
        let start = Instant::now();
        while !is_reached(self) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "not reached: {state}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Replaces the rules through the first keeper that accepts them.
    pub fn put_rules(&self, text: &str) {
        let file = self.path("rules");
        fs::write(&file, text).unwrap();
        self.wait_until("the rules are accepted", |fleet| {
            (0..fleet.keepers.len()).any(|keeper| {
                fleet
                    .rules_command(keeper, &["put", "--file", file.to_str().unwrap()])
                    .is_ok()
            })
        });
    }

    /// Runs `auburnbridge rules` against a keeper; returns standard output, or standard error on
    /// failure.
    pub fn rules_command(&self, keeper: usize, arguments: &[&str]) -> Result<String, String> {
        let key_file = self.path("operator-key");
        fs::write(&key_file, OPERATOR_KEY).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_auburnbridge"))
            .arg("rules")
            .args(arguments)
            .args(["--address", &local(self.operator_ports[keeper]).to_string()])
            .arg("--key-file")
            .arg(&key_file)
            .output()
            .unwrap();
        if output.status.success() {
            Ok(String::from_utf8(output.stdout).unwrap())
        } else {
            Err(String::from_utf8(output.stderr).unwrap())
        }
    }

    /// Sends a GET request through an entry.
    pub fn get(&self, entry: usize, path: &str) -> Result<Response, SendError> {
        self.send(entry, &request("GET", path))
    }

    /// Sends a POST request with an idempotency key through an entry.
    pub fn post(
        &self,
        entry: usize,
        path: &str,
        key: &str,
        body: &str,
        previous_attempts: &str,
    ) -> Result<Response, SendError> {
        let mut req = request("POST", path);
        req.headers.append("Idempotency-Key", key);
        req.headers
            .append("Auburnbridge-Previous-Attempts", previous_attempts);
        req.body = body.as_bytes().to_vec().into();
        self.send(entry, &req)
    }

    /// Sends a request through an entry.
    pub fn send(&self, entry: usize, req: &Request) -> Result<Response, SendError> {
        let address = local(self.caller_ports[entry]);
        task::block_on(send(address, req, Duration::from_secs(10)))
    }

    /// Number of executions of a key on all targets together.
    pub fn executions(&self, key: &str) -> u32 {
        self.targets
            .values()
            .filter_map(|target| target.executions().get(key).copied())
            .sum()
    }

    /// Copies a keeper's data folder to `name`; the keeper must not be running.
    pub fn copy_data_folder(&self, keeper: usize, name: &str) {
        copy_files(&self.data_folder(keeper), &self.path(name));
    }

    /// Replaces a keeper's data folder by the copy `name`; the keeper must not be running.
    pub fn restore_data_folder(&self, keeper: usize, name: &str) {
        self.remove_data_folder(keeper);
        copy_files(&self.path(name), &self.data_folder(keeper));
    }

    /// Removes a keeper's data folder, as if its disk were lost; the keeper must not be running.
    pub fn remove_data_folder(&self, keeper: usize) {
        fs::remove_dir_all(self.data_folder(keeper)).unwrap();
    }
}

fn copy_files(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for file in fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), to.join(file.file_name())).unwrap();
    }
}

/// Returns a new random idempotency key.
pub fn key() -> String {
    new_key(&mut rand::rng()).to_string()
}

/// Returns a request without a body.
pub fn request(method: &str, path: &str) -> Request {
    let mut req = Request::new(method, path);
    req.headers.append("Host", "auburnbridge");
    req
}

/// Outcome stated in the header of a rejection.
pub fn outcome(response: &Response) -> Option<&str> {
    response.headers.text("Auburnbridge-Outcome")
}

/// Peers as JSON values of the settings.
fn peer_settings(role: &str, ports: &[u16]) -> Vec<String> {
    ports
        .iter()
        .enumerate()
        .map(|(index, port)| format!(r#"{{"vm":"{role}-{index}","address":"{}"}}"#, local(*port)))
        .collect()
}

/// Runs a command whose last argument is a folder.
fn run_command(arguments: &[&str], folder: &Path) {
    let status = Command::new(env!("CARGO_BIN_EXE_auburnbridge"))
        .args(arguments)
        .arg(folder)
        .status()
        .unwrap();
    assert!(status.success(), "auburnbridge {arguments:?}");
}
