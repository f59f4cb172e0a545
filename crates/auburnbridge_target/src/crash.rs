//! Telling the crash of a target from a broken connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::{future, task};

/// Waits before each check whether a target refuses connections: a process that ends closes its
/// sockets one after the other, and the listener may be the last.
const CRASH_CHECKS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];

/// Time for one check; a VM that is gone answers a connection attempt with nothing at all.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether the target refuses connections, which tells a crash from a broken connection.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    for wait in CRASH_CHECKS {
        task::sleep(wait).await;
        let connect = future::timeout(CRASH_CHECK_TIMEOUT, TcpStream::connect(address));
        if let Ok(Err(error)) = connect.await
            && error.kind() == ErrorKind::ConnectionRefused
        {
            return true;
        }
    }
    false
}
