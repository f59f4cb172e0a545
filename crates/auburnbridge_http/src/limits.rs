//! Limits on the size of one message.

use auburnbridge_types::ByteSize;

use crate::MemoryBudget;

const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
const DEFAULT_MAX_HEADERS: usize = 96;

/// Upper bound of the configurable header limit: the parser's header table has a fixed size.
pub(crate) const MAX_HEADERS: usize = 128;

/// Limits on one message: the defaults, changed by the `with_…` methods.
#[derive(Clone, Debug)]
pub struct Limits {
    pub(crate) max_head_bytes: usize,
    pub(crate) max_headers: usize,
    pub(crate) max_body_bytes: u64,
    pub(crate) budget: Option<MemoryBudget>,
    pub(crate) accepts_unframed_responses: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
            max_headers: DEFAULT_MAX_HEADERS,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            budget: None,
            accepts_unframed_responses: false,
        }
    }
}

impl Limits {
    /// Limits the head, and separately the sum of chunk extensions and trailers (default 16 KiB).
    #[must_use]
    pub fn with_head_bytes(mut self, limit: ByteSize) -> Self {
        self.max_head_bytes = usize::try_from(limit.0).unwrap_or(usize::MAX);
        self
    }

    /// Limits the number of headers (default 96, at most 128).
    #[must_use]
    pub fn with_headers(mut self, limit: usize) -> Self {
        self.max_headers = limit.min(MAX_HEADERS);
        self
    }

    /// Limits the body (default 1 MiB).
    #[must_use]
    pub fn with_body_bytes(mut self, limit: ByteSize) -> Self {
        self.max_body_bytes = limit.0;
        self
    }

    /// Accepts responses whose body has no length and ends with the connection (default no).
    ///
    /// Such a body is complete only if the connection was closed and not reset, and a sender that
    /// fails may close it as well, so enable this only for targets that seal their responses.
    #[must_use]
    pub fn with_unframed_responses(mut self) -> Self {
        self.accepts_unframed_responses = true;
        self
    }

    /// Charges bodies to a budget that is shared with other messages.
    #[must_use]
    pub fn with_budget(mut self, budget: MemoryBudget) -> Self {
        self.budget = Some(budget);
        self
    }
}
