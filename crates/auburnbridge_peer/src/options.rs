//! Limits and times of the transport.

use std::sync::Arc;

use auburnbridge_types::{ByteSize, Clock, Millis, RuntimeClock};

use crate::event::{NoObserver, Observer};

/// Limits and times of a transport and of a peer server.
#[derive(Clone)]
pub struct Options {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) observer: Arc<dyn Observer>,
    pub(crate) message_limit: ByteSize,
    pub(crate) concurrent_calls: u32,
    pub(crate) received_bytes: ByteSize,
    pub(crate) connection_limit: usize,
    pub(crate) idle_timeout: Millis,
    pub(crate) keep_alive: Millis,
    pub(crate) connect_timeout: Millis,
    pub(crate) first_backoff: Millis,
    pub(crate) last_backoff: Millis,
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
            received_bytes: ByteSize(64 << 20),
            connection_limit: 8_192,
            idle_timeout: Millis(3_000),
            // Two keep-alives may be lost before the idle timeout ends the connection.
            keep_alive: Millis(1_000),
            connect_timeout: Millis(1_000),
            first_backoff: Millis(50),
            last_backoff: Millis(1_000),
            queued_messages: 256,
            queued_bytes: ByteSize(4 << 20),
        }
    }
}

impl Options {
    /// Starts from the defaults.
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

            /// The options.
            pub fn build(self) -> Options {
                self.options
            }
        }
    };
}

setters! {
    /// Source of time for timeouts and backoff.
    clock: Arc<dyn Clock>,
    /// Receiver of events, such as for metrics.
    observer: Arc<dyn Observer>,
    /// Longest body of a call, reply or one-way message.
    message_limit: ByteSize,
    /// Most calls in flight on one connection.
    concurrent_calls: u32,
    /// Most bytes of calls that a server has received and not yet answered.
    received_bytes: ByteSize,
    /// Most connections that a server accepts.
    connection_limit: usize,
    /// Silence after which a connection counts as dead.
    idle_timeout: Millis,
    /// Interval between a client's keep-alive packets.
    keep_alive: Millis,
    /// Longest duration of an attempt to connect.
    connect_timeout: Millis,
    /// Wait after the first failed attempt to connect; it doubles with each further one.
    first_backoff: Millis,
    /// Longest wait between two attempts to connect.
    last_backoff: Millis,
    /// Most one-way messages that wait for one peer.
    queued_messages: usize,
    /// Most bytes of one-way messages that wait for one peer.
    queued_bytes: ByteSize,
}
