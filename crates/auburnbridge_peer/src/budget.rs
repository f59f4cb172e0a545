//! Memory for the calls that a server has received and not yet answered.
//!
//! The limits per message and per connection multiply with the number of clients, so a server bounds
//! the sum as well. A call that doesn't fit is refused before its body is read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use auburnbridge_types::ByteSize;

/// Bytes that are in use, out of a limit.
#[derive(Debug)]
pub(crate) struct Budget {
    used: AtomicU64,
    limit: ByteSize,
}

/// Part of a budget, which returns to it when this is dropped.
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

    /// Takes `size` from the budget, or nothing when that is more than what is left.
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
