//! What an entry reads from a caller's request before it decides anything.

use auburnbridge_caller::Problem;
use auburnbridge_http::Request;
use auburnbridge_rules::{Class, Method, Route, Rules};
use auburnbridge_types::{AccountId, BodyDigest, ErrorKind, IdempotencyKey, Millis, Timestamp};
use sha2::{Digest, Sha256};

/// Header with the caller's key of a non-idempotent request.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Header with the milliseconds that the caller waits.
pub const DEADLINE_HEADER: &str = "Auburnbridge-Deadline-Ms";
/// Header with the caller's account.
pub const ACCOUNT_HEADER: &str = "Auburnbridge-Account";
/// Header with the number of earlier attempts of the same request.
pub const PREVIOUS_ATTEMPTS_HEADER: &str = "Auburnbridge-Previous-Attempts";
/// Account of a caller that names none.
const ANONYMOUS: &str = "anonymous";

/// A request with everything that decisions about it need.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request as it arrived.
    pub message: Request,
    /// The rule that matches it.
    pub route: Route,
    /// The caller's account.
    pub account: AccountId,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// How often the caller sent the request before, when it states that.
    pub previous_attempts: Option<u32>,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Time after which nobody waits for the answer.
    pub deadline: Timestamp,
}

impl CallerRequest {
    /// Reads a request against the rules.
    pub fn read(message: Request, rules: &Rules, now: Timestamp) -> Result<Self, Problem> {
        // An entry with other rules may have run an earlier attempt.
        let may_be_resend = message.headers.get(KEY_HEADER).is_some() && !is_first_send(&message);
        Self::read_parts(message, rules, now).map_err(|problem| {
            if may_be_resend {
                problem.for_possible_resend()
            } else {
                problem
            }
        })
    }

    fn read_parts(message: Request, rules: &Rules, now: Timestamp) -> Result<Self, Problem> {
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
            .unwrap_or_else(|| ANONYMOUS.parse().expect("the constant is a name"));
        let wait = header(&message, DEADLINE_HEADER)?
            .map_or(route.timeout, |wait: Millis| wait.min(route.timeout));
        let previous_attempts: Option<u32> = header(&message, PREVIOUS_ATTEMPTS_HEADER)?;
        let key = match route.class {
            Class::Idempotent => None,
            Class::Once => Some(header(&message, KEY_HEADER)?.ok_or_else(|| {
                let detail = format!("{} {path} runs at most once", message.method);
                Problem::new(ErrorKind::KeyMissing, detail)
            })?),
        };
        Ok(Self {
            route,
            account,
            key,
            previous_attempts,
            arrived: now,
            deadline: now.after(wait),
            message,
        })
    }

    /// Digest that identifies the request across resends.
    pub fn digest(&self) -> BodyDigest {
        let mut hasher = Sha256::new();
        for part in [
            self.account.as_str().as_bytes(),
            self.message.method.as_bytes(),
            self.message.path.as_bytes(),
            &self.message.body,
        ] {
            // The length keeps the boundary between two parts from shifting.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        BodyDigest(hasher.finalize().into())
    }

    /// Makes the outcome of a rejection certain: `not-run` stands only if no earlier attempt can
    /// have run, as the ledger was not asked.
    pub fn refuse_unread(&self, problem: Problem) -> Problem {
        if self.key.is_some() && self.previous_attempts != Some(0) {
            problem.for_possible_resend()
        } else {
            problem
        }
    }

    /// Makes the outcome of a rejection certain after the grant was withdrawn: `not-run` stands only
    /// if the caller numbers its sends, since the ledger then refuses a delayed Grant of an earlier
    /// send. Without a number it can't tell that Grant from a resend.
    pub fn refuse_withdrawn(&self, problem: Problem) -> Problem {
        if self.previous_attempts.is_none() {
            problem.for_possible_resend()
        } else {
            problem
        }
    }
}

/// Whether the caller states that it sent the request never before; a doubled header states nothing.
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
