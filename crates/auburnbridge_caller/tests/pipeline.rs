//! Tests pipelined connections: order of the responses, shutdown, and disconnects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use auburnbridge_caller::{Disconnect, Lifecycle, LimitSource, Listener, ListenerOptions, Service};
use auburnbridge_http::{Connection, KeepAlive, Limits, Request, RequestInfo, Response};
use auburnbridge_types::{BoxFuture, Millis};
use parking_lot::Mutex;

/// Answers `/slow` after 200 ms, `/never` only after a disconnect, and other paths immediately.
#[derive(Default)]
struct PathService {
    started: Mutex<Vec<String>>,
    disconnected: Mutex<Vec<String>>,
}

impl Service for PathService {
    fn respond(
        &self,
        req: Request,
        _caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            self.started.lock().push(req.path.clone());
            match req.path.as_str() {
                "/slow" => task::sleep(Duration::from_millis(200)).await,
                "/never" => {
                    disconnect.wait().await;
                    self.disconnected.lock().push(req.path.clone());
                }
                _ => {}
            }
            let mut response = Response::new(200);
            response.body = req.path.into_bytes().into();
            response
        })
    }
}

struct FixedLimits;

impl LimitSource for FixedLimits {
    fn limits(&self) -> Limits {
        Limits::default()
    }

    fn request_timeout(&self) -> Millis {
        Millis(1_000)
    }

    fn idle_timeout(&self) -> Millis {
        Millis(10_000)
    }
}

struct Fixture {
    service: Arc<PathService>,
    lifecycle: Arc<Lifecycle>,
    address: SocketAddr,
}

async fn start() -> Fixture {
    let service = Arc::new(PathService::default());
    let lifecycle = Arc::new(Lifecycle::default());
    let options = ListenerOptions::builder()
        .pipelined(4, Arc::new(FixedLimits))
        .build();
    let listener = Listener::bind(
        "127.0.0.1:0".parse().unwrap(),
        Arc::clone(&service) as Arc<dyn Service>,
        Arc::clone(&lifecycle),
        options,
    )
    .await
    .unwrap();
    let address = listener.local_address().unwrap();
    task::spawn(listener.run());
    Fixture {
        service,
        lifecycle,
        address,
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

async fn connect(fixture: &Fixture, requests: &[String]) -> Connection<TcpStream> {
    let mut stream = TcpStream::connect(fixture.address).await.unwrap();
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
    Connection::new(stream)
}

async fn read(connection: &mut Connection<TcpStream>) -> Response {
    let limits = Limits::default();
    let answer = connection.read_response(RequestInfo::default(), &limits);
    timeout(Duration::from_secs(2), answer)
        .await
        .unwrap()
        .unwrap()
}

async fn wait_until(failure: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..200 {
        if holds() {
            return;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("{failure}");
}

/// Guards against responses in the order of their completion, and against a request that is handled
/// only after the one before it.
#[test]
fn answers_keep_the_order_of_the_requests() {
    block_on(async {
        let fixture = start().await;
        let requests = [get("/slow"), get("/1"), get("/2")];
        let mut connection = connect(&fixture, &requests).await;
        wait_until("the requests were not handled concurrently", || {
            fixture.service.started.lock().len() == 3
        })
        .await;
        for path in ["/slow", "/1", "/2"] {
            assert_eq!(&*read(&mut connection).await.body, path.as_bytes());
        }
    });
}

/// Guards against a shutdown that closes a connection before all dispatched requests are answered.
#[test]
fn shutdown_closes_behind_the_last_answer() {
    block_on(async {
        let fixture = start().await;
        let mut connection = connect(&fixture, &[get("/slow"), get("/1")]).await;
        wait_until("the requests were not started", || {
            fixture.service.started.lock().len() == 2
        })
        .await;
        fixture.lifecycle.begin_draining();
        let mut text = String::new();
        connection
            .get_mut()
            .read_to_string(&mut text)
            .await
            .unwrap();
        let answers: Vec<&str> = text.split("HTTP/1.1 200 OK").skip(1).collect();
        assert_eq!(answers.len(), 2, "{text}");
        assert!(!answers[0].contains("Connection: close"), "{text}");
        assert!(answers[1].contains("Connection: close"), "{text}");
    });
}

/// Guards against handling a request that arrives after the response that closes its connection.
#[test]
fn request_that_crosses_the_close_is_not_handled() {
    block_on(async {
        let fixture = start().await;
        fixture.lifecycle.begin_draining();
        let mut connection = connect(&fixture, &[get("/1")]).await;
        assert_eq!(read(&mut connection).await.keep_alive, KeepAlive::Close);
        // The close may reset the connection under this write.
        let _ = connection.get_mut().write_all(get("/2").as_bytes()).await;
        task::sleep(Duration::from_millis(100)).await;
        assert_eq!(*fixture.service.started.lock(), ["/1"]);
    });
}

/// Guards against missing a disconnect when the caller has sent further requests ahead.
#[test]
fn disconnect_is_seen_behind_requests_sent_ahead() {
    block_on(async {
        let fixture = start().await;
        let connection = connect(&fixture, &[get("/never"), get("/never")]).await;
        wait_until("the requests were not started", || {
            fixture.service.started.lock().len() == 2
        })
        .await;
        drop(connection);
        wait_until("the disconnect was not reported", || {
            fixture.service.disconnected.lock().len() == 2
        })
        .await;
    });
}
