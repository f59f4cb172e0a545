//! How a keeper finds its group: founding a new one, taking over a list, or joining as a replacement.
//!
//! The keeper that stands first in the settings founds the group, and only if every other one says
//! that it is in none; the others take the list over from any member that lists their folder. Where
//! the settings name only a few keepers, the rest ask those to be added. An
//! empty folder on the VM of a member is therefore never taken for the member: it is not in the
//! list, and asks the leader to be added as a learner.

use std::sync::Arc;

use auburnbridge_log::{Member, MemberRole, Members, ReplicaId};
use auburnbridge_messages::{self as messages, KeeperHello, Reply, Request};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_types::{Clock, Millis, VmId};
use log::{debug, info};
use parking_lot::Mutex;

use crate::core::{CoreHandle, Event};
use crate::directory::Directory;

const RETRY: Millis = Millis(200);
const CALL_TIMEOUT: Millis = Millis(1_000);

/// Brings a keeper into its group.
pub(crate) struct Formation {
    pub(crate) vm: VmId,
    pub(crate) replica: ReplicaId,
    /// The keepers of the settings in their order; they may change while the process runs.
    pub(crate) keepers: Arc<Mutex<Vec<PeerAddress>>>,
    /// Whether this keeper may found a group, which only the first start of a fleet does.
    pub(crate) may_found: bool,
    pub(crate) directory: Directory,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) core: CoreHandle,
}

enum Step {
    Done,
    Wait,
}

impl Formation {
    /// Repeats until this keeper is a voting member.
    pub(crate) async fn run(self) {
        while let Step::Wait = self.step().await {
            self.clock.sleep(RETRY).await;
        }
        info!("keeper vm={} replica={} is a voter", self.vm, self.replica);
    }

    async fn step(&self) -> Step {
        let Some(report) = self.core.ask(|reply| Event::Report { reply }).await else {
            return Step::Wait;
        };
        let own_role = report
            .members
            .iter()
            .find(|member| member.replica == self.replica)
            .map(|member| member.role);
        if own_role == Some(MemberRole::Voter) {
            return Step::Done;
        }
        let keepers = self.keepers.lock().clone();
        let hellos = self.greet_others(&keepers, report.members.clone()).await;
        if own_role.is_none()
            && let Some(members) = self
                .listed_by(&hellos)
                .or_else(|| self.found(&keepers, &hellos))
        {
            self.core.send(Event::Bootstrap(members));
            return Step::Wait;
        }
        if hellos
            .iter()
            .flatten()
            .any(|hello| !hello.members.is_empty())
        {
            self.ask_to_join(&keepers, &hellos).await;
        }
        Step::Wait
    }

    /// Asks every other keeper for its folder and group; `None` for one that doesn't answer.
    async fn greet_others(
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

    /// The list of a group that already names this folder as a voter; a learner gets the list with
    /// the log.
    fn listed_by(&self, hellos: &[Option<KeeperHello>]) -> Option<Members> {
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

    /// The list of a new group, if this keeper is to found it.
    fn found(&self, keepers: &[PeerAddress], hellos: &[Option<KeeperHello>]) -> Option<Members> {
        if !self.may_found || keepers.first()?.vm != self.vm {
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

    async fn ask_to_join(&self, keepers: &[PeerAddress], hellos: &[Option<KeeperHello>]) {
        let request = Request::Join {
            replica: self.replica,
        };
        let mut candidates: Vec<PeerAddress> = keepers.to_vec();
        for member in hellos.iter().flatten().flat_map(|hello| &hello.members) {
            let is_listed = candidates.iter().any(|keeper| keeper.vm == member.vm);
            if !is_listed && let Some(keeper) = self.directory.find(&member.vm) {
                candidates.push(keeper);
            }
        }
        for keeper in candidates.iter().filter(|keeper| keeper.vm != self.vm) {
            match self.call(keeper, &request).await {
                Some(Reply::Done) => {
                    debug!("keeper {} took a step of the join", keeper.vm);
                    return;
                }
                Some(Reply::NotLeader {
                    leader: Some(leader),
                }) => {
                    let Some(leader) = self.directory.find(&leader) else {
                        continue;
                    };
                    if let Some(Reply::Done) = self.call(&leader, &request).await {
                        debug!("keeper {} took a step of the join", leader.vm);
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
            .inspect_err(|error| debug!("keeper {} did not answer: {error}", keeper.vm))
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
