//! Tests requests with bodies on pipelined connections: admission, slow transfers, and memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use auburnbridge_caller::{
    ConnectionMemory, Disconnect, Lifecycle, LimitSource, Listener, ListenerOptions, Service,
    Transfer, TransferPace,
};
use auburnbridge_http::{
    Connection, KeepAlive, Limits, MemoryBudget, Request, RequestInfo, Response, UnreadRequest,
};
use auburnbridge_types::{BoxFuture, ByteRate, ByteSize, Millis, Timestamp};
use parking_lot::Mutex;

const UPLOAD_BYTES: usize = 60 * 1024;
/// Doesn't fit the buffers of the sockets.
const LARGE_RESPONSE: usize = 8 << 20;
const HEAD_TIMEOUT: Millis = Millis(400);

/// Refuses `/refused`, answers `/large` with 8 MiB, `/never` only after a disconnect, and other paths
/// with the length of the body.
#[derive(Default)]
struct UploadService {
    /// Lengths of the bodies in the order of their arrival.
    received: Mutex<Vec<usize>>,
    /// Requests in progress now, and at most so far.
    running: Mutex<(usize, usize)>,
    /// Requests to `/never` that ended because their caller disconnected.
    disconnected: Mutex<usize>,
    delay: Duration,
}

impl Service for UploadService {
    fn respond(
        &self,
        req: Request,
        _caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            self.received.lock().push(req.body.len());
            if req.path == "/never" {
                disconnect.wait().await;
                *self.disconnected.lock() += 1;
            }
            {
                let mut running = self.running.lock();
                running.0 += 1;
                running.1 = running.1.max(running.0);
            }
            task::sleep(self.delay).await;
            self.running.lock().0 -= 1;
            let mut response = Response::new(200);
            response.body = match req.path.as_str() {
                "/large" => vec![b'x'; LARGE_RESPONSE].into(),
                _ => req.body.len().to_string().into_bytes().into(),
            };
            response
        })
    }

    fn admit(
        &self,
        head: &UnreadRequest,
        arrived: Timestamp,
    ) -> Result<Option<Timestamp>, Box<Response>> {
        match head.request().path.as_str() {
            "/refused" => Err(Box::new(Response::new(503))),
            "/urgent" => Ok(Some(arrived.after(Millis(100)))),
            _ => Ok(None),
        }
    }
}

struct UploadLimits {
    budget: MemoryBudget,
}

impl LimitSource for UploadLimits {
    fn limits(&self) -> Limits {
        Limits::default().with_budget(self.budget.clone())
    }

    fn request_timeout(&self) -> Millis {
        HEAD_TIMEOUT
    }

    fn idle_timeout(&self) -> Millis {
        Millis(10_000)
    }

    fn connection_memory(&self) -> ByteSize {
        ByteSize(4 * UPLOAD_BYTES as u64)
    }
}

struct Fixture {
    service: Arc<UploadService>,
    lifecycle: Arc<Lifecycle>,
    budget: MemoryBudget,
    address: SocketAddr,
}

async fn start(service: UploadService) -> Fixture {
    let service = Arc::new(service);
    let lifecycle = Arc::new(Lifecycle::default());
    let budget = MemoryBudget::new(ByteSize(4 << 20));
    let limits = UploadLimits {
        budget: budget.clone(),
    };
    let options = ListenerOptions::builder()
        .write_timeout(Millis(400))
        .pipelined(16, Arc::new(limits))
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
        budget,
        address,
    }
}

impl Fixture {
    async fn connect(&self, bytes: &[u8]) -> Connection<TcpStream> {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        Connection::new(stream)
    }

    async fn wait_until_released(&self) {
        let released = async {
            while self.budget.used().0 > 0 {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(3), released)
            .await
            .expect("a body is still in memory");
    }
}

fn head(path: &str, length: usize, extra: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n{extra}\r\n")
        .into_bytes()
}

fn upload(path: &str) -> Vec<u8> {
    let mut bytes = head(path, UPLOAD_BYTES, "");
    bytes.resize(bytes.len() + UPLOAD_BYTES, b'u');
    bytes
}

async fn read(connection: &mut Connection<TcpStream>) -> Response {
    let limits = Limits::default().with_body_bytes(ByteSize(LARGE_RESPONSE as u64));
    let answer = connection.read_response(RequestInfo::default(), &limits);
    timeout(Duration::from_secs(3), answer)
        .await
        .unwrap()
        .unwrap()
}

/// Guards against a body that is cut off by the time for the head although it arrives steadily: 360 KB
/// over a link that other requests use as well.
#[test]
fn steady_body_may_take_longer_than_the_head() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        let mut connection = fixture.connect(&head("/", 360 * 1024, "")).await;
        let start = Instant::now();
        for _ in 0..12 {
            task::sleep(Duration::from_millis(100)).await;
            let part = vec![b'u'; 30 * 1024];
            connection.get_mut().write_all(&part).await.unwrap();
        }
        let response = read(&mut connection).await;
        assert_eq!((response.status, &response.body[..]), (200, &b"368640"[..]));
        assert!(start.elapsed() > 2 * Duration::from_millis(HEAD_TIMEOUT.0));
    });
}

/// Guards against callers that hold memory with bodies they don't finish, and against a request that
/// runs although its caller hears "not run".
#[test]
fn body_that_stops_or_drips_ends_with_408() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        let mut stopped = upload("/");
        stopped.truncate(40 * 1024);
        let mut connection = fixture.connect(&stopped).await;
        let start = Instant::now();
        assert_eq!(read(&mut connection).await.status, 408);
        assert!(start.elapsed() >= Duration::from_millis(HEAD_TIMEOUT.0));

        let mut connection = fixture.connect(&head("/", UPLOAD_BYTES, "")).await;
        let mut dripping = connection.get_ref().clone();
        let drip = task::spawn(async move {
            while dripping.write_all(b"u").await.is_ok() {
                task::sleep(Duration::from_millis(20)).await;
            }
        });
        assert_eq!(read(&mut connection).await.status, 408);
        drip.cancel().await;
        fixture.wait_until_released().await;
        assert!(fixture.service.received.lock().is_empty());
    });
}

/// Guards against a caller that sends a body past its own deadline and hears nothing meanwhile.
#[test]
fn body_that_arrives_after_the_deadline_ends_with_408() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        let mut connection = fixture.connect(&head("/urgent", UPLOAD_BYTES, "")).await;
        let start = Instant::now();
        assert_eq!(read(&mut connection).await.status, 408);
        assert!(start.elapsed() < Duration::from_millis(HEAD_TIMEOUT.0));
        assert!(fixture.service.received.lock().is_empty());
    });
}

/// Guards against a caller that leaves in the middle of a body and whose memory is not released, or
/// whose request runs.
#[test]
fn caller_that_leaves_within_a_body_releases_its_memory() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        let mut part = upload("/");
        part.truncate(40 * 1024);
        let connection = fixture.connect(&part).await;
        task::sleep(Duration::from_millis(50)).await;
        assert!(fixture.budget.used().0 > 0);
        drop(connection);
        fixture.wait_until_released().await;
        assert!(fixture.service.received.lock().is_empty());
    });
}

/// Guards against a refusal that is lost by a reset, and against the bytes of a refused body that are
/// read as a request.
#[test]
fn refused_upload_keeps_its_connection() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        let mut connection = fixture.connect(&upload("/refused")).await;
        assert_eq!(read(&mut connection).await.status, 503);
        connection.get_mut().write_all(&upload("/")).await.unwrap();
        let response = read(&mut connection).await;
        assert_eq!((response.status, &response.body[..]), (200, &b"61440"[..]));
        assert_eq!(*fixture.service.received.lock(), [UPLOAD_BYTES]);
    });
}

/// Guards against a caller that is told to send a body which is then refused.
#[test]
fn continue_is_sent_to_admitted_requests_only() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        for (path, first_line) in [
            ("/refused", "HTTP/1.1 503 Service Unavailable\r\n"),
            ("/", "HTTP/1.1 100 Continue\r\n"),
        ] {
            let bytes = head(path, UPLOAD_BYTES, "Expect: 100-continue\r\n");
            let mut connection = fixture.connect(&bytes).await;
            let mut line = vec![0; first_line.len()];
            let reading = connection.get_mut().read_exact(&mut line);
            timeout(Duration::from_secs(2), reading)
                .await
                .unwrap()
                .unwrap();
            assert_eq!(String::from_utf8(line).unwrap(), first_line);
        }
    });
}

/// Guards against an interim response that precedes or interrupts the response to an earlier request.
#[test]
fn continue_follows_the_responses_to_earlier_requests() {
    block_on(async {
        let service = UploadService {
            delay: Duration::from_millis(100),
            ..UploadService::default()
        };
        let fixture = start(service).await;
        let mut bytes = upload("/");
        bytes.extend(head("/", 4, "Expect: 100-continue\r\n"));
        let mut connection = fixture.connect(&bytes).await;
        let expected =
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n61440HTTP/1.1 100 Continue\r\n\r\n";
        let mut received = vec![0; expected.len()];
        let reading = connection.get_mut().read_exact(&mut received);
        timeout(Duration::from_secs(2), reading)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(String::from_utf8(received).unwrap(), expected);
        connection.get_mut().write_all(b"body").await.unwrap();
        assert_eq!(&read(&mut connection).await.body[..], b"4");
    });
}

/// Guards against a 413 that its caller doesn't see because it is still sending the body.
#[test]
fn caller_of_a_body_over_the_limit_hears_413() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        let mut connection = fixture.connect(&head("/", 2 << 20, "")).await;
        let mut sending = connection.get_ref().clone();
        let send = task::spawn(async move {
            for _ in 0..20 {
                task::sleep(Duration::from_millis(50)).await;
                if sending.write_all(&vec![b'u'; 32 * 1024]).await.is_err() {
                    return false;
                }
            }
            true
        });
        assert_eq!(read(&mut connection).await.status, 413);
        assert!(send.await, "the connection was reset while the caller sent");
        assert!(fixture.service.received.lock().is_empty());
    });
}

/// Guards against sixteen pipelined uploads of one caller that take the memory of sixteen callers.
#[test]
fn pipelined_uploads_of_one_caller_wait_for_room() {
    block_on(async {
        let service = UploadService {
            delay: Duration::from_millis(30),
            ..UploadService::default()
        };
        let fixture = start(service).await;
        let mut connection = fixture.connect(&[]).await;
        let mut sending = connection.get_ref().clone();
        let send = task::spawn(async move {
            for _ in 0..16 {
                sending.write_all(&upload("/")).await.unwrap();
            }
        });
        for _ in 0..16 {
            assert_eq!(&read(&mut connection).await.body[..], b"61440");
        }
        send.await;
        assert_eq!(fixture.service.received.lock().len(), 16);
        let most_running = fixture.service.running.lock().1;
        assert!((2..=4).contains(&most_running), "{most_running}");
    });
}

/// Guards against a response that is cut off although its caller reads it steadily, and against one
/// that is kept in memory for a caller that reads nothing.
#[test]
fn response_is_written_as_long_as_the_caller_reads_it() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        let request = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
        let mut reading = fixture.connect(request).await;
        let mut unread = fixture.connect(request).await;
        let start = Instant::now();
        let mut bytes = 0;
        let mut buf = vec![0; 256 * 1024];
        while bytes < 8 << 20 {
            task::sleep(Duration::from_millis(25)).await;
            let read = reading.get_mut().read(&mut buf).await.unwrap();
            assert!(read > 0, "cut off after {bytes} bytes");
            bytes += read;
        }
        assert!(start.elapsed() > Duration::from_millis(600));
        let mut left = Vec::new();
        let end = unread.get_mut().read_to_end(&mut left);
        // The connection was closed in the middle of the response.
        let _ = timeout(Duration::from_secs(3), end).await.unwrap();
        assert!(left.len() < 8 << 20);
    });
}

const GET: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const GET_LARGE: &[u8] = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
const GET_NEVER: &[u8] = b"GET /never HTTP/1.1\r\nHost: h\r\n\r\n";
/// Bytes that can't be read as a request.
const UNREADABLE: &[u8] = b"?\r\n\r\n";

/// Checks that the listener closes a connection on which it has sent its last byte, although the
/// caller keeps it open.
async fn assert_closed(connection: &mut Connection<TcpStream>) {
    // Longer than the input of a closed connection is drained.
    task::sleep(Duration::from_secs(1)).await;
    let writes = async {
        while connection.get_mut().write_all(b"x").await.is_ok() {
            task::sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_millis(500), writes)
        .await
        .expect("the listener still holds the connection");
}

/// Guards against a connection that is held until its caller closes it, because a refusal came after
/// the last response and is never written.
#[test]
fn refusal_behind_the_last_response_does_not_hold_the_connection() {
    block_on(async {
        for refused in [&upload("/refused"), UNREADABLE] {
            let fixture = start(UploadService::default()).await;
            fixture.lifecycle.begin_draining();
            let mut connection = fixture.connect(GET).await;
            assert_eq!(read(&mut connection).await.keep_alive, KeepAlive::Close);
            connection.get_mut().write_all(refused).await.unwrap();
            assert_closed(&mut connection).await;
        }
    });
}

/// Guards against a connection that is held because a refusal was queued while the last response was
/// written.
#[test]
fn refusal_during_the_last_response_does_not_hold_the_connection() {
    block_on(async {
        let fixture = start(UploadService::default()).await;
        fixture.lifecycle.begin_draining();
        let mut connection = fixture.connect(GET_LARGE).await;
        task::sleep(Duration::from_millis(150)).await;
        connection.get_mut().write_all(UNREADABLE).await.unwrap();
        task::sleep(Duration::from_millis(50)).await;
        let response = read(&mut connection).await;
        assert_eq!(response.keep_alive, KeepAlive::Close);
        assert_eq!(response.body.len(), LARGE_RESPONSE);
        assert_closed(&mut connection).await;
    });
}

/// Guards against requests that go on for a caller that reads nothing and whose connection was given
/// up, because the bytes it sent ahead fill the buffer in front of the end of the stream.
#[test]
fn unread_connection_ends_while_an_upload_waits_for_room() {
    block_on(async {
        for extra in ["", "Expect: 100-continue\r\n"] {
            let fixture = start(UploadService::default()).await;
            let mut bytes = [GET_LARGE, GET_NEVER].concat();
            bytes.extend(head("/", 1 << 20, extra));
            let connection = fixture.connect(&bytes).await;
            let mut sending = connection.get_ref().clone();
            let send = task::spawn(async move {
                let _ = sending.write_all(&vec![b'u'; 1 << 20]).await;
            });
            let cancelled = async {
                while *fixture.service.disconnected.lock() == 0 {
                    task::sleep(Duration::from_millis(10)).await;
                }
            };
            timeout(Duration::from_secs(3), cancelled)
                .await
                .expect("the request goes on");
            send.cancel().await;
        }
    });
}

/// Guards against answers that are lost by a reset, because the connection is closed behind them while
/// the body of a refused request still drips in.
#[test]
fn refused_body_that_stops_closes_behind_the_last_response() {
    block_on(async {
        let service = UploadService {
            delay: Duration::from_millis(800),
            ..UploadService::default()
        };
        let fixture = start(service).await;
        let mut bytes = GET.to_vec();
        bytes.extend(head("/refused", UPLOAD_BYTES, ""));
        let mut connection = fixture.connect(&bytes).await;
        let mut dripping = connection.get_ref().clone();
        let drip = task::spawn(async move {
            while dripping.write_all(b"u").await.is_ok() {
                task::sleep(Duration::from_millis(20)).await;
            }
        });
        // The time for the refused body has passed.
        task::sleep(Duration::from_millis(1_200)).await;
        let mut text = String::new();
        let reading = connection.get_mut().read_to_string(&mut text);
        timeout(Duration::from_secs(2), reading)
            .await
            .unwrap()
            .unwrap();
        let responses: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
        assert_eq!(responses.len(), 2, "{text}");
        assert!(responses[0].starts_with("200"), "{text}");
        assert!(!responses[0].contains("Connection: close"), "{text}");
        assert!(responses[1].starts_with("503"), "{text}");
        assert!(responses[1].contains("Connection: close"), "{text}");
        drip.cancel().await;
    });
}

const PACE: TransferPace = TransferPace {
    max_pause: Millis(3_000),
    min_rate: ByteRate(8 * 1024),
};

/// Guards against callers that stop in the middle of a body, or send a byte now and then, and hold
/// memory for longer than the stated times, whatever they sent before.
#[test]
fn transfer_ends_after_a_pause_or_below_the_minimum_rate() {
    let start = Timestamp(10_000);
    let expiry = |moves: &[(u64, u64)]| {
        let mut transfer = Transfer::new(PACE, start);
        for (after_ms, bytes) in moves {
            transfer.record(start.after(Millis(*after_ms)), *bytes);
        }
        transfer.expires().since(start)
    };
    assert_eq!(expiry(&[]), Millis(3_000));
    // Stops in the middle after a fast start.
    assert_eq!(expiry(&[(50, 40 * 1024)]), Millis(3_050));
    // The same number of bytes again is no progress.
    assert_eq!(expiry(&[(50, 40 * 1024), (900, 40 * 1024)]), Millis(3_050));
    // One byte each second.
    let drip: Vec<_> = (1..4).map(|at| (at * 1_000, at)).collect();
    assert_eq!(expiry(&drip), Millis(3_000));
    // 60 KB at a tenth of a link of 1.4 Mbit/s.
    let slow: Vec<_> = (1..4).map(|at| (at * 1_000, at * 17_500)).collect();
    assert_eq!(expiry(&slow), Millis(6_000));
}

/// Guards against a limit that a caller exceeds by pipelining, or that a single large body can't pass.
#[test]
fn connection_holds_one_body_or_as_many_as_fit() {
    let memory = ConnectionMemory::new(ByteSize(4 * UPLOAD_BYTES as u64));
    let size = ByteSize(UPLOAD_BYTES as u64);
    assert!(memory.has_room(ByteSize(64 << 20)));
    let mut held = Vec::new();
    while memory.has_room(size) {
        held.push(memory.hold(UPLOAD_BYTES));
    }
    assert_eq!(held.len(), 4);
    held.pop();
    assert!(memory.has_room(size));
    drop(held);
    assert_eq!(memory.held(), ByteSize(0));
}
