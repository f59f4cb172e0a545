//! What a process tells about itself: JSON lines on standard output, and metrics in the Prometheus
//! text format.
//!
//! Neither ever waits: a log line for which the queue has no room is dropped and counted, and the
//! metrics are atomic counters that are read when somebody asks.

mod json_log;
mod line;
mod metrics;
mod service;

pub use json_log::{JsonLogger, LogOptions, init};
pub use line::encode_line;
pub use metrics::{ExchangeLabels, ProcessMetrics, RequestLabels};
pub use service::MetricsService;
