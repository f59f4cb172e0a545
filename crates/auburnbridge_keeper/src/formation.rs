//! Group formation: a keeper founds a new group, adopts the member list of an existing one, or joins
//! as a replacement.
//!
//! Only the first keeper in the settings founds the group, and only if every other keeper reports
//! that it has no group. The others adopt the member list of any keeper whose list contains their
//! replica id as a voter. Where the settings name only some of the keepers, the others ask the
//! named ones to add them.
//!
//! A keeper that starts with an empty data folder gets a new replica id, which is in no member
//! list. It is therefore never mistaken for an earlier member on its VM, and asks the leader to add
//! it as a learner.

use std::sync::Arc;

use auburnbridge_log::{Member, MemberRole, Members, ReplicaId};
use auburnbridge_messages::{self as messages, KeeperHello, Reply, Request};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_types::{Clock, Millis, VmId};
use log::{debug, info};
use parking_lot::Mutex;

use crate::core::{CoreHandle, Event};
use crate::directory::PeerDirectory;

const RETRY_INTERVAL: Millis = Millis(200);
const CALL_TIMEOUT: Millis = Millis(1_000);

/// Task that makes a keeper a voting member of its group.
pub(crate) struct Formation {
    pub(crate) vm: VmId,
    pub(crate) replica: ReplicaId,
    /// The keepers in the order of the settings; they may change while the process runs.
    pub(crate) keepers: Arc<Mutex<Vec<PeerAddress>>>,
    /// Whether this keeper may found a group, which happens only at the first start of an
    /// installation.
    pub(crate) may_found_group: bool,
    pub(crate) directory: PeerDirectory,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) core: CoreHandle,
}

enum Step {
    Done,
    Retry,
}

impl Formation {
    /// Repeats the steps until this keeper is a voting member.
    pub(crate) async fn run(self) {
        while let Step::Retry = self.step().await {
            self.clock.sleep(RETRY_INTERVAL).await;
        }
        info!("keeper vm={} replica={} is a voter", self.vm, self.replica);
    }

    async fn step(&self) -> Step {
        let Some(status) = self.core.ask(|reply| Event::Status { reply }).await else {
            return Step::Retry;
        };
        let own_role = status
            .members
            .iter()
            .find(|member| member.replica == self.replica)
            .map(|member| member.role);
        if own_role == Some(MemberRole::Voter) {
            return Step::Done;
        }
        let keepers = self.keepers.lock().clone();
        let hellos = self.exchange_hellos(&keepers, status.members.clone()).await;
        if own_role.is_none()
            && let Some(members) = self
                .find_own_group(&hellos)
                .or_else(|| self.new_group(&keepers, &hellos))
        {
            self.core.send(Event::Bootstrap(members));
            return Step::Retry;
        }
        if hellos
            .iter()
            .flatten()
            .any(|hello| !hello.members.is_empty())
        {
            self.request_join(&keepers, &hellos).await;
        }
        Step::Retry
    }

    /// Asks every other keeper for its replica id and member list; `None` for one that doesn't
    /// reply.
    async fn exchange_hellos(
        &self,
        keepers: &[PeerAddress],
        members: Vec<Member>,
    ) -> Vec<Option<KeeperHello>> {
        let hello = KeeperHello {
            replica: self.replica,
            members,
        };
        let mut hellos = Vec::new();
        for keeper in keepers.iter().filter(|keeper| keeper.vm != self.vm) {
            hellos.push(
                match self.call(keeper, &Request::Hello(hello.clone())).await {
                    Some(Reply::Hello(hello)) => Some(hello),
                    _ => None,
                },
            );
        }
        hellos
    }

    /// Returns the member list of a group in which this replica is already a voter. A learner
    /// receives the list with the log.
    fn find_own_group(&self, hellos: &[Option<KeeperHello>]) -> Option<Members> {
        hellos
            .iter()
            .flatten()
            .find(|hello| {
                hello.members.iter().any(|member| {
                    member.replica == self.replica && member.role == MemberRole::Voter
                })
            })
            .and_then(|hello| Members::new(hello.members.clone()))
    }

    /// Returns the member list of a new group if this keeper may found it now.
    fn new_group(
        &self,
        keepers: &[PeerAddress],
        hellos: &[Option<KeeperHello>],
    ) -> Option<Members> {
        if !self.may_found_group || keepers.first()?.vm != self.vm {
            return None;
        }
        let mut members = vec![voter(self.vm.clone(), self.replica)];
        let others = keepers.iter().filter(|keeper| keeper.vm != self.vm);
        for (keeper, hello) in others.zip(hellos) {
            let hello = hello.as_ref()?;
            if !hello.members.is_empty() {
                return None;
            }
            members.push(voter(keeper.vm.clone(), hello.replica));
        }
        Members::new(members)
    }

    async fn request_join(&self, keepers: &[PeerAddress], hellos: &[Option<KeeperHello>]) {
        let request = Request::Join {
            replica: self.replica,
        };
        let mut candidates: Vec<PeerAddress> = keepers.to_vec();
        for member in hellos.iter().flatten().flat_map(|hello| &hello.members) {
            let is_known = candidates.iter().any(|keeper| keeper.vm == member.vm);
            if !is_known && let Some(keeper) = self.directory.find(&member.vm) {
                candidates.push(keeper);
            }
        }
        for keeper in candidates.iter().filter(|keeper| keeper.vm != self.vm) {
            match self.call(keeper, &request).await {
                Some(Reply::Done) => {
                    debug!("keeper {} accepted the join request", keeper.vm);
                    return;
                }
                Some(Reply::NotLeader {
                    leader: Some(leader),
                }) => {
                    let Some(leader) = self.directory.find(&leader) else {
                        continue;
                    };
                    if let Some(Reply::Done) = self.call(&leader, &request).await {
                        debug!("keeper {} accepted the join request", leader.vm);
                    }
                    return;
                }
                _ => {}
            }
        }
    }

    async fn call(&self, keeper: &PeerAddress, request: &Request) -> Option<Reply> {
        messages::call(self.transport.as_ref(), keeper, request, CALL_TIMEOUT)
            .await
            .inspect_err(|error| debug!("keeper {} did not reply: {error}", keeper.vm))
            .ok()
    }
}

fn voter(vm: VmId, replica: ReplicaId) -> Member {
    Member {
        replica,
        vm,
        role: MemberRole::Voter,
    }
}
