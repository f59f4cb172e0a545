//! The endpoints for the platform's balancer and for target announcements.

use std::sync::Arc;

use auburnbridge_membership::{Announcement, Verdict};
use serde_json::json;
use tide::{Request, Response, StatusCode};

/// Path of the readiness endpoint.
pub const READY_PATH: &str = "/auburnbridge/ready";
/// Path of the announcement endpoint.
pub const ANNOUNCE_PATH: &str = "/auburnbridge/announce";

/// Largest announcement, in bytes; the fields are bounded to far less.
const ANNOUNCEMENT_LIMIT: usize = 2_048;

/// What the platform and the targets ask of an entry.
pub trait Platform: Send + Sync + 'static {
    /// Whether the balancer may send requests here; the reason if not.
    fn readiness(&self) -> Result<(), &'static str>;

    /// Takes an announcement.
    fn announce(&self, announcement: Announcement) -> Verdict;
}

/// The application for the balancer.
pub fn readiness_app(platform: Arc<dyn Platform>) -> tide::Server<()> {
    let mut app = tide::new();
    app.at(READY_PATH).get(move |_req: Request<()>| {
        let readiness = platform.readiness();
        async move {
            Ok(match readiness {
                Ok(()) => answer(StatusCode::Ok, &json!({"ready": true})),
                Err(reason) => answer(
                    StatusCode::ServiceUnavailable,
                    &json!({"ready": false, "reason": reason}),
                ),
            })
        }
    });
    app
}

/// The application for the targets.
pub fn announcement_app(platform: Arc<dyn Platform>) -> tide::Server<()> {
    let mut app = tide::new();
    app.at(ANNOUNCE_PATH).post(move |req: Request<()>| {
        let platform = Arc::clone(&platform);
        async move { take_announcement(platform.as_ref(), req).await }
    });
    app
}

async fn take_announcement(platform: &dyn Platform, mut req: Request<()>) -> tide::Result {
    let body = req.body_bytes().await?;
    if body.len() > ANNOUNCEMENT_LIMIT {
        let error = format!("an announcement has at most {ANNOUNCEMENT_LIMIT} bytes");
        return Ok(answer(
            StatusCode::PayloadTooLarge,
            &json!({"error": error}),
        ));
    }
    let announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => {
            let error = format!("the announcement is invalid: {error}");
            return Ok(answer(StatusCode::BadRequest, &json!({"error": error})));
        }
    };
    let verdict = platform.announce(announcement);
    let status = match verdict {
        Verdict::Accepted | Verdict::Left | Verdict::Outdated => StatusCode::Ok,
        Verdict::Conflict => StatusCode::Conflict,
        Verdict::Full => StatusCode::ServiceUnavailable,
    };
    Ok(answer(status, &json!({"verdict": verdict.to_string()})))
}

fn answer(status: StatusCode, body: &serde_json::Value) -> Response {
    Response::builder(status)
        .body(body.clone())
        .content_type("application/json")
        .build()
}
