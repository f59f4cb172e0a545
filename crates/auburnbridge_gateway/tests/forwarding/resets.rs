//! Tests targets that reset the connection while an upload is being written.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use auburnbridge_gateway::Gateway;
use auburnbridge_http::{Body, Connection, Limits, Request, RequestInfo, Response};
use auburnbridge_routing::CallerLimits;
use auburnbridge_types::{ByteSize, ConfigVersion, Millis};
use parking_lot::Mutex;

use crate::targets::{Target, build_gateway, listen, routes_builder_with};

/// Larger than the kernel's buffers, so that a part is unwritten while the target doesn't read.
const UPLOAD_BYTES: usize = 6 << 20;
/// Memory for bodies, of which one connection of a caller gets a thirty-second part.
const BODY_MEMORY: ByteSize = ByteSize(64 * UPLOAD_BYTES as u64);
/// Long enough for an upload beside other tests.
const UPLOAD_TIME: Millis = Millis(30_000);
const UPLOAD_ROUNDS: usize = 3;

fn start_upload_gateway(targets: &[&Target]) -> Arc<Gateway> {
    let limits = CallerLimits {
        head: ByteSize(16_384),
        body: ByteSize(UPLOAD_BYTES as u64),
        head_timeout: UPLOAD_TIME,
        idle_timeout: UPLOAD_TIME,
    };
    let routes = routes_builder_with(ConfigVersion(2), limits, UPLOAD_TIME);
    let gateway = Arc::new(build_gateway(targets, BODY_MEMORY));
    assert!(gateway.install_routes(routes.build()));
    gateway
}

/// Starts a target that responds with a part of an answer without a length, and resets the connection
/// while the request is being written.
async fn start_resetting_target(name: &'static str) -> Target {
    const PART: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt: a-7\r\nSeal: s\r\n\r\npart";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
    let received = Arc::clone(&requests);
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut first = [0];
            if stream.read_exact(&mut first).await.is_ok() {
                received.lock().push(Request::new("POST", "/unread"));
                // Closing with unread bytes resets the connection.
                let _ = stream.write_all(PART).await;
            }
        }
    });
    Target {
        name,
        address,
        requests,
    }
}

/// Starts a target that reads uploads, and ends its answers with the connection.
async fn start_upload_target(name: &'static str) -> Target {
    const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt: a-7\r\nSeal: s\r\n\r\nwhole";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = Connection::new(stream);
            let limits = Limits::default().with_body_bytes(ByteSize(UPLOAD_BYTES as u64));
            if connection.read_request(&limits).await.is_ok() {
                let _ = connection.get_mut().write_all(WHOLE).await;
            }
        }
    });
    Target {
        name,
        address,
        requests: Arc::default(),
    }
}

async fn upload(address: SocketAddr, path: &str) -> Response {
    let mut req = Request::new("POST", path);
    req.headers.append("Host", "h");
    req.headers.append("Attempt", "a-7");
    req.headers.append("Wait-Ms", UPLOAD_TIME.0.to_string());
    req.body = Body::from(vec![b'u'; UPLOAD_BYTES]);
    let mut connection = Connection::new(TcpStream::connect(address).await.unwrap());
    connection.write_request(&req).await.unwrap();
    connection
        .read_response(RequestInfo::from(&req), &Limits::default())
        .await
        .unwrap()
}

/// Guards against a part of an answer that reaches the caller as the whole one, because the target reset
/// the connection while an upload was being written, and against an order that is sent twice.
#[test]
fn answer_that_is_reset_during_the_upload_is_broken() {
    block_on(async {
        for (path, sends) in [("/order/1", 1), ("/lookup/1", 2)] {
            let first = start_resetting_target("t-1").await;
            let second = start_resetting_target("t-2").await;
            let mut statuses = Vec::new();
            for _ in 0..UPLOAD_ROUNDS {
                let address = listen(&start_upload_gateway(&[&first, &second])).await;
                statuses.push(upload(address, path).await.status);
            }
            assert_eq!(statuses, [502; UPLOAD_ROUNDS], "{path}");
            let sent = first.requests.lock().len() + second.requests.lock().len();
            assert_eq!(sent, sends * UPLOAD_ROUNDS, "{path}");
        }
    });
}

/// Guards against a lookup that fails although another target can serve it.
#[test]
fn lookup_whose_answer_is_reset_is_served_by_another_target() {
    block_on(async {
        let resetting = start_resetting_target("t-reset").await;
        let good = start_upload_target("t-good").await;
        for _ in 0..UPLOAD_ROUNDS {
            let address = listen(&start_upload_gateway(&[&resetting, &good])).await;
            let response = upload(address, "/lookup/1").await;
            assert_eq!((response.status, &response.body[..]), (200, &b"whole"[..]));
        }
    });
}
