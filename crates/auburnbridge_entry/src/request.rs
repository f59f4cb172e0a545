//! Parsing and validation of the routing headers of a caller's request.

use auburnbridge_caller::Problem;
use auburnbridge_http::Request;
use auburnbridge_rules::{Method, Route, RouteClass, Rules};
use auburnbridge_types::{AccountId, ErrorKind, IdempotencyKey, Millis, RequestDigest, Timestamp};
use sha2::{Digest, Sha256};

/// Header with the idempotency key of a request of the class `Once`.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Header with the time that the caller waits for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "Auburnbridge-Deadline-Ms";
/// Header with the caller's account.
pub const ACCOUNT_HEADER: &str = "Auburnbridge-Account";
/// Header with the number of earlier sends of the same request.
pub const PREVIOUS_ATTEMPTS_HEADER: &str = "Auburnbridge-Previous-Attempts";
/// Account of a request without an account header.
const ANONYMOUS: &str = "anonymous";

/// Request of a caller with its route and parsed headers.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request as received.
    pub message: Request,
    /// Route that matches the request.
    pub route: Route,
    /// Client account of the caller.
    pub account: AccountId,
    /// Idempotency key; `None` for idempotent requests.
    pub key: Option<IdempotencyKey>,
    /// Number of earlier sends of the same request, if the caller states it.
    pub previous_sends: Option<u32>,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Time at which the caller stops waiting for the answer.
    pub deadline: Timestamp,
}

impl CallerRequest {
    /// Matches a request to a route and parses its headers.
    pub fn read(message: Request, rules: &Rules, now: Timestamp) -> Result<Self, Problem> {
        // An entry with other rules may have accepted and run an earlier send.
        let may_be_resend = message.headers.get(KEY_HEADER).is_some() && !is_first_send(&message);
        Self::read_headers(message, rules, now).map_err(|problem| {
            if may_be_resend {
                problem.for_possible_resend()
            } else {
                problem
            }
        })
    }

    fn read_headers(message: Request, rules: &Rules, now: Timestamp) -> Result<Self, Problem> {
        let path = message.path.split('?').next().unwrap_or_default();
        let route = message
            .method
            .parse::<Method>()
            .ok()
            .and_then(|method| rules.route(method, path))
            .ok_or_else(|| {
                let detail = format!("no route for {} {path}", message.method);
                Problem::new(ErrorKind::NoRoute, detail)
            })?
            .clone();
        let account = header(&message, ACCOUNT_HEADER)?
            .unwrap_or_else(|| ANONYMOUS.parse().expect("`ANONYMOUS` is a valid name"));
        let wait = header(&message, DEADLINE_HEADER)?
            .map_or(route.timeout, |wait: Millis| wait.min(route.timeout));
        let previous_sends: Option<u32> = header(&message, PREVIOUS_ATTEMPTS_HEADER)?;
        let key = match route.class {
            RouteClass::Idempotent => None,
            RouteClass::Once => Some(header(&message, KEY_HEADER)?.ok_or_else(|| {
                let detail = format!("{} {path} runs at most once", message.method);
                Problem::new(ErrorKind::KeyMissing, detail)
            })?),
        };
        Ok(Self {
            route,
            account,
            key,
            previous_sends,
            arrived: now,
            deadline: now.after(wait),
            message,
        })
    }

    /// Digest of account, method, path and body, which identifies the request across resends.
    pub fn digest(&self) -> RequestDigest {
        let mut hasher = Sha256::new();
        for part in [
            self.account.as_str().as_bytes(),
            self.message.method.as_bytes(),
            self.message.path.as_bytes(),
            &self.message.body,
        ] {
            // The length prefix makes the boundaries between the parts unambiguous.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        RequestDigest(hasher.finalize().into())
    }

    /// Prepares a rejection of a request that got no grant: turns the outcome `not-run` into
    /// `unknown` if the request has a key, unless the caller states that this is the first send. An
    /// earlier send may have run, and the ledger has not ruled this out.
    pub fn reject_without_grant(&self, problem: Problem) -> Problem {
        if self.key.is_some() && self.previous_sends != Some(0) {
            problem.for_possible_resend()
        } else {
            problem
        }
    }

    /// Prepares a rejection of a request whose grant was withdrawn: turns the outcome `not-run`
    /// into `unknown`, unless the caller states the number of earlier sends. With that number, the
    /// ledger rejects a delayed `Grant` command of an earlier send. Without it, the ledger would
    /// take the delayed command for that of a resend and grant it, so the earlier send could still
    /// run.
    pub fn reject_after_withdrawal(&self, problem: Problem) -> Problem {
        if self.previous_sends.is_none() {
            problem.for_possible_resend()
        } else {
            problem
        }
    }
}

/// Whether the caller states that this is the first send; a repeated header counts as no statement.
fn is_first_send(message: &Request) -> bool {
    let mut values = message.headers.get_all(PREVIOUS_ATTEMPTS_HEADER);
    values.next() == Some(b"0") && values.next().is_none()
}

fn header<T: std::str::FromStr<Err: std::fmt::Display>>(
    message: &Request,
    name: &'static str,
) -> Result<Option<T>, Problem> {
    if message.headers.get_all(name).count() > 1 {
        let detail = format!("{name} is given more than once");
        return Err(Problem::new(ErrorKind::HeaderInvalid, detail));
    }
    message
        .headers
        .text(name)
        .map(|text| {
            text.parse()
                .map_err(|error| Problem::new(ErrorKind::HeaderInvalid, format!("{name}: {error}")))
        })
        .transpose()
}
