//! Explains where a request would go now and why, without sending it.
//!
//! The checks are those that a request passes on arrival, in the same order, and the choice of a target
//! is that of the dispatcher. No state changes: no request is counted, no budget is used, and a traffic
//! split doesn't move on.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use auburnbridge_caller::{Disconnect, Service};
use auburnbridge_http::{Request, Response};
use auburnbridge_policy::balance::{AccountKey, ForecastOutcome, PlacementRequest, TargetForecast};
use auburnbridge_policy::poison::Verdict;
use auburnbridge_routing::{ClientAccount, PublishedRoute, RouteSet};
use auburnbridge_telemetry::MetricsService;
use auburnbridge_types::{BoxFuture, Millis};
use serde::{Deserialize, Serialize};

use crate::authentication::{authenticate, priority};
use crate::failure::Failure;
use crate::gateway::{Gateway, refusal_retry_after};
use crate::suspects::{CallerIdentity, request_digest};

/// Path of the explanation on the address of the metrics.
pub const EXPLAIN_PATH: &str = "/explain";
/// Header with the `Host` of the request to explain.
pub const EXPLAIN_HOST: &str = "Auburnbridge-Explain-Host";
/// Header with the method of the request to explain.
pub const EXPLAIN_METHOD: &str = "Auburnbridge-Explain-Method";
/// Header with the path of the request to explain.
pub const EXPLAIN_TARGET: &str = "Auburnbridge-Explain-Path";
/// Header with the API key of the request to explain; no reply contains it.
pub const EXPLAIN_KEY: &str = "Auburnbridge-Explain-Key";

/// Header with the IP address of the caller, which identifies one without a client account.
pub const EXPLAIN_CALLER: &str = "Auburnbridge-Explain-Caller";

/// Where a request would go.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Name of the route.
    pub route: Option<String>,
    /// Whether the route is `idempotent` or `once`.
    pub class: Option<String>,
    /// Client account that holds the key.
    pub account: Option<String>,
    /// Priority of the request; 0 is the highest.
    pub priority: Option<u32>,
    /// The answer if the request would be refused before a service is chosen.
    pub refusal: Option<ExplainedRefusal>,
    /// The services that the route may choose.
    pub services: Vec<ExplainedService>,
}

/// An answer that the gateway gives itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedRefusal {
    /// Reason, as in the log.
    pub reason: String,
    /// Status of the answer.
    pub status: u16,
    /// `Retry-After`, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// What would happen to the request at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedService {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests that go there.
    pub share: f64,
    /// Whether the request would start at once, wait or be refused.
    pub outcome: String,
    /// Longest wait, or `Retry-After` of the refusal, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The targets, the most likely ones first.
    pub targets: Vec<ExplainedTarget>,
}

/// A target and the reason for its place in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedTarget {
    /// Id of the target.
    pub target: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Probability that the request would start there.
    pub likelihood: f64,
    /// Preference for the target.
    pub tier: String,
    /// Requests in flight on it from all gateways, as far as they are known.
    pub in_flight: u32,
    /// Requests that it is sent at a time.
    pub capacity: u32,
    /// Evidence against it, in nats.
    pub suspicion: f64,
    /// Time since it last proved that it works, in milliseconds.
    pub proof_age_ms: u64,
    /// Time for which it asked to be left alone, in milliseconds.
    pub pause_left_ms: u64,
}

impl Gateway {
    /// Explains where `request` of `caller` would go now. Without a caller, it isn't checked whether the
    /// request crashes targets.
    pub fn explain(&self, request: &Request, caller: Option<IpAddr>) -> Explanation {
        let mut explanation = Explanation::default();
        let explained = self.explain_into(request, caller, &mut explanation);
        if let Err((failure, retry_after)) = explained {
            explanation.refusal = Some(ExplainedRefusal {
                reason: failure.to_string(),
                status: failure.status(),
                retry_after_ms: retry_after.map(|wait| wait.0),
            });
        }
        explanation
    }

    /// Makes the checks of a request in their order, and notes what they find.
    fn explain_into(
        &self,
        request: &Request,
        caller: Option<IpAddr>,
        explanation: &mut Explanation,
    ) -> Result<(), (Failure, Option<Millis>)> {
        explanation.version = self.routes().map(|routes| routes.version().0);
        let (routes, route) = self
            .find_route(request)
            .map_err(|failure| (failure, refusal_retry_after(failure)))?;
        explanation.route = Some(route.name.clone());
        explanation.class = Some(route.class.to_string());
        let account = authenticate(request, self.headers, &routes, &route)
            .map_err(|_| (Failure::UnknownKey, None))?;
        explanation.account = account.as_ref().map(|account| account.id.to_string());
        explanation.priority = Some(priority(&route, account.as_deref()).0);
        let verdict = caller.map(|address| {
            let caller = CallerIdentity::new(account.as_deref(), address);
            self.verdict(&request_digest(request, &caller))
        });
        if let Some(Verdict::Poisoned(left)) = verdict {
            return Err((Failure::Poisoned, Some(left)));
        }
        explanation.services = self.explain_services(&routes, &route, account.as_deref());
        Ok(())
    }

    fn explain_services(
        &self,
        routes: &RouteSet,
        route: &PublishedRoute,
        account: Option<&ClientAccount>,
    ) -> Vec<ExplainedService> {
        let weights = route.destinations.iter().map(|part| part.weight.0);
        let total: f64 = weights.map(f64::from).sum();
        let parts = route.destinations.iter().filter(|part| part.weight.0 > 0);
        parts
            .filter(|part| routes.service(&part.service).is_some())
            .filter_map(|part| {
                let dispatcher = self.services.get(&part.service)?;
                let now = self.clock.now();
                let request = PlacementRequest {
                    class: route.class,
                    priority: priority(route, account).0,
                    account: account.map(|account| AccountKey::of(&account.id)),
                    deadline: now.after(route.timeout),
                    objective: now.after(route.latency_objective),
                    tried: &[],
                    is_last_send: route.max_attempts <= 1,
                };
                let forecast = dispatcher.forecast(&request);
                let (outcome, wait) = match forecast.outcome {
                    ForecastOutcome::Start => ("start", None),
                    ForecastOutcome::Wait(wait) => ("wait", Some(wait.0)),
                    ForecastOutcome::Refuse(wait) => ("refuse", Some(wait.0)),
                };
                Some(ExplainedService {
                    service: part.service.to_string(),
                    share: f64::from(part.weight.0) / total,
                    outcome: outcome.to_owned(),
                    wait_ms: wait,
                    targets: forecast
                        .targets
                        .into_iter()
                        .map(ExplainedTarget::from)
                        .collect(),
                })
            })
            .collect()
    }
}

impl From<TargetForecast> for ExplainedTarget {
    fn from(forecast: TargetForecast) -> Self {
        Self {
            target: forecast.target.to_string(),
            address: forecast.address,
            data_centre: forecast.data_centre.to_string(),
            likelihood: forecast.likelihood,
            tier: forecast.tier.to_owned(),
            in_flight: forecast.in_flight,
            capacity: forecast.capacity,
            suspicion: forecast.suspicion,
            proof_age_ms: forecast.proof_age.0,
            pause_left_ms: forecast.pause_left.0,
        }
    }
}

/// Serves metrics and explanations to operators.
pub struct OperatorService {
    /// The gateway that is explained.
    pub gateway: Arc<Gateway>,
    /// Serves the other paths.
    pub metrics: MetricsService,
}

impl Service for OperatorService {
    fn respond(
        &self,
        req: Request,
        caller: SocketAddr,
        disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        if req.path != EXPLAIN_PATH {
            return self.metrics.respond(req, caller, disconnect);
        }
        let explained = explained_request(&req, self.gateway.headers.api_key);
        let caller = req.headers.text(EXPLAIN_CALLER);
        let caller = caller.and_then(|text| text.parse().ok());
        let body = serde_json::to_vec(&self.gateway.explain(&explained, caller))
            .expect("an explanation has only text keys and finite numbers");
        let mut response = Response::new(200);
        response.headers.append("Content-Type", "application/json");
        response.body = body.into();
        Box::pin(std::future::ready(response))
    }
}

/// The request that the headers of `req` describe.
fn explained_request(req: &Request, api_key: &'static str) -> Request {
    let text = |name| req.headers.text(name).unwrap_or_default();
    let method = req.headers.text(EXPLAIN_METHOD).unwrap_or("GET");
    let mut explained = Request::new(method, text(EXPLAIN_TARGET));
    explained.headers.append("Host", text(EXPLAIN_HOST));
    if let Some(key) = req.headers.get(EXPLAIN_KEY) {
        explained.headers.append(api_key, key);
    }
    explained
}
