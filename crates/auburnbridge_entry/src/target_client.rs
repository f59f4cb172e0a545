//! Interface to the targets.

use std::net::SocketAddr;

use auburnbridge_http::{Limits, Request};
use auburnbridge_policy::RequestClass;
use auburnbridge_target::{Exchange, Pool};
use auburnbridge_types::{BoxFuture, Timestamp};

/// Exchanges single requests with targets.
pub trait TargetClient: Send + Sync {
    /// Sends `req` to `address`; dropping the future cancels the exchange.
    ///
    /// A request of the class `Once` uses only recently used connections: if a target closes an
    /// idle connection while the request is sent, the outcome is unknown.
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        req: &'a Request,
        class: RequestClass,
        limits: &'a Limits,
        deadline: Timestamp,
    ) -> BoxFuture<'a, Exchange>;

    /// Whether the target refuses connections, which distinguishes a crash from a lost connection.
    fn refuses_connections(&self, address: SocketAddr) -> BoxFuture<'_, bool>;
}

impl TargetClient for Pool {
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
        Box::pin(auburnbridge_target::refuses_connections(address))
    }
}
