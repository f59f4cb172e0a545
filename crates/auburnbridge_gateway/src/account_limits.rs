//! Limits of client accounts over all gateways: sockets, waiting and logs.
//!
//! [`LimitNode`] makes the decisions; this module delivers its messages in UDP datagrams that may be
//! lost. A datagram is heeded only if it comes from the address of a listed gateway.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use async_std::net::UdpSocket;
use async_std::task;
use auburnbridge_messages::GatewayLocation;
use auburnbridge_peer::codec;
use auburnbridge_policy::account_limit::{
    AccountHash, Admission, GatewayId, LimitEvent, LimitMessage, LimitNode, LimitNodeOptions,
    LimitTerms, LimitTolerance, Output, OwnerTerm, Permit, Refused, RefusedReason, TICK_INTERVAL,
    Waiter,
};
use auburnbridge_routing::{AccountSet, ClientAccount, RouteSet};
use auburnbridge_telemetry::ProcessMetrics;
use auburnbridge_types::{ByteSize, Clock, ConfigVersion, Millis, Timestamp, VmId};
use log::{debug, info, warn};
use parking_lot::Mutex;

/// Maximum datagram size.
const DATAGRAM_LIMIT: ByteSize = ByteSize(256);
/// Receive buffer size. It exceeds the limit so that an oversized datagram is detected, not truncated.
const RECEIVE_BUFFER_BYTES: usize = 512;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Millis = Millis(2);
/// Interval at which owners are asked again while none can tell whether there is room.
const ASK_INTERVAL: Millis = Millis(100);
/// Interval of ticks while no account has a limit.
const IDLE_INTERVAL: Millis = Millis(200);

/// Where a gateway exchanges messages about limits, and how exactly they hold.
#[derive(Clone, Copy, Debug)]
pub struct AccountLimitOptions {
    /// UDP address of this gateway; the others use the same port.
    pub address: SocketAddr,
    /// Tolerance of all limits.
    pub tolerance: LimitTolerance,
}

/// Admits requests of accounts within their limits.
pub struct AccountLimits {
    vm: VmId,
    clock: Arc<dyn Clock>,
    metrics: Arc<ProcessMetrics>,
    socket: UdpSocket,
    port: u16,
    state: Mutex<State>,
}

struct State {
    node: LimitNode,
    waiting: HashMap<Waiter, Sender<Admission>>,
    requests: u64,
    others: HashMap<GatewayId, Neighbour>,
    ids: HashMap<SocketAddr, GatewayId>,
}

struct Neighbour {
    vm: VmId,
    address: SocketAddr,
}

/// A datagram to send.
type Datagram = (SocketAddr, Vec<u8>);

/// Permission to pass on one request of an account.
pub(crate) struct AccountPermit {
    limits: Arc<AccountLimits>,
    permit: Permit,
}

impl AccountPermit {
    /// Gives the permit back, since the request was not passed on.
    pub(crate) fn give_back(&self) {
        self.limits.give_back(self.permit);
    }
}

impl AccountLimits {
    /// Binds the UDP socket for messages of other gateways.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        vm: VmId,
        options: AccountLimitOptions,
        clock: Arc<dyn Clock>,
        metrics: Arc<ProcessMetrics>,
    ) -> std::io::Result<Self> {
        let node = LimitNode::new(LimitNodeOptions {
            own: GatewayId::of(&vm),
            term: OwnerTerm(rand::random()),
            tolerance: options.tolerance,
        });
        Ok(Self {
            vm,
            clock,
            metrics,
            socket: UdpSocket::bind(options.address).await?,
            port: options.address.port(),
            state: Mutex::new(State {
                node,
                waiting: HashMap::new(),
                requests: 0,
                others: HashMap::new(),
                ids: HashMap::new(),
            }),
        })
    }

    /// Replaces the set of running gateways, as listed by a keeper that `is_fresh` if it is up to date.
    pub fn set_gateways(&self, gateways: &[GatewayLocation], is_fresh: bool) {
        let others = gateways.iter().filter(|gateway| gateway.vm != self.vm);
        let mut ids = Vec::new();
        let state = &mut *self.state.lock();
        for other in others {
            let id = GatewayId::of(&other.vm);
            let address = SocketAddr::new(other.address.ip(), self.port);
            let vm = other.vm.clone();
            state.others.insert(id, Neighbour { vm, address });
            ids.push(id);
        }
        state.node.set_gateways(self.clock.now(), &ids, is_fresh);
        let node = &state.node;
        state.others.retain(|id, _| node.is_known(*id));
        let addresses = state.others.iter();
        state.ids = addresses
            .map(|(id, neighbour)| (neighbour.address, *id))
            .collect();
    }

    /// Replaces the accounts with those of a configuration.
    pub(crate) fn apply_routes(&self, routes: &RouteSet) {
        let accounts = routes.accounts().into_iter().flat_map(AccountSet::iter);
        let limited = accounts.filter(|account| account.limit.is_some());
        let hashes = limited.map(|account| AccountHash::of(&account.id));
        self.state.lock().node.set_accounts(hashes);
    }

    /// Waits until an owner admits or refuses a request; `None` if the account has no limit.
    ///
    /// While no owner can tell, as for a moment after all gateways have restarted, the request is held
    /// until `hold_until` at most.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        account: &ClientAccount,
        version: ConfigVersion,
        hold_until: Timestamp,
    ) -> Result<Option<AccountPermit>, Refused> {
        loop {
            match self.ask(account, version).await {
                Err(refused)
                    if refused.reason == RefusedReason::NoOwner
                        && self.clock.now().after(ASK_INTERVAL) < hold_until =>
                {
                    self.clock.sleep(ASK_INTERVAL).await;
                }
                decided => return decided,
            }
        }
    }

    async fn ask(
        self: &Arc<Self>,
        account: &ClientAccount,
        version: ConfigVersion,
    ) -> Result<Option<AccountPermit>, Refused> {
        let Some(limit) = account.limit else {
            return Ok(None);
        };
        let terms = LimitTerms {
            version,
            rate: limit.rate,
            burst: limit.burst,
        };
        let (tx, rx) = async_channel::bounded(1);
        let datagrams = {
            let state = &mut *self.state.lock();
            state.requests += 1;
            let waiter = Waiter(state.requests);
            state.waiting.insert(waiter, tx);
            let account = AccountHash::of(&account.id);
            state.node.request(self.clock.now(), account, terms, waiter);
            self.take_datagrams(state)
        };
        self.send(datagrams).await;
        match rx.recv().await.expect("every request is decided") {
            Admission::Admitted(permit) => {
                self.metrics.record_account_request("admitted");
                Ok(Some(AccountPermit {
                    limits: Arc::clone(self),
                    permit,
                }))
            }
            Admission::Refused(refused) => {
                self.metrics.record_account_request(refused.reason.into());
                Err(refused)
            }
        }
    }

    /// The VM of a gateway, for the log.
    pub(crate) fn vm(&self, id: GatewayId) -> Option<VmId> {
        if id == GatewayId::of(&self.vm) {
            return Some(self.vm.clone());
        }
        let state = self.state.lock();
        state.others.get(&id).map(|neighbour| neighbour.vm.clone())
    }

    /// Applies the messages of other gateways until the process ends.
    pub async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(error) => {
                    // A datagram sent to a gateway that has ended makes a later receive fail.
                    debug!("failed to receive a datagram: {error}");
                    self.clock.sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            match codec::decode::<LimitMessage>(&buf[..length], DATAGRAM_LIMIT) {
                Ok(message) => {
                    let datagrams = self.apply(from, &message);
                    self.send(datagrams).await;
                }
                Err(error) => {
                    debug!("discarded an invalid datagram of {length} bytes from {from}: {error}");
                }
            }
        }
    }

    /// Renews leases and ends asks without a reply until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            let (datagrams, is_used) = {
                let state = &mut *self.state.lock();
                state.node.tick(self.clock.now());
                (self.take_datagrams(state), state.node.is_used())
            };
            self.send(datagrams).await;
            let interval = if is_used {
                TICK_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            self.clock.sleep(interval).await;
        }
    }

    fn apply(&self, from: SocketAddr, message: &LimitMessage) -> Vec<Datagram> {
        let state = &mut *self.state.lock();
        let Some(id) = state.ids.get(&from).copied() else {
            debug!("discarded a datagram from {from}, which is no listed gateway");
            return Vec::new();
        };
        state.node.receive(self.clock.now(), id, message);
        self.take_datagrams(state)
    }

    fn give_back(self: &Arc<Self>, permit: Permit) {
        self.metrics.record_account_request("given-back");
        let datagrams = {
            let state = &mut *self.state.lock();
            state.node.give_back(self.clock.now(), &permit);
            self.take_datagrams(state)
        };
        if !datagrams.is_empty() {
            let limits = Arc::clone(self);
            task::spawn(async move { limits.send(datagrams).await });
        }
    }

    /// Applies the outputs of the node, and returns what is to be sent.
    fn take_datagrams(&self, state: &mut State) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        loop {
            let outputs = state.node.take_outputs();
            if outputs.is_empty() {
                return datagrams;
            }
            for output in outputs {
                match output {
                    Output::Send { to, message } => {
                        let address = state.others.get(&to).map(|neighbour| neighbour.address);
                        datagrams.extend(address.zip(encode(&message)));
                    }
                    Output::Decided { waiter, admission } => {
                        self.decide(state, waiter, admission);
                    }
                    Output::Event(event) => log_event(state, event),
                }
            }
        }
    }

    fn decide(&self, state: &mut State, waiter: Waiter, admission: Admission) {
        let is_waiting = state
            .waiting
            .remove(&waiter)
            .is_some_and(|tx| tx.try_send(admission).is_ok());
        if let (false, Admission::Admitted(permit)) = (is_waiting, admission) {
            state.node.give_back(self.clock.now(), &permit);
        }
    }

    async fn send(&self, datagrams: Vec<Datagram>) {
        for (to, datagram) in datagrams {
            if let Err(error) = self.socket.send_to(&datagram, to).await {
                debug!("failed to send a datagram to {to}: {error}");
            }
        }
    }
}

fn encode(message: &LimitMessage) -> Option<Vec<u8>> {
    codec::encode(message, DATAGRAM_LIMIT)
        .inspect_err(|error| warn!(error:% = error; "a message about limits is too long"))
        .ok()
}

fn log_event(state: &State, event: LimitEvent) {
    let (id, is_silent) = match event {
        LimitEvent::Silent(id) => (id, true),
        LimitEvent::Answering(id) => (id, false),
    };
    let Some(neighbour) = state.others.get(&id) else {
        return;
    };
    let gateway = neighbour.vm.as_str();
    if is_silent {
        info!(gateway = gateway; "owner of account limits silent");
    } else {
        info!(gateway = gateway; "owner of account limits answers again");
    }
}
