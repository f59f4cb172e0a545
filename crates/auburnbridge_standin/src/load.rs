//! Open-loop load: arrivals follow a schedule generated from a seed, independent of the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_std::net::TcpStream;
use async_std::task;
use auburnbridge_http::{Connection, KeepAlive, Limits, Request, RequestInfo};
use auburnbridge_types::{IdempotencyKey, Timestamp};
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entries, used in round-robin order.
    pub entries: Vec<SocketAddr>,
    /// Path of idempotent requests, which carry no key.
    pub lookup_path: String,
    /// Path of keyed requests.
    pub keyed_path: String,
    /// Share of keyed requests, from 0 to 1.
    pub keyed_share: f64,
    /// Mean number of arrivals per second.
    pub rate: f64,
    /// Time during which requests are scheduled.
    pub duration: Duration,
    /// Seed of the arrival schedule and the random part of the keys.
    pub seed: u64,
}

/// Results of one class of requests.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    /// Number of responses per status; status 0 counts requests without a complete response.
    pub statuses: BTreeMap<u16, u64>,
    /// Median time from the scheduled arrival to the complete response, in microseconds.
    pub p50_micros: u64,
    /// 99th percentile of the same time, in microseconds.
    pub p99_micros: u64,
    /// 99.9th percentile of the same time, in microseconds.
    pub p999_micros: u64,
}

/// Results of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests sent.
    pub sent: u64,
    /// Largest delay between a scheduled arrival and its send, in microseconds: the measurement
    /// error of this tool.
    pub worst_send_delay_micros: u64,
    /// Results of idempotent requests.
    pub lookups: ClassReport,
    /// Results of keyed requests.
    pub keyed: ClassReport,
}

struct ClassResults {
    statuses: BTreeMap<u16, u64>,
    times: Histogram<u64>,
}

impl ClassResults {
    fn new() -> Self {
        Self {
            statuses: BTreeMap::new(),
            times: Histogram::new(3).expect("3 significant digits are a valid precision"),
        }
    }

    fn report(&self) -> ClassReport {
        ClassReport {
            statuses: self.statuses.clone(),
            p50_micros: self.times.value_at_quantile(0.5),
            p99_micros: self.times.value_at_quantile(0.99),
            p999_micros: self.times.value_at_quantile(0.999),
        }
    }
}

struct Shared {
    /// Idle connections of each entry.
    idle: Vec<Mutex<Vec<Connection<TcpStream>>>>,
    /// Results of idempotent requests, then of keyed requests.
    results: Mutex<[ClassResults; 2]>,
}

/// Sends the requests of `plan` and returns a report on the responses.
pub async fn run(plan: &Plan) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let shared = Arc::new(Shared {
        idle: plan.entries.iter().map(|_| Mutex::default()).collect(),
        results: Mutex::new([ClassResults::new(), ClassResults::new()]),
    });
    let start = Instant::now();
    let mut scheduled = Duration::ZERO;
    let mut sent = 0;
    let mut worst_send_delay = Duration::ZERO;
    let mut tasks = Vec::new();
    while scheduled < plan.duration {
        scheduled += Duration::from_secs_f64(-rng.random::<f64>().max(1e-12).ln() / plan.rate);
        let keyed = rng.random_bool(plan.keyed_share);
        let req = request(plan, keyed, &mut rng);
        if let Some(wait) = scheduled.checked_sub(start.elapsed()) {
            task::sleep(wait).await;
        }
        worst_send_delay = worst_send_delay.max(start.elapsed().saturating_sub(scheduled));
        let entry = sent % plan.entries.len();
        let address = plan.entries[entry];
        let shared = Arc::clone(&shared);
        tasks.push(task::spawn(async move {
            let status = shared.exchange(entry, address, &req).await.unwrap_or(0);
            let time = start.elapsed().saturating_sub(scheduled);
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            let result = &mut shared.results.lock()[usize::from(keyed)];
            *result.statuses.entry(status).or_default() += 1;
            // `saturating_record` would clip values to the initial range, although the histogram
            // resizes itself.
            result
                .times
                .record(micros)
                .expect("an auto-resizing histogram accepts any value");
        }));
        sent += 1;
    }
    for task in tasks {
        task.await;
    }
    let results = shared.results.lock();
    Report {
        seed: plan.seed,
        sent: sent as u64,
        worst_send_delay_micros: u64::try_from(worst_send_delay.as_micros()).unwrap_or(u64::MAX),
        lookups: results[0].report(),
        keyed: results[1].report(),
    }
}

impl Shared {
    async fn exchange(&self, entry: usize, address: SocketAddr, req: &Request) -> Option<u16> {
        let idle = self.idle[entry].lock().pop();
        let mut connection = if let Some(connection) = idle {
            connection
        } else {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            Connection::new(stream)
        };
        connection.write_request(req).await.ok()?;
        let response = connection
            .read_response(RequestInfo::from(req), &Limits::default())
            .await
            .ok()?;
        if response.keep_alive == KeepAlive::Reuse {
            self.idle[entry].lock().push(connection);
        }
        Some(response.status)
    }
}

fn request(plan: &Plan, keyed: bool, rng: &mut ChaCha8Rng) -> Request {
    if !keyed {
        let mut req = Request::new("GET", &plan.lookup_path);
        req.headers.append("Host", "auburnbridge");
        return req;
    }
    let mut req = Request::new("POST", &plan.keyed_path);
    req.headers.append("Host", "auburnbridge");
    req.headers
        .append("Idempotency-Key", new_key(rng).to_string());
    req.headers.append("Auburnbridge-Previous-Attempts", "0");
    req.body = b"{}".to_vec().into();
    req
}

/// Creates an idempotency key with the current time as its timestamp.
pub fn new_key(rng: &mut impl RngCore) -> IdempotencyKey {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut random = [0; 10];
    rng.fill_bytes(&mut random);
    let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    IdempotencyKey::from_parts(Timestamp(millis), random)
}
