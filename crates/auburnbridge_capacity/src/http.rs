//! Measures the HTTP codec for one exchange of an entry, which reads two messages and writes two.

use async_std::task;
use auburnbridge_http::{
    Connection, KeepAlive, Limits, Request, RequestInfo, Response, encode_request, encode_response,
};
use futures_lite::io::Cursor;

use crate::measure::{Metric, Report, nanos_per_call};

const BODY_SIZES: [u32; 3] = [256, 4_096, 65_536];

pub const READ_REQUEST: Metric = metric("H1", "read a request");
pub const WRITE_REQUEST: Metric = metric("H2", "encode a request");
pub const READ_RESPONSE: Metric = metric("H3", "read a response");
pub const WRITE_RESPONSE: Metric = metric("H4", "encode a response");

const fn metric(id: &'static str, name: &'static str) -> Metric {
    Metric {
        id,
        name,
        size_unit: "B of body",
        unit: "µs",
    }
}

pub fn measure(report: &mut Report) {
    for bytes in BODY_SIZES {
        let limits = Limits::default();
        let request = request(bytes);
        let mut encoded = Vec::new();
        encode_request(&request, &mut encoded);
        let read = nanos_per_call(|| {
            let mut connection = Connection::new(Cursor::new(encoded.clone()));
            task::block_on(connection.read_request(&limits)).expect("the message is complete")
        });
        report.record(READ_REQUEST, bytes, read / 1e3);
        let write = nanos_per_call(|| {
            let mut buf = Vec::new();
            encode_request(&request, &mut buf);
            buf
        });
        report.record(WRITE_REQUEST, bytes, write / 1e3);

        let info = RequestInfo::default();
        let response = response(bytes);
        let mut encoded = Vec::new();
        encode_response(&response, info, KeepAlive::Reuse, &mut encoded);
        let read = nanos_per_call(|| {
            let mut connection = Connection::new(Cursor::new(encoded.clone()));
            task::block_on(connection.read_response(info, &limits))
                .expect("the message is complete")
        });
        report.record(READ_RESPONSE, bytes, read / 1e3);
        let write = nanos_per_call(|| {
            let mut buf = Vec::new();
            encode_response(&response, info, KeepAlive::Reuse, &mut buf);
            buf
        });
        report.record(WRITE_RESPONSE, bytes, write / 1e3);
    }
}

fn request(bytes: u32) -> Request {
    let mut request = Request::new("POST", "/service-0001/resource-000061/items/17");
    let headers = [
        ("Host", "api.example.net"),
        ("User-Agent", "client/1.4"),
        ("Accept", "application/json"),
        ("Content-Type", "application/json"),
        ("Idempotency-Key", "01a3185c-5000-7000-8000-0123456789ab"),
        ("Auburnbridge-Account", "account-004711"),
        ("Auburnbridge-Deadline-Ms", "1800"),
        ("Auburnbridge-Previous-Attempts", "0"),
    ];
    for (name, value) in headers {
        request.headers.append(name, value);
    }
    request.body = vec![b'x'; bytes as usize].into();
    request
}

fn response(bytes: u32) -> Response {
    let mut response = Response::new(200);
    let headers = [
        ("Content-Type", "application/json"),
        ("Date", "Fri, 04 Dec 2026 10:00:00 GMT"),
        ("Server", "target/2"),
        ("Cache-Control", "no-store"),
    ];
    for (name, value) in headers {
        response.headers.append(name, value);
    }
    response.body = vec![b'x'; bytes as usize].into();
    response
}
