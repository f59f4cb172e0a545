//! Client of the administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use auburnbridge_http::{Connection, Limits, Request, RequestInfo, Response};
use auburnbridge_types::ByteSize;

use crate::failure::Failure;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for a response body; the largest one is a whole rules file.
const MAX_RESPONSE_BODY: ByteSize = ByteSize(48 << 20);

/// Returns a request without a body that carries the operator's key, if there is one.
pub(super) fn request(method: &str, path: &str, key: Option<&str>) -> Request {
    let mut req = Request::new(method, path);
    req.headers.append("Host", "auburnbridge");
    if let Some(key) = key {
        req.headers.append("Authorization", format!("Bearer {key}"));
    }
    req
}

/// Reads an operator's key from a file and trims surrounding white space.
pub(super) fn read_key(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map(|text| text.trim().to_owned())
        .map_err(|error| Failure::new(format!("{}: can't be read: {error}", path.display())))
}

/// Sends a request on a new connection and returns the response with its whole body.
pub(super) fn call(address: SocketAddr, req: &Request) -> Result<Response, Failure> {
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut connection = Connection::new(stream);
        let limits = Limits::default().with_body_bytes(MAX_RESPONSE_BODY);
        connection
            .write_request(req)
            .await
            .map_err(std::io::Error::other)?;
        connection
            .read_response(RequestInfo::from(req), &limits)
            .await
            .map_err(std::io::Error::other)
    };
    task::block_on(timeout(CALL_TIMEOUT, exchange))
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
        .map_err(|error| Failure::new(format!("{address}: {error}")))
}

/// Returns the body of a response with a 2xx status; any other status is an error.
pub(super) fn success_body(response: &Response) -> Result<String, Failure> {
    let body = String::from_utf8_lossy(&response.body).into_owned();
    if (200..300).contains(&response.status) {
        Ok(body)
    } else {
        Err(Failure::new(format!("status {}: {body}", response.status)))
    }
}
