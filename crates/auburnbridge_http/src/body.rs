//! In-memory message bodies and the budget that limits their total size.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use auburnbridge_types::ByteSize;

use crate::FramingError;

/// Factor by which the buffer of a body with a known length grows.
const BUFFER_GROWTH: usize = 4;

/// A limit on the total bytes of the bodies charged to it; clones share one counter.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    limit: u64,
    used: AtomicU64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            shared: Arc::new(BudgetState {
                limit: limit.0,
                used: AtomicU64::new(0),
            }),
        }
    }

    /// The bytes currently charged to the budget.
    pub fn used(&self) -> ByteSize {
        ByteSize(self.shared.used.load(Ordering::Relaxed))
    }

    /// The largest number of bytes that may be charged to the budget.
    pub fn limit(&self) -> ByteSize {
        ByteSize(self.shared.limit)
    }

    /// Whether a further body of this size could be charged to the budget now.
    pub fn has_room(&self, bytes: ByteSize) -> bool {
        self.used()
            .0
            .checked_add(bytes.0)
            .is_some_and(|total| total <= self.shared.limit)
    }

    fn reserve(&self, bytes: u64) -> Result<(), FramingError> {
        self.shared
            .used
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(bytes)
                    .filter(|total| *total <= self.shared.limit)
            })
            .map(|_| ())
            .map_err(|_| FramingError::MemoryExhausted)
    }
}

/// Bytes reserved from a budget, released on drop.
struct Reservation {
    budget: MemoryBudget,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .shared
            .used
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The whole body of a message; clones share the bytes and their reservation in the budget.
#[derive(Clone, Default)]
pub struct Body(Option<Arc<BodyBytes>>);

struct BodyBytes {
    bytes: Vec<u8>,
    _reservation: Option<Reservation>,
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::from_parts(bytes, None)
    }
}

impl Body {
    fn from_parts(bytes: Vec<u8>, reservation: Option<Reservation>) -> Self {
        if bytes.is_empty() {
            return Self(None);
        }
        Self(Some(Arc::new(BodyBytes {
            bytes,
            _reservation: reservation,
        })))
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        self.0.as_ref().map_or(&[], |body| &body.bytes)
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        **self == **other
    }
}

impl Eq for Body {}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body(\"{}\")", self.escape_ascii())
    }
}

/// A body that is being read, charged to the budget as its bytes arrive.
///
/// Charging the whole `Content-Length` up front would let idle senders exhaust the budget.
pub(crate) struct BodyBuilder {
    bytes: Vec<u8>,
    /// `Content-Length` of the body, up to which the buffer grows at most.
    announced_length: Option<usize>,
    reservation: Option<Reservation>,
}

impl BodyBuilder {
    pub(crate) fn new(budget: Option<&MemoryBudget>, announced_length: Option<u64>) -> Self {
        Self {
            bytes: Vec::new(),
            announced_length: announced_length.and_then(|length| usize::try_from(length).ok()),
            reservation: budget.map(|budget| Reservation {
                budget: budget.clone(),
                bytes: 0,
            }),
        }
    }

    pub(crate) fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    pub(crate) fn append(&mut self, bytes: &[u8]) -> Result<(), FramingError> {
        self.charge(bytes.len())?;
        self.grow(bytes.len());
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Appends `count` zero bytes and returns them for a read to overwrite.
    pub(crate) fn extend_zeroed(&mut self, count: usize) -> Result<&mut [u8], FramingError> {
        self.charge(count)?;
        self.grow(count);
        let start = self.bytes.len();
        self.bytes.resize(start + count, 0);
        Ok(&mut self.bytes[start..])
    }

    pub(crate) fn finish(mut self) -> Body {
        // A chunked body may leave up to half of its buffer unused.
        self.bytes.shrink_to_fit();
        Body::from_parts(self.bytes, self.reservation)
    }

    /// Enlarges a full buffer to several times its size, but not beyond the announced length. Memory
    /// that isn't written yet takes none of the machine's.
    fn grow(&mut self, count: usize) {
        let length = self.bytes.len();
        if let Some(announced) = self.announced_length
            && self.bytes.capacity() < length + count
        {
            let enlarged = length.saturating_mul(BUFFER_GROWTH).min(announced);
            self.bytes
                .reserve_exact(enlarged.max(length + count) - length);
        }
    }

    fn charge(&mut self, count: usize) -> Result<(), FramingError> {
        if let Some(reservation) = &mut self.reservation {
            reservation.budget.reserve(count as u64)?;
            reservation.bytes += count as u64;
        }
        Ok(())
    }
}
