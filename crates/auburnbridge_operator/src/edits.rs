//! Handlers of calls that edit the rules.

use std::sync::Arc;

use async_std::task::spawn_blocking;
use auburnbridge_config::{Change, ChangeError, Edit, EditId};
use auburnbridge_types::Revision;
use serde_json::json;
use tide::http::headers::{ETAG, IF_MATCH};
use tide::{Request, Response, StatusCode};

use crate::authorization::{authenticate, authorize};
use crate::body::{read_line_edit, read_rules};
use crate::keys::OperatorKey;
use crate::problem::{Problem, ProblemKind, accepted_revision};
use crate::server::State;
use crate::store::CurrentRules;

const EDIT_ID_HEADER: &str = "Auburnbridge-Edit-Id";

/// `PUT /auburnbridge/rules`
pub(crate) async fn replace_rules(mut request: Request<State>) -> Result<Response, Problem> {
    let edit = EditRequest::read(&request)?;
    let change = read_rules(request.take_body()).await?;
    edit.submit(request.state(), change).await
}

/// `PATCH /auburnbridge/rules`
pub(crate) async fn edit_line(mut request: Request<State>) -> Result<Response, Problem> {
    let edit = EditRequest::read(&request)?;
    let change = read_line_edit(request.take_body()).await?;
    edit.submit(request.state(), change).await
}

/// The operator key and the headers of an edit.
struct EditRequest {
    key: OperatorKey,
    id: EditId,
    expected: Revision,
}

impl EditRequest {
    fn read(request: &Request<State>) -> Result<Self, Problem> {
        Ok(Self {
            key: authenticate(request)?,
            id: edit_id(request)?,
            expected: expected_revision(request)?,
        })
    }

    async fn submit(self, state: &State, change: Change) -> Result<Response, Problem> {
        let current = state.store.rules().await?;
        let change = self.check(current, change).await?;
        let (id, author) = (self.id, self.key.author);
        let reply = state.store.submit(Edit {
            id,
            author: author.clone(),
            expected: Some(self.expected),
            change,
        });
        let outcome = match reply.await {
            Ok(reply) => accepted_revision(reply),
            Err(error) => Err(error.into()),
        };
        match outcome {
            Ok(revision) => {
                log::info!("accepted edit {id} of {author} as revision {revision}");
                Ok(accepted_response(revision))
            }
            Err(problem) => {
                log::info!("refused edit {id} of {author}: {}", problem.kind());
                Err(problem)
            }
        }
    }

    /// Checks whether the edit may be proposed, and returns its change.
    async fn check(&self, current: CurrentRules, change: Change) -> Result<Change, Problem> {
        if current.revision < self.expected {
            // This process does not have the rules against which the edit must be authorized.
            let detail = format!("revision {} is in force here", current.revision);
            return Err(Problem::new(ProblemKind::Unavailable).with_detail(detail));
        }
        if current.revision > self.expected {
            // The log is also past the expected revision, so a new edit would be refused. It is still
            // proposed, since it may be a resend of an accepted edit, whose id gets the first reply.
            return Ok(change);
        }
        let key = self.key.clone();
        // Parsing and comparing a file of 86,000 lines takes hundreds of milliseconds.
        spawn_blocking(move || {
            let old = Arc::clone(&current.rules);
            let changed = change.apply_to(&old).map_err(|refusal| match refusal {
                ChangeError::Invalid(errors) => Problem::invalid(errors, 0),
                ChangeError::NoSuchLine => Problem::new(ProblemKind::NoSuchLine),
            })?;
            authorize(&key, &old, &changed.rules)?;
            Ok(change)
        })
        .await
    }
}

fn edit_id(request: &Request<State>) -> Result<EditId, Problem> {
    let invalid = |detail: String| Problem::new(ProblemKind::HeaderInvalid).with_detail(detail);
    let value = request.header(EDIT_ID_HEADER).ok_or_else(|| {
        invalid(format!(
            "send a new UUID version 7 as `{EDIT_ID_HEADER}`, and the same one with a resend"
        ))
    })?;
    let text = value.last().as_str();
    text.parse()
        .map_err(|error| invalid(format!("`{EDIT_ID_HEADER}`: {error}")))
}

fn expected_revision(request: &Request<State>) -> Result<Revision, Problem> {
    let value = request.header(IF_MATCH).ok_or_else(|| {
        Problem::new(ProblemKind::RevisionMissing)
            .with_detail("send the ETag of the rules to which the edit was made as `If-Match`")
    })?;
    let text = value.last().as_str();
    parse_etag(text).ok_or_else(|| {
        let detail = format!("`If-Match`: expected a revision such as `\"12\"`, found `{text}`");
        Problem::new(ProblemKind::HeaderInvalid).with_detail(detail)
    })
}

/// Parses the revision in an entity tag. A weak tag or `*` contains none.
fn parse_etag(tag: &str) -> Option<Revision> {
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

fn accepted_response(revision: Revision) -> Response {
    Response::builder(StatusCode::Ok)
        .header(ETAG, format!("\"{revision}\""))
        .body(json!({ "revision": revision }))
        .build()
}
