//! Memory for the bodies of requests and responses, and the load of bodies on each target.
//!
//! Requests and responses have separate budgets: uploads must not prevent a response from being
//! read, whose request has run, and unread responses must not prevent requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use auburnbridge_http::MemoryBudget;
use auburnbridge_types::{ByteRate, ByteSize};
use event_listener::{Event, EventListener};
use parking_lot::Mutex;

/// Bodies up to this size are not counted on their targets and never wait.
const MAX_UNCOUNTED_BODY: ByteSize = ByteSize(16 * 1024);
/// Parts into which the memory for requests is divided; one connection holds at most one of them.
const CONNECTIONS_PER_BUDGET: u64 = 16;
/// Part of the VM's memory that bodies may use.
const BODY_PART_OF_MEMORY: u64 = 4;
const DEFAULT_BODY_MEMORY: ByteSize = ByteSize(128 << 20);

/// Settings for bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyOptions {
    /// Rate below which the body of a request, or a response that its caller reads, is given up.
    pub min_rate: ByteRate,
    /// Limit on the bytes of large bodies that this gateway has in flight on one target.
    pub in_flight_per_target: ByteSize,
}

impl Default for BodyOptions {
    fn default() -> Self {
        Self {
            min_rate: ByteRate(8 * 1024),
            in_flight_per_target: ByteSize(1024 * 1024),
        }
    }
}

/// Memory for all bodies: as configured, or else a quarter of the VM's memory.
///
/// The rest is for the process itself, for buffers of connections, and for bodies whose buffer grows,
/// which takes up to twice their size for a moment.
pub fn body_memory(configured: Option<ByteSize>, vm_memory: Option<ByteSize>) -> ByteSize {
    configured
        .or(vm_memory.map(|memory| ByteSize(memory.0 / BODY_PART_OF_MEMORY)))
        .unwrap_or(DEFAULT_BODY_MEMORY)
}

/// Budgets for the bodies of requests and of responses, which get half of the memory each.
#[derive(Clone, Debug)]
pub struct BodyBudgets {
    /// Bodies of callers' requests.
    pub requests: MemoryBudget,
    /// Bodies of targets' responses.
    pub responses: MemoryBudget,
}

impl BodyBudgets {
    /// Divides the memory of `total`.
    pub fn new(total: &MemoryBudget) -> Self {
        let half = ByteSize(total.limit().0 / 2);
        Self {
            requests: MemoryBudget::new(half),
            responses: MemoryBudget::new(half),
        }
    }

    /// Bytes in use.
    pub fn used(&self) -> ByteSize {
        ByteSize(self.requests.used().0 + self.responses.used().0)
    }

    /// Limit on the bodies that one connection of a caller holds.
    pub fn connection_limit(&self) -> ByteSize {
        ByteSize(self.requests.limit().0 / CONNECTIONS_PER_BUDGET)
    }
}

/// Bytes of large bodies that this gateway has in flight on each target.
///
/// A target holds the body of a request until it has responded.
#[derive(Debug)]
pub struct TargetBodies {
    limit: ByteSize,
    in_flight: Mutex<HashMap<SocketAddr, u64>>,
    released: Event,
}

/// A body in flight on a target until it is dropped.
#[derive(Debug)]
pub struct BodyInFlight {
    bodies: Arc<TargetBodies>,
    target: SocketAddr,
    bytes: u64,
}

impl TargetBodies {
    /// Creates the counts of targets that hold nothing.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            limit,
            in_flight: Mutex::default(),
            released: Event::new(),
        }
    }

    /// Whether a body of this size is counted.
    pub fn is_counted(bytes: ByteSize) -> bool {
        bytes > MAX_UNCOUNTED_BODY
    }

    /// Counts a body on a target; `None` if it would exceed the limit. A target without a large body
    /// takes one of any size.
    pub fn begin(self: &Arc<Self>, target: SocketAddr, bytes: ByteSize) -> Option<BodyInFlight> {
        let mut in_flight = self.in_flight.lock();
        let count = in_flight.entry(target).or_default();
        if *count > 0 && count.saturating_add(bytes.0) > self.limit.0 {
            return None;
        }
        *count += bytes.0;
        Some(BodyInFlight {
            bodies: Arc::clone(self),
            target,
            bytes: bytes.0,
        })
    }

    /// Listens for the end of a body in flight.
    pub fn listen(&self) -> EventListener {
        self.released.listen()
    }
}

impl Drop for BodyInFlight {
    fn drop(&mut self) {
        {
            let mut in_flight = self.bodies.in_flight.lock();
            if let Some(count) = in_flight.get_mut(&self.target) {
                *count -= self.bytes;
                if *count == 0 {
                    in_flight.remove(&self.target);
                }
            }
        }
        self.bodies.released.notify(usize::MAX);
    }
}
