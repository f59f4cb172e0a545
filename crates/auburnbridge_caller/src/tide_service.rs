//! Runs a `tide` application behind a [`Listener`](crate::Listener).
//!
//! The listener reads the whole request first, so the application never sees a truncated one; the
//! body of its response is read whole before the first byte is written.

use std::net::SocketAddr;

use auburnbridge_http::{Request, Response};
use auburnbridge_types::{BoxFuture, ErrorKind};
use http_types::{Body, Method, Url};
use log::warn;

use crate::{Disconnect, OUTCOME_HEADER, Problem, Service};

/// Response headers of the application that are forwarded to the caller.
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

    /// Returns the application's response to `req`, or a problem if the application fails.
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
        // The host is fixed: it isn't used for routing, and the caller's could be invalid in a URL.
        let url = Url::parse("http://auburnbridge")?.join(&req.path)?;
        let mut app_request = http_types::Request::new(method, url);
        for (name, value) in req.headers.iter() {
            if let Ok(value) = std::str::from_utf8(value) {
                app_request.append_header(name, value);
            }
        }
        app_request.set_body(Body::from_bytes(req.body.to_vec()));
        let mut app_response: http_types::Response = self.app.respond(app_request).await?;
        let mut response = Response::new(app_response.status().into());
        for name in FORWARDED_HEADERS {
            if let Some(value) = app_response.header(name) {
                response.headers.append(name, value.as_str());
            }
        }
        response.body = app_response.body_bytes().await?.into();
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
