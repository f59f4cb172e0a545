//! Gateways and control keepers as real processes, each with its own address in 127.0.0.0/8, and
//! targets in the test process.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use auburnbridge_http::{Connection, Limits, Request, RequestInfo, Response};
use parking_lot::Mutex;
use rand::Rng;

use crate::fleet::{POLL_INTERVAL, Process, WAIT_TIMEOUT, end_processes, free_port};
use crate::wire;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a keeper that is lost no longer counts as a member of the group.
pub const REPLACEMENT_LIMIT: Duration = Duration::from_secs(2);

/// Address of the VM with this number, which is the last octet.
fn vm_address(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 77, number).into()
}

/// Addresses at which the processes of a fleet take requests.
#[derive(Clone, Debug)]
pub struct FleetAddresses {
    /// Control addresses, which change when keepers are replaced.
    controls: Arc<Mutex<Vec<SocketAddr>>>,
    pub gateways: Vec<SocketAddr>,
}

impl FleetAddresses {
    /// Draws the address of a control keeper.
    pub fn pick_control(&self, rng: &mut impl Rng) -> SocketAddr {
        let controls = self.controls.lock();
        controls[rng.random_range(0..controls.len())]
    }
}

/// Control keepers and gateways as processes, with their settings, data and logs.
pub struct PlatformFleet {
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
    folder: tempfile::TempDir,
    control_port: u16,
    caller_port: u16,
    readiness_port: u16,
    keeper_port: u16,
    first_vm: u8,
    /// Numbers of the control keepers that the settings name as seeds.
    seeds: Vec<u8>,
    /// Offsets of the VMs on which the control keepers run.
    control_vms: Vec<u8>,
    control_addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Drop for PlatformFleet {
    fn drop(&mut self) {
        end_processes(self.controls.iter_mut().chain(&mut self.gateways));
    }
}

impl PlatformFleet {
    /// Starts a fleet without data on VMs from `first_vm` on; tests that run concurrently must use
    /// different VMs.
    pub fn start(first_vm: u8, controls: u8, gateways: u8) -> Self {
        let mut fleet = Self {
            controls: Vec::new(),
            gateways: Vec::new(),
            folder: tempfile::tempdir().unwrap(),
            control_port: free_port(),
            caller_port: free_port(),
            readiness_port: free_port(),
            keeper_port: free_port(),
            first_vm,
            seeds: vec![0, 1, 2],
            control_vms: (0..controls).collect(),
            control_addresses: Arc::default(),
        };
        for number in 0..controls {
            fleet.write_control_settings(number, true);
            let process = fleet.process("control", number);
            fleet.controls.push(process);
        }
        for number in 0..gateways {
            fleet.write_gateway_settings(number);
            let process = fleet.process("gateway", number);
            fleet.gateways.push(process);
        }
        for process in fleet.controls.iter_mut().chain(&mut fleet.gateways) {
            process.start();
        }
        fleet.update_control_addresses();
        fleet
    }

    fn update_control_addresses(&self) {
        let numbers = 0..u8::try_from(self.control_vms.len()).unwrap();
        *self.control_addresses.lock() = numbers.map(|number| self.control(number)).collect();
    }

    fn next_control_vm(&self) -> u8 {
        self.control_vms.iter().max().map_or(0, |last| last + 1)
    }

    /// Starts another control keeper without data; the settings that are written from now on name
    /// `seeds`. Returns its number.
    pub fn add_control(&mut self, seeds: Vec<u8>) -> u8 {
        self.seeds = seeds;
        let number = u8::try_from(self.controls.len()).unwrap();
        self.control_vms.push(self.next_control_vm());
        self.update_control_addresses();
        self.write_control_settings(number, false);
        let mut process = self.process("control", number);
        process.start();
        self.controls.push(process);
        number
    }

    /// Kills a control keeper and removes its data; its next start is at another address. Other processes
    /// learn of that by their next start.
    pub fn move_control(&mut self, number: u8) {
        self.controls[usize::from(number)].kill();
        fs::remove_dir_all(self.data_folder(number)).unwrap();
        self.control_vms[usize::from(number)] = self.next_control_vm();
        self.update_control_addresses();
        for control in 0..u8::try_from(self.controls.len()).unwrap() {
            self.write_control_settings(control, false);
        }
        for gateway in 0..u8::try_from(self.gateways.len()).unwrap() {
            self.write_gateway_settings(gateway);
        }
    }

    fn process(&self, role: &'static str, number: u8) -> Process {
        let name = format!("{role}-{number}");
        let path = self.folder.path();
        let settings = path.join(format!("{name}.json"));
        Process::new(&name, role, settings, path.join(format!("{name}.log")))
    }

    fn control_vm(&self, number: u8) -> IpAddr {
        vm_address(self.first_vm + self.control_vms[usize::from(number)])
    }

    fn gateway_vm(&self, number: u8) -> IpAddr {
        vm_address(self.first_vm + 20 + number)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|number| format!("\"{}:{}\"", self.control_vm(*number), self.control_port))
            .collect();
        seeds.join(", ")
    }

    pub fn write_control_settings(&self, number: u8, founds_group: bool) {
        let text = format!(
            r#"{{"vm_address": "{ip}", "data_centre": "north", "peer_port": {},
"control_address": "{ip}:{}", "data_folder": "data-{number}", "seeds": [{}],
"founds_group": {founds_group}, "tolerated_losses": 1, "replacement_limit": "{}ms"}}"#,
            self.keeper_port,
            self.control_port,
            self.seeds(),
            REPLACEMENT_LIMIT.as_millis(),
            ip = self.control_vm(number),
        );
        fs::write(
            self.folder.path().join(format!("control-{number}.json")),
            text,
        )
        .unwrap();
        fs::create_dir_all(self.data_folder(number)).unwrap();
    }

    pub fn data_folder(&self, number: u8) -> std::path::PathBuf {
        self.folder.path().join(format!("data-{number}"))
    }

    fn write_gateway_settings(&self, number: u8) {
        self.write_gateway_settings_with(number, r#""balancer_lag": "300ms""#);
    }

    /// Writes the settings of a gateway with the options of a stop, as members of a JSON object.
    pub fn write_gateway_settings_with(&self, number: u8, stop_options: &str) {
        let text = format!(
            r#"{{"vm_address": "{ip}", "data_centre": "north", "caller_address": "{ip}:{}",
"readiness_address": "{ip}:{}", "peer_port": {}, "keeper_port": {}, "seeds": [{}],
{stop_options}, "metrics_address": "{ip}:{}"}}"#,
            self.caller_port,
            self.readiness_port,
            self.keeper_port,
            self.keeper_port,
            self.seeds(),
            self.keeper_port,
            ip = self.gateway_vm(number),
        );
        let path = self.folder.path().join(format!("gateway-{number}.json"));
        fs::write(path, text).unwrap();
    }

    /// Output of a process.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap()
    }

    /// Addresses at which the processes take requests.
    pub fn addresses(&self) -> FleetAddresses {
        let gateways = 0..u8::try_from(self.gateways.len()).unwrap();
        FleetAddresses {
            controls: Arc::clone(&self.control_addresses),
            gateways: gateways.map(|number| self.caller(number)).collect(),
        }
    }

    /// TCP addresses of all processes, and UDP addresses of the gateways.
    pub fn ports(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (mut tcp, mut udp) = (Vec::new(), Vec::new());
        for number in 0..u8::try_from(self.controls.len()).unwrap() {
            tcp.push(self.control(number));
            tcp.push((self.control_vm(number), self.keeper_port).into());
        }
        for number in 0..u8::try_from(self.gateways.len()).unwrap() {
            let vm = self.gateway_vm(number);
            tcp.push(self.caller(number));
            tcp.push((vm, self.readiness_port).into());
            tcp.push((vm, self.keeper_port).into());
            udp.push((vm, self.keeper_port).into());
        }
        (tcp, udp)
    }

    /// Keeps settings, data and logs after the test; returns their folder.
    pub fn keep_files(&mut self) -> &std::path::Path {
        self.folder.disable_cleanup(true);
        self.folder.path()
    }

    fn control(&self, number: u8) -> SocketAddr {
        (self.control_vm(number), self.control_port).into()
    }

    fn caller(&self, number: u8) -> SocketAddr {
        (self.gateway_vm(number), self.caller_port).into()
    }

    /// Sends a configuration to the keepers in turn until one acknowledges it.
    pub fn publish(&self, document: &str) {
        self.call_any("PUT", wire::CONFIG, document, 200);
    }

    /// Calls the keepers in turn until one answers with `status`; returns the body of that answer.
    pub fn call_any(&self, method: &str, path: &str, body: &str, status: u16) -> Vec<u8> {
        let start = Instant::now();
        let count = u8::try_from(self.controls.len()).unwrap();
        for number in (0..count).cycle() {
            let response = call(self.control(number), method, path, body);
            let last = response.as_ref().map(|response| response.status);
            if let Some(response) = response.filter(|response| response.status == status) {
                return response.body.to_vec();
            }
            let waited = start.elapsed();
            assert!(
                waited < WAIT_TIMEOUT,
                "{method} {path}: no {status}, last {last:?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        unreachable!("the iterator is endless")
    }

    /// Calls one keeper; `None` if it doesn't answer.
    pub fn call(&self, number: u8, method: &str, path: &str, body: &str) -> Option<Response> {
        call(self.control(number), method, path, body)
    }

    /// Whether a gateway reports itself ready.
    pub fn is_ready(&self, number: u8) -> bool {
        let address = (self.gateway_vm(number), self.readiness_port).into();
        call(address, "GET", wire::READINESS, "").is_some_and(|response| response.status == 200)
    }

    /// Metrics page of a gateway.
    pub fn metrics(&self, number: u8) -> String {
        let address = (self.gateway_vm(number), self.keeper_port).into();
        let response = call(address, "GET", "/metrics", "").unwrap();
        String::from_utf8(response.body.to_vec()).unwrap()
    }

    /// Sends a caller's request to a gateway and returns the status.
    pub fn send(&self, number: u8, method: &str, path: &str) -> Option<u16> {
        send_to(self.caller(number), method, path)
    }
}

/// Sends a caller's request to a gateway and returns the status; `None` if it doesn't answer.
pub fn send_to(gateway: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let mut req = Request::new(method, path);
    req.headers.append("Host", "shop.example");
    req.headers.append(wire::ATTEMPT, "a-1");
    req.headers.append(wire::DEADLINE, "2000");
    exchange(gateway, &req).map(|response| response.status)
}

/// Calls a process; `None` if it doesn't answer within [`CALL_TIMEOUT`].
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Response> {
    let mut req = Request::new(method, path);
    req.headers.append("Host", "control");
    req.body = body.as_bytes().to_vec().into();
    exchange(address, &req)
}

fn exchange(address: SocketAddr, req: &Request) -> Option<Response> {
    let answer = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let mut connection = Connection::new(stream);
        connection.write_request(req).await.ok()?;
        let limits = Limits::default();
        connection
            .read_response(RequestInfo::from(req), &limits)
            .await
            .ok()
    };
    task::block_on(timeout(CALL_TIMEOUT, answer)).ok().flatten()
}

/// Polls until `holds` returns true; fails the test with `failure` after [`WAIT_TIMEOUT`].
pub fn eventually(failure: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{failure}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Listens on a free loopback port and handles each connection in its own task.
pub fn accept_each<F>(handle: impl Fn(TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(handle(stream));
        }
    });
    address
}

/// A target that seals its answers and counts the requests that it runs.
pub struct SealingTarget {
    pub address: SocketAddr,
    pub runs: Arc<Mutex<u32>>,
    /// Whether its answers state that it is leaving.
    pub states_departure: Arc<AtomicBool>,
}

impl SealingTarget {
    pub fn start() -> Self {
        let runs: Arc<Mutex<u32>> = Arc::default();
        let counted = Arc::clone(&runs);
        let states_departure: Arc<AtomicBool> = Arc::default();
        let is_leaving = Arc::clone(&states_departure);
        let address =
            accept_each(move |stream| serve(stream, Arc::clone(&counted), Arc::clone(&is_leaving)));
        Self {
            address,
            runs,
            states_departure,
        }
    }

    /// Body of the target's announcement.
    pub fn announcement(&self, state: &str, sequence: u32) -> String {
        wire::announcement(self.address, state, sequence)
    }
}

async fn serve(stream: TcpStream, runs: Arc<Mutex<u32>>, is_leaving: Arc<AtomicBool>) {
    let mut connection = Connection::new(stream);
    while let Ok(req) = connection.read_request(&Limits::default()).await {
        *runs.lock() += 1;
        if req.path.contains("slow") {
            task::sleep(Duration::from_millis(700)).await;
        }
        let attempt = req.headers.text(wire::ATTEMPT).unwrap_or_default();
        let answer = if is_leaving.load(Ordering::SeqCst) {
            wire::leaving_answer(attempt)
        } else {
            wire::answer(attempt)
        };
        if connection
            .get_mut()
            .write_all(answer.as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
}
