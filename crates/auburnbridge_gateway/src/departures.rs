//! Reports to the keepers that a target is leaving, as the target states in its responses.
//!
//! The announcement of a departure may be lost, or reach no keeper before the target ends. The first
//! response that states it therefore ends the use of the target on this gateway, and the keepers record
//! the departure in the replicated log, from which all other gateways learn it. A gateway that has not
//! learned it yet needs no other report: the target states it in each of its responses.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;

use auburnbridge_membership::Announcement;
use auburnbridge_messages::{self as messages, Reply, Request};
use auburnbridge_peer::PeerAddress;
use auburnbridge_types::{Millis, VmId};
use event_listener::Event;
use log::{debug, info};
use parking_lot::Mutex;

use crate::feed::KeeperWatcher;

/// Departures kept until a keeper has recorded them; the oldest is dropped first.
const MAX_UNREPORTED: usize = 1_024;
/// Timeout for the reply to one report, which waits for a quorum of the keepers.
const REPLY_TIMEOUT: Millis = Millis(900);
/// Delay before a report that failed is sent again.
const RETRY_DELAY: Millis = Millis(200);

/// Departures that no keeper has recorded yet.
#[derive(Debug, Default)]
pub(crate) struct UnreportedDepartures {
    queue: Mutex<VecDeque<Announcement>>,
    added: Event,
}

impl UnreportedDepartures {
    pub(crate) fn push(&self, departure: Announcement) {
        let mut queue = self.queue.lock();
        if queue.len() >= MAX_UNREPORTED {
            queue.pop_front();
        }
        queue.push_back(departure);
        drop(queue);
        self.added.notify(usize::MAX);
    }

    pub(crate) fn take(&self) -> Vec<Announcement> {
        std::mem::take(&mut *self.queue.lock()).into()
    }

    async fn wait(&self) {
        loop {
            let added = self.added.listen();
            if !self.queue.lock().is_empty() {
                return;
            }
            added.await;
        }
    }
}

impl KeeperWatcher {
    /// Reports departures to the keepers until the process ends.
    pub async fn report_departures(self: Arc<Self>) {
        loop {
            self.gateway.unreported_departures.wait().await;
            for departure in self.gateway.unreported_departures.take() {
                self.report_departure(departure).await;
            }
        }
    }

    /// Sends the report to one keeper after another until the group has recorded the departure.
    async fn report_departure(&self, departure: Announcement) {
        let request = Request::Depart(departure.clone());
        let mut leader: Option<VmId> = None;
        let mut attempt: usize = rand::random_range(0..64);
        loop {
            let keeper = leader
                .take()
                .and_then(|leader| leader.ip())
                .map(|ip: IpAddr| PeerAddress::from_ip(ip, self.keeper_port))
                .or_else(|| self.candidate(attempt));
            if let Some(keeper) = keeper {
                match messages::call(self.transport.as_ref(), &keeper, &request, REPLY_TIMEOUT)
                    .await
                {
                    Ok(Reply::Done) => {
                        info!(
                            target_id = departure.target.as_str(),
                            incarnation = departure.incarnation.0, keeper = keeper.vm.as_str();
                            "departure reported"
                        );
                        return;
                    }
                    Ok(Reply::NotLeader { leader: Some(vm) }) => {
                        leader = Some(vm);
                        attempt += 1;
                        continue;
                    }
                    Ok(reply) => {
                        let name: &'static str = (&reply).into();
                        debug!("keeper {} did not record a departure: {name}", keeper.vm);
                    }
                    Err(error) => {
                        debug!("keeper {} did not record a departure: {error}", keeper.vm);
                    }
                }
            }
            attempt += 1;
            self.clock.sleep(RETRY_DELAY).await;
        }
    }
}
