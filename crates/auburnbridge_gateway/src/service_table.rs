//! The gates of all services, and the targets that the keepers told of.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use auburnbridge_membership::{Announcement, Members, State};
use auburnbridge_policy::balance::{
    BalancedMember, DispatcherOptions, GatewayPlace, LoadReport, ReportedFinding,
};
use auburnbridge_routing::RouteSet;
use auburnbridge_types::{Clock, Incarnation, ServiceName, VmId};
use parking_lot::{Mutex, RwLock};

use crate::gate::ServiceGate;

/// The services of one gateway.
///
/// Lock order: `members`, then `other_gateways`, then `gates`, then the state of one gate.
pub struct ServiceTable {
    clock: Arc<dyn Clock>,
    options: DispatcherOptions,
    members: Mutex<Members>,
    other_gateways: Mutex<Vec<GatewayPlace>>,
    gates: RwLock<HashMap<ServiceName, Arc<ServiceGate>>>,
}

impl ServiceTable {
    /// Creates a table without services.
    pub fn new(clock: Arc<dyn Clock>, options: DispatcherOptions) -> Self {
        Self {
            clock,
            options,
            members: Mutex::default(),
            other_gateways: Mutex::default(),
            gates: RwLock::default(),
        }
    }

    /// The gate of a service.
    pub fn get(&self, service: &ServiceName) -> Option<Arc<ServiceGate>> {
        self.gates.read().get(service).cloned()
    }

    /// Every gate.
    pub fn gates(&self) -> Vec<Arc<ServiceGate>> {
        self.gates.read().values().cloned().collect()
    }

    /// Takes over the services of new routes. A gate whose service was removed ends with its last
    /// request.
    pub fn apply_routes(&self, routes: &RouteSet) {
        let members = self.members.lock();
        {
            let other_gateways = self.other_gateways.lock();
            let mut gates = self.gates.write();
            gates.retain(|name, _| routes.service(name).is_some());
            for service in routes.services() {
                gates.entry(service.name.clone()).or_insert_with(|| {
                    let clock = Arc::clone(&self.clock);
                    let gate = ServiceGate::new(service.name.clone(), &self.options, clock);
                    gate.set_gateways(&other_gateways);
                    Arc::new(gate)
                });
            }
        }
        self.place(&members);
    }

    /// Takes over announcements and departures of targets.
    pub fn apply_targets(&self, announcements: &[Announcement]) {
        let now = self.clock.now();
        let mut members = self.members.lock();
        let is_changed = !members.merge(now, announcements).is_empty();
        if is_changed {
            self.place(&members);
        }
    }

    /// Number of targets that take work.
    pub fn targets(&self) -> usize {
        self.members.lock().len()
    }

    /// Takes over the other gateways.
    pub fn set_gateways(&self, others: Vec<GatewayPlace>) {
        let mut held = self.other_gateways.lock();
        if *held == others {
            return;
        }
        *held = others;
        for gate in self.gates() {
            gate.set_gateways(&held);
        }
    }

    /// Takes over what another gateway tells.
    pub fn hear(&self, from: &VmId, findings: &[ReportedFinding], load: Option<&LoadReport>) {
        for gate in self.gates() {
            if !findings.is_empty() {
                gate.hear_findings(findings);
            }
            if let Some(load) = load {
                gate.hear_load(from, load.clone());
            }
        }
    }

    /// Gives each gate its targets.
    fn place(&self, members: &Members) {
        let newest = newest_by_address(members);
        for gate in self.gates() {
            let now = self.clock.now();
            let targets: Vec<BalancedMember> = members
                .view(gate.name(), now)
                .filter(|(target, _)| newest.get(&target.address) == Some(&target.incarnation))
                .map(|(target, _)| BalancedMember {
                    id: target.target.clone(),
                    address: target.address,
                    data_centre: target.data_centre.clone(),
                    incarnation: target.incarnation,
                    slots: target.slots,
                })
                .collect();
            gate.set_members(&targets);
        }
    }
}

/// The latest life that was announced at each address; an earlier one has ended, whether it said so
/// or not.
fn newest_by_address(members: &Members) -> HashMap<SocketAddr, Incarnation> {
    let mut newest: HashMap<SocketAddr, Incarnation> = HashMap::new();
    for target in members.iter().filter(|target| target.state == State::Ready) {
        let incarnation = newest.entry(target.address).or_insert(target.incarnation);
        *incarnation = (*incarnation).max(target.incarnation);
    }
    newest
}
