//! Measures the peak memory of a gateway process under uploads: `VmHWM` before and after the load.
//!
//! Starts itself again as the gateway, so that the memory of callers and targets doesn't count:
//! `cargo run --release -p auburnbridge_gateway --example upload_memory -- CALLERS BODY_BYTES DEPTH`.

#![allow(
    clippy::print_stdout,
    clippy::unwrap_used,
    reason = "a measurement prints its result and stops on failures"
)]

#[allow(dead_code, reason = "uses a part of the module")]
#[path = "../tests/forwarding/targets.rs"]
mod targets;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::Arc;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use auburnbridge_http::{Connection, Limits, RequestInfo};
use auburnbridge_types::ByteSize;
use parking_lot::Mutex;
use targets::{Behaviour, OK, Target, build_gateway, listen, start_target};

const TARGETS: usize = 20;
const ROUNDS: usize = 10;
const WORK_MS: u64 = 100;
/// A quarter of a VM of 384 MB.
const BODY_MEMORY: ByteSize = ByteSize(96 << 20);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "gateway") {
        run_gateway(&arguments[1..]);
        return;
    }
    let numbers: Vec<usize> = arguments.iter().map(|text| text.parse().unwrap()).collect();
    measure(numbers[0], numbers[1], numbers[2]);
}

/// Serves until the standard input ends; prints the address, then `VmHWM` before and after.
fn run_gateway(targets: &[String]) {
    let targets: Vec<Target> = targets
        .iter()
        .enumerate()
        .map(|(at, address)| Target {
            name: format!("t-{at}").leak(),
            address: address.parse().unwrap(),
            requests: Arc::default(),
        })
        .collect();
    let targets: Vec<&Target> = targets.iter().collect();
    let gateway = Arc::new(build_gateway(&targets, BODY_MEMORY));
    let address = block_on(listen(&gateway));
    println!("{address}");
    println!("{}", peak_memory());
    std::io::stdin().read_to_end(&mut Vec::new()).unwrap();
    println!("{}", peak_memory());
}

fn peak_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    line.unwrap().replace('\t', " ")
}

fn measure(callers: usize, body_bytes: usize, depth: usize) {
    let mut addresses = Vec::new();
    for _ in 0..TARGETS {
        let target = block_on(start_target("t", Behaviour::RespondAfter(WORK_MS, OK)));
        addresses.push(target.address.to_string());
    }
    let mut child = Command::new(std::env::current_exe().unwrap())
        .arg("gateway")
        .args(addresses)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let address: SocketAddr = lines.next().unwrap().unwrap().parse().unwrap();
    let before = lines.next().unwrap().unwrap();
    let statuses: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    block_on(async {
        let tasks: Vec<_> = (0..callers)
            .map(|_| task::spawn(call(address, body_bytes, depth, Arc::clone(&statuses))))
            .collect();
        for task in tasks {
            task.await;
        }
    });
    drop(child.stdin.take());
    let after = lines.next().unwrap().unwrap();
    child.wait().unwrap();
    println!("{callers} callers, {body_bytes} B, depth {depth}: before {before}, after {after}");
    println!("statuses {:?}", statuses.lock());
}

/// Sends `depth` uploads at a time on one connection, a few times.
async fn call(
    address: SocketAddr,
    body_bytes: usize,
    depth: usize,
    statuses: Arc<Mutex<BTreeMap<u16, usize>>>,
) {
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nHost: h\r\nAttempt: a-7\r\nWait-Ms: 1200\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'u');
    let bytes = bytes.repeat(depth);
    for _ in 0..ROUNDS {
        let Ok(stream) = TcpStream::connect(address).await else {
            continue;
        };
        let mut sending = stream.clone();
        let mut connection = Connection::new(stream);
        let requests = bytes.clone();
        let send = task::spawn(async move { sending.write_all(&requests).await.is_ok() });
        for _ in 0..depth {
            let limits = Limits::default();
            let response = connection.read_response(RequestInfo::default(), &limits);
            let Ok(response) = response.await else { break };
            *statuses.lock().entry(response.status).or_default() += 1;
        }
        send.await;
    }
}
