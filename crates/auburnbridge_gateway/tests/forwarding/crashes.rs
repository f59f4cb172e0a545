//! Tests of requests whose targets crash, through gateways that tell each other what they learn.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use async_std::channel::{Sender, bounded};
use async_std::io::WriteExt;
use async_std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use async_std::task::{self, block_on};
use auburnbridge_gateway::{CallerIdentity, Gateway, request_digest};
use auburnbridge_http::{Connection, Limits, Request};
use auburnbridge_membership::Announcement;
use auburnbridge_policy::poison::{
    CRASHES_ALONE, CrashReport, FIRST_REFUSAL_TIME, RunHistory, SuspectReport,
};
use auburnbridge_types::{Incarnation, Millis, RequestDigest, RunId};
use futures_lite::FutureExt;
use parking_lot::Mutex;

use crate::targets::{
    Behaviour, OK, Target, announcement, listen, method_of, send, start_gateway, start_target,
};

/// Word in the path of a request that crashes its target.
const POISON: &str = "poison";
const WORK: Duration = Duration::from_millis(300);

/// A target whose process can end.
struct CrashingTarget {
    target: Target,
    crash: Sender<()>,
    /// Requests that it runs now.
    running: Arc<AtomicUsize>,
}

impl CrashingTarget {
    async fn start(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::default();
        let target = Target {
            name,
            address,
            requests: Arc::clone(&requests),
        };
        let (crash, crashed) = bounded(1);
        let running: Arc<AtomicUsize> = Arc::default();
        let this = Self {
            target,
            crash: crash.clone(),
            running: Arc::clone(&running),
        };
        task::spawn(async move {
            let connections: Mutex<Vec<TcpStream>> = Mutex::default();
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    connections.lock().push(stream.clone());
                    task::spawn(serve(
                        stream,
                        Arc::clone(&requests),
                        crash.clone(),
                        Arc::clone(&running),
                    ));
                }
            };
            let crashed = async { crashed.recv().await.unwrap_or_default() };
            accept.or(crashed).await;
            drop(listener);
            for stream in connections.lock().iter() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        this
    }

    fn crash(&self) {
        self.crash.try_send(()).unwrap();
    }

    fn runs_of(&self, path: &str) -> usize {
        let requests = self.target.requests.lock();
        requests.iter().filter(|req| req.path == path).count()
    }
}

async fn serve(
    stream: TcpStream,
    received: Arc<Mutex<Vec<Request>>>,
    crash: Sender<()>,
    running: Arc<AtomicUsize>,
) {
    let mut connection = Connection::new(stream);
    while let Ok(req) = connection.read_request(&Limits::default()).await {
        let id = req.headers.text("Attempt").unwrap_or("-").to_owned();
        let is_poison = req.path.contains(POISON);
        received.lock().push(req);
        if is_poison {
            let _ = crash.try_send(());
            return;
        }
        running.fetch_add(1, Ordering::SeqCst);
        task::sleep(WORK).await;
        running.fetch_sub(1, Ordering::SeqCst);
        let response = OK.replace("{id}", &id);
        let written = connection.get_mut().write_all(response.as_bytes());
        if written.await.is_err() {
            return;
        }
    }
}

async fn start_targets(names: &[&'static str]) -> Vec<CrashingTarget> {
    let mut targets = Vec::new();
    for name in names {
        targets.push(CrashingTarget::start(name).await);
    }
    targets
}

fn gateway_before(targets: &[CrashingTarget]) -> Arc<Gateway> {
    let targets: Vec<&Target> = targets.iter().map(|target| &target.target).collect();
    start_gateway(&targets)
}

/// Sends a request again and again until `is_over`; returns the statuses.
async fn poll(address: SocketAddr, path: &'static str, is_over: Arc<AtomicBool>) -> Vec<u16> {
    let mut statuses = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        statuses.push(send(address, path, 1_200).await.status);
        task::sleep(Duration::from_millis(20)).await;
    }
    statuses
}

/// Waits until a condition holds.
async fn wait_until(is_met: impl Fn() -> bool) {
    for _ in 0..500 {
        if is_met() {
            return;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("not met within 5 s");
}

/// Guards against a page that all gateways refuse because two targets that ran it crashed together
/// (review/8).
#[test]
fn page_is_served_after_two_targets_that_ran_it_crashed_together() {
    block_on(async {
        let targets = start_targets(&["t-1", "t-2", "t-3", "t-4", "t-5", "t-6"]).await;
        let address = listen(&gateway_before(&targets)).await;
        let is_over = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..8)
            .map(|_| task::spawn(poll(address, "/lookup/page", Arc::clone(&is_over))))
            .collect();
        let busy = || {
            let busy = targets.iter();
            busy.filter(|target| target.running.load(Ordering::SeqCst) > 0)
        };
        wait_until(|| busy().count() >= 2).await;
        task::sleep(WORK / 4).await;
        let crashed: Vec<&CrashingTarget> = busy().take(2).collect();
        for target in &crashed {
            target.crash();
        }
        task::sleep(Duration::from_secs(2)).await;
        is_over.store(true, Ordering::SeqCst);
        for caller in callers {
            let statuses = caller.await;
            assert!(!statuses.contains(&503), "refused: {statuses:?}");
            assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
        }
    });
}

/// The digest of a request that the tests send for `path`.
fn digest(path: &str) -> RequestDigest {
    let mut req = Request::new(method_of(path), path);
    req.headers.append("Host", "h");
    request_digest(&req, &CallerIdentity::Address("127.0.0.1".parse().unwrap()))
}

/// Records crashes of targets that ran the request for `path` one after another.
fn record_crashes(gateway: &Gateway, path: &str, crashes: u32) {
    for number in 0..crashes {
        gateway.record_suspect(&SuspectReport::Crashed(CrashReport {
            request: digest(path),
            target: format!("t-{}", 10 + number).parse().unwrap(),
            incarnation: Incarnation(1),
            run: RunId(u64::from(number)),
            history: RunHistory {
                crashes: number,
                ..RunHistory::default()
            },
            run_time: Millis(0),
        }));
    }
}

/// Guards against a request that crashes one target after another, and against the refusal of others.
#[test]
fn request_that_crashed_targets_in_a_row_is_refused() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        record_crashes(&gateway, "/order/9", CRASHES_ALONE);
        let refused = send(address, "/order/9", 1_000).await;
        assert_eq!(refused.status, 503);
        let wait: f64 = refused
            .headers
            .text("Retry-After")
            .unwrap()
            .parse()
            .unwrap();
        let limit = Duration::from_millis(FIRST_REFUSAL_TIME.0).as_secs_f64();
        assert!(wait > 0.0 && wait <= limit, "{wait}");
        assert!(target.requests.lock().is_empty());
        assert_eq!(send(address, "/order/8", 1_000).await.status, 200);
    });
}

/// Guards against a sound request that stays on trial, or is refused, after a target has answered it.
#[test]
fn answer_ends_the_trial_of_a_request() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        for path in ["/order/9", "/lookup/9"] {
            record_crashes(&gateway, path, CRASHES_ALONE - 1);
            assert_eq!(send(address, path, 1_000).await.status, 200, "{path}");
            let reports = gateway.take_suspect_reports();
            let is_answer = |report: &SuspectReport| matches!(report, SuspectReport::Answered { request, .. } if *request == digest(path));
            assert!(reports.iter().any(is_answer), "{path}: {reports:?}");
            record_crashes(&gateway, path, CRASHES_ALONE);
            assert_eq!(
                send(address, path, 1_000).await.status,
                200,
                "{path}: old reports"
            );
        }
    });
}

/// Guards against a request of one caller that is refused, or keeps another one from being refused,
/// because a second caller sends the same.
#[test]
fn requests_of_different_callers_are_different_requests() {
    let req = Request::new("GET", "/lookup/9");
    let address = |text: &str| CallerIdentity::Address(text.parse().unwrap());
    let account = |text: &str| CallerIdentity::Account(text.parse().unwrap());
    let callers = [
        address("10.0.0.1"),
        address("10.0.0.2"),
        account("ana"),
        account("10.0.0.1"),
    ];
    let digests: HashSet<RequestDigest> = callers
        .iter()
        .map(|caller| request_digest(&req, caller))
        .collect();
    assert_eq!(digests.len(), callers.len());
}

/// Passes the reports of each gateway on to the others until `is_over`.
async fn exchange_reports(gateways: Vec<Arc<Gateway>>, is_over: Arc<AtomicBool>) {
    while !is_over.load(Ordering::SeqCst) {
        for (from, gateway) in gateways.iter().enumerate() {
            for report in gateway.take_suspect_reports() {
                let others = gateways.iter().enumerate();
                for (_, other) in others.filter(|(to, _)| *to != from) {
                    if let Some(answer) = other.record_suspect(&report) {
                        gateway.record_suspect(&answer);
                    }
                }
            }
        }
        task::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a poison request that goes on crashing targets because its copies arrive at several
/// gateways at once.
#[test]
fn poison_request_stops_at_every_gateway() {
    const NAMES: [&str; 12] = [
        "t-1", "t-2", "t-3", "t-4", "t-5", "t-6", "t-7", "t-8", "t-9", "t-10", "t-11", "t-12",
    ];
    block_on(async {
        let targets = start_targets(&NAMES).await;
        let gateways: Vec<Arc<Gateway>> = (0..4).map(|_| gateway_before(&targets)).collect();
        let is_over = Arc::new(AtomicBool::new(false));
        let reports = task::spawn(exchange_reports(gateways.clone(), Arc::clone(&is_over)));
        let mut callers = Vec::new();
        for gateway in &gateways {
            let address = listen(gateway).await;
            callers.push(task::spawn(poll(
                address,
                "/order/poison",
                Arc::clone(&is_over),
            )));
        }
        let runs = || -> usize {
            targets
                .iter()
                .map(|target| target.runs_of("/order/poison"))
                .sum()
        };
        // Longer than the contact window of the platform's rules, which allow three runs afterwards.
        task::sleep(Duration::from_secs(4)).await;
        let early_runs = runs();
        task::sleep(Duration::from_secs(4)).await;
        let late_runs = runs() - early_runs;
        // Each gateway may send a copy, and another one while it knows of one crash; then one runs at a
        // time.
        let limit = 2 * gateways.len() + CRASHES_ALONE as usize - 2;
        assert!(early_runs <= limit, "{early_runs} runs");
        assert!(late_runs <= 3, "{late_runs} late runs");
        is_over.store(true, Ordering::SeqCst);
        for caller in callers {
            assert_eq!(caller.await.last(), Some(&503));
        }
        reports.await;
        // Targets that start in place of those that crashed.
        let started = start_targets(&["t-21", "t-22"]).await;
        let announcements: Vec<Announcement> = started
            .iter()
            .map(|target| announcement(&target.target))
            .collect();
        for gateway in &gateways {
            gateway.services().apply_targets(&announcements);
            let address = listen(gateway).await;
            assert_eq!(send(address, "/order/poison", 1_000).await.status, 503);
            assert_eq!(send(address, "/order/sound", 1_000).await.status, 200);
        }
    });
}
