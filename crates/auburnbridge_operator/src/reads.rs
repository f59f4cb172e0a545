//! Reads of the rules and of the fleet's state.

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
    let known = request.state().store.rules().await?;
    let tag = format!("\"{}\"", known.revision);
    let unchanged = request
        .header(IF_NONE_MATCH)
        .is_some_and(|values| values.iter().any(|value| value.as_str() == tag));
    let mut response = if unchanged {
        Response::new(StatusCode::NotModified)
    } else {
        Response::builder(StatusCode::Ok)
            .body(known.rules.text().as_bytes())
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
    let body = serde_json::to_vec(value).expect("the value has only text keys");
    Response::builder(StatusCode::Ok)
        .body(body)
        .content_type(mime::JSON)
        .build()
}
