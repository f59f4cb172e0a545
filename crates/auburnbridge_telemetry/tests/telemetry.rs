//! Tests of log lines, the limits of the log, and metrics.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use auburnbridge_telemetry::{
    ExchangeLabels, JsonLogger, LogOptions, ProcessMetrics, RequestLabels, encode_line,
};
use auburnbridge_types::Millis;
use log::kv::ToValue;
use log::{Level, LevelFilter, Log, Record};

fn log_line(logger: &JsonLogger, level: Level, message: &str) {
    logger.log(
        &Record::builder()
            .level(level)
            .args(format_args!("{message}"))
            .build(),
    );
}

/// Guards against a line that isn't a single JSON object, and against numbers encoded as strings.
#[test]
fn line_is_one_json_object_with_typed_fields() {
    let fields = [
        ("status", 503_u16.to_value()),
        ("suspicion", 1.5_f64.to_value()),
        ("not_run", true.to_value()),
        ("route", "a \"b\"\nc".to_value()),
    ];
    let record = Record::builder()
        .level(Level::Warn)
        .target("auburnbridge_gateway::forward")
        .args(format_args!("request\nrefused"))
        .key_values(&fields)
        .build();
    let line = encode_line(&record, UNIX_EPOCH + Duration::from_millis(1_700));
    assert!(!line.contains('\n'), "{line}");
    let json: serde_json::Value = serde_json::from_str(&line).unwrap();
    let expected = serde_json::json!({
        "ts": 1_700, "level": "warn", "module": "auburnbridge_gateway::forward",
        "message": "request\nrefused", "status": 503, "suspicion": 1.5, "not_run": true,
        "route": "a \"b\"\nc",
    });
    assert_eq!(json, expected);
}

/// Guards against a logger that blocks when the queue is full, and against dropped lines that are
/// not counted.
#[test]
fn full_queue_drops_and_counts() {
    let (logger, lines) = JsonLogger::new(LogOptions {
        queued_lines: 2,
        ..LogOptions::default()
    });
    for message in ["a", "b", "c", "d", "e"] {
        log_line(&logger, Level::Info, message);
    }
    assert_eq!(lines.try_iter().count(), 2);
    assert_eq!(logger.dropped(), 3);
}

/// Guards against a flood of lines that uses up the CPU, and against warnings that are dropped with
/// it.
#[test]
fn rate_is_bounded_except_for_warnings() {
    let (logger, lines) = JsonLogger::new(LogOptions {
        lines_per_second: 5,
        ..LogOptions::default()
    });
    for _ in 0..1_000 {
        log_line(&logger, Level::Info, "decision");
    }
    log_line(&logger, Level::Warn, "warning");
    let lines: Vec<String> = lines.try_iter().collect();
    // One or two new seconds may start during the loop.
    assert!((6..=16).contains(&lines.len()), "{}", lines.len());
    assert!(lines.last().unwrap().contains("warning"));
    assert_eq!(logger.dropped(), 1_001 - lines.len() as u64);
}

/// Guards against writing or counting lines below the configured level.
#[test]
fn lines_below_the_level_are_omitted() {
    let (logger, lines) = JsonLogger::new(LogOptions {
        level: LevelFilter::Info,
        ..LogOptions::default()
    });
    log_line(&logger, Level::Debug, "detail");
    log_line(&logger, Level::Info, "decision");
    assert_eq!(lines.try_iter().count(), 1);
    assert_eq!(logger.dropped(), 0);
}

/// Guards against metrics that don't count recorded events.
#[test]
fn metrics_count_what_is_recorded() {
    let metrics = Arc::new(ProcessMetrics::default());
    let request = RequestLabels {
        service: "stock".to_owned(),
        class: "once".to_owned(),
        result: "answered".to_owned(),
    };
    metrics.record_request(&request, Millis(150));
    metrics.record_request(&request, Millis(5_001));
    let exchange = ExchangeLabels {
        service: "stock".to_owned(),
        finding: "broken".to_owned(),
    };
    metrics.record_exchange(&exchange, Millis(2));
    metrics.record_control_call("publish", "200");
    metrics.set_configuration_version(12);
    let text = metrics.encode();
    for line in [
        r#"auburnbridge_requests_total{service="stock",class="once",result="answered"} 2"#,
        r#"auburnbridge_request_seconds_bucket{le="0.2",service="stock"} 1"#,
        r#"auburnbridge_request_seconds_bucket{le="+Inf",service="stock"} 2"#,
        r#"auburnbridge_exchanges_total{service="stock",finding="broken"} 1"#,
        r#"auburnbridge_control_calls_total{call="publish",outcome="200"} 1"#,
        "auburnbridge_configuration_version 12",
        "# EOF",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}\n{text}");
    }
}

/// Guards against an operator who can't see why uploads are refused, or what memory they use.
#[test]
fn refusals_before_the_body_and_its_memory_are_exported() {
    let metrics = ProcessMetrics::default();
    for reason in ["request-timeout", "no-memory", "no-memory"] {
        metrics.record_unread_request(reason);
    }
    metrics.set_body_bytes(61_440, 0);
    let text = metrics.encode();
    for line in [
        "auburnbridge_unread_requests_total{reason=\"no-memory\"} 2",
        "auburnbridge_unread_requests_total{reason=\"request-timeout\"} 1",
        "auburnbridge_body_bytes{direction=\"request\"} 61440",
        "auburnbridge_body_bytes{direction=\"response\"} 0",
    ] {
        assert!(
            text.lines().any(|exported| exported == line),
            "{line}\n{text}"
        );
    }
}
