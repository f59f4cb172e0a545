//! Prometheus counters and latency histograms of a process.

use std::fmt::Write;

use auburnbridge_types::Millis;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 5.0,
];

/// Labels of a request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service.
    pub service: String,
    /// Whether the request may be executed more than once: `idempotent` or `once`.
    pub class: String,
    /// Result of the request.
    pub result: String,
}

/// Labels of one exchange with a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ExchangeLabels {
    /// The service.
    pub service: String,
    /// Finding about the target from the exchange.
    pub finding: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnreadLabels {
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SuspectLabels {
    event: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BodyLabels {
    direction: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabels {
    decision: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReportLabels {
    direction: &'static str,
    kind: &'static str,
}

/// The metrics of one process.
pub struct ProcessMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<ServiceLabels, Histogram>,
    exchanges: Family<ExchangeLabels, Counter>,
    exchange_seconds: Family<ServiceLabels, Histogram>,
    configuration_version: Gauge,
    control_calls: Family<CallLabels, Counter>,
    stated_departures: Family<ServiceLabels, Counter>,
    unread_requests: Family<UnreadLabels, Counter>,
    suspect_requests: Family<SuspectLabels, Counter>,
    body_bytes: Family<BodyLabels, Gauge>,
    account_requests: Family<DecisionLabels, Counter>,
    backlog_refusals: Family<ServiceLabels, Counter>,
    waiting_accounts: Family<ServiceLabels, Gauge>,
    report_datagrams: Family<ReportLabels, Counter>,
    report_bytes: Family<ReportLabels, Counter>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

fn register_suspect_requests(registry: &mut Registry) -> Family<SuspectLabels, Counter> {
    let events = Family::default();
    let help = "Events of requests that may crash targets";
    registry.register("suspect_requests", help, events.clone());
    events
}

impl Default for ProcessMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("auburnbridge");
        let requests = Family::default();
        let request_seconds = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let exchanges = Family::default();
        let exchange_seconds = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let configuration_version = Gauge::default();
        let control_calls = Family::default();
        let stated_departures = Family::default();
        let unread_requests = Family::default();
        let suspect_requests = register_suspect_requests(&mut registry);
        let body_bytes = Family::default();
        let account_requests = Family::default();
        let backlog_refusals = Family::default();
        let waiting_accounts = Family::default();
        let report_datagrams = Family::default();
        let report_bytes = Family::default();
        registry.register("requests", "Requests of callers", requests.clone());
        registry.register(
            "request_seconds",
            "Time from a request's arrival to its answer",
            request_seconds.clone(),
        );
        registry.register("exchanges", "Sends to targets", exchanges.clone());
        registry.register(
            "exchange_seconds",
            "Time of one exchange with a target",
            exchange_seconds.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            configuration_version.clone(),
        );
        registry.register(
            "control_calls",
            "Calls of the control interface",
            control_calls.clone(),
        );
        registry.register(
            "stated_departures",
            "Targets that stated in a response that they are leaving",
            stated_departures.clone(),
        );
        registry.register(
            "unread_requests",
            "Requests that were refused before they were read whole",
            unread_requests.clone(),
        );
        registry.register(
            "body_bytes",
            "Bytes of the bodies in memory",
            body_bytes.clone(),
        );
        registry.register(
            "account_requests",
            "Requests of client accounts with a limit",
            account_requests.clone(),
        );
        registry.register(
            "backlog_refusals",
            "Requests refused because of their account's own backlog",
            backlog_refusals.clone(),
        );
        registry.register(
            "waiting_accounts",
            "Client accounts with waiting requests",
            waiting_accounts.clone(),
        );
        registry.register(
            "report_datagrams",
            "Reports of gateways to each other",
            report_datagrams.clone(),
        );
        registry.register(
            "report_bytes",
            "Bytes of the reports of gateways to each other, without packet headers",
            report_bytes.clone(),
        );
        Self {
            registry,
            requests,
            request_seconds,
            exchanges,
            exchange_seconds,
            configuration_version,
            control_calls,
            stated_departures,
            unread_requests,
            suspect_requests,
            body_bytes,
            account_requests,
            backlog_refusals,
            waiting_accounts,
            report_datagrams,
            report_bytes,
        }
    }
}

impl ProcessMetrics {
    /// Records a finished request of a caller and the time that it took.
    pub fn record_request(&self, labels: &RequestLabels, time: Millis) {
        let service = ServiceLabels {
            service: labels.service.clone(),
        };
        self.requests.get_or_create(labels).inc();
        self.request_seconds
            .get_or_create(&service)
            .observe(seconds(time));
    }

    /// Records an exchange with a target and the time that it took.
    pub fn record_exchange(&self, labels: &ExchangeLabels, time: Millis) {
        let service = ServiceLabels {
            service: labels.service.clone(),
        };
        self.exchanges.get_or_create(labels).inc();
        self.exchange_seconds
            .get_or_create(&service)
            .observe(seconds(time));
    }

    /// Counts a call of the control interface by its kind and outcome.
    pub fn record_control_call(&self, call: &str, outcome: &str) {
        let labels = CallLabels {
            call: call.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.control_calls.get_or_create(&labels).inc();
    }

    /// Counts a target that stated in a response that it is leaving.
    pub fn record_stated_departure(&self, service: &str) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.stated_departures.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused before it was read whole.
    pub fn record_unread_request(&self, reason: &str) {
        let labels = UnreadLabels {
            reason: reason.to_owned(),
        };
        self.unread_requests.get_or_create(&labels).inc();
    }

    /// Counts an event of a request that may crash targets.
    pub fn record_suspect(&self, event: &str) {
        let labels = SuspectLabels {
            event: event.to_owned(),
        };
        self.suspect_requests.get_or_create(&labels).inc();
    }

    /// Sets the bytes of the bodies in memory, of callers' requests and of targets' responses.
    pub fn set_body_bytes(&self, requests: u64, responses: u64) {
        for (direction, bytes) in [("request", requests), ("response", responses)] {
            let labels = BodyLabels {
                direction: direction.to_owned(),
            };
            self.body_bytes
                .get_or_create(&labels)
                .set(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
    }

    /// Counts a decision about a request of a client account with a limit.
    pub fn record_account_request(&self, decision: &'static str) {
        let labels = DecisionLabels { decision };
        self.account_requests.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused because of its account's own backlog.
    pub fn record_backlog_refusal(&self, service: &str) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.backlog_refusals.get_or_create(&labels).inc();
    }

    /// Sets the number of client accounts with waiting requests.
    pub fn set_waiting_accounts(&self, service: &str, accounts: usize) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.waiting_accounts
            .get_or_create(&labels)
            .set(i64::try_from(accounts).unwrap_or(i64::MAX));
    }

    /// Counts a report to or from another gateway; `direction` is `sent` or `received`.
    pub fn record_report(&self, direction: &'static str, kind: &'static str, bytes: usize) {
        let labels = ReportLabels { direction, kind };
        self.report_datagrams.get_or_create(&labels).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.report_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Sets the version of the current configuration.
    pub fn set_configuration_version(&self, version: u64) {
        self.configuration_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            text.clear();
            // Writing to a string never fails.
            let _ = write!(text, "# the metrics can't be encoded: {error}");
        }
        text
    }
}

fn seconds(time: Millis) -> f64 {
    f64::from(u32::try_from(time.0).unwrap_or(u32::MAX)) / 1000.0
}
