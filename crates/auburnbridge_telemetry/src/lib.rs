//! Logs and metrics of a process: JSON lines on standard output, and metrics in the Prometheus text
//! format.
//!
//! Neither blocks the caller: a log line that finds the queue full is dropped and counted, and
//! metrics are atomic counters that are read on request.

mod json_log;
mod line;
mod metrics;
mod service;

pub use json_log::{JsonLogger, LogOptions, init};
pub use line::encode_line;
pub use metrics::{ExchangeLabels, ProcessMetrics, RequestLabels};
pub use service::MetricsService;
