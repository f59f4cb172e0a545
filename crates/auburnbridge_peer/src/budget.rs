//! Memory budget for the calls that a server has received and not yet handled.
//!
//! The limits per message and per connection multiply with the number of clients, so a server also
//! limits the total. A call over the budget is refused before its body is read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use auburnbridge_types::ByteSize;

/// Counter of reserved bytes with a limit.
#[derive(Debug)]
pub(crate) struct Budget {
    used: AtomicU64,
    limit: ByteSize,
}

/// Reserved part of a budget, released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<Budget>,
    size: ByteSize,
}

impl Budget {
    pub(crate) fn new(limit: ByteSize) -> Arc<Self> {
        Arc::new(Self {
            used: AtomicU64::new(0),
            limit,
        })
    }

    /// Reserves `size`; `None` if less than that is left.
    pub(crate) fn reserve(self: &Arc<Self>, size: ByteSize) -> Option<Reservation> {
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(size.0)
                    .filter(|total| *total <= self.limit.0)
            })
            .ok()?;
        Some(Reservation {
            budget: Arc::clone(self),
            size,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.size.0, Ordering::Relaxed);
    }
}
