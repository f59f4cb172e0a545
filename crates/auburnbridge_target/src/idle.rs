//! Idle connections of one target.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Waker};

use async_lock::Semaphore;
use async_std::io::Read;
use async_std::net::TcpStream;
use auburnbridge_http::Connection;
use auburnbridge_types::{Millis, Timestamp};
use parking_lot::Mutex;

/// The connections of one target.
///
/// The semaphore bounds the exchanges. A new connection is opened only when none is idle, so it
/// bounds the connections as well.
pub(crate) struct TargetConnections {
    pub(crate) exchanges: Arc<Semaphore>,
    idle: Mutex<Vec<IdleConnection>>,
}

struct IdleConnection {
    connection: Connection<TcpStream>,
    since: Timestamp,
}

impl TargetConnections {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            exchanges: Arc::new(Semaphore::new(limit)),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Takes the connection that was used last, if it is open and was used within `freshness`.
    ///
    /// Closes connections found dead, and one that is not fresh: a new one takes its place, and
    /// the number of connections must not grow.
    pub(crate) fn take_live(
        &self,
        now: Timestamp,
        freshness: Millis,
    ) -> Option<Connection<TcpStream>> {
        loop {
            let mut idle = self.idle.lock().pop()?;
            if now.since(idle.since) >= freshness {
                return None;
            }
            if is_live(&mut idle.connection) {
                return Some(idle.connection);
            }
        }
    }

    pub(crate) fn put_back(&self, connection: Connection<TcpStream>, now: Timestamp) {
        self.idle.lock().push(IdleConnection {
            connection,
            since: now,
        });
    }

    /// Closes the connections that have been idle for `timeout`.
    pub(crate) fn close_expired(&self, now: Timestamp, timeout: Millis) {
        self.idle
            .lock()
            .retain(|idle| now.since(idle.since) < timeout);
    }

    pub(crate) fn close_idle(&self) {
        self.idle.lock().clear();
    }

    pub(crate) fn idle_count(&self) -> usize {
        self.idle.lock().len()
    }
}

/// Whether an idle connection is open and silent. Pending bytes belong to no request of ours.
fn is_live(connection: &mut Connection<TcpStream>) -> bool {
    if !connection.leftover().is_empty() {
        return false;
    }
    let mut byte = [0];
    let mut cx = Context::from_waker(Waker::noop());
    Pin::new(connection.get_mut())
        .poll_read(&mut cx, &mut byte)
        .is_pending()
}
