//! Routes of the API.

use std::future::Future;
use std::sync::Arc;

use tide::utils::After;
use tide::{Response, StatusCode};

use crate::edits::{edit_line, replace_rules};
use crate::keys::OperatorKeys;
use crate::problem::{Problem, ProblemKind};
use crate::reads;
use crate::store::ConfigStore;

/// Server built by [`server`].
pub type OperatorServer = tide::Server<State>;

/// State shared by all calls of the API.
#[derive(Clone)]
pub struct State {
    pub(crate) store: Arc<dyn ConfigStore>,
    pub(crate) keys: Arc<OperatorKeys>,
}

/// Builds the API on top of a store; `keys` are the operator keys that it accepts.
pub fn server(store: Arc<dyn ConfigStore>, keys: OperatorKeys) -> OperatorServer {
    let mut server = tide::Server::with_state(State {
        store,
        keys: Arc::new(keys),
    });
    server.with(After(add_problem_body));
    server
        .at("/auburnbridge/rules")
        .get(|request| respond(reads::rules(request)))
        .put(|request| respond(replace_rules(request)))
        .patch(|request| respond(edit_line(request)));
    server
        .at("/auburnbridge/rules/history")
        .get(|request| respond(reads::history(request)));
    server
        .at("/auburnbridge/status")
        .get(|request| respond(reads::status(request)));
    server
        .at("/auburnbridge/targets")
        .get(|request| respond(reads::targets(request)));
    server
}

async fn respond(handler: impl Future<Output = Result<Response, Problem>>) -> tide::Result {
    Ok(handler.await.unwrap_or_else(Response::from))
}

/// Adds a problem body to the router's own 404 and 405 responses, which have none.
async fn add_problem_body(response: Response) -> tide::Result {
    let is_unrouted = response.is_empty() == Some(true);
    let kind = match response.status() {
        StatusCode::NotFound if is_unrouted => ProblemKind::NotFound,
        StatusCode::MethodNotAllowed if is_unrouted => ProblemKind::MethodNotAllowed,
        _ => return Ok(response),
    };
    Ok(Problem::new(kind).into())
}
