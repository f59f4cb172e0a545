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
    /// A request of the class `Once` reuses a pooled connection only if it has been idle for less
    /// than a limit (1 s by default), and otherwise opens a new one. A target may close a
    /// connection that has been idle for longer while the request is sent, and the outcome would be
    /// unknown.
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
            RequestClass::Once => Box::pin(self.exchange_on_recent(address, req, limits, deadline)),
        }
    }

    fn refuses_connections(&self, address: SocketAddr) -> BoxFuture<'_, bool> {
        Box::pin(auburnbridge_target::refuses_connections(address))
    }
}
