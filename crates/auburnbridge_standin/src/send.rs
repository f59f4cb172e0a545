//! Sends one request over a new connection.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use auburnbridge_http::{Connection, FramingError, Limits, Request, RequestInfo, Response};

/// Reason why no complete response was received.
#[derive(Debug)]
pub enum SendError {
    /// The connection could not be established or configured.
    Connect(std::io::Error),
    /// The request could not be written, or the response was invalid or incomplete.
    Framing(FramingError),
    /// The time limit expired.
    TimedOut,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "can't connect: {error}"),
            Self::Framing(error) => write!(f, "no whole response: {error}"),
            Self::TimedOut => f.write_str("no response in time"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends `req` to `address` and reads the complete response.
///
/// # Errors
///
/// Returns an error if the connection fails, the response is invalid or incomplete, or the exchange
/// takes longer than `limit`.
pub async fn send(
    address: SocketAddr,
    req: &Request,
    limit: Duration,
) -> Result<Response, SendError> {
    let exchange = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(SendError::Connect)?;
        stream.set_nodelay(true).map_err(SendError::Connect)?;
        let mut connection = Connection::new(stream);
        connection
            .write_request(req)
            .await
            .map_err(SendError::Framing)?;
        connection
            .read_response(RequestInfo::from(req), &Limits::default())
            .await
            .map_err(SendError::Framing)
    };
    timeout(limit, exchange)
        .await
        .unwrap_or(Err(SendError::TimedOut))
}
