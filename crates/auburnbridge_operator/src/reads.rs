//! Handlers of calls that read the rules and the state of the fleet.

use serde::Serialize;
use tide::http::headers::{ETAG, IF_NONE_MATCH};
use tide::http::mime;
use tide::{Request, Response, StatusCode};

use crate::authorization::authenticate;
use crate::problem::Problem;
use crate::server::State;

/// `GET /auburnbridge/rules`
pub(crate) async fn rules(request: Request<State>) -> Result<Response, Problem> {
    authenticate(&request)?;
    let current = request.state().store.rules().await?;
    let tag = format!("\"{}\"", current.revision);
    let is_unchanged = request
        .header(IF_NONE_MATCH)
        .is_some_and(|values| values.iter().any(|value| value.as_str() == tag));
    let mut response = if is_unchanged {
        Response::new(StatusCode::NotModified)
    } else {
        Response::builder(StatusCode::Ok)
            .body(current.rules.text().as_bytes())
            .content_type(mime::PLAIN)
            .build()
    };
    response.insert_header(ETAG, tag);
    Ok(response)
}

/// `GET /auburnbridge/rules/history`
pub(crate) async fn history(request: Request<State>) -> Result<Response, Problem> {
    authenticate(&request)?;
    Ok(json(&request.state().store.history().await?))
}

/// `GET /auburnbridge/status`
pub(crate) async fn status(request: Request<State>) -> Result<Response, Problem> {
    authenticate(&request)?;
    Ok(json(&request.state().store.status().await?))
}

/// `GET /auburnbridge/targets`
pub(crate) async fn targets(request: Request<State>) -> Result<Response, Problem> {
    authenticate(&request)?;
    Ok(json(&request.state().store.targets().await?))
}

fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("a value with only string keys can be encoded");
    Response::builder(StatusCode::Ok)
        .body(body)
        .content_type(mime::JSON)
        .build()
}
