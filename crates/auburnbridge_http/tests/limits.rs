//! Tests `100 Continue`, the memory budget for bodies, and writes.

mod support;

use auburnbridge_http::{
    Body, CONTINUE, FramingError, KeepAlive, Limits, MemoryBudget, Request, RequestInfo, Response,
};
use auburnbridge_types::ByteSize;
use support::{Parts, count_writes, read_request, read_response, small_limits};

/// Guards against a caller that waits forever for `100 Continue`, and against asking a caller for a
/// body that is then rejected.
#[test]
fn continue_is_sent_only_for_an_expected_and_acceptable_body() {
    type Case = (
        &'static [&'static [u8]],
        Result<(), FramingError>,
        &'static [u8],
    );
    let cases: [Case; 4] = [
        (
            &[
                b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
                b"ok",
            ],
            Ok(()),
            CONTINUE,
        ),
        (
            &[
                b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\no",
                b"k",
            ],
            Ok(()),
            b"",
        ),
        (
            &[b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n"],
            Ok(()),
            b"",
        ),
        (
            &[b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 33\r\n\r\n"],
            Err(FramingError::BodyTooLarge),
            b"",
        ),
    ];
    for (parts, result, written) in cases {
        let outcome = read_request(Parts::of(parts), &small_limits());
        assert_eq!(outcome.message.map(|_| ()), result, "{parts:?}");
        assert_eq!(outcome.written, written, "{parts:?}");
    }
}

/// Guards against bodies that together exceed the budget, and against reservations that are not
/// released.
#[test]
fn bodies_share_the_budget_and_release_it_on_drop() {
    let budget = MemoryBudget::new(ByteSize(10));
    let limits = Limits::default().with_budget(budget.clone());
    let sized = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n";
    let body = b"123456";
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n123456\r\n0\r\n\r\n";
    let read =
        |parts: &[&[u8]]| read_response(Parts::of(parts), RequestInfo::default(), &limits).message;

    let first = read(&[sized, body]).unwrap();
    let copy = first.clone();
    assert_eq!(budget.used(), ByteSize(6));
    assert_eq!(read(&[chunked]), Err(FramingError::MemoryExhausted));
    assert_eq!(read(&[sized, body]), Err(FramingError::MemoryExhausted));
    assert_eq!(budget.used(), ByteSize(6));
    drop(first);
    assert_eq!(read(&[chunked]), Err(FramingError::MemoryExhausted));
    drop(copy);
    assert_eq!(budget.used(), ByteSize(0));
    assert_eq!(read(&[sized, b"123"]), Err(FramingError::ClosedInBody));
    assert_eq!(budget.used(), ByteSize(0));
    assert_eq!(&*read(&[chunked]).unwrap().body, body);
}

/// Guards against a sender that reserves the budget with a large `Content-Length` and sends
/// nothing.
#[test]
fn the_budget_is_charged_as_bytes_arrive() {
    let budget = MemoryBudget::new(ByteSize(20_000));
    let limits = Limits::default().with_budget(budget);
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n";
    let outcome = read_response(Parts::of(&[head]), RequestInfo::default(), &limits);
    assert_eq!(outcome.message, Err(FramingError::ClosedInBody));
}

/// Guards against a message that is sent in several writes, and therefore in several packets.
#[test]
fn a_message_is_sent_in_one_write() {
    let mut request = Request::new("POST", "/slips");
    request.body = Body::from(vec![b'x'; 100_000]);
    assert_eq!(
        count_writes(async |connection| connection.write_request(&request).await),
        1
    );
    let mut response = Response::new(200);
    response.body = request.body.clone();
    let info = RequestInfo::default();
    let count = count_writes(async |connection| {
        connection
            .write_response(&response, info, KeepAlive::Reuse)
            .await
    });
    assert_eq!(count, 1);
}
