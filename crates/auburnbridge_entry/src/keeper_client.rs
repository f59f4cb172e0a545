//! Client of the keeper group.
//!
//! Commands are sent to the keeper that last answered as leader. An election leaves the group
//! without a leader for up to about a second, so a command waits that long. After that the group is
//! considered to have no quorum, and commands fail at once until one succeeds again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use auburnbridge_config::{Delta, Edit, EditReply};
use auburnbridge_ledger::{Command, Reply as LedgerReply};
use auburnbridge_messages::{self as messages, Reply, Request};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_types::{BoxFuture, Clock, DataCentre, Millis, Revision};
use log::{debug, warn};

use crate::ledger_client::{KeepersUnavailable, LedgerClient};

/// Timeout of one call to one keeper; covers a disk sync and a round trip between data centres.
const CALL_TIMEOUT: Millis = Millis(1_000);
/// Timeout of one call while the group is considered to have no quorum, so that requests are
/// rejected quickly.
const PROBE_TIMEOUT: Millis = Millis(150);
/// Time allowed for an election: two election timeouts of at most 600 ms each, with a margin.
const MAX_ELECTION_WAIT: Millis = Millis(1_500);
const RETRY_INTERVAL: Millis = Millis(25);

/// Sends commands and fetches rules from the keepers of a group.
pub struct KeeperClient {
    keepers: Vec<PeerAddress>,
    data_centre: DataCentre,
    transport: Arc<dyn Transport>,
    clock: Arc<dyn Clock>,
    /// Index of the presumed leader in `keepers`, modulo their number.
    leader: AtomicUsize,
    has_quorum: AtomicBool,
}

impl KeeperClient {
    /// Creates a client of the group of `keepers`; `data_centre` is that of the client.
    pub fn new(
        keepers: Vec<PeerAddress>,
        data_centre: DataCentre,
        transport: Arc<dyn Transport>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            keepers,
            data_centre,
            transport,
            clock,
            leader: AtomicUsize::new(0),
            has_quorum: AtomicBool::new(true),
        }
    }

    /// Addresses of the keepers.
    pub fn keepers(&self) -> &[PeerAddress] {
        &self.keepers
    }

    /// Fetches the changes to the rules since revision `have` from one keeper.
    pub async fn fetch_rules(&self, keeper: &PeerAddress, have: Revision) -> Option<Delta> {
        let request = Request::FetchRules {
            have,
            data_centre: self.data_centre.clone(),
        };
        match self.call(keeper, &request, CALL_TIMEOUT).await {
            Ok(Reply::Rules(delta)) => Some(delta),
            Ok(reply) => {
                debug!("keeper {} sent no rules: {reply:?}", keeper.vm);
                None
            }
            Err(reason) => {
                debug!("keeper {} sent no rules: {reason}", keeper.vm);
                None
            }
        }
    }

    /// Submits an edit of the rules.
    pub async fn submit(&self, edit: Edit) -> Result<EditReply, KeepersUnavailable> {
        match self.command(&Request::Edit(edit)).await? {
            Reply::Edit(reply) => Ok(reply),
            reply => Err(unexpected_reply(&reply)),
        }
    }

    /// Sends a command until a leader has accepted it.
    ///
    /// A command whose reply was lost is sent again; its id makes it idempotent.
    async fn command(&self, request: &Request) -> Result<Reply, KeepersUnavailable> {
        let give_up_at = self.clock.now().after(MAX_ELECTION_WAIT);
        let may_wait = self.has_quorum.load(Ordering::Relaxed);
        let timeout = if may_wait {
            CALL_TIMEOUT
        } else {
            PROBE_TIMEOUT
        };
        let mut last_reason = "no keeper is configured".to_owned();
        loop {
            for _ in 0..self.keepers.len() {
                let index = self.leader.load(Ordering::Relaxed) % self.keepers.len();
                match self.call(&self.keepers[index], request, timeout).await {
                    Ok(Reply::NotLeader { leader }) => {
                        let next = leader
                            .and_then(|vm| self.keepers.iter().position(|keeper| keeper.vm == vm))
                            .filter(|next| *next != index)
                            .unwrap_or(index + 1);
                        self.leader.store(next, Ordering::Relaxed);
                        "the keepers have no leader".clone_into(&mut last_reason);
                    }
                    Ok(Reply::Busy) => "the leader is overloaded".clone_into(&mut last_reason),
                    Ok(Reply::LeadershipLost) => {
                        "the leader lost its quorum".clone_into(&mut last_reason);
                    }
                    Ok(reply) => {
                        self.has_quorum.store(true, Ordering::Relaxed);
                        return Ok(reply);
                    }
                    Err(reason) => {
                        last_reason = reason;
                        self.leader.store(index + 1, Ordering::Relaxed);
                    }
                }
            }
            if !may_wait || self.clock.now() >= give_up_at {
                if self.has_quorum.swap(false, Ordering::Relaxed) {
                    warn!("keepers unavailable: {last_reason}");
                }
                return Err(KeepersUnavailable {
                    reason: last_reason,
                });
            }
            self.clock.sleep(RETRY_INTERVAL).await;
        }
    }

    async fn call(
        &self,
        keeper: &PeerAddress,
        request: &Request,
        timeout: Millis,
    ) -> Result<Reply, String> {
        messages::call(self.transport.as_ref(), keeper, request, timeout)
            .await
            .map_err(|error| format!("{}: {error}", keeper.vm))
    }
}

impl LedgerClient for KeeperClient {
    fn apply(&self, command: Command) -> BoxFuture<'_, Result<LedgerReply, KeepersUnavailable>> {
        Box::pin(async move {
            match self.command(&Request::Ledger(command)).await? {
                Reply::Ledger(reply) => Ok(reply),
                reply => Err(unexpected_reply(&reply)),
            }
        })
    }
}

fn unexpected_reply(reply: &Reply) -> KeepersUnavailable {
    let name: &'static str = reply.into();
    KeepersUnavailable {
        reason: format!("the keeper answered {name}"),
    }
}
