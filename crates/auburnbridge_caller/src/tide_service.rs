//! Runs a `tide` application behind the framing guard.
//!
//! The guard has read the whole request, so the application never sees a truncated one; the body of
//! its response is read whole before the first byte goes out.

use std::net::SocketAddr;

use auburnbridge_http::{Request, Response};
use auburnbridge_types::{BoxFuture, ErrorKind};
use http_types::{Body, Method, Url};
use log::warn;

use crate::{Disconnect, OUTCOME_HEADER, Problem, Service};

/// Names of the response headers that an application may set.
const FORWARDED_HEADERS: [&str; 7] = [
    OUTCOME_HEADER,
    "Content-Type",
    "ETag",
    "Retry-After",
    "WWW-Authenticate",
    "Location",
    "Cache-Control",
];

/// A `tide` application as a [`Service`].
pub struct TideService<S> {
    app: tide::Server<S>,
}

impl<S: Clone + Send + Sync + 'static> TideService<S> {
    /// Wraps an application.
    pub fn new(app: tide::Server<S>) -> Self {
        Self { app }
    }

    /// The application's response to `req`.
    pub async fn handle(&self, req: &Request) -> Response {
        match self.try_handle(req).await {
            Ok(response) => response,
            Err(error) => {
                warn!("the application failed: {error}");
                Problem::new(ErrorKind::Internal, "the application failed").to_response()
            }
        }
    }

    async fn try_handle(&self, req: &Request) -> http_types::Result<Response> {
        let method: Method = req.method.parse()?;
        // The host plays no part in routing, and a caller could name an invalid one.
        let url = Url::parse("http://auburnbridge")?.join(&req.path)?;
        let mut message = http_types::Request::new(method, url);
        for (name, value) in req.headers.iter() {
            if let Ok(value) = std::str::from_utf8(value) {
                message.append_header(name, value);
            }
        }
        message.set_body(Body::from_bytes(req.body.to_vec()));
        let mut answer: http_types::Response = self.app.respond(message).await?;
        let mut response = Response::new(answer.status().into());
        for name in FORWARDED_HEADERS {
            if let Some(value) = answer.header(name) {
                response.headers.append(name, value.as_str());
            }
        }
        response.body = answer.body_bytes().await?.into();
        Ok(response)
    }
}

impl<S: Clone + Send + Sync + 'static> Service for TideService<S> {
    fn respond(
        &self,
        req: Request,
        _caller: SocketAddr,
        _disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        Box::pin(async move { self.handle(&req).await })
    }
}
