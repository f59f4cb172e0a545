//! Decisions about a request with a body that need only its head.
//!
//! They are made before the body is read, so that a body is neither sent nor kept for a request that
//! is refused in any case. The request is checked again when it is whole, since the configuration may
//! have changed meanwhile.

use auburnbridge_http::{Request, Response, UnreadRequest};
use auburnbridge_policy::balance::AccountKey;
use auburnbridge_routing::{ClientAccount, PublishedRoute};
use auburnbridge_types::{ByteSize, Millis, Timestamp};

use crate::authentication::{authenticate, priority};
use crate::failure::Failure;
use crate::gateway::{Gateway, refusal_retry_after, refuse};

/// `Retry-After` if the memory for bodies is in use, which the requests in progress release.
const MEMORY_RETRY_AFTER: Millis = Millis(500);
/// Room that a chunked body needs, whose length isn't known.
const CHUNKED_BODY_ROOM: ByteSize = ByteSize(64 * 1024);

impl Gateway {
    /// Admits the body of a request, until the instant that is returned, or refuses the request.
    pub(crate) fn admit_head(
        &self,
        head: &UnreadRequest,
        arrived: Timestamp,
    ) -> Result<Timestamp, Response> {
        let request = head.request();
        let refuse = |failure: Failure, retry_after| {
            self.metrics.record_unread_request(failure.into());
            refuse(request, self.headers, failure, retry_after)
        };
        let (routes, route) = self
            .find_route(request)
            .map_err(|failure| refuse(failure, refusal_retry_after(failure)))?;
        let Ok(account) = authenticate(request, self.headers, &routes, &route) else {
            return Err(refuse(Failure::UnknownKey, None));
        };
        if let Some(retry_after) = self.wait_for_targets(&route, account.as_deref()) {
            return Err(refuse(Failure::NoRoom, Some(retry_after)));
        }
        let room = head.body_length().unwrap_or(CHUNKED_BODY_ROOM);
        if !self.budgets.requests.has_room(room) {
            return Err(refuse(Failure::NoMemory, Some(MEMORY_RETRY_AFTER)));
        }
        Ok(arrived.after(self.wait(request, &route)))
    }

    /// Time for which the caller of a request waits, at most the route's timeout.
    pub(crate) fn wait(&self, request: &Request, route: &PublishedRoute) -> Millis {
        request
            .headers
            .text(self.headers.deadline)
            .and_then(|text| text.parse::<Millis>().ok())
            .map_or(route.timeout, |wait| wait.min(route.timeout))
    }

    /// `Retry-After` of a request whose services have no target at all.
    fn wait_for_targets(
        &self,
        route: &PublishedRoute,
        account: Option<&ClientAccount>,
    ) -> Option<Millis> {
        let services = || {
            route
                .destinations
                .iter()
                .map(|destination| &destination.service)
        };
        if services().any(|service| self.services.has_target(service)) {
            return None;
        }
        let dispatcher = services().find_map(|service| self.services.get(service))?;
        // The request counts as demand, although it is refused early.
        let priority = priority(route, account).0;
        let account = account.map(|account| AccountKey::of(&account.id));
        dispatcher.record_request(priority, account);
        dispatcher.record_outcome(false);
        Some(dispatcher.refusal(priority, account).retry_after)
    }
}
