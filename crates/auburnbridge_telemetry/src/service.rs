//! Serves the metrics over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use auburnbridge_caller::{Disconnect, Service};
use auburnbridge_http::{Request, Response};
use auburnbridge_types::BoxFuture;

use crate::ProcessMetrics;

/// Path of the metrics.
const PATH: &str = "/metrics";

/// HTTP service that answers requests for `/metrics` and gives 404 for other paths.
pub struct MetricsService(pub Arc<ProcessMetrics>);

impl Service for MetricsService {
    fn respond(
        &self,
        req: Request,
        _caller: SocketAddr,
        _disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        let mut response = Response::new(if req.path == PATH { 200 } else { 404 });
        if req.path == PATH {
            response.headers.append(
                "Content-Type",
                "application/openmetrics-text; version=1.0.0; charset=utf-8",
            );
            response.body = self.0.encode().into_bytes().into();
        }
        Box::pin(std::future::ready(response))
    }
}
