//! Tests requests with large bodies: what is decided before they are read, their memory, and their
//! targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use auburnbridge_gateway::{BodyOptions, Gateway};
use auburnbridge_http::{Connection, Limits, RequestInfo, Response};
use auburnbridge_types::ByteSize;

use crate::accounts::routes_with_accounts;
use crate::targets::{
    Behaviour, OK, SHED, Target, announcement, listen, send, start_gateway, start_target,
};

const UPLOAD_BYTES: usize = 60 * 1024;
/// Memory for the bodies of requests: half of that of all bodies.
const REQUEST_MEMORY: u64 = 512 * 1024;

fn head(path: &str, length: usize, extra: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nAttempt: a-7\r\nWait-Ms: 1000\r\nContent-Length: {length}\r\n{extra}\r\n"
    )
    .into_bytes()
}

async fn connect(address: SocketAddr, bytes: &[u8]) -> Connection<TcpStream> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    Connection::new(stream)
}

async fn read(connection: &mut Connection<TcpStream>) -> Response {
    let limits = Limits::default();
    let response = connection.read_response(RequestInfo::default(), &limits);
    timeout(Duration::from_secs(3), response)
        .await
        .unwrap()
        .unwrap()
}

async fn upload(address: SocketAddr, path: &str, length: usize) -> Response {
    let mut bytes = head(path, length, "");
    bytes.resize(bytes.len() + length, b'u');
    read(&mut connect(address, &bytes).await).await
}

async fn wait_until(failure: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..400 {
        if holds() {
            return;
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    panic!("{failure}");
}

async fn wait_until_released(gateway: &Gateway) {
    let failure = "memory of an ended request is still in use";
    wait_until(failure, || gateway.body_memory() == ByteSize(0)).await;
}

fn start_gateway_with_one_upload_per_target(targets: &[&Target]) -> Arc<Gateway> {
    let options = BodyOptions {
        in_flight_per_target: ByteSize(UPLOAD_BYTES as u64),
        ..BodyOptions::default()
    };
    let gateway = Arc::into_inner(start_gateway(targets)).unwrap();
    Arc::new(gateway.with_body_options(options))
}

fn received(target: &Target) -> usize {
    target.requests.lock().len()
}

/// Guards against a body that is sent over a slow link for a request that is refused in any case, and
/// against an interim response that asks for it.
#[test]
fn refusals_need_no_body() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let with_keys = start_gateway(&[&target]);
        assert!(with_keys.install_routes(routes_with_accounts(2, &["k-ana-1"])));
        let without_targets = start_gateway(&[]);
        let too_large = 2 << 20;
        for (gateway, path, length, status) in [
            (&with_keys, "/elsewhere/1", UPLOAD_BYTES, 404),
            (&with_keys, "/order/1", UPLOAD_BYTES, 401),
            (&with_keys, "/public/1", too_large, 413),
            (&without_targets, "/order/1", UPLOAD_BYTES, 503),
        ] {
            for extra in ["", "Expect: 100-continue\r\n"] {
                let address = listen(gateway).await;
                let mut connection = connect(address, &head(path, length, extra)).await;
                let start = Instant::now();
                let mut first_line = [0; 12];
                let reading = connection.get_mut().read_exact(&mut first_line);
                timeout(Duration::from_secs(2), reading)
                    .await
                    .unwrap()
                    .unwrap();
                let expected = format!("HTTP/1.1 {status}");
                assert_eq!(first_line, expected.as_bytes(), "{path} {extra}");
                assert!(start.elapsed() < Duration::from_millis(500));
            }
        }
        assert_eq!(received(&target), 0);
    });
}

/// Guards against callers that stop in the middle of their bodies and take the memory for uploads for
/// longer than the time between two bytes, against uploads that wait for it unheard, and against small
/// requests that need none.
#[test]
fn idle_senders_hold_memory_for_a_limited_time() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        let mut idle = Vec::new();
        for _ in 0..9 {
            let mut bytes = head("/order/1", UPLOAD_BYTES, "");
            bytes.resize(bytes.len() + UPLOAD_BYTES - 100, b'u');
            idle.push(connect(address, &bytes).await);
        }
        let room = REQUEST_MEMORY - UPLOAD_BYTES as u64;
        wait_until("the memory is not in use", || {
            gateway.body_memory().0 > room
        })
        .await;
        let refused = upload(address, "/order/1", UPLOAD_BYTES).await;
        assert_eq!(refused.status, 503);
        assert!(refused.headers.text("Retry-After").is_some());
        assert_eq!(send(address, "/order/1", 1_000).await.status, 200);
        assert_eq!(received(&target), 1);
        for mut connection in idle {
            let status = read(&mut connection).await.status;
            // The budget was exhausted for the last one.
            assert!([408, 503].contains(&status), "{status}");
        }
        wait_until_released(&gateway).await;
        assert_eq!(upload(address, "/order/1", UPLOAD_BYTES).await.status, 200);
        assert_eq!(received(&target), 2);
    });
}

/// Guards against the request of a caller that left in the middle of its body reaching a target.
#[test]
fn caller_that_leaves_within_a_body_reaches_no_target() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&target]);
        let address = listen(&gateway).await;
        let mut bytes = head("/order/1", UPLOAD_BYTES, "");
        bytes.resize(bytes.len() + 40_000, b'u');
        let connection = connect(address, &bytes).await;
        wait_until("the body is not read", || gateway.body_memory().0 > 0).await;
        drop(connection);
        wait_until_released(&gateway).await;
        assert_eq!(received(&target), 0);
    });
}

/// Guards against an upload that fails because its target shed it: its body is kept until it can't be
/// sent again.
#[test]
fn shed_upload_is_sent_whole_to_another_target() {
    block_on(async {
        let shedding = start_target("t-shed", Behaviour::Respond(SHED)).await;
        let good = start_target("t-good", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&shedding, &good]);
        let address = listen(&gateway).await;
        for _ in 0..6 {
            assert_eq!(upload(address, "/order/1", UPLOAD_BYTES).await.status, 200);
        }
        assert!(received(&shedding) > 0);
        let requests = good.requests.lock();
        assert_eq!(requests.len(), 6);
        assert!(requests.iter().all(|req| req.body.len() == UPLOAD_BYTES));
    });
}

/// Guards against an upload that is sent twice, or reported as not run, because its target closed the
/// connection in the middle of the body.
#[test]
fn upload_whose_target_closes_within_the_body_may_have_run() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closing = Target {
            name: "t-closing",
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
        };
        let accepted = task::spawn(async move {
            let mut count = 0;
            while let Ok(Ok((mut stream, _))) =
                timeout(Duration::from_millis(1_500), listener.accept()).await
            {
                // The check for a crash connects as well, but sends nothing.
                let mut part = [0; 10_000];
                count += usize::from(stream.read_exact(&mut part).await.is_ok());
            }
            count
        });
        let address = listen(&start_gateway(&[&closing])).await;
        assert_eq!(upload(address, "/order/1", UPLOAD_BYTES).await.status, 502);
        assert_eq!(accepted.await, 1);
    });
}

/// Guards against several uploads that pile up on one target, and against small requests that wait
/// because of them.
#[test]
fn uploads_over_the_limit_of_a_target_wait_without_a_slot() {
    block_on(async {
        let targets = [
            start_target("t-1", Behaviour::RespondAfter(300, OK)).await,
            start_target("t-2", Behaviour::RespondAfter(300, OK)).await,
        ];
        let gateway = start_gateway_with_one_upload_per_target(&[&targets[0], &targets[1]]);
        let address = listen(&gateway).await;
        let uploads: Vec<_> = (0..3)
            .map(|_| task::spawn(upload(address, "/order/1", UPLOAD_BYTES)))
            .collect();
        let both = || received(&targets[0]) + received(&targets[1]);
        wait_until("no upload was sent", || both() == 2).await;
        assert_eq!((received(&targets[0]), received(&targets[1])), (1, 1));
        // Both targets have a free slot.
        let start = Instant::now();
        assert_eq!(send(address, "/order/2", 1_000).await.status, 200);
        assert!(start.elapsed() < Duration::from_millis(500));
        for upload in uploads {
            assert_eq!(upload.await.status, 200);
        }
        assert_eq!(both(), 4);
    });
}

/// Guards against an upload that waits for the end of another one although a target without a body
/// could take it meanwhile.
#[test]
fn waiting_upload_is_sent_to_a_target_that_joins() {
    block_on(async {
        let targets = [
            start_target("t-1", Behaviour::RespondAfter(700, OK)).await,
            start_target("t-2", Behaviour::Respond(OK)).await,
        ];
        let gateway = start_gateway_with_one_upload_per_target(&[&targets[0]]);
        let address = listen(&gateway).await;
        let first = task::spawn(upload(address, "/order/1", UPLOAD_BYTES));
        wait_until("no upload was sent", || received(&targets[0]) == 1).await;
        let start = Instant::now();
        let second = task::spawn(upload(address, "/order/1", UPLOAD_BYTES));
        task::sleep(Duration::from_millis(100)).await;
        let announcements = [announcement(&targets[0]), announcement(&targets[1])];
        gateway.services().apply_targets(&announcements);
        assert_eq!(second.await.status, 200);
        assert!(start.elapsed() < Duration::from_millis(400));
        assert_eq!(received(&targets[1]), 1);
        assert_eq!(first.await.status, 200);
    });
}

/// Guards against a hedge that puts a second upload on a target over its limit of bytes in flight.
#[test]
fn hedge_of_an_upload_respects_the_limit_of_its_target() {
    block_on(async {
        let targets = [
            start_target("t-1", Behaviour::RespondAfter(900, OK)).await,
            start_target("t-2", Behaviour::RespondAfter(900, OK)).await,
        ];
        let gateway = start_gateway_with_one_upload_per_target(&[&targets[0], &targets[1]]);
        let address = listen(&gateway).await;
        let uploads: Vec<_> = (0..2)
            .map(|_| task::spawn(upload(address, "/lookup/1", UPLOAD_BYTES)))
            .collect();
        for upload in uploads {
            assert_eq!(upload.await.status, 200);
        }
        assert_eq!((received(&targets[0]), received(&targets[1])), (1, 1));
    });
}
