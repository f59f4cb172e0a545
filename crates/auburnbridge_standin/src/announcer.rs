//! Announcements that a stand-in target sends to the entries.

use std::net::SocketAddr;
use std::time::Duration;

use auburnbridge_http::Request;
use serde_json::json;

use crate::send::send;
use crate::target::TargetOptions;

const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// The fields of an announcement that change while a target runs or when it restarts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnnouncementState {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) is_leaving: bool,
}

/// Sends one announcement to each entry and ignores entries that can't be reached.
pub(crate) async fn announce(
    options: &TargetOptions,
    address: SocketAddr,
    state: AnnouncementState,
) {
    let body = json!({
        "service": options.service.as_str(),
        "target": options.id.as_str(),
        "address": address.to_string(),
        "data_centre": options.data_centre.as_str(),
        "incarnation": state.incarnation,
        "sequence": state.sequence,
        "slots": options.slots.0,
        "state": if state.is_leaving { "leaving" } else { "ready" },
    });
    let mut req = Request::new("POST", "/auburnbridge/announce");
    req.headers.append("Host", "auburnbridge");
    req.headers.append("Content-Type", "application/json");
    req.body = body.to_string().into_bytes().into();
    for entry in &options.announce_to {
        if let Err(error) = send(*entry, &req, ANNOUNCE_TIMEOUT).await {
            log::debug!("{} can't announce itself to {entry}: {error}", options.id);
        }
    }
}
