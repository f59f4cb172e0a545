//! Error responses that the gateway generates itself.

use auburnbridge_http::Response;
use auburnbridge_types::Millis;
use strum::{Display, IntoStaticStr};

/// Why the gateway responds itself instead of passing on a target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Failure {
    /// No configuration has been received yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The route requires the API key of a client account, and the request has no valid one.
    UnknownKey,
    /// The client account has used up its limit.
    OverLimit,
    /// No gateway that keeps count of the account's limit replied.
    LimitUnknown,
    /// No target of the service can take the request in time; it did not run.
    NoRoom,
    /// The gateway stops before a target could respond; the request did not run.
    Stopping,
    /// The memory for bodies is in use; the body was not read.
    NoMemory,
    /// The request crashed the targets that ran it before, and was not run again.
    Poisoned,
    /// A target may have run the request and sent no complete response.
    Broken,
    /// The deadline passed while a target had the request.
    TimedOut,
}

impl Failure {
    /// Whether the request certainly did not run.
    pub(crate) fn is_not_run(self) -> bool {
        match self {
            Self::NoConfiguration
            | Self::NoRoute
            | Self::UnknownKey
            | Self::OverLimit
            | Self::LimitUnknown
            | Self::NoRoom
            | Self::Stopping
            | Self::NoMemory
            | Self::Poisoned => true,
            Self::Broken | Self::TimedOut => false,
        }
    }

    pub(crate) fn status(self) -> u16 {
        match self {
            Self::NoConfiguration
            | Self::LimitUnknown
            | Self::NoRoom
            | Self::Stopping
            | Self::NoMemory
            | Self::Poisoned => 503,
            Self::OverLimit => 429,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::Broken => 502,
            Self::TimedOut => 504,
        }
    }

    /// The response to the caller, with `Retry-After` if `retry_after` is given.
    pub(crate) fn to_response(self, retry_after: Option<Millis>) -> Response {
        let mut response = Response::new(self.status());
        response.headers.append("Content-Type", "text/plain");
        if let Some(wait) = retry_after {
            response.headers.append("Retry-After", format_seconds(wait));
        }
        response.body = self.to_string().into_bytes().into();
        response
    }
}

/// Formats a time in seconds with three decimals.
fn format_seconds(time: Millis) -> String {
    format!("{}.{:03}", time.0 / 1000, time.0 % 1000)
}
