//! Opening a connection to a target.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;
use auburnbridge_http::Connection;
use auburnbridge_types::{Clock, Millis};
use futures_lite::future::or;

use crate::NotSentReason;

/// Connects within `timeout`, with Nagle's algorithm off.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Millis,
    clock: &dyn Clock,
) -> Result<Connection<TcpStream>, NotSentReason> {
    let connecting = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(classify_connect_error)?;
        stream.set_nodelay(true).map_err(classify_connect_error)?;
        Ok(Connection::new(stream))
    };
    let timer = async {
        clock.sleep(timeout).await;
        Err(NotSentReason::ConnectTimeout)
    };
    or(connecting, timer).await
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function for map_err"
)]
fn classify_connect_error(error: io::Error) -> NotSentReason {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => NotSentReason::Refused,
        kind => NotSentReason::ConnectFailed(kind),
    }
}
