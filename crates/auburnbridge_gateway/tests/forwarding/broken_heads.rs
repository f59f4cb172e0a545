//! Tests targets whose answer has a malformed head, or stops within it.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use auburnbridge_http::{Connection, Limits, RequestInfo, Response};

use crate::targets::{Behaviour, OK, Target, listen, start_gateway};

/// Checks that callers hear of a failure, and that no order is sent twice.
fn assert_no_answer(behaviour: Behaviour, answer: &str) {
    for (path, sends) in [("/order/1", 1), ("/lookup/1", 2)] {
        let (status, sent) = crate::status_and_sends(path, behaviour);
        assert_eq!((status, sent), (502, sends), "{path} {answer:?}");
    }
}

/// Guards against passing on a header whose name is no token, against a body whose length such a header
/// hides, and against an order that runs at a second target as well.
#[test]
fn header_names_with_blanks_or_control_bytes_are_no_answer() {
    let bytes = [
        ' ', '\t', '\0', '\u{1}', '\u{b}', '\u{c}', '\u{1b}', '\u{7f}',
    ];
    for byte in bytes {
        let names = [
            format!("{byte}X-Extra"),
            format!("X{byte}Extra"),
            format!("X-Extra{byte}"),
            format!("X-Extra-Of-More-Than-16-Bytes{byte}"),
        ];
        let extra_line = names.map(|name| format!("Content-Length: 2\r\n{name}: 1"));
        let hidden_length = format!("Content-Length{byte}: 2");
        for lines in extra_line.into_iter().chain([hidden_length]) {
            let text = format!(
                "HTTP/1.1 200 OK\r\nAttempt: {{id}}\r\nSeal: s\r\n{lines}\r\n\r\nok and more"
            );
            assert_no_answer(Behaviour::RespondAndClose(text.leak()), &lines);
        }
    }
}

/// Guards against a caller that gets an empty or short body as a whole answer because the target stopped
/// within the head.
#[test]
fn answers_cut_within_the_head_are_no_answer() {
    let heads = [
        "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\n\r\n",
    ];
    for head in heads {
        for cut in 1..head.len() {
            let cut_head = &head[..cut];
            assert_no_answer(Behaviour::RespondAndClose(cut_head), cut_head);
        }
    }
}

/// Starts a target that stops within the head of its answer to requests for `cut_path`.
async fn start_cutting_target(name: &'static str, cut_path: &'static str) -> Target {
    const CUT: &str = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSeal: s\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = Connection::new(stream);
            task::spawn(async move {
                while let Ok(req) = connection.read_request(&Limits::default()).await {
                    let is_cut = req.path == cut_path;
                    let text = if is_cut { CUT } else { OK };
                    let answer = text.replace("{id}", req.headers.text("Attempt").unwrap());
                    let written = connection.get_mut().write_all(answer.as_bytes()).await;
                    if is_cut || written.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Target {
        name,
        address,
        requests: Arc::default(),
    }
}

/// Sends this number of requests ahead on one connection, and returns the responses in their order.
async fn send_ahead(address: SocketAddr, prefix: &str, count: usize) -> Vec<Response> {
    let mut connection = Connection::new(TcpStream::connect(address).await.unwrap());
    for number in 1..=count {
        let request = format!(
            "GET {prefix}{number} HTTP/1.1\r\nHost: h\r\nAttempt: a-{number}\r\nWait-Ms: 1000\r\n\r\n"
        );
        let stream = connection.get_mut();
        stream.write_all(request.as_bytes()).await.unwrap();
    }
    let mut responses = Vec::new();
    for _ in 0..count {
        let limits = Limits::default();
        let response = connection.read_response(RequestInfo::default(), &limits);
        responses.push(response.await.unwrap());
    }
    responses
}

/// Guards against answers that reach other requests of a caller that has sent several ahead, because the
/// target of one of them stopped within the head.
#[test]
fn answers_keep_their_order_beside_a_cut_head() {
    for prefix in ["/lookup/", "/order/"] {
        for cut in 1..=4 {
            let cut_path = format!("{prefix}{cut}").leak();
            let responses = block_on(async {
                // A lookup is cut by two of them; the others serve the rest.
                let targets = [
                    start_cutting_target("t-1", cut_path).await,
                    start_cutting_target("t-2", cut_path).await,
                    start_cutting_target("t-3", cut_path).await,
                    start_cutting_target("t-4", cut_path).await,
                ];
                let gateway = start_gateway(&targets.each_ref());
                let address = listen(&gateway).await;
                send_ahead(address, prefix, 4).await
            });
            for (number, response) in (1..).zip(responses) {
                let id = format!("a-{number}");
                let expected = if number == cut {
                    (502, None)
                } else {
                    (200, Some(id.as_str()))
                };
                let answered = (response.status, response.headers.text("Attempt"));
                assert_eq!(answered, expected, "{cut_path}, request {number}");
            }
        }
    }
}
