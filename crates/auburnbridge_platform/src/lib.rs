//! HTTP endpoints of an entry: readiness for the platform's load balancer, and announcements of
//! targets.

use std::sync::Arc;

use auburnbridge_membership::{Announcement, Verdict};
use serde_json::json;
use tide::{Request, Response, StatusCode};

/// Path of the readiness endpoint.
pub const READY_PATH: &str = "/auburnbridge/ready";
/// Path of the announcement endpoint.
pub const ANNOUNCE_PATH: &str = "/auburnbridge/announce";

/// Size limit for the body of an announcement; the limits of its fields add up to far less.
const MAX_ANNOUNCEMENT_BYTES: usize = 2_048;

/// Handler of the calls that the platform and the targets make to an entry.
pub trait PlatformHandler: Send + Sync + 'static {
    /// Checks whether the load balancer may send requests to this entry.
    ///
    /// # Errors
    ///
    /// Returns the reason why the entry is not ready.
    fn readiness(&self) -> Result<(), &'static str>;

    /// Handles an announcement of a target.
    fn handle_announcement(&self, announcement: Announcement) -> Verdict;
}

/// Builds the readiness endpoint for the load balancer.
pub fn readiness_app(handler: Arc<dyn PlatformHandler>) -> tide::Server<()> {
    let mut app = tide::new();
    app.at(READY_PATH).get(move |_req: Request<()>| {
        let readiness = handler.readiness();
        async move {
            Ok(match readiness {
                Ok(()) => json_response(StatusCode::Ok, &json!({"ready": true})),
                Err(reason) => json_response(
                    StatusCode::ServiceUnavailable,
                    &json!({"ready": false, "reason": reason}),
                ),
            })
        }
    });
    app
}

/// Builds the announcement endpoint for targets.
pub fn announcement_app(handler: Arc<dyn PlatformHandler>) -> tide::Server<()> {
    let mut app = tide::new();
    app.at(ANNOUNCE_PATH).post(move |req: Request<()>| {
        let handler = Arc::clone(&handler);
        async move { serve_announcement(handler.as_ref(), req).await }
    });
    app
}

async fn serve_announcement(handler: &dyn PlatformHandler, mut req: Request<()>) -> tide::Result {
    let body = req.body_bytes().await?;
    if body.len() > MAX_ANNOUNCEMENT_BYTES {
        let error = format!("an announcement has at most {MAX_ANNOUNCEMENT_BYTES} bytes");
        return Ok(json_response(
            StatusCode::PayloadTooLarge,
            &json!({"error": error}),
        ));
    }
    let announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => {
            let error = format!("the announcement is invalid: {error}");
            return Ok(json_response(
                StatusCode::BadRequest,
                &json!({"error": error}),
            ));
        }
    };
    let verdict = handler.handle_announcement(announcement);
    let status = match verdict {
        Verdict::Accepted | Verdict::Left | Verdict::Outdated => StatusCode::Ok,
        Verdict::Conflict => StatusCode::Conflict,
        Verdict::Full => StatusCode::ServiceUnavailable,
    };
    Ok(json_response(
        status,
        &json!({"verdict": verdict.to_string()}),
    ))
}

fn json_response(status: StatusCode, body: &serde_json::Value) -> Response {
    Response::builder(status)
        .body(body.clone())
        .content_type("application/json")
        .build()
}
