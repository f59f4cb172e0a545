//! Authentication of calls and authorization of edits.

use auburnbridge_rules::{Rules, difference};
use tide::Request;
use tide::http::headers::AUTHORIZATION;

use crate::keys::OperatorKey;
use crate::problem::{Problem, ProblemKind};
use crate::server::State;

const BEARER_SCHEME: &str = "bearer";

/// Returns the operator key that the `Authorization` header of a call names.
pub(crate) fn authenticate(request: &Request<State>) -> Result<OperatorKey, Problem> {
    request
        .header(AUTHORIZATION)
        .map(|values| values.last().as_str())
        .and_then(bearer_secret)
        .and_then(|secret| request.state().keys.find(secret))
        .cloned()
        .ok_or_else(|| {
            Problem::new(ProblemKind::Unauthorized)
                .with_detail("send the key as `Authorization: Bearer KEY`")
        })
}

fn bearer_secret(credentials: &str) -> Option<&str> {
    let (scheme, secret) = credentials.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(BEARER_SCHEME)
        .then(|| secret.trim())
}

/// Checks that the key may change every line in which `old` and `new` differ.
pub(crate) fn authorize(key: &OperatorKey, old: &Rules, new: &Rules) -> Result<(), Problem> {
    if key.may_change(None, old) {
        return Ok(());
    }
    for change in difference(old, new) {
        let sides = [&change.before, &change.after];
        let allowed = sides
            .into_iter()
            .flatten()
            .all(|line| key.may_change(line.service.as_ref(), old));
        if !allowed {
            let detail = format!("{} may not change `{}`", key.author, change.key);
            return Err(Problem::new(ProblemKind::Forbidden).with_detail(detail));
        }
    }
    Ok(())
}
