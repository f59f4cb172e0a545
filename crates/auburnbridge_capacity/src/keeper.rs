//! Measures grants end to end with three keepers in this process, reached over loopback.
//!
//! Each key is granted and concluded. A quorum of three keepers syncs both commands, each keeper to
//! its own folder on the same disk, so wall time depends on that disk and on other work on the
//! machine.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use auburnbridge_keeper::{Keeper, KeeperOptions, PeerSecurity};
use auburnbridge_ledger::{Command, Reply as LedgerReply};
use auburnbridge_messages::{MESSAGE_LIMIT, Reply, Request};
use auburnbridge_peer::keys::{KeyRing, Validity, create_authority, issue};
use auburnbridge_peer::{Options, PeerAddress, PeerIdentity, PeerTransport, Role, Transport};
use auburnbridge_types::{Clock, Millis, RuntimeClock};
use tempfile::TempDir;

use crate::fixtures;
use crate::measure::{Metric, Report, process_cpu_nanos};

/// Number of callers, each with one call in flight, and number of keys per caller.
const LOADS: [(u32, u32); 3] = [(1, 200), (16, 200), (200, 50)];
const KEEPERS: u32 = 3;
const CALL_TIMEOUT: Millis = Millis(5_000);
const KEY_VALIDITY: Millis = Millis(24 * 60 * 60 * 1_000);
const RETRY_DELAY: Duration = Duration::from_millis(20);

pub const RATE: Metric = metric("K1", "keys granted and concluded, wall time", "keys/s");
pub const CPU: Metric = metric("K2", "CPU of a key: three keepers and the client", "µs");
pub const BATCH: Metric = metric("K3", "records per sync of the busiest keeper", "records");
pub const RETRIED_CALLS: Metric = metric("K4", "calls that had to be repeated", "%");

const fn metric(id: &'static str, name: &'static str, unit: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "callers",
        unit,
    }
}

pub fn measure(report: &mut Report) {
    for (callers, keys) in LOADS {
        task::block_on(measure_load(report, callers, keys));
    }
}

async fn measure_load(report: &mut Report, callers: u32, keys: u32) {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let (keepers, client) = start_group(folder.path()).await;
    let client = Arc::new(client);
    // The first key is not measured, because it waits until the group has elected a leader.
    client.grant_and_conclude(u32::MAX).await;
    client.retries.store(0, Ordering::Relaxed);

    let cpu = process_cpu_nanos();
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let client = Arc::clone(&client);
            task::spawn(async move {
                for number in caller * keys..(caller + 1) * keys {
                    client.grant_and_conclude(number).await;
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu = process_cpu_nanos() - cpu;
    let count = f64::from(callers * keys);
    report.record(RATE, callers, count / seconds);
    report.record(CPU, callers, cpu / count / 1e3);
    let retries = f64::from(client.retries.load(Ordering::Relaxed));
    report.record(RETRIED_CALLS, callers, retries / (2.0 * count) * 100.0);

    client.transport.close().await;
    let mut batch: f64 = 0.0;
    for keeper in keepers {
        let counts = keeper.stop().await.expect("the keeper stops");
        batch = batch.max(counts.records as f64 / counts.syncs as f64);
    }
    report.record(BATCH, callers, batch);
}

async fn start_group(folder: &Path) -> (Vec<Keeper>, Client) {
    let authority = folder.join("authority");
    let validity = Validity::starting_at(RuntimeClock.now(), KEY_VALIDITY);
    create_authority(&authority, validity).expect("the authority folder can be created");
    let issue_keys = |vm: &str, role| {
        let identity = PeerIdentity {
            vm: vm.parse().expect("the VM name is valid"),
            role,
        };
        let own = folder.join(vm);
        issue(&authority, &own, &identity, validity).expect("the authority issues keys");
        own
    };
    let addresses: Vec<PeerAddress> = free_addresses()
        .into_iter()
        .zip(0..)
        .map(|(address, number)| PeerAddress {
            vm: format!("keeper-{number}")
                .parse()
                .expect("the VM name is valid"),
            address,
        })
        .collect();
    let mut keepers = Vec::new();
    for own in &addresses {
        let options = KeeperOptions::new(
            own.clone(),
            PeerSecurity::MutualTls(issue_keys(own.vm.as_str(), Role::Keeper)),
            folder.join(format!("data-{}", own.vm)),
            addresses.clone(),
        );
        keepers.push(Keeper::start(options).await.expect("the keeper starts"));
    }
    let keys = issue_keys("client", Role::Entry);
    let keys = KeyRing::load(&keys, RuntimeClock.now()).expect("the keys are valid");
    let options = Options::builder().message_limit(MESSAGE_LIMIT).build();
    let client = Client {
        transport: PeerTransport::new(keys, options),
        keepers: addresses,
        leader: AtomicU32::new(0),
        retries: AtomicU32::new(0),
    };
    (keepers, client)
}

/// Returns unused addresses. All are bound at the same time, so that they differ.
fn free_addresses() -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..KEEPERS)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port is free"))
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().expect("the socket is bound"))
        .collect()
}

struct Client {
    transport: PeerTransport,
    keepers: Vec<PeerAddress>,
    leader: AtomicU32,
    retries: AtomicU32,
}

impl Client {
    async fn grant_and_conclude(&self, number: u32) {
        let now = RuntimeClock.now();
        let key = fixtures::ledger_key_at(number, now);
        let granted = self
            .call(fixtures::grant_of(key.clone(), number, now))
            .await;
        assert_eq!(granted, LedgerReply::Granted, "the key is new");
        let concluded = self.call(fixtures::conclude_of(key, number)).await;
        assert_eq!(concluded, LedgerReply::Done, "the attempt holds the key");
    }

    /// Sends a command to the presumed leader and retries, at the next keeper unless the reply was
    /// `Busy`, until a keeper replies with the result.
    async fn call(&self, command: Command) -> LedgerReply {
        let body = Request::Ledger(command)
            .encode()
            .expect("the message is within the size limit");
        loop {
            let leader = self.leader.load(Ordering::Relaxed);
            let keeper = &self.keepers[leader as usize];
            let reply = self
                .transport
                .call(keeper, body.clone(), CALL_TIMEOUT)
                .await
                .ok()
                .and_then(|reply| Reply::decode(&reply).ok());
            if let Some(Reply::Ledger(reply)) = reply {
                return reply;
            }
            self.retries.fetch_add(1, Ordering::Relaxed);
            if !matches!(reply, Some(Reply::Busy)) {
                self.leader.store((leader + 1) % KEEPERS, Ordering::Relaxed);
            }
            task::sleep(RETRY_DELAY).await;
        }
    }
}
