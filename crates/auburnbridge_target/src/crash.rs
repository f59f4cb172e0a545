//! Detection of crashed targets after a broken connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::{future, task};

/// Delay before each check: a terminating process closes its sockets one after the other, and the
/// listening socket may be the last.
const CRASH_CHECK_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];

/// Timeout of one check; a VM that is gone doesn't answer a connection attempt at all.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether the target refuses connections, which distinguishes a crash from a broken connection.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    for delay in CRASH_CHECK_DELAYS {
        task::sleep(delay).await;
        let connect = future::timeout(CRASH_CHECK_TIMEOUT, TcpStream::connect(address));
        if let Ok(Err(error)) = connect.await
            && error.kind() == ErrorKind::ConnectionRefused
        {
            return true;
        }
    }
    false
}
