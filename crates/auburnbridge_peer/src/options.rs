//! Limits and timeouts of the transport.

use std::sync::Arc;

use auburnbridge_types::{ByteSize, Clock, Millis, RuntimeClock};

use crate::event::{NoObserver, Observer};

/// Limits and timeouts of a transport or a peer server.
#[derive(Clone)]
pub struct Options {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) observer: Arc<dyn Observer>,
    pub(crate) message_limit: ByteSize,
    pub(crate) concurrent_calls: u32,
    pub(crate) call_memory_limit: ByteSize,
    pub(crate) connection_limit: usize,
    pub(crate) idle_timeout: Millis,
    pub(crate) keep_alive_interval: Millis,
    pub(crate) connect_timeout: Millis,
    pub(crate) initial_backoff: Millis,
    pub(crate) max_backoff: Millis,
    pub(crate) queued_messages: usize,
    pub(crate) queued_bytes: ByteSize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            clock: Arc::new(RuntimeClock),
            observer: Arc::new(NoObserver),
            message_limit: ByteSize(4 << 20),
            concurrent_calls: 256,
            call_memory_limit: ByteSize(64 << 20),
            connection_limit: 8_192,
            idle_timeout: Millis(3_000),
            // Two keep-alive packets may be lost before the idle timeout closes the connection.
            keep_alive_interval: Millis(1_000),
            connect_timeout: Millis(1_000),
            initial_backoff: Millis(50),
            max_backoff: Millis(1_000),
            queued_messages: 256,
            queued_bytes: ByteSize(4 << 20),
        }
    }
}

impl Options {
    /// Creates a builder with the default options.
    pub fn builder() -> OptionsBuilder {
        OptionsBuilder::default()
    }
}

/// Builder of [`Options`].
#[derive(Clone, Default)]
pub struct OptionsBuilder {
    options: Options,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty,)*) => {
        impl OptionsBuilder {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $name(mut self, $name: $type) -> Self {
                    self.options.$name = $name;
                    self
                }
            )*

            /// Returns the options.
            pub fn build(self) -> Options {
                self.options
            }
        }
    };
}

setters! {
    /// Clock for timeouts, backoff and the validity of certificates.
    clock: Arc<dyn Clock>,
    /// Observer of events, for example to count them as metrics.
    observer: Arc<dyn Observer>,
    /// Maximum size of the body of a call, reply or one-way message.
    message_limit: ByteSize,
    /// Maximum number of calls in flight on one connection.
    concurrent_calls: u32,
    /// Maximum total size of the calls that a server has received and not yet handled.
    call_memory_limit: ByteSize,
    /// Maximum number of connections to a server.
    connection_limit: usize,
    /// Time without a packet after which a connection is closed.
    idle_timeout: Millis,
    /// Interval between a client's keep-alive packets.
    keep_alive_interval: Millis,
    /// Timeout of an attempt to connect.
    connect_timeout: Millis,
    /// Backoff after the first failed attempt to connect; it doubles after each further failure.
    initial_backoff: Millis,
    /// Maximum backoff between two attempts to connect.
    max_backoff: Millis,
    /// Maximum number of one-way messages queued for one peer.
    queued_messages: usize,
    /// Maximum total size of the one-way messages queued for one peer.
    queued_bytes: ByteSize,
}
