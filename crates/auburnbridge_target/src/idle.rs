//! The idle connections to one target.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Waker};

use async_lock::Semaphore;
use async_std::io::Read;
use async_std::net::TcpStream;
use auburnbridge_http::Connection;
use auburnbridge_types::{Millis, Timestamp};
use parking_lot::Mutex;

/// The connections to one target.
///
/// The semaphore limits the concurrent exchanges. A connection is opened only when none is idle, so
/// the semaphore limits the connections as well.
pub(crate) struct TargetConnections {
    pub(crate) exchange_permits: Arc<Semaphore>,
    idle: Mutex<Vec<IdleConnection>>,
}

struct IdleConnection {
    connection: Connection<TcpStream>,
    idle_since: Timestamp,
}

impl TargetConnections {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            exchange_permits: Arc::new(Semaphore::new(limit)),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Takes the most recently used connection, if it is open and was used within `max_idle_time`.
    ///
    /// Closes unusable connections that it finds, and one that has been idle for too long: a new
    /// connection replaces it, and the number of connections must not grow.
    pub(crate) fn take_usable(
        &self,
        now: Timestamp,
        max_idle_time: Millis,
    ) -> Option<Connection<TcpStream>> {
        loop {
            let mut idle = self.idle.lock().pop()?;
            if now.since(idle.idle_since) >= max_idle_time {
                return None;
            }
            if is_usable(&mut idle.connection) {
                return Some(idle.connection);
            }
        }
    }

    pub(crate) fn put_back(&self, connection: Connection<TcpStream>, now: Timestamp) {
        self.idle.lock().push(IdleConnection {
            connection,
            idle_since: now,
        });
    }

    /// Closes the connections that have been idle for `timeout`.
    pub(crate) fn close_expired(&self, now: Timestamp, timeout: Millis) {
        self.idle
            .lock()
            .retain(|idle| now.since(idle.idle_since) < timeout);
    }

    pub(crate) fn close_idle(&self) {
        self.idle.lock().clear();
    }

    pub(crate) fn idle_count(&self) -> usize {
        self.idle.lock().len()
    }
}

/// Whether an idle connection is open and has no unread bytes, which would belong to no request.
fn is_usable(connection: &mut Connection<TcpStream>) -> bool {
    if !connection.leftover().is_empty() {
        return false;
    }
    let mut byte = [0];
    let mut cx = Context::from_waker(Waker::noop());
    Pin::new(connection.get_mut())
        .poll_read(&mut cx, &mut byte)
        .is_pending()
}
