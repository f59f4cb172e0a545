//! Targets that announce themselves, record what they run, and leave.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use auburnbridge_http::{Connection, Limits, Request};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Soak;
use super::proxy::Proxy;
use super::record::Run;
use crate::platform_fleet::{FleetAddresses, accept_each, call};
use crate::wire;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which a leaving target serves after its departure was acknowledged.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// A target of the soak.
pub struct SoakTarget {
    pub proxy: Proxy,
    /// Runs that the record has not taken yet.
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Number of departures requested by the schedule.
    departures: AtomicU32,
}

impl SoakTarget {
    pub fn start() -> Self {
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let shared = Arc::clone(&runs);
        let address = accept_each(move |stream| serve(stream, Arc::clone(&shared)));
        Self {
            proxy: Proxy::start(address),
            runs,
            departures: AtomicU32::new(0),
        }
    }

    pub fn leave(&self) {
        self.departures.fetch_add(1, Ordering::SeqCst);
    }
}

async fn serve(stream: TcpStream, runs: Arc<Mutex<Vec<Run>>>) {
    let mut connection = Connection::new(stream);
    while let Ok(req) = connection.read_request(&Limits::default()).await {
        let run = Run::of(&req);
        let answer = answer_to(&req);
        let work = 10 + u64::try_from(run.attempt.len() + run.path.len()).expect("short") % 7 * 10;
        runs.lock().push(run);
        task::sleep(Duration::from_millis(work)).await;
        let written = connection.get_mut().write_all(answer.as_bytes()).await;
        if written.is_err() {
            return;
        }
    }
}

/// Answer body for a request; each request has a different one.
pub fn expected_body(attempt: &str, path: &str) -> String {
    format!("{attempt} {path} {}", "x".repeat(attempt.len() * 37))
}

fn answer_to(req: &Request) -> String {
    let attempt = req.headers.text(wire::ATTEMPT).unwrap_or_default();
    wire::answer_with(attempt, &expected_body(attempt, &req.path))
}

/// Starts a thread for each target in which it announces itself.
pub fn start_announcing(
    soak: &Arc<Soak>,
    addresses: &FleetAddresses,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    (0..soak.targets.len())
        .map(|number| {
            let (soak, addresses) = (Arc::clone(soak), addresses.clone());
            let rng = ChaCha8Rng::seed_from_u64(seed * 31 + number as u64);
            thread::spawn(move || announce(&soak, &addresses, number, rng))
        })
        .collect()
}

/// Announces a target until the soak is over, under a new name after each departure.
fn announce(soak: &Soak, addresses: &FleetAddresses, number: usize, mut rng: ChaCha8Rng) {
    let target = &soak.targets[number];
    let address = target.proxy.address;
    let mut sequence = 0;
    let mut departed = 0;
    while !soak.is_over() {
        let path = wire::target_path(&format!("i-{number}-{departed}"));
        sequence += 1;
        let is_leaving = target.departures.load(Ordering::SeqCst) > departed;
        let state = if is_leaving {
            wire::LEAVING
        } else {
            wire::READY
        };
        let body = wire::announcement(address, state, sequence);
        let is_acknowledged = (0..3).any(|_| {
            let control = addresses.pick_control(&mut rng);
            call(control, "PUT", &path, &body).is_some_and(|response| response.status == 200)
        });
        if is_leaving && is_acknowledged {
            let acknowledged = Instant::now();
            thread::sleep(DRAIN_TIME);
            soak.record.check_departure(&target.runs, acknowledged);
            departed += 1;
            sequence = 0;
            continue;
        }
        thread::sleep(ANNOUNCE_INTERVAL);
    }
}
