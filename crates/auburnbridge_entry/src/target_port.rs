//! Border towards the targets.

use std::net::SocketAddr;

use auburnbridge_http::{Limits, Request};
use auburnbridge_target::{Exchange, Pool};
use auburnbridge_types::{BoxFuture, Timestamp};

/// Sends single requests to targets.
pub trait TargetPort: Send + Sync {
    /// Sends `req` to `address`; dropping the future cancels the exchange.
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        req: &'a Request,
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
        limits: &'a Limits,
        deadline: Timestamp,
    ) -> BoxFuture<'a, Exchange> {
        Box::pin(self.exchange(address, req, limits, deadline))
    }

    fn refuses_connections(&self, address: SocketAddr) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            async_std::net::TcpStream::connect(address)
                .await
                .is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
        })
    }
}
