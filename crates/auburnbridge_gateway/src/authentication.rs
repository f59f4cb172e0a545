//! Client accounts of requests: by API key from callers, by name to targets.
//!
//! A request is checked when it has arrived, against the configuration in force at that moment, and
//! one with a body also when its head has arrived. A request that waits when its key is withdrawn is
//! still served; the next one on the same connection is refused.

use std::sync::Arc;

use auburnbridge_http::Request;
use auburnbridge_routing::{ClientAccount, HeaderNames, PublishedRoute, RouteSet};
use auburnbridge_types::Priority;

/// The request has no API key, several, or one that no account holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnknownKey;

/// Finds the client account that a request belongs to; `None` if the route is public or the
/// configuration has no accounts.
pub(crate) fn authenticate(
    request: &Request,
    headers: HeaderNames,
    routes: &RouteSet,
    route: &PublishedRoute,
) -> Result<Option<Arc<ClientAccount>>, UnknownKey> {
    let Some(accounts) = routes.accounts().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    let mut keys = request.headers.get_all(headers.api_key);
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Err(UnknownKey);
    };
    let account = accounts.find_by_key(key).ok_or(UnknownKey)?;
    Ok(Some(Arc::clone(account)))
}

/// The priority of a request: that of its account, or of its route if the account has none.
pub(crate) fn priority(route: &PublishedRoute, account: Option<&ClientAccount>) -> Priority {
    account
        .and_then(|account| account.priority)
        .unwrap_or(route.priority)
}

/// Names the account to the target, whatever the caller claimed, and removes the API key.
pub(crate) fn set_account(
    request: &mut Request,
    headers: HeaderNames,
    account: Option<&ClientAccount>,
) {
    request.headers.remove(headers.api_key);
    match account {
        Some(account) => request.headers.set(headers.account, account.id.as_str()),
        None => request.headers.remove(headers.account),
    }
}
