//! The control interface: publishes configurations and accepts announcements of targets.
//!
//! A platform is the system that manages the targets and their configuration. Its [`Dialect`] gives
//! the paths and formats of the calls that the platform and the targets make.

use std::net::SocketAddr;
use std::sync::Arc;

use auburnbridge_caller::{Disconnect, Service};
use auburnbridge_config::VersionedDocument;
use auburnbridge_http::{Request, Response};
use auburnbridge_membership::{AnnouncedState, Announcement, Verdict};
use auburnbridge_messages::{compress_document, decompress_document};
use auburnbridge_routing::{CallError, ControlCall, Dialect, PublishedDocument};
use auburnbridge_telemetry::ProcessMetrics;
use auburnbridge_types::{BoxFuture, Incarnation, Millis, TargetId};
use log::{info, warn};

use crate::catalogue::{Catalogue, LeavingTarget};
use crate::group_client::GroupClient;

/// Longest wait for the group. Callers switch to another keeper after one second without a response.
const GROUP_TIMEOUT: Millis = Millis(850);

/// Serves the control interface of one keeper.
pub struct ControlService {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) group: Arc<GroupClient>,
    pub(crate) metrics: Arc<ProcessMetrics>,
}

impl ControlService {
    async fn answer(&self, req: Request) -> Response {
        let call = self.dialect.read_call(&req);
        let name = call_name(&call);
        let response = self.handle(&req, call).await;
        let outcome = response.status.to_string();
        self.metrics.record_control_call(name, &outcome);
        response
    }

    async fn handle(&self, req: &Request, call: Result<ControlCall, CallError>) -> Response {
        match call {
            Ok(ControlCall::Publish(Ok(document))) => self.publish(document).await,
            Ok(ControlCall::Publish(Err(error))) => {
                info!(reason:% = error; "configuration refused");
                text(400, &error.to_string())
            }
            Ok(ControlCall::ReadPublished) => self.read_published().await,
            Ok(ControlCall::Announce(Ok(announcement))) => self.announce(announcement).await,
            Ok(ControlCall::Announce(Err(error))) => {
                info!(path = req.path, reason:% = error; "announcement refused");
                text(400, &error.to_string())
            }
            Ok(ControlCall::Leave {
                target,
                incarnation,
            }) => self.leave(&target, incarnation).await,
            Err(error @ CallError::UnknownPath) => text(404, &error.to_string()),
            Err(error @ CallError::UnknownMethod) => text(405, &error.to_string()),
        }
    }

    async fn publish(&self, document: PublishedDocument) -> Response {
        let version = document.version;
        let publish = VersionedDocument {
            version,
            document: compress_document(&document.bytes).into(),
        };
        match self.group.publish(publish, GROUP_TIMEOUT).await {
            Ok(()) => {
                info!(version = version.0; "configuration acknowledged");
                text(200, "")
            }
            Err(error) => {
                warn!(version = version.0, reason:% = error; "configuration not acknowledged");
                text(503, "no quorum answered in time; send it again")
            }
        }
    }

    async fn read_published(&self) -> Response {
        let document = match self.group.read(GROUP_TIMEOUT).await {
            Ok(Some(document)) => document,
            Ok(None) => return text(503, "no configuration has been published"),
            Err(error) => {
                warn!(reason:% = error; "configuration not read");
                return text(503, "no quorum answered in time");
            }
        };
        match decompress_document(&document.document) {
            Ok(bytes) => json(bytes),
            Err(error) => {
                warn!(version = document.version.0, error:% = error; "configuration can't be unpacked");
                text(500, "the stored configuration can't be unpacked")
            }
        }
    }

    async fn announce(&self, announcement: Announcement) -> Response {
        if announcement.state == AnnouncedState::Leaving {
            return self.record_departure(announcement).await;
        }
        match self.catalogue.announce(announcement.clone()) {
            Verdict::Accepted | Verdict::Left | Verdict::Outdated => json(b"{}".to_vec()),
            verdict @ (Verdict::Conflict | Verdict::Full) => {
                warn!(
                    target_id = announcement.target.as_str(),
                    incarnation = announcement.incarnation.0, verdict:% = verdict;
                    "announcement refused"
                );
                text(409, "another process has this id, or there is no room")
            }
        }
    }

    async fn leave(&self, target: &TargetId, incarnation: Option<Incarnation>) -> Response {
        match self.catalogue.find_leaving(target, incarnation) {
            LeavingTarget::Present(announcement) => self.record_departure(announcement).await,
            LeavingTarget::Departed => json(b"{}".to_vec()),
            // Another keeper may know the target; the caller retries there.
            LeavingTarget::Unknown => {
                info!(
                    target_id = target.as_str(), incarnation:? = incarnation.map(|stated| stated.0);
                    "departure not acknowledged: the incarnation is not known here"
                );
                text(503, "no announcement of this target has arrived here")
            }
        }
    }

    async fn record_departure(&self, announcement: Announcement) -> Response {
        if self.catalogue.has_departed(&announcement) {
            return json(b"{}".to_vec());
        }
        let (target, incarnation) = (announcement.target.clone(), announcement.incarnation);
        match self.group.depart(announcement, GROUP_TIMEOUT).await {
            Ok(()) => {
                info!(
                    target_id = target.as_str(), incarnation = incarnation.0;
                    "departure acknowledged"
                );
                json(b"{}".to_vec())
            }
            Err(error) => {
                warn!(
                    target_id = target.as_str(), incarnation = incarnation.0, reason:% = error;
                    "departure not acknowledged"
                );
                text(503, "no quorum answered in time; send it again")
            }
        }
    }
}

impl Service for ControlService {
    fn respond(
        &self,
        req: Request,
        _caller: SocketAddr,
        _disconnect: Disconnect,
    ) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(req))
    }
}

/// Returns the name of a call in the metrics.
fn call_name(call: &Result<ControlCall, CallError>) -> &'static str {
    match call {
        Ok(ControlCall::Publish(_)) => "publish",
        Ok(ControlCall::ReadPublished) => "read",
        Ok(ControlCall::Announce(_)) => "announce",
        Ok(ControlCall::Leave { .. }) => "leave",
        Err(_) => "unknown",
    }
}

fn text(status: u16, body: &str) -> Response {
    let mut response = Response::new(status);
    response.headers.append("Content-Type", "text/plain");
    response.body = body.as_bytes().to_vec().into();
    response
}

fn json(body: Vec<u8>) -> Response {
    let mut response = Response::new(200);
    response.headers.append("Content-Type", "application/json");
    response.body = body.into();
    response
}
