//! The gateway: forwards requests from callers to targets along published routes.
//!
//! Callers send no idempotency key, so at-most-once execution is guaranteed by the one gateway that
//! receives a request: it retries on another target only if the previous target certainly did not
//! run the request. The keepers are the replicated group that stores the configuration and the
//! targets. The gateway watches them for both, and reports its findings about targets to the other
//! gateways.

mod account_limits;
mod admission;
mod authentication;
mod bodies;
mod body_placement;
mod cell_reports;
mod departures;
mod exchange;
mod exit;
mod explain;
mod failure;
mod feed;
mod forward;
mod gateway;
mod neighbours;
mod retry_after;
mod run;
mod service_dispatcher;
mod service_table;
mod stop_times;
mod suspect_resends;
mod suspects;

pub use account_limits::{AccountLimitOptions, AccountLimits};
pub use bodies::{BodyBudgets, BodyInFlight, BodyOptions, TargetBodies, body_memory};
pub use cell_reports::{CellReports, Outgoing, Reported};
pub use explain::{
    EXPLAIN_CALLER, EXPLAIN_HOST, EXPLAIN_KEY, EXPLAIN_METHOD, EXPLAIN_PATH, EXPLAIN_TARGET,
    ExplainedRefusal, ExplainedService, ExplainedTarget, Explanation, OperatorService,
};
pub use feed::KeeperWatcher;
pub use gateway::{CallerService, Gateway, GatewayDependencies};
pub use neighbours::{GatewayReport, GatewayReporter, ReportKind};
pub use run::{GatewayError, GatewayOptions, RunningGateway};
pub use service_dispatcher::{Assignment, ServiceDispatcher};
pub use service_table::ServiceTable;
pub use stop_times::StopTimes;
pub use suspects::{CallerIdentity, request_digest};
