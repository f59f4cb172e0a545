//! Tests of the names and the format of metrics, on which dashboards rely.

use auburnbridge_metrics::{Counter, Metrics, Timer};
use auburnbridge_types::Millis;
use cadence::SpyMetricSink;

/// Guards against a change of a prefix, name or tag.
#[test]
fn metrics_have_a_prefix_a_name_and_tags() {
    let (rx, sink) = SpyMetricSink::new();
    let metrics = Metrics::with_sink(sink);
    metrics.count(Counter::RequestRefused, &[("kind", "no-target")]);
    metrics.time(Timer::ExchangeTime, Millis(7), &[("service", "stock")]);
    let sent: Vec<String> = rx
        .try_iter()
        .map(|bytes| String::from_utf8(bytes).unwrap())
        .collect();
    assert_eq!(
        sent,
        [
            "auburnbridge.request_refused:1|c|#kind:no-target",
            "auburnbridge.exchange_time:7|ms|#service:stock",
        ]
    );
}
