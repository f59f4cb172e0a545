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
//!
//! The leader removes members that don't reply. One that runs again isn't told, and in its own list it
//! may still be a voter. A voter that no leader contacts therefore asks to join again, which changes
//! nothing if it is still a member.

use std::sync::Arc;

use auburnbridge_log::{Member, MemberRole, Members, ReplicaId};
use auburnbridge_messages::{self as messages, KeeperHello, Reply, Request};
use auburnbridge_peer::{PeerAddress, Transport};
use auburnbridge_types::{Clock, Millis, VmId};
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::{debug, info};
use parking_lot::Mutex;

use crate::core::{CoreHandle, Event, KeeperStatus};
use crate::directory::PeerDirectory;

const RETRY_INTERVAL: Millis = Millis(200);
/// Interval at which a voter checks whether a leader still contacts it.
const MEMBERSHIP_CHECK_INTERVAL: Millis = Millis(500);
/// Time without a message from a leader after which a voter asks to join.
const LEADER_SILENCE_LIMIT: Millis = Millis(1_000);
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

/// Whether a keeper takes part in its group.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It votes, and a leader contacts it.
    Voter,
    /// It has no group, is a learner, or may have been removed.
    Outside,
}

impl Formation {
    /// Makes this keeper a voting member, and again each time that it has been removed.
    pub(crate) async fn run(self) {
        let mut previous = Standing::Outside;
        loop {
            let standing = self.step().await;
            if standing == Standing::Voter && previous == Standing::Outside {
                info!("keeper vm={} replica={} is a voter", self.vm, self.replica);
            }
            previous = standing;
            let interval = match standing {
                Standing::Voter => MEMBERSHIP_CHECK_INTERVAL,
                Standing::Outside => RETRY_INTERVAL,
            };
            self.clock.sleep(interval).await;
        }
    }

    async fn step(&self) -> Standing {
        let Some(status) = self.core.ask(|reply| Event::Status { reply }).await else {
            return Standing::Outside;
        };
        let own_role = status
            .members
            .iter()
            .find(|member| member.replica == self.replica)
            .map(|member| member.role);
        if own_role == Some(MemberRole::Voter) && self.has_leader(&status) {
            return Standing::Voter;
        }
        let keepers = self.keepers.lock().clone();
        let mut members = status.members.clone();
        if own_role != Some(MemberRole::Learner) {
            let hellos = self.exchange_hellos(&keepers, status.members).await;
            if own_role.is_none()
                && let Some(members) = self
                    .find_own_group(&hellos)
                    .or_else(|| self.new_group(&keepers, &hellos))
            {
                self.core.send(Event::Bootstrap(members));
                return Standing::Outside;
            }
            members.extend(hellos.into_iter().flatten().flat_map(|hello| hello.members));
        }
        if !members.is_empty() {
            self.request_join(keepers, &members).await;
        }
        Standing::Outside
    }

    /// Whether this keeper leads or has recently heard from a leader.
    fn has_leader(&self, status: &KeeperStatus) -> bool {
        let replica = &status.replica_status;
        let is_recent = |contact| self.clock.now().since(contact) < LEADER_SILENCE_LIMIT;
        replica.role == "leader" || replica.leader_contact.is_some_and(is_recent)
    }

    /// Asks every other keeper for its replica id and member list; `None` for one that doesn't
    /// reply.
    async fn exchange_hellos(
        &self,
        keepers: &[PeerAddress],
        members: Vec<Member>,
    ) -> Vec<Option<KeeperHello>> {
        let request = Request::Hello(KeeperHello {
            replica: self.replica,
            members,
        });
        let others = keepers.iter().filter(|keeper| keeper.vm != self.vm);
        let replies = join_all(others.map(|keeper| self.call(keeper, &request))).await;
        replies
            .into_iter()
            .map(|reply| match reply {
                Some(Reply::Hello(hello)) => Some(hello),
                _ => None,
            })
            .collect()
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

    /// Asks the keepers in the settings and the members to add this keeper, all at the same time,
    /// since some of them may be lost. Only the leader does.
    async fn request_join(&self, keepers: Vec<PeerAddress>, members: &[Member]) {
        let mut candidates = keepers;
        for member in members {
            let is_known = candidates.iter().any(|keeper| keeper.vm == member.vm);
            if !is_known && let Some(keeper) = self.directory.find(&member.vm) {
                candidates.push(keeper);
            }
        }
        candidates.retain(|keeper| keeper.vm != self.vm);
        let request = Request::Join {
            replica: self.replica,
        };
        let mut replies: FuturesUnordered<_> = candidates
            .iter()
            .map(|keeper| self.call(keeper, &request))
            .collect();
        while let Some(reply) = replies.next().await {
            let leader = match reply {
                Some(Reply::Done) => return,
                Some(Reply::NotLeader { leader }) => leader,
                _ => None,
            };
            let Some(leader) = leader else {
                continue;
            };
            let is_asked = candidates.iter().any(|keeper| keeper.vm == leader);
            if !is_asked && let Some(leader) = self.directory.find(&leader) {
                self.call(&leader, &request).await;
                return;
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
