//! Tests large bodies: encoding without a copy, and heads that are read before their bodies.

use async_std::io::Cursor;
use async_std::task::block_on;
use auburnbridge_http::{
    Body, Connection, FramingError, KeepAlive, Limits, MemoryBudget, Request, RequestInfo,
    Response, encode_request, encode_request_start, encode_response, encode_response_start,
};
use auburnbridge_types::ByteSize;

const JOINED: usize = 16 * 1024;

/// Guards against a large body that is copied behind its head, and against other bytes on the wire.
#[test]
fn rest_of_a_large_body_is_not_copied() {
    for length in [0, 1, JOINED, JOINED + 1, 360 * 1024] {
        let body = Body::from((0..=u8::MAX).cycle().take(length).collect::<Vec<u8>>());
        let mut request = Request::new("POST", "/slips");
        request.body = body.clone();
        let (mut whole, mut start) = (Vec::new(), Vec::new());
        encode_request(&request, &mut whole);
        let rest = encode_request_start(&request, &mut start);
        assert_eq!([&start, rest].concat(), whole);
        assert_eq!(rest.len(), length.saturating_sub(JOINED));
        assert!(start.capacity() < JOINED + 1024);

        let mut response = Response::new(200);
        response.body = body;
        for info in [
            RequestInfo { is_head: false },
            RequestInfo { is_head: true },
        ] {
            let (mut whole, mut start) = (Vec::new(), Vec::new());
            encode_response(&response, info, KeepAlive::Reuse, &mut whole);
            let rest = encode_response_start(&response, info, KeepAlive::Reuse, &mut start);
            assert_eq!([&start, rest].concat(), whole);
            assert!(!info.is_head || rest.is_empty());
        }
    }
}

/// Guards against a body that is read or charged with its head, and against the bytes of a skipped body
/// that are read as a request.
#[test]
fn head_is_read_without_its_body() {
    const FIRST: &str = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n";
    const SECOND: &str =
        "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    const THIRD: &str = "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n";
    let mut bytes = FIRST.as_bytes().to_vec();
    bytes.resize(bytes.len() + 20_000, b'u');
    bytes.extend_from_slice(SECOND.as_bytes());
    bytes.extend_from_slice(THIRD.as_bytes());
    let budget = MemoryBudget::new(ByteSize(1_000));
    let limits = Limits::default().with_budget(budget.clone());
    block_on(async {
        let mut connection = Connection::new(Cursor::new(bytes));
        let head = connection.read_request_head(&limits).await.unwrap();
        assert_eq!(head.request().path, "/1");
        assert_eq!(head.body_length(), Some(ByteSize(20_000)));
        assert_eq!(budget.used(), ByteSize(0));
        connection.skip_bytes(20_000).await.unwrap();
        let head = connection.read_request_head(&limits).await.unwrap();
        assert_eq!((head.body_length(), head.has_body()), (None, true));
        let request = connection.read_request_body(head, &limits).await.unwrap();
        assert_eq!((&*request.path, &*request.body), ("/2", &b"body"[..]));
        assert_eq!(budget.used(), ByteSize(4));
        let head = connection.read_request_head(&limits).await.unwrap();
        assert!(!head.has_body());
        let request = connection.read_request_body(head, &limits).await.unwrap();
        assert_eq!(request.path, "/3");
        let end = connection.skip_bytes(1).await;
        assert_eq!(end, Err(FramingError::ClosedInBody));
    });
}

/// Guards against a chunked body, whose length isn't known from the head, that exceeds the limit or the
/// budget.
#[test]
fn chunked_body_counts_as_it_arrives() {
    let head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = "8\r\n12345678\r\n".repeat(100);
    let bytes = format!("{head}{chunks}0\r\n\r\n").into_bytes();
    let limit = |bytes| Limits::default().with_body_bytes(ByteSize(bytes));
    let budget = |bytes| Limits::default().with_budget(MemoryBudget::new(ByteSize(bytes)));
    for (limits, expected) in [
        (limit(799), Err(FramingError::BodyTooLarge)),
        (budget(799), Err(FramingError::MemoryExhausted)),
        (limit(800), Ok(800)),
        (budget(800), Ok(800)),
    ] {
        let mut connection = Connection::new(Cursor::new(bytes.clone()));
        let request = block_on(connection.read_request(&limits));
        assert_eq!(request.map(|request| request.body.len()), expected);
    }
}
