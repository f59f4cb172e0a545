//! HTTP API for operators that lists the targets known to an entry.
//!
//! The endpoint is read-only and not authenticated, so its address must be on an operators'
//! network.

use std::sync::Arc;

use serde_json::{Value, json};
use tide::{Request, Response, StatusCode};

use crate::entry::Entry;

/// Application that serves `GET /auburnbridge/targets`.
pub(crate) fn targets_app(entry: Arc<Entry>) -> tide::Server<()> {
    let mut app = tide::new();
    app.at("/auburnbridge/targets")
        .get(move |_req: Request<()>| {
            let body = describe_targets(&entry);
            async move {
                Ok(Response::builder(StatusCode::Ok)
                    .body(body)
                    .content_type("application/json")
                    .build())
            }
        });
    app
}

/// All targets with their state and the values behind the last placement decision.
fn describe_targets(entry: &Entry) -> Value {
    let mut targets = Vec::new();
    for service in entry.fleets().names() {
        for view in entry.fleets().view(&service) {
            targets.push(json!({
                "service": service.as_str(),
                "target": view.member.id.as_str(),
                "address": view.member.address.to_string(),
                "data_centre": view.member.data_centre.as_str(),
                "incarnation": view.member.incarnation.0,
                "slots": view.member.slots.0,
                "presence": view.member.presence.to_string(),
                "state": view.state.to_string(),
                "suspicion": view.suspicion,
                "in_flight": view.in_flight,
                "ejections": view.ejections,
            }));
        }
    }
    json!({ "revision": entry.revision().0, "targets": targets })
}
