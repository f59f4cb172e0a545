//! Border towards the targets.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::{future, task};
use auburnbridge_http::{Limits, Request};
use auburnbridge_policy::RequestClass;
use auburnbridge_target::{Exchange, Pool};
use auburnbridge_types::{BoxFuture, Timestamp};

/// Waits before each check whether a target refuses connections: a process that ends closes its
/// sockets one after the other, and the listener may be the last.
const CRASH_CHECKS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];

/// Time for one check; a VM that is gone answers a connection attempt with nothing at all.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends single requests to targets.
pub trait TargetPort: Send + Sync {
    /// Sends `req` to `address`; dropping the future cancels the exchange.
    ///
    /// A request of the class `Once` uses only connections that were used a short time ago, since a
    /// target that closes an idle one at the same moment leaves the outcome unknown.
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        req: &'a Request,
        class: RequestClass,
        limits: &'a Limits,
        deadline: Timestamp,
    ) -> BoxFuture<'a, Exchange>;

    /// Whether the target refuses connections, which tells a crash from a broken connection.
    fn refuses_connections(&self, address: SocketAddr) -> BoxFuture<'_, bool>;
}

impl TargetPort for Pool {
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        req: &'a Request,
        class: RequestClass,
        limits: &'a Limits,
        deadline: Timestamp,
    ) -> BoxFuture<'a, Exchange> {
        match class {
            RequestClass::Idempotent => Box::pin(self.exchange(address, req, limits, deadline)),
            RequestClass::Once => Box::pin(self.exchange_fresh(address, req, limits, deadline)),
        }
    }

    fn refuses_connections(&self, address: SocketAddr) -> BoxFuture<'_, bool> {
        Box::pin(async move {
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
        })
    }
}
