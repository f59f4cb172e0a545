//! The routes of the API.

use std::future::Future;
use std::sync::Arc;

use tide::utils::After;
use tide::{Response, StatusCode};

use crate::edits::{edit_line, replace_rules};
use crate::keys::OperatorKeys;
use crate::problem::{Problem, ProblemKind};
use crate::reads;
use crate::store::ConfigStore;

/// The server that [`server`] builds.
pub type OperatorServer = tide::Server<State>;

/// What every call of the API shares.
#[derive(Clone)]
pub struct State {
    pub(crate) store: Arc<dyn ConfigStore>,
    pub(crate) keys: Arc<OperatorKeys>,
}

/// Builds the API over a store.
pub fn server(store: Arc<dyn ConfigStore>, keys: OperatorKeys) -> OperatorServer {
    let mut server = tide::Server::with_state(State {
        store,
        keys: Arc::new(keys),
    });
    server.with(After(explain_unrouted));
    server
        .at("/auburnbridge/rules")
        .get(|request| answer(reads::rules(request)))
        .put(|request| answer(replace_rules(request)))
        .patch(|request| answer(edit_line(request)));
    server
        .at("/auburnbridge/rules/history")
        .get(|request| answer(reads::history(request)));
    server
        .at("/auburnbridge/status")
        .get(|request| answer(reads::status(request)));
    server
        .at("/auburnbridge/targets")
        .get(|request| answer(reads::targets(request)));
    server
}

async fn answer(call: impl Future<Output = Result<Response, Problem>>) -> tide::Result {
    Ok(call.await.unwrap_or_else(Response::from))
}

/// Adds a body to the router's own answers, which have none.
async fn explain_unrouted(response: Response) -> tide::Result {
    let unrouted = response.is_empty() == Some(true);
    let kind = match response.status() {
        StatusCode::NotFound if unrouted => ProblemKind::NotFound,
        StatusCode::MethodNotAllowed if unrouted => ProblemKind::MethodNotAllowed,
        _ => return Ok(response),
    };
    Ok(Problem::new(kind).into())
}
